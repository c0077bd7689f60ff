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

// turnStore is a store whose parts take their transactions in turn, as its pages say, on a synthetic clock. A transaction that was given
// up is carried out all the same; one that would wait for longer than a second is refused.
type serialStore struct {
	mm *memStore
	// turn is how long a part is taken by a transaction, answer how long its answer takes besides.
	perPart, answer time.Duration
	mu              sync.Mutex // guards the fields below
	freeAt          map[string]time.Time
	commits         int
	// lost tells whether the next transaction is done and not answered.
	lost func() bool
}

const (
	// fastTurn and fastAnswer are those of a store that is well: 300 transactions a second in a part, some 4 ms an answer.
	fastCommit = 3333 * time.Microsecond
	fastAnswer = 4 * time.Millisecond
	// turnWait is the longest wait for a turn.
	maxCommitWait = time.Second
)

func newSerialStore(factor int) *serialStore {
	return &serialStore{mm: newMemStore(), perPart: fastCommit * time.Duration(factor), answer: fastAnswer * time.Duration(factor), freeAt: map[string]time.Time{}}
}

// lossy makes a share of the transactions be done and not answered.
func (ss *serialStore) loseAnswers(seed uint64, share float64) {
	rd := rand.New(rand.NewPCG(seed, seed))
	ss.lost = func() bool { return rd.Float64() < share }
}

// loses reports whether the answer of a transaction is lost.
func (ss *serialStore) answerLost() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.lost != nil && ss.lost()
}

// take reserves a turn in every part of a transaction and returns when it is over, or false if that is too far away.
func (ss *serialStore) reserve(tx Tx) (time.Time, bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.commits++
	parts := partsOf(tx)
	now := time.Now()
	begin, turn := now, ss.perPart
	if len(parts) > 1 {
		turn *= 2
	}
	for _, part := range parts {
		begin = later(begin, ss.freeAt[part])
	}
	if begin.Sub(now) > maxCommitWait {
		return begin, false
	}
	for _, part := range parts {
		ss.freeAt[part] = begin.Add(turn)
	}
	return begin.Add(turn), true
}

// count is how many transactions there were.
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
	done, taken := ss.reserve(tx)
	if !taken {
		sleep(ctx, ss.answer)
		return 0, ErrRefused
	}
	type result struct {
		version int64
		err     error
	}
	answer := make(chan result, 1)
	time.AfterFunc(time.Until(done)+ss.answer, func() {
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

// inBubble plays a test on a synthetic clock, and ends what it started with the context when it is over.
func withFakeClock(t *testing.T, run func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		run(ctx, t)
		cancel()
		synctest.Wait()
	})
}

// intakeFleet is a number of instances that only accept jobs, over one store.
type intakeFleet struct {
	nodes []*Fleet
	store *serialStore
}

// startIntake starts the intakes of some instances until the context ends.
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
				// The feed of the control table is answered; only transactions are late.
				nd.control.recordSuccess(time.Now())
				sleep(ctx, 200*time.Millisecond)
			}
		}()
	}
	return fl
}

// handedIn is what became of the jobs that were handed in.
type submissions struct {
	verdicts map[SubmitResult]int
	// late counts the callers that had no answer when their time was over.
	late int
	// refused are the jobs whose callers were told that they were not taken.
	refused []job.ID
}

// callerTime is how long a caller waits for an answer.
const callerTimeout = 2850 * time.Millisecond

