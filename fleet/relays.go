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
	relayAfter = 40
	// relayWorkers is how many workers an instance with a whole core carries out orders for.
	relayWorkers = 100
	// relayPlanEvery is how often the peers are chosen.
	relayPlanEvery = 400 * time.Millisecond
	// relaySpread is the pause after each call to a peer, for each peer that carries out orders, so that calls in all stay bounded.
	relaySpread = 1500 * time.Microsecond
	// relayTimeout bounds a call that hands over orders, beside the wait of one that collects results.
	relayTimeout = 900 * time.Millisecond
	// relayBad is how long a peer that failed is passed over, twice as long after each further failure in a row, up to relayBadMost: a
	// peer that is cut off from this instance alone stays a member.
	relayBad     = 2500 * time.Millisecond
	relayBadMost = 20 * time.Second
	// relaySlow and relayQuick are the times of a start, from its decision to the worker's answer, from which on more or fewer peers are
	// used: on a link of 250 KB/s five starts of 2.9 KB that go one after the other take the longer one.
	relaySlow  = 60 * time.Millisecond
	relayQuick = 30 * time.Millisecond
	// relayWiden and relayNarrow are by how much it changes at a time, relayBroadest is the most.
	relayWiden, relayNarrow = 1.5, 0.95
	relayBroadest           = 4.0
	// relayLate is when an order without a result counts as silent: it may have waited in the peer's lane, and then for its worker.
	relayLate = relayPatience + 1200*time.Millisecond
)

// relays are the peers that carry out a cell's orders.
type relays struct {
	ow    *owner
	mu    sync.Mutex // guards what follows
	links map[string]*relayLink
	// chosen maps workers to peers; a worker without one is called directly.
	chosen map[cell.WorkerID]*relayLink
	// breadth is how many times as many peers are used as the number of workers asks for.
	breadth float64
	// pause is that after each call to a peer. Starts wait for it when they are handed over and when they are answered, so it does not count
	// as queueing: more peers would mean longer pauses, and those more peers.
	pause time.Duration
}

func newRelays(ow *owner) *relays {
	return &relays{ow: ow, links: map[string]*relayLink{}, chosen: map[cell.WorkerID]*relayLink{}, breadth: 1}
}

// run chooses peers until the context ends.
func (rs *relays) run(ctx context.Context) {
	for ctx.Err() == nil {
		rs.choose(rs.ow.fl.opts.Now())
		sleep(ctx, relayPlanEvery)
	}
}

// send hands an order to the peer that carries out the worker's orders; false if there is none.
func (rs *relays) send(ctx context.Context, id cell.WorkerID, od cell.Order) bool {
	rs.mu.Lock()
	ln := rs.chosen[id]
	rs.mu.Unlock()
	return ln != nil && ln.send(ctx, od)
}

// choose gives each worker of a large cell a peer, in its own hall if there is one.
func (rs *relays) choose(now time.Time) {
	fl := rs.ow.fl
	workers := fl.roster.of(rs.ow.pool())
	chosen := map[cell.WorkerID]*relayLink{}
	var links []*relayLink
	rs.breadth = nextBreadth(rs.breadth, rs.ow.startTime()-2*rs.pause)
	if len(workers) > relayAfter || rs.breadth > 1 {
		links = rs.candidates(now, float64(len(workers))*rs.breadth)
	}
	for _, wk := range workers {
		if ln := bestRelay(string(wk.ID), wk.Hall, links); ln != nil {
			chosen[wk.ID] = ln
		}
	}
	rs.mu.Lock()
	rs.chosen = chosen
	rs.mu.Unlock()
	rs.pause = time.Duration(len(links)) * relaySpread
	for _, ln := range links {
		ln.setPause(rs.pause)
	}
}

// nextBreadth follows how long starts take: where they queue, at the owner's link or processor or at those of its peers, more peers share
// them; where they do not, fewer do, since each peer that is asked for results is a further call.
func nextBreadth(breadth float64, starts time.Duration) float64 {
	switch {
	case starts > relaySlow:
		return min(relayBroadest, breadth*relayWiden)
	case starts < relayQuick:
		return max(1, breadth*relayNarrow)
	}
	return breadth
}

