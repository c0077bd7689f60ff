package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

// writeQueue collects an owner's writes while one is in flight. All of them are conditional on the cell's row, so they run one
// after another. The waiting writes share one transaction, so that a write waits for at most one other, and the owner never
// blocks.
type writeQueue struct {
	mu      sync.Mutex // guards pending
	pending writeBatch
	// ready signals that a batch is pending.
	ready chan struct{}
}

// writeBatch is the content of one transaction.
type writeBatch struct {
	save *cell.Save
	// workers is the newest list of the workers in use. It includes the workers of the earlier lists.
	workers *cell.RecordWorkers
	// queuedAt is when the first write of the batch was queued.
	queuedAt time.Time
}

func newWriteQueue() *writeQueue { return &writeQueue{ready: make(chan struct{}, 1)} }

// add adds a write to the next batch. The core orders a save only after the previous one has been stored.
func (wq *writeQueue) add(now time.Time, od cell.Order) {
	wq.mu.Lock()
	if wq.pending.queuedAt.IsZero() {
		wq.pending.queuedAt = now
	}
	switch order := od.(type) {
	case cell.Save:
		wq.pending.save = &order
	case cell.RecordWorkers:
		wq.pending.workers = &order
	}
	wq.mu.Unlock()
	select {
	case wq.ready <- struct{}{}:
	default:
	}
}

// takeBatch returns the next batch, which is empty if no write is waiting.
func (wq *writeQueue) takeBatch() writeBatch {
	wq.mu.Lock()
	defer wq.mu.Unlock()
	next := wq.pending
	wq.pending = writeBatch{}
	return next
}

// runWrites carries out the owner's writes until the context ends.
func (ow *owner) runWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ow.writeQueue.ready:
			if wb := ow.writeQueue.takeBatch(); !wb.queuedAt.IsZero() && !ow.savingStopped.Load() {
				ow.recordWriteWait(wb)
				ow.commitBatch(ctx, wb)
			}
		}
	}
}

// recordWriteWait records how long a batch waited for the previous one.
func (ow *owner) recordWriteWait(wb writeBatch) {
	waited := ow.fl.opts.Now().Sub(wb.queuedAt)
	ow.fl.metrics.writeWait.Update(waited.Microseconds())
	if waited >= slowCommitThreshold {
		ow.fl.opts.Log.Emit(event.WriteWaited, zap.String("cell", ow.name), zap.Bool("progress", wb.save != nil), zap.Bool("workers", wb.workers != nil), zap.Duration("waited", waited))
	}
}

// commitBatch writes a batch, the progress first, in as many transactions as it needs. It retries until the outcome is known,
// since the store may still carry out an attempt that it has not answered.
func (ow *owner) commitBatch(ctx context.Context, wb writeBatch) {
	var change usedChange
	if wb.workers != nil {
		change = ow.used.diff(wb.workers.Workers, wb.workers.UnseenLossEpoch)
	}
	saves := ow.divideSave(wb.save)
	for len(saves) > 0 || !change.isEmpty() {
		var save progressSave
		if len(saves) > 0 {
			save, saves = saves[0], saves[1:]
		}
		if !ow.commitPart(ctx, save, &change) {
			ow.post(func(cr *cell.Core, _ time.Time) { cr.RecordWorkersEnded() })
			return
		}
	}
	if wb.workers != nil {
		ow.post(func(cr *cell.Core, _ time.Time) {
			cr.WorkersRecorded(wb.workers.Workers)
			cr.RecordWorkersEnded()
		})
	}
}

// commitPart writes a save, unless it is empty, and as much of a change of the workers in use as fits beside it. A save that the
// store will never take is divided until only the jobs are left that it does not take.
func (ow *owner) commitPart(ctx context.Context, save progressSave, change *usedChange) bool {
	tx := Tx{Expect: []Expect{{ow.rowPlace(), ow.rowVersion.Load()}}}
	ow.addProgress(&tx, save)
	var part usedChange
	var head usedHead
	if room := maxTxEntries - usedHeadEntries - tx.entryCount(); !change.isEmpty() && (room > 0 || len(save) == 0) {
		part = change.take(room)
		var err error
		if head, err = ow.used.addTo(&tx, ow.epoch, part); err != nil {
			ow.fl.opts.Log.Emit(event.SaveFailed, zap.String("cell", ow.name), zap.Error(err))
			return false
		}
	}
	version, err := ow.commit(ctx, tx)
	switch {
	case errors.Is(err, ErrInvalid) && len(save) > 0:
		change.restore(part)
		return ow.commitDivided(ctx, save, head != (usedHead{}), err)
	case errors.Is(err, ErrInvalid):
		ow.stopSaving(tx, err)
		return false
	case err != nil:
		return false
	}
	if head != (usedHead{}) {
		ow.used.apply(part, head, version)
		ow.post(func(cr *cell.Core, _ time.Time) { cr.WorkersRecorded(part.put) })
	}
	ow.saved(save, version)
	return true
}

func (ow *owner) rowPlace() Place { return Place{tableControl, ow.name, ownerKey} }
