package cell

import "github.com/aspenseam/aspenseam/job"

const (
	// reserveShare is the maximum share of the workers that is reserved for long-running tasks.
	reserveShare = 0.25
	// reserveMaxPerStep is the maximum number of workers reserved for a step in one round. Each reservation scans all workers.
	reserveMaxPerStep = 4
)

// reserve keeps other tasks off the workers with the most free room until the long-running tasks of a step fit there. Short tasks are smaller,
// and whenever one ends the next takes its room: without reservations a long-running task may wait without end in a full pool, although several
// times the room that it needs is freed meanwhile.
func (cr *Core) reserve(rd *round, st *step, count int) {
	if !st.spec.LongRunning {
		return
	}
	limit := max(1, int(reserveShare*float64(len(rd.usable))))
	for range min(count, reserveMaxPerStep) {
		if rd.reserved >= limit {
			return
		}
		cd := cr.roomiest(rd, st)
		if cd == nil {
			return
		}
		cd.free = job.Size{}
		rd.reserved++
	}
}

// roomiest returns the worker with the most free room that could run a task of the step if it were empty.
func (cr *Core) roomiest(rd *round, st *step) *candidate {
	var best *candidate
	for _, cd := range rd.usable {
		if cd.free == (job.Size{}) || best != nil && best.freeShare() >= cd.freeShare() {
			continue
		}
		empty := *cd
		empty.free = cd.info.Room
		if cr.feasible(rd.now, st, &empty) {
			best = cd
		}
	}
	return best
}

// freeShare returns the free share of the worker's scarcest resource.
func (cd *candidate) freeShare() float64 {
	return min(fraction(cd.free.CPUMillis, cd.info.Room.CPUMillis), fraction(cd.free.MemoryMB, cd.info.Room.MemoryMB))
}
