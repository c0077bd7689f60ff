package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Queues some of whose jobs crash workers. While that goes on, tasks of one job only are started on a worker at a time, so that the next crash
// tells whose it is, and tasks that last are kept apart from them.
const (
	// crashLoopTTL is how long after a worker ended under tasks that had just been started their queues are taken for such ones.
	crashLoopTTL = 10 * time.Second
	// maxDedicatedShare is the most of the usable workers that are for tasks that last alone meanwhile.
	maxDedicatedShare = 0.5
	// crashLoopTurn is how long a job of such a queue has a worker's starts, or a worker, to itself; turnWithin within which time each is to have had
	// its turn, by which the pool is sized: the room that its tasks take is the least of what it wants.
	crashLoopTurn       = 500 * time.Millisecond
	crashLoopTurnPeriod = 4 * time.Second
	// crashLoopMinWorkers is how many workers such queues keep though other pools lack machines.
	crashLoopMinWorkers = 8
)

// markCrashLoop notes that a worker ended right after tasks of a queue had been started there.
func (cr *Core) markCrashLoop(now time.Time, queue job.QueueID) {
	cr.crashLoops[queue] = now.Add(crashLoopTTL)
}

// crashLooping reports whether jobs of a queue have crashed workers of late.
func (cr *Core) crashLooping(now time.Time, queue job.QueueID) bool {
	return now.Before(cr.crashLoops[queue])
}

// expireCrashLoops forgets queues that have crashed none for a while.
func (cr *Core) expireCrashLoops(now time.Time) {
	for queue, until := range cr.crashLoops {
		if !now.Before(until) {
			delete(cr.crashLoops, queue)
		}
	}
}

// recentStarts are the tasks that were started on a worker so lately that they would be under suspicion if it ended now.
type recentStarts struct {
	// job is theirs; mixed means that they are of several.
	job   *jobState
	mixed bool
	// crashLooping means that one of them is of a queue that crashes workers, until when the last of them is new.
	crashLooping bool
	until        time.Time
}

// add adds a task that is started now.
func (nc *recentStarts) add(cr *Core, now, started time.Time, js *jobState) {
	nc.mixed = nc.mixed || nc.job != nil && nc.job != js
	nc.job = js
	nc.crashLooping = nc.crashLooping || cr.crashLooping(now, js.spec.Queue)
	nc.until = latest(nc.until, started.Add(suspectWindow))
}

// findRecentStarts looks for the newcomers of all workers, as long as some queue crashes workers, for shelter for tasks that last, and for workers to
// give away.
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

// chooseFreeing chooses the workers that are to become idle, since other pools lack machines: those with the least on them. One job at a time on each
// keeps all of them half empty otherwise, and none idle.
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

// chooseDedicated chooses the workers that are for tasks that last alone: those with the most of them.
func (cr *Core) chooseDedicated(rd *round) {
	if len(rd.usable) == 0 {
		return
	}
	list := slices.Clone(rd.usable)
	slices.SortStableFunc(list, func(one, other *candidate) int {
		return cmp.Or(-cmp.Compare(one.longRunning, other.longRunning), cmp.Compare(len(one.placed), len(other.placed)))
	})
	lasting := 0
	for _, cd := range list {
		if cd.longRunning > 0 {
			lasting++
		}
	}
	// One worker alone is for all.
	for _, cd := range list[:min(len(list)-1, max(1, min(lasting, int(maxDedicatedShare*float64(len(list))))))] {
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

// crashLoopAllows reports whether a task may be started on a worker while queues crash workers: not beside newcomers of another job if the queue of either
// does, nor where it would be kept from tasks that last or from machines that other pools lack.
func (cr *Core) crashLoopAllows(now time.Time, st *step, cd *candidate) bool {
	if len(cr.crashLoops) == 0 {
		return true
	}
	plagued := cr.crashLooping(now, st.job.spec.Queue) && !st.spec.LongRunning
	if plagued && (cd.dedicated || cd.freeing) {
		return false
	}
	if sp := st.spec; sp.LongRunning && !cd.dedicated && sp.SpreadLimit == 0 && sp.ResourceRequest().Fits(cr.dedicatedRoom) {
		// It waits for what is short and ends there.
		return false
	}
	if nc := &cd.recentStarts; nc.job != nil && (nc.mixed || nc.job != st.job) && (plagued || nc.crashLooping) {
		cr.wakeAt(nc.until)
		return false
	}
	return true
}
