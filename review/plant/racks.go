package main

import (
	"net/http"
	"strings"
	"time"
)

// The case of a job whose workers crash again and again, through no fault of the job.

const (
	// rackDown is how long the workers of a rack are away, rackEvery the time between two crashes.
	rackDown  = 2 * time.Second
	rackEvery = 1500 * time.Millisecond
	// rackCrashes is the number of crashes, one of each rack.
	rackCrashes = 3
	// innocentJob is the job that is watched.
	innocentJob = "a30bb3116fcfbd74"
)

func setUpRacks(pl *plant) {
	for _, machine := range []string{"m-11", "m-12", "m-21", "m-22", "m-31", "m-32"} {
		pl.addMachine(machine, "r1-"+machine[2:3])
	}
	pl.workOf = func(string) (time.Duration, bool) { return 4 * time.Second, false }
}

// playRacks hands in a job of six tasks of 4 s. With the disruption each of the three racks crashes once, 1.5 s after the one before, and comes
// back 2 s later.
func playRacks(pl *plant, trouble bool) verdict {
	time.Sleep(5 * time.Second)
	body := map[string]any{"spec": "tally", "phases": []map[string]any{{"count": 6, "cpu": 3000, "mem_mb": 1024, "estimate_ms": 4000}}}
	accepted := false
	for at := 0; at < 5 && !accepted; at++ {
		status, _ := pl.call(pl.entries[at%len(pl.entries)], http.MethodPost, innocentJob, body, 3*time.Second)
		accepted = status == http.StatusOK
	}
	if !accepted {
		return notRun
	}
	if trouble {
		for at := range rackCrashes {
			time.Sleep(rackEvery)
			pl.crashRack([]string{"r1-1", "r1-2", "r1-3"}[at%3], rackDown)
		}
	}
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		status, text := pl.call(pl.entries[1], http.MethodGet, innocentJob, nil, 3*time.Second)
		switch {
		case status == http.StatusOK && strings.Contains(text, `"completed"`):
			return held
		case status == http.StatusOK && strings.Contains(text, `"failed"`):
			pl.record("LOST: the job is shown as failed; no run of it has ended failed, and nobody has cancelled it")
			return broken
		}
	}
	pl.record("the job has not ended in time")
	return notRun
}
