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
	relayForget = 10 * time.Second
	// relayMost is how many results wait for one sender; later ones are dropped, as lost answers are.
	relayMost = 4096
	// relayPatience is how long an order may wait in a worker's lane; after that it goes back as not sent.
	relayPatience = 1200 * time.Millisecond
	// relayWait bounds how long an answer waits for a result.
	relayWait = 500 * time.Millisecond
)

// relay carries out orders for the owners of cells. It keeps nothing that a promise rests on: what it loses, its sender takes for
// orders without an answer.
type relay struct {
	fl      *Fleet
	mu      sync.Mutex // guards what follows
	senders map[string]*sender
	lanes   map[cell.WorkerID]*lane
	swept   time.Time
}

// sender is an entry instance whose orders are carried out here.
type sender struct {
	mu      sync.Mutex // guards what follows
	results []waitingResult
	signal  chan struct{}
	asked   time.Time
}

// waitingResult is a result that its sender has not fetched.
type waitingResult struct {
	result *peer.RelayResult
	since  time.Time
}

func newRelay(fl *Fleet) *relay {
	return &relay{fl: fl, senders: map[string]*sender{}, lanes: map[cell.WorkerID]*lane{}}
}

// Relay takes orders of a peer's, and returns what has become of its earlier ones.
func (sv cellsServer) Relay(ctx context.Context, rq *peer.RelayRequest) (*peer.RelayResponse, error) {
	rl := sv.fl.relay
	sd := rl.sender(rq.Sender)
	for _, ro := range rq.Orders {
		rl.carryOut(sd, ro)
	}
	rp := &peer.RelayResponse{Incarnation: sv.fl.opts.Incarnation}
	if rq.WaitMillis > 0 {
		rp.Results = sd.collect(ctx, sv.fl.opts.Now, min(relayWait, time.Duration(rq.WaitMillis)*time.Millisecond))
	}
	return rp, nil
}

// sender returns a sender, and forgets those that have not been heard of.
func (rl *relay) sender(name string) *sender {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.fl.opts.Now()
	if now.Sub(rl.swept) > relayForget {
		rl.sweep(now)
	}
	sd, ok := rl.senders[name]
	if !ok {
		sd = &sender{signal: make(chan struct{}, 1)}
		rl.senders[name] = sd
	}
	sd.mu.Lock()
	sd.asked = now
	sd.mu.Unlock()
	return sd
}

// sweep forgets senders that do not ask, and lanes that are idle. The caller holds the lock.
func (rl *relay) sweep(now time.Time) {
	rl.swept = now
	for name, sd := range rl.senders {
		sd.mu.Lock()
		if now.Sub(sd.asked) > relayForget {
			delete(rl.senders, name)
		}
		sd.mu.Unlock()
	}
	for id, ln := range rl.lanes {
		if ln.idle() {
			delete(rl.lanes, id)
		}
	}
}

// carryOut begins to carry out one order.
func (rl *relay) carryOut(sd *sender, ro *peer.RelayOrder) {
	ctx, now := rl.fl.background, rl.fl.opts.Now
	switch order := orderOf(ro).(type) {
	case nil:
		sd.add(&peer.RelayResult{Id: ro.Id, Outcome: int32(cell.Invalid)}, now())
	case cell.Look:
		go func() {
			lk := rl.fl.opts.Workers.Look(ctx, order)
			sd.add(relayLooked(ro.Id, lk), lk.Received)
		}()
	default:
		rl.fl.complete(ctx, order, func(od cell.Order) { rl.command(sd, ro, od) }, func() {
			sd.add(&peer.RelayResult{Id: ro.Id, Outcome: int32(cell.Unprepared)}, now())
		})
	}
}

// command gives a worker an order, and its sender the result.
func (rl *relay) command(sd *sender, ro *peer.RelayOrder, od cell.Order) {
	rl.lane(cell.WorkerID(ro.Worker), rl.fl.opts.Now()).add(rl.fl.background, od, func(od cell.Ordered) {
		sd.add(&peer.RelayResult{Id: ro.Id, Outcome: int32(od.Outcome), Clock: od.Clock}, od.Received)
	})
}

func (rl *relay) lane(id cell.WorkerID, now time.Time) *lane {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	ln, ok := rl.lanes[id]
	if !ok {
		ln = newLane(rl.fl.opts.Workers, rl.fl.opts.Now)
		ln.patience = relayPatience
		rl.lanes[id] = ln
	}
	return ln
}

// add keeps a result until its sender asks for it.
func (sd *sender) add(rr *peer.RelayResult, at time.Time) {
	sd.mu.Lock()
	if len(sd.results) < relayMost {
		sd.results = append(sd.results, waitingResult{rr, at})
	}
	sd.mu.Unlock()
	select {
	case sd.signal <- struct{}{}:
	default:
	}
}

// collect waits for results.
func (sd *sender) collect(ctx context.Context, now func() time.Time, wait time.Duration) []*peer.RelayResult {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if !sd.any() {
		select {
		case <-sd.signal:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return sd.take(now())
}

func (sd *sender) any() bool {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	return len(sd.results) > 0
}

// take returns what waits, each with how long it has waited.
func (sd *sender) take(now time.Time) []*peer.RelayResult {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	list := make([]*peer.RelayResult, 0, len(sd.results))
	for _, wr := range sd.results {
		wr.result.HeldMicros = now.Sub(wr.since).Microseconds()
		list = append(list, wr.result)
	}
	sd.results = nil
	return list
}
