package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// boundStarts is the maximum number of starts of a task that crashes each worker: two more after the third loss.
const boundStarts = 5

// boundCase is a condition under which it is hard to attribute losses to a task.
type boundCase struct {
	name string
	// every is the interval at which the cell changes owners. Zero means never.
	every   time.Duration
	noReset bool
	// unreported means that nobody reports which workers have ended.
	unreported bool
	// The registrations are gone for the first expiredFor of each expiryPeriod.
	expiredFor, expiryPeriod time.Duration
	// foreignRuns means that each worker has a run that the owner does not know.
	foreignRuns bool
	// after lists how long the crashing task runs before it crashes its worker.
	after []time.Duration
	step  job.Step
	span  time.Duration
}

// play runs the case for each of its times, with three crashing and twelve other jobs.
func (bc boundCase) play(t *testing.T) {
	t.Helper()
	for _, after := range bc.after {
		t.Run(fmt.Sprintf("%s/%v", bc.name, after), func(t *testing.T) {
			cc := newCrashCell(t, 6, crashingJobs(after, "bad0", "bad1", "bad2"))
			cc.noReset, cc.unreported, cc.foreignRuns = bc.noReset, bc.unreported, bc.foreignRuns
			for at := range 12 {
				cc.add(job.ID(fmt.Sprintf("good%02d", at)), testEpoch, taskStep(6))
			}
			for at := range 3 {
				cc.add(job.ID(fmt.Sprintf("bad%d", at)), testEpoch, bc.step)
			}
			bc.run(cc)
			for at := range 3 {
				id := job.ID(fmt.Sprintf("bad%d", at))
				if got := cc.starts[job.Task{Job: id}]; got > boundStarts {
					t.Errorf("the crashing task of %s was started %d times, want %d at most", id, got, boundStarts)
				}
				if got := cc.state(id); got != job.Failed && !bc.unreported {
					t.Errorf("%s is %s, want failed", id, got)
				}
			}
			for at := range 12 {
				if id := job.ID(fmt.Sprintf("good%02d", at)); cc.state(id) != job.Completed {
					t.Errorf("%s is %s, want completed", id, cc.state(id))
				}
			}
		})
	}
}

// run simulates the span of the case under its conditions.
func (bc boundCase) run(cc *crashCell) {
	const step = 50 * time.Millisecond
	for passed := time.Duration(0); passed < bc.span; passed += step {
		if bc.every > 0 && passed > 0 && passed%bc.every == 0 {
			cc.changeOwner()
		}
		if bc.expiryPeriod > 0 {
			cc.setRegistered(passed%bc.expiryPeriod >= bc.expiredFor)
		}
		cc.run(step)
	}
}

// changeOwner hands the cell over to another owner, which knows what was saved.
func (cc *crashCell) changeOwner() { cc.replaceOwner(cc.core.Release(cc.now), true) }

// killOwner replaces the owner by another one, which knows the stored list of workers.
func (cc *crashCell) killOwner() { cc.replaceOwner(cc.core.UsedWorkers(), false) }

// replaceOwner replaces the owner by another one that knows a list of workers.
func (cc *crashCell) replaceOwner(refs []WorkerRef, released bool) {
	unseenLossEpoch, before := cc.core.UnseenLossEpoch(), cc.core
	cc.core = New(testPool, before.epoch+1, before.opts)
	cc.core.TakeOver(cc.now, cc.now, refs, released)
	cc.core.NoteUnseenLosses(unseenLossEpoch)
	cc.core.Configure([]job.Queue{{ID: "q", Pool: testPool, MaxAttempts: 2, Stretch: 1.5, Slack: time.Second}})
	cc.pendingPolls = map[WorkerID]Poll{}
	for _, sw := range cc.workers {
		sw.poll = nil
	}
	cc.setRegistered(true)
	for id, sp := range cc.specs {
		cc.core.Add(cc.now, StoredJob{Spec: sp, Progress: cc.rows[id], Version: 9})
	}
}

// setRegistered adds or removes the registrations of all live workers.
func (cc *crashCell) setRegistered(registered bool) {
	for id, sw := range cc.workers {
		if wk := cc.core.workers[id]; sw.left || wk != nil && wk.registered == registered {
			continue
		}
		if registered {
			cc.core.Register(cc.now, sw.info)
			cc.core.WorkersRecorded([]WorkerRef{{ID: id, Address: string(id)}})
		} else {
			cc.core.Unregister(cc.now, id)
		}
	}
}

var (
	quick = []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}
	short = taskStep(6)
)

// Guards against losing track of crashing tasks in a cell that changes owners each second while the workers time out without a broken connection.
// Attempts on unresponsive workers were not saved, so the next owner had no task to charge with the loss: one task was started 60 times in 30 s.
func TestTaskThatCrashesItsWorkersUnderChangingOwnersIsGivenUp(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 1500 * time.Millisecond, 3 * time.Second} {
		for _, noReset := range []bool{true, false} {
			boundCase{name: fmt.Sprintf("every %v, no reset %t", every, noReset), every: every, noReset: noReset, after: quick, step: short, span: 30 * time.Second}.play(t)
		}
	}
}

// Guards against taking an expired registration for a leaving worker. A worker whose registration was gone when it stopped answering counted as
// leaving, and its loss was charged to no task: one task was started 25 times in 30 s.
func TestTaskThatCrashesItsWorkersIsGivenUpWhileRegistrationsExpire(t *testing.T) {
	for _, every := range []time.Duration{500 * time.Millisecond, 4 * time.Second} {
		for _, noReset := range []bool{true, false} {
			boundCase{name: fmt.Sprintf("half of %v, no reset %t", every, noReset), expiredFor: every / 2, expiryPeriod: every, noReset: noReset, after: quick, step: short, span: 30 * time.Second}.play(t)
		}
	}
}

// Guards against losses that prove nothing because each worker also has a run that its owner does not know, so that no task is ever alone on a
// worker: one task was started 14 times in 30 s.
func TestTaskThatCrashesItsWorkersBesideForeignRunsIsGivenUp(t *testing.T) {
	for _, noReset := range []bool{true, false} {
		boundCase{name: fmt.Sprintf("no reset %t", noReset), foreignRuns: true, noReset: noReset, after: quick, step: short, span: 30 * time.Second}.play(t)
	}
}

// Guards against long-running tasks that crash each worker some seconds after their start. Losses of tasks that had run for so long were never
// charged, and earlier charges were cleared.
func TestLongRunningTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	longRunning := job.Step{Count: 2, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}, LongRunning: true}
	for _, noReset := range []bool{true, false} {
		boundCase{name: fmt.Sprintf("no reset %t", noReset), noReset: noReset, after: []time.Duration{4 * time.Second, 6 * time.Second, 20 * time.Second}, step: longRunning, span: 5 * time.Minute}.play(t)
	}
}

// Guards against endless restarts if workers end without a broken connection and nobody reports their end. Their tasks were restarted elsewhere
// each time that the leases expired.
func TestTaskOfWorkersThatStopAnsweringIsStartedAFewTimes(t *testing.T) {
	boundCase{name: "untold", noReset: true, unreported: true, after: quick, step: short, span: 5 * time.Minute}.play(t)
}
