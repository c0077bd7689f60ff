package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

func ExampleNewWorkerID() {
	id := NewWorkerID("i-1", 1_760_000_000_000)
	fmt.Println(id, id.Name(), id.StartMillis())
	fmt.Println(NewWorkerID("i-2", 0), NewWorkerID("i~3", 0).Name())
	// Output:
	// i-1~mgj6k3cw i-1 1760000000000
	// i-2 i~3
}

// newIncarnationBed returns a testbed whose only worker was restarted, with both incarnations known.
func newIncarnationBed(t *testing.T) (bd *testBed, first, second Worker) {
	t.Helper()
	bd = newTestBed(t, 1)
	first, second = bd.core.sortedWorkers[0].info, bd.core.sortedWorkers[0].info
	bd.core.remove(bd.core.sortedWorkers[0])
	first.ID, second.ID = NewWorkerID("w0", 1000), NewWorkerID("w0", 2000)
	for _, wk := range []Worker{first, second} {
		bd.core.Register(bd.now, wk)
		bd.core.WorkersRecorded([]WorkerRef{{ID: wk.ID}})
	}
	bd.core.Unregister(bd.now, first.ID)
	return bd, first, second
}

// Guards against taking the machine of a restarted worker for empty because the former incarnation was: tasks of the new one were stopped with
// the machine.
func TestWorkerIsDrainedOnceAllItsIncarnationsAre(t *testing.T) {
	bd, first, second := newIncarnationBed(t)
	for _, lk := range pollsByWorker(bd.plan()) {
		bd.answerPoll(lk, nil, nil)
	}
	bd.core.HandlePoll(bd.now, PollResult{Poll: Poll{Worker: first.ID}, Outcome: WrongIncarnation, Received: bd.now})
	bd.addJob("j", testEpoch, taskStep(1))
	if st := bd.wantStarts(bd.plan(), 1)[0]; st.Worker != second.ID {
		t.Fatalf("started on %s", st.Worker)
	}
	if bd.core.Drained("w0") || len(bd.core.ReserveForMove(bd.now, []WorkerName{"w0"})) > 0 {
		t.Error("a worker with a task counts as drained")
	}
	bd.core.Cordon(map[WorkerName]bool{"w0": true})
	bd.addJob("k", testEpoch, taskStep(1))
	if more := startsIn(bd.plan()); len(more) > 0 {
		t.Errorf("a cordoned worker gets %v", more)
	}
}

// Guards against tokens that repeat across incarnations. An order to a former incarnation could be carried out by the next one after a poll with
// the same token.
func TestFirstPollOfTheNextIncarnationHasAHigherToken(t *testing.T) {
	bd, first, second := newIncarnationBed(t)
	tokens := map[WorkerID]Token{}
	for _, lk := range pollsByWorker(bd.plan()) {
		tokens[lk.Worker] = max(tokens[lk.Worker], lk.Token)
	}
	third := second
	third.ID = NewWorkerID("w0", 3000)
	bd.core.WorkerEnded(bd.now, first.ID)
	bd.core.WorkerEnded(bd.now, second.ID)
	bd.core.Register(bd.now, third)
	bd.advance(time.Second)
	lks := pollsByWorker(bd.plan())
	if len(lks) != 1 || lks[third.ID].Token <= max(tokens[first.ID], tokens[second.ID]) {
		t.Errorf("polls %+v after tokens %v", lks, tokens)
	}
}

// Guards against starting a task twice. A worker ended while a start was in flight, and its next incarnation carried out the start before another
// owner took over that could not reach it. That owner took the end of the former incarnation for the end of everything ordered from it.
func TestNextIncarnationIsPolledBeforeANewOwnerRestartsTasks(t *testing.T) {
	for _, polled := range []bool{true, false} {
		bd := newTestBed(t, 2)
		bd.autoSave = true
		first, second := bd.core.sortedWorkers[0].info, bd.core.sortedWorkers[0].info
		bd.core.remove(bd.core.sortedWorkers[0])
		first.ID, second.ID = NewWorkerID("w0", 1000), NewWorkerID("w0", 2000)
		bd.core.TakeOver(bd.now, bd.now, []WorkerRef{{ID: first.ID, Address: first.Address}}, false)
		bd.core.Register(bd.now, second)
		bd.core.WorkersRecorded([]WorkerRef{{ID: second.ID}})
		bd.addJob("j", 1, taskStep(1))
		bd.core.WorkerEnded(bd.now, first.ID)
		bd.advance(time.Second)
		lks := pollsByWorker(bd.plan())
		bd.advance(10 * time.Millisecond)
		// Intents for unseen losses are saved in the first round and would start in the second.
		if got := len(startsIn(append(bd.plan(), bd.plan()...))); got != 0 {
			t.Fatalf("%d tasks start while the next incarnation may run them", got)
		}
		if !polled {
			if got := bd.runUnresponsive(second.ID, lateStartWindow+maxLateRun-2*time.Second); got != 0 {
				t.Errorf("%d tasks start before the late starts of the next incarnation are over", got)
			}
			if got := bd.runUnresponsive(second.ID, 3*time.Second); got == 0 {
				t.Error("no task starts once they are over")
			}
			continue
		}
		tk := job.Task{Job: "j"}
		bd.answerPoll(lks[second.ID], []Running{{Task: tk, Attempt: 1}}, nil)
		bd.advance(10 * time.Millisecond)
		if got := len(startsIn(bd.plan())); got != 0 || bd.core.sortedWorkers[0].placements[tk] == nil {
			t.Errorf("%d tasks start, placed %v, want the run adopted", got, bd.core.sortedWorkers[0].placements)
		}
	}
}

