package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

const (
	// plannedRounds is how often the worker of the task ends, more often than any limit of losses.
	plannedRounds = maxExplainedLosses + 1
	// servedFor is how long a worker serves on once it is known to leave. That of one which falls silent then is known as of the last answer.
	servedFor       = DefaultDrainTime + 50*time.Millisecond
	silentServedFor = servedFor + DefaultPollWait + 2*DefaultPollInterval
	// endlessTask is longer than any case.
	endlessTask = time.Hour
)

// holder returns the worker that runs the task of the job, and waits for its start if there is none.
func (cc *crashCell) holder(id job.ID) *simulatedWorker {
	cc.t.Helper()
	for range 400 {
		for _, sw := range cc.workers {
			if _, runs := sw.runs[job.Task{Job: id}]; runs {
				return sw
			}
		}
		cc.run(50 * time.Millisecond)
	}
	cc.t.Fatalf("the task does not run after %d ends of its worker, the job is %s", cc.lost, cc.state(id))
	return nil
}

// finish ends the task of the job.
func (cc *crashCell) finish(id job.ID) {
	cc.holder(id).runs[job.Task{Job: id}].ends = cc.now
	cc.run(3 * time.Second)
}

// leaveRegistry removes the registration of a worker that runs on.
func (cc *crashCell) leaveRegistry(sw *simulatedWorker) {
	sw.left = true
	cc.core.Unregister(cc.now, sw.id)
}

// cordon cordons a worker whose machine is due for maintenance.
func (cc *crashCell) cordon(sw *simulatedWorker) {
	cc.core.Cordon(map[WorkerName]bool{sw.id.Name(): true})
}

// noteOrder tells the owner that the maintenance of a worker's machine is being ordered.
func (cc *crashCell) noteOrder(sw *simulatedWorker) {
	cc.core.NoteOrders(map[WorkerName]time.Time{sw.id.Name(): cc.now})
}

// plannedEndWays are the ways in which a worker ends as planned. Each leads to the moment before the end.
var plannedEndWays = map[string]func(*crashCell, *simulatedWorker){
	"maintenance is ordered": func(cc *crashCell, sw *simulatedWorker) {
		cc.cordon(sw)
		cc.run(ShortTaskGrace)
		cc.noteOrder(sw)
	},
	"machine is in maintenance": func(cc *crashCell, sw *simulatedWorker) {
		cc.cordon(sw)
		cc.run(ShortTaskGrace)
		cc.byOrder = true
	},
	"registration goes first": func(cc *crashCell, sw *simulatedWorker) {
		cc.leaveRegistry(sw)
		if cc.noReset {
			cc.run(silentServedFor)
			return
		}
		cc.run(servedFor)
	},
	"registration goes long before": func(cc *crashCell, sw *simulatedWorker) {
		cc.leaveRegistry(sw)
		cc.run(4 * servedFor)
	},
	"worker says so": func(cc *crashCell, sw *simulatedWorker) {
		sw.info.Draining = true
		cc.core.Register(cc.now, sw.info)
		cc.run(servedFor)
	},
}

// Guards against failing a job because its workers end as planned: with the fourth upkeep that the system itself had ordered, or the fourth worker that
// was replaced, a job of which no attempt had failed and under which no worker had crashed was failed.
func TestJobWhoseWorkersEndAsPlannedIsNotFailed(t *testing.T) {
	for name, lead := range plannedEndWays {
		for _, noReset := range []bool{false, true} {
			for _, replaceOwner := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, in silence %t, owner replaced %t", name, noReset, replaceOwner), func(t *testing.T) {
					cc := newCrashCell(t, 4, func(job.Task) (time.Duration, bool) { return 0, false })
					cc.noReset, cc.taskTime = noReset, endlessTask
					cc.add("j", testEpoch, taskStep(1))
					for range plannedRounds {
						sw := cc.holder("j")
						lead(cc, sw)
						if replaceOwner {
							cc.changeOwner()
						}
						cc.crash(sw)
						cc.run(servedFor)
						cc.byOrder = false
					}
					cc.finish("j")
					if got := cc.state("j"); got != job.Completed {
						t.Errorf("the job is %s after %d planned ends of its workers, want completed", got, plannedRounds)
					}
				})
			}
		}
	}
}

