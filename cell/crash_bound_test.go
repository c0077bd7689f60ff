package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// boundStarts is how often a task that ends each worker may be started in all: after the third loss twice more.
const boundStarts = 5

// boundCase is a circumstance under which losses are hard to lay to a task.
type boundCase struct {
	name string
	// every is how often the cell changes hands; zero for never.
	every time.Duration
	dark  bool
	// untold means that nobody tells which workers have ended.
	untold bool
	// lapse of each lapseOf the registrations are gone.
	lapse, lapseOf time.Duration
	// stranger means that each worker has a run that the owner does not know.
	stranger bool
	// after is how long the guilty task runs before it ends its worker.
	after []time.Duration
	step  job.Step
	span  time.Duration
}

// bound plays a case for each of its times: three guilty jobs beside twelve others.
func (bc boundCase) play(t *testing.T) {
	t.Helper()
	for _, after := range bc.after {
		t.Run(fmt.Sprintf("%s/%v", bc.name, after), func(t *testing.T) {
			cs := newCrashes(t, 6, guiltyJobs(after, "bad0", "bad1", "bad2"))
			cs.dark, cs.untold, cs.stranger = bc.dark, bc.untold, bc.stranger
			for at := range 12 {
				cs.add(job.ID(fmt.Sprintf("good%02d", at)), testEpoch, taskStep(6))
			}
			for at := range 3 {
				cs.add(job.ID(fmt.Sprintf("bad%d", at)), testEpoch, bc.step)
			}
			bc.run(cs)
			for at := range 3 {
				id := job.ID(fmt.Sprintf("bad%d", at))
				if got := cs.starts[job.Task{Job: id}]; got > boundStarts {
					t.Errorf("the guilty task of %s was started %d times, want %d at most", id, got, boundStarts)
				}
				if got := cs.state(id); got != job.Failed && !bc.untold {
					t.Errorf("%s is %s, want failed", id, got)
				}
			}
			for at := range 12 {
				if id := job.ID(fmt.Sprintf("good%02d", at)); cs.state(id) != job.Completed {
					t.Errorf("%s is %s, want completed", id, cs.state(id))
				}
			}
		})
	}
}

// run lets the time pass, with what the case brings.
func (bc boundCase) run(cs *crashes) {
	const step = 50 * time.Millisecond
	for passed := time.Duration(0); passed < bc.span; passed += step {
		if bc.every > 0 && passed > 0 && passed%bc.every == 0 {
			cs.succeed()
		}
		if bc.lapseOf > 0 {
			cs.list(passed%bc.lapseOf >= bc.lapse)
		}
		cs.run(step)
	}
}

// succeed gives the cell to another owner, which knows what was kept.
func (cs *crashes) succeed() {
	refs, exposed, before := cs.core.Release(cs.now), cs.core.UnseenLossEpoch(), cs.core
	cs.core = New(testPool, before.epoch+1, before.opts)
	cs.core.TakeOver(cs.now, cs.now, refs, true)
	cs.core.NoteUnseenLosses(exposed)
	cs.core.Configure([]job.Queue{{ID: "q", Pool: testPool, MaxAttempts: 2, Stretch: 1.5, Slack: time.Second}})
	cs.pendingPolls = map[WorkerID]Poll{}
	for _, fr := range cs.workers {
		fr.look = nil
	}
	cs.list(true)
	for id, sp := range cs.specs {
		cs.core.Add(cs.now, StoredJob{Spec: sp, Progress: cs.rows[id], Version: 9})
	}
}

// list has the registrations of all workers that live be there, or gone.
func (cs *crashes) list(listed bool) {
	for id, fr := range cs.workers {
		if wk := cs.core.workers[id]; wk != nil && wk.registered == listed {
			continue
		}
		if listed {
			cs.core.Register(cs.now, fr.info)
			cs.core.WorkersRecorded([]WorkerRef{{ID: id, Address: string(id)}})
		} else {
			cs.core.Unregister(cs.now, id)
		}
	}
}

var (
	quick = []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}
	short = taskStep(6)
)

// A cell changed hands each second while tasks ended their workers without a word. Of an attempt on a silent worker nothing was kept, so that
// the next owner, told that the worker was gone, found nothing to lay its end to: one task was started 60 times in 30 s.
func TestTaskThatCrashesItsWorkersUnderOwnersByTurnsIsGivenUp(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 1500 * time.Millisecond, 3 * time.Second} {
		for _, dark := range []bool{true, false} {
			boundCase{name: fmt.Sprintf("every %v, dark %t", every, dark), every: every, dark: dark, after: quick, step: short, span: 30 * time.Second}.play(t)
		}
	}
}

// Registrations lapsed and came back while the workers served on. A worker whose registration was gone when it fell silent counted as leaving,
// and its end was laid to nobody: one task was started 25 times in 30 s.
func TestTaskThatCrashesItsWorkersIsGivenUpWhileRegistrationsLapse(t *testing.T) {
	for _, every := range []time.Duration{500 * time.Millisecond, 4 * time.Second} {
		for _, dark := range []bool{true, false} {
			boundCase{name: fmt.Sprintf("half of %v, dark %t", every, dark), lapse: every / 2, lapseOf: every, dark: dark, after: quick, step: short, span: 30 * time.Second}.play(t)
		}
	}
}

// Each worker had a run that its owner did not know, so that no task was ever alone there, and no loss proved anything: one task was started
// 14 times in 30 s.
func TestTaskThatCrashesItsWorkersBesideStrangersIsGivenUp(t *testing.T) {
	for _, dark := range []bool{true, false} {
		boundCase{name: fmt.Sprintf("dark %t", dark), stranger: true, dark: dark, after: quick, step: short, span: 30 * time.Second}.play(t)
	}
}

// A task that lasts ended each worker some seconds after its start. What had run for that long was never charged, and what had been charged
// before was taken back.
func TestLastingTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	lasting := job.Step{Count: 2, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}, LongRunning: true}
	for _, dark := range []bool{true, false} {
		boundCase{name: fmt.Sprintf("dark %t", dark), dark: dark, after: []time.Duration{4 * time.Second, 6 * time.Second, 20 * time.Second}, step: lasting, span: 5 * time.Minute}.play(t)
	}
}

// Workers ended without a word, and nobody told that they had. Their tasks were started elsewhere each time that the leases had run out.
func TestTaskOfWorkersThatFallSilentForGoodIsStartedAFewTimes(t *testing.T) {
	boundCase{name: "untold", dark: true, untold: true, after: quick, step: short, span: 5 * time.Minute}.play(t)
}
