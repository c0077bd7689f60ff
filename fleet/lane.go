package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// Bounds of the orders that are under way to one worker.
const (
	// laneSlow is how long an order keeps those behind it waiting; then the next one goes, on another connection.
	laneSlow = 30 * time.Millisecond
	// laneMost is how many orders are under way at once.
	laneMost = 3
	// laneSilent is after how many silent orders in a row the worker counts as gone, and laneQuiet how long no starts are sent to it then.
	laneSilent = 2
	laneQuiet  = 300 * time.Millisecond
)

// lane sends orders to one worker in turn, over one connection as long as they are answered.
type lane struct {
	workers Workers
	now     func() time.Time
	// patience is how long an order may wait for its turn; 0 for any time.
	patience time.Duration
	mu       sync.Mutex // guards what follows
	queue    []queued
	// active counts the orders under way, silent those in a row that were not answered.
	active, silent int
	quiet          time.Time
}

// queued is an order in a lane, with who is told what became of it.
type queued struct {
	order cell.Order
	since time.Time
	done  func(cell.Ordered)
}

func newLane(workers Workers, now func() time.Time) *lane {
	return &lane{workers: workers, now: now}
}

// add puts an order at the end of the lane.
func (ln *lane) add(ctx context.Context, od cell.Order, done func(cell.Ordered)) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.queue = append(ln.queue, queued{od, ln.now(), done})
	if ln.active == 0 {
		ln.active++
		go ln.run(ctx)
	}
}

// widen sends a further order beside those whose answers take long.
func (ln *lane) widen(ctx context.Context) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if len(ln.queue) > 0 && ln.active < laneMost {
		ln.active++
		go ln.run(ctx)
	}
}

// next takes the next order; it reports whether there is one, and whether it may be sent.
func (ln *lane) next() (qd queued, send, ok bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if len(ln.queue) == 0 {
		ln.active--
		return qd, false, false
	}
	qd, ln.queue = ln.queue[0], ln.queue[1:]
	now := ln.now()
	_, start := qd.order.(cell.Start)
	// Where the worker does not answer, or its giver no longer waits, what was not sent can go elsewhere at once.
	late := ln.patience > 0 && now.Sub(qd.since) > ln.patience
	return qd, !late && !(start && now.Before(ln.quiet)), true
}

// idle reports whether nothing is under way or waits.
func (ln *lane) idle() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.active == 0
}

// run sends orders until none waits.
func (ln *lane) run(ctx context.Context) {
	for {
		qd, send, ok := ln.next()
		if !ok {
			return
		}
		if !send {
			now := ln.now()
			qd.done(cell.Ordered{Order: qd.order, Outcome: cell.Unsent, Sent: now, Received: now})
			continue
		}
		slow := time.AfterFunc(laneSlow, func() { ln.widen(ctx) })
		result := ln.workers.Order(ctx, qd.order)
		slow.Stop()
		ln.note(result.Outcome)
		qd.done(result)
	}
}

// note counts orders without an answer.
func (ln *lane) note(oc cell.Outcome) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if oc != cell.Silent {
		ln.silent = 0
		return
	}
	ln.silent++
	if ln.silent >= laneSilent {
		ln.quiet = ln.now().Add(laneQuiet)
	}
}
