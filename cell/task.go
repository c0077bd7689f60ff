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

// jobState is the in-memory state of one job.
type jobState struct {
	core *Core
	spec *job.Spec
	// loadedAt is when this owner received the job, or first refused it if the caller came back with it.
	loadedAt  time.Time
	cancelled bool
	state     job.State
	// storedState is the state last saved in the store. Callers see the end of a job only once it is saved.
	storedState job.State
	runs        map[int]*run
	// runsDone holds the runs that have completed; nextRun is the first run that has not started.
	runsDone job.Bitset
	runsLeft int
	nextRun  int
	// restored is the progress saved by an earlier owner.
	restored *job.Progress
	version  int64
	gen      int
	savedGen int
	// started means that a start was ordered, begun that a worker has confirmed one of the job's tasks.
	started, begun bool
	// inherited means that an earlier owner may have started tasks of the job.
	inherited bool
	// overShare means that the organisation had submitted more than its share when the job arrived.
	overShare bool
	endedAt   time.Time
	// fullyPlaced means that no task of the job is waiting to start. It is reset when one of its tasks ends.
	fullyPlaced bool
	// singleRun caches the only run of a job without due times, once it has started.
	singleRun []*run
	// criticalPath and criticalPathLeft are the expected minimum run times of the whole job and of its remaining steps, as of criticalPathGen
	// and criticalPathAt.
	criticalPath, criticalPathLeft time.Duration
	// criticalStepsLeft is the number of remaining steps on the critical path.
	criticalStepsLeft int
	criticalPathGen   int
	criticalPathAt    time.Time
	// hasUnresolved means that the outcome of an attempt is unknown: an earlier owner left it on a worker that may have ended, or its lease
	// expired.
	hasUnresolved bool
	// archived means that the job has been removed from the table of open jobs.
	archived bool
	// idleAt is when an attempt of the job was last over. waitReason is why the newest round left a task of the job waiting.
	idleAt     time.Time
	waitReason WaitReason
	// stand is how the job has waited since it last had something running; nil until the first report.
	stand *Stand
}

// run is one execution of all steps of a job.
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
	// inheritedAttempt is the newest attempt of a gang under earlier owners, as far as their rows tell.
	inheritedAttempt job.Attempt
	// evacuationNoted means that the log says that the step waits for an evacuated data hall.
	evacuationNoted bool
	// preempting lists the tasks that are being stopped to make room for this step.
	preempting []*placement
	// longestRun is the longest run time of a task of the step.
	longestRun time.Duration
	tickets    map[WorkerID]string
	// ticketsExpireAt is when the tickets expire; adviceRequestedAt is when the advice service was last asked.
	ticketsExpireAt time.Time
	adviceRequested bool
	// adviceRequests counts the requests to the advice service.
	adviceRequests    int
	adviceRequestedAt time.Time
}

// taskState is the state of one task.
type taskState struct {
	done    bool
	attempt job.Attempt
	// ordered means that this owner has ordered a start of the task.
	ordered bool
	// failed lists the failed attempts that count towards the limit, each with its worker.
	failed     []string
	checkpoint job.Checkpoint
	placement  *placement
	notBefore  time.Time
	losses     losses
	intent     *intent
	// lostAt is when the task was lost with its worker. The task is restarted only after the ownership has been confirmed at a later time.
	lostAt time.Time
	// lateStart is a start that the next incarnation of its worker may still execute; nil if there is none.
	lateStart *lateStart
	// avoid is a worker on which the task failed or was refused.
	avoid WorkerID
	// downSince is when a long-running task last stopped serving.
	downSince time.Time
	restarts  int
	// moves counts how often the task was moved away from a slow worker.
	moves int
}

// ended reports whether no more tasks of the job are to be started.
func (js *jobState) ended() bool { return js.cancelled || js.state.Ended() }

// tasksOn counts the tasks of the job on a worker.
func (js *jobState) tasksOn(wk *worker) int {
	count := 0
	for _, pl := range wk.placed {
		if pl.step.job == js {
			count++
		}
	}
	return count
}

// dueAt returns the due time of a run on the owner's clock, or zero for a job without due times.
func (js *jobState) dueAt(run int) time.Time {
	due := js.spec.DueTime(run)
	if due.IsZero() {
		return due
	}
	return due.Add(-js.core.clockOffset)
}

// visibleState returns the state shown to callers. An end is shown only once it is saved.
func (js *jobState) visibleState() job.State {
	switch {
	case js.storedState.Ended():
		return js.storedState
	case js.cancelled:
		return job.Cancelled
	case js.begun:
		return job.Running
	}
	return job.Queued
}

