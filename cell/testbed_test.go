package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// testBed is a core with simulated workers that are controlled by the test.
type testBed struct {
	t    *testing.T
	now  time.Time
	core *Core
	// pool is the pool of the cell.
	pool job.PoolID
	// endCounts is the number of ends that each worker has reported.
	endCounts map[WorkerID]int64
	// unreadEnds holds the ends that no poll has reported yet.
	unreadEnds map[WorkerID][]End
	// pendingPolls holds the polls without an answer.
	pendingPolls map[WorkerID]Poll
	// autoSave confirms every save as soon as it is ordered.
	autoSave bool
}

const (
	testEpoch = job.Epoch(100)
	testPool  = job.PoolID("pool")
)

// newTestBed returns a test bed with a number of workers that have answered their first poll.
func newTestBed(t *testing.T, workers int) *testBed {
	t.Helper()
	return newTestBedOf(t, testPool, workers)
}

// newTestBedOf returns a test bed of a pool with a number of workers that have answered their first poll.
func newTestBedOf(t *testing.T, pool job.PoolID, workers int) *testBed {
	t.Helper()
	bd := &testBed{t: t, now: time.Unix(1_700_000_000, 0), pool: pool, endCounts: map[WorkerID]int64{}, unreadEnds: map[WorkerID][]End{}, pendingPolls: map[WorkerID]Poll{}}
	bd.core = New(pool, testEpoch, Options{MaxStopTime: 400 * time.Millisecond, LeaseDuration: 5 * time.Second})
	bd.core.TakeOver(bd.now, bd.now, nil, true)
	bd.core.Configure([]job.Queue{{ID: "q", Pool: pool, MaxAttempts: 2, Stretch: 1.5, Slack: time.Second}})
	for i := range workers {
		bd.register(testWorkerID(i))
	}
	bd.answerDuePolls()
	return bd
}

func testWorkerID(i int) WorkerID { return WorkerID([]string{"w0", "w1", "w2", "w3"}[i]) }

// register registers a worker and records it as in use.
func (bd *testBed) register(id WorkerID) {
	bd.core.Register(bd.now, Worker{ID: id, Pool: bd.pool, Address: string(id), Rack: "r" + string(id), Labels: []string{"a", "r" + string(id)}, Room: job.Size{CPUMillis: 4000, MemoryMB: 4000}})
	bd.core.WorkersRecorded([]WorkerRef{{ID: id, Address: string(id)}})
}

// clock returns the time of the workers' clocks in milliseconds.
func (bd *testBed) clock() int64 { return bd.now.UnixMilli() - 1_699_999_000_000 }

func (bd *testBed) advance(duration time.Duration) { bd.now = bd.now.Add(duration) }

// plan confirms the ownership and returns the orders that are due.
func (bd *testBed) plan() []Order {
	bd.core.OwnershipConfirmed(bd.now)
	bd.core.RegistrationsRead(bd.now)
	bd.core.EvacuationsRead(bd.now)
	return bd.planUnconfirmed()
}

// planUnconfirmed returns the orders that are due without confirming the ownership.
func (bd *testBed) planUnconfirmed() []Order {
	orders := bd.core.Plan(bd.now)
	for id, poll := range pollsByWorker(orders) {
		bd.pendingPolls[id] = poll
	}
	if bd.autoSave {
		bd.confirmSaves(orders)
	}
	return orders
}

// answerDuePolls answers the polls that are due without reporting any attempts.
func (bd *testBed) answerDuePolls() {
	for _, od := range bd.plan() {
		if poll, ok := od.(Poll); ok {
			bd.answerPoll(poll, nil, nil)
		}
	}
}

// answerPendingPolls answers the pending polls without reporting any attempts.
func (bd *testBed) answerPendingPolls() {
	for _, poll := range bd.pendingPolls {
		bd.answerPoll(poll, nil, nil)
	}
}

// answerPoll answers a poll with running and ended attempts.
func (bd *testBed) answerPoll(poll Poll, running []Running, ended []End) {
	delete(bd.pendingPolls, poll.Worker)
	bd.core.HandlePoll(bd.now, PollResult{Poll: poll, Outcome: Done, Sent: bd.now, Received: bd.now, Clock: bd.clock(), Running: running, Ended: ended})
}