// handIn hands in so many jobs a second for a while, each at one instance, and waits for all verdicts.
func (fl intakeFleet) submitJobs(seed uint64, perSecond int, span time.Duration) submissions {
	rd := rand.New(rand.NewPCG(seed, seed))
	res := submissions{verdicts: map[SubmitResult]int{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range int(span.Seconds() * float64(perSecond)) {
		nd, id := fl.nodes[rd.IntN(len(fl.nodes))], job.ID(fmt.Sprintf("%016x", rd.Uint64()))
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			began := time.Now()
			result, _ := nd.Submit(ctx, testSpec(id))
			mu.Lock()
			defer mu.Unlock()
			res.verdicts[result]++
			if result == Refused {
				res.refused = append(res.refused, id)
			}
			if time.Since(began) > callerTimeout {
				res.late++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return res
}

// check checks that all callers were answered in time, and that no job is kept whose caller was told that it was not taken, whatever was
// still on its way to the store then.
func (fl intakeFleet) check(t *testing.T, res submissions) {
	t.Helper()
	t.Logf("accepted %d, refused %d, unknown %d, late %d; %d transactions", res.verdicts[Accepted], res.verdicts[Refused], res.verdicts[Unknown], res.late, fl.store.count())
	if res.late > 0 {
		t.Errorf("%d callers were answered when their time was over", res.late)
	}
	time.Sleep(time.Minute)
	for _, id := range res.refused {
		if kept := fl.store.mm.read(Query{Table: tableHome, Part: partName(homePart(id)), From: string(id), To: string(id) + "!"}); len(kept.Rows) > 0 {
			t.Errorf("job %s was refused and is kept", id)
		}
	}
}

// TestCallersAreAnsweredInTime: the store is so slow that a transaction takes longer than a caller waits. Callers are told so when their
// time is over at the latest, and those who are told that their job was not taken are told the truth.
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

// TestSlowStoreAcceptsFromManyInstances: each answer of the store takes sixty times as long as usual, none is lost. Jobs come at many
// instances, and what the store could take in turn is enough for all of them.
func TestSlowStoreAcceptsFromManyInstances(t *testing.T) {
	for _, count := range []int{6, 33} {
		t.Run(fmt.Sprintf("%d instances", count), func(t *testing.T) {
			withFakeClock(t, func(ctx context.Context, t *testing.T) {
				fl := startIntake(ctx, newSerialStore(60), count)
				res := fl.submitJobs(1, 100, 4*time.Second)
				if got := res.verdicts[Accepted]; got < 380 {
					t.Errorf("%d of 400 jobs were accepted", got)
				}
				fl.check(t, res)
			})
		})
	}
}

// TestWaveOnASlowStoreKeepsTheLease: many machines are wanted at once while the store is sixty times slower. Their rows lie in the part of
// the duty's lease and must not hold up its renewals.
func TestWaveOnSlowStoreKeepsLease(t *testing.T) {
	const wanted = 70
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newSerialStore(60)
		du := startLeaseHolder(ctx, t, store)
		time.Sleep(10 * time.Second)
		for i := range wanted {
			du.execute(ctx, machine.Want{Drain: machine.Drain{Machine: cell.MachineID(fmt.Sprintf("m%d", i)), Pool: "pool"}})
		}
		if lost := countLeaseGaps(du, 100); lost > 0 {
			t.Errorf("the lease was lost at %d of 100 moments", lost)
		}
		if got := len(store.mm.read(Query{Table: tableControl, Part: machinesCell, From: drainPrefix}).Rows) - 1; got != wanted {
			t.Errorf("%d of %d machines are wanted in the store", got, wanted)
		}
		t.Logf("%d transactions", store.count())
	})
}

// TestEmptyWorkersAreToldWithoutTheStore: some dozen workers of a wave are empty at once while the store is sixty times slower. The holder of
// the duty learns it from their owner, and not from one that has been replaced.
func TestDrainedWorkersAreReportedWithoutTheStore(t *testing.T) {
	const wanted = 70
	store := newSerialStore(60)
	fl := New(Options{Name: "one", Store: store, Machines: noMachines{}, Format: testFormat{}})
	ids := map[cell.WorkerName]bool{}
	for i := range wanted {
		id := fmt.Sprintf("%02d", i)
		ids[cell.WorkerName("w"+id)] = true
		fl.members.applyDrain(Row{Key: drainPrefix + "m" + id, Version: 7, Value: fmt.Appendf(nil, `{"machine":"m%s","worker":"w%s","pool":"pool"}`, id, id)})
	}
	ow := newOwner(fl, "pool", ownerRow{version: 5}, func() {})
	ow.planned = true
	ow.core.Cordon(ids)
	fl.owners["pool"] = ow
	for _, tc := range []struct {
		epoch int64
		clear int
	}{{5, wanted}, {6, 0}} {
		fl.members.owners["pool"] = ownerRow{Holder: "one", version: tc.epoch}
		fl.controller.recordDrained(fl.loads(context.Background(), nil, false, nil, false))
		if got := len(fl.controller.drained); got != tc.clear {
			t.Errorf("%d empty workers are known while the cell's epoch is %d, want %d", got, tc.epoch, tc.clear)
		}
	}
	if got := store.count(); got > 0 {
		t.Errorf("%d transactions", got)
	}
}

// startDutyHolder starts what renews the lease of the machines' duty over a store.
func startLeaseHolder(ctx context.Context, t *testing.T, store *serialStore) *machineController {
	t.Helper()
	fl := New(Options{Name: "one", Store: store, Machines: noMachines{}, Format: testFormat{}})
	fl.background = ctx
	version, err := store.mm.commit(Tx{Write: []Row{{Table: tableControl, Part: machinesCell, Key: ownerKey, Value: []byte("{}")}}})
	if err != nil {
		t.Fatal(err)
	}
	du := fl.controller
	du.waveRunner, du.cancel, du.tasks = machine.NewKeeper(time.Now(), machineCooldown), func() {}, &sync.WaitGroup{}
	du.row = ownerRow{Holder: "one", Incarnation: fl.opts.Incarnation, version: version}
	du.lease = machineLease{version: version, ordered: map[cell.MachineID]*machineOrders{}}
	go du.renewLoop(ctx)
	return du
}

// gaps counts at how many of some moments the lease is not held.
func countLeaseGaps(du *machineController, samples int) int {
	count := 0
	for range samples {
		time.Sleep(100 * time.Millisecond)
		if !du.leaseValid(time.Now()) {
			count++
		}
	}
	return count
}

// TestLostAnswersSeldomCostTheLease: a third of all answers are lost, also those that would tell of an earlier try. With every lost answer
// counted as no renewal, and longer waits after each, the lease was lost at more than half of the moments.
func TestLostAnswersRarelyLoseTheLease(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newSerialStore(1)
		store.loseAnswers(3, 0.35)
		du := startLeaseHolder(ctx, t, store)
		time.Sleep(2 * time.Second)
		got := countLeaseGaps(du, 600)
		t.Logf("the lease was lost at %d of 600 moments, %d transactions", got, store.count())
		if got > 200 {
			t.Errorf("the lease was lost at %d of 600 moments", got)
		}
	})
}