// candidates are the peers that are needed for so many workers. The same ones come first each time, so that more workers add peers and
// change none; owners of cells come last.
func (rs *relays) candidates(now time.Time, workers float64) []*relayLink {
	fl := rs.ow.fl
	held := fl.members.held()
	var list []*relayLink
	for name, nd := range fl.alive() {
		if name == fl.opts.Name || nd.Leaving {
			continue
		}
		if ln := rs.link(nd); !ln.isBad(now) {
			list = append(list, ln)
		}
	}
	slices.SortFunc(list, func(one, other *relayLink) int {
		return cmp.Or(cmp.Compare(held[one.node.Name], held[other.node.Name]), -cmp.Compare(weight(rs.ow.name, one.node), weight(rs.ow.name, other.node)), cmp.Compare(one.node.Name, other.node.Name))
	})
	room := 0.0
	for at, ln := range list {
		room += ln.node.power() * relayWorkers
		if room >= workers {
			return list[:at+1]
		}
	}
	return list
}

// power is an instance's share of a core, a whole one if it did not say.
func (nd node) power() float64 {
	if nd.Power <= 0 {
		return 1
	}
	return nd.Power
}

// weight ranks an instance for a name, so that larger ones come first more often and each name has an order of its own that others
// coming and going do not change (weighted rendezvous hashing).
func weight(name string, nd node) float64 {
	unit := (float64(xxhash.Sum64String(name+"/"+nd.Name)) + 1) / (math.MaxUint64 + 2)
	return -nd.power() / math.Log(unit)
}

// bestRelay returns the peer for a worker, nil if there is none.
func bestRelay(worker, hall string, links []*relayLink) *relayLink {
	var best *relayLink
	var bestWeight float64
	for _, near := range []bool{true, false} {
		for _, ln := range links {
			if near && ln.node.Hall != hall {
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
		ln = &relayLink{rs: rs, node: nd, peer: rs.ow.fl.peers.at(nd.Address), open: map[uint64]errand{}}
		rs.links[nd.Name] = ln
	}
	return ln
}

// relayLink is the way to one peer that carries out orders.
type relayLink struct {
	rs         *relays
	node       node
	peer       peer.Cells
	mu         sync.Mutex // guards what follows
	queue      []*peer.RelayOrder
	open       map[uint64]errand
	sending    bool
	collecting bool
	bad        time.Time
	// fails counts failures in a row.
	fails int
	pause time.Duration
}

// errand is an order that a peer has been given.
type errand struct {
	order cell.Order
	since time.Time
}

func (ln *relayLink) isBad(now time.Time) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return now.Before(ln.bad)
}

func (ln *relayLink) setPause(pause time.Duration) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.pause = pause
}

// send hands over an order, together with others that come at the same time; false if the peer has failed just now.
func (ln *relayLink) send(ctx context.Context, od cell.Order) bool {
	now := ln.rs.ow.fl.opts.Now()
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if now.Before(ln.bad) {
		return false
	}
	// Numbers are never used twice by a process: results that were meant for an earlier link to the peer may still come.
	id := ln.rs.ow.fl.errands.Add(1)
	ro := relayOrder(id, od)
	if ro == nil {
		return false
	}
	ln.open[id] = errand{od, now}
	ln.queue = append(ln.queue, ro)
	if !ln.sending {
		ln.sending = true
		go ln.hand(ctx)
	}
	if !ln.collecting {
		ln.collecting = true
		go ln.collect(ctx)
	}
	return true
}

// hand gives the peer what waits for it, until nothing does.
func (ln *relayLink) hand(ctx context.Context) {
	for {
		ln.mu.Lock()
		batch, pause := ln.queue, ln.pause
		ln.queue = nil
		ln.sending = len(batch) > 0
		ln.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		if _, err := ln.call(ctx, batch, 0); err != nil {
			ln.failed(batch, err)
		}
		sleep(ctx, pause)
	}
}

