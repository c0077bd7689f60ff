package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

const (
	// yieldFor is how long word that other pools lack machines counts; it comes four times a second.
	yieldFor = time.Second
	// yieldLeast is the part of the room that late jobs are left in any case, so that they get on.
	yieldLeast = 0.6
)

// Yield tells that there are too few machines for all pools, and how many this one is to have; firm if another has fewer than its tasks that
// last want, which must run at any time.
func (cr *Core) Yield(now time.Time, machines int, firm bool) {
	cr.yieldTo, cr.yieldFirm, cr.yieldUntil = machines, firm, now.Add(yieldFor)
}

// yields reports whether a job waits so that machines become idle for pools whose jobs can still be in time: it is late; or for tasks that last.
func (cr *Core) yields(rd *round, js *jobState) bool {
	if !rd.now.Before(cr.yieldUntil) || js.spec.Steps[0].LongRunning || !cr.yieldFirm && cr.laxity(rd.now, js) >= 0 {
		return false
	}
	return rd.inUse() > max(yieldLeast, float64(cr.yieldTo)/float64(len(rd.usable)))
}

// inUse is the share of the usable room that is taken, of its scarcer resource.
func (rd *round) inUse() float64 {
	return 1 - min(share(rd.free.CPUMillis, rd.room.CPUMillis), share(rd.free.MemoryMB, rd.room.MemoryMB))
}

// full lists the queues whose jobs cannot be served at this time: with the machines that the pool is to have, the work that can still be in
// time takes longer than a job that came now would be of any worth. Where there are machines for all the pool grows instead.
func (cr *Core) full(now time.Time, unit size) map[job.QueueID]time.Duration {
	if !now.Before(cr.yieldUntil) || cr.yieldTo == 0 {
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
	wait := time.Duration(ahead / float64(cr.yieldTo) * float64(time.Second))
	full := map[job.QueueID]time.Duration{}
	for id, objective := range objectives {
		if left := wait - lateFactor*objective; left > 0 {
			full[id] = left
		}
	}
	return full
}

// machineSeconds is what is left of a job, in seconds of a whole machine.
func (cr *Core) machineSeconds(js *jobState, unit size) float64 {
	mean := cr.run.of(js.spec.Queue).task.Seconds()
	rn := js.runs[max(0, js.nextRun-1)]
	sum := 0.0
	for at := range js.spec.Steps {
		left := js.spec.Steps[at].Count
		if rn != nil {
			left -= rn.steps[at].done
		}
		sum += unit.part(js.spec.Steps[at].ResourceRequest()) * float64(left) * mean
	}
	return sum
}
