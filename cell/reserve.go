package cell

import (
	"cmp"
	"slices"

	"github.com/aspenseam/aspenseam/job"
)

// reserveShare bounds the part of the workers that is kept for tasks that last.
const reserveShare = 0.25

// reserve keeps the workers with the most room free of other tasks until those of a step that last fit there. Short tasks are smaller: as
// each ends, the next one takes its room, and in a full pool a task that lasts waited for 17 s for room that was there several times over.
func (cr *Core) reserve(rd *round, st *step, count int) {
	if !st.spec.LongRunning {
		return
	}
	most := max(1, int(reserveShare*float64(len(rd.usable))))
	for ; count > 0 && rd.reserved < most; count-- {
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
	could := slices.DeleteFunc(slices.Clone(rd.usable), func(cd *candidate) bool {
		empty := *cd
		empty.free = cd.info.Room
		return cd.free == (job.Size{}) || !cr.allowed(rd.now, st, &empty)
	})
	if len(could) == 0 {
		return nil
	}
	return slices.MaxFunc(could, func(one, other *candidate) int {
		return cmp.Compare(one.spare(), other.spare())
	})
}

// spare is the free share of a worker's scarcest resource.
func (cd *candidate) spare() float64 {
	return min(share(cd.free.CPUMillis, cd.info.Room.CPUMillis), share(cd.free.MemoryMB, cd.info.Room.MemoryMB))
}
