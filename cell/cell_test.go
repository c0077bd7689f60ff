package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestRepeatedFailedEndCountsOnce: an end that was kept but not acknowledged is listed again to the next owner.
func TestRepeatedFailedEndCountsOnce(t *testing.T) {
	bd := newTestBed(t, 1)
	pg := &job.Progress{FailedAttempts: map[string][]string{"0.0.0": {"1@w0"}}}
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "j", Queue: "q", Pool: testPool, Steps: []job.Step{taskStep(1)}, Epoch: 1}, Progress: pg, Version: 7})
	if st := bd.wantStarts(bd.plan(), 1)[0]; st.Attempt != 2 {
		t.Fatalf("attempt %d, want 2", st.Attempt)
	}
	lk := bd.waitForPoll("w0")
	task := job.Task{Job: "j"}
	bd.answerPoll(lk, []Running{{Task: task, Attempt: 2}}, []End{{Number: 1, Task: task, Attempt: 1, Reason: EndFailed}})
	bd.autoSave = true
	bd.advance(time.Second)
	bd.plan()
	if state, _ := bd.core.State("j"); state != job.Running {
		t.Fatalf("the job is %s after one failed attempt of two", state)
	}
}

// TestJobFailsAfterMaxAttempts: as many failed attempts as the queue allows, and not one start more.
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

// TestEndIsAcknowledgedAfterSave: also that of a member of a gang whose end another member has brought already.
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
		for id, lk := range pollsByWorker(bd.plan()) {
			if lk.AckedEnd > 0 {
				t.Fatalf("end %d of %s is acknowledged before it is kept", lk.AckedEnd, id)
			}
			bd.answerPoll(lk, nil, nil)
		}
	}
	bd.core.Saved(bd.now, 9)
	for _, st := range list {
		if lk := bd.waitForPoll(st.Worker); lk.AckedEnd != 1 {
			t.Fatalf("acknowledged up to %d, want 1", lk.AckedEnd)
		}
	}
	if state, _ := bd.core.State("j"); state != job.Completed {
		t.Fatalf("the job is %s", state)
	}
}

// TestPollWaitFollowsExpectedEnds: an answer that is lost is then missed soon; a worker without short tasks is looked at
// rarely, since each look has its price.
func TestPollWaitFollowsExpectedEnds(t *testing.T) {
	bd := newTestBed(t, 2)
	lasting := taskStep(1)
	lasting.LongRunning = true
	bd.addJob("l", testEpoch, lasting)
	bd.answerOrder(bd.wantStarts(bd.plan(), 1)[0], Done)
	bd.advance(100 * time.Millisecond)
	waits := map[WorkerID]time.Duration{}
	for id, lk := range pollsByWorker(bd.plan()) {
		waits[id] = lk.Wait
	}
	for id := range waits {
		if waits[id] != bd.core.opts.PollWait {
			t.Errorf("a worker with a task that lasts is waited for %v", waits[id])
		}
	}
	if len(waits) == 0 {
		t.Fatal("nothing is looked at")
	}
	wk := bd.core.workers["w0"]
	for _, short := range []int{1, 8, 40} {
		for at := range short {
			pl := &placement{task: job.Task{Job: "s", Index: 100*short + at}, step: &step{job: &jobState{spec: &job.Spec{Queue: "q"}}, spec: &job.Step{}}, worker: wk, phase: running}
			wk.addPlacement(pl)
		}
		got := bd.core.lookWait(wk)
		if want := min(bd.core.opts.PollWait, max(lookWaitMin, lookWaitFactor*defaultRunTime/time.Duration(len(wk.placed)-wk.longRunning))); got != want {
			t.Errorf("%d short tasks: the answer is waited for %v, want %v", short, got, want)
		}
	}
}

// TestObjectiveGrowsWithTaskCount: the longest of many tasks takes longer than that of few, by what was learned of the queue.
func TestObjectiveGrowsWithTaskCount(t *testing.T) {
	rt := runTimes{}
	spec := &job.Spec{Queue: "q"}
	for range 200 {
		st := &step{job: &jobState{spec: spec}, spec: &job.Step{Count: 4}, tasks: make([]taskState, 4)}
		for _, took := range []time.Duration{600, 800, 1000, 1600} {
			pl := &placement{ackedAt: time.Unix(100, 0)}
			rt.observeTask(st, pl, pl.ackedAt.Add(took*time.Millisecond))
		}
		rt.observeStep(st)
	}
	known := rt.get("q")
	if off := known.longestOf(4) - 1600*time.Millisecond; off.Abs() > 160*time.Millisecond {
		t.Errorf("the longest of 4 tasks is taken for %v, it is 1.6 s", known.longestOf(4))
	}
	if one, two, many := known.longestOf(1), known.longestOf(2), known.longestOf(16); one != known.mean || one >= two || two >= many {
		t.Errorf("the longest of 1, 2 and 16 tasks: %v, %v, %v; the mean is %v", one, two, many, known.mean)
	}
}

