package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Learning of run times and judging of workers.
const (
	// learnShare is the weight of the newest run time in the mean.
	learnShare = 0.1
	// firstGuess is taken for a queue's run time as long as none has ended.
	firstGuess = time.Second
	// badAfter is how many different jobs in a row must fail on a worker before it is left alone, so that a bad job does not condemn it.
	badAfter = 3
	// badFor is how long it is left alone; after that a single failure condemns it again, for longer up to badMost.
	badFor  = 3 * time.Second
	badMost = 12 * time.Second
)

// runtime is what was learned of a queue's tasks.
type runtime struct {
	// task is the mean run time of a task, step the mean of the longest of each step, which is what a chain is made of.
	task, step time.Duration
}

// runtimes are the run times by queue.
type runtimes map[job.QueueID]runtime

// learn takes the run time of a task that ended well.
func (rt runtimes) learn(st *step, pl *placement, now time.Time) {
	if pl == nil || st.spec.LongRunning || pl.acked.IsZero() {
		return
	}
	took := now.Sub(pl.acked)
	st.longest = max(st.longest, took)
	known, ok := rt[st.job.spec.Queue]
	if !ok {
		known = runtime{took, took}
	}
	known.task += time.Duration(learnShare * float64(took-known.task))
	rt[st.job.spec.Queue] = known
}

// learnStep takes the longest run time of a step that is done.
func (rt runtimes) learnStep(st *step) {
	known, ok := rt[st.job.spec.Queue]
	if !ok || st.longest == 0 {
		return
	}
	known.step += time.Duration(learnShare * float64(st.longest-known.step))
	rt[st.job.spec.Queue] = known
}

// of is what is known of a queue's tasks, or the first guess.
func (rt runtimes) of(queue job.QueueID) runtime {
	if known, ok := rt[queue]; ok {
		return known
	}
	return runtime{firstGuess, firstGuess}
}

// objective is the time within which a job is to be done, from its due time or the time when it was accepted.
func (cr *Core) objective(js *jobState) time.Duration {
	whole, _ := js.chain()
	qu := cr.queues[js.spec.Queue]
	return time.Duration(qu.Stretch*float64(whole)*float64(cr.run.of(js.spec.Queue).step)) + qu.Slack
}

// laxity is how long a job can still wait without missing its objective; negative if it is missed in any case.
func (cr *Core) laxity(now time.Time, js *jobState) time.Duration {
	_, left := js.chain()
	return js.from().Add(cr.objective(js)).Sub(now) - time.Duration(left)*cr.run.of(js.spec.Queue).step
}

// from is when the time of a job, or of its newest run, began.
func (js *jobState) from() time.Time {
	if js.spec.Timed() {
		return js.spec.Due(max(0, js.nextRun-1))
	}
	return js.seen
}

// chain returns how many steps follow each other in a job, and how many of them are still to come.
func (js *jobState) chain() (whole, left int) {
	if js.depth == 0 || js.restGen != js.gen || js.spec.Timed() {
		js.depth, js.rest = js.measureChain()
		js.restGen = js.gen
	}
	return js.depth, js.rest
}

func (js *jobState) measureChain() (whole, left int) {
	depth := make([]int, len(js.spec.Steps))
	rest := make([]int, len(js.spec.Steps))
	rn := js.runs[max(0, js.nextRun-1)]
	for at := range js.spec.Steps {
		for _, on := range js.spec.Steps[at].DependsOn {
			depth[at] = max(depth[at], depth[on])
			rest[at] = max(rest[at], rest[on])
		}
		depth[at]++
		if rn == nil || rn.steps[at].done < len(rn.steps[at].tasks) {
			rest[at]++
		}
		whole, left = max(whole, depth[at]), max(left, rest[at])
	}
	return whole, left
}

// chainLeft is how many steps that follow each other are still to come.
func (js *jobState) chainLeft() int {
	_, left := js.chain()
	return left
}

// judge tells a bad worker from bad jobs.
type judge struct {
	jobs  map[job.ID]bool
	times int
	until time.Time
	// probing means that the time alone is over, and a single failure condemns the worker again.
	probing bool
}

// well notes that a task ended well.
func (jd *judge) well() {
	jd.jobs, jd.times, jd.probing = nil, 0, false
}

// failed notes that a task of a job failed.
func (jd *judge) failed(now time.Time, id job.ID) {
	if jd.jobs == nil {
		jd.jobs = map[job.ID]bool{}
	}
	jd.jobs[id] = true
	if len(jd.jobs) >= badAfter || jd.probing {
		jd.times++
		jd.until = now.Add(min(badMost, badFor<<min(jd.times-1, 4)))
		jd.probing, jd.jobs = true, nil
	}
}

// bad reports whether the worker is left alone.
func (jd *judge) bad(now time.Time) bool { return now.Before(jd.until) }
