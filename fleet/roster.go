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

// errNoMachine says that a registration names no machine though those of others do, so that no worker wrote it.
var errNoMachine = errors.New("registration without a machine")

// roster holds the registered workers.
type roster struct {
	mu      sync.Mutex // guards what follows
	workers map[cell.WorkerID]cell.Worker
}

// namesMachines reports whether registered workers name their machines; where machines are not listed none does.
func (ro *roster) namesMachines() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, wk := range ro.workers {
		if wk.Machine != "" {
			return true
		}
	}
	return false
}

func newRoster() *roster { return &roster{workers: map[cell.WorkerID]cell.Worker{}} }

// clear forgets all workers.
func (ro *roster) clear() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.workers = map[cell.WorkerID]cell.Worker{}
}

// put takes a registration.
func (ro *roster) put(wk cell.Worker) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.workers[wk.ID] = wk
}

// get returns what is known of a worker.
func (ro *roster) get(id cell.WorkerID) (cell.Worker, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	wk, known := ro.workers[id]
	return wk, known
}

// drop forgets a worker and returns what was known of it.
func (ro *roster) drop(id cell.WorkerID) (cell.Worker, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	wk, known := ro.workers[id]
	delete(ro.workers, id)
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

// registryChanged takes changes of the workers' registrations.
func (fl *Fleet) registryChanged(rows []Row, _ time.Time) {
	named := fl.roster.namesMachines()
	list := make([]registrationRow, 0, len(rows))
	for _, rw := range rows {
		rd := registrationRow{row: rw}
		if !rw.Deleted {
			rd.worker, rd.err = fl.opts.Format.Worker(rw)
			named = named || rd.err == nil && rd.worker.Machine != ""
		}
		list = append(list, rd)
	}
	for _, rd := range list {
		if rd.err == nil && !rd.row.Deleted && named && rd.worker.Machine == "" {
			rd.err = errNoMachine
		}
		fl.takeRegistration(rd)
	}
}

// takeRegistration takes one.
func (fl *Fleet) takeRegistration(rd registrationRow) {
	id := cell.WorkerID(rd.row.Key)
	switch {
	case rd.row.Deleted:
		fl.unregister(id)
	case rd.err != nil:
		fl.opts.Log.Emit(event.RegistrationRejected, zap.String("worker", rd.row.Key), zap.Error(rd.err))
		fl.fig.registrationsRejected.Inc(1)
		fl.withdraw(id)
	default:
		fl.register(rd.worker)
	}
}

// withdraw keeps new tasks from a worker whose registration cannot be read any more: whoever wrote it, it names no worker to use.
func (fl *Fleet) withdraw(id cell.WorkerID) {
	if wk, known := fl.roster.get(id); known {
		wk.Withheld = true
		fl.register(wk)
	}
}

// register takes a registration. A worker that names another pool than before is none of the former's any more.
func (fl *Fleet) register(wk cell.Worker) {
	before, known := fl.roster.get(wk.ID)
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

func (fl *Fleet) unregister(id cell.WorkerID) {
	wk, known := fl.roster.drop(id)
	if !known {
		return
	}
	if ow := fl.ownerOf(cellName(wk.Pool)); ow != nil {
		ow.post(func(cr *cell.Core, now time.Time) { cr.Unregister(now, id) })
	}
}
