package fleet

import (
	"context"
	"encoding/json"
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
			if wb := ow.writeQueue.takeBatch(); !wb.queuedAt.IsZero() {
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

// commitBatch writes a batch. It retries until the outcome is known, since the store may still carry out an attempt that it has
// not answered.
func (ow *owner) commitBatch(ctx context.Context, wb writeBatch) {
	tx := Tx{Expect: []Expect{{ow.rowPlace(), ow.rowVersion.Load()}}}
	if err := ow.addProgress(&tx, wb.save); err != nil {
		ow.fl.opts.Log.Emit(event.SaveFailed, zap.String("cell", ow.name), zap.Error(err))
		return
	}
	if err := ow.addWorkers(&tx, wb.workers); err != nil {
		ow.fl.opts.Log.Emit(event.SaveFailed, zap.String("cell", ow.name), zap.Error(err))
		return
	}
	version, ok := ow.commit(ctx, tx)
	if !ok {
		ow.post(func(cr *cell.Core, _ time.Time) { cr.RecordWorkersFailed() })
		return
	}
	if wb.workers != nil {
		ow.rowVersion.Store(version)
	}
	if wb.save != nil {
		ow.fl.metrics.saves.Inc(1)
	}
	ow.post(func(cr *cell.Core, now time.Time) { wb.notifyCore(cr, now, version) })
}

// notifyCore reports a committed batch to the core.
func (wb writeBatch) notifyCore(cr *cell.Core, now time.Time, version int64) {
	if wb.workers != nil {
		cr.WorkersRecorded(wb.workers.Workers)
		cr.RecordWorkersFailed()
	}
	if wb.save != nil {
		cr.Saved(now, version)
	}
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

// addWorkers adds the cell's row with the list of workers in use to a transaction.
func (ow *owner) addWorkers(tx *Tx, list *cell.RecordWorkers) error {
	if list == nil {
		return nil
	}
	raw, err := json.Marshal(ownerRow{Holder: ow.fl.opts.Name, Incarnation: ow.fl.opts.Incarnation, Epoch: ow.epoch, Workers: list.Workers, UnseenLossEpoch: list.UnseenLossEpoch})
	if err != nil {
		return err
	}
	place := ow.rowPlace()
	tx.Write = append(tx.Write, Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw})
	return nil
}

func (ow *owner) rowPlace() Place { return Place{tableControl, ow.name, ownerKey} }
