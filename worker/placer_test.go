package worker_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/standin"
	"github.com/aspenseam/aspenseam/table"
	"github.com/aspenseam/aspenseam/worker"
)

// fakeWorkers is an in-memory implementation of worker.Workers that runs tasks under leases.
type fakeWorkers struct {
	mu    sync.Mutex
	tasks map[worker.JobID]*runningTask
	// newestAttempts holds the newest attempt of each job that was started on any worker.
	newestAttempts map[worker.JobID]worker.Attempt
	// badWorkers fail every job; badJobs fail on every worker.
	badWorkers map[table.InstanceID]bool
	badJobs    map[worker.JobID]bool
	// lostWorkers do not answer. A job of crashingJobs crashes each worker that starts it, which makes the worker a lost one.
	lostWorkers  map[table.InstanceID]bool
	crashingJobs map[worker.JobID]bool
	// crashCounts counts the workers that each job has crashed.
	crashCounts map[worker.JobID]int
	used        func(worker.JobID) worker.Size
	reports     []worker.Report
	violations  []string
	starts      int
	startedAt   map[worker.JobID]time.Time
}

// runningTask is a task that runs on a worker.
type runningTask struct {
	task   worker.Task
	endsAt time.Time
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{tasks: map[worker.JobID]*runningTask{}, newestAttempts: map[worker.JobID]worker.Attempt{}, badWorkers: map[table.InstanceID]bool{}, badJobs: map[worker.JobID]bool{}, lostWorkers: map[table.InstanceID]bool{}, crashingJobs: map[worker.JobID]bool{}, crashCounts: map[worker.JobID]int{}, startedAt: map[worker.JobID]time.Time{}, used: func(worker.JobID) worker.Size { return worker.Size{CPUMillis: 500, MemoryMB: 500} }}
}

// Start starts a task, or renews its lease. It refuses an expired lease and an attempt older than the newest one.
func (fw *fakeWorkers) Start(_ context.Context, tk worker.Task) error {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.finishDueTasks()
	if fw.crashingJobs[tk.Job] && !fw.lostWorkers[tk.Instance] && !tk.Renew {
		fw.crashCounts[tk.Job]++
		fw.crashWorker(tk.Instance)
	}
	if fw.lostWorkers[tk.Instance] {
		return fmt.Errorf("worker does not answer")
	}
	if tk.Attempt < fw.newestAttempts[tk.Job] || !time.Now().Before(tk.LeaseUntil) {
		return fmt.Errorf("refused")
	}
	if tk.Renew && fw.newestAttempts[tk.Job] != tk.Attempt {
		return table.ErrNoTask
	}
	if rn := fw.tasks[tk.Job]; rn != nil {
		if rn.task.Attempt != tk.Attempt || rn.task.Instance != tk.Instance {
			fw.violations = append(fw.violations, fmt.Sprintf("%s runs on %s and was started on %s", tk.Job, rn.task.Instance, tk.Instance))
		}
		rn.task.LeaseUntil = tk.LeaseUntil
		return nil
	}
	if tk.Attempt == fw.newestAttempts[tk.Job] {
		return nil // The task has ended already; its report has the outcome.
	}
	fw.starts++
	fw.newestAttempts[tk.Job] = tk.Attempt
	if fw.startedAt[tk.Job].IsZero() {
		fw.startedAt[tk.Job] = time.Now()
	}
	fw.tasks[tk.Job] = &runningTask{task: tk, endsAt: time.Now().Add(20 * time.Second)}
	return nil
}

// Stop stops a task.
func (fw *fakeWorkers) Stop(_ context.Context, _ table.InstanceID, job worker.JobID, at worker.Attempt, _ bool) error {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if rn := fw.tasks[job]; rn != nil && rn.task.Attempt == at {
		fw.report(rn, worker.TaskStopped)
	}
	return nil
}

// crashWorker ends a worker and all its tasks. After a minute another incarnation serves under the same name.
func (fw *fakeWorkers) crashWorker(id table.InstanceID) {
	fw.lostWorkers[id] = true
	for job, rn := range fw.tasks {
		if rn.task.Instance == id {
			delete(fw.tasks, job)
			// The next incarnation does not know the attempt.
			fw.newestAttempts[job]--
		}
	}
	time.AfterFunc(time.Minute, func() {
		fw.mu.Lock()
		defer fw.mu.Unlock()
		fw.lostWorkers[id] = false
	})
}

func (fw *fakeWorkers) report(rn *runningTask, state worker.TaskState) {
	tk := rn.task
	fw.reports = append(fw.reports, worker.Report{Job: tk.Job, Attempt: tk.Attempt, Instance: tk.Instance, State: state, Used: fw.used(tk.Job)})
	delete(fw.tasks, tk.Job)
}

