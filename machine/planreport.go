package machine

import (
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// PoolReport says what the last plan found in a pool, and why machines beyond its target were not taken.
type PoolReport struct {
	Pool job.PoolID
	// LoadKnown means that the owner of the pool's cell answered.
	LoadKnown bool
	// Demand is the demand planned for, in machines; Known is the reported part of it.
	Demand, Known float64
	// Current counts the machines that work in the pool or are moving there, Target those that it should have, Minimum those that it keeps
	// without any demand.
	Current, Target, Minimum int
	// Ahead is the part of Target for a turn that has not begun; Lean means that the pool keeps little on standby.
	Ahead int
	Lean  bool
	// Taken counts the machines that the plan takes from the pool, Arriving those on their way to it.
	Taken, Arriving int
	// The other machines of the pool, by the reason why they could not be taken: used by a wave, ordered by an earlier leader a moment ago, not
	// up, with tasks, without tasks for too short a time, not usable by the owner's account. Free counts those without a reason.
	Held, CoolingDown, Down, Busy, Young, Unusable, Free int
}

// Report returns what the last plan by a forecast found, by pool; without a forecast there is none.
func (sz *Sizer) Report() []PoolReport { return sz.report }

// reportPools records the plan's view of each pool.
func (sz *Sizer) reportPools(views []*poolView, machines map[cell.MachineID]Machine, loads map[job.PoolID]cell.Load, moves []Move, held func(cell.MachineID) bool) {
	sz.report = nil
	if sz.forecast == nil {
		return
	}
	byID := map[job.PoolID]*PoolReport{}
	sz.report = make([]PoolReport, len(views))
	for at, pv := range views {
		sz.report[at] = PoolReport{Pool: pv.id, LoadKnown: pv.loadKnown, Demand: pv.demand, Current: pv.current, Target: pv.target, Minimum: pv.minMachines, Ahead: pv.ahead, Lean: pv.lean}
		if pv.reserve {
			// A reserve keeps whatever is not needed.
			sz.report[at].Target = pv.current
		}
		byID[pv.id] = &sz.report[at]
	}
	taken := map[cell.MachineID]bool{}
	for _, mv := range moves {
		byID[mv.From].Taken++
		taken[mv.Machine] = true
	}
	workers := loadsByWorker(loads)
	for id, mc := range machines {
		if mv, moving := sz.moves[id]; moving {
			if pr := byID[mv.to]; pr != nil && !taken[id] {
				pr.Arriving++
			}
			continue
		}
		if pr := byID[mc.Pool]; pr != nil {
			pr.count(mc, held(id), workers, sz.opts.LendAfter)
		}
	}
	for at := range sz.report {
		pr := &sz.report[at]
		ld := loads[pr.Pool]
		pr.Known = max(ld.Demand, ld.Placed)
	}
}

// count adds a machine that stays in the pool, by the reason.
func (pr *PoolReport) count(mc Machine, held bool, workers map[cell.WorkerName]cell.WorkerLoad, lendAfter time.Duration) {
	wl, listed := workers[mc.Worker]
	switch {
	case held:
		pr.Held++
	case mc.State != Up:
		pr.Down++
	case mc.CoolingDown:
		pr.CoolingDown++
	case !listed || !wl.Usable:
		pr.Unusable++
	case wl.Idle == 0:
		pr.Busy++
	case wl.Idle < lendAfter:
		pr.Young++
	default:
		pr.Free++
	}
}

// loadsByWorker returns the loads of all workers by name.
func loadsByWorker(loads map[job.PoolID]cell.Load) map[cell.WorkerName]cell.WorkerLoad {
	workers := map[cell.WorkerName]cell.WorkerLoad{}
	for _, ld := range loads {
		for _, wl := range ld.Workers {
			workers[wl.ID.Name()] = wl
		}
	}
	return workers
}
