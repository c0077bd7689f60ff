package machine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// SizeOptions configures the sizes of pools.
type SizeOptions struct {
	// Margin is the factor by which the size of a pool exceeds the demand of its open jobs.
	Margin float64
	// ReturnAfter is how long a machine must be idle before it is returned to a reserve pool. Returning and fetching a machine costs two
	// moves, as much as about two seconds in a pool.
	ReturnAfter time.Duration
	// LendAfter is how long a machine must be idle before another pool may take it.
	LendAfter time.Duration
	// Standby is the minimum size of a pool whose jobs cannot wait for a move, as a share of an even share of all machines.
	Standby float64
	// StandbyLong is the same for a pool whose jobs can wait for a move.
	StandbyLong float64
	// Lookahead is how far the trend of a pool's demand is extrapolated. A machine requested now is usable only after this time, since it has to
	// be requested, moved, listed, registered and polled. With the time of the move alone, machines would come too late for growing demand.
	Lookahead time.Duration
	// MoveTime is how long a machine takes until it is usable in another pool.
	MoveTime time.Duration
}

// DefaultSizes returns the default options: a margin for what comes within the time of a move, and a standby for jobs that cannot wait for one.
func DefaultSizes() SizeOptions {
	return SizeOptions{Margin: 1.25, ReturnAfter: 2 * time.Second, LendAfter: 50 * time.Millisecond, Standby: 0.35, StandbyLong: 0.2, Lookahead: 2500 * time.Millisecond, MoveTime: 2500 * time.Millisecond}
}

// Move is an order to move a machine that is off or whose worker has been released.
type Move struct {
	Machine cell.MachineID
	// Worker is the worker on the machine; empty if the machine is off.
	Worker   cell.WorkerName
	From, To job.PoolID
}

// pendingMove is a move in progress.
type pendingMove struct {
	to job.PoolID
	at time.Time
}

// Sizer decides which machines move to other pools.
type Sizer struct {
	opts  SizeOptions
	moves map[cell.MachineID]pendingMove
	// refused holds the combinations of machine kind and pool that the platform rejects, as returned by kindKey.
	refused map[string]bool
	trends  map[job.PoolID]*trend
	// limits holds the target sizes of pools while there are too few machines for all.
	limits map[job.PoolID]int
	// needs is the number of machines that each pool needs without its standby, lacking how many the pools together lack.
	needs   map[job.PoolID]int
	lacking int
	// belowMinimum is set while a pool has fewer machines than the spread limits of its tasks require.
	belowMinimum bool
	// report is what the last plan found, by pool.
	report []PoolReport
	// forecast is what is learned of the turns of the pools' demand; nil if the sizes follow the trend alone.
	forecast *Forecast
	// sizes are the machines that each pool has or that are on their way there.
	sizes map[job.PoolID]int
}

// trend tracks the growth of a pool's demand.
type trend struct {
	at     time.Time
	demand float64
	// slope is the smoothed growth in machines per second.
	slope float64
}

// Smoothing of trends.
const (
	// trendInterval is the minimum interval between two samples.
	trendInterval = 200 * time.Millisecond
	// trendWeight is the weight of the newest slope.
	trendWeight = 0.5
	// trendMaxFactor limits the increase by a trend, as a multiple of the demand.
	trendMaxFactor = 1.5
)

// extrapolate returns the demand of a pool that its trend leads to after Lookahead.
func (sz *Sizer) extrapolate(now time.Time, id job.PoolID, demand float64) float64 {
	tr, ok := sz.trends[id]
	if !ok {
		sz.trends[id] = &trend{at: now, demand: demand}
		return demand
	}
	if span := now.Sub(tr.at); span >= trendInterval {
		slope := (demand - tr.demand) / span.Seconds()
		tr.slope += trendWeight * (slope - tr.slope)
		tr.at, tr.demand = now, demand
	}
	return demand + min(max(0, tr.slope)*sz.opts.Lookahead.Seconds(), trendMaxFactor*demand)
}

// moveTimeout is how long a move may take before it counts as failed.
const moveTimeout = 6 * time.Second

// NewSizer returns a sizer without pending moves.
func NewSizer(options SizeOptions) *Sizer {
	return &Sizer{opts: options, moves: map[cell.MachineID]pendingMove{}, refused: map[string]bool{}, trends: map[job.PoolID]*trend{}}
}

// poolView is a snapshot of a pool.
type poolView struct {
	id        job.PoolID
	reserve   bool
	loadKnown bool
	demand    float64
	// urgentDemand is the part of the demand for long-running tasks and for jobs that can still meet their objective.
	urgentDemand float64
	// target is the number of machines that the pool should have.
	target int
	// current counts the machines that work in the pool or are moving there.
	current     int
	minMachines int
	// minWorkers is the number of workers required by the spread limits, plus the machines held by a wave.
	minWorkers int
	idle       []idleMachine
	// ahead counts the machines for a turn that has not begun: first those that the pool wants beyond its target, and after allotAhead those that
	// are part of the target. away counts those in a wave, for which a pool with little on standby has to make up.
	ahead, away int
	// lean means that the pool keeps little on standby, since its next turn is far.
	lean bool
	// soon means that another turn is expected, for which idle machines wait.
	soon bool
}