// finishDueTasks ends the tasks that are due or whose lease has expired. The caller holds fw.mu.
func (fw *fakeWorkers) finishDueTasks() {
	now := time.Now()
	for _, rn := range fw.tasks {
		switch {
		case !now.Before(rn.task.LeaseUntil):
			fw.report(rn, worker.TaskStopped)
		case fw.badWorkers[rn.task.Instance] || fw.badJobs[rn.task.Job]:
			fw.report(rn, worker.TaskFailed)
		case !now.Before(rn.endsAt):
			fw.report(rn, worker.TaskDone)
		}
	}
}

// Reports returns the reports of all ended tasks.
func (fw *fakeWorkers) Reports(context.Context) ([]worker.Report, error) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.finishDueTasks()
	return slices.Clone(fw.reports), nil
}

// testBed is a table with workers and jobs, and the placers that use it.
type testBed struct {
	t        *testing.T
	mm       *standin.Memory
	fw       *fakeWorkers
	watcher  *table.Watcher
	jobCount int
}

func newTestBed(ctx context.Context, t *testing.T, workers int) *testBed {
	tb := &testBed{t: t, mm: standin.NewMemory(), fw: newFakeWorkers()}
	var sd standin.Seed
	for ix := range workers {
		id := table.InstanceID(fmt.Sprintf("w%d", ix+1))
		sd.Instances = append(sd.Instances, table.Instance{ID: id, State: table.InstanceServing, Epoch: 1})
		sd.Members = append(sd.Members, table.Member{ID: id, Role: table.RoleWorker, State: table.MemberLive})
	}
	if err := tb.mm.Load(sd); err != nil {
		t.Fatal(err)
	}
	tb.watcher = table.NewWatcher(tb.mm)
	go tb.watcher.Run(ctx)
	tb.put(worker.TableQuota, "mills", worker.Quota{Team: "mills", Slots: 1000})
	time.Sleep(2 * time.Second)
	return tb
}

func (tb *testBed) put(name table.TableName, key string, value any) {
	tb.t.Helper()
	raw, err := table.Encode(value)
	if err != nil {
		tb.t.Fatal(err)
	}
	rw, err := tb.mm.Get(context.Background(), name, key)
	if err != nil {
		rw.Version = 0
	}
	if _, err := tb.mm.Commit(context.Background(), table.Tx{Writes: []table.Write{{Table: name, Key: key, IfVersion: rw.Version, Value: raw}}}); err != nil {
		tb.t.Fatal(err)
	}
}

// submit queues a job.
func (tb *testBed) submit(change func(*worker.Job)) worker.JobID {
	tb.jobCount++
	jb := worker.Job{ID: worker.JobID(fmt.Sprintf("j%03d", tb.jobCount)), Team: "mills", Kind: "tally", Declared: worker.Size{CPUMillis: 1000, MemoryMB: 1000}, SubmittedAt: time.Now(), State: worker.JobQueued}
	if change != nil {
		change(&jb)
	}
	tb.put(worker.TableJob, string(jb.ID), jb)
	return jb.ID
}

func (tb *testBed) job(id worker.JobID) worker.Job {
	tb.t.Helper()
	rw, err := tb.mm.Get(context.Background(), worker.TableJob, string(id))
	if err != nil {
		tb.t.Fatal(err)
	}
	jb, err := table.Decode[worker.Job](rw)
	if err != nil {
		tb.t.Fatal(err)
	}
	return jb
}

// placer starts a placer. The optional hook is called before each of its commits and side effects and may freeze it there.
func (tb *testBed) placer(ctx context.Context, entry table.InstanceID, hooks ...func()) {
	pl := worker.NewPlacer(tb.mm, tb.fw, tb.watcher, worker.WithEntry(entry, table.Incarnation(table.NewID())), worker.WithUrgentReserve(2))
	for _, fn := range hooks {
		pl.SetHook(fn)
	}
	go pl.Run(ctx)
}

// runTest runs a test under a synthetic clock and checks at its end that no job ever ran twice at the same time.
func runTest(t *testing.T, workers int, test func(ctx context.Context, tb *testBed)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		tb := newTestBed(ctx, t, workers)
		test(ctx, tb)
		cancel()
		time.Sleep(time.Hour)
		for _, violation := range tb.fw.violations {
			t.Error(violation)
		}
	})
}

