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
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Sizes and intervals of order relaying. A cell's owner decides for all workers of the cell, but one instance cannot make all
// calls of a large cell: a small instance can spare about 100 calls a second and a tenth of a core.
const (
	// relayThreshold is the number of workers above which the owner of a cell relays orders through peers.
	relayThreshold = 40
	// relayWorkersPerCore is how many workers an instance with a whole core relays orders to.
	relayWorkersPerCore = 100
	// relayAssignInterval is how often workers are assigned to peers.
	relayAssignInterval = 400 * time.Millisecond
	// relayPausePerPeer is the pause after each call to a peer, multiplied by the number of relaying peers, so that the total
	// call rate stays bounded.
	relayPausePerPeer = 1500 * time.Microsecond
	// relayTimeout bounds a call that submits orders. A call that polls for results gets its poll time in addition.
	relayTimeout = 900 * time.Millisecond
	// relayBackoffMin is how long a failed peer is not used. The time doubles with each further failure in a row, up to
	// relayBackoffMax: a peer that only this instance cannot reach stays a member.
	relayBackoffMin = 2500 * time.Millisecond
	relayBackoffMax = 20 * time.Second
	// slowStart and fastStart are the durations of a start, from the decision to the worker's answer, above or below which more
	// or fewer peers are used. On a link of 250 KB/s, five starts of 2.9 KB in sequence take slowStart.
	slowStart = 60 * time.Millisecond
	fastStart = 30 * time.Millisecond
	// relayScaleUp and relayScaleDown are the factors by which the number of peers changes at a time; relayScaleMax bounds the
	// total factor.
	relayScaleUp, relayScaleDown = 1.5, 0.95
	relayScaleMax                = 4.0
	// relayResultTimeout is when an order without a result counts as unanswered. The order may have waited in the peer's queue
	// and then for its worker.
	relayResultTimeout = relayQueueTimeout + 1200*time.Millisecond
)

// relays manages the peers that carry out a cell's orders.
type relays struct {
	ow    *owner
	mu    sync.Mutex // guards the fields below
	links map[string]*relayLink
	// assigned maps workers to peers; a worker without a peer is called directly.
	assigned map[cell.WorkerID]*relayLink
	// scale is the factor by which more peers are used than the number of workers requires.
	scale float64
	// callPause is the pause after each call to a peer. A start waits for it twice, when it is submitted and when its result is
	// fetched. These pauses do not count as queueing time: more peers mean longer pauses, which would then call for even more
	// peers.
	callPause time.Duration
}

func newRelays(ow *owner) *relays {
	return &relays{ow: ow, links: map[string]*relayLink{}, assigned: map[cell.WorkerID]*relayLink{}, scale: 1}
}

// run assigns workers to peers until the context ends.
func (rs *relays) run(ctx context.Context) {
	for ctx.Err() == nil {
		rs.assign(rs.ow.fl.opts.Now())
		sleep(ctx, relayAssignInterval)
	}
}

// send relays an order through the worker's peer. It returns false if the worker has no peer.
func (rs *relays) send(ctx context.Context, id cell.WorkerID, od cell.Order) bool {
	rs.mu.Lock()
	ln := rs.assigned[id]
	rs.mu.Unlock()
	return ln != nil && ln.send(ctx, od)
}

// assign gives each worker of a large cell a peer, in the worker's own data hall if possible.
func (rs *relays) assign(now time.Time) {
	fl := rs.ow.fl
	workers := fl.workerCache.inPool(rs.ow.pool())
	assigned := map[cell.WorkerID]*relayLink{}
	var links []*relayLink
	rs.scale = nextScale(rs.scale, rs.ow.startLatency()-2*rs.callPause)
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

// startTimes returns the smoothed start times of the peers that workers are assigned to, in ascending order.
func (rs *relays) startTimes() []time.Duration {
	rs.mu.Lock()
	used := map[*relayLink]bool{}
	for _, ln := range rs.assigned {
		used[ln] = true
	}
	rs.mu.Unlock()
	var times []time.Duration
	for ln := range used {
		ln.mu.Lock()
		times = append(times, ln.startTime)
		ln.mu.Unlock()
	}
	slices.Sort(times)
	return times
}

// nextScale adjusts the scale to the duration of starts. If starts queue, at the owner's link or processor or at those of its
// peers, more peers share the load. If they do not, fewer peers are used, since each one adds calls that poll for results.
func nextScale(scale float64, startTime time.Duration) float64 {
	switch {
	case startTime > slowStart:
		return min(relayScaleMax, scale*relayScaleUp)
	case startTime < fastStart:
		return max(1, scale*relayScaleDown)
	}
	return scale
}

// candidates returns the peers needed for a number of workers. The order of peers is stable, so that more workers add peers
// without replacing any; instances that own cells come last.
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
	slices.SortFunc(list, func(a, b *relayLink) int {
		return cmp.Or(cmp.Compare(cells[a.node.Name], cells[b.node.Name]), -cmp.Compare(weight(rs.ow.name, a.node), weight(rs.ow.name, b.node)), cmp.Compare(a.node.Name, b.node.Name))
	})
	capacity := 0.0
	for i, ln := range list {
		capacity += ln.node.cpuShare() * relayWorkersPerCore
		if capacity >= workers {
			return list[:i+1]
		}
	}
	return list
}

