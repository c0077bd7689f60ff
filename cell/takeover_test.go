package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestUnansweredStartIsResolvedByPollWithHigherToken checks that after an unanswered start the room counts as used and the task as running until a
// poll with a higher token has been answered.
func TestUnansweredStartIsResolvedByPollWithHigherToken(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.addJob("j", testEpoch, taskStep(1))
	first := bd.wantStarts(bd.plan(), 1)[0]
	bd.advance(time.Second)
	bd.answerOrder(first, NoAnswer)
	orders := bd.plan()
	bd.wantStarts(orders, 0)
	poll := pollsByWorker(orders)["w0"]
	if poll.Token <= first.Token {
		t.Fatalf("the poll has token %d, the start had %d", poll.Token, first.Token)
	}
	// The answer to an older poll does not show whether the start was executed.
	older := poll
	older.Token = first.Token
	bd.answerPoll(older, nil, nil)
	bd.wantStarts(bd.plan(), 0)
	bd.answerPoll(poll, nil, nil)
	if again := bd.wantStarts(bd.plan(), 1)[0]; again.Token <= first.Token {
		t.Fatalf("the second start has token %d", again.Token)
	}
}

// TestRunReportedBeforeItsJobIsAdopted checks that a running attempt is adopted although the owner receives its job later. The previous owner may
// have received the job sooner.
func TestRunReportedBeforeItsJobIsAdopted(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("other", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	unknown := job.Task{Job: "late"}
	bd.answerPoll(bd.waitForPoll(st.Worker), []Running{{Task: st.Task, Attempt: 1}, {Task: unknown, Attempt: 1}}, nil)
	bd.addJob("late", 1, taskStep(1))
	bd.wantStarts(bd.plan(), 0)
	if state, _ := bd.core.State("late"); state != job.Running {
		t.Fatalf("the job is %s", state)
	}
}

// TestLeaseOfUnresponsiveWorkerAllowsForClockDrift checks that the lease of an unresponsive worker counts as expired only after the time that a clock
// running 2% slow needs, and only for an owner whose ownership was confirmed after that.
func TestLeaseOfUnresponsiveWorkerAllowsForClockDrift(t *testing.T) {
	const lease = time.Minute
	bd := newTestBed(t, 2)
	bd.core.opts.LeaseDuration = lease
	bd.autoSave = true
	bd.addJob("j", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	leaseStart := bd.now
	bd.failPoll(st.Worker)
	for bd.now.Sub(leaseStart) < lease*100/98 {
		bd.advance(100 * time.Millisecond)
		bd.wantStarts(bd.plan(), 0)
		bd.failPoll(st.Worker)
		bd.answerPendingPolls()
	}
	for range 20 {
		bd.advance(100 * time.Millisecond)
		// The ownership was last confirmed before the lease expired.
		bd.core.confirmedAt = leaseStart.Add(lease)
		bd.wantStarts(bd.planUnconfirmed(), 0)
		bd.failPoll(st.Worker)
		bd.answerPendingPolls()
	}
	bd.wantStarts(bd.plan(), 0)
	bd.wantStarts(bd.plan(), 1)
}

// TestLostTaskRestartsAfterOwnershipConfirmed checks that a task which was lost with its worker is restarted only after the ownership is confirmed. A
// successor that this owner does not know about may have recorded the end of the task.
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

// TestInheritedJobsWaitForUnresolvedWorkers checks that inherited jobs wait until the workers of the previous owner are resolved. Jobs accepted under
// this owner's epoch do not wait.
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

// TestInheritedLeasesExpireOnlyForConfirmedOwner checks that leases given by an earlier owner count as expired only for an owner whose ownership is
// confirmed. A later owner that this one does not know about may have renewed them.
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

// TestWorkerWithUnansweredStartGetsNoNewTasks checks that a worker with an unanswered start gets no new tasks until a poll has shown whether the
// start was executed.
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

// TestEndReportedBeforeItsJobCounts checks that an end which was reported before the owner received its job counts, even if an unsaved end precedes
// it in the worker's list.
func TestEndReportedBeforeItsJobCounts(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.addJob("known", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	early := End{Number: 2, Task: job.Task{Job: "late"}, Attempt: 1, Reason: EndDone}
	bd.answerPoll(bd.waitForPoll("w0"), nil, []End{bd.newEnd(st, EndDone), early})
	bd.addJob("late", 1, taskStep(2))
	for _, st := range startsIn(bd.plan()) {
		if st.Task.Index == 0 {
			t.Error("a task is started although its end was reported before its job arrived")
		}
	}
}

// TestWorkerWithoutRegistrationIsDrained checks that a worker whose registration is gone is drained, because some workers never announce that they
// drain. Registrations that expired during an outage of the store are written again within two seconds after it.
func TestWorkerWithoutRegistrationIsDrained(t *testing.T) {
	for name, storeAway := range map[string]bool{"the store was there": false, "the store was away": true} {
		t.Run(name, func(t *testing.T) {
			bd := newTestBed(t, 1)
			longRunning := taskStep(1)
			longRunning.LongRunning = true
			bd.addJob("l", testEpoch, longRunning)
			st := bd.wantStarts(bd.plan(), 1)[0]
			bd.answerOrder(st, Done)
			for range 20 {
				bd.advance(200 * time.Millisecond)
				bd.answerPoll(bd.waitForPoll("w0"), []Running{{Task: st.Task, Attempt: 1, Progress: 100}}, nil)
			}
			if storeAway {
				bd.core.confirmedAt = bd.now.Add(-storeAwayAfter - time.Second)
			}
			bd.core.Unregister(bd.now, "w0")
			bd.addJob("j", testEpoch, taskStep(1))
			stops, starts := 0, 0
			for _, od := range bd.plan() {
				switch od.(type) {
				case Stop:
					stops++
				case Start:
					starts++
				}
			}
			if storeAway && (starts != 1 || stops != 0) {
				t.Errorf("%d starts and %d stops while its registration may come back", starts, stops)
			}
			if !storeAway && (starts != 0 || stops != 1) {
				t.Errorf("%d starts and %d stops on a worker that is about to end", starts, stops)
			}
		})
	}
}

// TestStopInFlightCountsAgainstDisruptionBudget checks that stops of the previous owner count against the disruption budget. Their tasks are reported
// as running until the stops take effect.
func TestStopInFlightCountsAgainstDisruptionBudget(t *testing.T) {
	bd := newTestBed(t, 2)
	longRunning := taskStep(2)
	longRunning.LongRunning, longRunning.DisruptionBudget, longRunning.HasDisruptionBudget = true, 1, true
	bd.core = New(testPool, testEpoch+1, Options{MaxStopTime: 400 * time.Millisecond})
	bd.core.TakeOver(bd.now, bd.now, []WorkerRef{{ID: "w0", Address: "w0"}, {ID: "w1", Address: "w1"}}, false)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: testPool, MaxAttempts: 2}})
	bd.addJob("j", 1, longRunning)
	bd.register("w0")
	bd.register("w1")
	bd.core.Cordon(map[WorkerName]bool{"w0": true, "w1": true})
	stops := 0
	until := bd.now.Add(600 * time.Millisecond)
	for bd.now.Before(until) {
		stops += bd.countStops()
	}
	if stops != 0 {
		t.Fatalf("%d stops while one of the previous owner may be in flight", stops)
	}
	bd.advance(2 * time.Second)
	for range 40 {
		stops += bd.countStops()
	}
	if stops != 1 {
		t.Fatalf("%d tasks of a step with a budget of 1 were stopped", stops)
	}
}

