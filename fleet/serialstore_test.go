package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
)

// serialStore is a store on a fake clock that runs the transactions of a part one at a time, as its documentation states. A
// cancelled transaction is still carried out; a transaction that would wait for more than a second is refused.
type serialStore struct {
	mm *memStore
	// perPart is how long a transaction occupies a part, answer how long its answer takes in addition.
	perPart, answer time.Duration
	mu              sync.Mutex // guards the fields below
	freeAt          map[string]time.Time
	commits         int
	// lost reports whether the answer to the next transaction is lost.
	lost func() bool
}

const (
	// fastCommit and fastAnswer are the times of a healthy store: 300 transactions a second per part, and answers within about 4
	// ms.
	fastCommit = 3333 * time.Microsecond
	fastAnswer = 4 * time.Millisecond
	// maxCommitWait is how long a transaction may wait for its parts.
	maxCommitWait = time.Second
)

func newSerialStore(factor int) *serialStore {
	return &serialStore{mm: newMemStore(), perPart: fastCommit * time.Duration(factor), answer: fastAnswer * time.Duration(factor), freeAt: map[string]time.Time{}}
}

// loseAnswers makes the store carry out a share of the transactions without answering.
func (ss *serialStore) loseAnswers(seed uint64, share float64) {
	rd := rand.New(rand.NewPCG(seed, seed))
	ss.lost = func() bool { return rd.Float64() < share }
}

// answerLost reports whether the answer to a transaction is lost.
func (ss *serialStore) answerLost() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.lost != nil && ss.lost()
}

// reserve reserves all parts of a transaction and returns when the transaction ends. It returns false if the wait is too long.
func (ss *serialStore) reserve(tx Tx) (time.Time, bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.commits++
	parts := partsOf(tx)
	now := time.Now()
	start, duration := now, ss.perPart
	if len(parts) > 1 {
		duration *= 2
	}
	for _, part := range parts {
		start = maxTime(start, ss.freeAt[part])
	}
	if start.Sub(now) > maxCommitWait {
		return start, false
	}
	for _, part := range parts {
		ss.freeAt[part] = start.Add(duration)
	}
	return start.Add(duration), true
}

// count returns the number of transactions.
func (ss *serialStore) count() int {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.commits
}

func partsOf(tx Tx) []string {
	var parts []string
	for _, rw := range tx.Write {
		parts = append(parts, rw.Part)
	}
	for _, at := range tx.Remove {
		parts = append(parts, at.Part)
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

func (ss *serialStore) Commit(ctx context.Context, tx Tx) (int64, error) {
	end, reserved := ss.reserve(tx)
	if !reserved {
		sleep(ctx, ss.answer)
		return 0, ErrRefused
	}
	type result struct {
		version int64
		err     error
	}
	answer := make(chan result, 1)
	time.AfterFunc(time.Until(end)+ss.answer, func() {
		version, err := ss.mm.commit(tx)
		if !ss.answerLost() {
			answer <- result{version, err}
		}
	})
	select {
	case rs := <-answer:
		return rs.version, rs.err
	case <-ctx.Done():
		return 0, ErrNoAnswer
	}
}

func (ss *serialStore) Read(ctx context.Context, qu Query) (Page, error) {
	sleep(ctx, ss.answer)
	return ss.mm.read(qu), ctx.Err()
}

func (ss *serialStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	sleep(ctx, ss.answer)
	return ss.mm.feed(ctx, table, after, wait), ctx.Err()
}

func (ss *serialStore) Parts(ctx context.Context, _ string) ([]string, error) {
	sleep(ctx, ss.answer)
	return nil, ctx.Err()
}

// withFakeClock runs a test on a fake clock, and stops the goroutines that depend on the context at the end.
func withFakeClock(t *testing.T, run func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		run(ctx, t)
		cancel()
		synctest.Wait()
	})
}

// intakeFleet is a number of instances over one store that only accept jobs.
type intakeFleet struct {
	nodes []*Fleet
	store *serialStore
}

