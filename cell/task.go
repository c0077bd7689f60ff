package cell

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// jobState is one job.
type jobState struct {
	core      *Core
	spec      *job.Spec
	loadedAt  time.Time
	cancelled bool
	state     job.State
	// savedState is the final state as the store has it; only that is shown.
	savedState job.State
	runs       map[int]*run
	// runsDone holds the runs that have ended well, nextRun is the first that has not begun.
	runsDone job.Bitset
	runsLeft int
	nextRun  int
	// failed and attempts are what an earlier owner left.
	restored *job.Progress
	version  int64
	gen      int
	savedGen int
	started  bool
	// inherited means that an earlier owner may have started tasks of it.
	inherited bool
	// overShare means that its organisation had handed in more than its share when it came.
	overShare bool
	endedAt   time.Time
	// fullyPlaced means that no task of it waits to be started, until something of it ends.
	fullyPlaced bool
	// singleRun is the one run of a job without due times, once it has begun.
	singleRun []*run
	// criticalPath and criticalPathLeft are how long its steps take at least, and those still to come, as of chainGen and chainAt.
	criticalPath, criticalPathLeft time.Duration
	// criticalStepsLeft is how many of them are still to come.
	criticalStepsLeft int
	criticalPathGen   int
	criticalPathAt    time.Time
	// hasOpenLosses means that an earlier owner left a task of it on a worker that may have ended, or that one lapsed.
	hasOpenLosses bool
	// archived means that the table of open jobs has it no more.
	archived bool
}

// run is one pass through the steps.
type run struct {
	steps     []*step
	stepsLeft int
}

// step is one step of one run.
type step struct {
	job          *jobState
	run          int
	index        int
	spec         *job.Step
	tasks        []taskState
	done         int
	waitingSince time.Time
	// preempting are the tasks that are being stopped to make room for it.
	preempting []*placement
	// longestRun is the longestRun run time of a task of the step.
	longestRun time.Duration
	tickets    map[WorkerID]string
	// ticketsExpireAt is when the tickets end, askedAt when the advice service was asked last.
	ticketsExpireAt time.Time
	adviceRequested bool
	// adviceRequests counts how often the advice service was asked.
	adviceRequests    int
	adviceRequestedAt time.Time
}

// taskState is one task.
type taskState struct {
	done    bool
	attempt job.Attempt
	// failed names the failed attempts that count, with their workers.
	failed     []string
	checkpoint job.Checkpoint
	placement  *placement
	notBefore  time.Time
	lost       losses
	intent     *intent
	// lostAt is when it was lost with its worker. It is started again once the ownership is confirmed later than that.
	lostAt time.Time
	// stray is a start that the next life of its worker may still carry out; nil for none.
	stray *stray
	// avoid is a worker on which it failed or was refused.
	avoid WorkerID
	// downSince is when a task that lasts was last at work.
	downSince time.Time
	restarts  int
	// moves counts how often it was moved from a slow worker.
	moves int
}

// ended reports whether nothing more is to be started for the job.
func (js *jobState) ended() bool { return js.cancelled || js.state.Ended() }

// tasksOn counts the tasks of a job tasksOn a worker.
func (js *jobState) tasksOn(wk *worker) int {
	count := 0
	for _, pl := range wk.placed {
		if pl.step.job == js {
			count++
		}
	}
	return count
}

// dueAt is the due time of a run on the owner's clock; zero for a job without due times.
func (js *jobState) dueAt(run int) time.Time {
	due := js.spec.DueTime(run)
	if due.IsZero() {
		return due
	}
	return due.Add(-js.core.ahead)
}

// visibleState is the state that callers see: an end only once the store has it.
func (js *jobState) visibleState() job.State {
	switch {
	case js.savedState.Ended():
		return js.savedState
	case js.cancelled:
		return job.Cancelled
	case js.started:
		return job.Running
	}
	return job.Queued
}

// loadJob takes a job from the store.
func (cr *Core) loadJob(now time.Time, sd StoredJob) {
	if _, known := cr.jobs[sd.Spec.ID]; known {
		return
	}
	js := &jobState{core: cr, spec: sd.Spec, loadedAt: now, cancelled: sd.Cancelled, runs: map[int]*run{}, runsLeft: sd.Spec.RunCount(), version: sd.Version, restored: sd.Progress}
	js.inherited = sd.Spec.Epoch < cr.epoch
	if pg := sd.Progress; pg != nil {
		js.started = len(pg.DoneTasks) > 0 || len(pg.FailedAttempts) > 0 || len(pg.CompletedRuns) > 0
		js.state, js.savedState, js.runsDone = pg.State, pg.State, pg.CompletedRuns
		for at := range sd.Spec.RunCount() {
			if js.runsDone.Has(at) {
				js.runsLeft--
			}
		}
	}
	cr.jobs[sd.Spec.ID] = js
	js.restoreRuns()
	if js.state.Ended() {
		js.endedAt = sd.Progress.EndedAt
		return
	}
	js.overShare = cr.exceedsShare(now, js)
	cr.open = append(cr.open, js)
	cr.judgeLeft(js)
	cr.adoptEarlyReports(now, sd.Spec.ID)
	if sd.Spec.Epoch > cr.epoch {
		cr.lose("", "a job names a later owner")
	}
}

