package fleet

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// TestOwnerThatCannotSaveStartsNothing makes the store refuse a row for ever that is not the progress of a job. The owner must try once, start
// nothing more and report its queues as full, and the store must not count as unreachable.
func TestOwnerThatCannotSaveStartsNothing(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		ow, store := startWriter(ctx, t)
		ow.core.Configure([]job.Queue{{ID: "q", Pool: "pool"}, {ID: "other", Pool: "elsewhere"}})
		before := store.count()
		large := cell.WorkerRef{ID: "w0", Address: strings.Repeat("x", maxRowBytes)}
		for range 3 {
			ow.execute(ctx, cell.RecordWorkers{Workers: []cell.WorkerRef{large}})
			time.Sleep(time.Minute)
		}
		if got := store.count() - before; got != 1 {
			t.Errorf("%d attempts, want 1", got)
		}
		for _, ev := range ow.drainEvents() {
			ev(ow.core, time.Now())
		}
		full := ow.core.Load(time.Now()).FullQueues
		if len(full) != 1 || full["q"] == 0 {
			t.Errorf("full queues: %v", full)
		}
		if ow.isLost() || !ow.fl.store.Reachable() || ow.fl.store.proxying() {
			t.Error("the refusal counts as an outage or as another owner")
		}
	})
}

// TestInvalidJobIsRefusedAlone checks that a job whose rows the store does not take is refused at once, and that jobs submitted
// with it are accepted.
func TestInvalidJobIsRefusedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSerialStore(1)
		fl := New(Options{Name: "one", Store: store, Machines: noMachines{}, Format: testFormat{}})
		in := fl.intakes[0]
		submit := func(id job.ID, size int) *submission {
			return &submission{ctx: t.Context(), spec: &job.Spec{ID: id, Queue: "q", Pool: "pool"}, raw: make([]byte, size), result: make(chan SubmitResult, 1), started: time.Now()}
		}
		bad, good := submit("a", maxRowBytes+1), submit("b", 10)
		if rest := in.processBatch(t.Context(), []*submission{bad, good}); len(rest) != 0 {
			t.Errorf("%d jobs are tried again", len(rest))
		}
		if got := <-bad.result; got != Refused {
			t.Errorf("the large job: result %d", got)
		}
		if got := <-good.result; got != Accepted {
			t.Errorf("the small job: result %d", got)
		}
	})
}

// TestInvalidOutcomeIsCarried checks that a peer which carries out a call tells that the store will never take it.
func TestInvalidOutcomeIsCarried(t *testing.T) {
	if err := carryError(carryOutcome(ErrInvalid), storeResult{}); !errors.Is(err, ErrInvalid) {
		t.Errorf("carried: %v", err)
	}
}