// startIntake runs the intakes of a number of instances until the context ends.
func startIntake(ctx context.Context, store *serialStore, count int) intakeFleet {
	fl := intakeFleet{store: store}
	for i := range count {
		nd := New(Options{Name: fmt.Sprintf("n%d", i), Store: store, Machines: noMachines{}, Format: testFormat{}})
		nd.background = ctx
		fl.nodes = append(fl.nodes, nd)
		for _, in := range nd.intakes {
			go in.run(ctx)
		}
		go func() {
			for ctx.Err() == nil {
				// The feed of the control table is answered; only transactions are slow.
				nd.control.recordSuccess(time.Now())
				sleep(ctx, 200*time.Millisecond)
			}
		}()
	}
	return fl
}

// submissions holds the results of submitted jobs.
type submissions struct {
	results map[SubmitResult]int
	// late counts the callers that were answered after their timeout.
	late int
	// refused lists the jobs whose callers were told that the job was not accepted.
	refused []job.ID
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 2850 * time.Millisecond

// submitJobs submits jobs at a constant rate for some time, each to a random instance, and waits for all results.
func (fl intakeFleet) submitJobs(seed uint64, perSecond int, span time.Duration) submissions {
	rd := rand.New(rand.NewPCG(seed, seed))
	subs := submissions{results: map[SubmitResult]int{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range int(span.Seconds() * float64(perSecond)) {
		nd, id := fl.nodes[rd.IntN(len(fl.nodes))], job.ID(fmt.Sprintf("%016x", rd.Uint64()))
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			start := time.Now()
			result, _ := nd.Submit(ctx, testSpec(id))
			mu.Lock()
			defer mu.Unlock()
			subs.results[result]++
			if result == Refused {
				subs.refused = append(subs.refused, id)
			}
			if time.Since(start) > callerTimeout {
				subs.late++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return subs
}

// check checks that all callers were answered in time, and that no refused job is stored, not even by transactions that were
// still in flight when the caller was answered.
func (fl intakeFleet) check(t *testing.T, subs submissions) {
	t.Helper()
	t.Logf("accepted %d, refused %d, unknown %d, late %d; %d transactions", subs.results[Accepted], subs.results[Refused], subs.results[Unknown], subs.late, fl.store.count())
	if subs.late > 0 {
		t.Errorf("%d callers were answered after their timeout", subs.late)
	}
	time.Sleep(time.Minute)
	for _, id := range subs.refused {
		if stored := fl.store.mm.read(Query{Table: tableHome, Part: partName(homePart(id)), From: string(id), To: string(id) + "!"}); len(stored.Rows) > 0 {
			t.Errorf("job %s was refused but is stored", id)
		}
	}
}

// TestCallersAreAnsweredInTime makes the store so slow that a transaction takes longer than a caller waits. Callers must be
// answered before their timeout, and jobs reported as refused must not be stored.
func TestCallersAreAnsweredInTime(t *testing.T) {
	for _, times := range []int{150, 400, 1000} {
		t.Run(fmt.Sprintf("%d times slower", times), func(t *testing.T) {
			withFakeClock(t, func(ctx context.Context, t *testing.T) {
				fl := startIntake(ctx, newSerialStore(times), 6)
				fl.check(t, fl.submitJobs(2, 100, 4*time.Second))
			})
		})
	}
}

// TestSlowStoreAcceptsFromManyInstances slows the store down by a factor of sixty, without lost answers. Jobs arrive at many
// instances, and the store's capacity is enough for all of them.
func TestSlowStoreAcceptsFromManyInstances(t *testing.T) {
	for _, count := range []int{6, 33} {
		t.Run(fmt.Sprintf("%d instances", count), func(t *testing.T) {
			withFakeClock(t, func(ctx context.Context, t *testing.T) {
				fl := startIntake(ctx, newSerialStore(60), count)
				subs := fl.submitJobs(1, 100, 4*time.Second)
				if got := subs.results[Accepted]; got < 380 {
					t.Errorf("%d of 400 jobs were accepted", got)
				}
				fl.check(t, subs)
			})
		})
	}
}

// TestWaveOnSlowStoreKeepsLease drains many machines at once on a store that is sixty times slower. The drain rows lie in the
// same part as the machine lease and must not delay its renewals.
func TestWaveOnSlowStoreKeepsLease(t *testing.T) {
	const drains = 70
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newSerialStore(60)
		ct := startLeaseHolder(ctx, t, store)
		time.Sleep(10 * time.Second)
		for i := range drains {
			ct.execute(ctx, machine.RequestDrain{Drain: machine.Drain{Machine: cell.MachineID(fmt.Sprintf("m%d", i)), Pool: "pool"}})
		}
		if gaps := countLeaseGaps(ct, 100); gaps > 0 {
			t.Errorf("the lease was not valid at %d of 100 samples", gaps)
		}
		if got := len(store.mm.read(Query{Table: tableControl, Part: machinesCell, From: drainPrefix}).Rows) - 1; got != drains {
			t.Errorf("%d of %d drains are stored", got, drains)
		}
		t.Logf("%d transactions", store.count())
	})
}

// TestDrainedWorkersAreReportedWithoutTheStore empties a few dozen workers of a wave at once on a store that is sixty times
// slower. The controller's leader must learn this from the owner without a transaction, and must ignore an owner that has been
// replaced.
func TestDrainedWorkersAreReportedWithoutTheStore(t *testing.T) {
	const drains = 70
	store := newSerialStore(60)
	fl := New(Options{Name: "one", Store: store, Machines: noMachines{}, Format: testFormat{}})
	workers := map[cell.WorkerName]bool{}
	for i := range drains {
		id := fmt.Sprintf("%02d", i)
		workers[cell.WorkerName("w"+id)] = true
		fl.members.applyDrain(Row{Key: drainPrefix + "m" + id, Version: 7, Value: fmt.Appendf(nil, `{"machine":"m%s","worker":"w%s","pool":"pool"}`, id, id)})
	}
	ow := newOwner(fl, "pool", ownerRow{version: 5}, func() {})
	ow.planned = true
	ow.core.Cordon(workers)
	fl.owners["pool"] = ow
	for _, tc := range []struct {
		epoch int64
		clear int
	}{{5, drains}, {6, 0}} {
		fl.members.owners["pool"] = ownerRow{Holder: "one", version: tc.epoch}
		fl.controller.recordDrained(fl.loads(context.Background(), poolTargets{}, nil, false))
		if got := len(fl.controller.drained); got != tc.clear {
			t.Errorf("%d drained workers are known at cell epoch %d, want %d", got, tc.epoch, tc.clear)
		}
	}
	if got := store.count(); got > 0 {
		t.Errorf("%d transactions", got)
	}
}

// startLeaseHolder starts the renewal of the machine lease over a store.
func startLeaseHolder(ctx context.Context, t *testing.T, store *serialStore) *machineController {
	t.Helper()
	ct := newLeaseHolder(ctx, t, store)
	go ct.renewLoop(ctx)
	return ct
}

// newLeaseHolder returns a holder of the machine lease over a store that renews it only when told to.
func newLeaseHolder(ctx context.Context, t *testing.T, store *serialStore) *machineController {
	t.Helper()
	fl := New(Options{Name: "one", Store: store, Machines: noMachines{}, Format: testFormat{}})
	fl.background = ctx
	version, err := store.mm.commit(Tx{Write: []Row{{Table: tableControl, Part: machinesCell, Key: ownerKey, Value: []byte("{}")}}})
	if err != nil {
		t.Fatal(err)
	}
	ct := fl.controller
	ct.waveRunner, ct.cancel, ct.tasks = machine.NewWaveRunner(time.Now(), machineCooldown), func() {}, &sync.WaitGroup{}
	ct.row = ownerRow{Holder: "one", Incarnation: fl.opts.Incarnation, version: version}
	ct.lease = machineLease{version: version, ordered: map[cell.MachineID]*machineOrders{}}
	return ct
}

// countLeaseGaps counts the samples at which the lease is not valid.
func countLeaseGaps(ct *machineController, samples int) int {
	count := 0
	for range samples {
		time.Sleep(100 * time.Millisecond)
		if !ct.leaseValid(time.Now()) {
			count++
		}
	}
	return count
}

// TestLostAnswersRarelyLoseTheLease loses a third of all answers, including those that would reveal that an earlier attempt
// succeeded. When each lost answer counted as a failed renewal and lengthened the next timeout, the lease was invalid at more
// than half of the samples.
func TestLostAnswersRarelyLoseTheLease(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newSerialStore(1)
		store.loseAnswers(3, 0.35)
		ct := startLeaseHolder(ctx, t, store)
		time.Sleep(2 * time.Second)
		gaps := countLeaseGaps(ct, 600)
		t.Logf("the lease was not valid at %d of 600 samples, %d transactions", gaps, store.count())
		if gaps > 200 {
			t.Errorf("the lease was not valid at %d of 600 samples", gaps)
		}
	})
}
