package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestUnansweredStartIsResolvedByPollWithHigherToken: the room counts as taken and the task as running until the look.
func TestUnansweredStartIsResolvedByPollWithHigherToken(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.addJob("j", testEpoch, taskStep(1))
	first := bd.wantStarts(bd.plan(), 1)[0]
	bd.advance(time.Second)
	bd.answerOrder(first, NoAnswer)
	orders := bd.plan()
	bd.wantStarts(orders, 0)
	lk := pollsByWorker(orders)["w0"]
	if lk.Token <= first.Token {
		t.Fatalf("looked at with token %d, the start had %d", lk.Token, first.Token)
	}
	// An answer to an older look proves nothing.
	older := lk
	older.Token = first.Token
	bd.answerPoll(older, nil, nil)
	bd.wantStarts(bd.plan(), 0)
	bd.answerPoll(lk, nil, nil)
	if again := bd.wantStarts(bd.plan(), 1)[0]; again.Token <= first.Token {
		t.Fatalf("started again with token %d", again.Token)
	}
}

// TestRunReportedBeforeItsJobIsAdopted: the owner before may hear of a job sooner.
func TestRunReportedBeforeItsJobIsAdopted(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("other", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	stranger := job.Task{Job: "late"}
	bd.answerPoll(bd.waitForPoll(st.Worker), []Running{{Task: st.Task, Attempt: 1}, {Task: stranger, Attempt: 1}}, nil)
	bd.addJob("late", 1, taskStep(1))
	bd.wantStarts(bd.plan(), 0)
	if state, _ := bd.core.State("late"); state != job.Running {
		t.Fatalf("the job is %s", state)
	}
}

// TestLeaseOfUnresponsiveWorkerAllowsForClockDrift: at 2% slow, and only for an owner confirmed later than that.
func TestLeaseOfUnresponsiveWorkerAllowsForClockDrift(t *testing.T) {
	const lease = time.Minute
	bd := newTestBed(t, 2)
	bd.core.opts.LeaseDuration = lease
	bd.autoSave = true
	bd.addJob("j", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	given := bd.now
	bd.failPoll(st.Worker)
	for bd.now.Sub(given) < lease*100/98 {
		bd.advance(100 * time.Millisecond)
		bd.wantStarts(bd.plan(), 0)
		bd.failPoll(st.Worker)
		bd.answerPendingPolls()
	}
	for range 20 {
		bd.advance(100 * time.Millisecond)
		// The owner was confirmed last before that time.
		bd.core.confirmedAt = given.Add(lease)
		bd.wantStarts(bd.planUnconfirmed(), 0)
		bd.failPoll(st.Worker)
		bd.answerPendingPolls()
	}
	bd.wantStarts(bd.plan(), 0)
	bd.wantStarts(bd.plan(), 1)
}

// TestLostTaskRestartsAfterOwnershipConfirmed: a successor that this owner has not heard of may have noted its end.
func TestLostTaskRestartsAfterOwnershipConfirmed(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("j", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	bd.advance(time.Second)
	bd.core.WorkerEnded(bd.now, st.Worker)
	orders := bd.core.Plan(bd.now)
	bd.wantStarts(orders, 0)
	bd.confirmSaves(orders)
	bd.advance(time.Millisecond)
	bd.wantStartsAfterSave(1)
}

// TestInheritedJobsWaitForUnresolvedWorkers: jobs that name this owner do not.
func TestInheritedJobsWaitForUnresolvedWorkers(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.core.TakeOver(bd.now, bd.now, []WorkerRef{{ID: "gone", Address: "gone"}}, false)
	bd.addJob("old", 1, taskStep(1))
	bd.addJob("new", testEpoch, taskStep(1))
	if st := bd.wantStarts(bd.plan(), 1)[0]; st.Task.Job != "new" {
		t.Fatalf("%s was started", st.Task.Job)
	}
	bd.core.WorkerEnded(bd.now, "gone")
	bd.wantStarts(bd.core.Plan(bd.now), 0)
	bd.advance(time.Millisecond)
	if st := bd.wantStartsAfterSave(1)[0]; st.Task.Job != "old" {
		t.Fatalf("%s was started", st.Task.Job)
	}
}

// TestInheritedLeasesExpireOnlyForConfirmedOwner: a later owner that this one has not heard of may have renewed them.
func TestInheritedLeasesExpireOnlyForConfirmedOwner(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.core.TakeOver(bd.now, bd.now, []WorkerRef{{ID: "far", Address: "far"}}, true)
	bd.addJob("old", 1, taskStep(1))
	bd.advance(bd.core.byWorkerClock(bd.core.opts.LeaseDuration) + deliveryMargin + time.Millisecond)
	bd.failPoll("far")
	bd.wantStarts(bd.core.Plan(bd.now), 0)
	bd.advance(time.Millisecond)
	bd.wantStartsAfterSave(1)
}

// TestWorkerWithUnansweredStartGetsNoNewTasks: until a look has settled what became of the start without an answer.
func TestWorkerWithUnansweredStartGetsNoNewTasks(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.addJob("j", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, NoAnswer)
	bd.addJob("k", testEpoch, taskStep(1))
	bd.wantStarts(bd.plan(), 0)
	bd.answerPoll(bd.waitForPoll("w0"), nil, nil)
	bd.wantStarts(bd.plan(), 2)
}

// TestEndReportedBeforeItsJobCounts: also where it was listed behind one that is not kept yet.
func TestEndReportedBeforeItsJobCounts(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.addJob("known", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	before := End{Number: 2, Task: job.Task{Job: "late"}, Attempt: 1, Reason: EndDone}
	bd.answerPoll(bd.waitForPoll("w0"), nil, []End{bd.newEnd(st, EndDone), before})
	bd.addJob("late", 1, taskStep(2))
	for _, st := range startsIn(bd.plan()) {
		if st.Task.Index == 0 {
			t.Error("a task is started whose end was seen before its job")
		}
	}
}

// TestWorkerWithoutRegistrationIsDrained: some workers never say that they drain. Registrations that lapsed while the store was away
// come back within two seconds of its return.
func TestWorkerWithoutRegistrationIsDrained(t *testing.T) {
	for name, away := range map[string]bool{"the store was there": false, "the store was away": true} {
		t.Run(name, func(t *testing.T) {
			bd := newTestBed(t, 1)
			lasting := taskStep(1)
			lasting.LongRunning = true
			bd.addJob("l", testEpoch, lasting)
			st := bd.wantStarts(bd.plan(), 1)[0]
			bd.answerOrder(st, Done)
			for range 20 {
				bd.advance(200 * time.Millisecond)
				bd.answerPoll(bd.waitForPoll("w0"), []Running{{Task: st.Task, Attempt: 1, Progress: 100}}, nil)
			}
			if away {
				bd.core.confirmedAt = bd.now.Add(-awayAfter - time.Second)
			}
			bd.core.Unregister(bd.now, "w0")
			bd.addJob("j", testEpoch, taskStep(1))
			stops, began := 0, 0
			for _, od := range bd.plan() {
				switch od.(type) {
				case Stop:
					stops++
				case Start:
					began++
				}
			}
			if away && (began != 1 || stops != 0) {
				t.Errorf("%d starts and %d stops while its registration may come back", began, stops)
			}
			if !away && (began != 0 || stops != 1) {
				t.Errorf("%d starts and %d stops on a worker that leaves", began, stops)
			}
		})
	}
}

// TestStopInFlightCountsAgainstDisruptionBudget: a stop of the owner before is listed as running until it takes effect.
func TestStopInFlightCountsAgainstDisruptionBudget(t *testing.T) {
	bd := newTestBed(t, 2)
	lasting := taskStep(2)
	lasting.LongRunning, lasting.DisruptionBudget, lasting.HasDisruptionBudget = true, 1, true
	bd.core = New(testPool, testEpoch+1, Options{MaxStopTime: 400 * time.Millisecond})
	bd.core.TakeOver(bd.now, bd.now, []WorkerRef{{ID: "w0", Address: "w0"}, {ID: "w1", Address: "w1"}}, false)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: testPool, MaxAttempts: 2}})
	bd.addJob("j", 1, lasting)
	bd.register("w0")
	bd.register("w1")
	bd.core.Cordon(map[WorkerName]bool{"w0": true, "w1": true})
	stops := 0
	until := bd.now.Add(600 * time.Millisecond)
	for bd.now.Before(until) {
		stops += bd.countStops()
	}
	if stops != 0 {
		t.Fatalf("%d stops while one of the owner before may be under way", stops)
	}
	bd.advance(2 * time.Second)
	for range 40 {
		stops += bd.countStops()
	}
	if stops != 1 {
		t.Fatalf("%d tasks of a step with a budget of 1 were stopped", stops)
	}
}

// countStops answers the looks that are due at two workers, each with its task of the job at work, counts the stops, and lets a moment pass.
func (bd *testBed) countStops() (stops int) {
	for _, od := range bd.plan() {
		switch order := od.(type) {
		case Poll:
			at := 0
			if order.Worker == "w1" {
				at = 1
			}
			bd.answerPoll(order, []Running{{Task: job.Task{Job: "j", Index: at}, Attempt: 1, Progress: 100}}, nil)
		case Stop:
			stops++
		}
	}
	bd.advance(20 * time.Millisecond)
	return stops
}