// cpuShare returns an instance's share of a core, or a whole core if the instance did not state its share.
func (nd node) cpuShare() float64 {
	if nd.Power <= 0 {
		return 1
	}
	return nd.Power
}

// weight ranks an instance for a name by weighted rendezvous hashing: larger instances rank first more often, and the order for a
// name does not change when other instances join or leave.
func weight(name string, nd node) float64 {
	unit := (float64(xxhash.Sum64String(name+"/"+nd.Name)) + 1) / (math.MaxUint64 + 2)
	return -nd.cpuShare() / math.Log(unit)
}

// bestRelay returns the peer for a worker, preferring peers in the worker's data hall; nil if there are none.
func bestRelay(worker string, hall job.HallID, links []*relayLink) *relayLink {
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

// link returns the link to a peer, and a new one if the peer has restarted.
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

// relayLink submits orders to one peer and polls for their results.
type relayLink struct {
	rs           *relays
	node         node
	peer         peer.Cells
	mu           sync.Mutex // guards the fields below
	queue        []*peer.RelayOrder
	pending      map[uint64]pendingOrder
	sending      bool
	polling      bool
	backoffUntil time.Time
	// failures counts consecutive failures.
	failures  int
	callPause time.Duration
	// startTime is the smoothed time from the submission of a start until its result, as of starts answered since the link was last
	// avoided.
	startTime time.Duration
	starts    int
}

// pendingOrder is an order that was given to a peer and has no result yet.
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

// send queues an order, to be submitted in a batch with other orders that arrive at the same time. It returns false while the
// peer is backing off.
func (ln *relayLink) send(ctx context.Context, od cell.Order) bool {
	now := ln.rs.ow.fl.opts.Now()
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if now.Before(ln.backoffUntil) {
		return false
	}
	// IDs are unique within the process: results meant for an earlier link to the same peer may still arrive.
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

// sendQueued submits queued orders in batches until the queue is empty.
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

// pollResults fetches results while orders are pending.
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

// recordAnswer resets the failure count after the peer has answered.
func (ln *relayLink) recordAnswer() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.failures = 0
}

// errRestarted means that a peer has restarted and lost the orders that it was given.
var errRestarted = errors.New("the peer has restarted")

func (ln *relayLink) call(ctx context.Context, batch []*peer.RelayOrder, wait time.Duration) (*peer.RelayResponse, error) {
	fl := ln.rs.ow.fl
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+wait)
	defer cancel()
	return ln.peer.Relay(ctx, &peer.RelayRequest{Sender: fl.opts.Incarnation + "/" + ln.rs.ow.name, Orders: batch, WaitMillis: wait.Milliseconds()})
}

// handleResults delivers results to the core.
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

// peerTimeWeight is the weight of the newest start in the smoothed start time of a link.
const peerTimeWeight = 0.1

// recordStart records how long a start took through this peer.
func (ln *relayLink) recordStart(span time.Duration) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.starts++
	ln.startTime += time.Duration(max(peerTimeWeight, 1/float64(ln.starts)) * float64(span-ln.startTime))
}

// deliver passes the result of an order to the core.
func (ln *relayLink) deliver(po pendingOrder, rr *peer.RelayResult, receivedAt time.Time) {
	if _, ok := po.order.(cell.Start); ok {
		ln.recordStart(receivedAt.Sub(po.sentAt))
	}
	if look, ok := po.order.(cell.Poll); ok {
		ln.rs.ow.handlePollResult(fromRelayPollResult(rr, look, po.sentAt, receivedAt))
		return
	}
	ln.rs.ow.handleOrderResult(fromRelayOrderResult(rr, po.order, po.sentAt, receivedAt))
}

// deliverAll gives the same outcome to orders for which no result will arrive.
func (ln *relayLink) deliverAll(list []pendingOrder, oc cell.Outcome) {
	now := ln.rs.ow.fl.opts.Now()
	for _, po := range list {
		ln.deliver(po, &peer.RelayResult{Outcome: int32(oc)}, now)
	}
}

// failBatch settles a batch that could not be submitted: as not sent if no connection to the peer could be made, otherwise as
// unanswered, since the orders may have been carried out.
func (ln *relayLink) failBatch(batch []*peer.RelayOrder, err error) {
	oc := cell.NoAnswer
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		oc = cell.NotSent
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

// failPending settles all pending orders as unanswered: their results may have been lost with the failed answer.
func (ln *relayLink) failPending(call string, err error) {
	ln.backOff(call, err)
	ln.mu.Lock()
	list := make([]pendingOrder, 0, len(ln.pending))
	for id, po := range ln.pending {
		delete(ln.pending, id)
		list = append(list, po)
	}
	ln.mu.Unlock()
	ln.deliverAll(list, cell.NoAnswer)
}

// expireOverdue settles orders whose results are overdue as unanswered.
func (ln *relayLink) expireOverdue() {
	now := ln.rs.ow.fl.opts.Now()
	var list []pendingOrder
	ln.mu.Lock()
	for id, po := range ln.pending {
		timeout := relayResultTimeout
		if look, ok := po.order.(cell.Poll); ok {
			timeout += look.Wait
		}
		if now.Sub(po.sentAt) > timeout {
			delete(ln.pending, id)
			list = append(list, po)
		}
	}
	ln.mu.Unlock()
	ln.deliverAll(list, cell.NoAnswer)
}

// backOff stops using the peer for a while.
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
