package fleet

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/peer"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Sizes and times of having peers carry out orders. An owner decides for all workers of its cell, but one instance cannot make all
// calls of a large one: some 100 calls a second and a tenth of a core are as much as a small instance has left.
const (
	// relayAfter is the number of workers from which on a cell's owner has peers carry out orders.
	relayThreshold = 40
	// relayWorkers is how many workers an instance with a whole core carries out orders for.
	relayWorkersPerCore = 100
	// relayPlanEvery is how often the peers are chosen.
	relayAssignInterval = 400 * time.Millisecond
	// relaySpread is the pause after each call to a peer, for each peer that carries out orders, so that calls in all stay bounded.
	relayPausePerPeer = 1500 * time.Microsecond
	// relayTimeout bounds a call that hands over orders, beside the wait of one that collects results.
	relayTimeout = 900 * time.Millisecond
	// relayBad is how long a peer that failed is passed over, twice as long after each further failure in a row, up to relayBadMost: a
	// peer that is cut off from this instance alone stays a member.
	relayBackoffMin = 2500 * time.Millisecond
	relayBackoffMax = 20 * time.Second
	// relaySlow and relayQuick are the times of a start, from its decision to the worker's answer, from which on more or fewer peers are
	// used: on a link of 250 KB/s five starts of 2.9 KB that go one after the other take the longer one.
	slowStart = 60 * time.Millisecond
	fastStart = 30 * time.Millisecond
	// relayWiden and relayNarrow are by how much it changes at a time, relayBroadest is the most.
	relayScaleUp, relayScaleDown = 1.5, 0.95
	relayScaleMax                = 4.0
	// relayLate is when an order without a result counts as silent: it may have waited in the peer's lane, and then for its worker.
	relayResultTimeout = relayQueueTimeout + 1200*time.Millisecond
)

// relays are the peers that carry out a cell's orders.
type relays struct {
	ow    *owner
	mu    sync.Mutex // guards what follows
	links map[string]*relayLink
	// chosen maps workers to peers; a worker without one is called directly.
	assigned map[cell.WorkerID]*relayLink
	// breadth is how many times as many peers are used as the number of workers asks for.
	scale float64
	// pause is that after each call to a peer. Starts wait for it when they are handed over and when they are answered, so it does not count
	// as queueing: more peers would mean longer pauses, and those more peers.
	callPause time.Duration
}

func newRelays(ow *owner) *relays {
	return &relays{ow: ow, links: map[string]*relayLink{}, assigned: map[cell.WorkerID]*relayLink{}, scale: 1}
}

// run chooses peers until the context ends.
func (rs *relays) run(ctx context.Context) {
	for ctx.Err() == nil {
		rs.assign(rs.ow.fl.opts.Now())
		sleep(ctx, relayAssignInterval)
	}
}

// send hands an order to the peer that carries out the worker's orders; false if there is none.
func (rs *relays) send(ctx context.Context, id cell.WorkerID, od cell.Order) bool {
	rs.mu.Lock()
	ln := rs.assigned[id]
	rs.mu.Unlock()
	return ln != nil && ln.send(ctx, od)
}

// choose gives each worker of a large cell a peer, in its own hall if there is one.
func (rs *relays) assign(now time.Time) {
	fl := rs.ow.fl
	workers := fl.workerCache.inPool(rs.ow.pool())
	assigned := map[cell.WorkerID]*relayLink{}
	var links []*relayLink
	rs.scale = nextScale(rs.scale, rs.ow.startTime()-2*rs.callPause)
	if len(workers) > relayThreshold || rs.scale > 1 {
		links = rs.candidates(now, float64(len(workers))*rs.scale)
	}
	for _, wk := range workers {
		if ln := bestRelay(string(wk.ID), wk.Hall, links); ln != nil {
			assigned[wk.ID] = ln
		}
	}
	rs.mu.Lock()
	rs.assigned = assigned
	rs.mu.Unlock()
	rs.callPause = time.Duration(len(links)) * relayPausePerPeer
	for _, ln := range links {
		ln.setCallPause(rs.callPause)
	}
}

// nextBreadth follows how long starts take: where they queue, at the owner's link or processor or at those of its peers, more peers share
// them; where they do not, fewer do, since each peer that is asked for results is a further call.
func nextScale(scale float64, startTime time.Duration) float64 {
	switch {
	case startTime > slowStart:
		return min(relayScaleMax, scale*relayScaleUp)
	case startTime < fastStart:
		return max(1, scale*relayScaleDown)
	}
	return scale
}

