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

// TestRelayOrderRoundTrip checks that orders are unchanged after conversion to and from the wire form.
func TestRelayOrderRoundTrip(t *testing.T) {
	for _, od := range []cell.Order{
		cell.Poll{Worker: "w", Address: "a:1", Token: 1 << 40, LeaseUntil: 77, AckedEnd: 5, Wait: 900 * time.Millisecond},
		cell.Start{Worker: "w", Address: "a:1", Token: 9, Task: relayedTask, Attempt: 4, Payload: "text", LeaseUntil: 88, Checkpoint: "point", Ticket: "ticket"},
		cell.Stop{Worker: "w", Address: "a:1", Token: 9, Task: relayedTask, Attempt: 4},
		cell.Throttle{Worker: "w", Address: "a:1", Token: 9, Task: relayedTask, Attempt: 4, Percent: 30},
	} {
		if got := fromRelayOrder(toRelayOrder(6, od)); !reflect.DeepEqual(got, od) {
			t.Errorf("%+v arrived as %+v", od, got)
		}
	}
	if ro := toRelayOrder(7, cell.Save{}); ro != nil {
		t.Errorf("a save is relayed to a peer: %v", ro)
	}
}

// TestRelayPollResultRoundTrip checks that the result of a poll is unchanged, and counts as received when it reached the peer.
func TestRelayPollResultRoundTrip(t *testing.T) {
	poll := cell.Poll{Worker: "w", Address: "a:1", Token: 9}
	sentAt := time.Unix(1_700_000_000, 0)
	receivedAt := sentAt.Add(time.Second)
	want := cell.PollResult{
		Poll: poll, Outcome: cell.Done, Sent: sentAt, Received: receivedAt.Add(-30 * time.Millisecond), Clock: 4711,
		Running: []cell.Running{{Task: relayedTask, Attempt: 2, Checkpoint: "point", Progress: 41, Metric: 700}},
		Ended:   []cell.End{{Number: 12, Task: relayedTask, Attempt: 1, Reason: cell.EndFailed, Checkpoint: "old"}},
	}
	rr := toRelayPollResult(3, want)
	rr.HeldMicros = 30_000
	if got := fromRelayPollResult(rr, poll, sentAt, receivedAt); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v arrived as %+v", want, got)
	}
	rr.Outcome = 99
	if got := fromRelayPollResult(rr, poll, sentAt, receivedAt); got.Outcome != cell.NoAnswer {
		t.Errorf("an unknown outcome counts as %s", got.Outcome)
	}
}

// TestRelayAssignmentIsStable checks that a peer that joins or leaves moves only its own share of the workers.
func TestRelayAssignmentIsStable(t *testing.T) {
	links := func(count int) []*relayLink {
		var list []*relayLink
		for i := range count {
			list = append(list, &relayLink{node: node{Name: fmt.Sprintf("n%d", i), Hall: job.HallID(fmt.Sprintf("h%d", i%3)), Power: 0.2}})
		}
		return list
	}
	const workers = 300
	moved, otherHall := 0, 0
	for i := range workers {
		id, hall := fmt.Sprintf("w%d", i), job.HallID(fmt.Sprintf("h%d", i%3))
		before, after := bestRelay(id, hall, links(12)), bestRelay(id, hall, links(13))
		if before.node.Name != after.node.Name {
			moved++
		}
		if before.node.Hall != hall {
			otherHall++
		}
	}
	// One of five peers in its data hall is new: a fifth of a third of the workers moves.
	if moved > workers/8 || otherHall > 0 {
		t.Errorf("%d of %d workers moved, %d have a peer in another data hall", moved, workers, otherHall)
	}
	if bestRelay("w", "elsewhere", links(3)) == nil {
		t.Error("a worker in a data hall without peers got no peer")
	}
}

// relayPeer is a peer whose Relay calls are answered by the test.
type relayPeer struct {
	peer.Cells
	call func(*peer.RelayRequest) (*peer.RelayResponse, error)
}

func (rp relayPeer) Relay(_ context.Context, rq *peer.RelayRequest) (*peer.RelayResponse, error) {
	return rp.call(rq)
}

// linkTo returns a link to a peer, and an owner that only queues events.
func linkTo(call func(*peer.RelayRequest) (*peer.RelayResponse, error)) (*relayLink, *owner) {
	fl := New(Options{Name: "one", Store: &faultyStore{mem: newMemStore()}, Workers: newWorkers(time.Second), Machines: noMachines{}, Format: testFormat{}})
	ow := &owner{fl: fl, name: "pool", wakeup: make(chan struct{}, 1)}
	ow.relays = newRelays(ow)
	ln := &relayLink{rs: ow.relays, node: node{Name: "two", Incarnation: "i2"}, peer: relayPeer{call: call}, pending: map[uint64]pendingOrder{}}
	return ln, ow
}

// waitEvents waits until the owner has queued a number of events for the core.
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

// TestOrdersAreSettledWhenPeerFails checks that every order gets an outcome when the peer fails, and that the next order is not
// relayed to that peer.
func TestOrdersAreSettledWhenPeerFails(t *testing.T) {
	for name, call := range map[string]func(*peer.RelayRequest) (*peer.RelayResponse, error){
		"peer unreachable": func(*peer.RelayRequest) (*peer.RelayResponse, error) {
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		},
		"silent": func(*peer.RelayRequest) (*peer.RelayResponse, error) { return nil, errors.New("no answer") },
		"peer restarted": func(*peer.RelayRequest) (*peer.RelayResponse, error) {
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
				t.Error("an order was relayed to a peer that has just failed")
			}
		})
	}
}

