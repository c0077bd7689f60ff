package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// urgency is the scheduling class of a waiting job; lower values are placed first.
type urgency int

const (
	// inProgress jobs can meet their objective and have running or completed tasks. Long-running tasks are in this class, and late jobs at their
	// last chance.
	inProgress urgency = iota
	// onTime jobs can meet their objective and have not started.
	onTime
	// late jobs miss their objective but can end before expiryFactor times the objective.
	late
	// expired jobs can no longer end in time to be useful. They run when there is room.
	expired
)

// expiryFactor is the multiple of its objective after which the result of a job has no value.
const expiryFactor = 3

// ranked is a job with its sort keys.
type ranked struct {
	js       *jobState
	priority int
	// shareClass is 1 for a job over its organisation's share, which is placed after the others, and 0 otherwise.
	shareClass int
	urgency    urgency
	// key orders jobs of the same urgency; lower values are placed first.
	key float64
}

// sortJobs returns the pending jobs in placement order. Under overload, ordering by earliest objective would make every job miss its objective
// by a little. The smallest jobs go first then, since this saves the largest number.
func (cr *Core) sortJobs(now time.Time, waiting []*jobState, workers int) []*jobState {
	list := make([]ranked, 0, len(waiting))
	for _, js := range waiting {
		list = append(list, cr.rank(now, js))
	}
	if cr.totalDemand(now, float64(workers)) <= float64(workers) {
		for at := range list {
			if list[at].urgency == onTime {
				list[at].key = cr.laxity(now, list[at].js).Seconds()
			}
		}
	}
	slices.SortStableFunc(list, func(one, other ranked) int {
		return cmp.Or(cmp.Compare(one.priority, other.priority), cmp.Compare(one.shareClass, other.shareClass), cmp.Compare(one.urgency, other.urgency), cmp.Compare(one.key, other.key))
	})
	jobs := make([]*jobState, len(list))
	for at, rk := range list {
		jobs[at] = rk.js
	}
	return jobs
}

// demandMaxAge is how long the total demand is cached, since computing it visits all open jobs.
const demandMaxAge = 50 * time.Millisecond

// totalDemand returns the number of machines that the open jobs need. It stops counting above limit.
func (cr *Core) totalDemand(now time.Time, limit float64) float64 {
	if now.Sub(cr.demandAt) < demandMaxAge {
		return cr.demand
	}
	unit, sum := cr.unit(), 0.0
	for _, js := range cr.openJobs {
		if !js.ended() {
			sum += cr.jobDemand(now, js, unit)
		}
		if sum > limit {
			break
		}
	}
	cr.demand, cr.demandAt = sum, now
	return sum
}

func (cr *Core) rank(now time.Time, js *jobState) ranked {
	rk := ranked{js: js, priority: cr.queueOf(js.spec).Priority}
	if js.overShare {
		rk.shareClass = 1
	}
	if js.spec.Steps[0].LongRunning {
		rk.urgency, rk.key = inProgress, -1
		return rk
	}
	objective := cr.objective(js)
	laxity := cr.laxityFor(now, js, objective)
	untilExpiry := laxityToExpiry(laxity, objective)
	switch {
	case laxity >= 0 && js.started:
		rk.urgency, rk.key = inProgress, laxity.Seconds()
	case laxity >= 0:
		rk.urgency, rk.key = onTime, js.remainingWork()
	case untilExpiry >= 0 && cr.lastChance(now, objective, untilExpiry):
		rk.urgency, rk.key = inProgress, untilExpiry.Seconds()
	case untilExpiry >= 0:
		// Ordering by earliest expiry would make every job expire by a little. Starting with the smallest saves the largest number.
		rk.urgency, rk.key = late, js.remainingWork()
	default:
		rk.urgency, rk.key = expired, -js.objectiveStart().Add(expiryFactor*objective).Sub(now).Seconds()
	}
	return rk
}

// expiryLaxity returns how long a job can wait and still end before it expires.
func (cr *Core) expiryLaxity(now time.Time, js *jobState) time.Duration {
	return laxityToExpiry(cr.laxity(now, js), cr.objective(js))
}

// laxityToExpiry returns the laxity up to the time at which the result of a job has no value, from that up to its objective.
func laxityToExpiry(laxity, objective time.Duration) time.Duration {
	return laxity + (expiryFactor-1)*objective
}

// objectiveSummary returns a log text that compares a job's end with its objective.
func (cr *Core) objectiveSummary(now time.Time, js *jobState) string {
	left := js.objectiveStart().Add(cr.objective(js)).Sub(now).Round(time.Millisecond)
	if left < 0 {
		return fmt.Sprintf("%v after its objective of %v", -left, cr.objective(js).Round(time.Millisecond))
	}
	return fmt.Sprintf("%v before its objective of %v", left, cr.objective(js).Round(time.Millisecond))
}

// remainingWork returns a relative measure of the room needed by the job's unfinished tasks.
func (js *jobState) remainingWork() float64 {
	sum := 0.0
	rn := js.runs[max(0, js.nextRun-1)]
	for at := range js.spec.Steps {
		sp := &js.spec.Steps[at]
		left := sp.Count
		if rn != nil {
			left -= rn.steps[at].done
		}
		sum += float64(left * max(sp.Size.CPUMillis, sp.Size.MemoryMB/2))
	}
	return sum
}
