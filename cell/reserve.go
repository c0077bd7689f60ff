package cell

import "github.com/aspenseam/aspenseam/job"

const (
	// reserveShare bounds the part of the workers that is kept for tasks that last.
	reserveShare = 0.25
	// reserveMaxPerStep is how many a step keeps in one round, each of which is a look at all workers.
	reserveMaxPerStep = 4
)

// reserve keeps the workers with the most room free of other tasks until those of a step that last fit there. Short tasks are smaller: as
// each ends, the next one takes its room, and in a full pool a task that lasts waited for 17 s for room that was there several times over.
func (cr *Core) reserve(rd *round, st *step, count int) {
	if !st.spec.LongRunning {
		return
	}
	most := max(1, int(reserveShare*float64(len(rd.usable))))
	for range min(count, reserveMaxPerStep) {
		if rd.reserved >= most {
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

// roomiest returns the worker with the most room that could run a task of the step if it were empty.
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

// freeShare is the free share of a worker's scarcest resource.
func (cd *candidate) freeShare() float64 {
	return min(fraction(cd.free.CPUMillis, cd.info.Room.CPUMillis), fraction(cd.free.MemoryMB, cd.info.Room.MemoryMB))
}
