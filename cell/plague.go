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
	// plagueFor is how long after a worker ended under tasks that had just been started their queues are taken for such ones.
	plagueFor = 10 * time.Second
	// shelterShare is the most of the usable workers that are for tasks that last alone meanwhile.
	shelterShare = 0.5
	// turnTime is how long a job of such a queue has a worker's starts, or a worker, to itself; turnWithin within which time each is to have had
	// its turn, by which the pool is sized: the room that its tasks take is the least of what it wants.
	turnTime   = 500 * time.Millisecond
	turnWithin = 4 * time.Second
	// givenLeast is how many workers such queues keep though other pools lack machines.
	givenLeast = 8
)

// plague notes that a worker ended right after tasks of a queue had been started there.
func (cr *Core) plague(now time.Time, queue job.QueueID) {
	cr.plagues[queue] = now.Add(plagueFor)
}

// plagued reports whether jobs of a queue have crashed workers of late.
func (cr *Core) plagued(now time.Time, queue job.QueueID) bool { return now.Before(cr.plagues[queue]) }

// endPlagues forgets queues that have crashed none for a while.
func (cr *Core) endPlagues(now time.Time) {
	for queue, until := range cr.plagues {
		if !now.Before(until) {
			delete(cr.plagues, queue)
		}
	}
}

// newcomers are the tasks that were started on a worker so lately that they would be under suspicion if it ended now.
type newcomers struct {
	// job is theirs; mixed means that they are of several.
	job   *jobState
	mixed bool
	// plagued means that one of them is of a queue that crashes workers, until when the last of them is new.
	plagued bool
	until   time.Time
}

// join adds a task that is started now.
func (nc *newcomers) join(cr *Core, now, started time.Time, js *jobState) {
	nc.mixed = nc.mixed || nc.job != nil && nc.job != js
	nc.job = js
	nc.plagued = nc.plagued || cr.plagued(now, js.spec.Queue)
	nc.until = latest(nc.until, started.Add(suspectWindow))
}

// findNewcomers looks for the newcomers of all workers, as long as some queue crashes workers, for shelter for tasks that last, and for workers to
// give away.
func (cr *Core) findNewcomers(rd *round) {
	cr.endPlagues(rd.now)
	cr.shelterRoom = job.Size{}
	if len(cr.plagues) == 0 {
		return
	}
	for _, cd := range rd.usable {
		for _, pl := range cd.placed {
			if rd.now.Sub(pl.ordered) <= suspectWindow {
				cd.recentStarts.join(cr, rd.now, pl.ordered, pl.step.job)
			}
		}
	}
	if slices.ContainsFunc(cr.open, func(js *jobState) bool { return !js.ended() && js.spec.Steps[0].LongRunning }) {
		cr.findShelter(rd)
	}
	cr.findGiven(rd)
}

// findGiven chooses the workers that are to become idle, since other pools lack machines: those with the least on them. One job at a time on each
// keeps all of them half empty otherwise, and none idle.
func (cr *Core) findGiven(rd *round) {
	keep := max(givenLeast, cr.machineLimit)
	if !rd.now.Before(cr.machineLimitUntil) || len(rd.usable) <= keep {
		return
	}
	list := slices.Clone(rd.usable)
	slices.SortStableFunc(list, func(one, other *candidate) int { return -cmp.Compare(len(one.placed), len(other.placed)) })
	for _, cd := range list[keep:] {
		cd.freeing = true
	}
}

// findShelter chooses the workers that are for tasks that last alone: those with the most of them.
func (cr *Core) findShelter(rd *round) {
	if len(rd.usable) == 0 {
		return
	}
	list := slices.Clone(rd.usable)
	slices.SortStableFunc(list, func(one, other *candidate) int {
		return cmp.Or(-cmp.Compare(one.lasting, other.lasting), cmp.Compare(len(one.placed), len(other.placed)))
	})
	lasting := 0
	for _, cd := range list {
		if cd.lasting > 0 {
			lasting++
		}
	}
	// One worker alone is for all.
	for _, cd := range list[:min(len(list)-1, max(1, min(lasting, int(shelterShare*float64(len(list))))))] {
		cd.dedicated = true
		room := cd.info.Room
		for _, pl := range cd.placed {
			if pl.step.spec.LongRunning {
				room = room.Sub(pl.room)
			}
		}
		if cr.shelterRoom.Fits(room) {
			cr.shelterRoom = room
		}
	}
}

// apart reports whether a task may be started on a worker while queues crash workers: not beside newcomers of another job if the queue of either
// does, nor where it would be kept from tasks that last or from machines that other pools lack.
func (cr *Core) apart(now time.Time, st *step, cd *candidate) bool {
	if len(cr.plagues) == 0 {
		return true
	}
	plagued := cr.plagued(now, st.job.spec.Queue) && !st.spec.LongRunning
	if plagued && (cd.dedicated || cd.freeing) {
		return false
	}
	if sp := st.spec; sp.LongRunning && !cd.dedicated && sp.SpreadLimit == 0 && sp.ResourceRequest().Fits(cr.shelterRoom) {
		// It waits for what is short and ends there.
		return false
	}
	if nc := &cd.recentStarts; nc.job != nil && (nc.mixed || nc.job != st.job) && (plagued || nc.plagued) {
		cr.wakeAt(nc.until)
		return false
	}
	return true
}
