package fleet

import (
	"errors"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// Errors of a registration that lacks what those of others have, so that no worker wrote it.
var (
	errNoMachine = errors.New("registration without a machine")
	errNoLife    = errors.New("registration that does not tell when its worker started")
)

// traits are what registrations of workers have on some platforms and on others not.
type traits struct{ machine, life bool }

// of adds what a worker's registration has.
func (tt traits) of(wk cell.Worker) traits {
	return traits{tt.machine || wk.Machine != "", tt.life || wk.ID.Born() != 0}
}

// lacks says what a worker's registration does not have; nil if it has all.
func (tt traits) lacks(wk cell.Worker) error {
	switch {
	case tt.machine && wk.Machine == "":
		return errNoMachine
	case tt.life && wk.ID.Born() == 0:
		return errNoLife
	}
	return nil
}

// roster holds the registered workers, each in its newest life.
type roster struct {
	mu      sync.Mutex // guards what follows
	workers map[cell.WorkerName]cell.Worker
}

// traits are what the registrations of workers have.
func (ro *roster) traits() (tt traits) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, wk := range ro.workers {
		tt = tt.of(wk)
	}
	return tt
}

func newRoster() *roster { return &roster{workers: map[cell.WorkerName]cell.Worker{}} }

// clear forgets all workers.
func (ro *roster) clear() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.workers = map[cell.WorkerName]cell.Worker{}
}

// put takes a registration.
func (ro *roster) put(wk cell.Worker) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.workers[wk.ID.Name()] = wk
}

// get returns what is known of a worker.
func (ro *roster) get(name cell.WorkerName) (cell.Worker, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	wk, known := ro.workers[name]
	return wk, known
}

// drop forgets a worker and returns what was known of it.
func (ro *roster) drop(name cell.WorkerName) (cell.Worker, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	wk, known := ro.workers[name]
	delete(ro.workers, name)
	return wk, known
}

// of lists the workers of a pool.
func (ro *roster) of(pool job.PoolID) []cell.Worker {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var list []cell.Worker
	for _, wk := range ro.workers {
		if wk.Pool == pool {
			list = append(list, wk)
		}
	}
	return list
}

// registrationRow is a registration as it was read, or why it could not be.
type registrationRow struct {
	row    Row
	worker cell.Worker
	err    error
}

// told is since when registrations were written that came with an answer: since the answer before it. Those that are read whole may be from before
// an outage that has just ended.
func (fl *Fleet) told(asked time.Time) time.Time {
	if fl.registry.loaded() {
		_, before := fl.registry.healthy()
		return before
	}
	if since, _ := fl.control.healthy(); asked.Sub(since) < cell.RenewedWithin {
		return asked.Add(-longAgo)
	}
	return asked
}

// registryChanged takes changes of the workers' registrations.
func (fl *Fleet) registryChanged(rows []Row, asked time.Time) {
	told := fl.told(asked)
	usual := fl.roster.traits()
	list := make([]registrationRow, 0, len(rows))
	for _, rw := range rows {
		rd := registrationRow{row: rw}
		if !rw.Deleted {
			rd.worker, rd.err = fl.opts.Format.Worker(rw)
			if rd.err == nil {
				rd.worker.Told = told
				usual = usual.of(rd.worker)
			}
		}
		list = append(list, rd)
	}
	for _, rd := range list {
		if rd.err == nil && !rd.row.Deleted {
			rd.err = usual.lacks(rd.worker)
		}
		fl.takeRegistration(rd)
	}
}

// takeRegistration takes one.
func (fl *Fleet) takeRegistration(rd registrationRow) {
	name := cell.WorkerName(rd.row.Key)
	switch {
	case rd.row.Deleted:
		fl.unregister(name)
	case rd.err != nil:
		fl.opts.Log.Emit(event.RegistrationRejected, zap.String("worker", rd.row.Key), zap.Error(rd.err))
		fl.fig.registrationsRejected.Inc(1)
		fl.withdraw(name)
	default:
		fl.register(rd.worker)
	}
}

// withdraw keeps new tasks from a worker whose registration cannot be read any more: whoever wrote it, it names no worker to use.
func (fl *Fleet) withdraw(name cell.WorkerName) {
	if wk, known := fl.roster.get(name); known {
		wk.Withheld = true
		fl.register(wk)
	}
}

// register takes a registration. A worker that names another pool than before is none of the former's any more. One that started again under its
// name is a worker of its own: that its former life is over is for whoever answers there to tell, since others write entries too.
func (fl *Fleet) register(wk cell.Worker) {
	before, known := fl.roster.get(wk.ID.Name())
	if known && before.ID != wk.ID {
		fl.opts.Log.Emit(event.WorkerReborn, zap.String("worker", string(wk.ID)), zap.String("before", string(before.ID)), zap.String("pool", string(wk.Pool)))
		fl.unregister(wk.ID.Name())
		known = false
	}
	fl.roster.put(wk)
	if known && before.Pool != wk.Pool {
		before.Withheld = true
		if ow := fl.ownerOf(cellName(before.Pool)); ow != nil {
			ow.post(func(cr *cell.Core, now time.Time) { cr.Register(now, before) })
		}
	}
	if ow := fl.ownerOf(cellName(wk.Pool)); ow != nil {
		ow.post(func(cr *cell.Core, now time.Time) { cr.Register(now, wk) })
	}
}

func (fl *Fleet) unregister(name cell.WorkerName) {
	wk, known := fl.roster.drop(name)
	if !known {
		return
	}
	if ow := fl.ownerOf(cellName(wk.Pool)); ow != nil {
		ow.post(func(cr *cell.Core, now time.Time) { cr.Unregister(now, wk.ID) })
	}
}
