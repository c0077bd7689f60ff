package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// orderNoteRetention is how long it is remembered that an order ended a worker. An instance that takes over a cell within that time knows that the worker
// had not crashed. It is more than the time for which a worker of earlier owners may be unresolved.
const orderNoteRetention = time.Minute

// drainRow is the row of a machine that is being drained.
type drainRow struct {
	Machine cell.MachineID  `json:"machine"`
	Worker  cell.WorkerName `json:"worker"`
	Pool    job.PoolID      `json:"pool"`
	Wave    int             `json:"wave"`
	// Orders counts the orders for the machine that were about to be sent when the row was written. Each ends the worker if it is carried out.
	Orders  int `json:"orders,omitempty"`
	version int64
	seenAt  time.Time
}

// applyDrain applies the row of a machine that is being drained.
func (mb *members) applyDrain(rw Row) {
	id := cell.MachineID(strings.TrimPrefix(rw.Key, drainPrefix))
	mb.mu.Lock()
	defer mb.mu.Unlock()
	var dr drainRow
	err := json.Unmarshal(rw.Value, &dr)
	if !rw.Deleted && err != nil {
		mb.log.Emit(event.ControlRowRejected, zap.String("key", rw.Key), zap.Error(err))
	}
	if rw.Deleted || err != nil {
		delete(mb.drains, id)
		return
	}
	dr.version, dr.seenAt = rw.Version, mb.now()
	old, ok := mb.drains[id]
	if ok = ok && old.Worker == dr.Worker; ok {
		dr.seenAt = old.seenAt
	}
	if dr.Orders > 0 && (!ok || dr.Orders != old.Orders) {
		mb.noteOrder(dr.Worker)
	}
	mb.drains[id] = dr
}

// noteOrder remembers when this instance learned of an order that ends a worker. The caller holds the lock.
func (mb *members) noteOrder(name cell.WorkerName) {
	now := mb.now()
	maps.DeleteFunc(mb.orders, func(_ cell.WorkerName, at time.Time) bool { return now.Sub(at) > orderNoteRetention })
	mb.orders[name] = now
}

// cordonWorkers tells the cells owned here which workers to drain.
func (fl *Fleet) cordonWorkers() {
	fl.members.mu.RLock()
	drains, orders := maps.Clone(fl.members.drains), maps.Clone(fl.members.orders)
	fl.members.mu.RUnlock()
	ids := map[cell.WorkerName]bool{}
	for _, dr := range drains {
		ids[dr.Worker] = true
	}
	for _, ow := range fl.allOwners() {
		ow.post(func(cr *cell.Core, _ time.Time) {
			cr.Cordon(ids)
			cr.NoteOrders(orders)
		})
	}
}

// drainedWorkers returns the cordoned workers of the pool that are empty. The caller holds the owner's lock.
func (ow *owner) drainedWorkers(now time.Time) []cell.WorkerName {
	mb := ow.fl.members
	mb.mu.RLock()
	defer mb.mu.RUnlock()
	var list []cell.WorkerName
	for _, dr := range mb.drains {
		if dr.Pool == ow.pool() && ow.isDrained(dr.Worker, now.Sub(dr.seenAt)) {
			list = append(list, dr.Worker)
		}
	}
	slices.Sort(list)
	return list
}

// recordDrained records from the loads which cordoned workers are empty. Owners report them each time the controller's leader
// asks. They are not stored: nobody else needs them, and the writes would compete with the renewals of the machine lease. A
// report from an owner that has been replaced is ignored, since that owner does not know the tasks of its successor.
func (ct *machineController) recordDrained(loads map[job.PoolID]cell.Load) {
	drained := map[cell.WorkerName]bool{}
	for pool, ld := range loads {
		if ld.Epoch != ct.fl.members.owner(cellName(pool)).epoch() {
			continue
		}
		for _, id := range ld.Drained {
			drained[id] = true
		}
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.drained = drained
}

// isDrained reports whether a cordoned worker is empty, or has only short tasks left after cell.ShortTaskGrace. The caller holds the
// owner's lock.
func (ow *owner) isDrained(id cell.WorkerName, drainingFor time.Duration) bool {
	return ow.core.Cordoned(id) && (ow.core.Drained(id) || drainingFor > cell.ShortTaskGrace && ow.core.OnlyShortTasks(id))
}
