package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// laneQuiet is how long after a silent order a worker's lane sends no further starts.
const laneQuiet = 300 * time.Millisecond

// lane sends orders to one worker in turn, so that they take one connection and cannot overtake each other.
type lane struct {
	workers Workers
	now     func() time.Time
	// patience is how long an order may wait for its turn; 0 for any time.
	patience time.Duration
	mu       sync.Mutex // guards what follows
	queue    []queued
	busy     bool
	quiet    time.Time
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
	if !ln.busy {
		ln.busy = true
		go ln.run(ctx)
	}
}

func (ln *lane) next() (queued, bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if len(ln.queue) == 0 {
		ln.busy = false
		return queued{}, false
	}
	qd := ln.queue[0]
	ln.queue = ln.queue[1:]
	return qd, true
}

func (ln *lane) run(ctx context.Context) {
	for {
		qd, ok := ln.next()
		if !ok {
			return
		}
		now := ln.now()
		var result cell.Ordered
		_, start := qd.order.(cell.Start)
		if start && now.Before(ln.quiet) || ln.patience > 0 && now.Sub(qd.since) > ln.patience {
			// The worker did not answer just now, or its giver no longer waits; what was not sent can go elsewhere at once.
			result = cell.Ordered{Order: qd.order, Outcome: cell.Unsent, Sent: now, Received: now}
		} else {
			result = ln.workers.Order(ctx, qd.order)
		}
		if result.Outcome == cell.Silent {
			ln.quiet = ln.now().Add(laneQuiet)
		}
		qd.done(result)
	}
}
