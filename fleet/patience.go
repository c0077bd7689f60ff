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
	workerPatience = 400 * time.Millisecond
	// workerMost bounds it where answers are slow: three tries of a look still fit into a lease of 5 s.
	workerMost = 1600 * time.Millisecond
	// workerTimes is how many times the time that answers take is waited for.
	workerTimes = 4
	// workerVain is how many calls in a row, to any workers, must be waited for in vain before the wait doubles: single answers are lost
	// where others come in between, while an own link that is full for two seconds lets none through in time. Looks that are then given up
	// and sent anew add to what fills it, until leases lapse whose workers are well.
	workerVain = 3
	// vainWorker bounds how often it doubles.
	vainWorker = 2
)

// patientWorkers waits for workers' answers as long as answers take. It implements Workers.
type patientWorkers struct {
	Workers
	mu sync.Mutex // guards what follows
	// answer is the smoothed time of an answer, vain how many calls in a row had none.
	answer time.Duration
	vain   int
}

// patience is how long to wait for an answer now.
func (pw *patientWorkers) patience() time.Duration {
	pw.mu.Lock()
	defer pw.mu.Unlock()
	span := max(workerPatience, workerTimes*pw.answer)
	return min(workerMost, span<<min(pw.vain/workerVain, vainWorker))
}

// took notes how long an answer took beyond the time for which it was held back, or that none came.
func (pw *patientWorkers) took(span time.Duration, held time.Duration, oc cell.Outcome) {
	pw.mu.Lock()
	defer pw.mu.Unlock()
	switch {
	case oc == cell.Unsent:
	case oc == cell.Silent:
		pw.vain++
	case span > held:
		// An answer that came before its time was held back for an end tells nothing of the way.
		pw.answer += time.Duration(latencyWeight * float64(span-held-pw.answer))
		pw.vain = 0
	default:
		pw.vain = 0
	}
}

// Look implements Workers.
func (pw *patientWorkers) Look(ctx context.Context, lk cell.Look) cell.Looked {
	ctx, cancel := context.WithTimeout(ctx, lk.Wait+pw.patience())
	defer cancel()
	res := pw.Workers.Look(ctx, lk)
	pw.took(res.Received.Sub(res.Sent), lk.Wait, res.Outcome)
	return res
}

// Order implements Workers.
func (pw *patientWorkers) Order(ctx context.Context, od cell.Order) cell.Ordered {
	ctx, cancel := context.WithTimeout(ctx, pw.patience())
	defer cancel()
	res := pw.Workers.Order(ctx, od)
	pw.took(res.Received.Sub(res.Sent), 0, res.Outcome)
	return res
}
