package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

const (
	// machineLimitTTL is how long a machine limit is valid. It is renewed four times a second.
	machineLimitTTL = time.Second
	// lateShareMin is the share of the room that late jobs may use in any case unless they are packed, so that they make progress.
	lateShareMin = 0.6
	// maxIdleYield is how long a late job with nothing running leaves machines to other pools while less than lateShareMin of its pool is in use.
	// Users ask that no job stands for 3 s in a pool that is less than half in use.
	maxIdleYield = 2 * time.Second
)

// LimitMachines sets the number of machines for this pool while there are too few for all pools. The limit is firm if another pool has fewer
// machines than its long-running tasks require, since those must run at any time.
func (cr *Core) LimitMachines(now time.Time, machines int, firm bool) {
	cr.machineLimit, cr.machineLimitFirm, cr.machineLimitUntil = machines, firm, now.Add(machineLimitTTL)
}

// PackLate makes late jobs use only as many workers as the machine limit allows, so that the others become idle for other pools. Without it they
// may use the same share of the room, or lateShareMin if that is more, but on all workers.
func (cr *Core) PackLate(pack bool) { cr.packLate = pack }

// packed reports whether a task may be started only on the workers that the pool keeps, since its job is late. It may use all if none of those
// could run it even if empty, or if it needs a worker to itself, which full ones never become.
func (cr *Core) packed(rd *round, st *step, at int) bool {
	js := st.job
	if !cr.packLate || st.tasks[at].losses.suspected() || !rd.now.Before(cr.machineLimitUntil) || len(rd.usable) <= cr.machineLimit || js.spec.Steps[0].LongRunning || cr.laxity(rd.now, js) >= 0 {
		return false
	}
	if cr.hasYielded(rd, js) {
		return false
	}
	if rd.kept == nil {
		rd.kept = cr.keptWorkers(rd)
	}
	return slices.ContainsFunc(rd.kept, func(cd *candidate) bool { return cr.feasibleIfEmpty(rd, st, cd) })
}

// feasibleIfEmpty reports whether a worker could run a task of the step if it were empty.
func (cr *Core) feasibleIfEmpty(rd *round, st *step, cd *candidate) bool {
	empty := *cd
	empty.free = cd.info.Room
	return cr.feasibleInTurn(rd.now, st, &empty)
}

// usableFor returns the workers that may receive a task now.
func (cr *Core) usableFor(rd *round, st *step, at int) []*candidate {
	if cr.packed(rd, st, at) {
		return rd.kept
	}
	return rd.usable
}

// keptWorkers returns as many workers as the machine limit allows: those with long-running tasks first, which stay in any case, then the fullest.
func (cr *Core) keptWorkers(rd *round) []*candidate {
	kept := slices.Clone(rd.usable)
	slices.SortStableFunc(kept, func(one, other *candidate) int {
		return cmp.Or(cmp.Compare(min(1, other.longRunning), min(1, one.longRunning)), cmp.Compare(fraction(one.free.CPUMillis, one.info.Room.CPUMillis), fraction(other.free.CPUMillis, other.info.Room.CPUMillis)))
	})
	return kept[:max(1, cr.machineLimit)]
}

// deferred reports whether a task has to wait so that machines become idle for other pools. This holds for tasks of late jobs, and with a firm
// limit for all but long-running ones.
func (cr *Core) deferred(rd *round, st *step, at int) bool {
	js := st.job
	if !rd.now.Before(cr.machineLimitUntil) || js.spec.Steps[0].LongRunning || !cr.machineLimitFirm && cr.laxity(rd.now, js) >= 0 {
		return false
	}
	if !cr.machineLimitFirm && cr.packed(rd, st, at) {
		return false
	}
	return rd.utilization() > max(lateShareMin, float64(cr.machineLimit)/float64(len(rd.usable))) && !cr.hasYielded(rd, js)
}

// hasYielded reports whether a job has had nothing running for maxIdleYield although most of its pool is free. The pool includes the workers that accept
// no tasks at present, unlike the room that deferred looks at: with many of those a few tasks fill the rest. One task is enough for the job to yield again.
func (cr *Core) hasYielded(rd *round, js *jobState) bool {
	since, idle := cr.idleSince(rd.now, js)
	return idle && rd.now.Sub(since) >= maxIdleYield && shareOf(rd.used, rd.poolRoom) < lateShareMin
}

// utilization returns the used share of the room of the usable workers, by the scarcer resource. Room that is not counted on at present, since a
// registration is old or a worker cold, is not in use.
func (rd *round) utilization() float64 { return shareOf(rd.used, rd.room) }

// shareOf returns the used share of a room, by the scarcer resource.
func shareOf(used, room job.Size) float64 {
	return max(fraction(used.CPUMillis, room.CPUMillis), fraction(used.MemoryMB, room.MemoryMB))
}

// fullQueues returns the queues whose new jobs cannot be served at present: with the machine limit, the work that can still meet its objective
// takes longer than the time after which a new job expires. Without a limit the pool grows instead. Long-running
// tasks are never refused: they do not count here.
func (cr *Core) fullQueues(now time.Time, unit machineSize) map[job.QueueID]time.Duration {
	if cr.startingStopped {
		return cr.allQueuesFull()
	}
	if !now.Before(cr.machineLimitUntil) || cr.machineLimit == 0 {
		return nil
	}
	pending := 0.0
	objectives := map[job.QueueID]time.Duration{}
	for _, js := range cr.openJobs {
		if js.ended() || js.spec.Steps[0].LongRunning || cr.laxity(now, js) < 0 {
			continue
		}
		pending += cr.machineSeconds(js, unit)
		objectives[js.spec.Queue] = max(objectives[js.spec.Queue], cr.objective(js))
	}
	wait := time.Duration(pending / float64(cr.machineLimit) * float64(time.Second))
	full := map[job.QueueID]time.Duration{}
	for id, objective := range objectives {
		if retryAfter := wait - expiryFactor*objective; retryAfter > 0 {
			full[id] = retryAfter
		}
	}
	return full
}

// stoppedRetryAfter is the time after which callers should retry while nothing can be started.
const stoppedRetryAfter = 10 * time.Second

// allQueuesFull returns all queues of the pool.
func (cr *Core) allQueuesFull() map[job.QueueID]time.Duration {
	full := map[job.QueueID]time.Duration{}
	for id, qu := range cr.queues {
		if qu.Pool == cr.pool {
			full[id] = stoppedRetryAfter
		}
	}
	return full
}

// machineSeconds returns the remaining work of a job in machine-seconds.
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
