package machine

import "github.com/aspenseam/aspenseam/job"

// allot gives each pool its target. Where all of them want more machines than there are, what spread limits want goes first, then what jobs
// want that can still be in time, then the rest, in proportion: a pool that has fallen behind would else keep its machines for jobs that are
// late in any case, until those of the next pool are late, too. It returns the targets if there are too few machines for all.
func (sz *Sizer) allot(views []*poolView) map[job.PoolID]int {
	var known []*poolView
	machines, wanted := 0, 0
	for _, pv := range views {
		if pv.known || pv.reserve {
			machines += pv.have
		}
		if pv.known && !pv.reserve {
			pv.target = sz.wanted(pv, pv.need)
			wanted += pv.target
			known = append(known, pv)
		}
	}
	if wanted <= machines {
		return nil
	}
	share(known, machines, []func(*poolView) int{
		func(pv *poolView) int { return max(1, pv.least) },
		func(pv *poolView) int { return sz.wanted(pv, min(pv.need, pv.pressing)) },
		func(pv *poolView) int { return sz.wanted(pv, pv.need) },
	})
	limits := map[job.PoolID]int{}
	sz.firm = false
	for _, pv := range known {
		limits[pv.id] = pv.target
		sz.firm = sz.firm || pv.have < pv.least
	}
	return limits
}

// share sets the pools' targets: each level is met for all of them before the next, and the first that cannot be is met in proportion.
func share(pools []*poolView, machines int, levels []func(*poolView) int) {
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
