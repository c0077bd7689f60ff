package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

const (
	// machineLimitTTL is how long word that other pools lack machines counts; it comes four times a second.
	machineLimitTTL = time.Second
	// lateShareMin is the part of the room that late jobs are left in any case, so that they get on.
	lateShareMin = 0.6
)

// LimitMachines tells that there are too few machines for all pools, and how many this one is to have; firm if another has fewer than its tasks that
// last want, which must run at any time.
func (cr *Core) LimitMachines(now time.Time, machines int, firm bool) {
	cr.machineLimit, cr.machineLimitFirm, cr.machineLimitUntil = machines, firm, now.Add(machineLimitTTL)
}

// deferred reports whether a job waits so that machines become idle for pools whose jobs can still be in time: it is late; or for tasks that last.
func (cr *Core) deferred(rd *round, js *jobState) bool {
	if !rd.now.Before(cr.machineLimitUntil) || js.spec.Steps[0].LongRunning || !cr.machineLimitFirm && cr.laxity(rd.now, js) >= 0 {
		return false
	}
	return rd.utilization() > max(lateShareMin, float64(cr.machineLimit)/float64(len(rd.usable)))
}

// utilization is the share of the usable room that is taken, of its scarcer resource.
func (rd *round) utilization() float64 {
	return 1 - min(fraction(rd.free.CPUMillis, rd.room.CPUMillis), fraction(rd.free.MemoryMB, rd.room.MemoryMB))
}

// fullQueues lists the queues whose jobs cannot be served at this time: with the machines that the pool is to have, the work that can still be in
// time takes longer than a job that came now would be of any worth. Where there are machines for all the pool grows instead.
func (cr *Core) fullQueues(now time.Time, unit machineSize) map[job.QueueID]time.Duration {
	if !now.Before(cr.machineLimitUntil) || cr.machineLimit == 0 {
		return nil
	}
	ahead := 0.0
	objectives := map[job.QueueID]time.Duration{}
	for _, js := range cr.open {
		if js.ended() || js.spec.Steps[0].LongRunning || cr.laxity(now, js) < 0 {
			continue
		}
		ahead += cr.machineSeconds(js, unit)
		objectives[js.spec.Queue] = max(objectives[js.spec.Queue], cr.objective(js))
	}
	wait := time.Duration(ahead / float64(cr.machineLimit) * float64(time.Second))
	full := map[job.QueueID]time.Duration{}
	for id, objective := range objectives {
		if left := wait - expiryFactor*objective; left > 0 {
			full[id] = left
		}
	}
	return full
}

// machineSeconds is what is left of a job, in seconds of a whole machine.
func (cr *Core) machineSeconds(js *jobState, unit machineSize) float64 {
	mean := cr.runTimes.get(js.spec.Queue).mean.Seconds()
	rn := js.runs[max(0, js.nextRun-1)]
	sum := 0.0
	for at := range js.spec.Steps {
		left := js.spec.Steps[at].Count
		if rn != nil {
			left -= rn.steps[at].done
		}
		sum += unit.shareOf(js.spec.Steps[at].ResourceRequest()) * float64(left) * mean
	}
	return sum
}
