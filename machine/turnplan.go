package machine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Sizes of pools by forecast.
const (
	// standbyFar is the minimum size of a pool whose next turn is surely far, as a share of an even share of all machines.
	standbyFar = 0.15
	// returnSoon is how long a machine must be idle before it is returned while surely no turn begins: short gaps between tasks cost no move.
	returnSoon = 500 * time.Millisecond
	// turnTrustEarly and turnTrustLate are the multiples of the present demand up to which the expected height of a turn is believed, before and
	// after the first machines requested for it can be there.
	turnTrustEarly, turnTrustLate = 3.0, 1.5
	// turnExcess is the factor by which demand may exceed what is expected of a turn; the margin of pools covers it. Above it the trend decides.
	turnExcess = 1.25
	// restExcess is the same for a pool at rest, whose few jobs vary more.
	restExcess = 1.5
)

// UseForecast makes the sizer plan by a forecast of turns; nil ends that.
func (sz *Sizer) UseForecast(fc *Forecast) { sz.forecast = fc }

// applyForecast replaces the trend of a pool's demand by what the forecast is sure of. Otherwise the trend stays.
func (sz *Sizer) applyForecast(now time.Time, pv *poolView, known, even float64) {
	sz.forecast.Observe(now, pv.id, known, even)
	pr := sz.forecast.Predict(now, pv.id, sz.opts.Lookahead)
	pv.soon = pr.Soon
	switch {
	case pr.InTurn:
		if pr.Sureness >= surenessMin && known <= turnExcess*max(pr.Height, pr.Level) {
			planned := pr.planned(known, sz.opts.Lookahead)
			if !pr.Own && !pr.Settled && !pr.Ends {
				// Others' growth may be less than this pool's: what the trend shows beyond it holds.
				planned = max(planned, pv.demand)
			}
			pv.demand = planned
		}
	case pr.Far:
		pv.lean = true
		pv.minMachines = max(1, pv.minWorkers, min(pv.minMachines, int(math.Ceil(max(standbyFar*even, restExcess*pr.Level)))))
		if known <= restExcess*pr.Level {
			pv.demand = known
		}
	case pr.Sureness >= surenessMin:
		pv.ahead = int(math.Ceil(pr.Sureness * max(0, pr.Height-pv.demand) * sz.opts.Margin))
	}
}

// planned returns the demand to plan for within a turn: that which is expected until its machines are there, then the level that it keeps. A
// turn that grows less than expected is not planned for in full.
func (pr Prediction) planned(known float64, horizon time.Duration) float64 {
	trust := turnTrustEarly
	switch {
	case (pr.Ends || pr.Settled) && known > turnExcess*pr.Level:
		return known
	case pr.Ends:
		return min(known, pr.Level)
	case pr.Settled:
		return pr.Level
	case pr.Age > horizon:
		trust = turnTrustLate
	}
	return max(known, min(pr.Height, trust*known))
}

// allotAhead adds the machines for turns that have not begun to the targets, as far as all pools' present demand leaves machines.
func (sz *Sizer) allotAhead(views []*poolView) {
	spare := 0
	var early []*poolView
	for _, pv := range views {
		if pv.loadKnown || pv.reserve {
			spare += pv.current
		}
		if pv.reserve || !pv.loadKnown {
			continue
		}
		spare -= pv.target
		if pv.ahead > 0 {
			early = append(early, pv)
		}
	}
	slices.SortFunc(early, func(one, other *poolView) int {
		return cmp.Or(-cmp.Compare(one.ahead, other.ahead), cmp.Compare(one.id, other.id))
	})
	for at, pv := range early {
		// What the target exceeds the demand by serves the turn as well.
		pv.ahead = max(0, min(pv.ahead-max(0, pv.target-sz.machinesFor(&poolView{away: pv.away}, pv.demand)), spare/(len(early)-at)))
		pv.target += pv.ahead
		spare -= pv.ahead
	}
}

// returnAfter is how long a machine of a pool must be idle before it is returned.
func (sz *Sizer) returnAfter(pv *poolView) time.Duration {
	switch {
	case pv.soon:
		// A machine that waits for the next turn is cheaper than two moves, however long it has been idle before.
		return math.MaxInt64
	case pv.lean:
		return min(returnSoon, sz.opts.ReturnAfter)
	}
	return sz.opts.ReturnAfter
}