// candidates are the peers that are needed for so many workers. The same ones come first each time, so that more workers add peers and
// change none; owners of cells come last.
func (rs *relays) candidates(now time.Time, workers float64) []*relayLink {
	fl := rs.ow.fl
	cells := fl.members.cellCounts()
	var list []*relayLink
	for name, nd := range fl.liveNodes() {
		if name == fl.opts.Name || nd.Leaving {
			continue
		}
		if ln := rs.link(nd); !ln.backingOff(now) {
			list = append(list, ln)
		}
	}
	slices.SortFunc(list, func(one, other *relayLink) int {
		return cmp.Or(cmp.Compare(cells[one.node.Name], cells[other.node.Name]), -cmp.Compare(weight(rs.ow.name, one.node), weight(rs.ow.name, other.node)), cmp.Compare(one.node.Name, other.node.Name))
	})
	room := 0.0
	for at, ln := range list {
		room += ln.node.cpuShare() * relayWorkersPerCore
		if room >= workers {
			return list[:at+1]
		}
	}
	return list
}

// power is an instance's share of a core, a whole one if it did not say.
func (nd node) cpuShare() float64 {
	if nd.Power <= 0 {
		return 1
	}
	return nd.Power
}

// weight ranks an instance for a name, so that larger ones come first more often and each name has an order of its own that others
// coming and going do not change (weighted rendezvous hashing).
func weight(name string, nd node) float64 {
	unit := (float64(xxhash.Sum64String(name+"/"+nd.Name)) + 1) / (math.MaxUint64 + 2)
	return -nd.cpuShare() / math.Log(unit)
}

// bestRelay returns the peer for a worker, nil if there is none.
func bestRelay(worker, hall string, links []*relayLink) *relayLink {
	var best *relayLink
	var bestWeight float64
	for _, sameHall := range []bool{true, false} {
		for _, ln := range links {
			if sameHall && ln.node.Hall != hall {
				continue
			}
			if wt := weight(worker, ln.node); best == nil || wt > bestWeight {
				best, bestWeight = ln, wt
			}
		}
		if best != nil {
			break
		}
	}
	return best
}

// link returns the way to a peer; one that was started anew gets a new one.
func (rs *relays) link(nd node) *relayLink {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ln, ok := rs.links[nd.Name]
	if !ok || ln.node.Incarnation != nd.Incarnation || ln.node.Address != nd.Address {
		ln = &relayLink{rs: rs, node: nd, peer: rs.ow.fl.peers.clientFor(nd.Address), pending: map[uint64]pendingOrder{}}
		rs.links[nd.Name] = ln
	}
	return ln
}

// relayLink is the way to one peer that carries out orders.
type relayLink struct {
	rs           *relays
	node         node
	peer         peer.Cells
	mu           sync.Mutex // guards what follows
	queue        []*peer.RelayOrder
	pending      map[uint64]pendingOrder
	sending      bool
	polling      bool
	backoffUntil time.Time
	// fails counts failures in a row.
	failures  int
	callPause time.Duration
}

// errand is an order that a peer has been given.
type pendingOrder struct {
	order  cell.Order
	sentAt time.Time
}

func (ln *relayLink) backingOff(now time.Time) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return now.Before(ln.backoffUntil)
}

func (ln *relayLink) setCallPause(pause time.Duration) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.callPause = pause
}

// send hands over an order, together with others that come at the same time; false if the peer has failed just now.
func (ln *relayLink) send(ctx context.Context, od cell.Order) bool {
	now := ln.rs.ow.fl.opts.Now()
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if now.Before(ln.backoffUntil) {
		return false
	}
	// Numbers are never used twice by a process: results that were meant for an earlier link to the peer may still come.
	id := ln.rs.ow.fl.relayIDs.Add(1)
	ro := toRelayOrder(id, od)
	if ro == nil {
		return false
	}
	ln.pending[id] = pendingOrder{od, now}
	ln.queue = append(ln.queue, ro)
	if !ln.sending {
		ln.sending = true
		go ln.sendQueued(ctx)
	}
	if !ln.polling {
		ln.polling = true
		go ln.pollResults(ctx)
	}
	return true
}

// hand gives the peer what waits for it, until nothing does.
func (ln *relayLink) sendQueued(ctx context.Context) {
	for {
		ln.mu.Lock()
		batch, pause := ln.queue, ln.callPause
		ln.queue = nil
		ln.sending = len(batch) > 0
		ln.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		if _, err := ln.call(ctx, batch, 0); err != nil {
			ln.failBatch(batch, err)
		}
		sleep(ctx, pause)
	}
}

