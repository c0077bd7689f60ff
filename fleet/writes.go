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

// writes are those of a cell's owner that wait for the one under way. They all need the condition of the cell's row, so they go one after
// the other; what waits goes together, so that no write waits for more than one besides its own, and the owner waits for none.
type writeQueue struct {
	mu      sync.Mutex // guards what follows
	pending writeBatch
	// waiting tells that there is a batch.
	ready chan struct{}
}

// batch is what one transaction writes.
type writeBatch struct {
	save *cell.Save
	// enlist is the newest wish to name the workers in use. It names those of the ones before as well.
	enlist *cell.RecordWorkers
	// since is when the first of them came.
	queuedAt time.Time
}

func newWriteQueue() *writeQueue { return &writeQueue{ready: make(chan struct{}, 1)} }

// add puts a write into the next batch. The core orders a save only once the one before is kept.
func (wq *writeQueue) add(now time.Time, od cell.Order) {
	wq.mu.Lock()
	if wq.pending.queuedAt.IsZero() {
		wq.pending.queuedAt = now
	}
	switch order := od.(type) {
	case cell.Save:
		wq.pending.save = &order
	case cell.RecordWorkers:
		wq.pending.enlist = &order
	}
	wq.mu.Unlock()
	select {
	case wq.ready <- struct{}{}:
	default:
	}
}

// take returns the next batch; it is empty if none waits.
func (wq *writeQueue) takeBatch() writeBatch {
	wq.mu.Lock()
	defer wq.mu.Unlock()
	next := wq.pending
	wq.pending = writeBatch{}
	return next
}

// write carries out the owner's writes to the store until the context ends.
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

// waited notes how long a batch waited for the one before.
func (ow *owner) recordWriteWait(wb writeBatch) {
	waited := ow.fl.opts.Now().Sub(wb.queuedAt)
	ow.fl.metrics.writeWait.Update(waited.Microseconds())
	if waited >= slowCommitThreshold {
		ow.fl.opts.Log.Emit(event.WriteWaited, zap.String("cell", ow.name), zap.Bool("progress", wb.save != nil), zap.Bool("workers", wb.enlist != nil), zap.Duration("waited", waited))
	}
}

// keep writes a batch. It is tried until the store says how it ended, since a try without an answer may still be carried out.
func (ow *owner) commitBatch(ctx context.Context, wb writeBatch) {
	tx := Tx{Expect: []Expect{{ow.rowPlace(), ow.rowVersion.Load()}}}
	if err := ow.addProgress(&tx, wb.save); err != nil {
		ow.fl.opts.Log.Emit(event.SaveFailed, zap.String("cell", ow.name), zap.Error(err))
		return
	}
	if err := ow.addWorkers(&tx, wb.enlist); err != nil {
		ow.fl.opts.Log.Emit(event.SaveFailed, zap.String("cell", ow.name), zap.Error(err))
		return
	}
	version, ok := ow.commit(ctx, tx)
	if !ok {
		ow.post(func(cr *cell.Core, _ time.Time) { cr.EnlistFailed() })
		return
	}
	if wb.enlist != nil {
		ow.rowVersion.Store(version)
	}
	if wb.save != nil {
		ow.fl.metrics.saves.Inc(1)
	}
	ow.post(func(cr *cell.Core, now time.Time) { wb.notifyCore(cr, now, version) })
}

// done tells the core that a batch is written.
func (wb writeBatch) notifyCore(cr *cell.Core, now time.Time, version int64) {
	if wb.enlist != nil {
		cr.WorkersRecorded(wb.enlist.Workers)
		cr.EnlistFailed()
	}
	if wb.save != nil {
		cr.Saved(now, version)
	}
}

// addSave adds progress rows to a transaction.
func (ow *owner) addProgress(tx *Tx, sv *cell.Save) error {
	if sv == nil {
		return nil
	}
	for _, row := range sv.Rows {
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

// addWorkers adds the cell's row with the workers that are used.
func (ow *owner) addWorkers(tx *Tx, en *cell.RecordWorkers) error {
	if en == nil {
		return nil
	}
	raw, err := json.Marshal(ownerRow{Holder: ow.fl.opts.Name, Incarnation: ow.fl.opts.Incarnation, Epoch: ow.epoch, Workers: en.Workers, UnseenLossEpoch: en.UnseenLossEpoch})
	if err != nil {
		return err
	}
	place := ow.rowPlace()
	tx.Write = append(tx.Write, Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw})
	return nil
}

func (ow *owner) rowPlace() Place { return Place{tableControl, ow.name, ownerKey} }
