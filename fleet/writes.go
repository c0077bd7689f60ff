package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
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
	for save := wb.save; save != nil || !change.isEmpty(); save = nil {
		if !ow.commitPart(ctx, save, &change) {
			ow.post(func(cr *cell.Core, _ time.Time) { cr.RecordWorkersFailed() })
			return
		}
	}
	if wb.workers != nil {
		ow.post(func(cr *cell.Core, _ time.Time) {
			cr.WorkersRecorded(wb.workers.Workers)
			cr.RecordWorkersFailed()
		})
	}
}

// commitPart writes a save, if there is one, and as much of a change of the workers in use as fits beside it.
func (ow *owner) commitPart(ctx context.Context, save *cell.Save, change *usedChange) bool {
	tx := Tx{Expect: []Expect{{ow.rowPlace(), ow.rowVersion.Load()}}}
	err := ow.addProgress(&tx, save)
	var part usedChange
	var head usedHead
	if err == nil && !change.isEmpty() {
		part = change.take(maxTxEntries - usedHeadEntries - tx.entryCount())
		head, err = ow.used.addTo(&tx, ow.epoch, part)
	}
	if err != nil {
		ow.fl.opts.Log.Emit(event.SaveFailed, zap.String("cell", ow.name), zap.Error(err))
		return false
	}
	version, ok := ow.commit(ctx, tx)
	if !ok {
		return false
	}
	if head != (usedHead{}) {
		ow.used.apply(part, head, version)
		ow.post(func(cr *cell.Core, _ time.Time) { cr.WorkersRecorded(part.put) })
	}
	if save != nil {
		ow.fl.metrics.saves.Inc(1)
		ow.post(func(cr *cell.Core, now time.Time) { cr.Saved(now, version) })
	}
	return true
}

// addProgress adds the rows of a save to a transaction.
func (ow *owner) addProgress(tx *Tx, save *cell.Save) error {
	if save == nil {
		return nil
	}
	for _, row := range save.Rows {
		raw, err := job.EncodeProgress(row.Progress)
		if err != nil {
			return err
		}
		place := Place{tableProgress, ow.name, string(row.ID)}
		tx.Expect = append(tx.Expect, Expect{place, row.Version})
		tx.Write = append(tx.Write, Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw})
	}
	return nil
}

func (ow *owner) rowPlace() Place { return Place{tableControl, ow.name, ownerKey} }