// collect fetches results while some are open.
func (ln *relayLink) collect(ctx context.Context) {
	for {
		ln.mu.Lock()
		pause := ln.pause
		ln.collecting = len(ln.open) > 0 && ctx.Err() == nil
		busy := ln.collecting
		ln.mu.Unlock()
		if !busy {
			return
		}
		rp, err := ln.call(ctx, nil, relayWait)
		switch {
		case err != nil:
			ln.lose("collect", err)
		case rp.Incarnation != ln.node.Incarnation:
			ln.lose("collect", errRestarted)
		default:
			ln.well()
			ln.take(rp.Results)
			ln.expire()
		}
		sleep(ctx, pause)
	}
}

// well notes that the peer answers.
func (ln *relayLink) well() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.fails = 0
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
func (ln *relayLink) take(results []*peer.RelayResult) {
	came := ln.rs.ow.fl.opts.Now()
	for _, rr := range results {
		ln.mu.Lock()
		er, open := ln.open[rr.Id]
		delete(ln.open, rr.Id)
		ln.mu.Unlock()
		if open {
			ln.settle(er, rr, came)
		}
	}
}

// settle tells the core what became of an order.
func (ln *relayLink) settle(er errand, rr *peer.RelayResult, came time.Time) {
	if look, ok := er.order.(cell.Look); ok {
		ln.rs.ow.looked(lookedOf(rr, look, er.since, came))
		return
	}
	ln.rs.ow.ordered(orderedOf(rr, er.order, er.since, came))
}

// end settles orders of which nothing more will be heard.
func (ln *relayLink) end(list []errand, oc cell.Outcome) {
	now := ln.rs.ow.fl.opts.Now()
	for _, er := range list {
		ln.settle(er, &peer.RelayResult{Outcome: int32(oc)}, now)
	}
}

// failed settles a batch that could not be handed over: not sent if no connection was to be had, else perhaps carried out.
func (ln *relayLink) failed(batch []*peer.RelayOrder, err error) {
	oc := cell.Silent
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		oc = cell.Unsent
	}
	ln.passOver("hand over", err)
	var list []errand
	ln.mu.Lock()
	for _, ro := range batch {
		if er, open := ln.open[ro.Id]; open {
			delete(ln.open, ro.Id)
			list = append(list, er)
		}
	}
	ln.mu.Unlock()
	ln.end(list, oc)
}

// lose settles all that is open: results may have been lost with the answer.
func (ln *relayLink) lose(call string, err error) {
	ln.passOver(call, err)
	ln.mu.Lock()
	list := make([]errand, 0, len(ln.open))
	for id, er := range ln.open {
		delete(ln.open, id)
		list = append(list, er)
	}
	ln.mu.Unlock()
	ln.end(list, cell.Silent)
}

// expire settles orders that should have had a result by now.
func (ln *relayLink) expire() {
	now := ln.rs.ow.fl.opts.Now()
	var list []errand
	ln.mu.Lock()
	for id, er := range ln.open {
		late := relayLate
		if look, ok := er.order.(cell.Look); ok {
			late += look.Wait
		}
		if now.Sub(er.since) > late {
			delete(ln.open, id)
			list = append(list, er)
		}
	}
	ln.mu.Unlock()
	ln.end(list, cell.Silent)
}

// passOver leaves the peer out for a while.
func (ln *relayLink) passOver(call string, err error) {
	fl := ln.rs.ow.fl
	if errors.Is(err, context.Canceled) {
		return
	}
	ln.mu.Lock()
	first := !fl.opts.Now().Before(ln.bad)
	if first {
		ln.bad = fl.opts.Now().Add(min(relayBadMost, relayBad<<min(ln.fails, 4)))
		ln.fails++
	}
	ln.mu.Unlock()
	if first {
		fl.opts.Log.Emit(event.RelayLost, zap.String("call", call), zap.String("cell", ln.rs.ow.name), zap.String("peer", ln.node.Name), zap.Error(err))
	}
}
