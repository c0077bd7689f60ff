package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

// Rows that the leader stores besides the lease: machine drains and the progress of waves. They may be written only while the
// lease is held, and they lie in the same part of the store as the lease row; a part runs its transactions one at a time. The
// rows are therefore written together with the lease renewals. In separate transactions they would delay the renewals, and a wave
// of a few dozen machines on a slow store would lose the lease.
const (
	// maxRowsPerRenewal bounds the rows of one renewal, and leaves room below the limit of 100 entries for a transaction.
	maxRowsPerRenewal = 60
	// rowBatchDelay is how long a renewal that is triggered by a row waits for more rows of the same planning round.
	rowBatchDelay = 10 * time.Millisecond
)

// pendingRow is a row to write, or to delete if its value is nil.
type pendingRow struct {
	place Place
	value []byte
}

// putRow writes a row with the next renewal and triggers that renewal.
func (ct *machineController) putRow(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		ct.fl.opts.Log.Emit(event.ControlRowRejected, zap.String("key", key), zap.Error(err))
		return
	}
	ct.enqueueRow(&pendingRow{Place{tableControl, machinesCell, key}, raw})
}

// deleteRow deletes a row with the next renewal and triggers that renewal.
func (ct *machineController) deleteRow(key string) {
	ct.enqueueRow(&pendingRow{place: Place{tableControl, machinesCell, key}})
}

// enqueueRow adds a row, replacing an earlier pending change of the same row.
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

// addPendingRows adds the oldest pending rows to a renewal and returns them. The caller holds the lock.
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

// removeWritten removes rows that were written, unless they have been replaced by a newer change. The caller holds the lock.
func (ct *machineController) removeWritten(rows []*pendingRow) {
	ct.pendingRows = slices.DeleteFunc(ct.pendingRows, func(pr *pendingRow) bool { return slices.Contains(rows, pr) })
}

// waitForRenewal waits until the next renewal is due. It returns early if new rows have been added.
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
