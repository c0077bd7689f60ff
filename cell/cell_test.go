package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// bed is a core with workers that do what the test says.
type bed struct {
	t    *testing.T
	now  time.Time
	core *Core
	// ends counts each worker's ends, open holds the looks that have no answer yet.
	ends map[WorkerID]int64
	open map[WorkerID]Look
	// saved makes every save that is ordered kept at once.
	saved bool
}

const (
	bedEpoch = job.Epoch(100)
	bedPool  = job.PoolID("pool")
)

func newBed(t *testing.T, workers int) *bed {
	t.Helper()
	bd := &bed{t: t, now: time.Unix(1_700_000_000, 0), ends: map[WorkerID]int64{}, open: map[WorkerID]Look{}}
	bd.core = New(bedPool, bedEpoch, Options{StopTime: 400 * time.Millisecond, Lease: 5 * time.Second})
	bd.core.TakeOver(bd.now, bd.now, nil, true)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: bedPool, MaxAttempts: 2, Stretch: 1.5, Slack: time.Second}})
	for at := range workers {
		bd.register(workerName(at))
	}
	bd.lookAll()
	return bd
}

func workerName(at int) WorkerID { return WorkerID([]string{"w0", "w1", "w2", "w3"}[at]) }

func (bd *bed) register(id WorkerID) {
	bd.core.Register(bd.now, Worker{ID: id, Pool: bedPool, Address: string(id), Rack: "r" + string(id), Labels: []string{"a", "r" + string(id)}, Room: job.Size{CPUMillis: 4000, MemoryMB: 4000}})
	bd.core.Enlisted([]Ref{{ID: id, Address: string(id)}})
}

// clock is every worker's.
func (bd *bed) clock() int64 { return bd.now.UnixMilli() - 1_699_999_000_000 }

func (bd *bed) pass(span time.Duration) { bd.now = bd.now.Add(span) }

// plan returns the orders that are due.
func (bd *bed) plan() []Order {
	bd.core.Confirmed(bd.now)
	orders := bd.core.Plan(bd.now)
	for id, lk := range looksOf(orders) {
		bd.open[id] = lk
	}
	if bd.saved {
		bd.keep(orders)
	}
	return orders
}

// lookAll answers the looks that are due with nothing.
func (bd *bed) lookAll() {
	for _, od := range bd.plan() {
		if lk, ok := od.(Look); ok {
			bd.looked(lk, nil, nil)
		}
	}
}

// looked answers a look.
func (bd *bed) looked(lk Look, running []Running, ended []End) {
	delete(bd.open, lk.Worker)
	bd.core.Looked(bd.now, Looked{Look: lk, Outcome: Done, Sent: bd.now, Received: bd.now, Clock: bd.clock(), Running: running, Ended: ended})
}

func (bd *bed) add(id job.ID, epoch job.Epoch, steps ...job.Step) {
	bd.core.Add(bd.now, Stored{Spec: &job.Spec{ID: id, Queue: "q", Pool: bedPool, Steps: steps, Epoch: epoch, AcceptedAt: bd.now}})
}

// starts are the starts among some orders.
func starts(orders []Order) []Start {
	var list []Start
	for _, od := range orders {
		if st, ok := od.(Start); ok {
			list = append(list, st)
		}
	}
	return list
}

func looksOf(orders []Order) map[WorkerID]Look {
	list := map[WorkerID]Look{}
	for _, od := range orders {
		if lk, ok := od.(Look); ok {
			list[lk.Worker] = lk
		}
	}
	return list
}

func (bd *bed) wantStarts(orders []Order, want int) []Start {
	bd.t.Helper()
	got := starts(orders)
	if len(got) != want {
		bd.t.Fatalf("%d starts, want %d: %+v", len(got), want, got)
	}
	return got
}

func (bd *bed) ordered(od Order, oc Outcome) {
	bd.core.Ordered(bd.now, Ordered{Order: od, Outcome: oc, Sent: bd.now, Received: bd.now, Clock: bd.clock()})
}

// end makes an end with the worker's next number.
func (bd *bed) end(st Start, how How) End {
	bd.ends[st.Worker]++
	return End{Number: bd.ends[st.Worker], Task: st.Task, Attempt: st.Attempt, How: how}
}

