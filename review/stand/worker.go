package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a worker, as the settings of the case give them.
const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = 10 * time.Second
	stopTime          = 100 * time.Millisecond
	maxHoldWait       = 2 * time.Second
	maxListedEnds     = 500
)

// How a run ends.
const (
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endLapsed  = "lapsed"
	endBroken  = "broken"
	endAlone   = "alone"
	// endLost is never listed: the worker died with the run.
	endLost = "lost"
)

// taskRun is one run of a task on a worker, as the case judges it.
type taskRun struct {
	task    string
	attempt int
	worker  string
	spec    string
	began   time.Time
	ended   time.Time
	how     string
	number  int64
	noted   time.Time
	timer   *time.Timer
	span    time.Duration
	wk      *worker
	gang    *gang
}

func (tr *taskRun) job() string { return strings.SplitN(tr.task, ".", 2)[0] }

// worker is one life of a worker.
type worker struct {
	wd       *world
	id       string
	machine  string
	service  string
	zone     string
	rack     string
	address  string
	cpu      int
	mem      int
	server   *http.Server
	listener net.Listener
	began    time.Time
	mu       sync.Mutex // guards the fields below
	gone     bool
	dark     bool
	sequence int64
	fence    int64
	lease    time.Time
	// lapses are the times at which a lease ended.
	lapses  []time.Time
	active  map[string]*taskRun
	highest map[string]int
	ends    []*taskRun
	number  int64
	news    chan struct{}
}

// startWorker starts a life of a worker on a machine.
func (wd *world) startWorker(mc *machine) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	wd.mu.Lock()
	wd.lives++
	id := fmt.Sprintf("i-%08x", 0x5a000000+wd.lives*0x1357)
	wd.mu.Unlock()
	wk := &worker{wd: wd, id: id, machine: mc.name, service: mc.pool, zone: mc.zone, rack: mc.rack, address: ln.Addr().String(), cpu: mc.cpu, mem: mc.mem, listener: ln, began: time.Now().Add(-time.Hour), active: map[string]*taskRun{}, highest: map[string]int{}, news: make(chan struct{})}
	wk.server = &http.Server{Handler: wk, ReadHeaderTimeout: 5 * time.Second}
	wd.mu.Lock()
	mc.worker = wk
	wd.workers = append(wd.workers, wk)
	wd.mu.Unlock()
	wd.rec.add("worker %s starts on machine %s of %s at %s", id, mc.name, mc.pool, wk.address)
	go func() { _ = wk.server.Serve(ln) }()
	go wk.beat()
	go wk.watchLease()
	return nil
}

// beat keeps the worker in the store.
func (wk *worker) beat() {
	for {
		wk.mu.Lock()
		gone := wk.gone
		wk.sequence++
		sequence := wk.sequence
		wk.mu.Unlock()
		if gone {
			return
		}
		raw, err := json.Marshal(map[string]any{
			"service": wk.service, "address": wk.address, "zone": wk.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "machine": wk.machine,
			"capacity": map[string]int{"cpu": wk.cpu, "mem_mb": wk.mem, "gpu": 0}, "labels": []string{"a", wk.rack}, "clock_ms": wk.clock(), "sequence": sequence,
		})
		if err == nil {
			wk.wd.store.put(place{"servers", "", wk.id}, raw)
		}
		time.Sleep(heartbeatInterval)
	}
}

// die ends the life at once: everything that runs there ends with it, and its connections break.
func (wk *worker) die() {
	wk.loseRuns()
	_ = wk.server.Close()
	wk.wd.store.drop(place{"servers", "", wk.id})
}

// loseRuns ends what runs without listing it.
func (wk *worker) loseRuns() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.gone = true
	for _, tr := range wk.active {
		tr.timer.Stop()
		wk.wd.mu.Lock()
		tr.ended, tr.how = time.Now(), endLost
		wk.wd.mu.Unlock()
		wk.wd.rec.add("%s attempt %d is lost with %s", tr.task, tr.attempt, wk.id)
		if tr.gang != nil {
			go wk.wd.finishGang(tr.gang, endBroken)
		}
	}
	wk.active = map[string]*taskRun{}
}

