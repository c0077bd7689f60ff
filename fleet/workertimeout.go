package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// How long a worker's answer is waited for.
const (
	// workerPatience bounds an order to a worker, whose answer takes some 2 ms, and a look beyond the time for which it is held back. An order
	// that is lost keeps those behind it waiting for as long; one that is given up although it was carried out costs a look.
	workerMinTimeout = 400 * time.Millisecond
	// workerMost bounds it where answers are slow: three tries of a look still fit into a lease of 5 s.
	workerMaxTimeout = 1600 * time.Millisecond
	// workerTimes is how many times the time that answers take is waited for.
	workerTimeoutFactor = 4
	// workerVain is how many calls in a row, to any workers, must be waited for in vain before the wait doubles: single answers are lost
	// where others come in between, while an own link that is full for two seconds lets none through in time. Looks that are then given up
	// and sent anew add to what fills it, until leases lapse whose workers are well.
	timeoutsPerDoubling = 3
	// vainWorker bounds how often it doubles.
	workerMaxDoublings = 2
)

// patientWorkers waits for workers' answers as long as answers take. It implements Workers.
type adaptiveWorkers struct {
	Workers
	mu sync.Mutex // guards what follows
	// answer is the smoothed time of an answer, vain how many calls in a row had none.
	answerTime          time.Duration
	consecutiveTimeouts int
}

// patience is how long to wait for an answer now.
func (aw *adaptiveWorkers) timeout() time.Duration {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	elapsed := max(workerMinTimeout, workerTimeoutFactor*aw.answerTime)
	return min(workerMaxTimeout, elapsed<<min(aw.consecutiveTimeouts/timeoutsPerDoubling, workerMaxDoublings))
}

// took notes how long an answer took beyond the time for which it was held back, or that none came.
func (aw *adaptiveWorkers) recordAnswer(elapsed time.Duration, held time.Duration, oc cell.Outcome) {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	switch {
	case oc == cell.NotSent:
	case oc == cell.NoAnswer:
		aw.consecutiveTimeouts++
	case elapsed > held:
		// An answer that came before its time was held back for an end tells nothing of the way.
		aw.answerTime += time.Duration(latencyWeight * float64(elapsed-held-aw.answerTime))
		aw.consecutiveTimeouts = 0
	default:
		aw.consecutiveTimeouts = 0
	}
}

// Look implements Workers.
func (aw *adaptiveWorkers) Look(ctx context.Context, lk cell.Poll) cell.PollResult {
	ctx, cancel := context.WithTimeout(ctx, lk.Wait+aw.timeout())
	defer cancel()
	res := aw.Workers.Look(ctx, lk)
	aw.recordAnswer(res.Received.Sub(res.Sent), lk.Wait, res.Outcome)
	return res
}

// Order implements Workers.
func (aw *adaptiveWorkers) Order(ctx context.Context, od cell.Order) cell.OrderResult {
	ctx, cancel := context.WithTimeout(ctx, aw.timeout())
	defer cancel()
	res := aw.Workers.Order(ctx, od)
	aw.recordAnswer(res.Received.Sub(res.Sent), 0, res.Outcome)
	return res
}
