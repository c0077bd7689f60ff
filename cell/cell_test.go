package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestRepeatedFailedEndCountsOnce checks that a failed end which was saved but not acknowledged, and is therefore reported again to the next owner,
// counts once.
func TestRepeatedFailedEndCountsOnce(t *testing.T) {
	bd := newTestBed(t, 1)
	pg := &job.Progress{FailedAttempts: map[string][]string{"0.0.0": {"1@w0"}}}
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "j", Queue: "q", Pool: testPool, Steps: []job.Step{taskStep(1)}, Epoch: 1}, Progress: pg, Version: 7})
	if st := bd.wantStarts(bd.plan(), 1)[0]; st.Attempt != 2 {
		t.Fatalf("attempt %d, want 2", st.Attempt)
	}
	poll := bd.waitForPoll("w0")
	task := job.Task{Job: "j"}
	bd.answerPoll(poll, []Running{{Task: task, Attempt: 2}}, []End{{Number: 1, Task: task, Attempt: 1, Reason: EndFailed}})
	bd.autoSave = true
	bd.advance(time.Second)
	bd.plan()
	if state, _ := bd.core.State("j"); state != job.Running {
		t.Fatalf("the job is %s after one failed attempt of two", state)
	}
}

// TestJobFailsAfterMaxAttempts checks that a job fails after as many failed attempts as its queue allows, without another start.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("j", testEpoch, taskStep(1))
	for attempt := range 2 {
		st := bd.wantStarts(bd.plan(), 1)[0]
		bd.answerOrder(st, Done)
		bd.answerPoll(bd.waitForPoll(st.Worker), nil, []End{bd.newEnd(st, EndFailed)})
		bd.autoSave = true
		if int(st.Attempt) != attempt+1 {
			t.Fatalf("attempt %d, want %d", st.Attempt, attempt+1)
		}
	}
	bd.advance(time.Second)
	bd.wantStarts(bd.plan(), 0)
	if state, _ := bd.core.State("j"); state != job.Failed {
		t.Fatalf("the job is %s", state)
	}
}

// TestEndIsAcknowledgedAfterSave checks that an end is acknowledged only after it is saved. This includes the end of a gang member that is reported
// after the end of another member.
func TestEndIsAcknowledgedAfterSave(t *testing.T) {
	bd := newTestBed(t, 2)
	gang := taskStep(2)
	gang.Gang, gang.SpreadLimit = true, 1
	bd.addJob("j", testEpoch, gang)
	list := bd.wantStarts(bd.plan(), 2)
	for _, st := range list {
		bd.answerOrder(st, Done)
	}
	for _, st := range list {
		bd.answerPoll(bd.waitForPoll(st.Worker), nil, []End{bd.newEnd(st, EndDone)})
	}
	for range 20 {
		bd.advance(100 * time.Millisecond)
		for id, poll := range pollsByWorker(bd.plan()) {
			if poll.AckedEnd > 0 {
				t.Fatalf("end %d of %s is acknowledged before it is saved", poll.AckedEnd, id)
			}
			bd.answerPoll(poll, nil, nil)
		}
	}
	bd.core.Saved(bd.now, 9)
	for _, st := range list {
		if poll := bd.waitForPoll(st.Worker); poll.AckedEnd != 1 {
			t.Fatalf("acknowledged up to %d, want 1", poll.AckedEnd)
		}
	}
	if state, _ := bd.core.State("j"); state != job.Completed {
		t.Fatalf("the job is %s", state)
	}
}

// TestPollWaitFollowsExpectedEnds checks that a poll waits no longer than ends are expected to take, so that a lost answer is noticed soon. A worker
// without short tasks is polled rarely, because every poll has a cost.
func TestPollWaitFollowsExpectedEnds(t *testing.T) {
	bd := newTestBed(t, 2)
	longRunning := taskStep(1)
	longRunning.LongRunning = true
	bd.addJob("l", testEpoch, longRunning)
	bd.answerOrder(bd.wantStarts(bd.plan(), 1)[0], Done)
	bd.advance(100 * time.Millisecond)
	waits := map[WorkerID]time.Duration{}
	for id, poll := range pollsByWorker(bd.plan()) {
		waits[id] = poll.Wait
	}
	for id := range waits {
		if waits[id] != bd.core.opts.PollWait {
			t.Errorf("the poll of a worker without short tasks waits for %v", waits[id])
		}
	}
	if len(waits) == 0 {
		t.Fatal("no worker is polled")
	}
	wk := bd.core.workers["w0"]
	for _, short := range []int{1, 8, 40} {
		for i := range short {
			pl := &placement{task: job.Task{Job: "s", Index: 100*short + i}, step: &step{job: &jobState{spec: &job.Spec{Queue: "q"}}, spec: &job.Step{}}, worker: wk, phase: running}
			wk.addPlacement(pl)
		}
		got := bd.core.pollWait(wk)
		if want := min(bd.core.opts.PollWait, max(pollWaitMin, pollWaitFactor*defaultRunTime/time.Duration(len(wk.placed)-wk.longRunning))); got != want {
			t.Errorf("%d short tasks: the poll waits for %v, want %v", short, got, want)
		}
	}
}