// goDark ends the life like a loss of power: nothing answers any more, no connection breaks, and the entry in the store goes after three
// heartbeats of silence.
func (wk *worker) goDark() {
	wk.mu.Lock()
	wk.dark = true
	wk.mu.Unlock()
	wk.loseRuns()
	time.AfterFunc(3*heartbeatInterval, func() { wk.wd.store.drop(place{"servers", "", wk.id}) })
}

// isDark reports whether the worker has lost its power.
func (wk *worker) isDark() bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.dark
}

// clock is the worker's own steady clock in milliseconds.
func (wk *worker) clock() int64 { return time.Since(wk.began).Milliseconds() }

// order is the body of the calls to a worker.
type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until_ms"`
	Fence    int64  `json:"fencing_token"`
	Observed int64  `json:"observed"`
	Wait     int64  `json:"wait_ms"`
}

// ServeHTTP answers the calls of the entry instances.
func (wk *worker) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if wk.isDark() {
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if rq.URL.Path == "/healthz" {
		wr.Header().Set("X-Instance-Id", wk.id)
		return
	}
	if named := rq.Header.Get("X-Expected-Instance"); named != "" && named != wk.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var od order
	raw, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	if json.Unmarshal(raw, &od) != nil {
		sendJSON(wr, http.StatusBadRequest, map[string]any{"clock_ms": wk.clock()})
		return
	}
	wk.mu.Lock()
	if od.Fence < wk.fence {
		wk.mu.Unlock()
		sendJSON(wr, http.StatusConflict, map[string]any{"clock_ms": wk.clock(), "reason": "fence"})
		return
	}
	wk.fence = od.Fence
	if od.Until > 0 {
		wk.extend(od.Until)
	}
	wk.mu.Unlock()
	switch rq.URL.Path {
	case "/aspenseam/run-start":
		wk.start(wr, od)
	case "/aspenseam/run-stop":
		wk.stopRun(wr, od)
	case "/aspenseam/hold":
		wk.hold(wr, rq, od)
	case "/aspenseam/pace":
		sendJSON(wr, http.StatusOK, map[string]any{"clock_ms": wk.clock()})
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

// extend moves the lease of all that runs here, which is never shortened. The caller holds the lock.
func (wk *worker) extend(until int64) {
	span := min(holdMax, time.Duration(until-wk.clock())*time.Millisecond)
	if end := time.Now().Add(span); end.After(wk.lease) {
		wk.lease = end
	}
}

// watchLease kills what runs when the lease is over.
func (wk *worker) watchLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		wk.mu.Lock()
		if wk.gone {
			wk.mu.Unlock()
			return
		}
		if !wk.lease.IsZero() && time.Now().After(wk.lease) {
			wk.lapses = append(wk.lapses, wk.lease)
			wk.lease = time.Time{}
			for _, tr := range wk.active {
				wk.end(tr, endLapsed)
			}
		}
		wk.mu.Unlock()
	}
}

// percent returns how much of a run is done.
func (wk *worker) percent(tr *taskRun) int {
	if tr.span <= 0 {
		return 0
	}
	return int(min(99, 100*time.Since(tr.began)/tr.span))
}

// lapsedSince reports whether a lease has ended since a time. The caller holds the lock.
func (wk *worker) lapsedSince(at time.Time) bool {
	return len(wk.lapses) > 0 && wk.lapses[len(wk.lapses)-1].After(at)
}

// runKey names a run on a worker.
func runKey(task string, attempt int) string { return task + "/" + strconv.Itoa(attempt) }

func (wk *worker) start(wr http.ResponseWriter, od order) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	refuse := func(reason string) {
		wk.wd.rec.add("%s refuses start %s attempt %d: %s", wk.id, od.Task, od.Attempt, reason)
		sendJSON(wr, http.StatusConflict, map[string]any{"clock_ms": wk.clock(), "reason": reason})
	}
	switch {
	case wk.active[runKey(od.Task, od.Attempt)] != nil:
		sendJSON(wr, http.StatusOK, map[string]any{"clock_ms": wk.clock()})
		return
	case od.Attempt <= wk.highest[od.Task]:
		refuse("old")
		return
	case od.Until <= wk.clock():
		refuse("late")
		return
	}
	tr := &taskRun{task: od.Task, attempt: od.Attempt, worker: wk.id, spec: od.Spec, began: time.Now(), wk: wk}
	wk.active[runKey(od.Task, od.Attempt)] = tr
	wk.wd.began(tr)
	work, how := workOf(od)
	tr.span = work
	if count := wk.wd.gangSize(od.Task); count > 0 {
		wk.wd.join(tr, count, how)
	} else {
		tr.timer = time.AfterFunc(work, func() { wk.endRun(tr, how) })
	}
	sendJSON(wr, http.StatusOK, map[string]any{"clock_ms": wk.clock()})
}

