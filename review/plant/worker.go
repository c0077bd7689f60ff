package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// What the workers of this plant are like.
const (
	heartbeat   = 1500 * time.Millisecond
	maxLease    = 10 * time.Second
	maxHold     = 2 * time.Second
	maxListed   = 500
	workerCPU   = 16000
	workerMB    = 32768
	stopTime    = 50 * time.Millisecond
	leaseSample = 20 * time.Millisecond
)

// runOf is a run of a task on a worker.
type runOf struct {
	task    string
	attempt int
	began   time.Time
	work    time.Duration
	lasting bool
}

// endOf is the end of a run, as it is listed.
type endOf struct {
	number  int64
	task    string
	attempt int
	how     string
}

// MarshalJSON encodes the end as the array that the protocol asks for.
func (eo endOf) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{eo.number, eo.task, eo.attempt, eo.how, ""})
}

// worker is a stand-in of one life of a worker.
type worker struct {
	pl      *plant
	id      string
	machine string
	rack    string
	srv     *http.Server
	address string
	mu      sync.Mutex // guards the fields below
	started time.Time
	running map[string]*runOf
	// newest is the newest run of each task that has ended here.
	newest map[string]int
	ended  []endOf
	number int64
	token  int64
	until  int64
	// leaving means that the worker keeps no entry any more. dead means that it has ended.
	leaving, dead bool
	sequence      int
	ends          chan struct{}
}

// startWorker starts a worker on a machine and registers it.
func (pl *plant) startWorker(machine, rack string) *worker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	wk := &worker{pl: pl, id: fmt.Sprintf("i-%010x", pl.nextID()), machine: machine, rack: rack, address: ln.Addr().String(), started: time.Now(), running: map[string]*runOf{}, newest: map[string]int{}, ends: make(chan struct{})}
	wk.srv = &http.Server{Handler: wk}
	go func() { _ = wk.srv.Serve(ln) }()
	wk.register()
	go wk.live()
	return wk
}

// register writes the worker's entry in the store.
func (wk *worker) register() {
	wk.mu.Lock()
	wk.sequence++
	entry := map[string]any{
		"service": wk.pl.service, "address": wk.address, "zone": zones[0], "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "sequence": wk.sequence,
		"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMB, "gpu": 0}, "labels": []string{"a", wk.rack}, "machine": wk.machine, "clock_ms": wk.clock(),
	}
	quiet := wk.leaving || wk.dead
	wk.mu.Unlock()
	if !quiet {
		wk.pl.store.put("servers", wk.id, entry)
	}
}

// clock returns the worker's clock. The caller holds the lock.
func (wk *worker) clock() int64 { return 1000 + time.Since(wk.started).Milliseconds() }

// live renews the entry, and ends tasks that are done or whose lease is over.
func (wk *worker) live() {
	renewed := time.Now()
	for {
		time.Sleep(leaseSample)
		wk.mu.Lock()
		if wk.dead {
			wk.mu.Unlock()
			return
		}
		for _, task := range slices.Sorted(maps.Keys(wk.running)) {
			rn := wk.running[task]
			switch {
			case wk.clock() >= wk.until:
				wk.end(rn, "lapsed")
			case !rn.lasting && time.Since(rn.began) >= rn.work:
				wk.end(rn, "done")
			}
		}
		wk.mu.Unlock()
		if time.Since(renewed) >= heartbeat {
			renewed = time.Now()
			wk.register()
		}
	}
}

// end ends a run. The caller holds the lock.
func (wk *worker) end(rn *runOf, how string) {
	if wk.running[rn.task] != rn {
		return
	}
	delete(wk.running, rn.task)
	wk.newest[rn.task] = max(wk.newest[rn.task], rn.attempt)
	wk.number++
	wk.ended = append(wk.ended, endOf{wk.number, rn.task, rn.attempt, how})
	wk.pl.record("run of %s attempt %d on %s ends: %s", rn.task, rn.attempt, wk.id, how)
	close(wk.ends)
	wk.ends = make(chan struct{})
}

// stop ends the worker: its connections are reset.
func (wk *worker) stop() {
	wk.mu.Lock()
	wk.dead = true
	for _, task := range slices.Sorted(maps.Keys(wk.running)) {
		wk.pl.record("run of %s attempt %d on %s is lost with its worker", task, wk.running[task].attempt, wk.id)
	}
	wk.running = map[string]*runOf{}
	wk.mu.Unlock()
	_ = wk.srv.Close()
}