// collect fetches results while some are open.
func (ln *relayLink) pollResults(ctx context.Context) {
	for {
		ln.mu.Lock()
		pause := ln.callPause
		ln.polling = len(ln.pending) > 0 && ctx.Err() == nil
		busy := ln.polling
		ln.mu.Unlock()
		if !busy {
			return
		}
		rp, err := ln.call(ctx, nil, relayPollTimeout)
		switch {
		case err != nil:
			ln.failPending("collect", err)
		case rp.Incarnation != ln.node.Incarnation:
			ln.failPending("collect", errRestarted)
		default:
			ln.recordAnswer()
			ln.handleResults(rp.Results)
			ln.expireOverdue()
		}
		sleep(ctx, pause)
	}
}

// well notes that the peer answers.
func (ln *relayLink) recordAnswer() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.failures = 0
}

// errRestarted says that a peer has been started anew and knows nothing of what it was given.
var errRestarted = errors.New("the peer was started anew")

func (ln *relayLink) call(ctx context.Context, batch []*peer.RelayOrder, wait time.Duration) (*peer.RelayResponse, error) {
	fl := ln.rs.ow.fl
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+wait)
	defer cancel()
	return ln.peer.Relay(ctx, &peer.RelayRequest{Sender: fl.opts.Incarnation + "/" + ln.rs.ow.name, Orders: batch, WaitMillis: wait.Milliseconds()})
}

// take hands results to the core.
func (ln *relayLink) handleResults(results []*peer.RelayResult) {
	receivedAt := ln.rs.ow.fl.opts.Now()
	for _, rr := range results {
		ln.mu.Lock()
		po, found := ln.pending[rr.Id]
		delete(ln.pending, rr.Id)
		ln.mu.Unlock()
		if found {
			ln.deliver(po, rr, receivedAt)
		}
	}
}

// settle tells the core what became of an order.
func (ln *relayLink) deliver(po pendingOrder, rr *peer.RelayResult, receivedAt time.Time) {
	if look, ok := po.order.(cell.Look); ok {
		ln.rs.ow.looked(fromRelayLookResult(rr, look, po.sentAt, receivedAt))
		return
	}
	ln.rs.ow.ordered(fromRelayOrderResult(rr, po.order, po.sentAt, receivedAt))
}

// end settles orders of which nothing more will be heard.
func (ln *relayLink) deliverAll(list []pendingOrder, oc cell.Outcome) {
	now := ln.rs.ow.fl.opts.Now()
	for _, po := range list {
		ln.deliver(po, &peer.RelayResult{Outcome: int32(oc)}, now)
	}
}

// failed settles a batch that could not be handed over: not sent if no connection was to be had, else perhaps carried out.
func (ln *relayLink) failBatch(batch []*peer.RelayOrder, err error) {
	oc := cell.Silent
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		oc = cell.Unsent
	}
	ln.backOff("hand over", err)
	var list []pendingOrder
	ln.mu.Lock()
	for _, ro := range batch {
		if po, found := ln.pending[ro.Id]; found {
			delete(ln.pending, ro.Id)
			list = append(list, po)
		}
	}
	ln.mu.Unlock()
	ln.deliverAll(list, oc)
}

// lose settles all that is open: results may have been lost with the answer.
func (ln *relayLink) failPending(call string, err error) {
	ln.backOff(call, err)
	ln.mu.Lock()
	list := make([]pendingOrder, 0, len(ln.pending))
	for id, po := range ln.pending {
		delete(ln.pending, id)
		list = append(list, po)
	}
	ln.mu.Unlock()
	ln.deliverAll(list, cell.Silent)
}

// expire settles orders that should have had a result by now.
func (ln *relayLink) expireOverdue() {
	now := ln.rs.ow.fl.opts.Now()
	var list []pendingOrder
	ln.mu.Lock()
	for id, po := range ln.pending {
		timeout := relayResultTimeout
		if look, ok := po.order.(cell.Look); ok {
			timeout += look.Wait
		}
		if now.Sub(po.sentAt) > timeout {
			delete(ln.pending, id)
			list = append(list, po)
		}
	}
	ln.mu.Unlock()
	ln.deliverAll(list, cell.Silent)
}

// passOver leaves the peer out for a while.
func (ln *relayLink) backOff(call string, err error) {
	fl := ln.rs.ow.fl
	if errors.Is(err, context.Canceled) {
		return
	}
	ln.mu.Lock()
	first := !fl.opts.Now().Before(ln.backoffUntil)
	if first {
		ln.backoffUntil = fl.opts.Now().Add(min(relayBackoffMax, relayBackoffMin<<min(ln.failures, 4)))
		ln.failures++
	}
	ln.mu.Unlock()
	if first {
		fl.opts.Log.Emit(event.RelayLost, zap.String("call", call), zap.String("cell", ln.rs.ow.name), zap.String("peer", ln.node.Name), zap.Error(err))
	}
}