// adoptEarlyReports takes ends of a job, and adopts its attempts, that were seen before the job was known: an earlier owner may hear of it sooner.
func (cr *Core) adoptEarlyReports(now time.Time, id job.ID) {
	for _, wk := range cr.list {
		for at := range wk.held {
			he := &wk.held[at]
			if he.js != nil || he.end.Task.Job != id {
				continue
			}
			if st := cr.findStep(he.end.Task); st != nil {
				cr.handleEnd(now, wk, st, he.end)
				he.js, he.gen = st.job, st.job.gen
			}
		}
		for _, tk := range wk.strangers() {
			if tk.Job == id && cr.adopt(now, wk, Running{Task: tk, Attempt: wk.foreign[tk].attempt}) != nil {
				delete(wk.foreign, tk)
			}
		}
	}
}

// restoreRuns builds the runs of which something is kept, so that the next save holds it, too.
func (js *jobState) restoreRuns() {
	if js.restored == nil || js.state.Ended() {
		return
	}
	keySets := []iter.Seq[string]{maps.Keys(js.restored.DoneTasks), maps.Keys(js.restored.FailedAttempts), maps.Keys(js.restored.Attempts), maps.Keys(js.restored.Losses)}
	for _, steps := range js.restored.Unresolved {
		keySets = append(keySets, maps.Keys(steps))
	}
	for _, keys := range keySets {
		for key := range keys {
			number, _, _ := strings.Cut(key, ".")
			at, err := strconv.Atoi(number)
			// A key of another form names no run of this job.
			if err == nil && at >= 0 && at < js.spec.RunCount() && !js.runsDone.Has(at) {
				js.openRun(at)
			}
		}
	}
}

// Add takes a job that was accepted.
func (cr *Core) Add(now time.Time, sd StoredJob) { cr.loadJob(now, sd) }

// Cancel gives up a job. An end that came before stands.
func (cr *Core) Cancel(now time.Time, id job.ID) {
	js, ok := cr.jobs[id]
	if !ok || js.cancelled || js.state.Ended() {
		return
	}
	js.cancelled, js.endedAt = true, now
	js.state = job.Cancelled
	cr.markDirty(js)
	cr.opts.Log(Decision{What: "job cancelled", Task: job.Task{Job: id}})
}

// markDirty notes that a job's progress is to be saved.
func (cr *Core) markDirty(js *jobState) {
	js.gen++
	js.fullyPlaced = false
	cr.dirty[js.spec.ID] = js
}

// findStep returns the step of a task, nil if the job is not known or has no such task.
func (cr *Core) findStep(tk job.Task) *step {
	js := cr.jobs[tk.Job]
	if js == nil || tk.Run < 0 || tk.Run >= js.spec.RunCount() || tk.Step < 0 || tk.Step >= len(js.spec.Steps) {
		return nil
	}
	if tk.Index < 0 || tk.Index >= js.spec.Steps[tk.Step].Count || js.runsDone.Has(tk.Run) {
		return nil
	}
	return js.openRun(tk.Run).steps[tk.Step]
}

// openRun returns a run, built from what is kept of it if it is not in memory yet.
func (js *jobState) openRun(at int) *run {
	if rn, ok := js.runs[at]; ok {
		return rn
	}
	rn := &run{stepsLeft: len(js.spec.Steps)}
	for index := range js.spec.Steps {
		st := &step{job: js, run: at, index: index, spec: &js.spec.Steps[index]}
		st.tasks = make([]taskState, st.spec.Count)
		if js.restored != nil {
			st.restore(js.restored)
		}
		if st.done == st.spec.Count {
			rn.stepsLeft--
		}
		rn.steps = append(rn.steps, st)
	}
	js.runs[at] = rn
	return rn
}

