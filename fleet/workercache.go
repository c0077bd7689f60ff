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

// Errors of a registration that lacks a field which the registrations of other workers have: no worker can have written it.
var (
	errNoMachine   = errors.New("registration without a machine")
	errNoStartTime = errors.New("registration without its worker's start time")
)

// optionalFields records which optional fields registrations have; this depends on the platform.
type optionalFields struct{ machine, startTime bool }

// with adds the fields of a worker's registration.
func (of optionalFields) with(wk cell.Worker) optionalFields {
	return optionalFields{of.machine || wk.Machine != "", of.startTime || wk.ID.StartMillis() != 0}
}

// missing returns an error if a worker's registration lacks one of the fields; nil if it has all.
func (of optionalFields) missing(wk cell.Worker) error {
	switch {
	case of.machine && wk.Machine == "":
		return errNoMachine
	case of.startTime && wk.ID.StartMillis() == 0:
		return errNoStartTime
	}
	return nil
}

// workerCache holds the registered workers, each with its newest incarnation.
type workerCache struct {
	mu      sync.Mutex // guards the fields below
	workers map[cell.WorkerName]cell.Worker
}

// optionalFields returns the fields that the cached registrations have.
func (wc *workerCache) optionalFields() (of optionalFields) {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	for _, wk := range wc.workers {
		of = of.with(wk)
	}
	return of
}

func newWorkerCache() *workerCache { return &workerCache{workers: map[cell.WorkerName]cell.Worker{}} }

// reset removes all workers.
func (wc *workerCache) reset() {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	wc.workers = map[cell.WorkerName]cell.Worker{}
}

// put stores a registration.
func (wc *workerCache) put(wk cell.Worker) {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	wc.workers[wk.ID.Name()] = wk
}

// get returns a worker's registration.
func (wc *workerCache) get(name cell.WorkerName) (cell.Worker, bool) {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	wk, known := wc.workers[name]
	return wk, known
}

// remove removes a worker and returns its registration.
func (wc *workerCache) remove(name cell.WorkerName) (cell.Worker, bool) {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	wk, known := wc.workers[name]
	delete(wc.workers, name)
	return wk, known
}

// inPool lists the workers of a pool.
func (wc *workerCache) inPool(pool job.PoolID) []cell.Worker {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	var list []cell.Worker
	for _, wk := range wc.workers {
		if wk.Pool == pool {
			list = append(list, wk)
		}
	}
	return list
}

// registrationRow is a registration, or the error of reading it.
type registrationRow struct {
	row    Row
	worker cell.Worker
	err    error
}

// writtenSince returns the earliest time at which the registrations of an answer may have been written: the time of the previous
// answer. Registrations from a load of the whole table may date from before an outage that has just ended.
func (fl *Fleet) writtenSince(sentAt time.Time) time.Time {
	if fl.registry.loaded() {
		_, previous := fl.registry.healthyPeriod()
		return previous
	}
	if since, _ := fl.control.healthyPeriod(); sentAt.Sub(since) < cell.RegistrationRenewal {
		return sentAt.Add(-staleAge)
	}
	return sentAt
}

// applyRegistrations applies changes of the workers' registrations.
func (fl *Fleet) applyRegistrations(rows []Row, sentAt time.Time) {
	writtenSince := fl.writtenSince(sentAt)
	usedFields := fl.workerCache.optionalFields()
	list := make([]registrationRow, 0, len(rows))
	for _, rw := range rows {
		rd := registrationRow{row: rw}
		if !rw.Deleted {
			rd.worker, rd.err = fl.opts.Format.Worker(rw)
			if rd.err == nil {
				rd.worker.WrittenAt = writtenSince
				usedFields = usedFields.with(rd.worker)
			}
		}
		list = append(list, rd)
	}
	for _, rd := range list {
		if rd.err == nil && !rd.row.Deleted {
			rd.err = usedFields.missing(rd.worker)
		}
		fl.applyRegistration(rd)
	}
}

// applyRegistration applies one registration.
func (fl *Fleet) applyRegistration(rd registrationRow) {
	name := cell.WorkerName(rd.row.Key)
	switch {
	case rd.row.Deleted:
		fl.unregister(name)
	case rd.err != nil:
		fl.opts.Log.Emit(event.RegistrationRejected, zap.String("worker", rd.row.Key), zap.Error(rd.err))
		fl.metrics.registrationsRejected.Inc(1)
		fl.markUnschedulable(name)
	default:
		fl.register(rd.worker)
	}
}

// markUnschedulable stops giving new tasks to a worker whose registration can't be read any more: whoever wrote it, it names no
// usable worker.
func (fl *Fleet) markUnschedulable(name cell.WorkerName) {
	if wk, known := fl.workerCache.get(name); known {
		wk.Unschedulable = true
		fl.register(wk)
	}
}

// register applies a registration. A worker that names another pool than before leaves the former pool. A worker that restarted
// under the same name is a new worker. The registration alone does not prove that the former incarnation has ended, since others
// can write entries too; only an answer from the worker's address does.
func (fl *Fleet) register(wk cell.Worker) {
	previous, known := fl.workerCache.get(wk.ID.Name())
	if known && previous.ID != wk.ID {
		fl.opts.Log.Emit(event.WorkerReborn, zap.String("worker", string(wk.ID)), zap.String("before", string(previous.ID)), zap.String("pool", string(wk.Pool)))
		fl.unregister(wk.ID.Name())
		known = false
	}
	fl.workerCache.put(wk)
	if known && previous.Pool != wk.Pool {
		previous.Unschedulable = true
		if ow := fl.ownerOf(cellName(previous.Pool)); ow != nil {
			ow.post(func(cr *cell.Core, now time.Time) { cr.Register(now, previous) })
		}
	}
	if ow := fl.ownerOf(cellName(wk.Pool)); ow != nil {
		ow.post(func(cr *cell.Core, now time.Time) { cr.Register(now, wk) })
	}
}

func (fl *Fleet) unregister(name cell.WorkerName) {
	wk, known := fl.workerCache.remove(name)
	if !known {
		return
	}
	if ow := fl.ownerOf(cellName(wk.Pool)); ow != nil {
		ow.post(func(cr *cell.Core, now time.Time) { cr.Unregister(now, wk.ID) })
	}
}
