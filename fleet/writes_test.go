package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// TestSaveIsNotDelayedByWorkerUpdates lets workers join a cell one after another while the store is sixty times slower. The
// owner must not block on the writes of the worker list, and an ended attempt must be saved within three transactions.
func TestSaveIsNotDelayedByWorkerUpdates(t *testing.T) {
	const (
		workerCount = 60
		gap         = 50 * time.Millisecond
		saveAt      = 40
	)
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		ow, store := startWriter(ctx, t)
		var refs []cell.WorkerRef
		var commitsBefore int
		stalls := 0
		for i := range workerCount {
			refs = append(refs, workerRefs(cell.WorkerID(fmt.Sprintf("w%d", i)))...)
			startedAt := time.Now()
			if i == saveAt {
				commitsBefore = store.count()
				ow.execute(ctx, cell.Save{Rows: []cell.SaveRow{{ID: "a1", Progress: &job.Progress{State: job.Completed}}}})
			}
			ow.execute(ctx, cell.RecordWorkers{Workers: refs})
			if time.Since(startedAt) > 0 {
				stalls++
			}
			time.Sleep(gap)
		}
		if stalls > 0 {
			t.Errorf("the owner blocked on %d of %d orders", stalls, workerCount)
		}
		transactions := 0
		for transactions == 0 && store.count() < commitsBefore+workerCount {
			time.Sleep(gap)
			if len(store.mm.read(Query{Table: tableProgress, Part: "pool"}).Rows) > 0 {
				transactions = store.count() - commitsBefore
			}
		}
		if transactions > 3 {
			t.Errorf("the end was saved after %d transactions", transactions)
		}
		time.Sleep(time.Minute)
		if got := len(storedUsed(t, store).stored); got != workerCount {
			t.Errorf("the store lists %d of %d workers", got, workerCount)
		}
		t.Logf("%d transactions, the end saved after %d", store.count(), transactions)
	})
}

// TestLostAnswersDelaySavesBriefly makes five saves a second while the store carries out a third of the transactions without
// answering. Most saves must still finish within a second.
func TestLostAnswersDelaySavesBriefly(t *testing.T) {
	const saves = 100
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		ow, store := startWriter(ctx, t)
		store.perPart, store.answer = fastCommit, fastAnswer
		store.loseAnswers(5, 0.35)
		startedAt := time.Now()
		late := 0
		for i := range saves {
			key := job.ID(fmt.Sprintf("a%d", i))
			sentAt := time.Now()
			ow.execute(ctx, cell.Save{Rows: []cell.SaveRow{{ID: key, Progress: &job.Progress{State: job.Completed}}}})
			for len(ow.drainEvents()) == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			if time.Since(sentAt) > time.Second {
				late++
			}
			time.Sleep(max(0, 200*time.Millisecond-time.Since(sentAt)))
		}
		t.Logf("%d saves in %v, %d took over a second", saves, time.Since(startedAt), late)
		if late > saves/5 {
			t.Errorf("%d of %d saves took over a second", late, saves)
		}
	})
}

// drainEvents removes and returns the queued events of the core.
func (ow *owner) drainEvents() []func(*cell.Core, time.Time) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	events := ow.events
	ow.events = nil
	return events
}

// startWriter starts the writes of a cell's owner on a slow store.
func startWriter(ctx context.Context, t *testing.T) (*owner, *serialStore) {
	t.Helper()
	ow, store := newWriter(ctx, t)
	go ow.runWrites(ctx)
	return ow, store
}

// newWriter returns the owner of a cell on a slow store. Its writes wait until runWrites runs, so that those queued before share a batch.
func newWriter(ctx context.Context, t *testing.T) (*owner, *serialStore) {
	t.Helper()
	store := newSerialStore(60)
	fl := New(Options{Name: "one", Store: store, Machines: noMachines{}, Format: testFormat{}})
	fl.background = ctx
	version, err := store.mm.commit(Tx{Write: []Row{{Table: tableControl, Part: "pool", Key: ownerKey, Value: []byte("{}")}}})
	if err != nil {
		t.Fatal(err)
	}
	return newOwner(fl, "pool", ownerRow{version: version}, func() {}), store
}

// storedUsed reads the workers in use of the cell from the store.
func storedUsed(t *testing.T, store *serialStore) *usedWorkers {
	t.Helper()
	uw := newUsedWorkers("pool")
	for _, rw := range store.mm.read(Query{Table: tableUsed, Part: "pool"}).Rows {
		if err := uw.load(rw); err != nil {
			t.Fatal(err)
		}
	}
	return uw
}

// TestArchiveKeepsUpWithEndedJobs checks that the next round starts soon if jobs end faster than a round every three seconds
// can archive them. Otherwise a new owner had to read more than two megabytes of ended jobs over a link of 250 KB/s, and lost
// the cell before it had finished.
func TestArchiveKeepsUpWithEndedJobs(t *testing.T) {
	if got := archiveDelay(archiveBatchSize); got != archiveBacklogInterval {
		t.Errorf("delay of %v after a full round", got)
	}
	for _, archived := range []int{0, 1, archiveBatchSize - 1} {
		if got := archiveDelay(archived); got != archiveInterval {
			t.Errorf("delay of %v after a round of %d jobs", got, archived)
		}
	}
	if perSecond := float64(archiveBatchSize) / archiveBacklogInterval.Seconds(); perSecond < 100 {
		t.Errorf("%.0f jobs a second archived", perSecond)
	}
}
