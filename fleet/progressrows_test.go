package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// wideProgress returns the progress of a job whose tasks have all failed some times, too large for one row.
func wideProgress(tasks, failures int) *job.Progress {
	pg := &job.Progress{FailedAttempts: map[string][]string{}, Attempts: map[string]job.Attempt{}}
	for at := range tasks {
		key := job.TaskKey(job.Task{Index: at})
		for attempt := range failures {
			pg.FailedAttempts[key] = append(pg.FailedAttempts[key], fmt.Sprintf("%d@i-5a00%04x~loyw5ppu", attempt+1, at%500))
		}
		pg.Attempts[key] = job.Attempt(failures + 1)
	}
	return pg
}

// progressKeys returns the keys of the stored progress rows.
func progressKeys(store *serialStore) []string {
	var keys []string
	for _, rw := range store.mm.read(Query{Table: tableProgress, Part: "pool"}).Rows {
		keys = append(keys, rw.Key)
	}
	return keys
}

// patientFormat is testFormat with a queue whose tasks may fail several times.
type patientFormat struct{ testFormat }

func (patientFormat) Configuration(rw Row) (*job.Configuration, error) {
	cf, err := testFormat{}.Configuration(rw)
	if cf != nil {
		cf.Queues[0].MaxAttempts = 6
	}
	return cf, err
}

// Guards against one job whose progress outgrows a row ending all starts of its pool: tasks at the limit of a job all fail, and small jobs go on.
func TestWideJobThatFailsDoesNotStopItsPool(t *testing.T) {
	cl := newCluster(t, 20*time.Millisecond)
	cl.format = patientFormat{}
	cl.workers.fails = func(tk job.Task) bool { return tk.Job == "wide" }
	one := cl.start("one")
	cl.waitOwner(one)
	wide := &job.Spec{ID: "wide", Queue: "q", Pool: "pool", Steps: []job.Step{{Count: job.MaxTasks, Size: job.Size{CPUMillis: 1, MemoryMB: 1}}}, AcceptedAt: time.Now()}
	if result, _ := one.Submit(t.Context(), wide); result != Accepted {
		t.Fatalf("the wide job: result %d", result)
	}
	cl.eventually("the wide job fails", func() bool {
		state, err := one.State(t.Context(), "", &testQueue, "wide")
		return err == nil && state == job.Failed
	})
	for _, id := range []job.ID{"a1", "a2"} {
		if result := cl.submit(one, id); result != Accepted {
			t.Fatalf("%s: result %d", id, result)
		}
	}
	cl.waitCompleted(one, "a1")
	cl.waitCompleted(one, "a2")
	ow := one.ownerOf("pool")
	if ow == nil || ow.savingStopped.Load() {
		t.Error("the owner has ended its saves")
	}
}

// Guards against losing the progress of a wide job between owners: the next owner must read all its rows, and rows that are not needed any more are
// removed.
func TestWideProgressIsReadByTheNextOwner(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		ow, store := startWriter(ctx, t)
		want := wideProgress(job.MaxTasks, 3)
		ow.execute(ctx, cell.Save{Rows: []cell.SaveRow{{ID: "a1", Progress: want}, {ID: "a2", Progress: &job.Progress{State: job.Completed}}}})
		time.Sleep(time.Minute)
		if keys := progressKeys(store); len(keys) < 3 || keys[0] != "a1" || keys[len(keys)-1] != "a2" {
			t.Fatalf("rows %v", keys)
		}
		next := newOwner(ow.fl, "pool", ownerRow{version: ow.rowVersion.Load()}, func() {})
		for range 2 {
			// A read that failed in between is made again.
			if err := next.loadProgress(ctx); err != nil {
				t.Fatal(err)
			}
		}
		got := next.withStoredProgress(&job.Spec{ID: "a1"})
		if !sameJSON(t, got.Progress, want) || got.Version == 0 {
			t.Fatalf("version %d, progress %.200v", got.Version, got.Progress)
		}
		if ended := next.withStoredProgress(&job.Spec{ID: "a2"}); ended.Progress == nil || ended.Progress.State != job.Completed {
			t.Errorf("the other job is %+v", ended.Progress)
		}
		go next.runWrites(ctx)
		next.execute(ctx, cell.Save{Rows: []cell.SaveRow{{ID: "a1", Version: got.Version, Progress: &job.Progress{State: job.Failed}}}})
		time.Sleep(time.Minute)
		if keys := progressKeys(store); !slices.Equal(keys, []string{"a1", "a2"}) {
			t.Errorf("rows %v after the end of the job", keys)
		}
	})
}

func sameJSON(t *testing.T, one, other any) bool {
	t.Helper()
	first, err := json.Marshal(one)
	if err != nil {
		t.Fatal(err)
	}
	second, err := json.Marshal(other)
	if err != nil {
		t.Fatal(err)
	}
	return string(first) == string(second)
}