// countStops answers the polls of the two workers, each with its running task of the job, counts the stops and advances the time by 20 ms.
func (bd *testBed) countStops() (stops int) {
	for _, od := range bd.plan() {
		switch order := od.(type) {
		case Poll:
			index := 0
			if order.Worker == "w1" {
				index = 1
			}
			bd.answerPoll(order, []Running{{Task: job.Task{Job: "j", Index: index}, Attempt: 1, Progress: 100}}, nil)
		case Stop:
			stops++
		}
	}
	bd.advance(20 * time.Millisecond)
	return stops
}

// TestCellHoldsUnreachedWorkersUntilTheirLeasesEnd guards against handovers whose next owner would have to wait for workers that do not
// answer: the cell has to tell that it holds tasks there, but no longer than their leases run.
func TestCellHoldsUnreachedWorkersUntilTheirLeasesEnd(t *testing.T) {
	bd := newTestBed(t, 2)
	st := bd.runTask("j")
	if bd.core.HoldsUnreached() {
		t.Fatal("all workers answer")
	}
	bd.waitForPoll(st.Worker)
	bd.failPoll(st.Worker)
	if !bd.core.HoldsUnreached() {
		t.Error("the worker of the task does not answer")
	}
	bd.runUnresponsive(st.Worker, bd.core.byWorkerClock(bd.core.opts.LeaseDuration)+deliveryMargin+maxPollBackoff+2*idlePlanInterval)
	if bd.core.HoldsUnreached() {
		t.Error("the task's lease is over")
	}
}
