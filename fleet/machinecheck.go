package fleet

import (
	"context"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/machine"
	"go.uber.org/zap"
)

// Intervals of checking which workers have ended.
const (
	machineCheckInterval = 100 * time.Millisecond
	// minMachineListInterval is the minimum time between two requests for the list of machines, since each is expensive.
	// minUrgentMachineListInterval applies if connections to a worker broke, because its tasks wait for the result.
	minMachineListInterval       = 1200 * time.Millisecond
	minUrgentMachineListInterval = 500 * time.Millisecond
)

// checkMachines lists the machines while workers do not answer. A worker incarnation that no machine runs any more has ended
// together with all of its tasks. The list shows that sooner than the leases run out.
func (ow *owner) checkMachines(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		sleep(ctx, machineCheckInterval)
		now := ow.fl.opts.Now()
		ow.mu.Lock()
		unresponsive, urgent := ow.core.Unresponsive(now)
		ow.mu.Unlock()
		interval := minMachineListInterval
		if urgent {
			interval = minUrgentMachineListInterval
		}
		if len(unresponsive) == 0 || now.Sub(last) < interval {
			continue
		}
		last = now
		list, err := ow.fl.listMachines(ctx)
		if err != nil {
			ow.fl.opts.Log.Emit(event.MachinesUnlisted, zap.String("cell", ow.name), zap.Error(err))
			continue
		}
		running := map[cell.WorkerName]bool{}
		machines := map[cell.MachineID]machine.Machine{}
		for _, mc := range list {
			running[mc.Worker], machines[mc.ID] = true, mc
		}
		ow.post(func(cr *cell.Core, at time.Time) {
			for _, id := range unresponsive {
				mc, known := machines[cr.MachineOf(id)]
				switch {
				case running[id.Name()]:
					// A later incarnation may run under the same name; its answer will tell.
				case known && (mc.Pool != ow.pool() || mc.State == machine.Moving):
					cr.WorkerMoved(at, id)
				case mc.State == machine.Maintenance:
					cr.WorkerEndedByOrder(at, id)
				default:
					cr.WorkerEnded(at, id)
				}
			}
		})
	}
}
