package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// testBed is a core with workers that do what the test says.
type testBed struct {
	t    *testing.T
	now  time.Time
	core *Core
	// endCounts counts each worker's endCounts, open holds the looks that have no answer yet.
	endCounts    map[WorkerID]int64
	pendingPolls map[WorkerID]Poll
	// autoSave makes every save that is ordered kept at once.
	autoSave bool
}

const (
	testEpoch = job.Epoch(100)
	testPool  = job.PoolID("pool")
)

func newTestBed(t *testing.T, workers int) *testBed {
	t.Helper()
	bd := &testBed{t: t, now: time.Unix(1_700_000_000, 0), endCounts: map[WorkerID]int64{}, pendingPolls: map[WorkerID]Poll{}}
	bd.core = New(testPool, testEpoch, Options{MaxStopTime: 400 * time.Millisecond, LeaseDuration: 5 * time.Second})
	bd.core.TakeOver(bd.now, bd.now, nil, true)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: testPool, MaxAttempts: 2, Stretch: 1.5, Slack: time.Second}})
	for at := range workers {
		bd.register(testWorkerID(at))
	}
	bd.answerDuePolls()
	return bd
}

func testWorkerID(at int) WorkerID { return WorkerID([]string{"w0", "w1", "w2", "w3"}[at]) }

func (bd *testBed) register(id WorkerID) {
	bd.core.Register(bd.now, Worker{ID: id, Pool: testPool, Address: string(id), Rack: "r" + string(id), Labels: []string{"a", "r" + string(id)}, Room: job.Size{CPUMillis: 4000, MemoryMB: 4000}})
	bd.core.WorkersRecorded([]WorkerRef{{ID: id, Address: string(id)}})
}

// clock is every worker's.
func (bd *testBed) clock() int64 { return bd.now.UnixMilli() - 1_699_999_000_000 }

func (bd *testBed) advance(span time.Duration) { bd.now = bd.now.Add(span) }

// plan returns the orders that are due.
func (bd *testBed) plan() []Order {
	bd.core.OwnershipConfirmed(bd.now)
	bd.core.RegistrationsRead(bd.now)
	return bd.planUnconfirmed()
}

// planUnconfirmed does so for an owner that is not confirmed anew.
func (bd *testBed) planUnconfirmed() []Order {
	orders := bd.core.Plan(bd.now)
	for id, lk := range pollsByWorker(orders) {
		bd.pendingPolls[id] = lk
	}
	if bd.autoSave {
		bd.confirmSaves(orders)
	}
	return orders
}

// answerDuePolls answers the looks that are due with nothing.
func (bd *testBed) answerDuePolls() {
	for _, od := range bd.plan() {
		if lk, ok := od.(Poll); ok {
			bd.answerPoll(lk, nil, nil)
		}
	}
}

// answerPendingPolls answers the looks that are open with nothing.
func (bd *testBed) answerPendingPolls() {
	for _, lk := range bd.pendingPolls {
		bd.answerPoll(lk, nil, nil)
	}
}

// answerPoll answers a look.
func (bd *testBed) answerPoll(lk Poll, running []Running, ended []End) {
	delete(bd.pendingPolls, lk.Worker)
	bd.core.HandlePoll(bd.now, PollResult{Poll: lk, Outcome: Done, Sent: bd.now, Received: bd.now, Clock: bd.clock(), Running: running, Ended: ended})
}

func (bd *testBed) addJob(id job.ID, epoch job.Epoch, steps ...job.Step) {
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: id, Queue: "q", Pool: testPool, Steps: steps, Epoch: epoch, AcceptedAt: bd.now}})
}

// startsIn are the startsIn among some orders.
func startsIn(orders []Order) []Start {
	var list []Start
	for _, od := range orders {
		if st, ok := od.(Start); ok {
			list = append(list, st)
		}
	}
	return list
}

func pollsByWorker(orders []Order) map[WorkerID]Poll {
	list := map[WorkerID]Poll{}
	for _, od := range orders {
		if lk, ok := od.(Poll); ok {
			list[lk.Worker] = lk
		}
	}
	return list
}

func (bd *testBed) wantStarts(orders []Order, want int) []Start {
	bd.t.Helper()
	got := startsIn(orders)
	if len(got) != want {
		bd.t.Fatalf("%d starts, want %d: %+v", len(got), want, got)
	}
	return got
}

// wantStartsAfterSave wants starts that come only once their intents are kept.
func (bd *testBed) wantStartsAfterSave(want int) []Start {
	bd.t.Helper()
	orders := bd.plan()
	bd.wantStarts(orders, 0)
	bd.wantStarts(bd.plan(), 0)
	bd.confirmSaves(orders)
	return bd.wantStarts(bd.plan(), want)
}

func (bd *testBed) answerOrder(od Order, oc Outcome) {
	bd.core.HandleOrder(bd.now, OrderResult{Order: od, Outcome: oc, Sent: bd.now, Received: bd.now, Clock: bd.clock()})
}

// newEnd makes an newEnd with the worker's next number.
func (bd *testBed) newEnd(st Start, how EndReason) End {
	bd.endCounts[st.Worker]++
	return End{Number: bd.endCounts[st.Worker], Task: st.Task, Attempt: st.Attempt, Reason: how}
}

// waitForPoll waits for a look at a worker.
func (bd *testBed) waitForPoll(id WorkerID) Poll {
	bd.t.Helper()
	for range 50 {
		bd.plan()
		if lk, ok := bd.pendingPolls[id]; ok {
			return lk
		}
		bd.advance(50 * time.Millisecond)
	}
	bd.t.Fatalf("%s is not looked at", id)
	return Poll{}
}

func taskStep(count int) job.Step {
	return job.Step{Count: count, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}}
}

// confirmSaves tells the core that the save among some orders is kept.
func (bd *testBed) confirmSaves(orders []Order) {
	for _, od := range orders {
		if _, ok := od.(Save); ok {
			bd.core.Saved(bd.now, 9)
		}
	}
}

// failPoll leaves the open look at a worker without an answer.
func (bd *testBed) failPoll(id WorkerID) {
	bd.t.Helper()
	lk, open := bd.pendingPolls[id]
	if !open {
		return
	}
	if wk := bd.core.workers[id]; lk.LeaseUntil != 0 && wk.failedPolls > 0 {
		bd.t.Fatal("a silent worker's lease is renewed")
	}
	delete(bd.pendingPolls, id)
	bd.core.HandlePoll(bd.now, PollResult{Poll: lk, Outcome: NoAnswer, Sent: bd.now, Received: bd.now})
}

// runUnresponsive lets a time pass in which one worker answers nothing and the others do. It returns how many starts were ordered.
func (bd *testBed) runUnresponsive(id WorkerID, span time.Duration) int {
	bd.t.Helper()
	const step = 250 * time.Millisecond
	count := 0
	for end := bd.now.Add(span); bd.now.Before(end); bd.advance(step) {
		for _, st := range startsIn(bd.plan()) {
			bd.answerOrder(st, Done)
			count++
		}
		bd.failPoll(id)
		bd.answerPendingPolls()
	}
	return count
}