// TestOrdersToUnreachablePeerCountAsNotSent checks that orders count as not sent only if no connection to the peer could be made;
// otherwise they may have been carried out.
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

// TestResultForEarlierLinkIsIgnored guards against results that are assigned to the wrong order. After a power loss of all
// instances, an owner relayed polls to a peer whose row was still that of its former incarnation, then noticed and opened a new
// link. The results of the first polls were taken for those of other workers.
func TestResultForEarlierLinkIsIgnored(t *testing.T) {
	var mu sync.Mutex
	var ids []uint64
	answers := true
	call := func(rq *peer.RelayRequest) (*peer.RelayResponse, error) {
		mu.Lock()
		defer mu.Unlock()
		rp := &peer.RelayResponse{Incarnation: "i3"}
		for _, ro := range rq.Orders {
			ids = append(ids, ro.Id)
		}
		if rq.WaitMillis > 0 && answers {
			// The results of the link that used the peer's former incarnation.
			answers = false
			for _, id := range ids {
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
	earlierOrders := int(ow.fl.relayIDs.Load())
	later := &relayLink{rs: ow.relays, node: node{Name: "two", Incarnation: "i3"}, peer: relayPeer{call: func(rq *peer.RelayRequest) (*peer.RelayResponse, error) {
		rp, err := call(rq)
		mu.Lock()
		defer mu.Unlock()
		if rq.WaitMillis > 0 {
			rp.Results = append(rp.Results, &peer.RelayResult{Id: ids[0], Outcome: int32(cell.Done)})
		}
		return rp, err
	}}, pending: map[uint64]pendingOrder{}}
	later.setCallPause(time.Millisecond)
	later.send(t.Context(), cell.Poll{Worker: "other"})
	time.Sleep(50 * time.Millisecond)
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if got := len(ow.events); got != earlierOrders {
		t.Errorf("%d results of an earlier link were taken for those of another worker", got-earlierOrders)
	}
}

// TestPeerBackoffGrowsWithFailures checks that the backoff grows with consecutive failures, and that an answer resets it.
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
			t.Errorf("backoff %v, want %v", got, want)
		}
		now = ln.backoffUntil
	}
	ln.recordAnswer()
	if got := fail(); got != relayBackoffMin {
		t.Errorf("backoff %v after an answer", got)
	}
}

// TestLostResultCountsAsNoAnswer covers a healthy peer that never returns the result of an order.
func TestLostResultCountsAsNoAnswer(t *testing.T) {
	ln, ow := linkTo(func(rq *peer.RelayRequest) (*peer.RelayResponse, error) {
		return &peer.RelayResponse{Incarnation: "i2"}, nil
	})
	var offset atomic.Int64
	start := time.Now()
	ow.fl.opts.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	ln.setCallPause(time.Millisecond)
	if !ln.send(t.Context(), cell.Poll{Worker: "w", Wait: time.Second}) {
		t.Fatal("the order was not accepted")
	}
	ln.expireOverdue()
	if ow.mu.Lock(); len(ow.events) != 0 && time.Since(start) < relayResultTimeout {
		t.Error("settled before the result timeout")
	}
	ow.mu.Unlock()
	offset.Store(int64(relayResultTimeout + 2*time.Second))
	waitEvents(t, ow, 1)
}

// TestLargeCellUsesRelays checks that the owner's peers make most calls to workers, that every task is started once, and that
// jobs complete while the peers are stopped one after the other.
func TestLargeCellUsesRelays(t *testing.T) {
	cl := newCluster(t, 50*time.Millisecond)
	for i := range relayThreshold + 10 {
		cl.write(Row{Table: "registry", Key: fmt.Sprintf("x%d", i), Value: []byte("{}")})
	}
	counts := &callCount{fakeWorkers: cl.workers, byNode: map[string]int{}}
	cl.workersFor = func(name string) Workers { return countingWorkers{counts, name} }
	var nodes []*testNode
	for _, name := range []string{"one", "two", "three"} {
		nodes = append(nodes, cl.start(name))
	}
	ow := cl.waitOwner(nodes...)
	cl.eventually("peers are assigned", func() bool {
		rs := ow.ownerOf("pool").relays
		rs.mu.Lock()
		defer rs.mu.Unlock()
		return len(rs.assigned) > relayThreshold
	})
	submitted := 0
	submit := func() {
		for range 10 {
			if result := cl.submit(ow, job.ID(fmt.Sprintf("%016x", submitted))); result != Accepted {
				t.Fatalf("result %d", result)
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
	if own, all := counts.calls(ow.opts.Name); own*2 > all {
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

// callCount counts the orders sent to workers by node.
type callCount struct {
	*fakeWorkers
	mu     sync.Mutex
	byNode map[string]int
}

func (cc *callCount) reset() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.byNode = map[string]int{}
}

// calls returns the number of calls of a node, and of all nodes.
func (cc *callCount) calls(name string) (own, all int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, count := range cc.byNode {
		all += count
	}
	return cc.byNode[name], all
}

// countingWorkers counts the calls that one node makes to workers.
type countingWorkers struct {
	*callCount
	name string
}

func (cw countingWorkers) Send(ctx context.Context, od cell.Order) cell.OrderResult {
	cw.callCount.mu.Lock()
	cw.byNode[cw.name]++
	cw.callCount.mu.Unlock()
	return cw.fakeWorkers.Send(ctx, od)
}
