package cell

import (
	"math"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Estimation of run times and ejection of failing workers.
const (
	// runTimeWeight is the weight of the newest sample in the mean run time.
	runTimeWeight = 0.1
	// defaultRunTime is assumed for a queue until one of its tasks has ended.
	defaultRunTime = time.Second
	// ejectAfterJobs is how many different jobs in a row must fail on a worker before the worker is ejected. A single bad job must not eject
	// it.
	ejectAfterJobs = 3
	// ejectMin is the duration of the first ejection. After an ejection a single failure ejects the worker again, for a longer time
	// up to ejectMax.
	ejectMin = 3 * time.Second
	ejectMax = 12 * time.Second
)

// runTimeStats are the run time statistics of a queue's tasks.
type runTimeStats struct {
	// mean is the mean run time of a task.
	mean time.Duration
	// spread is the increase of the longest run time in a step, relative to mean, for each doubling of the number of tasks.
	spread float64
	// samples counts the ended tasks since firstSample.
	samples     int
	firstSample time.Time
}

// runTimes holds the run time statistics by queue.
type runTimes map[job.QueueID]runTimeStats

// defaultSpread is assumed until a step has ended. Run times that vary by half, as is usual for user jobs, give 0.27.
const defaultSpread = 0.27

// observeTask records the run time of a completed task.
func (rt runTimes) observeTask(st *step, pl *placement, now time.Time) {
	if pl == nil || st.spec.LongRunning || pl.ackedAt.IsZero() {
		return
	}
	runTime := now.Sub(pl.ackedAt)
	if pl.worker != nil && pl.worker.slow(now) {
		// The run time reflects the slow worker, not the task.
		return
	}
	st.longestRun = max(st.longestRun, runTime)
	stats, ok := rt[st.job.spec.Queue]
	if !ok {
		stats = runTimeStats{mean: runTime, spread: defaultSpread, firstSample: now}
	}
	stats.samples++
	stats.mean += time.Duration(max(runTimeWeight, 1/float64(stats.samples)) * float64(runTime-stats.mean))
	rt[st.job.spec.Queue] = stats
}

// observeStep updates the spread from the longest run time of a completed step.
func (rt runTimes) observeStep(st *step) {
	stats, ok := rt[st.job.spec.Queue]
	if !ok || st.longestRun == 0 || stats.mean <= 0 || len(st.tasks) < 2 {
		return
	}
	spread := (float64(st.longestRun)/float64(stats.mean) - 1) / math.Log2(float64(len(st.tasks)))
	stats.spread = max(0, stats.spread+runTimeWeight*(spread-stats.spread))
	rt[st.job.spec.Queue] = stats
}

// get returns the statistics of a queue, or the defaults.
func (rt runTimes) get(queue job.QueueID) runTimeStats {
	if stats, ok := rt[queue]; ok {
		return stats
	}
	return runTimeStats{mean: defaultRunTime, spread: defaultSpread}
}

const (
	// trustedSamples is the number of samples from which on the mean is representative. trustedRunTimes is how many mean run times must have
	// passed since the first sample, since the shortest of the tasks started together end first.
	trustedSamples  = 30
	trustedRunTimes = 5
)

// trusted reports whether the mean is reliable enough to judge workers by it.
func (rt runTimeStats) trusted(now time.Time) bool {
	return rt.samples >= trustedSamples && now.Sub(rt.firstSample) > trustedRunTimes*rt.mean
}

// longestOf returns the expected longest run time among a number of tasks.
func (rt runTimeStats) longestOf(tasks int) time.Duration {
	return time.Duration(float64(rt.mean) * (1 + rt.spread*math.Log2(float64(max(1, tasks)))))
}

// objective returns the time within which a job has to end, counted from objectiveStart.
func (cr *Core) objective(js *jobState) time.Duration {
	whole, _ := cr.criticalPath(js)
	qu := cr.queueOf(js.spec)
	return time.Duration(qu.Stretch*float64(whole)) + qu.Slack
}

// laxity returns how long a job can still wait without missing its objective. It is negative if the objective will be missed.
func (cr *Core) laxity(now time.Time, js *jobState) time.Duration {
	return cr.laxityFor(now, js, cr.objective(js))
}

// laxityFor returns the laxity of a job with a known objective.
func (cr *Core) laxityFor(now time.Time, js *jobState, objective time.Duration) time.Duration {
	_, left := cr.criticalPath(js)
	return js.objectiveStart().Add(objective).Sub(now) - left - publishTime
}

// publishTime is the time needed to save the end of a job and to report it.
const publishTime = 60 * time.Millisecond

// objectiveStart returns the time from which the objective is counted: the due time of the newest run, or the time when this owner received
// or first refused the job.
func (js *jobState) objectiveStart() time.Time {
	if js.spec.HasSchedule() {
		return js.dueAt(max(0, js.nextRun-1))
	}
	return js.loadedAt
}

// criticalPathMaxAge is how long the critical path is cached while the progress of the job does not change, since run time estimates change
// meanwhile.
const criticalPathMaxAge = 500 * time.Millisecond

// criticalPath returns the expected run times of the job's critical path and of its remaining part.
func (cr *Core) criticalPath(js *jobState) (whole, left time.Duration) {
	if js.criticalPath == 0 || js.criticalPathGen != js.gen || js.spec.HasSchedule() || cr.plannedAt.Sub(js.criticalPathAt) > criticalPathMaxAge {
		js.criticalPath, js.criticalPathLeft, js.criticalStepsLeft = js.computeCriticalPath(cr.runTimes.get(js.spec.Queue))
		js.criticalPathGen, js.criticalPathAt = js.gen, cr.plannedAt
	}
	return js.criticalPath, js.criticalPathLeft
}

func (js *jobState) computeCriticalPath(stats runTimeStats) (whole, left time.Duration, steps int) {
	finish := make([]time.Duration, len(js.spec.Steps))
	remainingSteps := make([]int, len(js.spec.Steps))
	remaining := make([]time.Duration, len(js.spec.Steps))
	rn := js.runs[max(0, js.nextRun-1)]
	for at := range js.spec.Steps {
		for _, dep := range js.spec.Steps[at].DependsOn {
			finish[at] = max(finish[at], finish[dep])
			remaining[at] = max(remaining[at], remaining[dep])
			remainingSteps[at] = max(remainingSteps[at], remainingSteps[dep])
		}
		count := js.spec.Steps[at].Count
		finish[at] += stats.longestOf(count)
		if rn != nil {
			count -= rn.steps[at].done
		}
		if count > 0 {
			remaining[at] += stats.longestOf(count)
			remainingSteps[at]++
		}
		whole, left, steps = max(whole, finish[at]), max(left, remaining[at]), max(steps, remainingSteps[at])
	}
	return whole, left, steps
}

// failureTracker ejects workers on which tasks of different jobs fail. It tells a bad worker from a bad job.
type failureTracker struct {
	failedJobs   map[job.ID]bool
	ejections    int
	ejectedUntil time.Time
	// probing means that the ejection has expired and a single failure ejects the worker again.
	probing bool
}

// succeeded records a completed task.
func (ft *failureTracker) succeeded() {
	ft.failedJobs, ft.ejections, ft.probing = nil, 0, false
}

// failed records a failed task of a job.
func (ft *failureTracker) failed(now time.Time, id job.ID) {
	if ft.failedJobs == nil {
		ft.failedJobs = map[job.ID]bool{}
	}
	ft.failedJobs[id] = true
	if len(ft.failedJobs) >= ejectAfterJobs || ft.probing {
		ft.ejections++
		ft.ejectedUntil = now.Add(min(ejectMax, ejectMin<<min(ft.ejections-1, 4)))
		ft.probing, ft.failedJobs = true, nil
	}
}

// ejected reports whether the worker is ejected.
func (ft *failureTracker) ejected(now time.Time) bool { return now.Before(ft.ejectedUntil) }