// TestUsedRoomIsSumOfPlacements: it is kept along with each attempt.
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
			t.Errorf("%s uses %+v, its attempts take %+v", wk.info.ID, wk.used, sum)
		}
	}
}

// TestGangStartsCompleteOrNotAtAll: and all members under one number.
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
			t.Fatalf("attempt %d", st.Attempt)
		}
	}
}

// TestSaveFitsInTransaction: one row of the cell, and a condition and a write for each job, are at most 100 entries.
func TestSaveFitsInTransaction(t *testing.T) {
	bd := newTestBed(t, 1)
	for at := range 80 {
		id := job.ID(string(rune('a'+at/26)) + string(rune('a'+at%26)))
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
		t.Fatalf("the second save has %d jobs, want the %d left", saved, 80-maxRowsPerSave)
	}
}

// TestDueTimesAndRepeats: a run starts at its time, and the job is over when all runs are.
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

// TestTicketsAreRequestedAndSentWithStarts: a queue whose placements need approval.
func TestTicketsAreRequestedAndSentWithStarts(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: testPool, MaxAttempts: 2, Advice: &job.Advice{ValidFor: 3 * time.Second}}})
	bd.addJob("j", testEpoch, taskStep(2))
	var ask Advise
	orders := bd.plan()
	bd.wantStarts(orders, 0)
	for _, od := range orders {
		if ad, ok := od.(Advise); ok {
			ask = ad
		}
	}
	if len(ask.Workers) != 2 {
		t.Fatalf("asked for %v", ask.Workers)
	}
	bd.core.Advised(bd.now, ask, []Ticket{{Worker: "w1", Text: "t1"}}, 3*time.Second)
	for _, st := range bd.wantStarts(bd.plan(), 2) {
		if st.Worker != "w1" || st.Ticket != "t1" {
			t.Fatalf("%+v", st)
		}
	}
}

// TestBestEffortTasksAreThrottledNearLatencyObjective: and released again.
func TestBestEffortTasksAreThrottledNearLatencyObjective(t *testing.T) {
	for _, tc := range []struct {
		pace  int
		worst float64
		want  int
	}{{100, 0.3, 100}, {100, 0.9, 50}, {50, 1.2, 0}, {0, 0.4, 10}, {50, 0.7, 50}, {throttleUnknown, 0.4, throttleInitial}, {throttleUnknown, 0, 100}} {
		if got := nextThrottle(tc.pace, tc.worst); got != tc.want {
			t.Errorf("throttle after %d at %.1f of the objective: %d, want %d", tc.pace, tc.worst, got, tc.want)
		}
	}
}

// TestOnlySeveralFailingJobsQuarantineWorker: several jobs must fail there, and one that fails everywhere condemns nobody.
func TestOnlySeveralFailingJobsQuarantineWorker(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var jd failureTracker
	for range 10 {
		jd.failed(now, "same")
	}
	if jd.ejected(now) {
		t.Fatal("one bad job condemned a worker")
	}
	for _, id := range []job.ID{"a", "b"} {
		jd.failed(now, id)
	}
	if !jd.ejected(now) || jd.ejected(now.Add(ejectMin)) {
		t.Fatal("failing jobs of three kinds leave a worker alone for a while")
	}
	jd.failed(now.Add(ejectMin), "d")
	if !jd.ejected(now.Add(ejectMin + ejectMin)) {
		t.Fatal("a failure after the pause condemns it again, for longer")
	}
}

// TestGrabTakesOnlyIdleWorkers: a machine that moves takes what runs there with it.
func TestGrabTakesOnlyIdleWorkers(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("j", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	granted := bd.core.Grab(bd.now, []WorkerName{"w0", "w1"})
	if len(granted) != 1 || granted[0] == st.Worker.Name() {
		t.Fatalf("granted %v, %s is busy", granted, st.Worker)
	}
	bd.addJob("k", testEpoch, taskStep(4))
	for _, next := range startsIn(bd.plan()) {
		if next.Worker.Name() == granted[0] {
			t.Fatal("a worker that was given up gets a task")
		}
	}
}