type idleMachine struct {
	mc   Machine
	idle time.Duration
}

// Plan returns the moves to make now. held reports whether a wave is using a machine.
func (sz *Sizer) Plan(now time.Time, pools []job.Pool, machines map[cell.MachineID]Machine, loads map[job.PoolID]cell.Load, held func(cell.MachineID) bool) []Move {
	views := sz.views(now, pools, machines, loads, held)
	sz.limits = sz.allot(views)
	sz.allotAhead(views)
	sz.recordNeeds(views, loads)
	var short, surplus []*poolView
	var reserves []*poolView
	for _, pv := range views {
		switch {
		case pv.reserve:
			reserves = append(reserves, pv)
		case pv.loadKnown && pv.current < pv.target:
			short = append(short, pv)
		case pv.loadKnown:
			surplus = append(surplus, pv)
		}
	}
	slices.SortFunc(short, func(one, other *poolView) int {
		// Pools below their spread limits come first, since long-running tasks cannot run elsewhere.
		return cmp.Or(cmp.Compare(min(0, one.current-one.minWorkers), min(0, other.current-other.minWorkers)), cmp.Compare(one.current-one.target+one.ahead, other.current-other.target+other.ahead), cmp.Compare(one.id, other.id))
	})
	moves := sz.fill(now, short, surplus, reserves)
	moves = append(moves, sz.returnIdle(now, surplus, reserves)...)
	sz.reportPools(views, machines, loads, moves, held)
	sz.sizes = map[job.PoolID]int{}
	for _, pv := range views {
		sz.sizes[pv.id] = pv.current
	}
	return moves
}

// fill moves machines to the pools that are short, in order: first for all pools' present demand, then for turns that have not begun.
func (sz *Sizer) fill(now time.Time, short, surplus, reserves []*poolView) []Move {
	var moves []Move
	for _, ahead := range []bool{false, true} {
		for _, pv := range short {
			target := pv.target
			if !ahead {
				target -= pv.ahead
			}
			for pv.current < target {
				mv, ok := sz.acquire(now, pv, surplus, reserves)
				if !ok {
					break
				}
				moves = append(moves, mv)
			}
		}
	}
	return moves
}

// Sizes returns the number of machines that each pool has or that are on their way there, as of the last plan.
func (sz *Sizer) Sizes() map[job.PoolID]int { return sz.sizes }

// Limits returns the target sizes of pools while there are too few machines for all, as of the last plan.
func (sz *Sizer) Limits() map[job.PoolID]int { return sz.limits }

// BelowMinimum reports whether a pool has fewer machines than the spread limits of its tasks require.
func (sz *Sizer) BelowMinimum() bool { return sz.belowMinimum }

// machinesFor returns the number of machines that a pool should have for a demand.
func (sz *Sizer) machinesFor(pv *poolView, demand float64) int {
	return max(pv.minMachines, int(math.Ceil(demand*sz.opts.Margin))) + pv.away
}

// views returns snapshots of all pools.
func (sz *Sizer) views(now time.Time, pools []job.Pool, machines map[cell.MachineID]Machine, loads map[job.PoolID]cell.Load, held func(cell.MachineID) bool) []*poolView {
	byID := map[job.PoolID]*poolView{}
	even := evenShare(pools, len(machines))
	var views []*poolView
	if sz.forecast != nil {
		sz.forecast.Retain(pools)
	}
	for _, pool := range pools {
		pv := &poolView{id: pool.ID, reserve: pool.Reserve}
		if ld, ok := loads[pool.ID]; ok {
			pv.loadKnown = true
			known := max(ld.Demand, ld.Placed)
			pv.demand = sz.extrapolate(now, pool.ID, known)
			pv.minWorkers = ld.MinWorkers
			pv.minMachines = max(sz.standby(even, ld), pv.minWorkers)
			if sz.forecast != nil && !pool.Reserve {
				sz.applyForecast(now, pv, known, even)
				pv.demand = max(pv.demand, ld.LongRunning)
			}
			// Demand that a forecast expects to fall is still urgent while it is there.
			pv.urgentDemand = max(ld.UrgentDemand, ld.LongRunning) + max(0, pv.demand-known)
		}
		byID[pool.ID] = pv
		views = append(views, pv)
	}
	idle := idleWorkers(loads)
	for id, mc := range machines {
		if mv, ok := sz.moves[id]; ok {
			if mc.Pool == mv.to && mc.State == Up || now.Sub(mv.at) > moveTimeout {
				delete(sz.moves, id)
			} else {
				if pv := byID[mv.to]; pv != nil {
					pv.current++
				}
				continue
			}
		}
		pv := byID[mc.Pool]
		if pv == nil {
			continue
		}
		if mc.State == Up || mc.State == Moving {
			pv.current++
		}
		if held(id) {
			// A machine in a wave is away for a short time only. Short tasks can wait for it, long-running tasks cannot.
			if mc.State == Up {
				pv.minMachines = max(pv.minMachines, pv.minWorkers+1)
				pv.minWorkers++
			}
			if pv.lean {
				pv.away++
			}
			continue
		}
		if mc.State != Up || mc.CoolingDown {
			continue
		}
		if pv.reserve {
			pv.idle = append(pv.idle, idleMachine{mc, sz.opts.ReturnAfter})
		} else if span, ok := idle[mc.Worker]; ok {
			pv.idle = append(pv.idle, idleMachine{mc, span})
		}
	}
	for _, pv := range views {
		slices.SortFunc(pv.idle, func(one, other idleMachine) int {
			return cmp.Or(-cmp.Compare(one.idle, other.idle), cmp.Compare(one.mc.ID, other.mc.ID))
		})
	}
	return views
}