// Guards against a save of several jobs that is too large for one transaction, although none of its jobs is.
func TestSaveOfManyLargeJobsIsDivided(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		ow, store := startWriter(ctx, t)
		var rows []cell.SaveRow
		for at := range 45 {
			rows = append(rows, cell.SaveRow{ID: job.ID(fmt.Sprintf("a%02d", at)), Progress: wideProgress(1000, 1+at%3)})
		}
		ow.execute(ctx, cell.Save{Rows: rows})
		ow.execute(ctx, cell.RecordWorkers{Workers: poolRefs(250)})
		time.Sleep(10 * time.Minute)
		var jobs int
		for _, key := range progressKeys(store) {
			if !strings.Contains(key, partSeparator) {
				jobs++
			}
		}
		if jobs != len(rows) || ow.savingStopped.Load() || ow.isLost() {
			t.Errorf("%d of %d jobs are saved, saves ended %t, lost %t", jobs, len(rows), ow.savingStopped.Load(), ow.isLost())
		}
		if got := len(storedUsed(t, store).stored); got != 250 {
			t.Errorf("the store lists %d of 250 workers", got)
		}
	})
}

// Guards against one job whose progress the store refuses, whatever the reason, keeping the progress of others from being saved.
func TestProgressThatTheStoreRefusesEndsItsJobAlone(t *testing.T) {
	for name, bad := range map[string]*job.Progress{
		"refused by the store":       wideProgress(2, 1),
		"larger than a transaction":  wideProgress(job.MaxTasks, 100),
		"with keys that nobody made": {FailedAttempts: map[string][]string{strings.Repeat("x", defaultMaxRowBytes): {"1@w"}}},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(ctx context.Context, t *testing.T) {
				ow, store := newWriter(ctx, t)
				store.mm.refuses = func(rw Row) bool { return rw.Key == "bad" && strings.Contains(string(rw.Value), "failed") }
				ow.core.Configure([]job.Queue{{ID: "q", Pool: "pool"}})
				rows := []cell.SaveRow{{ID: "a1", Progress: &job.Progress{State: job.Completed}}, {ID: "bad", Progress: bad}, {ID: "z1", Progress: &job.Progress{State: job.Completed}}}
				ow.execute(ctx, cell.Save{Rows: rows})
				ow.execute(ctx, cell.RecordWorkers{Workers: workerRefs("w1", "w2")})
				go ow.runWrites(ctx)
				time.Sleep(time.Minute)
				if keys := progressKeys(store); !slices.Equal(keys, []string{"a1", "z1"}) {
					t.Errorf("rows %v, want those of the other jobs", keys)
				}
				if got := len(storedUsed(t, store).stored); got != 2 {
					t.Errorf("%d workers are recorded", got)
				}
				if ow.savingStopped.Load() || ow.isLost() || len(ow.core.Load(time.Now()).FullQueues) > 0 {
					t.Error("the cell has ended its work")
				}
			})
		})
	}
}

// Guards against failing a job for a row of another kind in the same transaction.
func TestRefusedWorkerDoesNotFailTheJobsSavedBesideIt(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		ow, store := newWriter(ctx, t)
		ow.execute(ctx, cell.RecordWorkers{Workers: []cell.WorkerRef{{ID: "w0", Address: strings.Repeat("x", maxRowBytes)}}})
		ow.execute(ctx, cell.Save{Rows: []cell.SaveRow{{ID: "a1", Progress: wideProgress(2, 1)}}})
		go ow.runWrites(ctx)
		time.Sleep(time.Minute)
		if keys := progressKeys(store); !slices.Equal(keys, []string{"a1"}) {
			t.Errorf("rows %v", keys)
		}
		if !ow.savingStopped.Load() {
			t.Error("the refused worker does not end the saves")
		}
	})
}

// Guards against accepting a job whose progress the store could not hold later.
func TestJobWhoseProgressCouldOutgrowTheStoreIsRefusedAtOnce(t *testing.T) {
	fl := New(Options{Name: "one", Store: newSerialStore(1), Machines: noMachines{}, Format: testFormat{}})
	for attempts, want := range map[int]bool{1: false, 4: false, 8: false, 100: true} {
		fl.config.Store(&job.Configuration{Queues: []job.Queue{{ID: "q", Pool: "pool", MaxAttempts: attempts}}})
		sp := &job.Spec{ID: "a", Queue: "q", Pool: "pool", Steps: []job.Step{{Count: job.MaxTasks}}}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if result, _ := fl.Submit(ctx, sp); (result == TooLarge) != want {
			t.Errorf("%d attempts: result %d, too large: want %t (%d of %d bytes)", attempts, result, want, sp.MaxProgressBytes(attempts), fl.maxProgressBytes())
		}
	}
}