// restore takes what is kept of a step.
func (st *step) restore(pg *job.Progress) {
	bits := pg.DoneTasks[job.StepKey(st.run, st.index)]
	for at := range st.tasks {
		ts := &st.tasks[at]
		key := job.TaskKey(job.Task{Run: st.run, Step: st.index, Index: at})
		ts.failed, ts.attempt = pg.FailedAttempts[key], max(pg.Attempts[key], job.Attempt(len(pg.FailedAttempts[key])))
		if lost, ok := pg.Losses[key]; ok {
			ts.lost = recalled(lost)
			st.job.hasOpenLosses = st.job.hasOpenLosses || len(ts.lost.open) > 0
		}
		if bits.Has(at) {
			ts.done = true
			st.done++
		}
	}
	st.restoreOpen(pg)
}

// ready reports whether the steps that a step depends on are done.
func (rn *run) ready(st *step) bool {
	for _, on := range st.spec.DependsOn {
		if rn.steps[on].done < rn.steps[on].spec.Count {
			return false
		}
	}
	return true
}

// handleEnd takes one end.
func (cr *Core) handleEnd(now time.Time, wk *worker, st *step, en End) {
	ts := &st.tasks[en.Task.Index]
	ts.attempt = max(ts.attempt, en.Attempt)
	ts.lost.close(wk.info.ID)
	pl := wk.places[en.Task]
	if pl != nil && pl.attempt == en.Attempt {
		if en.Reason == EndDone {
			cr.recordProgress(pl, wk.lookedAt, 100)
		}
		cr.release(now, pl, "ended "+string(en.Reason))
	} else {
		pl = nil
	}
	if en.Checkpoint != "" && !ts.done {
		ts.checkpoint = en.Checkpoint
	}
	if ts.done {
		return
	}
	st.job.started = true
	switch en.Reason {
	case EndDone:
		cr.runTimes.observeTask(st, pl, now)
		wk.failures.succeeded()
		cr.taskDone(now, st, en.Task)
	case EndFailed:
		cr.taskFailed(now, wk, st, en)
	default:
		ts.notBefore = now
	}
	if st.spec.LongRunning {
		ts.downSince = now
	}
}

// taskDone notes that a task, or with it its whole gang, has ended well.
func (cr *Core) taskDone(now time.Time, st *step, tk job.Task) {
	js := st.job
	if st.spec.LongRunning {
		return
	}
	first, last := tk.Index, tk.Index+1
	if st.spec.Gang {
		first, last = 0, len(st.tasks)
	}
	for at := first; at < last; at++ {
		if !st.tasks[at].done {
			st.tasks[at].done = true
			st.done++
		}
	}
	cr.markDirty(js)
	rn := js.runs[st.run]
	if st.done < len(st.tasks) {
		return
	}
	cr.runTimes.observeStep(st)
	rn.stepsLeft--
	if rn.stepsLeft > 0 {
		return
	}
	js.runsDone.Set(st.run)
	js.runsLeft--
	if js.runsLeft == 0 && !js.ended() {
		js.state, js.endedAt = job.Completed, now
		cr.urgentSave = true
		cr.opts.Log(Decision{What: "job completed", Task: job.Task{Job: js.spec.ID}, Why: cr.objectiveSummary(now, js)})
	}
}

// Restarts of tasks that last.
const (
	restartBackoffMin = 100 * time.Millisecond
	restartBackoffMax = 2 * time.Second
)

// taskFailed counts a failed attempt.
func (cr *Core) taskFailed(now time.Time, wk *worker, st *step, en End) {
	js := st.job
	ts := &st.tasks[en.Task.Index]
	ts.avoid = wk.info.ID
	if st.spec.LongRunning {
		ts.restarts++
		ts.notBefore = now.Add(min(restartBackoffMax, restartBackoffMin<<min(ts.restarts, 5)))
		return
	}
	name := fmt.Sprintf("%d@%s", en.Attempt, wk.info.ID)
	if st.spec.Gang {
		// The members of one attempt that fail together count once.
		name = fmt.Sprintf("%d", en.Attempt)
	}
	if slices.Contains(ts.failed, name) {
		return
	}
	wk.failures.failed(now, en.Task.Job)
	ts.failed = append(ts.failed, name)
	if st.spec.Gang {
		for at := range st.tasks {
			st.tasks[at].failed = ts.failed
		}
	}
	cr.markDirty(js)
	if most := cr.maxAttempts(js); len(ts.failed) >= most && !js.ended() {
		js.state, js.endedAt = job.Failed, now
		cr.urgentSave = true
		cr.opts.Log(Decision{What: "job failed", Task: en.Task, Attempt: en.Attempt, Worker: wk.info.ID, Why: "as many failed attempts as the queue allows"})
	}
}

// maxAttempts is how many failed maxAttempts of a task fail its job.
func (cr *Core) maxAttempts(js *jobState) int {
	if qu, ok := cr.queues[js.spec.Queue]; ok && qu.MaxAttempts > 0 {
		return qu.MaxAttempts
	}
	return 1
}