// nextLook waits for a look at a worker.
func (bd *bed) nextLook(id WorkerID) Look {
	bd.t.Helper()
	for range 50 {
		bd.plan()
		if lk, ok := bd.open[id]; ok {
			return lk
		}
		bd.pass(50 * time.Millisecond)
	}
	bd.t.Fatalf("%s is not looked at", id)
	return Look{}
}

func tasks(count int) job.Step {
	return job.Step{Count: count, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}}
}

// TestSilentStartIsSettledByALookUnderAHigherToken: the room counts as taken and the task as running until the look.
func TestSilentStartIsSettledByALookUnderAHigherToken(t *testing.T) {
	bd := newBed(t, 1)
	bd.add("j", bedEpoch, tasks(1))
	first := bd.wantStarts(bd.plan(), 1)[0]
	bd.pass(time.Second)
	bd.ordered(first, Silent)
	orders := bd.plan()
	bd.wantStarts(orders, 0)
	lk := looksOf(orders)["w0"]
	if lk.Token <= first.Token {
		t.Fatalf("looked at with token %d, the start had %d", lk.Token, first.Token)
	}
	// An answer to an older look proves nothing.
	older := lk
	older.Token = first.Token
	bd.looked(older, nil, nil)
	bd.wantStarts(bd.plan(), 0)
	bd.looked(lk, nil, nil)
	if again := bd.wantStarts(bd.plan(), 1)[0]; again.Token <= first.Token {
		t.Fatalf("started again with token %d", again.Token)
	}
}

// TestFailedEndCountsOnce: an end that was kept but not acknowledged is listed again to the next owner.
func TestFailedEndCountsOnce(t *testing.T) {
	bd := newBed(t, 1)
	pg := &job.Progress{Failed: map[string][]string{"0.0.0": {"1@w0"}}}
	bd.core.Add(bd.now, Stored{Spec: &job.Spec{ID: "j", Queue: "q", Pool: bedPool, Steps: []job.Step{tasks(1)}, Epoch: 1}, Progress: pg, Version: 7})
	if st := bd.wantStarts(bd.plan(), 1)[0]; st.Attempt != 2 {
		t.Fatalf("attempt %d, want 2", st.Attempt)
	}
	lk := bd.nextLook("w0")
	task := job.Task{Job: "j"}
	bd.looked(lk, []Running{{Task: task, Attempt: 2}}, []End{{Number: 1, Task: task, Attempt: 1, How: EndFailed}})
	bd.saved = true
	bd.pass(time.Second)
	bd.plan()
	if state, _ := bd.core.State("j"); state != job.Running {
		t.Fatalf("the job is %s after one failed attempt of two", state)
	}
}

// TestJobFailsAfterItsAttempts: as many failed attempts as the queue allows, and not one start more.
func TestJobFailsAfterItsAttempts(t *testing.T) {
	bd := newBed(t, 2)
	bd.add("j", bedEpoch, tasks(1))
	for attempt := range 2 {
		st := bd.wantStarts(bd.plan(), 1)[0]
		bd.ordered(st, Done)
		bd.looked(bd.nextLook(st.Worker), nil, []End{bd.end(st, EndFailed)})
		bd.saved = true
		if int(st.Attempt) != attempt+1 {
			t.Fatalf("attempt %d, want %d", st.Attempt, attempt+1)
		}
	}
	bd.pass(time.Second)
	bd.wantStarts(bd.plan(), 0)
	if state, _ := bd.core.State("j"); state != job.Failed {
		t.Fatalf("the job is %s", state)
	}
}

// keep tells the core that the save among some orders is kept.
func (bd *bed) keep(orders []Order) {
	for _, od := range orders {
		if _, ok := od.(Save); ok {
			bd.core.Saved(bd.now, 9)
		}
	}
}

