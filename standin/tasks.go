package standin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/table"
	"github.com/aspenseam/aspenseam/worker"
)

// reportFor is how long the end of a task is reported.
const reportFor = 10 * time.Minute

// TaskFaults switches what workers do wrong.
type TaskFaults struct {
	// RunMs is how long each task takes.
	RunMs int `json:"runMs"`
	// FailOn lists workers on which every task fails.
	FailOn []table.InstanceID `json:"failOn"`
	// CrashBy lists jobs each of which ends the worker that starts it, with all that runs there. Its next life serves after BackMs and knows
	// of nothing.
	CrashBy []worker.JobID `json:"crashBy"`
	BackMs  int            `json:"backMs"`
	// Used is what each task is seen to take.
	Used worker.Size `json:"used"`
}

// TaskCounts says what workers ran.
type TaskCounts struct {
	// Starts counts by job how often a new attempt began.
	Starts map[worker.JobID]int `json:"starts"`
	// Overlaps lists jobs of which two attempts ran at once.
	Overlaps []worker.JobID `json:"overlaps"`
	// Crashes counts by job how many workers it ended.
	Crashes map[worker.JobID]int `json:"crashes"`
	// Refused counts starts with an old attempt or a lease in the past.
	Refused int `json:"refused"`
	// FirstMs is when each job first began, in milliseconds since 1970 UTC.
	FirstMs map[worker.JobID]int64 `json:"firstMs"`
}

// Tasks is the workers' side of tasks under leases.
type Tasks struct {
	mu      sync.Mutex
	faults  TaskFaults
	running map[worker.JobID]*running
	// newest is the highest attempt of a task that the present life of each worker knows.
	newest map[table.InstanceID]map[worker.JobID]worker.Attempt
	ended  []ended
	counts TaskCounts
	// backAt is when workers that ended have their next life.
	backAt map[table.InstanceID]time.Time
}

type running struct {
	task worker.Task
	ends time.Time
}

type ended struct {
	report worker.Report
	at     time.Time
}

// NewTasks returns workers without tasks, each of which takes a second.
func NewTasks() *Tasks {
	return &Tasks{faults: TaskFaults{RunMs: 1000, Used: worker.Size{CPUMillis: 500, MemoryMB: 500}}, running: map[worker.JobID]*running{}, newest: map[table.InstanceID]map[worker.JobID]worker.Attempt{}, backAt: map[table.InstanceID]time.Time{}, counts: TaskCounts{Starts: map[worker.JobID]int{}, Crashes: map[worker.JobID]int{}, FirstMs: map[worker.JobID]int64{}}}
}

// settle ends the tasks whose time or lease is over; the lock is held.
func (ts *Tasks) settle(now time.Time) {
	for _, rn := range ts.running {
		state := worker.TaskRunning
		switch {
		case !now.Before(rn.task.LeaseUntil):
			state = worker.TaskStopped
		case ts.fails(rn.task.Instance):
			state = worker.TaskFailed
		case !now.Before(rn.ends):
			state = worker.TaskDone
		}
		if state != worker.TaskRunning {
			ts.end(rn, state, now)
		}
	}
	for len(ts.ended) > 0 && now.Sub(ts.ended[0].at) > reportFor {
		ts.ended = ts.ended[1:]
	}
}

func (ts *Tasks) fails(id table.InstanceID) bool {
	for _, bad := range ts.faults.FailOn {
		if bad == id {
			return true
		}
	}
	return false
}

func (ts *Tasks) end(rn *running, state worker.TaskState, now time.Time) {
	tk := rn.task
	ts.ended = append(ts.ended, ended{worker.Report{Job: tk.Job, Attempt: tk.Attempt, Instance: tk.Instance, State: state, Used: ts.faults.Used}, now})
	delete(ts.running, tk.Job)
}

// start takes a task, or renews its lease.
func (ts *Tasks) start(wr http.ResponseWriter, rq *http.Request) {
	var tk worker.Task
	if !readJSON(wr, rq, &tk) {
		return
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := time.Now()
	ts.settle(now)
	if now.Before(ts.backAt[tk.Instance]) {
		abort()
	}
	newest := ts.newest[tk.Instance][tk.Job]
	if tk.Attempt < newest || !now.Before(tk.LeaseUntil) {
		ts.counts.Refused++
		http.Error(wr, "old attempt or lapsed lease", http.StatusConflict)
		return
	}
	if tk.Renew && tk.Attempt > newest {
		http.Error(wr, "no such attempt", http.StatusNotFound)
		return
	}
	if rn := ts.running[tk.Job]; rn != nil && rn.task.Attempt == tk.Attempt {
		rn.task.LeaseUntil = tk.LeaseUntil
	} else if tk.Attempt > newest {
		ts.begin(rn, tk, now)
	}
	if slices.Contains(ts.faults.CrashBy, tk.Job) && ts.running[tk.Job] != nil {
		ts.crash(tk, now)
		abort()
	}
	wr.WriteHeader(http.StatusNoContent)
}

func (ts *Tasks) begin(old *running, tk worker.Task, now time.Time) {
	if old != nil {
		ts.counts.Overlaps = append(ts.counts.Overlaps, tk.Job)
	}
	if ts.newest[tk.Instance] == nil {
		ts.newest[tk.Instance] = map[worker.JobID]worker.Attempt{}
	}
	ts.newest[tk.Instance][tk.Job] = tk.Attempt
	ts.counts.Starts[tk.Job]++
	if ts.counts.FirstMs[tk.Job] == 0 {
		ts.counts.FirstMs[tk.Job] = now.UnixMilli()
	}
	ts.running[tk.Job] = &running{task: tk, ends: now.Add(time.Duration(ts.faults.RunMs) * time.Millisecond)}
}

// crash ends the worker of a task. Its next life has the same name and knows of nothing.
func (ts *Tasks) crash(tk worker.Task, now time.Time) {
	ts.counts.Crashes[tk.Job]++
	ts.backAt[tk.Instance] = now.Add(time.Duration(ts.faults.BackMs) * time.Millisecond)
	for id, rn := range ts.running {
		if rn.task.Instance == tk.Instance {
			delete(ts.running, id)
		}
	}
	delete(ts.newest, tk.Instance)
}

// stop ends a task.
func (ts *Tasks) stop(wr http.ResponseWriter, rq *http.Request) {
	attempt, err := strconv.Atoi(rq.PathValue("attempt"))
	if err != nil {
		http.Error(wr, "attempt must be a number", http.StatusBadRequest)
		return
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := time.Now()
	ts.settle(now)
	if rn := ts.running[worker.JobID(rq.PathValue("task"))]; rn != nil && rn.task.Attempt == worker.Attempt(attempt) {
		ts.end(rn, worker.TaskStopped, now)
	}
	wr.WriteHeader(http.StatusNoContent)
}

func (ts *Tasks) report(wr http.ResponseWriter, _ *http.Request) {
	ts.mu.Lock()
	ts.settle(time.Now())
	reports := []worker.Report{}
	for _, ed := range ts.ended {
		reports = append(reports, ed.report)
	}
	ts.mu.Unlock()
	writeJSON(wr, http.StatusOK, reports)
}

func (ts *Tasks) getCounts(wr http.ResponseWriter, _ *http.Request) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	writeJSON(wr, http.StatusOK, ts.counts)
}
