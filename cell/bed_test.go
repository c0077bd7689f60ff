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
	open map[WorkerID]Poll
	// saved makes every save that is ordered kept at once.
	saved bool
}

const (
	bedEpoch = job.Epoch(100)
	bedPool  = job.PoolID("pool")
)

func newBed(t *testing.T, workers int) *bed {
	t.Helper()
	bd := &bed{t: t, now: time.Unix(1_700_000_000, 0), ends: map[WorkerID]int64{}, open: map[WorkerID]Poll{}}
	bd.core = New(bedPool, bedEpoch, Options{StopTimeout: 400 * time.Millisecond, LeaseDuration: 5 * time.Second})
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
	bd.core.WorkersRecorded([]WorkerRef{{ID: id, Address: string(id)}})
}

// clock is every worker's.
func (bd *bed) clock() int64 { return bd.now.UnixMilli() - 1_699_999_000_000 }

func (bd *bed) pass(span time.Duration) { bd.now = bd.now.Add(span) }

// plan returns the orders that are due.
func (bd *bed) plan() []Order {
	bd.core.OwnershipConfirmed(bd.now)
	bd.core.RegistrationsRead(bd.now)
	return bd.planAsIs()
}

// planAsIs does so for an owner that is not confirmed anew.
func (bd *bed) planAsIs() []Order {
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
		if lk, ok := od.(Poll); ok {
			bd.looked(lk, nil, nil)
		}
	}
}

// answerAll answers the looks that are open with nothing.
func (bd *bed) answerAll() {
	for _, lk := range bd.open {
		bd.looked(lk, nil, nil)
	}
}

// looked answers a look.
func (bd *bed) looked(lk Poll, running []Running, ended []End) {
	delete(bd.open, lk.Worker)
	bd.core.HandlePoll(bd.now, PollResult{Poll: lk, Outcome: Done, Sent: bd.now, Received: bd.now, Clock: bd.clock(), Running: running, Ended: ended})
}

func (bd *bed) add(id job.ID, epoch job.Epoch, steps ...job.Step) {
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: id, Queue: "q", Pool: bedPool, Steps: steps, Epoch: epoch, AcceptedAt: bd.now}})
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

func looksOf(orders []Order) map[WorkerID]Poll {
	list := map[WorkerID]Poll{}
	for _, od := range orders {
		if lk, ok := od.(Poll); ok {
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

// wantKept wants starts that come only once their intents are kept.
func (bd *bed) wantKept(want int) []Start {
	bd.t.Helper()
	orders := bd.plan()
	bd.wantStarts(orders, 0)
	bd.wantStarts(bd.plan(), 0)
	bd.keep(orders)
	return bd.wantStarts(bd.plan(), want)
}

func (bd *bed) ordered(od Order, oc Outcome) {
	bd.core.HandleOrder(bd.now, OrderResult{Order: od, Outcome: oc, Sent: bd.now, Received: bd.now, Clock: bd.clock()})
}

// end makes an end with the worker's next number.
func (bd *bed) end(st Start, how EndReason) End {
	bd.ends[st.Worker]++
	return End{Number: bd.ends[st.Worker], Task: st.Task, Attempt: st.Attempt, Reason: how}
}

// nextLook waits for a look at a worker.
func (bd *bed) nextLook(id WorkerID) Poll {
	bd.t.Helper()
	for range 50 {
		bd.plan()
		if lk, ok := bd.open[id]; ok {
			return lk
		}
		bd.pass(50 * time.Millisecond)
	}
	bd.t.Fatalf("%s is not looked at", id)
	return Poll{}
}

func tasks(count int) job.Step {
	return job.Step{Count: count, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}}
}

// keep tells the core that the save among some orders is kept.
func (bd *bed) keep(orders []Order) {
	for _, od := range orders {
		if _, ok := od.(Save); ok {
			bd.core.Saved(bd.now, 9)
		}
	}
}

// silence leaves the open look at a worker without an answer.
func (bd *bed) silence(id WorkerID) {
	bd.t.Helper()
	lk, open := bd.open[id]
	if !open {
		return
	}
	if wk := bd.core.workers[id]; lk.LeaseUntil != 0 && wk.fails > 0 {
		bd.t.Fatal("a silent worker's lease is renewed")
	}
	delete(bd.open, id)
	bd.core.HandlePoll(bd.now, PollResult{Poll: lk, Outcome: NoAnswer, Sent: bd.now, Received: bd.now})
}

// silenced lets a time pass in which one worker answers nothing and the others do. It returns how many starts were ordered.
func (bd *bed) silenced(id WorkerID, span time.Duration) int {
	bd.t.Helper()
	const step = 250 * time.Millisecond
	count := 0
	for end := bd.now.Add(span); bd.now.Before(end); bd.pass(step) {
		for _, st := range starts(bd.plan()) {
			bd.ordered(st, Done)
			count++
		}
		bd.silence(id)
		bd.answerAll()
	}
	return count
}