// workOf returns how long a run takes and how it ends, from the words of its spec: work=MS, and fail=N for tasks whose first N attempts fail.
func workOf(od order) (time.Duration, string) {
	work, how := 500, endDone
	for _, word := range strings.Fields(od.Spec) {
		name, value, _ := strings.Cut(word, "=")
		number, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		switch name {
		case "work":
			work = number
		case "fail":
			if od.Attempt <= number {
				how = endFailed
			}
		}
	}
	return time.Duration(work) * time.Millisecond, how
}

// endRun ends a run and lists its end.
func (wk *worker) endRun(tr *taskRun, how string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.end(tr, how)
}

// end ends a run and lists its end. The caller holds the lock.
func (wk *worker) end(tr *taskRun, how string) {
	key := runKey(tr.task, tr.attempt)
	if wk.active[key] != tr || wk.gone {
		return
	}
	tr.timer.Stop()
	delete(wk.active, key)
	wk.highest[tr.task] = max(wk.highest[tr.task], tr.attempt)
	wk.number++
	wk.wd.mu.Lock()
	tr.number, tr.how, tr.ended = wk.number, how, time.Now()
	wk.wd.mu.Unlock()
	wk.ends = append(wk.ends, tr)
	wk.wd.rec.add("%s ends %s attempt %d: %s (number %d)", wk.id, tr.task, tr.attempt, how, tr.number)
	close(wk.news)
	wk.news = make(chan struct{})
	if tr.gang != nil && how != endDone {
		go wk.wd.finishGang(tr.gang, endBroken)
	}
}

func (wk *worker) stopRun(wr http.ResponseWriter, od order) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.highest[od.Task] = max(wk.highest[od.Task], od.Attempt)
	if tr := wk.active[runKey(od.Task, od.Attempt)]; tr != nil {
		time.AfterFunc(stopTime, func() { wk.endRun(tr, endStopped) })
	}
	sendJSON(wr, http.StatusOK, map[string]any{"clock_ms": wk.clock()})
}

// hold answers with what runs and what has ended, the first maxListedEnds of it. It waits for an end as long as it is told to.
func (wk *worker) hold(wr http.ResponseWriter, rq *http.Request, od order) {
	deadline := time.NewTimer(min(maxHoldWait, time.Duration(od.Wait)*time.Millisecond))
	defer deadline.Stop()
	wk.mu.Lock()
	for len(wk.ends) > 0 && wk.ends[0].number <= od.Observed {
		wk.wd.mu.Lock()
		// An end is taken note of unless the lease lapsed between the two.
		if !wk.lapsedSince(wk.ends[0].ended) {
			wk.ends[0].noted = time.Now()
		}
		wk.wd.mu.Unlock()
		wk.ends = wk.ends[1:]
	}
	for len(wk.ends) == 0 && od.Wait > 0 {
		news := wk.news
		wk.mu.Unlock()
		select {
		case <-news:
		case <-deadline.C:
			od.Wait = 0
		case <-rq.Context().Done():
			return
		}
		wk.mu.Lock()
	}
	if wk.dark {
		wk.mu.Unlock()
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	}
	active, finished := [][]any{}, [][]any{}
	for _, tr := range wk.active {
		active = append(active, []any{tr.task, tr.attempt, "", wk.percent(tr), 1})
	}
	for _, tr := range wk.ends[:min(len(wk.ends), maxListedEnds)] {
		finished = append(finished, []any{tr.number, tr.task, tr.attempt, tr.how, ""})
	}
	if len(wk.ends) > maxListedEnds {
		wk.wd.rec.add("%s lists %d of %d ends", wk.id, len(finished), len(wk.ends))
	}
	clock := wk.clock()
	wk.mu.Unlock()
	sendJSON(wr, http.StatusOK, map[string]any{"clock_ms": clock, "active": active, "finished": finished})
}
