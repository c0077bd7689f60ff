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
type writes struct {
	mu   sync.Mutex // guards what follows
	next batch
	// waiting tells that there is a batch.
	waiting chan struct{}
}

// batch is what one transaction writes.
type batch struct {
	save *cell.Save
	// enlist is the newest wish to name the workers in use. It names those of the ones before as well.
	enlist *cell.Enlist
	// since is when the first of them came.
	since time.Time
}

func newWrites() *writes { return &writes{waiting: make(chan struct{}, 1)} }

// add puts a write into the next batch. The core orders a save only once the one before is kept.
func (ws *writes) add(now time.Time, od cell.Order) {
	ws.mu.Lock()
	if ws.next.since.IsZero() {
		ws.next.since = now
	}
	switch order := od.(type) {
	case cell.Save:
		ws.next.save = &order
	case cell.Enlist:
		ws.next.enlist = &order
	}
	ws.mu.Unlock()
	select {
	case ws.waiting <- struct{}{}:
	default:
	}
}

// take returns the next batch; it is empty if none waits.
func (ws *writes) take() batch {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	next := ws.next
	ws.next = batch{}
	return next
}

// write carries out the owner's writes to the store until the context ends.
func (ow *owner) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ow.writes.waiting:
			if bt := ow.writes.take(); !bt.since.IsZero() {
				ow.waited(bt)
				ow.keep(ctx, bt)
			}
		}
	}
}

// waited notes how long a batch waited for the one before.
func (ow *owner) waited(bt batch) {
	span := ow.fl.opts.Now().Sub(bt.since)
	ow.fl.fig.writeWait.Update(span.Microseconds())
	if span >= slowCommit {
		ow.fl.opts.Log.Emit(event.WriteWaited, zap.String("cell", ow.name), zap.Bool("progress", bt.save != nil), zap.Bool("workers", bt.enlist != nil), zap.Duration("waited", span))
	}
}

// keep writes a batch. It is tried until the store says how it ended, since a try without an answer may still be carried out.
func (ow *owner) keep(ctx context.Context, bt batch) {
	tx := Tx{Expect: []Expect{{ow.place(), ow.rowVersion.Load()}}}
	if err := ow.addSave(&tx, bt.save); err != nil {
		ow.fl.opts.Log.Emit(event.SaveFailed, zap.String("cell", ow.name), zap.Error(err))
		return
	}
	if err := ow.addWorkers(&tx, bt.enlist); err != nil {
		ow.fl.opts.Log.Emit(event.SaveFailed, zap.String("cell", ow.name), zap.Error(err))
		return
	}
	version, ok := ow.commit(ctx, tx)
	if !ok {
		ow.post(func(cr *cell.Core, _ time.Time) { cr.EnlistFailed() })
		return
	}
	if bt.enlist != nil {
		ow.rowVersion.Store(version)
	}
	if bt.save != nil {
		ow.fl.fig.saves.Inc(1)
	}
	ow.post(func(cr *cell.Core, now time.Time) { bt.done(cr, now, version) })
}

// done tells the core that a batch is written.
func (bt batch) done(cr *cell.Core, now time.Time, version int64) {
	if bt.enlist != nil {
		cr.Enlisted(bt.enlist.Workers)
		cr.EnlistFailed()
	}
	if bt.save != nil {
		cr.Saved(now, version)
	}
}

// addSave adds progress rows to a transaction.
func (ow *owner) addSave(tx *Tx, sv *cell.Save) error {
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
func (ow *owner) addWorkers(tx *Tx, en *cell.Enlist) error {
	if en == nil {
		return nil
	}
	raw, err := json.Marshal(ownerRow{Holder: ow.fl.opts.Name, Incarnation: ow.fl.opts.Incarnation, Epoch: ow.epoch, Workers: en.Workers, Exposed: en.Exposed})
	if err != nil {
		return err
	}
	place := ow.place()
	tx.Write = append(tx.Write, Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw})
	return nil
}

func (ow *owner) place() Place { return Place{tableControl, ow.name, ownerKey} }
