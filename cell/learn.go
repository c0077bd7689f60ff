package cell

import (
	"math"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Learning of run times and judging of workers.
const (
	// runTimeWeight is the weight of the newest run time in the mean.
	runTimeWeight = 0.1
	// defaultRunTime is taken for a queue's run time as long as none has ended.
	defaultRunTime = time.Second
	// ejectAfterJobs is how many different jobs in a row must fail on a worker before it is left alone, so that a bad job does not condemn it.
	ejectAfterJobs = 3
	// ejectMin is how long it is left alone; after that a single failure condemns it again, for longer up to badMost.
	ejectMin = 3 * time.Second
	ejectMax = 12 * time.Second
)

// runTimeStats is what was learned of a queue's tasks.
type runTimeStats struct {
	// mean is the mean run time of a mean.
	mean time.Duration
	// spread is by which part of task the longest of a step's tasks takes longer for each doubling of their number.
	spread float64
	// samples counts the tasks that it was learned from, since the first one at first.
	samples     int
	firstSample time.Time
}

// runTimes are the run times by queue.
type runTimes map[job.QueueID]runTimeStats

// defaultSpread is taken as long as no step has ended. Run times that vary by half, as the users' do, give 0.27.
const defaultSpread = 0.27

// observeTask takes the run time of a task that ended well.
func (rt runTimes) observeTask(st *step, pl *placement, now time.Time) {
	if pl == nil || st.spec.LongRunning || pl.acked.IsZero() {
		return
	}
	took := now.Sub(pl.acked)
	if pl.worker != nil && pl.worker.slow(now) {
		// It tells of the worker, not of the task.
		return
	}
	st.longestRun = max(st.longestRun, took)
	known, ok := rt[st.job.spec.Queue]
	if !ok {
		known = runTimeStats{mean: took, spread: defaultSpread, firstSample: now}
	}
	known.samples++
	known.mean += time.Duration(max(runTimeWeight, 1/float64(known.samples)) * float64(took-known.mean))
	rt[st.job.spec.Queue] = known
}

// observeStep takes the longest run time of a step that is done.
func (rt runTimes) observeStep(st *step) {
	known, ok := rt[st.job.spec.Queue]
	if !ok || st.longestRun == 0 || known.mean <= 0 || len(st.tasks) < 2 {
		return
	}
	spread := (float64(st.longestRun)/float64(known.mean) - 1) / math.Log2(float64(len(st.tasks)))
	known.spread = max(0, known.spread+runTimeWeight*(spread-known.spread))
	rt[st.job.spec.Queue] = known
}

// get is what is known get a queue's tasks, or the first guess.
func (rt runTimes) get(queue job.QueueID) runTimeStats {
	if known, ok := rt[queue]; ok {
		return known
	}
	return runTimeStats{mean: defaultRunTime, spread: defaultSpread}
}

const (
	// trustedSamples is from how many ends on a mean is taken for what is usual, and trustTimes how many run times must have passed since the
	// first: of tasks that were begun together the shortest end first.
	trustedSamples  = 30
	trustedRunTimes = 5
)

// trusted reports whether the mean can be held against a worker.
func (rt runTimeStats) trusted(now time.Time) bool {
	return rt.samples >= trustedSamples && now.Sub(rt.firstSample) > trustedRunTimes*rt.mean
}

// longestOf is how long the longestOf of so many tasks takes.
func (rt runTimeStats) longestOf(tasks int) time.Duration {
	return time.Duration(float64(rt.mean) * (1 + rt.spread*math.Log2(float64(max(1, tasks)))))
}

// objective is the time within which a job is to be done, from its due time or the time when it was accepted.
func (cr *Core) objective(js *jobState) time.Duration {
	whole, _ := cr.criticalPath(js)
	qu := cr.queues[js.spec.Queue]
	return time.Duration(qu.Stretch*float64(whole)) + qu.Slack
}

// laxity is how long a job can still wait without missing its objective; negative if it is missed in any case.
func (cr *Core) laxity(now time.Time, js *jobState) time.Duration {
	_, left := cr.criticalPath(js)
	return js.objectiveStart().Add(cr.objective(js)).Sub(now) - left - publishTime
}

// publishTime is what keeping an end and telling it takes.
const publishTime = 60 * time.Millisecond

// objectiveStart is when the time of a job, or of its newest run, began.
func (js *jobState) objectiveStart() time.Time {
	if js.spec.HasSchedule() {
		return js.dueAt(max(0, js.nextRun-1))
	}
	return js.loadedAt
}

// criticalPathMaxAge is how old the chain of a job may be while its progress stays as it is: run times are learned meanwhile.
const criticalPathMaxAge = 500 * time.Millisecond

// criticalPath returns how long the steps of a job that follow each other take at least, and those of them that are still to come.
func (cr *Core) criticalPath(js *jobState) (whole, left time.Duration) {
	if js.criticalPath == 0 || js.criticalPathGen != js.gen || js.spec.HasSchedule() || cr.planned.Sub(js.criticalPathAt) > criticalPathMaxAge {
		js.criticalPath, js.criticalPathLeft, js.criticalStepsLeft = js.computeCriticalPath(cr.runTimes.get(js.spec.Queue))
		js.criticalPathGen, js.criticalPathAt = js.gen, cr.planned
	}
	return js.criticalPath, js.criticalPathLeft
}

func (js *jobState) computeCriticalPath(known runTimeStats) (whole, left time.Duration, steps int) {
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
		depth[at] += known.longestOf(count)
		if rn != nil {
			count -= rn.steps[at].done
		}
		if count > 0 {
			rest[at] += known.longestOf(count)
			follow[at]++
		}
		whole, left, steps = max(whole, depth[at]), max(left, rest[at]), max(steps, follow[at])
	}
	return whole, left, steps
}

// failureTracker tells a bad worker from bad jobs.
type failureTracker struct {
	failedJobs   map[job.ID]bool
	ejections    int
	ejectedUntil time.Time
	// probing means that the time alone is over, and a single failure condemns the worker again.
	probing bool
}

// succeeded notes that a task ended succeeded.
func (jd *failureTracker) succeeded() {
	jd.failedJobs, jd.ejections, jd.probing = nil, 0, false
}

// failed notes that a task of a job failed.
func (jd *failureTracker) failed(now time.Time, id job.ID) {
	if jd.failedJobs == nil {
		jd.failedJobs = map[job.ID]bool{}
	}
	jd.failedJobs[id] = true
	if len(jd.failedJobs) >= ejectAfterJobs || jd.probing {
		jd.ejections++
		jd.ejectedUntil = now.Add(min(ejectMax, ejectMin<<min(jd.ejections-1, 4)))
		jd.probing, jd.failedJobs = true, nil
	}
}

// ejected reports whether the worker is left alone.
func (jd *failureTracker) ejected(now time.Time) bool { return now.Before(jd.ejectedUntil) }
