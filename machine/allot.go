package machine

import "github.com/aspenseam/aspenseam/job"

// allot sets the target size of each pool. If the pools together need more machines than there are, spread limits are met first, then the
// demand of jobs that can still meet their objective, then the rest, each in proportion. Otherwise a pool that has fallen behind would keep
// its machines for jobs that are late in any case, until the jobs of the next pool are late as well. It returns the targets if there are too
// few machines, and nil otherwise.
func (sz *Sizer) allot(views []*poolView) map[job.PoolID]int {
	var known []*poolView
	machines, wanted := 0, 0
	for _, pv := range views {
		if pv.loadKnown || pv.reserve {
			machines += pv.current
		}
		if pv.loadKnown && !pv.reserve {
			pv.target = sz.machinesFor(pv, pv.demand)
			wanted += pv.target
			known = append(known, pv)
		}
	}
	if wanted <= machines {
		return nil
	}
	distribute(known, machines, []func(*poolView) int{
		func(pv *poolView) int { return max(1, pv.minWorkers) },
		func(pv *poolView) int { return sz.machinesFor(pv, min(pv.demand, pv.urgentDemand)) },
		func(pv *poolView) int { return sz.machinesFor(pv, pv.demand) },
	})
	limits := map[job.PoolID]int{}
	sz.belowMinimum = false
	for _, pv := range known {
		limits[pv.id] = pv.target
		sz.belowMinimum = sz.belowMinimum || pv.current < pv.minWorkers
	}
	return limits
}

// distribute sets the targets of pools level by level. The first level that cannot be met for all pools is met in proportion.
func distribute(pools []*poolView, machines int, levels []func(*poolView) int) {
	for _, pv := range pools {
		pv.target = 0
	}
	for _, level := range levels {
		missing := 0
		for _, pv := range pools {
			missing += max(0, level(pv)-pv.target)
		}
		part := 1.0
		if missing > machines {
			part = float64(machines) / float64(missing)
		}
		for _, pv := range pools {
			more := int(part * float64(max(0, level(pv)-pv.target)))
			pv.target += more
			machines -= more
		}
		if part < 1 {
			return
		}
	}
}
