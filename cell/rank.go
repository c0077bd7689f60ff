package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// urgency is the class in which a job waits; the lower goes first.
type urgency int

const (
	// inProgress: it can still meet its objective and part of it runs or is done. Tasks that last count here.
	inProgress urgency = iota
	// onTime: it can still meet its objective.
	onTime
	// late: it cannot, but can still end before lateFactor times the objective and be of some worth.
	late
	// expired: it is done all the same, when there is room.
	expired
)

// expiryFactor is after how many times its objective a job is of no worth any more.
const expiryFactor = 3

// ranked is a job with what decides its place in the order.
type ranked struct {
	js       *jobState
	priority int
	// shareClass is 1 for a job beyond its organisation's share, which waits for the others.
	shareClass    int
	urgency urgency
	// key orders jobs of one urgency, the lower first.
	key float64
}

// sortJobs returns jobs that wait in the order in which they are placed. Where not all can meet their objectives, going by the
// earliest objective would make all of them miss it by a little; the smallest go first, since most of them can be saved.
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

// demandMaxAge is how old a count of what the open jobs want may be, since it goes through all of them.
const demandMaxAge = 50 * time.Millisecond

// totalDemand is how many machines the open jobs want; it is not counted further once it exceeds most.
func (cr *Core) totalDemand(now time.Time, most float64) float64 {
	if now.Sub(cr.demandAt) < demandMaxAge {
		return cr.demand
	}
	unit, sum := cr.unit(), 0.0
	for _, js := range cr.open {
		if !js.ended() {
			sum += cr.jobDemand(now, js, unit)
		}
		if sum > most {
			break
		}
	}
	cr.demand, cr.demandAt = sum, now
	return sum
}

func (cr *Core) rank(now time.Time, js *jobState) ranked {
	rk := ranked{js: js, priority: cr.queues[js.spec.Queue].Priority}
	if js.overShare {
		rk.shareClass = 1
	}
	left := cr.laxity(now, js)
	end := js.objectiveStart().Add(expiryFactor * cr.objective(js)).Sub(now)
	worthy := cr.expiryLaxity(now, js)
	switch {
	case js.spec.Steps[0].LongRunning:
		rk.urgency, rk.key = inProgress, -1
	case left >= 0 && js.started:
		rk.urgency, rk.key = inProgress, left.Seconds()
	case left >= 0:
		rk.urgency, rk.key = onTime, js.remainingWork()
	case worthy >= 0:
		// By the earliest end all of them would be of no worth any more by a little; the smallest are the most that can be saved.
		rk.urgency, rk.key = late, js.remainingWork()
	default:
		rk.urgency, rk.key = expired, -end.Seconds()
	}
	return rk
}

// expiryLaxity is how long a job can wait and still end while it is of some expiryLaxity.
func (cr *Core) expiryLaxity(now time.Time, js *jobState) time.Duration {
	return cr.laxity(now, js) + (expiryFactor-1)*cr.objective(js)
}

// objectiveSummary says for the log how a job that ends now stands to its objective.
func (cr *Core) objectiveSummary(now time.Time, js *jobState) string {
	left := js.objectiveStart().Add(cr.objective(js)).Sub(now).Round(time.Millisecond)
	if left < 0 {
		return fmt.Sprintf("%v after its objective of %v", -left, cr.objective(js).Round(time.Millisecond))
	}
	return fmt.Sprintf("%v before its objective of %v", left, cr.objective(js).Round(time.Millisecond))
}

// remainingWork is a measure of what is left of a job: the room of its tasks that are not done.
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