// TestObjectiveGrowsWithTaskCount checks that the estimate for the longest of several tasks grows with their number, based on the observed run times
// of the queue.
func TestObjectiveGrowsWithTaskCount(t *testing.T) {
	rt := runTimes{}
	spec := &job.Spec{Queue: "q"}
	for range 200 {
		st := &step{job: &jobState{spec: spec}, spec: &job.Step{Count: 4}, tasks: make([]taskState, 4)}
		for _, runTime := range []time.Duration{600, 800, 1000, 1600} {
			pl := &placement{ackedAt: time.Unix(100, 0)}
			rt.observeTask(st, pl, pl.ackedAt.Add(runTime*time.Millisecond))
		}
		rt.observeStep(st)
	}
	known := rt.get("q")
	if off := known.longestOf(4) - 1600*time.Millisecond; off.Abs() > 160*time.Millisecond {
		t.Errorf("the estimate for the longest of 4 tasks is %v, want about 1.6 s", known.longestOf(4))
	}
	if one, two, many := known.longestOf(1), known.longestOf(2), known.longestOf(16); one != known.mean || one >= two || two >= many {
		t.Errorf("the estimates for the longest of 1, 2 and 16 tasks are %v, %v and %v with a mean of %v", one, two, many, known.mean)
	}
}

// TestUsedRoomIsSumOfPlacements checks that the used room of a worker, which is updated with each attempt, equals the sum of its placements.
func TestUsedRoomIsSumOfPlacements(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("j", testEpoch, taskStep(5))
	list := bd.wantStarts(bd.plan(), 5)
	bd.answerOrder(list[0], Unhealthy)
	bd.answerOrder(list[1], Done)
	bd.answerOrder(list[2], AttemptEnded)
	for _, wk := range bd.core.sortedWorkers {
		var sum job.Size
		for _, pl := range wk.placed {
			sum = sum.Add(pl.room)
		}
		if sum != wk.used {
			t.Errorf("%s has used room %+v, its placements take %+v", wk.info.ID, wk.used, sum)
		}
	}
}

// TestGangStartsCompleteOrNotAtAll checks that a gang starts only as a whole, and that all members have the same attempt number.
func TestGangStartsCompleteOrNotAtAll(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("full", testEpoch, job.Step{Count: 2, Size: job.Size{CPUMillis: 3000}})
	for _, st := range bd.wantStarts(bd.plan(), 2) {
		bd.answerOrder(st, Done)
	}
	gang := taskStep(3)
	gang.Gang = true
	bd.addJob("gang", testEpoch, gang)
	bd.wantStarts(bd.plan(), 0)
	bd.register("w2")
	bd.answerDuePolls()
	for _, st := range bd.wantStarts(bd.plan(), 3) {
		if st.Attempt != 1 {
			t.Fatalf("attempt %d, want 1", st.Attempt)
		}
	}
}

// TestSaveFitsInTransaction checks that a save has at most 100 entries: one for the row of the cell, and a condition and a write for each job.
func TestSaveFitsInTransaction(t *testing.T) {
	bd := newTestBed(t, 1)
	for i := range 80 {
		id := job.ID(string(rune('a'+i/26)) + string(rune('a'+i%26)))
		bd.addJob(id, testEpoch, taskStep(1))
		bd.core.Cancel(bd.now, id)
	}
	bd.advance(time.Second)
	for _, od := range bd.plan() {
		if sv, ok := od.(Save); ok && 1+2*len(sv.Rows) > 100 {
			t.Fatalf("a save has %d entries", 1+2*len(sv.Rows))
		}
	}
	bd.core.Saved(bd.now, 5)
	bd.advance(time.Second)
	saved := 0
	for _, od := range bd.plan() {
		if sv, ok := od.(Save); ok {
			saved += len(sv.Rows)
		}
	}
	if saved != 80-maxRowsPerSave {
		t.Fatalf("the second save has %d jobs, want the remaining %d", saved, 80-maxRowsPerSave)
	}
}

// TestDueTimesAndRepeats checks that each run starts at its due time, and that the job completes with its last run.
func TestDueTimesAndRepeats(t *testing.T) {
	bd := newTestBed(t, 1)
	sp := &job.Spec{ID: "j", Queue: "q", Pool: testPool, Steps: []job.Step{taskStep(1)}, Epoch: testEpoch, Repeats: 2, FirstDue: bd.now.Add(time.Second), Interval: 3 * time.Second}
	bd.core.Add(bd.now, StoredJob{Spec: sp})
	for run := range 2 {
		bd.wantStarts(bd.plan(), 0)
		bd.now = sp.DueTime(run)
		st := bd.wantStarts(bd.plan(), 1)[0]
		if st.Task.Run != run {
			t.Fatalf("run %d started, want %d", st.Task.Run, run)
		}
		bd.answerOrder(st, Done)
		bd.answerPoll(bd.waitForPoll("w0"), nil, []End{bd.newEnd(st, EndDone)})
		bd.autoSave = true
	}
	bd.advance(time.Second)
	bd.plan()
	if state, _ := bd.core.State("j"); state != job.Completed {
		t.Fatalf("the job is %s", state)
	}
}