// Guards against losing late starts in a handover. An owner that waited for an unanswered start was replaced, and the cell's row no longer named
// the incarnation that it had been sent to, so that the next owner did not wait.
func TestHandoverNamesLateStarts(t *testing.T) {
	bd := newTestBed(t, 1)
	first := bd.core.sortedWorkers[0].info
	bd.core.remove(bd.core.sortedWorkers[0])
	first.ID = NewWorkerID("w0", 1000)
	bd.core.Register(bd.now, first)
	bd.core.WorkersRecorded([]WorkerRef{{ID: first.ID}})
	bd.answerDuePolls()
	bd.addJob("j", testEpoch, taskStep(1))
	bd.answerOrder(bd.wantStarts(bd.plan(), 1)[0], NoAnswer)
	bd.core.WorkerEnded(bd.now, first.ID)
	bd.autoSave = true
	bd.advance(time.Second)
	bd.plan()
	refs := bd.core.Release(bd.now)
	if len(refs) != 1 || refs[0].ID != first.ID || !refs[0].Ended || refs[0].Remaining != lateStartWindow-time.Second {
		t.Fatalf("the row names %+v", refs)
	}
	next := New(testPool, testEpoch+1, Options{})
	next.TakeOver(bd.now, bd.now, refs, true)
	if got := next.Release(bd.now); len(got) != 1 || got[0].Remaining != lateStartWindow-time.Second {
		t.Errorf("the next owner passes on %+v", got)
	}
	bd.advance(lateStartWindow)
	bd.plan()
	if refs := bd.core.Release(bd.now); len(refs) != 0 {
		t.Errorf("the row still names %+v once the start is void", refs)
	}
}

// Guards against leases that run longer than assumed. An order to a worker's former incarnation was carried out by the next one, which read the
// lease time on its own clock: its leases ran for ten seconds. The owner had granted five, got no more answers, and started the tasks elsewhere
// while they still ran.
func TestLeaseOfARecentIncarnationMayBeLonger(t *testing.T) {
	for age, expires := range map[time.Duration]bool{time.Second: false, time.Minute: true} {
		bd := newTestBed(t, 2)
		in := bd.core.sortedWorkers[0].info
		bd.core.remove(bd.core.sortedWorkers[0])
		in.ID = NewWorkerID("w0", bd.now.Add(-age).UnixMilli())
		bd.core.Register(bd.now, in)
		bd.core.WorkersRecorded([]WorkerRef{{ID: in.ID}})
		bd.answerDuePolls()
		bd.addJob("j", testEpoch, taskStep(8))
		for _, st := range bd.wantStarts(bd.plan(), 8) {
			bd.answerOrder(st, Done)
		}
		wk := bd.core.workers[in.ID]
		bd.runUnresponsive(in.ID, 8*time.Second)
		if got := len(wk.placements) == 0; got != expires {
			t.Errorf("started %v ago: leases expired after 8 s %t, want %t", age, got, expires)
		}
		bd.runUnresponsive(in.ID, 4*time.Second)
		if len(wk.placements) > 0 {
			t.Errorf("started %v ago: leases not expired after 12 s", age)
		}
	}
}

// Guards against waiting for the next incarnation of a worker after its address has answered that another one runs there. The starts that were
// answered so were not carried out, and the worker may have come back under another name, so that no answer under this one ever comes.
func TestStartsAnsweredByAnotherIncarnationAreTriedElsewhere(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.autoSave = true
	gone := bd.core.workers["w0"].info
	gone.ID = NewWorkerID("w0", 1000)
	bd.core.remove(bd.core.workers["w0"])
	bd.core.Unregister(bd.now, "w1")
	bd.core.Register(bd.now, gone)
	bd.core.WorkersRecorded([]WorkerRef{{ID: gone.ID}})
	bd.answerPoll(bd.waitForPoll(gone.ID), nil, nil)
	bd.addJob("j", testEpoch, taskStep(2))
	bd.advance(unregisteredGrace)
	starts := bd.wantStarts(bd.plan(), 2)
	for _, st := range starts {
		if st.Worker != gone.ID {
			t.Fatalf("%v starts on %s", st.Task, st.Worker)
		}
		bd.answerOrder(st, WrongIncarnation)
	}
	bd.register("w1")
	again := 0
	for range 10 {
		bd.advance(100 * time.Millisecond)
		bd.answerPendingPolls()
		again += len(startsIn(bd.plan()))
	}
	if again != 2 {
		t.Errorf("%d of 2 tasks are started again within a second", again)
	}
}
