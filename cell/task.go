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
	seen      time.Time
	cancelled bool
	state     job.State
	// kept is the final state as the store has it; only that is shown.
	kept job.State
	runs map[int]*run
	// runsDone holds the runs that have ended well, nextRun is the first that has not begun.
	runsDone job.Bitset
	left     int
	nextRun  int
	// failed and attempts are what an earlier owner left.
	before   *job.Progress
	version  int64
	gen      int
	savedGen int
	begun    bool
	// carried means that an earlier owner may have started tasks of it.
	carried bool
	// beyond means that its organisation had handed in more than its share when it came.
	beyond  bool
	endedAt time.Time
	// settled means that no task of it waits to be started, until something of it ends.
	settled bool
	// only is the one run of a job without due times, once it has begun.
	only []*run
	// chainWhole and chainLeft are how long its steps take at least, and those still to come, as of chainGen and chainAt.
	chainWhole, chainLeft time.Duration
	// stepsLeft is how many of them are still to come.
	stepsLeft int
	chainGen  int
	chainAt   time.Time
	// abandoned means that an earlier owner left a task of it on a worker that may have ended, or that one lapsed.
	abandoned bool
	// archived means that the table of open jobs has it no more.
	archived bool
}

// run is one pass through the steps.
type run struct {
	steps []*step
	left  int
}

// step is one step of one run.
type step struct {
	job   *jobState
	run   int
	at    int
	spec  *job.Step
	tasks []taskState
	done  int
	since time.Time
	// yielding are the tasks that are being stopped to make room for it.
	yielding []*placement
	// longest is the longest run time of a task of the step.
	longest time.Duration
	tickets map[WorkerID]string
	// ticketsUntil is when the tickets end, askedAt when the advice service was asked last.
	ticketsUntil time.Time
	asking       bool
	// questions counts how often the advice service was asked.
	questions int
	askedAt   time.Time
}

// taskState is one task.
type taskState struct {
	done    bool
	attempt job.Attempt
	// failed names the failed attempts that count, with their workers.
	failed     []string
	checkpoint job.Checkpoint
	place      *placement
	notBefore  time.Time
	lost       losses
	intent     *intent
	// lostAt is when it was lost with its worker. It is started again once the ownership is confirmed later than that.
	lostAt time.Time
	// stray is a start that the next life of its worker may still carry out; nil for none.
	stray *stray
	// avoid is a worker on which it failed or was refused.
	avoid WorkerID
	// awayFrom is when a task that lasts was last at work.
	awayFrom time.Time
	restarts int
	// rescues counts how often it was moved from a slow worker.
	rescues int
}

// ended reports whether nothing more is to be started for the job.
func (js *jobState) ended() bool { return js.cancelled || js.state.Ended() }