func TestUrgentWorkStartsAtOnceOnAFullFleet(t *testing.T) {
	runTest(t, 2, func(ctx context.Context, tb *testBed) {
		for range 40 {
			tb.submit(nil)
		}
		tb.placer(ctx, "e1")
		time.Sleep(5 * time.Second)
		urgent := tb.submit(func(jb *worker.Job) { jb.Urgent = true })
		submitted := time.Now()
		time.Sleep(5 * time.Second)
		took := tb.fw.startedAt[urgent].Sub(submitted)
		t.Logf("urgent job started after %v behind %d queued ones", took, 40-14)
		if tb.fw.startedAt[urgent].IsZero() || took > 1100*time.Millisecond {
			t.Errorf("urgent job started after %v, want 1.1 s at most", took)
		}
	})
}

func TestUnschedulableJobIsReportedAndBlocksNoOther(t *testing.T) {
	runTest(t, 2, func(ctx context.Context, tb *testBed) {
		giant := tb.submit(func(jb *worker.Job) { jb.Declared.MemoryMB = 1 << 20 })
		small := tb.submit(nil)
		tb.placer(ctx, "e1")
		time.Sleep(2 * time.Second)
		if jb := tb.job(giant); jb.State != worker.JobUnschedulable || jb.Why == "" {
			t.Errorf("oversized job is %s with reason %q, want it unschedulable with a reason", jb.State, jb.Why)
		}
		if jb := tb.job(small); jb.State != worker.JobRunning {
			t.Errorf("small job is %s, want it running", jb.State)
		}
	})
}

func TestBadWorkersAreDistinguishedFromBadJobs(t *testing.T) {
	runTest(t, 6, func(ctx context.Context, tb *testBed) {
		tb.fw.badWorkers["w1"] = true
		tb.fw.badJobs["j005"] = true
		var ids []worker.JobID
		for range 60 {
			ids = append(ids, tb.submit(nil))
		}
		tb.placer(ctx, "e1")
		time.Sleep(5 * time.Minute)
		failedOnBad := 0
		for _, id := range ids {
			jb := tb.job(id)
			if slices.Contains(jb.FailedOn, "w1") {
				failedOnBad++
			}
			if want := map[bool]worker.JobState{true: worker.JobFailed, false: worker.JobDone}[id == "j005"]; jb.State != want {
				t.Errorf("%s is %s after failing on %v", id, jb.State, jb.FailedOn)
			}
		}
		t.Logf("%d of 60 jobs failed on the bad worker before it was quarantined", failedOnBad)
		if failedOnBad > 16 {
			t.Errorf("%d jobs failed on the bad worker", failedOnBad)
		}
	})
}

// A lost worker never reports the end of its tasks. The placer must not renew their leases, or the jobs stay on the lost worker for ever:
// they have to move to other workers after the lease expires. A job that crashes every worker has to fail after a limited number of placements.
func TestJobsOfLostWorkersAreMovedAndCrashingJobFails(t *testing.T) {
	runTest(t, 6, func(ctx context.Context, tb *testBed) {
		tb.fw.crashingJobs["j003"] = true
		var ids []worker.JobID
		for range 6 {
			ids = append(ids, tb.submit(nil))
		}
		tb.placer(ctx, "e1")
		time.Sleep(3 * time.Hour)
		for _, id := range ids {
			if want, jb := map[bool]worker.JobState{true: worker.JobFailed, false: worker.JobDone}[id == "j003"], tb.job(id); jb.State != want {
				t.Errorf("%s is %s on %s in attempt %d, want %s", id, jb.State, jb.Instance, jb.Attempt, want)
			}
		}
		if jb := tb.job("j003"); jb.Attempt > 4 {
			t.Errorf("the job that crashes workers was placed %d times", jb.Attempt)
		}
	})
}

// A job crashes every worker that starts it while the placer changes often. Each new placer sends the unacknowledged attempt again, and the
// attempts of earlier placers are not in its memory. The number of restarts has to stay limited across placers.
func TestCrashingJobFailsAcrossPlacerChanges(t *testing.T) {
	runTest(t, 6, func(ctx context.Context, tb *testBed) {
		tb.fw.crashingJobs["j003"] = true
		var ids []worker.JobID
		for range 6 {
			ids = append(ids, tb.submit(nil))
		}
		for turn := range 120 {
			turnCtx, end := context.WithCancel(ctx)
			tb.placer(turnCtx, table.InstanceID(fmt.Sprintf("e%d", turn%3)))
			time.Sleep(90 * time.Second)
			end()
			time.Sleep(10 * time.Second)
		}
		for _, id := range ids {
			if want, jb := map[bool]worker.JobState{true: worker.JobFailed, false: worker.JobDone}[id == "j003"], tb.job(id); jb.State != want {
				t.Errorf("%s is %s on %s in attempt %d, want %s", id, jb.State, jb.Instance, jb.Attempt, want)
			}
		}
		if got := tb.fw.crashCounts["j003"]; got > 5 {
			t.Errorf("the job has crashed workers %d times, want 5 at most", got)
		}
	})
}

