package fleet

import (
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
)

// maintainsInLull reports whether waves prefer machines that their pools do not need, and work that can continue elsewhere leaves ahead of them.
func (fl *Fleet) maintainsInLull() bool {
	return fl.opts.Functions.LullMaintenance.Holds(fl.config.Load())
}

// newWaveRunner returns a wave runner for a term of leadership that begins now.
func (fl *Fleet) newWaveRunner() *machine.WaveRunner {
	wr := machine.NewWaveRunner(fl.opts.Now(), machineCooldown)
	if fl.maintainsInLull() {
		// Until the first loads are known, only overdue machines are taken.
		wr.SetLull(&machine.Lull{})
	}
	return wr
}

// setLull passes the newest loads to the wave runner. The caller holds the lock.
func (ct *machineController) setLull(now time.Time, loads map[job.PoolID]cell.Load) {
	if !ct.fl.maintainsInLull() {
		ct.waveRunner.SetLull(nil)
		return
	}
	ct.waveRunner.SetLull(ct.sizer.Lull(now, loads))
}

// countDrain counts a request to drain a worker by its reason.
func (fm fleetMetrics) countDrain(reason machine.Reason) {
	if counter, ok := fm.drains[reason]; ok {
		counter.Inc(1)
	}
}