// Guards against taking a crash for a planned end because the worker was about to leave: a task that crashes its workers must stay bounded also where
// they are cordoned, are due for maintenance or have just lost their registration.
func TestTaskThatCrashesLeavingWorkersIsGivenUp(t *testing.T) {
	for name, lead := range map[string]func(*crashCell, *simulatedWorker){
		"cordoned":                   func(cc *crashCell, sw *simulatedWorker) { cc.cordon(sw); cc.run(ShortTaskGrace) },
		"registration has just gone": func(cc *crashCell, sw *simulatedWorker) { cc.leaveRegistry(sw); cc.run(DefaultDrainTime / 2) },
		"an order came to nothing":   func(cc *crashCell, sw *simulatedWorker) { cc.noteOrder(sw); cc.run(orderEffectTime + time.Second) },
		"registration goes afterwards": func(cc *crashCell, sw *simulatedWorker) {
			cc.after(time.Second, func() { cc.core.Unregister(cc.now, sw.id) })
		},
	} {
		for _, noReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in silence %t", name, noReset), func(t *testing.T) {
				cc := newCrashCell(t, 4, func(job.Task) (time.Duration, bool) { return 0, false })
				cc.noReset, cc.taskTime = noReset, endlessTask
				cc.add("j", testEpoch, taskStep(1))
				crashes := 0
				for ; crashes < maxUncertainLosses && cc.state("j") != job.Failed; crashes++ {
					sw := cc.holder("j")
					lead(cc, sw)
					cc.crash(sw)
					cc.run(4 * time.Second)
				}
				if got := cc.state("j"); got != job.Failed {
					t.Errorf("the job is %s after %d crashes of its workers, want failed", got, crashes)
				}
			})
		}
	}
}

// Guards against a next owner that takes any end of a worker for planned which the former owner saw run on without its registration, however soon the
// worker ends: the crashes of a task that crashes its workers were not charged then. Planned ends must not be charged, also where the former owner has not
// seen that bounds.drain_ms is over.
func TestNextOwnerChargesCrashesOfLeavingWorkers(t *testing.T) {
	crash := func(cc *crashCell, sw *simulatedWorker, after time.Duration) {
		cc.run(after)
		cc.crash(sw)
		cc.unreported = true
	}
	for _, tc := range []struct {
		name string
		// play has the worker run on without its registration, ends it and replaces the owner. Nobody reports the end before that.
		play    func(*crashCell, *simulatedWorker)
		charged bool
	}{
		{"owner replaced, then a crash", func(cc *crashCell, sw *simulatedWorker) {
			cc.run(DefaultDrainTime / 2)
			cc.changeOwner()
			crash(cc, sw, DefaultDrainTime/8)
		}, true},
		{"owner replaced, and a crash at that time", func(cc *crashCell, sw *simulatedWorker) {
			crash(cc, sw, DefaultDrainTime/2)
			cc.changeOwner()
		}, true},
		{"crash, owner replaced when its worker would have served on", func(cc *crashCell, sw *simulatedWorker) {
			crash(cc, sw, DefaultDrainTime/2)
			cc.run(2 * DefaultDrainTime)
			cc.changeOwner()
		}, true},
		{"owner killed, crash before the next one has asked, which it does when its worker would have served on", func(cc *crashCell, sw *simulatedWorker) {
			crash(cc, sw, DefaultDrainTime/2)
			refs := cc.core.UsedWorkers()
			cc.advance(DefaultDrainTime)
			cc.replaceOwner(refs, false)
		}, true},
		{"owner killed, then a planned end", func(cc *crashCell, sw *simulatedWorker) {
			cc.run(DefaultDrainTime / 2)
			cc.killOwner()
			crash(cc, sw, servedFor-DefaultDrainTime/2)
		}, false},
		{"owner replaced, then a planned end", func(cc *crashCell, sw *simulatedWorker) {
			cc.run(DefaultDrainTime / 2)
			cc.changeOwner()
			crash(cc, sw, servedFor-DefaultDrainTime/2)
		}, false},
		{"owner replaced twice, then a planned end", func(cc *crashCell, sw *simulatedWorker) {
			cc.run(DefaultDrainTime / 2)
			cc.changeOwner()
			cc.run(DefaultDrainTime / 4)
			cc.changeOwner()
			crash(cc, sw, servedFor-3*DefaultDrainTime/4)
		}, false},
		{"owner replaced, and a planned end at that time", func(cc *crashCell, sw *simulatedWorker) {
			cc.run(servedFor)
			cc.changeOwner()
			crash(cc, sw, 0)
		}, false},
	} {
		for _, noReset := range []bool{false, true} {
			if noReset && !tc.charged {
				// A worker that falls silent may have ended any time since its last answer.
				continue
			}
			t.Run(fmt.Sprintf("%s, in silence %t", tc.name, noReset), func(t *testing.T) {
				cc := newCrashCell(t, 4, func(job.Task) (time.Duration, bool) { return 0, false })
				cc.noReset, cc.taskTime = noReset, endlessTask
				cc.add("j", testEpoch, taskStep(1))
				sw := cc.holder("j")
				cc.run(reregisterGrace)
				cc.leaveRegistry(sw)
				tc.play(cc, sw)
				// The attempt may be one that the former owner left there.
				js := cc.core.jobs["j"]
				js.hasUnresolved = true
				lo := &js.openRun(0).steps[0].tasks[0].losses
				lo.markUnresolved(sw.id, true)
				cc.run(2 * DefaultPollWait)
				cc.unreported = false
				cc.core.WorkerEnded(cc.now, sw.id)
				if charged := len(lo.history) > 0; charged != tc.charged {
					t.Errorf("the end of the worker is charged: %t, want %t; the owner counts %v", charged, tc.charged, lo.history)
				}
			})
		}
	}
}

