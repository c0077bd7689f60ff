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
}

// submission is a job as a client sends it.
type submission struct {
	Spec   string  `json:"spec"`
	Phases []phase `json:"phases"`
}

// submit hands a job in as a client does, until it is accepted.
func (wd *world) submit(path, id string, sb submission, patience time.Duration) error {
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

// caseEnds kills the owner of a pool while the tasks of a wide job end: the worker then has more ends than one answer lists.
func caseEnds(wd *world) (string, error) {
	const (
		id    = "5c0e7a21d94b36f8"
		count = 700
		work  = 4500
	)
	if err := wd.start(smallDeployment, newConfiguration(7, newRoute("r-books", prefix, "books"), newRoute("r-orders", "/orders/", "orders"))); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	if err := wd.submit(prefix, id, submission{Spec: fmt.Sprintf("work=%d", work), Phases: []phase{{Count: count, CPU: 20, MemoryMB: 20, EstimateMS: work}}}, 10*time.Second); err != nil {
		return "", err
	}
	began := time.Now()
	for len(wd.runsOf(id)) < count && time.Since(began) < 15*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	runs := wd.runsOf(id)
	if len(runs) < count {
		return "", fmt.Errorf("%d of %d tasks were started", len(runs), count)
	}
	wd.rec.add("all %d tasks run, %.3f s after the job was accepted", count, time.Since(began).Seconds())
	if wd.trouble {
		owner := wd.owner("books")
		if owner == nil {
			return "", fmt.Errorf("nobody owns the pool")
		}
		time.Sleep(time.Until(runs[0].began.Add((work - 300) * time.Millisecond)))
		owner.kill()
		time.AfterFunc(3500*time.Millisecond, func() { _ = owner.launch() })
	}
	completed := wd.awaitState(prefix, id, "completed", 40*time.Second)
	time.Sleep(3 * time.Second)
	found := wd.startsAfterDone(id)
	wd.rec.add("job completed: %v; %d starts for %d tasks; %d of them after the task had ended done", completed, len(wd.runsOf(id)), count, len(found))
	for _, text := range found {
		wd.rec.add("TWICE: %s", text)
	}
	if len(found) > 0 {
		return fmt.Sprintf("TWICE: %d starts of tasks that had ended done, first: %s", len(found), found[0]), nil
	}
	return "", nil
}

// caseRow hands in a wide job that can never be done, among small ones that can. What the system keeps of its failed attempts outgrows a row of the store.
func caseRow(wd *world) (string, error) {
	const (
		poison = "900d0000000000ff"
		wide   = 3000
		small  = 20
	)
	if err := wd.start(smallDeployment, newConfiguration(7, newRoute("r-books", prefix, "books"), newRoute("r-orders", "/orders/", "orders"))); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	var ids []string
	for at := range small {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", at)
		sb := submission{Spec: "work=1500", Phases: []phase{{Count: 2, CPU: 500, MemoryMB: 256, EstimateMS: 1500}, {Count: 2, CPU: 500, MemoryMB: 256, EstimateMS: 1500, DependsOn: []int{0}}, {Count: 2, CPU: 500, MemoryMB: 256, EstimateMS: 1500, DependsOn: []int{1}}}}
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
	time.Sleep(25 * time.Second)
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
	time.Sleep(5 * time.Second)
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
	time.Sleep(5 * time.Second)
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
