package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/peer"
)

// Times and bounds of carrying out orders for other entry instances.
const (
	// relayForget is how long the results for a sender that does not ask are kept.
	senderRetention = 10 * time.Second
	// relayMost is how many results wait for one sender; later ones are dropped, as lost answers are.
	maxPendingResults = 4096
	// relayPatience is how long an order may wait in a worker's lane; after that it goes back as not sent.
	relayQueueTimeout = 1200 * time.Millisecond
	// relayWait bounds how long an answer waits for a result.
	relayPollTimeout = 500 * time.Millisecond
)

// relay carries out orders for the owners of cells. It keeps nothing that a promise rests on: what it loses, its sender takes for
// orders without an answer.
type relay struct {
	fl        *Fleet
	mu        sync.Mutex // guards what follows
	senders   map[string]*sender
	queues    map[cell.WorkerID]*orderQueue
	lastSweep time.Time
}

// sender is an entry instance whose orders are carried out here.
type sender struct {
	mu       sync.Mutex // guards what follows
	results  []pendingResult
	signal   chan struct{}
	lastPoll time.Time
}

// waitingResult is a result that its sender has not fetched.
type pendingResult struct {
	result   *peer.RelayResult
	queuedAt time.Time
}

func newRelay(fl *Fleet) *relay {
	return &relay{fl: fl, senders: map[string]*sender{}, queues: map[cell.WorkerID]*orderQueue{}}
}

// Relay takes orders of a peer's, and returns what has become of its earlier ones.
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

// sender returns a sender, and forgets those that have not been heard of.
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
	sd.lastPoll = now
	sd.mu.Unlock()
	return sd
}

// sweep forgets senders that do not ask, and lanes that are idle. The caller holds the lock.
func (rl *relay) removeIdle(now time.Time) {
	rl.lastSweep = now
	for name, sd := range rl.senders {
		sd.mu.Lock()
		if now.Sub(sd.lastPoll) > senderRetention {
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

// carryOut begins to carry out one order.
func (rl *relay) execute(sd *sender, ro *peer.RelayOrder) {
	ctx, now := rl.fl.background, rl.fl.opts.Now
	switch order := fromRelayOrder(ro).(type) {
	case nil:
		sd.addResult(&peer.RelayResult{Id: ro.Id, Outcome: int32(cell.Invalid)}, now())
	case cell.Look:
		go func() {
			lk := rl.fl.opts.Workers.Look(ctx, order)
			sd.addResult(toRelayLookResult(ro.Id, lk), lk.Received)
		}()
	default:
		rl.fl.complete(ctx, order, func(od cell.Order) { rl.enqueueOrder(sd, ro, od) }, func() {
			sd.addResult(&peer.RelayResult{Id: ro.Id, Outcome: int32(cell.Unprepared)}, now())
		})
	}
}

// command gives a worker an order, and its sender the result.
func (rl *relay) enqueueOrder(sd *sender, ro *peer.RelayOrder, od cell.Order) {
	rl.orderQueue(cell.WorkerID(ro.Worker), rl.fl.opts.Now()).enqueue(rl.fl.background, od, func(od cell.Ordered) {
		sd.addResult(&peer.RelayResult{Id: ro.Id, Outcome: int32(od.Outcome), Clock: od.Clock}, od.Received)
	})
}

func (rl *relay) orderQueue(id cell.WorkerID, now time.Time) *orderQueue {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	oq, ok := rl.queues[id]
	if !ok {
		oq = newOrderQueue(rl.fl.opts.Workers, rl.fl.opts.Now)
		oq.maxWait = relayQueueTimeout
		rl.queues[id] = oq
	}
	return oq
}

// add keeps a result until its sender asks for it.
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

// collect waits for results.
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

// take returns what waits, each with how long it has waited.
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