// standby returns the minimum size of a pool as a share of the even share. It is larger if the jobs cannot wait for a move.
func (sz *Sizer) standby(even float64, ld cell.Load) int {
	share := sz.opts.Standby
	if ld.Slack > sz.opts.MoveTime {
		share = sz.opts.StandbyLong
	}
	return max(1, int(math.Ceil(share*even)))
}

// evenShare returns the number of machines per pool if all machines were spread evenly over the pools that are not reserves.
func evenShare(pools []job.Pool, machines int) float64 {
	working := 0
	for _, pool := range pools {
		if !pool.Reserve {
			working++
		}
	}
	return float64(machines) / float64(max(1, working))
}

// idleWorkers returns the workers without running tasks and how long they have been idle.
func idleWorkers(loads map[job.PoolID]cell.Load) map[cell.WorkerName]time.Duration {
	idle := map[cell.WorkerName]time.Duration{}
	for _, ld := range loads {
		for _, wl := range ld.Workers {
			if wl.Idle > 0 && wl.Usable {
				idle[wl.ID.Name()] = wl.Idle
			}
		}
	}
	return idle
}

// acquire finds a machine for a pool. It prefers an idle machine of another pool, which is already paid for, to one that is off.
func (sz *Sizer) acquire(now time.Time, to *poolView, surplus, reserves []*poolView) (Move, bool) {
	for _, from := range surplus {
		if from.current <= from.target {
			continue
		}
		if mv, ok := sz.take(now, from, to, sz.opts.LendAfter); ok {
			return mv, true
		}
	}
	for _, from := range reserves {
		if mv, ok := sz.take(now, from, to, 0); ok {
			return mv, true
		}
	}
	return Move{}, false
}

// take moves the machine that has been idle longest.
func (sz *Sizer) take(now time.Time, from, to *poolView, minIdle time.Duration) (Move, bool) {
	for at, im := range from.idle {
		if im.idle < minIdle || sz.refused[kindKey(im.mc, to.id)] {
			continue
		}
		from.idle = slices.Delete(from.idle, at, at+1)
		from.current--
		to.current++
		sz.moves[im.mc.ID] = pendingMove{to.id, now}
		return Move{Machine: im.mc.ID, Worker: im.mc.Worker, From: from.id, To: to.id}, true
	}
	return Move{}, false
}

// returnIdle moves machines that have been idle for ReturnAfter into a reserve pool.
func (sz *Sizer) returnIdle(now time.Time, surplus, reserves []*poolView) []Move {
	if len(reserves) == 0 {
		return nil
	}
	var moves []Move
	for _, from := range surplus {
		for from.current > from.target {
			mv, ok := sz.take(now, from, reserves[0], sz.returnAfter(from))
			if !ok {
				break
			}
			moves = append(moves, mv)
		}
	}
	return moves
}

func kindKey(mc Machine, pool job.PoolID) string {
	kind := ""
	if len(mc.Labels) > 0 {
		kind = mc.Labels[0]
	}
	return kind + ">" + string(pool)
}

// MoveResult handles the outcome of a move.
func (sz *Sizer) MoveResult(mc Machine, mv Move, oc Outcome) {
	switch oc {
	case Done, NoAnswer:
	case Invalid:
		sz.refused[kindKey(mc, mv.To)] = true
		delete(sz.moves, mv.Machine)
	default:
		delete(sz.moves, mv.Machine)
	}
}

// CancelMove drops a move that was not ordered.
func (sz *Sizer) CancelMove(id cell.MachineID) { delete(sz.moves, id) }
