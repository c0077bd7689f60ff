package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Words of the configuration of the cases.
const (
	host        = "desk.example"
	prefix      = "/books/"
	clientWait  = 3 * time.Second
	maxAttempts = 4
	// settleTime is how long the entry instances have before the first job, as clients come some time after the machines.
	settleTime = 10 * time.Second
)

// route is a queue of the operator's configuration.
type route map[string]any

func newRoute(name, prefix, service string) route {
	return route{"name": name, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": service, "max_attempts": maxAttempts, "extension": 1.6}
}

// newConfiguration returns a configuration with the pools of the small deployment.
func newConfiguration(version int, routes ...route) map[string]any {
	services := []map[string]any{}
	for _, name := range smallDeployment.pools {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "preconditions": false, "headroom": false})
	}
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// phase is a step of a job.
type phase struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemoryMB   int   `json:"mem_mb"`
	EstimateMS int   `json:"estimate_ms"`
	DependsOn  []int `json:"depends_on,omitempty"`
	Gang       bool  `json:"gang,omitempty"`
}

// submission is a job as a client sends it.
type submission struct {
	Spec   string  `json:"spec"`
	Phases []phase `json:"phases"`
}

// submit hands a job in as a client does, until it is accepted.
func (wd *world) submit(path, id string, sb submission, patience time.Duration) error {
	wd.mu.Lock()
	wd.jobs[id] = sb
	wd.mu.Unlock()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		en, err := wd.anyEntry()
		if err != nil {
			return err
		}
		status, _ := en.call(http.MethodPost, host, path+id, sb, clientWait)
		wd.rec.add("client POST %s%s at %s -> %d", path, id, en.name, status)
		if status >= 200 && status < 300 {
			return nil
		}
		if status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusRequestEntityTooLarge {
			return fmt.Errorf("the job %s was answered %d", id, status)
		}
	}
	return fmt.Errorf("the job %s was not accepted", id)
}

// state asks for the state of a job. It is empty if there was no answer that tells it.
func (wd *world) state(path, id string) string {
	en, err := wd.anyEntry()
	if err != nil {
		return ""
	}
	status, raw := en.call(http.MethodGet, host, path+id, nil, clientWait)
	var answer struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(raw, &answer) != nil {
		answer.State = ""
	}
	wd.rec.add("client GET %s%s at %s -> %d %s", path, id, en.name, status, answer.State)
	if status == http.StatusGone {
		return "gone"
	}
	return answer.State
}

// awaitState asks for the state of a job until it is the wanted one.
func (wd *world) awaitState(path, id, wanted string, patience time.Duration) bool {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(400 * time.Millisecond) {
		if wd.state(path, id) == wanted {
			return true
		}
	}
	return false
}

// runsOf returns copies of the runs of a job.
func (wd *world) runsOf(job string) []taskRun {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	var list []taskRun
	for _, tr := range wd.runs {
		if tr.job() == job {
			list = append(list, *tr)
		}
	}
	return list
}

// startsAfterDone returns the starts of tasks of which a run had ended done before, where that end was taken note of at some time.
func (wd *world) startsAfterDone(job string) []string {
	done := map[string]taskRun{}
	var found []string
	runs := wd.runsOf(job)
	for _, tr := range runs {
		if former, known := done[tr.task]; tr.how == endDone && !tr.noted.IsZero() && (!known || tr.ended.Before(former.ended)) {
			done[tr.task] = tr
		}
	}
	for _, tr := range runs {
		if former, known := done[tr.task]; known && tr.began.After(former.ended) {
			found = append(found, fmt.Sprintf("%s attempt %d started on %s, %.3f s after attempt %d had ended done on %s (end %d, taken note of)", tr.task, tr.attempt, tr.worker, tr.began.Sub(former.ended).Seconds(), former.attempt, former.worker, former.number))
		}
	}
	return found
}

// caseEnds kills the owner of a pool while the tasks of some jobs end: a worker then has more ends than one answer lists.
func caseEnds(wd *world) (string, error) {
	const (
		jobs  = 30
		width = 24
		work  = 4500
	)
	if err := wd.start(smallDeployment, newConfiguration(7, newRoute("r-books", prefix, "books"), newRoute("r-orders", "/orders/", "orders"))); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	var ids []string
	for at := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", at)
		sb := submission{Spec: fmt.Sprintf("work=%d", work), Phases: []phase{{Count: width, CPU: 20, MemoryMB: 20, EstimateMS: work}}}
		if err := wd.submit(prefix, id, sb, 10*time.Second); err != nil {
			return "", err
		}
		ids = append(ids, id)
	}
	for deadline := time.Now().Add(10 * time.Second); wd.runCount(ids) < jobs*width; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", fmt.Errorf("%d of %d tasks were started", wd.runCount(ids), jobs*width)
		}
	}
	first := wd.runsOf(ids[0])[0].began
	wd.rec.add("all %d tasks have been started within %.3f s", jobs*width, time.Since(first).Seconds())
	time.Sleep(time.Until(first.Add((work - 300) * time.Millisecond)))
	if wd.trouble {
		owner := wd.owner("books")
		if owner == nil {
			return "", fmt.Errorf("nobody owns the pool")
		}
		owner.kill()
		time.AfterFunc(3500*time.Millisecond, func() { _ = owner.launch() })
	}
	completed := 0
	for deadline := time.Now().Add(40 * time.Second); completed < jobs && time.Now().Before(deadline); time.Sleep(400 * time.Millisecond) {
		completed = 0
		for _, id := range ids {
			if wd.state(prefix, id) == "completed" {
				completed++
			}
		}
	}
	time.Sleep(3 * time.Second)
	var found []string
	for _, id := range ids {
		found = append(found, wd.startsAfterDone(id)...)
	}
	wd.rec.add("%d of %d jobs completed; %d starts of %d tasks, %d of them after the task had ended done", completed, jobs, wd.runCount(ids), jobs*width, len(found))
	for _, text := range found {
		wd.rec.add("TWICE: %s", text)
	}
	if len(found) > 0 {
		return fmt.Sprintf("TWICE: %d starts of tasks that had ended done, first: %s", len(found), found[0]), nil
	}
	return "", nil
}

