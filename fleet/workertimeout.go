package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// Timeouts of calls to workers.
const (
	// workerMinTimeout is the least timeout of a call to a worker, beyond the wait of a poll. Answers take about 2 ms. A lost
	// order delays the orders behind it by the timeout; an order that times out although it was carried out costs one
	// additional poll.
	workerMinTimeout = 400 * time.Millisecond
	// workerMaxTimeout is the greatest timeout where answers are slow. Three attempts at a poll still fit into a lease of 5 s.
	workerMaxTimeout = 1600 * time.Millisecond
	// workerTimeoutFactor is the ratio of the timeout to the smoothed answer time.
	workerTimeoutFactor = 4
	// timeoutsPerDoubling is how many calls in a row, to any workers, must time out before the timeout doubles. If only single
	// answers are lost, others arrive in between. But a link of this instance that is saturated for two seconds lets no answer
	// through in time, and polls that are abandoned and sent again add to its load, until the leases of healthy workers run
	// out.
	timeoutsPerDoubling = 3
	// workerMaxDoublings bounds how often the timeout doubles.
	workerMaxDoublings = 2
)

// adaptiveWorkers adapts the timeouts of calls to the workers' answer times. It implements Workers.
type adaptiveWorkers struct {
	Workers
	mu sync.Mutex // guards the fields below
	// answerTime is the smoothed answer time, consecutiveTimeouts the number of calls in a row without an answer.
	answerTime          time.Duration
	consecutiveTimeouts int
}

// timeout returns how long to wait for an answer.
func (aw *adaptiveWorkers) timeout() time.Duration {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	base := max(workerMinTimeout, workerTimeoutFactor*aw.answerTime)
	return min(workerMaxTimeout, base<<min(aw.consecutiveTimeouts/timeoutsPerDoubling, workerMaxDoublings))
}

// recordAnswer records how long a call took, or that it was not answered. A worker may delay its answer to a poll by up to
// pollWait, which is not counted.
func (aw *adaptiveWorkers) recordAnswer(elapsed time.Duration, pollWait time.Duration, oc cell.Outcome) {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	switch {
	case oc == cell.NotSent:
	case oc == cell.NoAnswer:
		aw.consecutiveTimeouts++
	case elapsed > pollWait:
		// An answer that the worker did not delay for the whole time does not show how long the network took.
		aw.answerTime += time.Duration(latencyWeight * float64(elapsed-pollWait-aw.answerTime))
		aw.consecutiveTimeouts = 0
	default:
		aw.consecutiveTimeouts = 0
	}
}

// Poll implements Workers.
func (aw *adaptiveWorkers) Poll(ctx context.Context, poll cell.Poll) cell.PollResult {
	ctx, cancel := context.WithTimeout(ctx, poll.Wait+aw.timeout())
	defer cancel()
	result := aw.Workers.Poll(ctx, poll)
	aw.recordAnswer(result.Received.Sub(result.Sent), poll.Wait, result.Outcome)
	return result
}

// Send implements Workers.
func (aw *adaptiveWorkers) Send(ctx context.Context, od cell.Order) cell.OrderResult {
	ctx, cancel := context.WithTimeout(ctx, aw.timeout())
	defer cancel()
	result := aw.Workers.Send(ctx, od)
	aw.recordAnswer(result.Received.Sub(result.Sent), 0, result.Outcome)
	return result
}
