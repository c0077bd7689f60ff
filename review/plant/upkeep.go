package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The case of a job whose racks have their upkeep one after the other.

const (
	// upkeepRacks is the number of racks, rackMachines the number of machines of each.
	upkeepRacks  = 5
	rackMachines = 3
	// upkeepWaves is the number of racks that have their upkeep, one wave for each.
	upkeepWaves = 4
	// waveDuration is the time that the operator gives each wave, in seconds.
	waveDuration = 26
	// longWork is how long a task works.
	longWork = 15 * time.Second
	// nextWave is the time from the completion of a wave until the operator asks for the next one.
	nextWave = 500 * time.Millisecond
	// tallyJob is the job that is watched.
	tallyJob = "993d98bdfcae6654"
)

func setUpUpkeep(pl *plant) {
	for rack := range upkeepRacks {
		for at := range rackMachines {
			pl.addMachine(fmt.Sprintf("m-%d%d", rack+1, at+1), fmt.Sprintf("r1-%d", rack+1))
		}
	}
	pl.workOf = func(string) (time.Duration, bool) { return longWork, false }
}

// playUpkeep hands in a job of six tasks. With the disruption the operator asks for the upkeep of one rack after the other.
func playUpkeep(pl *plant, trouble bool) verdict {
	time.Sleep(5 * time.Second)
	body := map[string]any{"spec": "tally of mill 3", "phases": []map[string]any{{"count": 6, "cpu": 1500, "mem_mb": 3400, "estimate_ms": 15000}}}
	accepted := false
	for at := 0; at < 5 && !accepted; at++ {
		status, _ := pl.call(pl.entries[at%len(pl.entries)], http.MethodPost, tallyJob, body, 3*time.Second)
		accepted = status == http.StatusOK
	}
	if !accepted {
		return notRun
	}
	if trouble {
		go pl.maintainRacks()
	}
	for until := time.Now().Add(80 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		status, text := pl.call(pl.entries[1], http.MethodGet, tallyJob, nil, 3*time.Second)
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

// maintainRacks asks for a wave of each rack in turn, the next one when the former is completed.
func (pl *plant) maintainRacks() {
	for number := 1; number <= upkeepWaves; number++ {
		time.Sleep(nextWave)
		wv := wave{Wave: number, Duration: waveDuration, Maximum: rackMachines}
		for at := range rackMachines {
			wv.Machines = append(wv.Machines, fmt.Sprintf("m-%d%d", number, at+1))
		}
		pl.askWave(wv)
		for !pl.waveCompleted(number) {
			time.Sleep(50 * time.Millisecond)
		}
		pl.record("wave %d is reported as completed", number)
	}
}
