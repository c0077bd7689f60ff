package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

// The rows that the holder of the machines' duty keeps beside the duty's own: wanted machines and the course of waves. They need the
// condition that the duty is still held, and lie in the duty's part, which takes its transactions in turn. So they are written with the
// renewals of the lease: in transactions of their own they would hold up the renewals, and a wave of some dozen machines on a slow store
// would cost the lease.
const (
	// rowsMost is how many of them one renewal takes along, which leaves room below a transaction's 100 entries.
	rowsMost = 60
	// rowsGather is how long a renewal that is hurried by a row waits for others of the same round.
	rowsGather = 10 * time.Millisecond
)

// dutyRow is a row that waits to be written, or removed if it has no value.
type dutyRow struct {
	place Place
	value []byte
}

// keep has a row written with the next renewal, which is hurried.
func (du *duty) keep(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		du.fl.opts.Log.Emit(event.ControlRowRejected, zap.String("key", key), zap.Error(err))
		return
	}
	du.enqueue(&dutyRow{Place{tableControl, machinesCell, key}, raw})
}

// drop has a row removed with the next renewal, which is hurried.
func (du *duty) drop(key string) {
	du.enqueue(&dutyRow{place: Place{tableControl, machinesCell, key}})
}

// enqueue puts a row in the place of an earlier wish for the same one.
func (du *duty) enqueue(dr *dutyRow) {
	du.mu.Lock()
	du.rows = slices.DeleteFunc(du.rows, func(other *dutyRow) bool { return other.place == dr.place })
	du.rows = append(du.rows, dr)
	du.mu.Unlock()
	select {
	case du.hurry <- struct{}{}:
	default:
	}
}

// rowsFor puts the rows that waited longest into a renewal and returns them. The caller holds the lock.
func (du *duty) rowsFor(tx *Tx) []*dutyRow {
	taken := slices.Clone(du.rows[:min(len(du.rows), rowsMost)])
	for _, dr := range taken {
		if dr.value == nil {
			tx.Remove = append(tx.Remove, dr.place)
			continue
		}
		tx.Write = append(tx.Write, Row{Table: dr.place.Table, Part: dr.place.Part, Key: dr.place.Key, Value: dr.value})
	}
	return taken
}

// kept forgets rows that were written, unless there is a newer wish for them. The caller holds the lock.
func (du *duty) kept(rows []*dutyRow) {
	du.rows = slices.DeleteFunc(du.rows, func(dr *dutyRow) bool { return slices.Contains(rows, dr) })
}

// pause waits before the next renewal, shorter if rows wait that have not been tried.
func (du *duty) pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-du.hurry:
		sleep(ctx, rowsGather)
	}
}
