package cell

import (
	"math"
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
	// task is the mean run time of a task.
	task time.Duration
	// spread is by which part of task the longest of a step's tasks takes longer for each doubling of their number.
	spread float64
	// ends counts the tasks that it was learned from, since the first one at first.
	ends  int
	first time.Time
}

// runtimes are the run times by queue.
type runtimes map[job.QueueID]runtime

// firstSpread is taken as long as no step has ended. Run times that vary by half, as the users' do, give 0.27.
const firstSpread = 0.27

// learn takes the run time of a task that ended well.
func (rt runtimes) learn(st *step, pl *placement, now time.Time) {
	if pl == nil || st.spec.LongRunning || pl.acked.IsZero() {
		return
	}
	took := now.Sub(pl.acked)
	if pl.worker != nil && pl.worker.slow(now) {
		// It tells of the worker, not of the task.
		return
	}
	st.longest = max(st.longest, took)
	known, ok := rt[st.job.spec.Queue]
	if !ok {
		known = runtime{task: took, spread: firstSpread, first: now}
	}
	known.ends++
	known.task += time.Duration(max(learnShare, 1/float64(known.ends)) * float64(took-known.task))
	rt[st.job.spec.Queue] = known
}

// learnStep takes the longest run time of a step that is done.
func (rt runtimes) learnStep(st *step) {
	known, ok := rt[st.job.spec.Queue]
	if !ok || st.longest == 0 || known.task <= 0 || len(st.tasks) < 2 {
		return
	}
	spread := (float64(st.longest)/float64(known.task) - 1) / math.Log2(float64(len(st.tasks)))
	known.spread = max(0, known.spread+learnShare*(spread-known.spread))
	rt[st.job.spec.Queue] = known
}

// of is what is known of a queue's tasks, or the first guess.
func (rt runtimes) of(queue job.QueueID) runtime {
	if known, ok := rt[queue]; ok {
		return known
	}
	return runtime{task: firstGuess, spread: firstSpread}
}

const (
	// trustEnds is from how many ends on a mean is taken for what is usual, and trustTimes how many run times must have passed since the
	// first: of tasks that were begun together the shortest end first.
	trustEnds  = 30
	trustTimes = 5
)

// trusted reports whether the mean can be held against a worker.
func (rt runtime) trusted(now time.Time) bool {
	return rt.ends >= trustEnds && now.Sub(rt.first) > trustTimes*rt.task
}

// longest is how long the longest of so many tasks takes.
func (rt runtime) longest(tasks int) time.Duration {
	return time.Duration(float64(rt.task) * (1 + rt.spread*math.Log2(float64(max(1, tasks)))))
}

// objective is the time within which a job is to be done, from its due time or the time when it was accepted.
func (cr *Core) objective(js *jobState) time.Duration {
	whole, _ := cr.chain(js)
	qu := cr.queues[js.spec.Queue]
	return time.Duration(qu.Stretch*float64(whole)) + qu.Slack
}

// laxity is how long a job can still wait without missing its objective; negative if it is missed in any case.
func (cr *Core) laxity(now time.Time, js *jobState) time.Duration {
	_, left := cr.chain(js)
	return js.from().Add(cr.objective(js)).Sub(now) - left - showTime
}

// showTime is what keeping an end and telling it takes.
const showTime = 60 * time.Millisecond

// from is when the time of a job, or of its newest run, began.
func (js *jobState) from() time.Time {
	if js.spec.HasSchedule() {
		return js.dueAt(max(0, js.nextRun-1))
	}
	return js.seen
}

// chainAge is how old the chain of a job may be while its progress stays as it is: run times are learned meanwhile.
const chainAge = 500 * time.Millisecond

// chain returns how long the steps of a job that follow each other take at least, and those of them that are still to come.
func (cr *Core) chain(js *jobState) (whole, left time.Duration) {
	if js.chainWhole == 0 || js.chainGen != js.gen || js.spec.HasSchedule() || cr.planned.Sub(js.chainAt) > chainAge {
		js.chainWhole, js.chainLeft, js.stepsLeft = js.measureChain(cr.run.of(js.spec.Queue))
		js.chainGen, js.chainAt = js.gen, cr.planned
	}
	return js.chainWhole, js.chainLeft
}

func (js *jobState) measureChain(known runtime) (whole, left time.Duration, steps int) {
	depth := make([]time.Duration, len(js.spec.Steps))
	follow := make([]int, len(js.spec.Steps))
	rest := make([]time.Duration, len(js.spec.Steps))
	rn := js.runs[max(0, js.nextRun-1)]
	for at := range js.spec.Steps {
		for _, on := range js.spec.Steps[at].DependsOn {
			depth[at] = max(depth[at], depth[on])
			rest[at] = max(rest[at], rest[on])
			follow[at] = max(follow[at], follow[on])
		}
		count := js.spec.Steps[at].Count
		depth[at] += known.longest(count)
		if rn != nil {
			count -= rn.steps[at].done
		}
		if count > 0 {
			rest[at] += known.longest(count)
			follow[at]++
		}
		whole, left, steps = max(whole, depth[at]), max(left, rest[at]), max(steps, follow[at])
	}
	return whole, left, steps
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
