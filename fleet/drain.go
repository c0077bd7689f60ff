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

// shortWait is how long short tasks may keep a machine that is wanted.
const shortTaskGrace = 5 * time.Second

// drainRow is the row of a machine that is wanted.
type drainRow struct {
	Machine cell.MachineID  `json:"machine"`
	Worker  cell.WorkerName `json:"worker"`
	Pool    job.PoolID      `json:"pool"`
	Wave    int             `json:"wave"`
	version int64
	seenAt  time.Time
}

// takeDrain takes the row of a machine that is wanted.
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
	if old, ok := mb.drains[id]; ok && old.Worker == dr.Worker {
		dr.seenAt = old.seenAt
	}
	mb.drains[id] = dr
}

// cordon tells the cells owned here which workers are to be emptied.
func (fl *Fleet) cordonWorkers() {
	fl.members.mu.RLock()
	drains := maps.Clone(fl.members.drains)
	fl.members.mu.RUnlock()
	ids := map[cell.WorkerName]bool{}
	for _, dr := range drains {
		ids[dr.Worker] = true
	}
	for _, ow := range fl.allOwners() {
		ow.post(func(cr *cell.Core, _ time.Time) { cr.Cordon(ids) })
	}
}

// clears are the wanted workers of a pool that have become empty. The caller holds the owner's lock.
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

// noteClear takes from the loads which wanted workers are empty. Owners tell the holder of the duty each time it asks; in the store, where
// nobody else needs it, it would take turns from the duty's lease. An owner that has been replaced knows nothing of its successor's tasks.
func (ct *machineController) recordDrained(loads map[job.PoolID]cell.Load) {
	drained := map[cell.WorkerName]bool{}
	for pool, ld := range loads {
		if ld.Epoch != ct.fl.members.owner(cellName(pool)).epoch() {
			continue
		}
		for _, id := range ld.Clear {
			drained[id] = true
		}
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.drained = drained
}

// isClear reports whether nothing runs on a worker that has been wanted for some time. The caller holds the owner's lock.
func (ow *owner) isDrained(id cell.WorkerName, since time.Duration) bool {
	return ow.core.Cordoned(id) && (ow.core.Clear(id) || since > shortTaskGrace && ow.core.OnlyShort(id))
}
