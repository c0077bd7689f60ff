package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

const (
	// leaveAfter is when the client of a job leaves. runsWithin is how long the tests wait for a task that must not start.
	leaveAfter   = 200 * time.Millisecond
	runsWithin   = 500 * time.Millisecond
	cancelledJob = job.ID("5c0e7a21d94b36f8")
)

// writesHome selects the transactions that write in the place of a job's home row.
func writesHome(id job.ID) func(Tx) bool {
	return func(tx Tx) bool {
		for _, rw := range tx.Write {
			if rw.Place() == homePlace(id) {
				return true
			}
		}
		return false
	}
}

// submitUntil submits a job for a client that leaves after a time.
func submitUntil(nd *testNode, id job.ID, leaves time.Duration) SubmitResult {
	ctx, cancel := context.WithTimeout(context.Background(), leaves)
	defer cancel()
	result, _ := nd.Submit(ctx, testSpec(id))
	return result
}

// cancelAs cancels a job for a caller of an organisation.
func cancelAs(nd *testNode, caller job.OrganisationID, id job.ID) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return nd.Cancel(ctx, caller, id)
}

// wantNeverRun checks that no task of the job starts.
func (cl *cluster) wantNeverRun(id job.ID) {
	cl.t.Helper()
	time.Sleep(runsWithin)
	if starts := cl.workers.startCount(job.Task{Job: id}); starts > 0 {
		cl.t.Errorf("the task was started %d times after the cancellation was acknowledged", starts)
	}
}

// wantState checks the state of a job as a caller without a key sees it, which is empty if there is no such job.
func (cl *cluster) wantState(nd *testNode, id job.ID, want job.State) {
	cl.t.Helper()
	got, err := nd.State(context.Background(), "", &testQueue, id)
	if wantNone := want == ""; got != want || wantNone != errors.Is(err, ErrJobNotFound) {
		cl.t.Errorf("the job is %q (%v), want %q", got, err, want)
	}
}

// Guards against a job that runs after its caller was told that there is no such job: its home row was not there when it was cancelled, and the store
// did the transaction that accepts it seconds later.
func TestCancelledJobIsNotAcceptedByALateTransaction(t *testing.T) {
	for name, cancel := range map[string]func(one, two *testNode) error{
		"through another instance": func(_, two *testNode) error { return cancelAs(two, "", cancelledJob) },
		"through the same instance": func(one, _ *testNode) error {
			one.faultyStore.set(func(fs *faultyStore) { fs.postpone = nil })
			return cancelAs(one, "", cancelledJob)
		},
		"twice at once": func(one, two *testNode) error {
			one.faultyStore.set(func(fs *faultyStore) { fs.postpone = nil })
			var wg sync.WaitGroup
			errs := make([]error, 2)
			for at, nd := range []*testNode{one, two} {
				wg.Go(func() { errs[at] = cancelAs(nd, "", cancelledJob) })
			}
			wg.Wait()
			if !errors.Is(errs[1], ErrJobNotFound) {
				return errs[1]
			}
			return errs[0]
		},
		"its own answers are lost at first": func(_, two *testNode) error {
			lost := 0
			two.faultyStore.set(func(fs *faultyStore) {
				fs.dropAnswer = func(tx Tx) bool {
					drop := writesHome(cancelledJob)(tx) && lost < 3
					if drop {
						lost++
					}
					return drop
				}
			})
			return cancelAs(two, "", cancelledJob)
		},
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, time.Millisecond)
			one, two := cl.start("one"), cl.start("two")
			cl.waitOwner(one, two)
			one.faultyStore.set(func(fs *faultyStore) { fs.postpone = writesHome(cancelledJob) })
			if got := submitUntil(one, cancelledJob, leaveAfter); got != Unknown {
				t.Fatalf("the client that leaves gets %v, want unknown", got)
			}
			if err := cancel(one, two); !errors.Is(err, ErrJobNotFound) {
				t.Fatalf("the cancellation returns %v, want no such job", err)
			}
			postponed, done := one.faultyStore.commitPostponed()
			if postponed == 0 || done > 0 {
				t.Errorf("%d of %d late transactions were carried out", done, postponed)
			}
			cl.wantNeverRun(cancelledJob)
			cl.wantState(two, cancelledJob, "")
		})
	}
}

