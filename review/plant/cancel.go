package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case of a job that is cancelled before the store has done the transaction that accepts it.

const (
	// lateBy is how long after the call the store does the transaction whose answer it loses.
	lateBy = 5 * time.Second
	// leavesAfter is when the client leaves.
	leavesAfter = 300 * time.Millisecond
	// cancelTime is bounds.cancel_ms, contactTime bounds.contact_ms.
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second
	// cancelledSteps is the number of steps of the job, one after the other, and stepWork how long each works.
	cancelledSteps = 5
	stepWork       = 2 * time.Second
	// cancelledJob is the job of the client that leaves.
	cancelledJob = "5c0e7a21d94b36f8"
	// otherClients is the number of clients that hand in a job at the same time and stay, so that one of five leaves.
	otherClients = 4
	// lossSpan is the time over which the share of lost answers is counted.
	lossSpan = 4500 * time.Millisecond
)

func setUpCancel(pl *plant) {
	for _, machine := range []string{"m-1", "m-2", "m-3"} {
		pl.addMachine(machine, "r1-"+machine[2:])
	}
	pl.workOf = func(string) (time.Duration, bool) { return stepWork, false }
}

// playCancel has a client hand in a job, leave and cancel the job through another entry instance. With the disruption the store loses the answer of
// the one transaction that holds the job, and does it late.
func playCancel(pl *plant, trouble bool) verdict {
	time.Sleep(5 * time.Second)
	var lost, writesInSpan atomic.Int32
	if trouble {
		until := time.Now().Add(lossSpan)
		time.AfterFunc(lossSpan, func() {
			pl.record("the store has lost %d answers of the %d transactions of %v", lost.Load(), writesInSpan.Load(), lossSpan)
		})
		pl.store.mu.Lock()
		pl.store.lose = func(tx transaction) (time.Duration, bool) {
			if time.Now().Before(until) {
				writesInSpan.Add(1)
			}
			if !writes(tx, cancelledJob) || lost.Load() > 0 {
				return 0, false
			}
			lost.Add(1)
			pl.record("the store loses the answer of a transaction with job %s, and does it in %v if its conditions hold then", cancelledJob, lateBy)
			return lateBy, true
		}
		pl.store.mu.Unlock()
	}
	var phases []map[string]any
	for at := range cancelledSteps {
		phase := map[string]any{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 2000}
		if at > 0 {
			phase["depends_on"] = []int{at - 1}
		}
		phases = append(phases, phase)
	}
	body := map[string]any{"spec": "valve 7", "phases": phases}
	called := time.Now()
	others := pl.otherJobs()
	submitted, _ := pl.call(pl.entries[0], http.MethodPost, cancelledJob, body, leavesAfter)
	var acknowledged time.Time
	for at := 1; at < 5 && acknowledged.IsZero(); at++ {
		status, _ := pl.call(pl.entries[at%len(pl.entries)], http.MethodDelete, cancelledJob, nil, 3*time.Second)
		if status/100 == 2 || status == http.StatusGone {
			acknowledged = time.Now()
		}
	}
	if acknowledged.IsZero() {
		pl.record("the cancel was never acknowledged")
		return notRun
	}
	time.Sleep(lateBy + cancelledSteps*stepWork + 2*time.Second)
	// Starts within contactTime of the late transaction are left out: the store may count as disturbed until then.
	calmAgain := called.Add(lateBy + contactTime + time.Second)
	vd := held
	for _, so := range pl.startsOf(cancelledJob) {
		if after := so.at.Sub(acknowledged); after > cancelTime && so.at.After(calmAgain) {
			pl.record("UNASKED: %s was started %.3f s after the cancel was acknowledged", so.task, after.Seconds())
			vd = broken
		}
	}
	pl.call(pl.entries[2], http.MethodGet, cancelledJob, nil, 3*time.Second)
	if !others() {
		pl.record("a client that stayed was not served")
		return notRun
	}
	if !trouble && submitted != http.StatusOK {
		pl.record("without the disruption the job was not accepted")
		return notRun
	}
	return vd
}

// otherJobs has the other clients hand in their jobs. The function that it returns reports whether all of these have been accepted and completed.
func (pl *plant) otherJobs() func() bool {
	body := map[string]any{"spec": "gate 3", "phases": []map[string]any{{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 2000}}}
	var served atomic.Int32
	var wg sync.WaitGroup
	for at := range otherClients {
		wg.Go(func() {
			// The instance of the client that leaves takes no other job at that moment, so that no transaction holds two.
			if status, _ := pl.call(pl.entries[1+at%2], http.MethodPost, otherJob(at), body, 3*time.Second); status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	return func() bool {
		wg.Wait()
		for at := range otherClients {
			if _, text := pl.call(pl.entries[1+at%2], http.MethodGet, otherJob(at), nil, 3*time.Second); !strings.Contains(text, `"completed"`) {
				return false
			}
		}
		return served.Load() == otherClients
	}
}

// otherJob returns the id of the job of a client that stays.
func otherJob(number int) string { return fmt.Sprintf("00000000000000b%d", number) }

// writes reports whether a transaction writes a row under a job's id.
func writes(tx transaction, id string) bool {
	for _, rw := range tx.Write {
		if strings.HasPrefix(rw.Key, id) {
			return true
		}
	}
	return false
}