// order is the body of any call of a worker.
type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until_ms"`
	Token    int64  `json:"fencing_token"`
	Observed int64  `json:"observed"`
	Wait     int64  `json:"wait_ms"`
}

// ServeHTTP answers a call of an entry instance.
func (wk *worker) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if id := rq.Header.Get("X-Expected-Instance"); id != "" && id != wk.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var od order
	if json.NewDecoder(rq.Body).Decode(&od) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	path := strings.TrimPrefix(rq.URL.Path, "/aspenseam/")
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.dead {
		panic(http.ErrAbortHandler)
	}
	if od.Token < wk.token {
		answer(wr, http.StatusConflict, map[string]any{"clock_ms": wk.clock(), "reason": "fence"})
		return
	}
	wk.token = od.Token
	wk.until = max(wk.until, min(od.Until, wk.clock()+maxLease.Milliseconds()))
	switch path {
	case "run-start":
		wk.serveStart(wr, od)
	case "run-stop":
		wk.serveStop(wr, od)
	case "hold":
		wk.serveHold(wr, rq, od)
	case "pace":
		answer(wr, http.StatusOK, map[string]any{"clock_ms": wk.clock()})
	default:
		wr.WriteHeader(http.StatusBadRequest)
	}
}

// serveStart starts a run. The caller holds the lock.
func (wk *worker) serveStart(wr http.ResponseWriter, od order) {
	reason := ""
	rn := wk.running[od.Task]
	switch {
	case rn != nil && rn.attempt == od.Attempt:
		answer(wr, http.StatusOK, map[string]any{"clock_ms": wk.clock()})
		return
	case rn != nil || od.Attempt <= wk.newest[od.Task]:
		reason = "old"
	case od.Until <= wk.clock():
		reason = "late"
	}
	if reason != "" {
		answer(wr, http.StatusConflict, map[string]any{"clock_ms": wk.clock(), "reason": reason})
		return
	}
	work, lasting := wk.pl.workOf(od.Spec)
	wk.running[od.Task] = &runOf{task: od.Task, attempt: od.Attempt, began: time.Now(), work: work, lasting: lasting}
	wk.pl.started(od.Task, od.Attempt, wk)
	answer(wr, http.StatusOK, map[string]any{"clock_ms": wk.clock()})
}

// serveStop stops a run. The caller holds the lock.
func (wk *worker) serveStop(wr http.ResponseWriter, od order) {
	wk.newest[od.Task] = max(wk.newest[od.Task], od.Attempt)
	if rn := wk.running[od.Task]; rn != nil && rn.attempt == od.Attempt {
		time.AfterFunc(stopTime, func() {
			wk.mu.Lock()
			defer wk.mu.Unlock()
			wk.end(rn, "stopped")
		})
	}
	answer(wr, http.StatusOK, map[string]any{"clock_ms": wk.clock()})
}

// serveHold lists what runs and what has ended, and holds the answer until an end comes. The caller holds the lock.
func (wk *worker) serveHold(wr http.ResponseWriter, rq *http.Request, od order) {
	wk.ended = slices.DeleteFunc(wk.ended, func(eo endOf) bool { return eo.number <= od.Observed })
	timer := time.NewTimer(min(maxHold, time.Duration(od.Wait)*time.Millisecond))
	defer timer.Stop()
	for waiting := od.Wait > 0; waiting && len(wk.ended) == 0 && !wk.dead; {
		ends := wk.ends
		wk.mu.Unlock()
		select {
		case <-ends:
		case <-timer.C:
			waiting = false
		case <-rq.Context().Done():
			waiting = false
		}
		wk.mu.Lock()
	}
	if wk.dead {
		panic(http.ErrAbortHandler)
	}
	active := [][]any{}
	for _, task := range slices.Sorted(maps.Keys(wk.running)) {
		rn := wk.running[task]
		percent := 100
		if !rn.lasting {
			percent = int(100 * time.Since(rn.began) / rn.work)
		}
		active = append(active, []any{rn.task, rn.attempt, "", min(100, percent), 100})
	}
	answer(wr, http.StatusOK, map[string]any{"clock_ms": wk.clock(), "active": active, "finished": append([]endOf{}, wk.ended[:min(len(wk.ended), maxListed)]...)})
}
