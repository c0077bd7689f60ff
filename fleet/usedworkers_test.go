package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// poolRefs returns references to the workers of a pool, as long as those of a large platform.
func poolRefs(workers int) []cell.WorkerRef {
	refs := make([]cell.WorkerRef, workers)
	for i := range refs {
		id := cell.NewWorkerID(cell.WorkerName(fmt.Sprintf("i-%010x", i)), 1_780_000_000_000+int64(i))
		refs[i] = cell.WorkerRef{ID: id, Address: fmt.Sprintf("10.128.%03d.%03d:18628", i/250, i%250), Machine: cell.MachineID(fmt.Sprintf("m-%010x", i))}
	}
	return refs
}

// TestNoRowGrowsWithThePool records the workers of pools in which one row for all of them would be larger than the store takes.
// No row may grow with the pool, the rows that all instances follow must stay as they are, and a worker that joins must cost as
// much in a pool of any size.
func TestNoRowGrowsWithThePool(t *testing.T) {
	largest := map[int]int{}
	for _, workers := range []int{750, 1500, 3000} {
		withFakeClock(t, func(ctx context.Context, t *testing.T) {
			ow, store := startWriter(ctx, t)
			store.perPart, store.answer = fastCommit, fastAnswer
			controlBefore := store.mm.read(Query{Table: tableControl, Part: "pool"}).Rows[0].Version
			refs := poolRefs(workers)
			ow.execute(ctx, cell.RecordWorkers{Workers: refs[:workers-1]})
			time.Sleep(time.Minute)
			if got, most := store.count(), workers/(maxTxEntries-usedHeadEntries-2)+2; got > most {
				t.Errorf("%d workers: %d transactions, want %d at most", workers, got, most)
			}
			before, history := store.count(), len(store.mm.changes())
			ow.execute(ctx, cell.RecordWorkers{Workers: refs[1:]})
			time.Sleep(time.Minute)
			if got := store.count() - before; got != 1 {
				t.Errorf("%d workers: one that joins and one that leaves take %d transactions", workers, got)
			}
			if rows := store.mm.changes()[history:]; len(rows) != 3 {
				t.Errorf("%d workers: one that joins and one that leaves change %d rows", workers, len(rows))
			}
			uw := storedUsed(t, store)
			if len(uw.stored) != workers-1 || uw.stored[refs[workers-1].ID] != refs[workers-1] {
				t.Errorf("%d of %d workers are stored", len(uw.stored), workers-1)
			}
			for _, rw := range store.mm.changes() {
				largest[workers] = max(largest[workers], len(rw.Value))
			}
			if now := store.mm.read(Query{Table: tableControl, Part: "pool"}).Rows[0].Version; now != controlBefore {
				t.Error("the row that all instances follow was written")
			}
		})
	}
	if largest[750] != largest[3000] {
		t.Errorf("largest rows by workers: %v", largest)
	}
}

// TestWorkersAndProgressSurviveLostAnswers records workers that come and go together with progress while the store carries out a
// third of the transactions without answering. The owner must not take its own writes for those of another.
func TestWorkersAndProgressSurviveLostAnswers(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		ow, store := startWriter(ctx, t)
		store.perPart, store.answer = fastCommit, fastAnswer
		store.loseAnswers(3, 0.35)
		refs := poolRefs(400)
		for i := range 60 {
			ow.execute(ctx, cell.RecordWorkers{Workers: refs[3*i : 3*i+200], UnseenLossEpoch: job.Epoch(i)})
			ow.execute(ctx, cell.Save{Rows: []cell.SaveRow{{ID: job.ID(fmt.Sprintf("a%d", i)), Progress: &job.Progress{State: job.Completed}}}})
			time.Sleep(10 * time.Second)
		}
		time.Sleep(time.Minute)
		if ow.isLost() {
			t.Fatal("the owner takes its own write for that of another")
		}
		uw := storedUsed(t, store)
		if len(uw.stored) != 200 || uw.head.UnseenLossEpoch != 59 {
			t.Errorf("%d workers stored, unseen losses before epoch %d", len(uw.stored), uw.head.UnseenLossEpoch)
		}
		if got := len(store.mm.read(Query{Table: tableProgress, Part: "pool"}).Rows); got != 60 {
			t.Errorf("%d of 60 jobs saved", got)
		}
	})
}

// TestLateChangeDoesNotUndoALaterOne checks that a change which the store carries out after a later one fails.
func TestLateChangeDoesNotUndoALaterOne(t *testing.T) {
	mem := newMemStore()
	uw := newUsedWorkers("pool")
	change := func(list []cell.WorkerRef) (Tx, usedChange, usedHead) {
		uc := uw.diff(list, 0)
		part := uc.take(maxTxEntries)
		var tx Tx
		head, err := uw.addTo(&tx, 7, part)
		if err != nil {
			t.Fatal(err)
		}
		return tx, part, head
	}
	late, _, _ := change(workerRefs("w1"))
	tx, part, head := change(workerRefs("w2"))
	version, err := mem.commit(tx)
	if err != nil {
		t.Fatal(err)
	}
	uw.apply(part, head, version)
	if _, err := mem.commit(late); asConflict(err) == nil {
		t.Errorf("the late change: %v", err)
	}
}

// TestUsedKeysFitTheStore checks the keys of workers with short and long IDs.
func TestUsedKeysFitTheStore(t *testing.T) {
	long := cell.WorkerID(strings.Repeat("x", maxKeyBytes))
	if got := usedKey("w1"); got != "worker/w1" {
		t.Errorf("key %q", got)
	}
	if key := usedKey(long); len(key) > maxKeyBytes || key == usedKey(long+"y") {
		t.Errorf("key %q", key)
	}
}

// TestReleaseOfACellTakesOneTransaction checks that an owner whose list of workers is out of date stores it in the transaction that
// releases the cell, so that a slow store delays a handover no more than it did for the cell's row alone. A list with more changes
// takes as many transactions as it needs.
func TestReleaseOfACellTakesOneTransaction(t *testing.T) {
	for workers, want := range map[int]int{maxHandoverEntries: 1, 3 * maxHandoverEntries: 3} {
		withFakeClock(t, func(ctx context.Context, t *testing.T) {
			ow, store := startWriter(ctx, t)
			ow.execute(ctx, cell.RecordWorkers{Workers: poolRefs(workers)})
			time.Sleep(10 * time.Minute)
			// The core knows none of the workers any more, so all rows go.
			ow.takenOver = true
			before := store.count()
			ow.fl.release(ctx, ow)
			if got := store.count() - before; got != want {
				t.Errorf("%d changes: %d transactions, want %d", workers, got, want)
			}
			var row ownerRow
			if err := readJSON(ctx, ow.fl.store, ow.rowPlace(), &row); err != nil || !row.Released {
				t.Errorf("%d changes: the cell's row is %+v, %v", workers, row, err)
			}
			if left := len(storedUsed(t, store).stored); left != 0 {
				t.Errorf("%d workers are still listed", left)
			}
		})
	}
}
