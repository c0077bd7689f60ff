package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
)

var relayedTask = job.Task{Job: "0123456789abcdef", Run: 3, Step: 1, Index: 17}

// TestOrdersReachAPeerWhole: an order is the same at the peer, whatever fields it has.
func TestRelayOrderRoundTrip(t *testing.T) {
	for _, od := range []cell.Order{
		cell.Poll{Worker: "w", Address: "a:1", Token: 1 << 40, LeaseUntil: 77, AckedEnd: 5, Wait: 900 * time.Millisecond},
		cell.Start{Worker: "w", Address: "a:1", Token: 9, Task: relayedTask, Attempt: 4, Payload: "text", LeaseUntil: 88, Checkpoint: "point", Ticket: "ticket"},
		cell.Stop{Worker: "w", Address: "a:1", Token: 9, Task: relayedTask, Attempt: 4},
		cell.Throttle{Worker: "w", Address: "a:1", Token: 9, Task: relayedTask, Attempt: 4, Percent: 30},
	} {
		if got := fromRelayOrder(toRelayOrder(6, od)); !reflect.DeepEqual(got, od) {
			t.Errorf("%+v came as %+v", od, got)
		}
	}
	if ro := toRelayOrder(7, cell.Save{}); ro != nil {
		t.Errorf("a save is handed to a peer: %v", ro)
	}
}

// TestResultOfALookComesBackWhole: what the worker listed is the same, and it counts as received when it reached the peer.
func TestRelayPollResultRoundTrip(t *testing.T) {
	lk := cell.Poll{Worker: "w", Address: "a:1", Token: 9}
	sent := time.Unix(1_700_000_000, 0)
	came := sent.Add(time.Second)
	want := cell.PollResult{
		Poll: lk, Outcome: cell.Done, Sent: sent, Received: came.Add(-30 * time.Millisecond), Clock: 4711,
		Running: []cell.Running{{Task: relayedTask, Attempt: 2, Checkpoint: "point", Progress: 41, Metric: 700}},
		Ended:   []cell.End{{Number: 12, Task: relayedTask, Attempt: 1, Reason: cell.EndFailed, Checkpoint: "old"}},
	}
	rr := toRelayPollResult(3, want)
	rr.HeldMicros = 30_000
	if got := fromRelayPollResult(rr, lk, sent, came); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v came as %+v", want, got)
	}
	rr.Outcome = 99
	if got := fromRelayPollResult(rr, lk, sent, came); got.Outcome != cell.NoAnswer {
		t.Errorf("an outcome that is not known here counts as %s", got.Outcome)
	}
}

// TestRelaysAreStable: more workers add peers and change none, and a peer that comes or goes moves only its own share of workers.
func TestRelayAssignmentIsStable(t *testing.T) {
	links := func(count int) []*relayLink {
		var list []*relayLink
		for i := range count {
			list = append(list, &relayLink{node: node{Name: fmt.Sprintf("n%d", i), Hall: fmt.Sprintf("h%d", i%3), Power: 0.2}})
		}
		return list
	}
	const workers = 300
	moved, far := 0, 0
	for i := range workers {
		id, hall := fmt.Sprintf("w%d", i), fmt.Sprintf("h%d", i%3)
		before, after := bestRelay(id, hall, links(12)), bestRelay(id, hall, links(13))
		if before.node.Name != after.node.Name {
			moved++
		}
		if before.node.Hall != hall {
			far++
		}
	}
	// One of five peers in its hall is new: a fifth of a third of the workers moves.
	if moved > workers/8 || far > 0 {
		t.Errorf("%d of %d workers moved, %d have a peer in another hall", moved, workers, far)
	}
	if bestRelay("w", "elsewhere", links(3)) == nil {
		t.Error("a worker in a hall without peers has none")
	}
}

// relayPeer is a peer that is reached in the test's own way.
type relayPeer struct {
	peer.Cells
	call func(*peer.RelayRequest) (*peer.RelayResponse, error)
}

func (rp relayPeer) Relay(_ context.Context, rq *peer.RelayRequest) (*peer.RelayResponse, error) {
	return rp.call(rq)
}

// linkTo is a link to a peer, of an owner that only takes events.
func linkTo(call func(*peer.RelayRequest) (*peer.RelayResponse, error)) (*relayLink, *owner) {
	fl := New(Options{Name: "one", Store: &faultyStore{mem: newMemStore()}, Workers: newWorkers(time.Second), Machines: noMachines{}, Format: testFormat{}})
	ow := &owner{fl: fl, name: "pool", wakeup: make(chan struct{}, 1)}
	ow.relays = newRelays(ow)
	ln := &relayLink{rs: ow.relays, node: node{Name: "two", Incarnation: "i2"}, peer: relayPeer{call: call}, pending: map[uint64]pendingOrder{}}
	return ln, ow
}

