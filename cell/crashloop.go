package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Crash loops are queues some of whose jobs crash workers. While a queue is in a crash loop, a worker gets new tasks of only one job at a time,
// so that the next crash shows which job is the cause. Long-running tasks are kept on other workers.
const (
	// crashLoopTTL is how long after the loss of a worker with recently started tasks their queues count as crash looping.
	crashLoopTTL = 10 * time.Second
	// maxDedicatedShare is the maximum share of the usable workers that are dedicated to long-running tasks during a crash loop.
	maxDedicatedShare = 0.5
	// crashLoopTurn is how long one job of a crash looping queue has a worker, or its new starts, to itself. crashLoopTurnPeriod is the time within
	// which each job has to get a turn. The pool is sized by it, with the room that the tasks take as the minimum.
	crashLoopTurn       = 500 * time.Millisecond
	crashLoopTurnPeriod = 4 * time.Second
	// crashLoopMinWorkers is the number of workers that crash looping queues keep even if other pools lack machines.
	crashLoopMinWorkers = 8
)

// markCrashLoop records that a worker was lost right after tasks of a queue had been started on it.
func (cr *Core) markCrashLoop(now time.Time, queue job.QueueID) {
	cr.crashLoops[queue] = now.Add(crashLoopTTL)
}

// crashLooping reports whether jobs of a queue have recently crashed workers.
func (cr *Core) crashLooping(now time.Time, queue job.QueueID) bool {
	return now.Before(cr.crashLoops[queue])
}

// expireCrashLoops removes queues whose jobs have not crashed a worker within crashLoopTTL.
func (cr *Core) expireCrashLoops(now time.Time) {
	for queue, until := range cr.crashLoops {
		if !now.Before(until) {
			delete(cr.crashLoops, queue)
		}
	}
}

// recentStarts describes the tasks started on a worker so recently that they would become suspects if it were lost now.
type recentStarts struct {
	// job is the job of the tasks. mixed means that they belong to several jobs.
	job   *jobState
	mixed bool
	// crashLooping means that one of them belongs to a crash looping queue. until is when the last of them stops being recent.
	crashLooping bool
	until        time.Time
}

// add adds a task.
func (rs *recentStarts) add(cr *Core, now, started time.Time, js *jobState) {
	rs.mixed = rs.mixed || rs.job != nil && rs.job != js
	rs.job = js
	rs.crashLooping = rs.crashLooping || cr.crashLooping(now, js.spec.Queue)
	rs.until = latest(rs.until, started.Add(suspectWindow))
}

// findRecentStarts finds the recent starts of all workers while a queue is crash looping, and chooses the workers that are dedicated to
// long-running tasks or freed for other pools.
func (cr *Core) findRecentStarts(rd *round) {
	cr.expireCrashLoops(rd.now)
	cr.dedicatedRoom = job.Size{}
	if len(cr.crashLoops) == 0 {
		return
	}
	for _, cd := range rd.usable {
		for _, pl := range cd.placed {
			if rd.now.Sub(pl.orderedAt) <= suspectWindow {
				cd.recentStarts.add(cr, rd.now, pl.orderedAt, pl.step.job)
			}
		}
	}
	if slices.ContainsFunc(cr.openJobs, func(js *jobState) bool { return !js.ended() && js.spec.Steps[0].LongRunning }) {
		cr.chooseDedicated(rd)
	}
	cr.chooseFreeing(rd)
}

// chooseFreeing chooses the workers to be emptied because other pools lack machines: those with the fewest tasks. With one job at a time on each
// worker, all of them would otherwise stay half empty and none would become idle.
func (cr *Core) chooseFreeing(rd *round) {
	keep := max(crashLoopMinWorkers, cr.machineLimit)
	if !rd.now.Before(cr.machineLimitUntil) || len(rd.usable) <= keep {
		return
	}
	list := slices.Clone(rd.usable)
	slices.SortStableFunc(list, func(one, other *candidate) int { return -cmp.Compare(len(one.placed), len(other.placed)) })
	for _, cd := range list[keep:] {
		cd.freeing = true
	}
}

// chooseDedicated chooses the workers that only take long-running tasks: those that already have the most of them.
func (cr *Core) chooseDedicated(rd *round) {
	if len(rd.usable) == 0 {
		return
	}
	list := slices.Clone(rd.usable)
	slices.SortStableFunc(list, func(one, other *candidate) int {
		return cmp.Or(-cmp.Compare(one.longRunning, other.longRunning), cmp.Compare(len(one.placed), len(other.placed)))
	})
	withLongRunning := 0
	for _, cd := range list {
		if cd.longRunning > 0 {
			withLongRunning++
		}
	}
	// A single worker is shared by all tasks.
	for _, cd := range list[:min(len(list)-1, max(1, min(withLongRunning, int(maxDedicatedShare*float64(len(list))))))] {
		cd.dedicated = true
		room := cd.info.Room
		for _, pl := range cd.placed {
			if pl.step.spec.LongRunning {
				room = room.Sub(pl.room)
			}
		}
		if cr.dedicatedRoom.Fits(room) {
			cr.dedicatedRoom = room
		}
	}
}

// crashLoopAllows reports whether a task may be started on a worker, once it has its turn there, while queues are crash looping. Tasks of crash
// looping queues may not start on dedicated workers or on workers to be freed for other pools. A long-running task without a spread limit may not
// start on other workers if it fits on a dedicated one.
func (cr *Core) crashLoopAllows(now time.Time, st *step, cd *candidate) bool {
	if len(cr.crashLoops) == 0 {
		return true
	}
	looping := cr.crashLooping(now, st.job.spec.Queue) && !st.spec.LongRunning
	if looping && (cd.dedicated || cd.freeing) {
		return false
	}
	if sp := st.spec; sp.LongRunning && !cd.dedicated && sp.SpreadLimit == 0 && sp.ResourceRequest().Fits(cr.dedicatedRoom) {
		// The task waits for one of the dedicated workers, which are scarce.
		return false
	}
	return true
}

// turnTaken reports whether a task has to wait for its turn on a worker, since another job has just had tasks started there and the queue of either
// is crash looping.
func (cr *Core) turnTaken(now time.Time, st *step, cd *candidate) bool {
	rs := &cd.recentStarts
	if rs.job == nil || !rs.mixed && rs.job == st.job {
		return false
	}
	if !rs.crashLooping && (st.spec.LongRunning || !cr.crashLooping(now, st.job.spec.Queue)) {
		return false
	}
	cr.wakeAt(rs.until)
	return true
}
