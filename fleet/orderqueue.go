package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// Bounds of the orders in flight to one worker.
const (
	// slowOrderDelay is how long an unanswered order blocks the queue; then the next order is sent on another connection.
	slowOrderDelay = 30 * time.Millisecond
	// maxOrdersInFlight bounds the orders in flight at once.
	maxOrdersInFlight = 3
	// unansweredLimit is the number of unanswered orders in a row after which the worker counts as unresponsive, and
	// unansweredPause is how long no starts are sent to it then.
	unansweredLimit = 2
	unansweredPause = 300 * time.Millisecond
)

// orderQueue sends orders to one worker in sequence, over one connection as long as they are answered promptly.
type orderQueue struct {
	workers Workers
	now     func() time.Time
	// evacuated reports whether the workers of a data hall get no new tasks.
	evacuated func(hall job.HallID) bool
	// maxWait bounds how long an order may wait in the queue; 0 means no bound.
	maxWait time.Duration
	mu      sync.Mutex // guards the fields below
	queue   []queuedOrder
	// inFlight counts the orders in flight, unanswered the consecutive orders without an answer.
	inFlight, unanswered int
	pausedUntil          time.Time
}

// queuedOrder is an order in the queue and the callback for its result.
type queuedOrder struct {
	order    cell.Order
	queuedAt time.Time
	report   func(cell.OrderResult)
}

func newOrderQueue(workers Workers, now func() time.Time, evacuated func(job.HallID) bool) *orderQueue {
	return &orderQueue{workers: workers, now: now, evacuated: evacuated}
}

// enqueue appends an order to the queue.
func (oq *orderQueue) enqueue(ctx context.Context, od cell.Order, report func(cell.OrderResult)) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	oq.queue = append(oq.queue, queuedOrder{od, oq.now(), report})
	if oq.inFlight == 0 {
		oq.inFlight++
		go oq.run(ctx)
	}
}

// startSender starts another sender if orders are waiting, so that a slow order does not block the queue.
func (oq *orderQueue) startSender(ctx context.Context) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	if len(oq.queue) > 0 && oq.inFlight < maxOrdersInFlight {
		oq.inFlight++
		go oq.run(ctx)
	}
}

// next removes the first order from the queue. ok reports whether there was one, and send whether it may be sent.
func (oq *orderQueue) next() (qo queuedOrder, send, ok bool) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	if len(oq.queue) == 0 {
		oq.inFlight--
		return qo, false, false
	}
	qo, oq.queue = oq.queue[0], oq.queue[1:]
	now := oq.now()
	start, isStart := qo.order.(cell.Start)
	// If the worker does not answer, or the sender has stopped waiting, an order that was not sent can be given to another worker
	// at once.
	expired := oq.maxWait > 0 && now.Sub(qo.queuedAt) > oq.maxWait
	blocked := isStart && (now.Before(oq.pausedUntil) || oq.evacuated(start.Hall))
	return qo, !expired && !blocked, true
}

// idle reports whether no order is queued or in flight.
func (oq *orderQueue) idle() bool {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	return oq.inFlight == 0
}

// run sends orders until the queue is empty.
func (oq *orderQueue) run(ctx context.Context) {
	for {
		qo, send, ok := oq.next()
		if !ok {
			return
		}
		if !send {
			now := oq.now()
			qo.report(cell.OrderResult{Order: qo.order, Outcome: cell.NotSent, Sent: now, Received: now})
			continue
		}
		timer := time.AfterFunc(slowOrderDelay, func() { oq.startSender(ctx) })
		result := oq.workers.Send(ctx, qo.order)
		timer.Stop()
		oq.recordOutcome(result.Outcome)
		qo.report(result)
	}
}

// recordOutcome counts unanswered orders.
func (oq *orderQueue) recordOutcome(oc cell.Outcome) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	if oc != cell.NoAnswer {
		oq.unanswered = 0
		return
	}
	oq.unanswered++
	if oq.unanswered >= unansweredLimit {
		oq.pausedUntil = oq.now().Add(unansweredPause)
	}
}
