package fleet

import (
	"context"
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
const shortWait = 5 * time.Second

// drainRow is the row of a machine that is wanted.
type drainRow struct {
	Machine cell.MachineID `json:"machine"`
	Worker  cell.WorkerID  `json:"worker"`
	Pool    job.PoolID     `json:"pool"`
	Wave    int            `json:"wave"`
	Clear   bool           `json:"clear,omitempty"`
	version int64
	seen    time.Time
}

// takeDrain takes the row of a machine that is wanted.
func (mb *members) takeDrain(rw Row) {
	id := cell.MachineID(strings.TrimPrefix(rw.Key, drainPrefix))
	mb.mu.Lock()
	defer mb.mu.Unlock()
	var dr drainRow
	if rw.Deleted || json.Unmarshal(rw.Value, &dr) != nil {
		delete(mb.drains, id)
		return
	}
	dr.version, dr.seen = rw.Version, mb.now()
	if old, ok := mb.drains[id]; ok && old.Worker == dr.Worker {
		dr.seen = old.seen
	}
	mb.drains[id] = dr
}

// cordon tells the cells owned here which workers are to be emptied, and tells the store which of them are.
func (fl *Fleet) cordon() {
	fl.members.mu.RLock()
	drains := maps.Clone(fl.members.drains)
	fl.members.mu.RUnlock()
	ids := map[cell.WorkerID]bool{}
	for _, dr := range drains {
		ids[dr.Worker] = true
	}
	for _, ow := range fl.owned() {
		ow.post(func(cr *cell.Core, _ time.Time) { cr.Cordon(ids) })
	}
}

const (
	// clearEvery is how often it is looked at which wanted workers are empty.
	clearEvery = 100 * time.Millisecond
	// clearMost is how many are told by one transaction: each is a condition and a row, of 100 entries in all.
	clearMost = 45
)

// tellClears tells the store until the context ends which wanted workers are empty. Nothing else waits for it.
func (fl *Fleet) tellClears(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, clearEvery)
		fl.tellClear(ctx, fl.clears())
	}
}

// clears are the rows of wanted workers of cells owned here that have become empty.
func (fl *Fleet) clears() []drainRow {
	fl.members.mu.RLock()
	drains := slices.Collect(maps.Values(fl.members.drains))
	fl.members.mu.RUnlock()
	now := fl.opts.Now()
	var list []drainRow
	for _, dr := range drains {
		ow := fl.ownerOf(cellName(dr.Pool))
		if dr.Clear || ow == nil || len(list) == clearMost || !ow.isClear(dr.Worker, now.Sub(dr.seen)) {
			continue
		}
		dr.Clear = true
		list = append(list, dr)
	}
	return list
}

// tellClear writes which wanted workers are empty, in one transaction: all lie in one part, which takes its transactions in turn.
func (fl *Fleet) tellClear(ctx context.Context, list []drainRow) {
	if len(list) == 0 {
		return
	}
	var tx Tx
	for _, dr := range list {
		raw, err := json.Marshal(dr)
		if err != nil {
			fl.opts.Log.Emit(event.ControlRowRejected, zap.String("machine", string(dr.Machine)), zap.Error(err))
			return
		}
		place := Place{tableControl, machinesCell, drainPrefix + string(dr.Machine)}
		tx.Expect = append(tx.Expect, Expect{place, dr.version})
		tx.Write = append(tx.Write, Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw})
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	version, err := fl.link.Commit(callCtx, tx)
	if err == nil {
		for _, rw := range tx.Write {
			rw.Version = version
			fl.members.takeDrain(rw)
		}
		return
	}
	// What fails otherwise is looked at again in the next round.
	if cf := conflictOf(err); cf != nil {
		// Rows that are not wanted any more, or otherwise than was known here, would hold up the others.
		fl.members.correctDrains(list, cf.Rows)
	}
}

// correctDrains takes the rows that a transaction met, where nothing newer has been heard of since it was made.
func (mb *members) correctDrains(sent []drainRow, met []Row) {
	for _, dr := range sent {
		at := slices.IndexFunc(met, func(rw Row) bool { return rw.Key == drainPrefix+string(dr.Machine) })
		if at < 0 {
			continue
		}
		mb.mu.RLock()
		known := mb.drains[dr.Machine].version
		mb.mu.RUnlock()
		if rw := met[at]; known == dr.version && rw.Version != known {
			rw.Deleted = rw.Version == 0
			mb.takeDrain(rw)
		}
	}
}

// isClear reports whether nothing runs on a worker that has been wanted for some time.
func (ow *owner) isClear(id cell.WorkerID, wanted time.Duration) bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.core.Cordoned(id) && (ow.core.Clear(id) || wanted > shortWait && ow.core.OnlyShort(id))
}