// Guards against acknowledging a cancellation that is not stored, because the store does not answer within the caller's patience.
func TestCancellationWithoutAnAnswerIsNotAcknowledged(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	one.faultyStore.set(func(fs *faultyStore) { fs.postpone = writesHome(cancelledJob) })
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	if err := one.Cancel(ctx, "", cancelledJob); !errors.Is(err, ErrUnavailable) {
		t.Errorf("the cancellation returns %v, want temporarily unavailable", err)
	}
}

// Guards against a job that is accepted because its intake tries again after the cancellation was acknowledged.
func TestIntakeThatTriesAgainFindsTheCancellation(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	cl.waitOwner(one, two)
	one.faultyStore.set(func(fs *faultyStore) { fs.postpone = writesHome(cancelledJob) })
	result := make(chan SubmitResult, 1)
	go func() { result <- submitUntil(one, cancelledJob, 5*time.Second) }()
	cl.eventually("the transaction is under way", func() bool {
		one.faultyStore.mu.Lock()
		defer one.faultyStore.mu.Unlock()
		return len(one.faultyStore.postponed) > 0
	})
	if err := cancelAs(two, "", cancelledJob); !errors.Is(err, ErrJobNotFound) {
		t.Fatalf("the cancellation returns %v, want no such job", err)
	}
	one.faultyStore.commitPostponed()
	if got := <-result; got != Accepted {
		t.Errorf("the client that stays gets %v, want accepted", got)
	}
	cl.wantNeverRun(cancelledJob)
	cl.wantState(two, cancelledJob, job.Cancelled)
}

// Guards against a job that runs because it is handed in, for the first time or again, after its cancellation was acknowledged.
func TestJobHandedInAfterItsCancellationStaysCancelled(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	if err := cancelAs(one, "", cancelledJob); !errors.Is(err, ErrJobNotFound) {
		t.Fatalf("the cancellation returns %v, want no such job", err)
	}
	cl.wantState(one, cancelledJob, "")
	for range 2 {
		if got := cl.submit(one, cancelledJob); got != Accepted {
			t.Errorf("the job is %v, want accepted", got)
		}
	}
	cl.wantNeverRun(cancelledJob)
	cl.wantState(one, cancelledJob, job.Cancelled)
	if err := cancelAs(one, "", cancelledJob); err != nil {
		t.Errorf("another cancellation returns %v", err)
	}
}

// Guards against losing the jobs that share a transaction with a cancelled one.
func TestJobsBesideACancelledOneAreAccepted(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	beside := job.ID("")
	for number := 0; beside == ""; number++ {
		if id := job.ID(fmt.Sprintf("%016x", number)); homePart(id) == homePart(cancelledJob) {
			beside = id
		}
	}
	if err := cancelAs(one, "", cancelledJob); !errors.Is(err, ErrJobNotFound) {
		t.Fatal(err)
	}
	in := newIntake(one.Fleet, homePart(cancelledJob))
	var waiting []*submission
	for _, id := range []job.ID{cancelledJob, beside} {
		sp := testSpec(id)
		raw, err := job.EncodeSpec(sp)
		if err != nil {
			t.Fatal(err)
		}
		waiting = append(waiting, &submission{ctx: context.Background(), spec: sp, raw: raw, result: make(chan SubmitResult, 1), started: time.Now()})
	}
	list := waiting
	for range 3 {
		list = in.processBatch(context.Background(), list)
	}
	if len(list) > 0 {
		t.Fatalf("%d jobs still wait", len(list))
	}
	for _, sb := range waiting {
		if got := <-sb.result; got != Accepted {
			t.Errorf("%s is %v, want accepted", sb.spec.ID, got)
		}
	}
	cl.waitCompleted(one, beside)
	cl.wantState(one, cancelledJob, job.Cancelled)
}

