package cell

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preemptAfter is how long a task waits for room before a task of a lower priority is stopped for it. Most tasks end within a second.
	// Urgent work has to start within 1.1 s, which leaves time for the stop.
	preemptAfter = 300 * time.Millisecond
	// preemptMaxTasks is the maximum number of tasks of a step that get room by preemption at once; preemptMaxSteps is the maximum number of
	// steps per round. The search for victims scans all workers.
	preemptMaxTasks = 16
	preemptMaxSteps = 4
)

// lowestPriority returns the lowest priority among the running tasks. Priorities are numbered in descending order, so this is the highest
// number. It is computed once per round.
func (cr *Core) lowestPriority(rd *round) int {
	if rd.lowestKnown {
		return rd.lowestPriority
	}
	rd.lowestKnown, rd.lowestPriority = true, 0
	for _, cd := range rd.usable {
		for _, pl := range cd.placed {
			if !pl.step.spec.LongRunning {
				rd.lowestPriority = max(rd.lowestPriority, cr.queueOf(pl.step.job.spec).Priority)
			}
		}
	}
	return rd.lowestPriority
}

// mayPreempt reports whether tasks of lower priorities may be stopped to make room for a step.
func (cr *Core) mayPreempt(rd *round, st *step) bool {
	return cr.lowestPriority(rd) > cr.queueOf(st.job.spec).Priority && (st.spec.LongRunning || cr.laxity(rd.now, st.job) >= 0)
}

// preempt stops tasks of lower priorities to make room for waiting tasks of a step. Long-running tasks have disruption budgets and are not
// stopped. Gang members are not stopped either, since the whole gang would have to restart.
func (cr *Core) preempt(rd *round, st *step, waiting int) {
	priority := cr.queueOf(st.job.spec).Priority
	if rd.preemptingSteps == preemptMaxSteps || !cr.mayPreempt(rd, st) {
		return
	}
	if rd.now.Sub(st.waitingSince) < preemptAfter {
		cr.wakeAt(st.waitingSince.Add(preemptAfter))
		return
	}
	if st.preemptionPending() {
		return
	}
	rd.preemptingSteps++
	for range min(waiting, preemptMaxTasks) {
		victims := cr.cheapestVictims(rd, st, priority)
		if len(victims) == 0 {
			return
		}
		for _, pl := range victims {
			pl.stopping, pl.stopReason = true, "preempted by a queue of higher priority"
			st.preempting = append(st.preempting, pl)
			cr.stop(rd.now, pl.worker, pl)
		}
	}
}

// preemptionPending reports whether tasks are being stopped for the step.
func (st *step) preemptionPending() bool {
	st.preempting = slices.DeleteFunc(st.preempting, func(pl *placement) bool { return pl.worker.placements[pl.task] != pl })
	return len(st.preempting) > 0
}

// cheapestVictims returns the tasks that make room for one task of a step at the lowest cost in lost work, or nil if there are none.
func (cr *Core) cheapestVictims(rd *round, st *step, priority int) []*placement {
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

// victims returns the tasks of lower priorities on a worker that have to stop for one task of a step, and the cost in lost work. It picks the
// lowest priorities first, then the least lost work.
func (cr *Core) victims(cd *candidate, st *step, priority int) (list []*placement, cost float64, ok bool) {
	if cd.roomUncertain {
		// The actual room is most likely the room registered earlier.
		return nil, 0, false
	}
	if st.spec.Label != "" && !hasLabel(cd.info.Labels, st.spec.Label) || st.spec.SpreadLimit > 0 && st.tasksOn(cd.worker) >= st.spec.SpreadLimit {
		return nil, 0, false
	}
	lower := make([]*placement, 0, len(cd.placed))
	free := cd.free
	for _, pl := range cd.placed {
		if pl.stopping {
			// Its room is already being freed for another task.
			continue
		}
		sp := pl.step.spec
		if pl.phase == running && !sp.LongRunning && !sp.Gang && !pl.step.job.ended() && !pl.exemptFromStop() && cr.queueOf(pl.step.job.spec).Priority > priority {
			lower = append(lower, pl)
		}
	}
	slices.SortStableFunc(lower, func(one, other *placement) int {
		return cmp.Or(-cmp.Compare(cr.queueOf(one.step.job.spec).Priority, cr.queueOf(other.step.job.spec).Priority), cmp.Compare(lostWork(one), lostWork(other)))
	})
	for _, pl := range lower {
		if st.spec.ResourceRequest().Fits(free) {
			break
		}
		list, cost, free = append(list, pl), cost+lostWork(pl), free.Add(pl.room)
	}
	return list, cost, len(list) > 0 && st.spec.ResourceRequest().Fits(free)
}

// lostWork estimates the work lost by stopping an attempt, from its CPU size and progress. A task with checkpoints loses little.
func lostWork(pl *placement) float64 {
	work := float64(max(1, pl.room.CPUMillis)) * float64(pl.progress)
	if pl.step.spec.Checkpointing {
		work /= 10
	}
	return work
}