// waitEvents waits until the core would have been told so much.
func waitEvents(t *testing.T, ow *owner, want int) {
	t.Helper()
	for until := time.Now().Add(testTimeout); ; time.Sleep(testPollInterval) {
		ow.mu.Lock()
		got := len(ow.events)
		ow.mu.Unlock()
		if got == want {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d events, want %d", got, want)
		}
	}
}

// TestPeerThatFailsSettlesWhatItWasGiven: every order gets an outcome, and the next one is not given to that peer.
func TestOrdersAreSettledWhenPeerFails(t *testing.T) {
	for name, call := range map[string]func(*peer.RelayRequest) (*peer.RelayResponse, error){
		"not reached": func(*peer.RelayRequest) (*peer.RelayResponse, error) {
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		},
		"silent": func(*peer.RelayRequest) (*peer.RelayResponse, error) { return nil, errors.New("no answer") },
		"started anew": func(*peer.RelayRequest) (*peer.RelayResponse, error) {
			return &peer.RelayResponse{Incarnation: "i3"}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			ln, ow := linkTo(call)
			for range 3 {
				ln.send(t.Context(), cell.Stop{Worker: "w", Task: relayedTask, Attempt: 1})
			}
			waitEvents(t, ow, int(ow.fl.relayIDs.Load()))
			if ln.send(t.Context(), cell.Stop{Worker: "w"}) {
				t.Error("an order is given to a peer that has just failed")
			}
		})
	}
}

// TestOrdersThatCouldNotBeHandedOverAreNotSent: where no connection to the peer was to be had; otherwise they may have been carried out.
func TestOrdersToUnreachablePeerCountAsNotSent(t *testing.T) {
	for want, err := range map[cell.Outcome]error{
		cell.NotSent:  &net.OpError{Op: "dial", Err: errors.New("refused")},
		cell.NoAnswer: errors.New("no answer"),
	} {
		ln, ow := linkTo(func(rq *peer.RelayRequest) (*peer.RelayResponse, error) {
			if len(rq.Orders) > 0 {
				return nil, err
			}
			return &peer.RelayResponse{Incarnation: "i2"}, nil
		})
		ln.setCallPause(time.Millisecond)
		ln.send(t.Context(), cell.Stop{Worker: "w", Task: relayedTask, Attempt: 1})
		waitEvents(t, ow, 1)
		if got := ow.fl.metrics.outcomes[want].Count(); got != 1 {
			t.Errorf("%v: %d orders are %s", err, got, want)
		}
	}
}

// TestResultForAnEarlierLinkIsNotTakenForAnother: after all instances lost power an owner gave looks to a peer whose row was still that of
// its earlier run, then found out and began anew; the results of the first looks were taken for those at other workers.
func TestResultForEarlierLinkIsIgnored(t *testing.T) {
	var mu sync.Mutex
	var given []uint64
	answers := true
	call := func(rq *peer.RelayRequest) (*peer.RelayResponse, error) {
		mu.Lock()
		defer mu.Unlock()
		rp := &peer.RelayResponse{Incarnation: "i3"}
		for _, ro := range rq.Orders {
			given = append(given, ro.Id)
		}
		if rq.WaitMillis > 0 && answers {
			// What the peer did for the link that knew it by its earlier run.
			answers = false
			for _, id := range given {
				rp.Results = append(rp.Results, &peer.RelayResult{Id: id, Outcome: int32(cell.Done)})
			}
		}
		return rp, nil
	}
	earlier, ow := linkTo(call)
	for range 3 {
		earlier.send(t.Context(), cell.Poll{Worker: "one"})
	}
	waitEvents(t, ow, int(ow.fl.relayIDs.Load()))
	before := int(ow.fl.relayIDs.Load())
	later := &relayLink{rs: ow.relays, node: node{Name: "two", Incarnation: "i3"}, peer: relayPeer{call: func(rq *peer.RelayRequest) (*peer.RelayResponse, error) {
		rp, err := call(rq)
		mu.Lock()
		defer mu.Unlock()
		if rq.WaitMillis > 0 {
			rp.Results = append(rp.Results, &peer.RelayResult{Id: given[0], Outcome: int32(cell.Done)})
		}
		return rp, err
	}}, pending: map[uint64]pendingOrder{}}
	later.setCallPause(time.Millisecond)
	later.send(t.Context(), cell.Poll{Worker: "other"})
	time.Sleep(50 * time.Millisecond)
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if got := len(ow.events); got != before {
		t.Errorf("%d results of an earlier link were taken for another worker's", got-before)
	}
}