// on counts the tasks of a job on a worker.
func (js *jobState) on(wk *worker) int {
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

// shown is the state that callers see: an end only once the store has it.
func (js *jobState) shown() job.State {
	switch {
	case js.kept.Ended():
		return js.kept
	case js.cancelled:
		return job.Cancelled
	case js.begun:
		return job.Running
	}
	return job.Queued
}

// load takes a job from the store.
func (cr *Core) load(now time.Time, sd StoredJob) {
	if _, known := cr.jobs[sd.Spec.ID]; known {
		return
	}
	js := &jobState{core: cr, spec: sd.Spec, seen: now, cancelled: sd.Cancelled, runs: map[int]*run{}, left: sd.Spec.RunCount(), version: sd.Version, before: sd.Progress}
	js.carried = sd.Spec.Epoch < cr.epoch
	if pg := sd.Progress; pg != nil {
		js.begun = len(pg.DoneTasks) > 0 || len(pg.FailedAttempts) > 0 || len(pg.CompletedRuns) > 0
		js.state, js.kept, js.runsDone = pg.State, pg.State, pg.CompletedRuns
		for at := range sd.Spec.RunCount() {
			if js.runsDone.Has(at) {
				js.left--
			}
		}
	}
	cr.jobs[sd.Spec.ID] = js
	js.recall()
	if js.state.Ended() {
		js.endedAt = sd.Progress.EndedAt
		return
	}
	js.beyond = cr.exceedsShare(now, js)
	cr.open = append(cr.open, js)
	cr.judgeLeft(js)
	cr.claimRuns(now, sd.Spec.ID)
	if sd.Spec.Epoch > cr.epoch {
		cr.lose("", "a job names a later owner")
	}
}

// claimRuns takes ends of a job, and adopts its attempts, that were seen before the job was known: an earlier owner may hear of it sooner.
func (cr *Core) claimRuns(now time.Time, id job.ID) {
	for _, wk := range cr.list {
		for at := range wk.held {
			he := &wk.held[at]
			if he.js != nil || he.end.Task.Job != id {
				continue
			}
			if st := cr.find(he.end.Task); st != nil {
				cr.ended(now, wk, st, he.end)
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

// recall builds the runs of which something is kept, so that the next save holds it, too.
func (js *jobState) recall() {
	if js.before == nil || js.state.Ended() {
		return
	}
	keySets := []iter.Seq[string]{maps.Keys(js.before.DoneTasks), maps.Keys(js.before.FailedAttempts), maps.Keys(js.before.Attempts), maps.Keys(js.before.Losses)}
	for _, steps := range js.before.Unresolved {
		keySets = append(keySets, maps.Keys(steps))
	}
	for _, keys := range keySets {
		for key := range keys {
			number, _, _ := strings.Cut(key, ".")
			at, err := strconv.Atoi(number)
			// A key of another form names no run of this job.
			if err == nil && at >= 0 && at < js.spec.RunCount() && !js.runsDone.Has(at) {
				js.begin(at)
			}
		}
	}
}

// Add takes a job that was accepted.
func (cr *Core) Add(now time.Time, sd StoredJob) { cr.load(now, sd) }

// Cancel gives up a job. An end that came before stands.
func (cr *Core) Cancel(now time.Time, id job.ID) {
	js, ok := cr.jobs[id]
	if !ok || js.cancelled || js.state.Ended() {
		return
	}
	js.cancelled, js.endedAt = true, now
	js.state = job.Cancelled
	cr.change(js)
	cr.opts.Log(Decision{What: "job cancelled", Task: job.Task{Job: id}})
}

// change notes that a job's progress is to be saved.
func (cr *Core) change(js *jobState) {
	js.gen++
	js.settled = false
	cr.dirty[js.spec.ID] = js
}

// find returns the step of a task, nil if the job is not known or has no such task.
func (cr *Core) find(tk job.Task) *step {
	js := cr.jobs[tk.Job]
	if js == nil || tk.Run < 0 || tk.Run >= js.spec.RunCount() || tk.Step < 0 || tk.Step >= len(js.spec.Steps) {
		return nil
	}
	if tk.Index < 0 || tk.Index >= js.spec.Steps[tk.Step].Count || js.runsDone.Has(tk.Run) {
		return nil
	}
	return js.begin(tk.Run).steps[tk.Step]
}

// begin returns a run, built from what is kept of it if it is not in memory yet.
func (js *jobState) begin(at int) *run {
	if rn, ok := js.runs[at]; ok {
		return rn
	}
	rn := &run{left: len(js.spec.Steps)}
	for index := range js.spec.Steps {
		st := &step{job: js, run: at, at: index, spec: &js.spec.Steps[index]}
		st.tasks = make([]taskState, st.spec.Count)
		if js.before != nil {
			st.restore(js.before)
		}
		if st.done == st.spec.Count {
			rn.left--
		}
		rn.steps = append(rn.steps, st)
	}
	js.runs[at] = rn
	return rn
}

// restore takes what is kept of a step.
func (st *step) restore(pg *job.Progress) {
	bits := pg.DoneTasks[job.StepKey(st.run, st.at)]
	for at := range st.tasks {
		ts := &st.tasks[at]
		key := job.TaskKey(job.Task{Run: st.run, Step: st.at, Index: at})
		ts.failed, ts.attempt = pg.FailedAttempts[key], max(pg.Attempts[key], job.Attempt(len(pg.FailedAttempts[key])))
		if lost, ok := pg.Losses[key]; ok {
			ts.lost = recalled(lost)
			st.job.abandoned = st.job.abandoned || len(ts.lost.open) > 0
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

// ended takes one end.
func (cr *Core) ended(now time.Time, wk *worker, st *step, en End) {
	ts := &st.tasks[en.Task.Index]
	ts.attempt = max(ts.attempt, en.Attempt)
	ts.lost.close(wk.info.ID)
	pl := wk.places[en.Task]
	if pl != nil && pl.attempt == en.Attempt {
		if en.Reason == EndDone {
			cr.paceOf(pl, wk.lookedAt, 100)
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
	st.job.begun = true
	switch en.Reason {
	case EndDone:
		cr.run.learn(st, pl, now)
		wk.judge.well()
		cr.taskDone(now, st, en.Task)
	case EndFailed:
		cr.taskFailed(now, wk, st, en)
	default:
		ts.notBefore = now
	}
	if st.spec.LongRunning {
		ts.awayFrom = now
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
	cr.change(js)
	rn := js.runs[st.run]
	if st.done < len(st.tasks) {
		return
	}
	cr.run.learnStep(st)
	rn.left--
	if rn.left > 0 {
		return
	}
	js.runsDone.Set(st.run)
	js.left--
	if js.left == 0 && !js.ended() {
		js.state, js.endedAt = job.Completed, now
		cr.urgentSave = true
		cr.opts.Log(Decision{What: "job completed", Task: job.Task{Job: js.spec.ID}, Why: cr.punctual(now, js)})
	}
}

// Restarts of tasks that last.
const (
	restartFirst = 100 * time.Millisecond
	restartMost  = 2 * time.Second
)

// taskFailed counts a failed attempt.
func (cr *Core) taskFailed(now time.Time, wk *worker, st *step, en End) {
	js := st.job
	ts := &st.tasks[en.Task.Index]
	ts.avoid = wk.info.ID
	if st.spec.LongRunning {
		ts.restarts++
		ts.notBefore = now.Add(min(restartMost, restartFirst<<min(ts.restarts, 5)))
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
	wk.judge.failed(now, en.Task.Job)
	ts.failed = append(ts.failed, name)
	if st.spec.Gang {
		for at := range st.tasks {
			st.tasks[at].failed = ts.failed
		}
	}
	cr.change(js)
	if most := cr.attempts(js); len(ts.failed) >= most && !js.ended() {
		js.state, js.endedAt = job.Failed, now
		cr.urgentSave = true
		cr.opts.Log(Decision{What: "job failed", Task: en.Task, Attempt: en.Attempt, Worker: wk.info.ID, Why: "as many failed attempts as the queue allows"})
	}
}

// attempts is how many failed attempts of a task fail its job.
func (cr *Core) attempts(js *jobState) int {
	if qu, ok := cr.queues[js.spec.Queue]; ok && qu.MaxAttempts > 0 {
		return qu.MaxAttempts
	}
	return 1
}