// TestRunSeenBeforeItsJobIsAdopted: the owner before may hear of a job sooner.
func TestRunSeenBeforeItsJobIsAdopted(t *testing.T) {
	bd := newBed(t, 2)
	bd.add("other", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.ordered(st, Done)
	stranger := job.Task{Job: "late"}
	bd.looked(bd.nextLook(st.Worker), []Running{{Task: st.Task, Attempt: 1}, {Task: stranger, Attempt: 1}}, nil)
	bd.add("late", 1, tasks(1))
	bd.wantStarts(bd.plan(), 0)
	if state, _ := bd.core.State("late"); state != job.Running {
		t.Fatalf("the job is %s", state)
	}
}

// TestEndIsAcknowledgedOnceItIsKept: also that of a member of a gang whose end another member has brought already.
func TestEndIsAcknowledgedOnceItIsKept(t *testing.T) {
	bd := newBed(t, 2)
	gang := tasks(2)
	gang.Gang, gang.SpreadLimit = true, 1
	bd.add("j", bedEpoch, gang)
	list := bd.wantStarts(bd.plan(), 2)
	for _, st := range list {
		bd.ordered(st, Done)
	}
	for _, st := range list {
		bd.looked(bd.nextLook(st.Worker), nil, []End{bd.end(st, EndDone)})
	}
	for range 20 {
		bd.pass(100 * time.Millisecond)
		for id, lk := range looksOf(bd.plan()) {
			if lk.Observed > 0 {
				t.Fatalf("end %d of %s is acknowledged before it is kept", lk.Observed, id)
			}
			bd.looked(lk, nil, nil)
		}
	}
	bd.core.Saved(bd.now, 9)
	for _, st := range list {
		if lk := bd.nextLook(st.Worker); lk.Observed != 1 {
			t.Fatalf("acknowledged up to %d, want 1", lk.Observed)
		}
	}
	if state, _ := bd.core.State("j"); state != job.Completed {
		t.Fatalf("the job is %s", state)
	}
}

// TestLeaseOfASilentWorkerEndsWithTheSlowestClock: at 2% slow, and only for an owner confirmed later than that.
func TestLeaseOfASilentWorkerEndsWithTheSlowestClock(t *testing.T) {
	const lease = time.Minute
	bd := newBed(t, 2)
	bd.core.opts.Lease = lease
	bd.add("j", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.ordered(st, Done)
	given := bd.now
	bd.silence(st.Worker)
	for bd.now.Sub(given) < lease*100/98 {
		bd.pass(100 * time.Millisecond)
		bd.wantStarts(bd.plan(), 0)
		bd.silence(st.Worker)
	}
	bd.pass(2 * time.Second)
	// The owner was confirmed last before that time.
	bd.core.confirmed = given.Add(lease)
	bd.wantStarts(bd.core.Plan(bd.now), 0)
	bd.wantStarts(bd.plan(), 1)
}

// silence leaves the open look at a worker without an answer.
func (bd *bed) silence(id WorkerID) {
	bd.t.Helper()
	lk, open := bd.open[id]
	if !open {
		return
	}
	if wk := bd.core.workers[id]; lk.Until != 0 && wk.fails > 0 {
		bd.t.Fatal("a silent worker's lease is renewed")
	}
	delete(bd.open, id)
	bd.core.Looked(bd.now, Looked{Look: lk, Outcome: Silent, Sent: bd.now, Received: bd.now})
}

// TestTaskLostWithItsWorkerWaitsForConfirmation: a successor that this owner has not heard of may have noted its end.
func TestTaskLostWithItsWorkerWaitsForConfirmation(t *testing.T) {
	bd := newBed(t, 2)
	bd.add("j", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.ordered(st, Done)
	bd.pass(time.Second)
	bd.core.Gone(bd.now, st.Worker)
	bd.wantStarts(bd.core.Plan(bd.now), 0)
	bd.pass(time.Millisecond)
	bd.wantStarts(bd.plan(), 1)
}

// TestCarriedJobsWaitForUnresolvedWorkers: jobs that name this owner do not.
func TestCarriedJobsWaitForUnresolvedWorkers(t *testing.T) {
	bd := newBed(t, 1)
	bd.core.TakeOver(bd.now, bd.now, []Ref{{ID: "gone", Address: "gone"}}, false)
	bd.add("old", 1, tasks(1))
	bd.add("new", bedEpoch, tasks(1))
	if st := bd.wantStarts(bd.plan(), 1)[0]; st.Task.Job != "new" {
		t.Fatalf("%s was started", st.Task.Job)
	}
	bd.core.Gone(bd.now, "gone")
	bd.wantStarts(bd.core.Plan(bd.now), 0)
	bd.pass(time.Millisecond)
	if st := bd.wantStarts(bd.plan(), 1)[0]; st.Task.Job != "old" {
		t.Fatalf("%s was started", st.Task.Job)
	}
}

// TestEarlierLeasesAreOverOnlyForAConfirmedOwner: a later owner that this one has not heard of may have renewed them.
func TestEarlierLeasesAreOverOnlyForAConfirmedOwner(t *testing.T) {
	bd := newBed(t, 1)
	bd.core.TakeOver(bd.now, bd.now, []Ref{{ID: "far", Address: "far"}}, true)
	bd.add("old", 1, tasks(1))
	bd.pass(bd.core.slow(bd.core.opts.Lease) + horizonMargin + time.Millisecond)
	bd.silence("far")
	bd.wantStarts(bd.core.Plan(bd.now), 0)
	bd.pass(time.Millisecond)
	bd.wantStarts(bd.plan(), 1)
}

// TestWorkerInDoubtGetsNothingNew: until a look has settled what became of the start without an answer.
func TestWorkerInDoubtGetsNothingNew(t *testing.T) {
	bd := newBed(t, 1)
	bd.add("j", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.ordered(st, Silent)
	bd.add("k", bedEpoch, tasks(1))
	bd.wantStarts(bd.plan(), 0)
	bd.looked(bd.nextLook("w0"), nil, nil)
	bd.wantStarts(bd.plan(), 2)
}

// TestLooksWaitNoLongerThanEndsAreToBeExpected: an answer that is lost is then missed soon; a worker without short tasks is looked at
// rarely, since each look has its price.
func TestLooksWaitNoLongerThanEndsAreToBeExpected(t *testing.T) {
	bd := newBed(t, 2)
	lasting := tasks(1)
	lasting.LongRunning = true
	bd.add("l", bedEpoch, lasting)
	bd.ordered(bd.wantStarts(bd.plan(), 1)[0], Done)
	bd.pass(100 * time.Millisecond)
	waits := map[WorkerID]time.Duration{}
	for id, lk := range looksOf(bd.plan()) {
		waits[id] = lk.Wait
	}
	for id := range waits {
		if waits[id] != bd.core.opts.LookWait {
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
			wk.put(pl)
		}
		got := bd.core.waitFor(wk)
		if want := min(bd.core.opts.LookWait, max(waitLeast, waitTimes*firstGuess/time.Duration(len(wk.placed)-wk.lasting))); got != want {
			t.Errorf("%d short tasks: the answer is waited for %v, want %v", short, got, want)
		}
	}
}

// TestObjectiveFollowsTheNumberOfTasks: the longest of many tasks takes longer than that of few, by what was learned of the queue.
func TestObjectiveFollowsTheNumberOfTasks(t *testing.T) {
	rt := runtimes{}
	spec := &job.Spec{Queue: "q"}
	for range 200 {
		st := &step{job: &jobState{spec: spec}, spec: &job.Step{Count: 4}, tasks: make([]taskState, 4)}
		for _, took := range []time.Duration{600, 800, 1000, 1600} {
			pl := &placement{acked: time.Unix(100, 0)}
			rt.learn(st, pl, pl.acked.Add(took*time.Millisecond))
		}
		rt.learnStep(st)
	}
	known := rt.of("q")
	if off := known.longest(4) - 1600*time.Millisecond; off.Abs() > 160*time.Millisecond {
		t.Errorf("the longest of 4 tasks is taken for %v, it is 1.6 s", known.longest(4))
	}
	if one, two, many := known.longest(1), known.longest(2), known.longest(16); one != known.task || one >= two || two >= many {
		t.Errorf("the longest of 1, 2 and 16 tasks: %v, %v, %v; the mean is %v", one, two, many, known.task)
	}
}

// TestEndSeenBeforeItsJobCounts: also where it was listed behind one that is not kept yet.
func TestEndSeenBeforeItsJobCounts(t *testing.T) {
	bd := newBed(t, 1)
	bd.add("known", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.ordered(st, Done)
	before := End{Number: 2, Task: job.Task{Job: "late"}, Attempt: 1, How: EndDone}
	bd.looked(bd.nextLook("w0"), nil, []End{bd.end(st, EndDone), before})
	bd.add("late", 1, tasks(2))
	for _, st := range starts(bd.plan()) {
		if st.Task.Index == 0 {
			t.Error("a task is started whose end was seen before its job")
		}
	}
}

// TestWorkerWhoseRegistrationIsGoneLeaves: some workers never say that they drain. Registrations that lapsed while the store was away
// come back within two seconds of its return.
func TestWorkerWhoseRegistrationIsGoneLeaves(t *testing.T) {
	for name, away := range map[string]bool{"the store was there": false, "the store was away": true} {
		t.Run(name, func(t *testing.T) {
			bd := newBed(t, 1)
			lasting := tasks(1)
			lasting.LongRunning = true
			bd.add("l", bedEpoch, lasting)
			st := bd.wantStarts(bd.plan(), 1)[0]
			bd.ordered(st, Done)
			for range 20 {
				bd.pass(200 * time.Millisecond)
				bd.looked(bd.nextLook("w0"), []Running{{Task: st.Task, Attempt: 1, Progress: 100}}, nil)
			}
			if away {
				bd.core.confirmed = bd.now.Add(-awayAfter - time.Second)
			}
			bd.core.Unregister(bd.now, "w0")
			bd.add("j", bedEpoch, tasks(1))
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

// TestRoomInUseIsTheSumOfWhatIsPlaced: it is kept along with each attempt.
func TestRoomInUseIsTheSumOfWhatIsPlaced(t *testing.T) {
	bd := newBed(t, 2)
	bd.add("j", bedEpoch, tasks(5))
	list := bd.wantStarts(bd.plan(), 5)
	bd.ordered(list[0], Unwell)
	bd.ordered(list[1], Done)
	bd.ordered(list[2], Stale)
	for _, wk := range bd.core.list {
		var sum job.Size
		for _, pl := range wk.placed {
			sum = sum.Plus(pl.room)
		}
		if sum != wk.used {
			t.Errorf("%s uses %+v, its attempts take %+v", wk.info.ID, wk.used, sum)
		}
	}
}

// TestStopUnderWayCountsAsAway: a stop of the owner before is listed as running until it takes effect.
func TestStopUnderWayCountsAsAway(t *testing.T) {
	bd := newBed(t, 2)
	lasting := tasks(2)
	lasting.LongRunning, lasting.DisruptionBudget, lasting.Budgeted = true, 1, true
	bd.core = New(bedPool, bedEpoch+1, Options{StopTime: 400 * time.Millisecond})
	bd.core.TakeOver(bd.now, bd.now, []Ref{{ID: "w0", Address: "w0"}, {ID: "w1", Address: "w1"}}, false)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: bedPool, MaxAttempts: 2}})
	bd.add("j", 1, lasting)
	bd.register("w0")
	bd.register("w1")
	bd.core.Cordon(map[WorkerID]bool{"w0": true, "w1": true})
	stops := 0
	until := bd.now.Add(600 * time.Millisecond)
	for bd.now.Before(until) {
		for _, od := range bd.plan() {
			switch order := od.(type) {
			case Look:
				at := 0
				if order.Worker == "w1" {
					at = 1
				}
				bd.looked(order, []Running{{Task: job.Task{Job: "j", Index: at}, Attempt: 1, Progress: 100}}, nil)
			case Stop:
				stops++
			}
		}
		bd.pass(20 * time.Millisecond)
	}
	if stops != 0 {
		t.Fatalf("%d stops while one of the owner before may be under way", stops)
	}
	bd.pass(2 * time.Second)
	for range 40 {
		for _, od := range bd.plan() {
			switch order := od.(type) {
			case Look:
				at := 0
				if order.Worker == "w1" {
					at = 1
				}
				bd.looked(order, []Running{{Task: job.Task{Job: "j", Index: at}, Attempt: 1, Progress: 100}}, nil)
			case Stop:
				stops++
			}
		}
		bd.pass(20 * time.Millisecond)
	}
	if stops != 1 {
		t.Fatalf("%d tasks of a step with a budget of 1 were stopped", stops)
	}
}

// TestGangStartsWholeOrNotAtAll: and all members under one number.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	bd := newBed(t, 2)
	bd.add("full", bedEpoch, job.Step{Count: 2, Size: job.Size{CPUMillis: 3000}})
	for _, st := range bd.wantStarts(bd.plan(), 2) {
		bd.ordered(st, Done)
	}
	gang := tasks(3)
	gang.Gang = true
	bd.add("gang", bedEpoch, gang)
	bd.wantStarts(bd.plan(), 0)
	bd.register("w2")
	bd.lookAll()
	for _, st := range bd.wantStarts(bd.plan(), 3) {
		if st.Attempt != 1 {
			t.Fatalf("attempt %d", st.Attempt)
		}
	}
}

// TestSavesFitATransaction: one row of the cell, and a condition and a write for each job, are at most 100 entries.
func TestSavesFitATransaction(t *testing.T) {
	bd := newBed(t, 1)
	for at := range 80 {
		id := job.ID(string(rune('a'+at/26)) + string(rune('a'+at%26)))
		bd.add(id, bedEpoch, tasks(1))
		bd.core.Cancel(bd.now, id)
	}
	bd.pass(time.Second)
	for _, od := range bd.plan() {
		if sv, ok := od.(Save); ok && 1+2*len(sv.Rows) > 100 {
			t.Fatalf("a save has %d entries", 1+2*len(sv.Rows))
		}
	}
	bd.core.Saved(bd.now, 5)
	bd.pass(time.Second)
	saved := 0
	for _, od := range bd.plan() {
		if sv, ok := od.(Save); ok {
			saved += len(sv.Rows)
		}
	}
	if saved != 80-saveMost {
		t.Fatalf("the second save has %d jobs, want the %d left", saved, 80-saveMost)
	}
}

// TestDueTimesAndRepeats: a run starts at its time, and the job is over when all runs are.
func TestDueTimesAndRepeats(t *testing.T) {
	bd := newBed(t, 1)
	sp := &job.Spec{ID: "j", Queue: "q", Pool: bedPool, Steps: []job.Step{tasks(1)}, Epoch: bedEpoch, Repeats: 2, FirstDue: bd.now.Add(time.Second), Interval: 3 * time.Second}
	bd.core.Add(bd.now, Stored{Spec: sp})
	for run := range 2 {
		bd.wantStarts(bd.plan(), 0)
		bd.now = sp.Due(run)
		st := bd.wantStarts(bd.plan(), 1)[0]
		if st.Task.Run != run {
			t.Fatalf("run %d started, want %d", st.Task.Run, run)
		}
		bd.ordered(st, Done)
		bd.looked(bd.nextLook("w0"), nil, []End{bd.end(st, EndDone)})
		bd.saved = true
	}
	bd.pass(time.Second)
	bd.plan()
	if state, _ := bd.core.State("j"); state != job.Completed {
		t.Fatalf("the job is %s", state)
	}
}

// TestTicketsAreAskedForAndBrought: a queue whose placements need approval.
func TestTicketsAreAskedForAndBrought(t *testing.T) {
	bd := newBed(t, 2)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: bedPool, MaxAttempts: 2, Advice: &job.Advice{Valid: 3 * time.Second}}})
	bd.add("j", bedEpoch, tasks(2))
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

// TestTasksThatFillAreThrottledBeforeOthersSuffer: and released again.
func TestTasksThatFillAreThrottledBeforeOthersSuffer(t *testing.T) {
	for _, tc := range []struct {
		pace  int
		worst float64
		want  int
	}{{100, 0.3, 100}, {100, 0.9, 50}, {50, 1.2, 0}, {0, 0.4, 10}, {50, 0.7, 50}, {paceUnknown, 0.4, paceStart}, {paceUnknown, 0, 100}} {
		if got := nextPace(tc.pace, tc.worst); got != tc.want {
			t.Errorf("throttle after %d at %.1f of the objective: %d, want %d", tc.pace, tc.worst, got, tc.want)
		}
	}
}

// TestBadWorkerIsLeftAloneNotABadJob: several jobs must fail there, and one that fails everywhere condemns nobody.
func TestBadWorkerIsLeftAloneNotABadJob(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var jd judge
	for range 10 {
		jd.failed(now, "same")
	}
	if jd.bad(now) {
		t.Fatal("one bad job condemned a worker")
	}
	for _, id := range []job.ID{"a", "b"} {
		jd.failed(now, id)
	}
	if !jd.bad(now) || jd.bad(now.Add(badFor)) {
		t.Fatal("failing jobs of three kinds leave a worker alone for a while")
	}
	jd.failed(now.Add(badFor), "d")
	if !jd.bad(now.Add(badFor + badFor)) {
		t.Fatal("a failure after the pause condemns it again, for longer")
	}
}

// TestGrabTakesOnlyIdleWorkers: a machine that moves takes what runs there with it.
func TestGrabTakesOnlyIdleWorkers(t *testing.T) {
	bd := newBed(t, 2)
	bd.add("j", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	granted := bd.core.Grab(bd.now, []WorkerID{"w0", "w1"})
	if len(granted) != 1 || granted[0] == st.Worker {
		t.Fatalf("granted %v, %s is busy", granted, st.Worker)
	}
	bd.add("k", bedEpoch, tasks(4))
	for _, next := range starts(bd.plan()) {
		if next.Worker == granted[0] {
			t.Fatal("a worker that was given up gets a task")
		}
	}
}