// loadJob adds a job read from the store.
func (cr *Core) loadJob(now time.Time, sd StoredJob) {
	if _, known := cr.jobs[sd.Spec.ID]; known {
		return
	}
	js := &jobState{core: cr, spec: sd.Spec, loadedAt: cr.admission.firstRefusedAt(sd.Spec.ID, now), cancelled: sd.Cancelled, runs: map[int]*run{}, runsLeft: sd.Spec.RunCount(), version: sd.Version, restored: sd.Progress}
	js.inherited = sd.Spec.Epoch < cr.epoch
	if pg := sd.Progress; pg != nil {
		js.started = len(pg.DoneTasks) > 0 || len(pg.FailedAttempts) > 0 || len(pg.CompletedRuns) > 0
		js.begun = js.started
		js.state, js.storedState, js.runsDone = pg.State, pg.State, pg.CompletedRuns
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
	cr.admission.arrived(sd.Spec.ID)
	cr.openJobs = append(cr.openJobs, js)
	// Attempts that workers have reported are no longer unresolved.
	cr.adoptEarlyReports(now, sd.Spec.ID)
	cr.reconcileUnresolved(js)
	if sd.Spec.Epoch > cr.epoch {
		cr.markSuperseded("", "a job has the epoch of a later owner")
	}
}

// adoptEarlyReports processes ends and adopts attempts that workers reported before this owner knew the job. An earlier owner may have started
// it.
func (cr *Core) adoptEarlyReports(now time.Time, id job.ID) {
	for _, wk := range cr.sortedWorkers {
		for at := range wk.unackedEnds {
			he := &wk.unackedEnds[at]
			if he.job != nil || he.end.Task.Job != id {
				continue
			}
			if st := cr.findStep(he.end.Task); st != nil {
				cr.handleEnd(now, wk, st, he.end)
				he.job, he.gen = st.job, st.job.gen
			}
		}
		for _, tk := range wk.foreignTasks() {
			if tk.Job == id && cr.adoptRun(now, wk, Running{Task: tk, Attempt: wk.foreign[tk].attempt}) != nil {
				delete(wk.foreign, tk)
			}
		}
	}
}

// restoreRuns builds the runs that have saved progress, so that the next save includes them.
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
			// A key of any other form does not belong to a run of this job.
			if err == nil && at >= 0 && at < js.spec.RunCount() && !js.runsDone.Has(at) {
				js.openRun(at)
			}
		}
	}
}

// Add adds an accepted job.
func (cr *Core) Add(now time.Time, sd StoredJob) { cr.loadJob(now, sd) }

// Cancel cancels a job. It has no effect on a job that has already ended.
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

// markDirty schedules a save of the job's progress.
func (cr *Core) markDirty(js *jobState) {
	js.gen++
	js.fullyPlaced = false
	cr.dirtyJobs[js.spec.ID] = js
}

// findStep returns the step of a task, or nil if the job is unknown or has no such task.
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

// openRun returns a run. If the run is not in memory, it is built from the saved progress.
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

// restore loads the saved progress of a step.
func (st *step) restore(pg *job.Progress) {
	done := pg.DoneTasks[job.StepKey(st.run, st.index)]
	for at := range st.tasks {
		ts := &st.tasks[at]
		key := job.TaskKey(job.Task{Run: st.run, Step: st.index, Index: at})
		ts.failed, ts.attempt = pg.FailedAttempts[key], max(pg.Attempts[key], job.Attempt(len(pg.FailedAttempts[key])))
		st.inheritedAttempt = max(st.inheritedAttempt, ts.attempt)
		if lost, ok := pg.Losses[key]; ok {
			ts.losses = restoreLosses(lost)
			st.job.hasUnresolved = st.job.hasUnresolved || len(ts.losses.unresolved) > 0
		}
		if done.Has(at) {
			ts.done = true
			st.done++
		}
	}
	st.restoreUnresolved(pg)
}

// ready reports whether all dependencies of a step are done.
func (rn *run) ready(st *step) bool {
	for _, dep := range st.spec.DependsOn {
		if rn.steps[dep].done < rn.steps[dep].spec.Count {
			return false
		}
	}
	return true
}

// handleEnd processes the reported end of an attempt.
func (cr *Core) handleEnd(now time.Time, wk *worker, st *step, en End) {
	ts := &st.tasks[en.Task.Index]
	ts.attempt = max(ts.attempt, en.Attempt)
	if slices.Contains(ts.losses.unresolved, wk.info.ID) && !wk.runsNewer(en) {
		// The end is acknowledged after the save. Otherwise the next owner would find the attempt in the row alone, and take a later end of the
		// worker for a loss of the task.
		ts.losses.resolve(wk.info.ID)
		cr.markDirty(st.job)
	}
	pl := wk.placements[en.Task]
	if pl != nil && pl.attempt == en.Attempt {
		if en.Reason == EndDone {
			cr.recordProgress(pl, wk.polledAt, 100)
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
	st.job.started, st.job.begun = true, true
	switch en.Reason {
	case EndDone:
		cr.runTimes.observeTask(st, pl, now)
		if pl != nil && !st.spec.LongRunning && !pl.ackedAt.IsZero() {
			cr.pace.countEnd(now.Sub(pl.ackedAt))
		}
		wk.failures.succeeded()
		cr.taskDone(now, st, en.Task)
	case EndFailed:
		// The task ended without its worker, which speaks against it having ended the others.
		cr.dropWeakLosses(st.job, ts)
		cr.taskFailed(now, wk, st, en)
	default:
		ts.notBefore = now
	}
	if st.spec.LongRunning {
		ts.downSince = now
	}
}

// runsNewer reports whether the worker lists a newer attempt of a task that has ended as running.
func (wk *worker) runsNewer(en End) bool {
	if rn := wk.listed[en.Task]; rn != nil && rn.Attempt > en.Attempt {
		return true
	}
	fr := wk.foreign[en.Task]
	return fr != nil && fr.attempt > en.Attempt
}

// taskDone marks a task as completed. For a gang it marks all members.
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

// Restart backoff of long-running tasks.
const (
	restartBackoffMin = 100 * time.Millisecond
	restartBackoffMax = 2 * time.Second
)

// taskFailed records a failed attempt.
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
		// Members of one gang attempt that fail together count as one failure.
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
	if limit := cr.maxAttempts(js); len(ts.failed) >= limit && !js.ended() {
		js.state, js.endedAt = job.Failed, now
		cr.urgentSave = true
		cr.opts.Log(Decision{What: "job failed", Task: en.Task, Attempt: en.Attempt, Worker: wk.info.ID, Why: "reached the failed attempts allowed by the queue"})
	}
}

// maxAttempts returns the number of failed attempts of one task after which the job fails.
func (cr *Core) maxAttempts(js *jobState) int {
	return max(1, cr.queueOf(js.spec).MaxAttempts)
}