// runCount counts the runs of some jobs.
func (wd *world) runCount(ids []string) int {
	count := 0
	for _, id := range ids {
		count += len(wd.runsOf(id))
	}
	return count
}

// caseRow hands in a wide job that can never be done, among small ones that can. What the system keeps of its failed attempts outgrows a row of the store.
func caseRow(wd *world) (string, error) {
	const (
		poison = "900d0000000000ff"
		wide   = 1300
		small  = 20
	)
	if err := wd.start(smallDeployment, newConfiguration(7, newRoute("r-books", prefix, "books"), newRoute("r-orders", "/orders/", "orders"))); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	var ids []string
	for at := range small {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", at)
		sb := submission{Spec: "work=4000"}
		for step := range 4 {
			ph := phase{Count: 2, CPU: 500, MemoryMB: 256, EstimateMS: 4000}
			if step > 0 {
				ph.DependsOn = []int{step - 1}
			}
			sb.Phases = append(sb.Phases, ph)
		}
		if err := wd.submit(prefix, id, sb, 10*time.Second); err != nil {
			return "", err
		}
		ids = append(ids, id)
	}
	spec := "work=3000"
	if wd.trouble {
		spec += " fail=1000"
	}
	if err := wd.submit(prefix, poison, submission{Spec: spec, Phases: []phase{{Count: wide, CPU: 10, MemoryMB: 8, EstimateMS: 3000}}}, 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(35 * time.Second)
	stuck, idleSince := 0, time.Time{}
	for _, id := range ids {
		if wd.state(prefix, id) != "completed" {
			stuck++
		}
	}
	wd.mu.Lock()
	running := 0
	for _, tr := range wd.runs {
		if tr.how == "" {
			running++
		}
		if tr.ended.After(idleSince) {
			idleSince = tr.ended
		}
	}
	impossible := wd.events[eventSaveImpossible]
	wd.mu.Unlock()
	state := wd.state(prefix, poison)
	wd.rec.add("%d of %d small jobs are not completed; the wide job is %q; %d runs at work, the last end %.1f s ago; event 848 logged %d times", stuck, small, state, running, time.Since(idleSince).Seconds(), impossible)
	if stuck > 0 && running == 0 && time.Since(idleSince) > 7*time.Second {
		return fmt.Sprintf("LOST: %d of %d accepted jobs have had nothing running for %.1f s, on workers with all of their room free", stuck, small, time.Since(idleSince).Seconds()), nil
	}
	return "", nil
}

// caseRename replaces a route by one of another name for the same host, prefix and service, and restarts the owner of its pool. A job that was
// accepted before has tasks that fail once, of max_attempts 4.
func caseRename(wd *world) (string, error) {
	const (
		id    = "5c0e7a21d94b36f8"
		count = 6
		work  = 6000
	)
	orders := newRoute("r-orders", "/orders/", "orders")
	if err := wd.start(smallDeployment, newConfiguration(7, newRoute("r-books", prefix, "books"), orders)); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	if err := wd.submit(prefix, id, submission{Spec: fmt.Sprintf("work=%d fail=1", work), Phases: []phase{{Count: count, CPU: 1000, MemoryMB: 512, EstimateMS: work}}}, 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if wd.trouble {
		if err := wd.configure(newConfiguration(12, newRoute("r-desk", prefix, "books"), orders)); err != nil {
			return "", err
		}
		time.Sleep(2 * time.Second)
		owner := wd.owner("books")
		if owner == nil {
			return "", fmt.Errorf("nobody owns the pool")
		}
		owner.signal(syscall.SIGTERM)
		time.AfterFunc(7*time.Second, func() { _ = owner.launch() })
	}
	completed := wd.awaitState(prefix, id, "completed", 30*time.Second)
	state := wd.state(prefix, id)
	failed := map[string]int{}
	most := 0
	for _, tr := range wd.runsOf(id) {
		if tr.how == endFailed {
			failed[tr.task]++
			most = max(most, failed[tr.task])
		}
	}
	wd.rec.add("job completed: %v, state %q; no task failed more than %d times of %d", completed, state, most, maxAttempts)
	if state == "failed" && most < maxAttempts {
		return fmt.Sprintf("LOST: the job is shown as failed, though no task has failed more than %d times and max_attempts was always %d", most, maxAttempts), nil
	}
	return "", nil
}

// casePending fills two pools with long work, hands in jobs that have to wait, and moves their route to the other service.
func casePending(wd *world) (string, error) {
	const waiting = 8
	orders := newRoute("r-orders", "/orders/", "orders")
	if err := wd.start(smallDeployment, newConfiguration(7, newRoute("r-books", prefix, "books"), orders)); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	whole := submission{Spec: "work=60000", Phases: []phase{{Count: smallDeployment.machines, CPU: 16000, MemoryMB: 1024, EstimateMS: 60000}}}
	if err := wd.submit("/orders/", "5c0e7a21d94b36f0", whole, 10*time.Second); err != nil {
		return "", err
	}
	if err := wd.submit(prefix, "5c0e7a21d94b36f1", whole, 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	for at := range waiting {
		sb := submission{Spec: "work=1500", Phases: []phase{{Count: 2, CPU: 2000, MemoryMB: 256, EstimateMS: 1500}}}
		if err := wd.submit(prefix, fmt.Sprintf("5c0e7a21d94b37%02x", at), sb, 10*time.Second); err != nil {
			return "", err
		}
	}
	time.Sleep(6 * time.Second)
	if wd.trouble {
		if err := wd.configure(newConfiguration(12, newRoute("r-books", prefix, "orders"), orders)); err != nil {
			return "", err
		}
	}
	time.Sleep(6 * time.Second)
	wd.mu.Lock()
	begun := map[string]bool{}
	for _, tr := range wd.runs {
		begun[tr.job()] = true
	}
	entries := wd.entries
	wd.mu.Unlock()
	unbegun := 0
	for at := range waiting {
		if !begun[fmt.Sprintf("5c0e7a21d94b37%02x", at)] {
			unbegun++
		}
	}
	wd.rec.add("%d of the %d jobs have not begun", unbegun, waiting)
	if unbegun < waiting {
		return "", fmt.Errorf("%d jobs have begun, so that nothing can be said", waiting-unbegun)
	}
	wrong := 0
	for _, en := range entries {
		status, raw := en.call(http.MethodGet, host, prefix, nil, clientWait)
		wd.rec.add("client GET %s at %s -> %d %s", prefix, en.name, status, raw)
		var answer struct {
			Pending int `json:"pending"`
		}
		if status == http.StatusOK && json.Unmarshal(raw, &answer) == nil && 2*answer.Pending < waiting {
			wrong++
		}
	}
	if wrong > 0 {
		return fmt.Sprintf("MIXED: %d entry instances give under half of the %d jobs as pending that were accepted over 5 s ago and have not begun", wrong, waiting), nil
	}
	return "", nil
}

// caseGang lets one worker lose its power while all members of a gang run on it, beside a job of the same shape whose tasks are no gang.
func caseGang(wd *world) (string, error) {
	const (
		gangID  = "5c0e7a21d94b36f8"
		plainID = "5c0e7a21d94b36f9"
		work    = 6000
		downFor = 4500 * time.Millisecond
	)
	if err := wd.start(smallDeployment, newConfiguration(7, newRoute("r-books", prefix, "books"), newRoute("r-orders", "/orders/", "orders"))); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	sb := submission{Spec: fmt.Sprintf("work=%d", work), Phases: []phase{{Count: 6, CPU: 900, MemoryMB: 512, EstimateMS: work, Gang: true}}}
	if err := wd.submit(prefix, gangID, sb, 10*time.Second); err != nil {
		return "", err
	}
	sb.Phases = []phase{{Count: 6, CPU: 900, MemoryMB: 512, EstimateMS: work}}
	if err := wd.submit(prefix, plainID, sb, 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	hosts := map[string]int{}
	for _, tr := range append(wd.runsOf(gangID), wd.runsOf(plainID)...) {
		hosts[tr.worker]++
	}
	wd.rec.add("tasks by worker: %v", hosts)
	if wd.trouble {
		wd.crashDark(wd.runsOf(gangID)[0].worker, downFor)
	}
	completed := wd.awaitState(prefix, gangID, "completed", 40*time.Second)
	state, plain := wd.state(prefix, gangID), wd.state(prefix, plainID)
	failed := 0
	for _, tr := range wd.runsOf(gangID) {
		if tr.how == endFailed {
			failed++
		}
	}
	wd.rec.add("gang completed: %v, state %q; plain job: %q; %d runs of the gang have ended failed", completed, state, plain, failed)
	if state == "failed" && failed == 0 {
		return "LOST: the job of the gang is shown as failed, though none of its tasks has failed once; one worker was lost", nil
	}
	return "", nil
}
