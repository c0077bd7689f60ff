package fleet

import (
	"context"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// Times of asking which lives have ended.
const (
	machineCheckInterval = 100 * time.Millisecond
	// censusAgain is the least time between two lists, since each has its price; censusPressing where connections of a worker broke, whose
	// tasks wait.
	minMachineListInterval       = 1200 * time.Millisecond
	minUrgentMachineListInterval = 500 * time.Millisecond
)

// census asks for the list of machines while workers are silent: a life that no machine runs any more has ended, and with it
// all that it ran, which is known sooner than that its leases have run out.
func (ow *owner) checkMachines(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		sleep(ctx, machineCheckInterval)
		now := ow.fl.opts.Now()
		ow.mu.Lock()
		missing, pressing := ow.core.Unresponsive(now)
		ow.mu.Unlock()
		gap := minMachineListInterval
		if pressing {
			gap = minUrgentMachineListInterval
		}
		if len(missing) == 0 || now.Sub(last) < gap {
			continue
		}
		last = now
		callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
		list, err := ow.fl.opts.Machines.List(callCtx)
		cancel()
		if err != nil {
			ow.fl.opts.Log.Emit(event.MachinesUnlisted, zap.String("cell", ow.name), zap.Error(err))
			continue
		}
		running := map[cell.WorkerName]bool{}
		pools := map[cell.MachineID]job.PoolID{}
		for _, mc := range list {
			running[mc.Worker], pools[mc.ID] = true, mc.Pool
		}
		ow.post(func(cr *cell.Core, at time.Time) {
			for _, id := range missing {
				pool, known := pools[cr.MachineOf(id)]
				switch {
				case running[id.Name()]:
					// It may be another life under the same name; whoever answers there tells.
				case known && pool != ow.pool():
					cr.WorkerMoved(at, id)
				default:
					cr.WorkerEnded(at, id)
				}
			}
		})
	}
}
