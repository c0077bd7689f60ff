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
	slowOrderDelay = 30 * time.Millisecond
	// laneMost is how many orders are under way at once.
	maxOrdersInFlight = 3
	// laneSilent is after how many silent orders in a row the worker counts as gone, and laneQuiet how long no starts are sent to it then.
	unansweredLimit = 2
	unansweredPause = 300 * time.Millisecond
)

// lane sends orders to one worker in turn, over one connection as long as they are answered.
type orderQueue struct {
	workers Workers
	now     func() time.Time
	// patience is how long an order may wait for its turn; 0 for any time.
	maxWait time.Duration
	mu      sync.Mutex // guards what follows
	queue   []queuedOrder
	// active counts the orders under way, silent those in a row that were not answered.
	inFlight, unanswered int
	pausedUntil          time.Time
}

// queued is an order in a lane, with who is told what became of it.
type queuedOrder struct {
	order    cell.Order
	queuedAt time.Time
	report   func(cell.Ordered)
}

func newOrderQueue(workers Workers, now func() time.Time) *orderQueue {
	return &orderQueue{workers: workers, now: now}
}

// add puts an order at the end of the lane.
func (oq *orderQueue) enqueue(ctx context.Context, od cell.Order, done func(cell.Ordered)) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	oq.queue = append(oq.queue, queuedOrder{od, oq.now(), done})
	if oq.inFlight == 0 {
		oq.inFlight++
		go oq.run(ctx)
	}
}

// widen sends a further order beside those whose answers take long.
func (oq *orderQueue) sendNext(ctx context.Context) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	if len(oq.queue) > 0 && oq.inFlight < maxOrdersInFlight {
		oq.inFlight++
		go oq.run(ctx)
	}
}

// next takes the next order; it reports whether there is one, and whether it may be sent.
func (oq *orderQueue) next() (qo queuedOrder, send, ok bool) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	if len(oq.queue) == 0 {
		oq.inFlight--
		return qo, false, false
	}
	qo, oq.queue = oq.queue[0], oq.queue[1:]
	now := oq.now()
	_, start := qo.order.(cell.Start)
	// Where the worker does not answer, or its giver no longer waits, what was not sent can go elsewhere at once.
	expired := oq.maxWait > 0 && now.Sub(qo.queuedAt) > oq.maxWait
	return qo, !expired && !(start && now.Before(oq.pausedUntil)), true
}

// idle reports whether nothing is under way or waits.
func (oq *orderQueue) idle() bool {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	return oq.inFlight == 0
}

// run sends orders until none waits.
func (oq *orderQueue) run(ctx context.Context) {
	for {
		qo, send, ok := oq.next()
		if !ok {
			return
		}
		if !send {
			now := oq.now()
			qo.report(cell.Ordered{Order: qo.order, Outcome: cell.Unsent, Sent: now, Received: now})
			continue
		}
		slow := time.AfterFunc(slowOrderDelay, func() { oq.sendNext(ctx) })
		result := oq.workers.Order(ctx, qo.order)
		slow.Stop()
		oq.recordOutcome(result.Outcome)
		qo.report(result)
	}
}

// note counts orders without an answer.
func (oq *orderQueue) recordOutcome(oc cell.Outcome) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	if oc != cell.Silent {
		oq.unanswered = 0
		return
	}
	oq.unanswered++
	if oq.unanswered >= unansweredLimit {
		oq.pausedUntil = oq.now().Add(unansweredPause)
	}
}
