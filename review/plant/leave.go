package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The case of a job whose workers are taken away one after the other, as planned.

const (
	// leavingWorkers is the number of workers that are replaced, one after the other, of the workersOfPool of the pool.
	leavingWorkers = 4
	workersOfPool  = 16
	// servesOn is how long a worker serves on after its entry is gone: bounds.drain_ms and a little longer.
	servesOn = 2300 * time.Millisecond
	// nextLeaves is the time from the end of one worker until the entry of the next one goes, and from the answer to the client until the first goes.
	nextLeaves = time.Second
	// taskWork is how long a task works. The longest of board-reserve work 5.2 s.
	taskWork = 5 * time.Second
	// watchedJob is the job that is watched.
	watchedJob = "a30bb3116fcfbd74"
)

func setUpLeave(pl *plant) {
	for at := range workersOfPool {
		pl.addMachine(fmt.Sprintf("m-%d", at+1), fmt.Sprintf("r1-%d", 1+at/4))
	}
	pl.workOf = func(string) (time.Duration, bool) { return taskWork, false }
}

// playLeave hands in a job of eight tasks. With the disruption the first workers of the pool are replaced in the order of their machines: the entry of
// one goes, it serves on, it ends, and another worker comes in its place.
func playLeave(pl *plant, trouble bool) verdict {
	time.Sleep(5 * time.Second)
	body := map[string]any{"spec": "reserve 41", "phases": []map[string]any{{"count": 8, "cpu": 1900, "mem_mb": 3500, "estimate_ms": 5000}}}
	accepted := false
	for at := 0; at < 5 && !accepted; at++ {
		status, _ := pl.call(pl.entries[at%len(pl.entries)], http.MethodPost, watchedJob, body, 3*time.Second)
		accepted = status == http.StatusOK
	}
	if !accepted {
		return notRun
	}
	if trouble {
		for at := range leavingWorkers {
			time.Sleep(nextLeaves)
			pl.replaceWorker(fmt.Sprintf("m-%d", at+1))
		}
	}
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		status, text := pl.call(pl.entries[1], http.MethodGet, watchedJob, nil, 3*time.Second)
		switch {
		case status == http.StatusOK && strings.Contains(text, `"completed"`):
			return held
		case status == http.StatusOK && strings.Contains(text, `"failed"`):
			pl.record("LOST: the job is shown as failed; no run of it has ended failed, no worker has crashed, and nobody has cancelled it")
			return broken
		}
	}
	pl.record("the job has not ended in time")
	return notRun
}

// replaceWorker takes the worker of a machine away as planned, without a word of draining, and starts another one when it has ended.
func (pl *plant) replaceWorker(machine string) {
	pl.mu.Lock()
	wk, rack := pl.workers[machine], pl.racks[machine]
	pl.mu.Unlock()
	pl.record("%s on %s is to be replaced: its entry goes, it serves on for %v", wk.id, machine, servesOn)
	wk.mu.Lock()
	wk.leaving = true
	wk.mu.Unlock()
	pl.store.remove("servers", wk.id)
	time.Sleep(servesOn)
	pl.record("%s on %s ends as planned", wk.id, machine)
	pl.mu.Lock()
	pl.workers[machine] = nil
	pl.mu.Unlock()
	wk.stop()
	pl.addMachine(machine, rack)
}
