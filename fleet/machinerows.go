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
	maxRowsPerRenewal = 60
	// rowsGather is how long a renewal that is hurried by a row waits for others of the same round.
	rowBatchDelay = 10 * time.Millisecond
)

// dutyRow is a row that waits to be written, or removed if it has no value.
type pendingRow struct {
	place Place
	value []byte
}

// keep has a row written with the next renewal, which is hurried.
func (ct *machineController) putRow(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		ct.fl.opts.Log.Emit(event.ControlRowRejected, zap.String("key", key), zap.Error(err))
		return
	}
	ct.enqueueRow(&pendingRow{Place{tableControl, machinesCell, key}, raw})
}

// drop has a row removed with the next renewal, which is hurried.
func (ct *machineController) deleteRow(key string) {
	ct.enqueueRow(&pendingRow{place: Place{tableControl, machinesCell, key}})
}

// enqueue puts a row in the place of an earlier wish for the same one.
func (ct *machineController) enqueueRow(pr *pendingRow) {
	ct.mu.Lock()
	ct.pendingRows = slices.DeleteFunc(ct.pendingRows, func(other *pendingRow) bool { return other.place == pr.place })
	ct.pendingRows = append(ct.pendingRows, pr)
	ct.mu.Unlock()
	select {
	case ct.rowsPending <- struct{}{}:
	default:
	}
}

// rowsFor puts the rows that waited longest into a renewal and returns them. The caller holds the lock.
func (ct *machineController) addPendingRows(tx *Tx) []*pendingRow {
	taken := slices.Clone(ct.pendingRows[:min(len(ct.pendingRows), maxRowsPerRenewal)])
	for _, pr := range taken {
		if pr.value == nil {
			tx.Remove = append(tx.Remove, pr.place)
			continue
		}
		tx.Write = append(tx.Write, Row{Table: pr.place.Table, Part: pr.place.Part, Key: pr.place.Key, Value: pr.value})
	}
	return taken
}

// kept forgets rows that were written, unless there is a newer wish for them. The caller holds the lock.
func (ct *machineController) removeWritten(rows []*pendingRow) {
	ct.pendingRows = slices.DeleteFunc(ct.pendingRows, func(pr *pendingRow) bool { return slices.Contains(rows, pr) })
}

// pause waits before the next renewal, shorter if rows wait that have not been tried.
func (ct *machineController) waitForRenewal(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-ct.rowsPending:
		sleep(ctx, rowBatchDelay)
	}
}
