package fleet

import (
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
	"go.uber.org/zap"
)

// roster holds the registered workers.
type roster struct {
	mu      sync.Mutex // guards what follows
	workers map[cell.WorkerID]listed
	// left is when a worker's registration was last seen to go, by machine.
	left map[cell.MachineID]time.Time
}

// listed is a registered worker, and since when it has been seen here.
type listed struct {
	cell.Worker
	since time.Time
}

func newRoster() *roster {
	return &roster{workers: map[cell.WorkerID]listed{}, left: map[cell.MachineID]time.Time{}}
}

// put takes a registration.
func (ro *roster) put(now time.Time, wk cell.Worker) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if old, known := ro.workers[wk.ID]; known {
		now = old.since
	}
	ro.workers[wk.ID] = listed{wk, now}
}

// drop forgets a worker and returns what was known of it.
func (ro *roster) drop(now time.Time, id cell.WorkerID) (cell.Worker, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	li, known := ro.workers[id]
	if known {
		delete(ro.workers, id)
		ro.left[li.Machine] = now
	}
	return li.Worker, known
}

// of lists the workers of a pool.
func (ro *roster) of(pool job.PoolID) []cell.Worker {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var list []cell.Worker
	for _, li := range ro.workers {
		if li.Pool == pool {
			list = append(list, li.Worker)
		}
	}
	return list
}

// undisturbed reports whether a machine is up and its worker, or that it has none, has been the same since a time.
func (ro *roster) undisturbed(mc machine.Machine, since time.Time) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if mc.State != machine.Up || ro.left[mc.ID].After(since) {
		return false
	}
	_, known := ro.workers[mc.Worker]
	if mc.Worker != "" && !known {
		return false
	}
	for id, li := range ro.workers {
		if li.Machine == mc.ID && (id != mc.Worker || li.since.After(since)) {
			return false
		}
	}
	return true
}

// registryChanged takes changes of the workers' registrations.
func (fl *Fleet) registryChanged(rows []Row, _ time.Time) {
	for _, rw := range rows {
		id := cell.WorkerID(rw.Key)
		if rw.Deleted {
			fl.unregister(id)
			continue
		}
		wk, err := fl.opts.Format.Worker(rw)
		if err != nil {
			fl.opts.Log.Emit(event.RegistrationRejected, zap.String("worker", rw.Key), zap.Error(err))
			continue
		}
		fl.register(wk)
	}
}

func (fl *Fleet) register(wk cell.Worker) {
	fl.roster.put(fl.opts.Now(), wk)
	if ow := fl.ownerOf(cellName(wk.Pool)); ow != nil {
		ow.post(func(cr *cell.Core, now time.Time) { cr.Register(now, wk) })
	}
}

func (fl *Fleet) unregister(id cell.WorkerID) {
	wk, known := fl.roster.drop(fl.opts.Now(), id)
	if !known {
		return
	}
	if ow := fl.ownerOf(cellName(wk.Pool)); ow != nil {
		ow.post(func(cr *cell.Core, now time.Time) { cr.Unregister(now, id) })
	}
}
