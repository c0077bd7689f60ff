package cell

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preemptAfter is how long a task waits for room before one of a lower priority is stopped for it: most tasks end within a second, and
	// urgent work is to begin within 1.1 s, which leaves time for the stop.
	preemptAfter = 300 * time.Millisecond
	// preemptMost is how many tasks of a step get room in this way at once, preemptSteps how many steps in one round of placing: the
	// search goes through all workers.
	preemptMost  = 16
	preemptSteps = 4
)

// lowest is the lowest priority of the tasks that run, as a number that is higher the lower it is. It is looked for once a round.
func (cr *Core) lowest(rd *round) int {
	if rd.lowestKnown {
		return rd.lowest
	}
	rd.lowestKnown, rd.lowest = true, 0
	for _, cd := range rd.usable {
		for _, pl := range cd.placed {
			if !pl.step.spec.LongRunning {
				rd.lowest = max(rd.lowest, cr.queues[pl.step.job.spec.Queue].Priority)
			}
		}
	}
	return rd.lowest
}

// preempt stops tasks of lower priorities so that waiting tasks of a step find room. Tasks that last and members of gangs stay: the
// first have budgets, of the others all would have to start again.
func (cr *Core) preempt(rd *round, st *step, waiting int) {
	priority := cr.queues[st.job.spec.Queue].Priority
	if rd.preempted == preemptSteps || cr.lowest(rd) <= priority || !st.spec.LongRunning && cr.laxity(rd.now, st.job) < 0 {
		return
	}
	if rd.now.Sub(st.since) < preemptAfter {
		cr.wakeAt(st.since.Add(preemptAfter))
		return
	}
	if st.yields() {
		return
	}
	rd.preempted++
	for range min(waiting, preemptMost) {
		victims := cr.cheapest(rd, st, priority)
		if len(victims) == 0 {
			return
		}
		for _, pl := range victims {
			pl.stopping, pl.why = true, "makes room for a queue that goes first"
			st.yielding = append(st.yielding, pl)
			cr.stop(rd.now, pl.worker, pl)
		}
	}
}

// yields reports whether tasks are being stopped for the step.
func (st *step) yields() bool {
	st.yielding = slices.DeleteFunc(st.yielding, func(pl *placement) bool { return pl.worker.places[pl.task] != pl })
	return len(st.yielding) > 0
}

// cheapest returns the tasks whose stop makes room for one task of a step and costs the least work; nil if there are none.
func (cr *Core) cheapest(rd *round, st *step, priority int) []*placement {
	var best []*placement
	var bestCost float64
	for _, cd := range rd.usable {
		list, cost, ok := cr.victims(cd, st, priority)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = list, cost
		}
	}
	return best
}

// victims are the tasks of lower priorities on a worker that have to be stopped for one task of a step, the lowest priority and the
// least work first, and the work that is lost with them.
func (cr *Core) victims(cd *candidate, st *step, priority int) (list []*placement, cost float64, ok bool) {
	if cd.untold {
		// Its room is most likely what it was.
		return nil, 0, false
	}
	if st.spec.Label != "" && !hasLabel(cd.info.Labels, st.spec.Label) || st.spec.SpreadLimit > 0 && st.on(cd.worker) >= st.spec.SpreadLimit {
		return nil, 0, false
	}
	lower := make([]*placement, 0, len(cd.placed))
	free := cd.free
	for _, pl := range cd.placed {
		if pl.stopping {
			// Its room is being freed for another.
			continue
		}
		sp := pl.step.spec
		if pl.phase == running && !sp.LongRunning && !sp.Gang && !pl.step.job.ended() && !pl.spared() && cr.queues[pl.step.job.spec.Queue].Priority > priority {
			lower = append(lower, pl)
		}
	}
	slices.SortStableFunc(lower, func(one, other *placement) int {
		return cmp.Or(-cmp.Compare(cr.queues[one.step.job.spec.Queue].Priority, cr.queues[other.step.job.spec.Queue].Priority), cmp.Compare(lostWork(one), lostWork(other)))
	})
	for _, pl := range lower {
		if st.spec.ResourceRequest().Fits(free) {
			break
		}
		list, cost, free = append(list, pl), cost+lostWork(pl), free.Add(pl.room)
	}
	return list, cost, len(list) > 0 && st.spec.ResourceRequest().Fits(free)
}

// lostWork is what a stop throws away, by processors and progress; a task that saves its progress loses little.
func lostWork(pl *placement) float64 {
	work := float64(max(1, pl.room.CPUMillis)) * float64(pl.progress)
	if pl.step.spec.Checkpointing {
		work /= 10
	}
	return work
}
