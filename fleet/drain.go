package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
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

// tellClear writes which wanted workers are empty.
func (fl *Fleet) tellClear(ctx context.Context) {
	fl.members.mu.RLock()
	drains := maps.Clone(fl.members.drains)
	fl.members.mu.RUnlock()
	now := fl.opts.Now()
	for id, dr := range drains {
		ow := fl.ownerOf(cellName(dr.Pool))
		if dr.Clear || ow == nil || !ow.isClear(dr.Worker, now.Sub(dr.seen)) {
			continue
		}
		dr.Clear = true
		raw, err := json.Marshal(dr)
		if err != nil {
			continue
		}
		place := Place{tableControl, machinesCell, drainPrefix + string(id)}
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		// A condition that does not hold, or a call that fails, is looked at again in the next round.
		version, err := fl.link.Commit(callCtx, Tx{Expect: []Expect{{place, dr.version}}, Write: []Row{{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw}}})
		cancel()
		if err == nil {
			fl.members.takeDrain(Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw, Version: version})
		}
	}
}

// isClear reports whether nothing runs on a worker that has been wanted for some time.
func (ow *owner) isClear(id cell.WorkerID, wanted time.Duration) bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.core.Cordoned(id) && (ow.core.Clear(id) || wanted > shortWait && ow.core.OnlyShort(id))
}
