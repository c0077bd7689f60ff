package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/peer"
)

// Timeouts and bounds of carrying out orders for other entry instances.
const (
	// senderRetention is how long the results of a sender that no longer calls are kept.
	senderRetention = 10 * time.Second
	// maxPendingResults bounds the results that wait for one sender. Further results are dropped, which the sender treats like
	// lost answers.
	maxPendingResults = 4096
	// relayQueueTimeout is how long an order may wait in a worker's queue before it is returned as not sent.
	relayQueueTimeout = 1200 * time.Millisecond
	// relayPollTimeout bounds how long a poll waits for a result.
	relayPollTimeout = 500 * time.Millisecond
)

// relay carries out orders for the owners of cells. It holds no state that has to survive: the sender treats lost orders and
// results as unanswered orders.
type relay struct {
	fl        *Fleet
	mu        sync.Mutex // guards the fields below
	senders   map[string]*sender
	queues    map[cell.WorkerID]*orderQueue
	lastSweep time.Time
}

// sender holds the results of the orders of one entry instance.
type sender struct {
	mu       sync.Mutex // guards the fields below
	results  []pendingResult
	signal   chan struct{}
	lastSeen time.Time
}

// pendingResult is a result that its sender has not fetched yet.
type pendingResult struct {
	result   *peer.RelayResult
	queuedAt time.Time
}

func newRelay(fl *Fleet) *relay {
	return &relay{fl: fl, senders: map[string]*sender{}, queues: map[cell.WorkerID]*orderQueue{}}
}

// Relay accepts orders from a peer and returns the results of its earlier ones.
func (sv cellsServer) Relay(ctx context.Context, rq *peer.RelayRequest) (*peer.RelayResponse, error) {
	rl := sv.fl.relay
	sd := rl.sender(rq.Sender)
	for _, ro := range rq.Orders {
		rl.execute(sd, ro)
	}
	rp := &peer.RelayResponse{Incarnation: sv.fl.opts.Incarnation}
	if rq.WaitMillis > 0 {
		rp.Results = sd.waitResults(ctx, sv.fl.opts.Now, min(relayPollTimeout, time.Duration(rq.WaitMillis)*time.Millisecond))
	}
	return rp, nil
}

// sender returns the state of a sender, and removes senders that no longer call.
func (rl *relay) sender(name string) *sender {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.fl.opts.Now()
	if now.Sub(rl.lastSweep) > senderRetention {
		rl.removeIdle(now)
	}
	sd, ok := rl.senders[name]
	if !ok {
		sd = &sender{signal: make(chan struct{}, 1)}
		rl.senders[name] = sd
	}
	sd.mu.Lock()
	sd.lastSeen = now
	sd.mu.Unlock()
	return sd
}

// removeIdle removes senders that no longer call and queues that are idle. The caller holds the lock.
func (rl *relay) removeIdle(now time.Time) {
	rl.lastSweep = now
	for name, sd := range rl.senders {
		sd.mu.Lock()
		if now.Sub(sd.lastSeen) > senderRetention {
			delete(rl.senders, name)
		}
		sd.mu.Unlock()
	}
	for id, oq := range rl.queues {
		if oq.idle() {
			delete(rl.queues, id)
		}
	}
}

// execute starts to carry out an order.
func (rl *relay) execute(sd *sender, ro *peer.RelayOrder) {
	ctx, now := rl.fl.background, rl.fl.opts.Now
	switch order := fromRelayOrder(ro).(type) {
	case nil:
		sd.addResult(&peer.RelayResult{Id: ro.Id, Outcome: int32(cell.Invalid)}, now())
	case cell.Poll:
		go func() {
			lk := rl.fl.opts.Workers.Poll(ctx, order)
			sd.addResult(toRelayPollResult(ro.Id, lk), lk.Received)
		}()
	default:
		rl.fl.attachPayload(ctx, order, func(od cell.Order) { rl.enqueueOrder(sd, ro, od) }, func() {
			sd.addResult(&peer.RelayResult{Id: ro.Id, Outcome: int32(cell.PayloadMissing)}, now())
		})
	}
}

// enqueueOrder queues an order for its worker and returns the result to the sender.
func (rl *relay) enqueueOrder(sd *sender, ro *peer.RelayOrder, od cell.Order) {
	rl.orderQueue(cell.WorkerID(ro.Worker), rl.fl.opts.Now()).enqueue(rl.fl.background, od, func(od cell.OrderResult) {
		sd.addResult(&peer.RelayResult{Id: ro.Id, Outcome: int32(od.Outcome), Clock: od.Clock}, od.Received)
	})
}

func (rl *relay) orderQueue(id cell.WorkerID, now time.Time) *orderQueue {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	oq, ok := rl.queues[id]
	if !ok {
		oq = newOrderQueue(rl.fl.opts.Workers, rl.fl.opts.Now, rl.fl.hallEvacuated)
		oq.maxWait = relayQueueTimeout
		rl.queues[id] = oq
	}
	return oq
}

// addResult stores a result until its sender fetches it.
func (sd *sender) addResult(rr *peer.RelayResult, at time.Time) {
	sd.mu.Lock()
	if len(sd.results) < maxPendingResults {
		sd.results = append(sd.results, pendingResult{rr, at})
	}
	sd.mu.Unlock()
	select {
	case sd.signal <- struct{}{}:
	default:
	}
}

// waitResults waits for results up to the given time and returns them.
func (sd *sender) waitResults(ctx context.Context, now func() time.Time, wait time.Duration) []*peer.RelayResult {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if !sd.hasResults() {
		select {
		case <-sd.signal:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return sd.takeResults(now())
}

func (sd *sender) hasResults() bool {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	return len(sd.results) > 0
}

// takeResults removes and returns all stored results, each with how long it has waited.
func (sd *sender) takeResults(now time.Time) []*peer.RelayResult {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	list := make([]*peer.RelayResult, 0, len(sd.results))
	for _, pr := range sd.results {
		pr.result.HeldMicros = now.Sub(pr.queuedAt).Microseconds()
		list = append(list, pr.result)
	}
	sd.results = nil
	return list
}
