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
	// underWay: it can still meet its objective and part of it runs or is done. Tasks that last count here.
	underWay urgency = iota
	// inTime: it can still meet its objective.
	inTime
	// late: it cannot, but can still end before lateFactor times the objective and be of some worth.
	late
	// overdue: it is done all the same, when there is room.
	overdue
)

// lateFactor is after how many times its objective a job is of no worth any more.
const lateFactor = 3

// ranked is a job with what decides its place in the order.
type ranked struct {
	js       *jobState
	priority int
	// turn is 1 for a job beyond its organisation's share, which waits for the others.
	turn    int
	urgency urgency
	// key orders jobs of one urgency, the lower first.
	key float64
}

// sorted returns jobs that wait in the order in which they are placed. Where not all can meet their objectives, going by the
// earliest objective would make all of them miss it by a little; the smallest go first, since most of them can be saved.
func (cr *Core) sorted(now time.Time, waiting []*jobState, workers int) []*jobState {
	list := make([]ranked, 0, len(waiting))
	for _, js := range waiting {
		list = append(list, cr.rank(now, js))
	}
	if cr.need(now, float64(workers)) <= float64(workers) {
		for at := range list {
			if list[at].urgency == inTime {
				list[at].key = cr.laxity(now, list[at].js).Seconds()
			}
		}
	}
	slices.SortStableFunc(list, func(one, other ranked) int {
		return cmp.Or(cmp.Compare(one.priority, other.priority), cmp.Compare(one.turn, other.turn), cmp.Compare(one.urgency, other.urgency), cmp.Compare(one.key, other.key))
	})
	jobs := make([]*jobState, len(list))
	for at, rk := range list {
		jobs[at] = rk.js
	}
	return jobs
}

// needAge is how old a count of what the open jobs want may be, since it goes through all of them.
const needAge = 50 * time.Millisecond

// need is how many machines the open jobs want; it is not counted further once it exceeds most.
func (cr *Core) need(now time.Time, most float64) float64 {
	if now.Sub(cr.neededAt) < needAge {
		return cr.neededSum
	}
	unit, sum := cr.unit(), 0.0
	for _, js := range cr.open {
		if !js.ended() {
			sum += cr.needed(now, js, unit)
		}
		if sum > most {
			break
		}
	}
	cr.neededSum, cr.neededAt = sum, now
	return sum
}

func (cr *Core) rank(now time.Time, js *jobState) ranked {
	rk := ranked{js: js, priority: cr.queues[js.spec.Queue].Priority}
	if js.beyond {
		rk.turn = 1
	}
	left := cr.laxity(now, js)
	end := js.from().Add(lateFactor * cr.objective(js)).Sub(now)
	worthy := cr.worth(now, js)
	switch {
	case js.spec.Steps[0].LongRunning:
		rk.urgency, rk.key = underWay, -1
	case left >= 0 && js.begun:
		rk.urgency, rk.key = underWay, left.Seconds()
	case left >= 0:
		rk.urgency, rk.key = inTime, js.work()
	case worthy >= 0:
		// By the earliest end all of them would be of no worth any more by a little; the smallest are the most that can be saved.
		rk.urgency, rk.key = late, js.work()
	default:
		rk.urgency, rk.key = overdue, -end.Seconds()
	}
	return rk
}

// worth is how long a job can wait and still end while it is of some worth.
func (cr *Core) worth(now time.Time, js *jobState) time.Duration {
	return cr.laxity(now, js) + (lateFactor-1)*cr.objective(js)
}

// punctual says for the log how a job that ends now stands to its objective.
func (cr *Core) punctual(now time.Time, js *jobState) string {
	left := js.from().Add(cr.objective(js)).Sub(now).Round(time.Millisecond)
	if left < 0 {
		return fmt.Sprintf("%v after its objective of %v", -left, cr.objective(js).Round(time.Millisecond))
	}
	return fmt.Sprintf("%v before its objective of %v", left, cr.objective(js).Round(time.Millisecond))
}

// work is a measure of what is left of a job: the room of its tasks that are not done.
func (js *jobState) work() float64 {
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