func TestBulkCancellationTakesFewWrites(t *testing.T) {
	runTest(t, 4, func(ctx context.Context, tb *testBed) {
		var ids []worker.JobID
		for range 300 {
			ids = append(ids, tb.submit(nil))
		}
		tb.placer(ctx, "e1")
		time.Sleep(5 * time.Second)
		before := tb.mm.Counts().Writes
		tb.put(worker.TableCancel, "c1", worker.Cancellation{Team: "mills", Kind: "tally", At: time.Now()})
		time.Sleep(3 * time.Second)
		writes := tb.mm.Counts().Writes - before
		for _, id := range ids {
			if jb := tb.job(id); jb.State != worker.JobCancelled {
				t.Fatalf("%s is %s", id, jb.State)
			}
		}
		t.Logf("%d jobs cancelled in %d writes", len(ids), writes)
		if writes > 12 {
			t.Errorf("%d writes for %d cancellations", writes, len(ids))
		}
		if len(tb.fw.tasks) != 0 {
			t.Errorf("%d tasks of cancelled jobs still run", len(tb.fw.tasks))
		}
	})
}

func TestFrozenPlacerPlacesNothingUnderAnExpiredLease(t *testing.T) {
	runTest(t, 4, func(ctx context.Context, tb *testBed) {
		var mu sync.Mutex
		freeze, resumed := false, 0
		hook := func() {
			mu.Lock()
			now := freeze
			freeze = false
			mu.Unlock()
			if now {
				time.Sleep(time.Minute)
				mu.Lock()
				resumed++
				mu.Unlock()
			}
		}
		tb.placer(ctx, "e1", hook)
		time.Sleep(2 * time.Second)
		for round := range 8 {
			mu.Lock()
			freeze = true
			mu.Unlock()
			for range 20 {
				tb.submit(nil)
			}
			other := table.InstanceID(fmt.Sprintf("e%d", round+2))
			tb.placer(ctx, other, hook)
			time.Sleep(90 * time.Second)
		}
		time.Sleep(3 * time.Minute)
		for number := range tb.jobCount {
			if jb := tb.job(worker.JobID(fmt.Sprintf("j%03d", number+1))); jb.State != worker.JobDone || jb.Attempt != 1 {
				t.Errorf("%s is %s after %d attempts", jb.ID, jb.State, jb.Attempt)
			}
		}
		t.Logf("%d jobs, each started once: %d starts, %d resumptions of a frozen placer", tb.jobCount, tb.fw.starts, resumed)
		if resumed == 0 || tb.fw.starts != tb.jobCount {
			t.Errorf("%d resumptions, %d starts of %d jobs", resumed, tb.fw.starts, tb.jobCount)
		}
	})
}

func TestPlannedStopMovesJobsAfterACheckpoint(t *testing.T) {
	runTest(t, 2, func(ctx context.Context, tb *testBed) {
		id := tb.submit(nil)
		tb.placer(ctx, "e1")
		time.Sleep(3 * time.Second)
		on := tb.job(id).Instance
		tb.put(table.TableInstance, string(on), table.Instance{ID: on, State: table.InstanceLeaving, Epoch: 2, Hold: &table.Hold{Plan: "p", Phase: table.PhaseLeaving}})
		time.Sleep(5 * time.Second)
		if jb := tb.job(id); jb.State != worker.JobRunning || jb.Instance == on || jb.Attempt != 2 {
			t.Errorf("job is %s on %s, attempt %d", jb.State, jb.Instance, jb.Attempt)
		}
	})
}

func TestEndedJobsAreDeleted(t *testing.T) {
	runTest(t, 2, func(ctx context.Context, tb *testBed) {
		// Placers run only for part of the simulated time, since each runs four rounds a second.
		runPlacer := func(entry table.InstanceID, duration time.Duration) {
			placerCtx, stop := context.WithTimeout(ctx, duration)
			defer stop()
			tb.placer(placerCtx, entry)
			<-placerCtx.Done()
		}
		for range 120 {
			tb.submit(nil)
		}
		runPlacer("e1", 10*time.Minute)
		time.Sleep(47 * time.Hour)
		recent := tb.submit(nil)
		runPlacer("e2", 5*time.Minute)
		time.Sleep(2 * time.Hour)
		runPlacer("e3", time.Minute)
		cs, err := tb.mm.ChangesPage(ctx, 0, []table.TableName{worker.TableJob}, 1000)
		if err != nil {
			t.Fatal(err)
		}
		if len(cs.Rows) != 1 || cs.Rows[0].Key != string(recent) || tb.job(recent).State != worker.JobDone {
			t.Errorf("%d jobs remain, want only the recent one, done", len(cs.Rows))
		}
	})
}