// Guards against taking the next incarnation of a worker for the one that an order ended: a crash of it would not be charged.
func TestOrderConcernsTheIncarnationOfItsTimeAlone(t *testing.T) {
	bd := newTestBed(t, 0)
	former, next := NewWorkerID("w", bd.now.Add(-time.Hour).UnixMilli()), NewWorkerID("w", bd.now.Add(2*time.Second).UnixMilli())
	bd.register(former)
	bd.register(next)
	bd.core.NoteOrders(map[WorkerName]time.Time{"w": bd.now})
	if bd.core.PlannedEnd(former, bd.now) == "" {
		t.Error("the end of the incarnation at the time of the order is not planned")
	}
	if why := bd.core.PlannedEnd(next, bd.now); why != "" {
		t.Errorf("the end of the next incarnation is taken for planned: %s", why)
	}
}

// Guards against taking the end of a worker for planned because of an order that ended its next incarnation: the former one, whose end an owner learns of
// only then, had crashed before.
func TestOrderDoesNotConcernAFormerIncarnation(t *testing.T) {
	bd := newTestBed(t, 0)
	former, next := NewWorkerID("w", bd.now.Add(-time.Hour).UnixMilli()), NewWorkerID("w", bd.now.Add(-time.Minute).UnixMilli())
	bd.register(former)
	bd.register(next)
	bd.core.NoteOrders(map[WorkerName]time.Time{"w": bd.now})
	if bd.core.PlannedEnd(next, bd.now) == "" {
		t.Error("the end of the incarnation at the time of the order is not planned")
	}
	if why := bd.core.PlannedEnd(former, bd.now); why != "" {
		t.Errorf("the end of the incarnation before it is taken for planned: %s", why)
	}
}

// Guards against a successor that charges the planned end of a worker to the tasks which the former owner had left there, since it has not seen what that
// owner saw.
func TestNextOwnerKnowsThatAnEndWasPlanned(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		t.Run(fmt.Sprintf("ordered=%t", ordered), func(t *testing.T) {
			sb := newSilenceBed(t, 1)
			sb.addJob("j", testEpoch, taskStep(1))
			st := sb.step()[0]
			if ordered {
				sb.core.NoteOrders(map[WorkerName]time.Time{st.Worker.Name(): sb.now})
			}
			sb.step()
			if got := sb.stored[0].Ordered != 0; got != ordered {
				t.Errorf("the stored list says that an order ends the worker: %t", got)
			}
			next := New(testPool, testEpoch+1, sb.core.opts)
			next.TakeOver(sb.now, sb.now, sb.stored, false)
			next.Add(sb.now, StoredJob{Spec: sb.core.jobs["j"].spec, Progress: sb.core.jobs["j"].progress(), Version: 1})
			js := next.jobs["j"]
			js.hasUnresolved = true
			lo := &js.openRun(0).steps[0].tasks[0].losses
			lo.markUnresolved(st.Worker, true)
			next.WorkerEnded(sb.now, st.Worker)
			if charged := len(lo.history) > 0; charged == ordered {
				t.Errorf("charged are %v", lo.history)
			}
		})
	}
}

// Guards against a write of the list of workers in use for each plan while a worker is about to end: the times in it are of the time of day, which is read
// anew for each plan.
func TestTimesOfPlannedEndsAreStoredOnce(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.advance(reregisterGrace)
	bd.answerDuePolls()
	st := bd.runTask("j")
	writes := 0
	for at := range 20 {
		bd.advance(50 * time.Millisecond)
		if at == 5 {
			bd.core.Unregister(bd.now, st.Worker)
			bd.core.NoteOrders(map[WorkerName]time.Time{st.Worker.Name(): bd.now})
		}
		bd.core.SetTimeOfDay(bd.now, bd.now.Add(time.Hour+time.Duration(at%3)*7*time.Millisecond))
		for _, od := range bd.plan() {
			switch order := od.(type) {
			case RecordWorkers:
				writes++
				bd.core.WorkersRecorded(order.Workers)
				bd.core.RecordWorkersEnded()
			case Poll:
				bd.answerPoll(order, []Running{{Task: st.Task, Attempt: st.Attempt}}, nil)
			}
		}
	}
	if writes != 1 {
		t.Errorf("the list is written %d times for one worker that is about to end, want once", writes)
	}
}
