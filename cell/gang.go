package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// placeGang starts all tasks of a gang, or none.
func (cr *Core) placeGang(rd *round, st *step, waiting []int) {
	if len(waiting) < len(st.tasks)-st.done {
		// Members of an earlier attempt have to end before the whole gang restarts.
		cr.stopPartialGang(rd.now, st)
		return
	}
	if !cr.mayStart(st, len(waiting)) {
		st.job.waitReason = cr.limitWaitReason(rd, st, waiting[0])
		return
	}
	for _, at := range waiting {
		rd.releaseIntent(st.tasks[at].intent)
	}
	for _, group := range rackGroups(st.spec.RackLocal, rd.usable) {
		if cr.startGang(rd, st, waiting, group) {
			return
		}
	}
}

// rackGroups returns the groups of workers to try for a gang: single racks first if the step is rack-local, then all workers.
func rackGroups(local bool, usable []*candidate) [][]*candidate {
	var groups [][]*candidate
	if local {
		byRack := map[string][]*candidate{}
		for _, cd := range usable {
			byRack[cd.info.Rack] = append(byRack[cd.info.Rack], cd)
		}
		for _, group := range byRack {
			groups = append(groups, group)
		}
		slices.SortFunc(groups, func(one, other []*candidate) int { return cmp.Compare(one[0].info.Rack, other[0].info.Rack) })
	}
	return append(groups, usable)
}

// startGang starts all members of a gang if there is room for each of them. It reports whether there was room.
func (cr *Core) startGang(rd *round, st *step, waiting []int, group []*candidate) bool {
	now := rd.now
	scratch := make([]*candidate, len(group))
	for at, cd := range group {
		copied := *cd
		scratch[at] = &copied
	}
	chosen := make([]*candidate, 0, len(waiting))
	assigned := map[WorkerID]int{}
	for _, at := range waiting {
		var best *candidate
		bestAt := -1
		for slot, cd := range scratch {
			if !cr.feasible(now, st, cd) || !st.tasks[at].isolationAllows(now, st, cd) || st.spec.SpreadLimit > 0 && st.tasksOn(cd.worker)+assigned[cd.info.ID] >= st.spec.SpreadLimit {
				continue
			}
			intended := st.tasks[at].intent != nil && st.tasks[at].intent.worker == cd.info.ID
			if best == nil || intended || cr.cost(st, at, cd) < cr.cost(st, at, best) {
				best, bestAt = cd, slot
			}
			if intended {
				break
			}
		}
		if best == nil {
			return false
		}
		best.free = best.free.Sub(st.spec.ResourceRequest())
		assigned[best.info.ID]++
		chosen = append(chosen, group[bestAt])
	}
	if !cr.ensureGangIntents(rd, st, waiting, chosen) {
		return true
	}
	attempt := job.Attempt(0)
	for at := range st.tasks {
		attempt = max(attempt, st.tasks[at].attempt)
	}
	point := st.gangCheckpoint()
	for order, at := range waiting {
		st.tasks[at].checkpoint = point
		cr.startTask(now, st, at, chosen[order], attempt+1)
	}
	return true
}

// gangCheckpoint returns a checkpoint to restart the gang from. The checkpoint of any member is valid for all of them.
func (st *step) gangCheckpoint() job.Checkpoint {
	for at := range st.tasks {
		if st.tasks[at].checkpoint != "" {
			return st.tasks[at].checkpoint
		}
	}
	return ""
}

// stopPartialGang stops the members of a partial gang once the missing members can no longer join.
func (cr *Core) stopPartialGang(now time.Time, st *step) {
	for at := range st.tasks {
		pl := st.tasks[at].placement
		if pl != nil && !pl.stopping && now.Sub(pl.orderedAt) > cr.opts.PollWait {
			pl.stopping, pl.stopReason = true, "its gang is incomplete"
		}
	}
}