// TestPeerThatFailsAgainAndAgainIsPassedOverLonger: one that answers in between starts anew.
func TestPeerBackoffGrowsWithFailures(t *testing.T) {
	ln, ow := linkTo(nil)
	now := time.Unix(1_700_000_000, 0)
	ow.fl.opts.Now = func() time.Time { return now }
	fail := func() time.Duration {
		ln.backOff("hand over", errRestarted)
		return ln.backoffUntil.Sub(now)
	}
	for _, want := range []time.Duration{relayBackoffMin, 2 * relayBackoffMin, 4 * relayBackoffMin, relayBackoffMax, relayBackoffMax} {
		if got := fail(); got != want {
			t.Errorf("passed over for %v, want %v", got, want)
		}
		now = ln.backoffUntil
	}
	ln.recordAnswer()
	if got := fail(); got != relayBackoffMin {
		t.Errorf("passed over for %v after it answered", got)
	}
}

// TestResultThatIsLostCountsAsSilence: the peer is well, but never tells what became of an order.
func TestLostResultCountsAsNoAnswer(t *testing.T) {
	ln, ow := linkTo(func(rq *peer.RelayRequest) (*peer.RelayResponse, error) {
		return &peer.RelayResponse{Incarnation: "i2"}, nil
	})
	var ahead atomic.Int64
	began := time.Now()
	ow.fl.opts.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	ln.setCallPause(time.Millisecond)
	if !ln.send(t.Context(), cell.Poll{Worker: "w", Wait: time.Second}) {
		t.Fatal("not taken")
	}
	ln.expireOverdue()
	if ow.mu.Lock(); len(ow.events) != 0 && time.Since(began) < relayResultTimeout {
		t.Error("settled before its time")
	}
	ow.mu.Unlock()
	ahead.Store(int64(relayResultTimeout + 2*time.Second))
	waitEvents(t, ow, 1)
}

// TestLargeCellRunsThroughPeers: most calls to workers are made by the owner's peers, every task is started once, and jobs end while
// the peers are taken away one after the other.
func TestLargeCellUsesRelays(t *testing.T) {
	cl := newCluster(t, 50*time.Millisecond)
	for i := range relayThreshold + 10 {
		cl.write(Row{Table: "registry", Key: fmt.Sprintf("x%d", i), Value: []byte("{}")})
	}
	counts := &callCount{fakeWorkers: cl.workers, by: map[string]int{}}
	cl.workersFor = func(name string) Workers { return countingWorkers{counts, name} }
	var nodes []*testNode
	for _, name := range []string{"one", "two", "three"} {
		nodes = append(nodes, cl.start(name))
	}
	ow := cl.waitOwner(nodes...)
	cl.eventually("peers are chosen", func() bool {
		rs := ow.ownerOf("pool").relays
		rs.mu.Lock()
		defer rs.mu.Unlock()
		return len(rs.assigned) > relayThreshold
	})
	submitted := 0
	submit := func() {
		for range 10 {
			if result := cl.submit(ow, job.ID(fmt.Sprintf("%016x", submitted))); result != Accepted {
				t.Fatalf("verdict %d", result)
			}
			submitted++
		}
	}
	counts.reset()
	submit()
	for i := range submitted {
		cl.waitCompleted(ow, job.ID(fmt.Sprintf("%016x", i)))
		cl.checkRanOnce(job.ID(fmt.Sprintf("%016x", i)))
	}
	if own, all := counts.of(ow.opts.Name); own*2 > all {
		t.Errorf("the owner made %d of %d calls to workers itself", own, all)
	}
	for _, nd := range nodes {
		if nd != ow {
			submit()
			nd.stop()
		}
	}
	submit()
	for i := range submitted {
		cl.waitCompleted(ow, job.ID(fmt.Sprintf("%016x", i)))
	}
}

// callCount counts the orders given to workers by node.
type callCount struct {
	*fakeWorkers
	mu sync.Mutex
	by map[string]int
}

func (cc *callCount) reset() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.by = map[string]int{}
}

// of returns the calls of a node, and of all.
func (cc *callCount) of(name string) (own, all int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, count := range cc.by {
		all += count
	}
	return cc.by[name], all
}

// countedWorkers are the workers as one node calls them.
type countingWorkers struct {
	*callCount
	name string
}

func (cw countingWorkers) Send(ctx context.Context, od cell.Order) cell.OrderResult {
	cw.callCount.mu.Lock()
	cw.by[cw.name]++
	cw.callCount.mu.Unlock()
	return cw.fakeWorkers.Send(ctx, od)
}