// Guards against an organisation that keeps another one's job out by cancelling its id first, and against a cancellation of the owner that is lost then.
func TestCancellationConcernsJobsOfItsOrganisationAlone(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	submitAs := func(id job.ID, owner job.OrganisationID) SubmitResult {
		sp := testSpec(id)
		sp.Organisation = owner
		result, _ := one.Submit(context.Background(), sp)
		return result
	}
	second := job.ID("5c0e7a21d94b36f9")
	for _, id := range []job.ID{cancelledJob, second} {
		if err := cancelAs(one, "other", id); !errors.Is(err, ErrJobNotFound) {
			t.Fatalf("the cancellation returns %v, want no such job", err)
		}
	}
	if got := submitAs(cancelledJob, "owner"); got != Accepted {
		t.Errorf("the job is %v, want accepted", got)
	}
	cl.eventually("the job of the owner runs", func() bool { return cl.workers.startCount(job.Task{Job: cancelledJob}) > 0 })
	if err := cancelAs(one, "owner", second); !errors.Is(err, ErrJobNotFound) {
		t.Errorf("the owner's cancellation returns %v, want no such job", err)
	}
	if got := submitAs(second, "owner"); got != Accepted {
		t.Errorf("the cancelled job is %v, want accepted", got)
	}
	cl.wantNeverRun(second)
	if _, err := one.State(context.Background(), "other", &testQueue, second); !errors.Is(err, job.ErrOtherOrganisation) {
		t.Errorf("another organisation gets %v", err)
	}
}

// Guards against a flood of cancellations of ids that no job has, which would take the writes of the store.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	const calls = 4 * withdrawalBurst
	started, stored := time.Now(), 0
	for number := range calls {
		switch err := cancelAs(one, "", job.ID(fmt.Sprintf("%016x", number))); {
		case errors.Is(err, ErrJobNotFound):
			stored++
		case !errors.Is(err, ErrUnavailable):
			t.Fatal(err)
		}
	}
	if most := withdrawalBurst + int(withdrawalRate*time.Since(started).Seconds()) + 1; stored > most || stored < withdrawalBurst {
		t.Errorf("%d of %d cancellations were stored, want %d to %d", stored, calls, withdrawalBurst, most)
	}
}

// Guards against withdrawals that stay for ever, and against deleting a job that was accepted in the place of one.
func TestOldWithdrawalsAreDeleted(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := &partsStore{serialStore: newSerialStore(1)}
		fl := New(Options{Name: "one", Store: store, Machines: noMachines{}, Format: testFormat{}, Now: time.Now})
		const count = 2*withdrawalsPerTx + 1
		id := func(number int) job.ID { return job.ID(fmt.Sprintf("%016x", number)) }
		for number := range count {
			time.Sleep(time.Second / withdrawalRate)
			if err := fl.Cancel(ctx, "", id(number)); !errors.Is(err, ErrJobNotFound) {
				t.Fatal(err)
			}
		}
		if _, err := store.mm.commit(Tx{Write: []Row{{Table: tableHome, Part: homePlace(id(0)).Part, Key: string(id(0)), Value: []byte("{}")}}}); err != nil {
			t.Fatal(err)
		}
		ws := &withdrawalSweeper{fl: fl, seen: map[Place]time.Time{}}
		ws.sweep(ctx)
		if got := store.rowCount(tableHome); got != count {
			t.Errorf("%d rows of %d are left before the retention period is over", got, count)
		}
		time.Sleep(fl.opts.Cell.Retention + time.Second)
		for range 2 {
			ws.sweep(ctx)
		}
		if homes, left := store.rowCount(tableHome), store.rowCount(tableWithdrawal); homes != 1 || left != 0 {
			t.Errorf("%d home rows and %d withdrawals are left, want the accepted job alone", homes, left)
		}
	})
}

// partsStore is a serial store that lists the parts of its tables.
type partsStore struct{ *serialStore }

func (ps *partsStore) Parts(context.Context, string) ([]string, error) {
	var list []string
	for part := range homePartCount {
		list = append(list, partName(part))
	}
	return list, nil
}

// rowCount counts the rows of a table.
func (ps *partsStore) rowCount(table string) int {
	count := 0
	for part := range homePartCount {
		count += len(ps.mm.read(Query{Table: table, Part: partName(part)}).Rows)
	}
	return count
}

// Guards against a former version that takes a withdrawal for the home row of a job: it would show a job that nobody has handed in.
func TestFormerVersionCannotReadAWithdrawalAsAHomeRow(t *testing.T) {
	raw, err := encodeWithdrawal(&withdrawal{By: []job.OrganisationID{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, &homeRow{}); err == nil {
		t.Errorf("%s is read as a home row", raw)
	}
	he, err := decodeHome(Row{Version: 7, Value: raw})
	if err != nil || he.row != nil || !he.withdrawn.covers("a") || he.withdrawn.covers("b") || !he.withdrawn.covers("") {
		t.Errorf("%s is read as %+v (%v)", raw, he, err)
	}
}