// TestTicketsAreRequestedAndSentWithStarts checks that tickets are requested for a queue whose placements need approval, and that starts carry them.
func TestTicketsAreRequestedAndSentWithStarts(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: testPool, MaxAttempts: 2, Advice: &job.Advice{ValidFor: 3 * time.Second}}})
	bd.addJob("j", testEpoch, taskStep(2))
	var request Advise
	orders := bd.plan()
	bd.wantStarts(orders, 0)
	for _, od := range orders {
		if ad, ok := od.(Advise); ok {
			request = ad
		}
	}
	if len(request.Workers) != 2 {
		t.Fatalf("tickets are requested for %v, want two workers", request.Workers)
	}
	bd.core.Advised(bd.now, request, []Ticket{{Worker: "w1", Text: "t1"}}, 3*time.Second)
	for _, st := range bd.wantStarts(bd.plan(), 2) {
		if st.Worker != "w1" || st.Ticket != "t1" {
			t.Fatalf("%+v", st)
		}
	}
}

// TestBestEffortTasksAreThrottledNearLatencyObjective checks that best-effort tasks are throttled before serving tasks miss their latency objective,
// and that the throttle is released again.
func TestBestEffortTasksAreThrottledNearLatencyObjective(t *testing.T) {
	for _, tc := range []struct {
		throttle int
		worst    float64
		want     int
	}{{100, 0.3, 100}, {100, 0.9, 50}, {50, 1.2, 0}, {0, 0.4, 10}, {50, 0.7, 50}, {throttleUnknown, 0.4, throttleInitial}, {throttleUnknown, 0, 100}} {
		if got := nextThrottle(tc.throttle, tc.worst); got != tc.want {
			t.Errorf("throttle after %d at %.1f of the objective: %d, want %d", tc.throttle, tc.worst, got, tc.want)
		}
	}
}

// TestOnlySeveralFailingJobsEjectWorker checks that a worker is ejected only if several jobs fail on it. A single job that fails everywhere must not
// eject workers.
func TestOnlySeveralFailingJobsEjectWorker(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var ft failureTracker
	for range 10 {
		ft.failed(now, "same")
	}
	if ft.ejected(now) {
		t.Fatal("a single failing job ejected a worker")
	}
	for _, id := range []job.ID{"a", "b"} {
		ft.failed(now, id)
	}
	if !ft.ejected(now) || ft.ejected(now.Add(ejectMin)) {
		t.Fatal("three failing jobs must eject a worker for ejectMin")
	}
	ft.failed(now.Add(ejectMin), "d")
	if !ft.ejected(now.Add(ejectMin + ejectMin)) {
		t.Fatal("a failure after the ejection must eject the worker again, for longer")
	}
}

// TestReserveForMoveTakesOnlyIdleWorkers checks that only idle workers are reserved for a move, because running tasks do not survive the move of
// their machine.
func TestReserveForMoveTakesOnlyIdleWorkers(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("j", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	granted := bd.core.ReserveForMove(bd.now, []WorkerName{"w0", "w1"})
	if len(granted) != 1 || granted[0] == st.Worker.Name() {
		t.Fatalf("granted %v, %s is busy", granted, st.Worker)
	}
	bd.addJob("k", testEpoch, taskStep(4))
	for _, next := range startsIn(bd.plan()) {
		if next.Worker.Name() == granted[0] {
			t.Fatal("a worker reserved for a move gets a task")
		}
	}
}

// TestJobIsPendingUntilAWorkerConfirms checks that a job counts as waiting while no worker has begun any of its tasks: after the order, after a
// refusal and while a start is unanswered. It is running once a worker confirms or lists a task.
func TestJobIsPendingUntilAWorkerConfirms(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("j", testEpoch, taskStep(1))
	check := func(when string, pending int, want job.State) {
		t.Helper()
		if got := bd.core.Pending("q"); got != pending {
			t.Errorf("%s: %d jobs are pending, want %d", when, got, pending)
		}
		if state, _ := bd.core.State("j"); state != want {
			t.Errorf("%s: the job is %s, want %s", when, state, want)
		}
	}
	first := bd.wantStarts(bd.plan(), 1)[0]
	check("ordered", 1, job.Queued)
	bd.answerOrder(first, WrongIncarnation)
	check("refused", 1, job.Queued)
	bd.advance(100 * time.Millisecond)
	// A start after the loss of a worker is saved before it is ordered.
	second := bd.wantStartsAfterSave(1)[0]
	check("ordered again", 1, job.Queued)
	bd.answerOrder(second, NoAnswer)
	check("unanswered", 1, job.Queued)
	bd.answerPoll(bd.waitForPoll(second.Worker), []Running{{Task: second.Task, Attempt: second.Attempt}}, nil)
	check("listed by its worker", 0, job.Running)
}