// addJob adds a job that was accepted under an epoch.
func (bd *testBed) addJob(id job.ID, epoch job.Epoch, steps ...job.Step) {
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: id, Queue: "q", Pool: bd.pool, Steps: steps, Epoch: epoch, AcceptedAt: bd.now}})
}

// runTask adds a job of one task and returns the start of the task, which its worker has carried out. Saves are confirmed from then on.
func (bd *testBed) runTask(id job.ID) Start {
	bd.t.Helper()
	bd.autoSave = true
	bd.addJob(id, testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	return st
}

// startsIn returns the starts among orders.
func startsIn(orders []Order) []Start {
	var list []Start
	for _, od := range orders {
		if st, ok := od.(Start); ok {
			list = append(list, st)
		}
	}
	return list
}

// pollsByWorker returns the polls among orders by worker.
func pollsByWorker(orders []Order) map[WorkerID]Poll {
	list := map[WorkerID]Poll{}
	for _, od := range orders {
		if poll, ok := od.(Poll); ok {
			list[poll.Worker] = poll
		}
	}
	return list
}

// wantStarts fails the test unless the orders contain a number of starts, and returns the starts.
func (bd *testBed) wantStarts(orders []Order, want int) []Start {
	bd.t.Helper()
	got := startsIn(orders)
	if len(got) != want {
		bd.t.Fatalf("%d starts, want %d: %+v", len(got), want, got)
	}
	return got
}

// wantStartsAfterSave fails the test unless a number of starts is ordered, and only once their intents are saved.
func (bd *testBed) wantStartsAfterSave(want int) []Start {
	bd.t.Helper()
	orders := bd.plan()
	bd.wantStarts(orders, 0)
	bd.wantStarts(bd.plan(), 0)
	bd.confirmSaves(orders)
	return bd.wantStarts(bd.plan(), want)
}

// answerOrder answers an order with an outcome.
func (bd *testBed) answerOrder(od Order, oc Outcome) {
	bd.core.HandleOrder(bd.now, OrderResult{Order: od, Outcome: oc, Sent: bd.now, Received: bd.now, Clock: bd.clock()})
}

// newEnd returns an end of a started attempt with the worker's next number.
func (bd *testBed) newEnd(st Start, reason EndReason) End {
	bd.endCounts[st.Worker]++
	return End{Number: bd.endCounts[st.Worker], Task: st.Task, Attempt: st.Attempt, Reason: reason}
}

// waitForPoll advances the time until a worker is polled.
func (bd *testBed) waitForPoll(id WorkerID) Poll {
	bd.t.Helper()
	for range 50 {
		bd.plan()
		if poll, ok := bd.pendingPolls[id]; ok {
			return poll
		}
		bd.advance(50 * time.Millisecond)
	}
	bd.t.Fatalf("%s is not polled", id)
	return Poll{}
}

// taskStep returns a step of small tasks.
func taskStep(count int) job.Step {
	return job.Step{Count: count, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}}
}

// confirmSaves confirms the saves among orders to the core.
func (bd *testBed) confirmSaves(orders []Order) {
	for _, od := range orders {
		if _, ok := od.(Save); ok {
			bd.core.Saved(bd.now, 9)
		}
	}
}

// failPoll reports that the pending poll of a worker got no answer.
func (bd *testBed) failPoll(id WorkerID) {
	bd.t.Helper()
	poll, pending := bd.pendingPolls[id]
	if !pending {
		return
	}
	if wk := bd.core.workers[id]; poll.LeaseUntil != 0 && wk.failedPolls > 0 {
		bd.t.Fatal("the lease of an unresponsive worker is renewed")
	}
	delete(bd.pendingPolls, id)
	bd.core.HandlePoll(bd.now, PollResult{Poll: poll, Outcome: NoAnswer, Sent: bd.now, Received: bd.now})
}

// runUnresponsive advances the time while one worker answers no polls and the others answer all. It returns the number of starts that were ordered.
func (bd *testBed) runUnresponsive(id WorkerID, duration time.Duration) int {
	bd.t.Helper()
	const step = 250 * time.Millisecond
	count := 0
	for end := bd.now.Add(duration); bd.now.Before(end); bd.advance(step) {
		for _, st := range startsIn(bd.plan()) {
			bd.answerOrder(st, Done)
			count++
		}
		bd.failPoll(id)
		bd.answerPendingPolls()
	}
	return count
}
