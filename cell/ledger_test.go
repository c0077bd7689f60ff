package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// ledgerTestBed is a store of accounts with the ledgers of several cells, all of which reach the store.
type ledgerTestBed struct {
	t       *testing.T
	now     time.Time
	version int64
	rows    map[job.OrganisationID]AccountRow
	cells   []*Ledger
	writes  int
}

// cores returns a size of whole cores.
func cores(count int) job.Size { return job.Size{CPUMillis: 1000 * count} }

func newLedgerTestBed(t *testing.T, cells int, maximum job.Size) *ledgerTestBed {
	t.Helper()
	lb := &ledgerTestBed{t: t, now: time.Unix(1_700_000_000, 0), rows: map[job.OrganisationID]AccountRow{}}
	for i := range cells {
		lg := NewLedger(fmt.Sprint(i), job.Epoch(100+i))
		lg.MarkReconciled()
		lb.cells = append(lb.cells, lg)
	}
	lb.setMaximum(maximum)
	lb.runRounds(cells, nil)
	return lb
}

// setMaximum puts a maximum in force in all cells.
func (lb *ledgerTestBed) setMaximum(maximum job.Size) {
	cf := &job.Configuration{Organisations: job.NewDirectory([]job.Organisation{{ID: "mill", Maximum: maximum}})}
	for i := range lb.cells {
		cf.Queues = append(cf.Queues, job.Queue{Pool: job.PoolID(fmt.Sprint(i))})
	}
	for _, lg := range lb.cells {
		lg.Configure(cf)
	}
}

// runRounds makes all cells write their allowances and read those of the others, for a number of rounds of 50 ms.
func (lb *ledgerTestBed) runRounds(count int, waiting map[int]Demand) {
	for range count {
		lb.now = lb.now.Add(50 * time.Millisecond)
		for i, lg := range lb.cells {
			rows := lg.PendingWrites(lb.now, map[job.OrganisationID]Demand{"mill": waiting[i]})
			if len(rows) == 0 {
				continue
			}
			if lb.rows["mill"].Version != rows[0].Version {
				lg.Update(lb.rows["mill"])
				continue
			}
			lb.version++
			lb.writes++
			rows[0].Version = lb.version
			lb.rows["mill"] = rows[0]
			lg.Written(rows, lb.version)
		}
		for _, lg := range lb.cells {
			lg.Update(lb.rows["mill"])
		}
	}
}

// fill starts tasks of one core in a cell until no more are allowed, and returns how many it started.
func (lb *ledgerTestBed) fill(cell int) int {
	count := 0
	for ; lb.cells[cell].AllowsTask("mill", cores(1)); count++ {
		lb.cells[cell].addRunning("mill", cores(1), 1)
	}
	return count
}

// TestOnlyDemandingCellGetsWholeMaximum replays demand that moves from cell to cell. Each cell in turn needs the whole maximum of the organisation
// and must get it within a few rounds, although the previous cell held it.
func TestOnlyDemandingCellGetsWholeMaximum(t *testing.T) {
	lb := newLedgerTestBed(t, 4, cores(100))
	for turn := range 8 {
		cell := turn % 4
		got := 0
		for range 10 {
			lb.runRounds(1, map[int]Demand{cell: {Waiting: cores(200), Unit: cores(1)}})
			got += lb.fill(cell)
		}
		if got != 100 {
			t.Errorf("turn %d: %d of 100 tasks started within 0.5 s", turn, got)
		}
		lb.cells[cell].addRunning("mill", cores(got), -1)
	}
	// An even split would start 25 tasks only. The cost of a better split is writes, so their number is limited too.
	if lb.writes > 8*12 {
		t.Errorf("%d writes for 8 turns", lb.writes)
	}
}

// TestTwoDemandingCellsShareEvenly checks that two cells which both need the whole maximum get half each, once the surplus tasks of the first have
// ended.
func TestTwoDemandingCellsShareEvenly(t *testing.T) {
	lb := newLedgerTestBed(t, 4, cores(100))
	all := Demand{Waiting: cores(200), Unit: cores(1)}
	lb.runRounds(10, map[int]Demand{0: all})
	if got := lb.fill(0); got != 100 {
		t.Fatalf("the first cell started %d tasks while it had no competition", got)
	}
	second := 0
	for range 60 {
		lb.runRounds(1, map[int]Demand{0: all, 1: all})
		if lb.cells[0].running["mill"].CPUMillis > 0 {
			lb.cells[0].addRunning("mill", cores(1), -1)
		}
		lb.fill(0)
		second += lb.fill(1)
	}
	if second < 48 || second > 50 {
		t.Errorf("the second cell started %d tasks", second)
	}
}

// TestUnansweredWriteCountsAsLowerAllowance checks that an owner which returned a part of its allowance without getting an answer does not use that
// part, even after it has requested it again.
func TestUnansweredWriteCountsAsLowerAllowance(t *testing.T) {
	lb := newLedgerTestBed(t, 2, cores(100))
	lb.runRounds(4, map[int]Demand{0: {Waiting: cores(100), Unit: cores(1)}})
	lg := lb.cells[0]
	if !lg.Allows("mill", cores(100)) {
		t.Fatal("the first cell does not have the whole maximum")
	}
	lb.now = lb.now.Add(2 * allowanceIdleTimeout)
	lg.PendingWrites(lb.now, nil)
	lb.now = lb.now.Add(2 * allowanceIdleTimeout)
	returned := lg.PendingWrites(lb.now, nil)
	if len(returned) != 1 || returned[0].Account["0"].Held.CPUMillis >= 100_000 {
		t.Fatalf("want one write that returns a part, got %+v", returned)
	}
	if lg.Allows("mill", cores(100)) {
		t.Error("an allowance that may have been returned is used")
	}
	lg.PendingWrites(lb.now, map[job.OrganisationID]Demand{"mill": {Waiting: cores(100), Unit: cores(1)}})
	if lg.Allows("mill", cores(100)) {
		t.Error("an allowance that was requested again is used before the write is confirmed")
	}
}

// TestLoweredMaximumBlocksStarts checks that no cell starts a task until the running tasks of all cells are below the lowered maximum.
func TestLoweredMaximumBlocksStarts(t *testing.T) {
	lb := newLedgerTestBed(t, 3, cores(90))
	lb.runRounds(4, map[int]Demand{0: {Waiting: cores(80), Unit: cores(1)}})
	lb.fill(0)
	lb.setMaximum(cores(30))
	lb.runRounds(3, map[int]Demand{1: {Waiting: cores(10), Unit: cores(1)}})
	if got := lb.fill(0) + lb.fill(1) + lb.fill(2); got != 0 {
		t.Fatalf("%d tasks started above the maximum", got)
	}
	lb.cells[0].addRunning("mill", cores(60), -1)
	lb.runRounds(6, map[int]Demand{1: {Waiting: cores(10), Unit: cores(1)}})
	running := lb.cells[0].running["mill"].CPUMillis / 1000
	if got := lb.fill(1); got == 0 || got+running > 30 {
		t.Errorf("%d tasks started while %d were running", got, running)
	}
}

// TestTaskLargerThanTheMaximumRunsAlone checks that a task larger than the maximum may run if nothing else does, because it would wait forever
// otherwise. A gang of that size waits, because it would exceed the maximum by more than one task.
func TestTaskLargerThanTheMaximumRunsAlone(t *testing.T) {
	lb := newLedgerTestBed(t, 3, cores(4))
	lb.runRounds(4, map[int]Demand{2: {Waiting: cores(6), Unit: cores(6)}})
	lg := lb.cells[2]
	if lg.Allows("mill", cores(6)) || !lg.AllowsTask("mill", cores(6)) {
		t.Fatalf("gang allowed: %v, task allowed: %v; account %+v", lg.Allows("mill", cores(6)), lg.AllowsTask("mill", cores(6)), lb.rows["mill"].Account)
	}
	lg.addRunning("mill", cores(6), 1)
	if lg.AllowsTask("mill", cores(1)) || lb.cells[0].AllowsTask("mill", cores(1)) {
		t.Error("another task is allowed beside it")
	}
}

// TestSharesTooSmallForATaskAreReturned checks three cells with tasks of half the maximum. No task fits in an even share, and no cell could start any
// task while each held on to its share, as seen in a world of the model.
func TestSharesTooSmallForATaskAreReturned(t *testing.T) {
	lb := newLedgerTestBed(t, 3, cores(8))
	dm := Demand{Waiting: cores(8), Unit: cores(4)}
	lb.runRounds(8, map[int]Demand{0: dm, 1: dm, 2: dm})
	count := 0
	for _, lg := range lb.cells {
		if lg.AllowsTask("mill", cores(4)) {
			lg.addRunning("mill", cores(4), 1)
			count++
		}
	}
	if count != 2 {
		t.Errorf("%d tasks run, want 2; account %+v", count, lb.rows["mill"].Account)
	}
}

// TestSuccessorCountsInheritedAllowance checks that a new owner starts only as much as the maximum leaves beside everything that its predecessor may
// have running.
func TestSuccessorCountsInheritedAllowance(t *testing.T) {
	lb := newLedgerTestBed(t, 2, cores(100))
	lb.runRounds(4, map[int]Demand{0: {Waiting: cores(60), Unit: cores(1)}})
	held := lb.rows["mill"].Account["0"].Held.CPUMillis / 1000
	predecessor := lb.cells[0]
	lb.fill(0)
	next := NewLedger("0", 500)
	lb.cells[0] = next
	lb.setMaximum(cores(100))
	if next.AllowsTask("mill", cores(1)) {
		t.Error("a task is allowed before the successor has taken the allowance over")
	}
	lb.runRounds(4, map[int]Demand{0: {Waiting: cores(100), Unit: cores(1)}})
	if got := lb.fill(0); got+held > 100 || got == 0 {
		t.Errorf("%d tasks started beside the %d that may run", got, held)
	}
	predecessor.Update(lb.rows["mill"])
	if !predecessor.Superseded() {
		t.Error("the predecessor does not learn of its successor")
	}
}

// TestOrganisationsWithoutMaximum checks that nothing is written for organisations without a maximum, and that a maximum of 0 does not limit a
// resource.
func TestOrganisationsWithoutMaximum(t *testing.T) {
	lb := newLedgerTestBed(t, 2, job.Size{})
	if lb.writes != 0 || !lb.cells[0].AllowsTask("mill", cores(1000)) || !lb.cells[0].AllowsTask("", cores(1)) {
		t.Error("limited without a maximum")
	}
	lb.setMaximum(job.Size{MemoryMB: 100})
	lb.runRounds(3, nil)
	if !lb.cells[0].AllowsTask("mill", cores(1000)) || lb.cells[0].Allows("mill", job.Size{MemoryMB: 101}) {
		t.Error("a maximum for memory only must limit memory only")
	}
}

// TestCellWithoutRoomHoldsLittle checks that a cell whose waiting tasks have no room holds a small part of the maximum, even while no other cell needs
// any. Its successor would count everything that it holds as used.
func TestCellWithoutRoomHoldsLittle(t *testing.T) {
	lb := newLedgerTestBed(t, 5, cores(100))
	lb.cells[0].addRunning("mill", cores(1), 5)
	lb.runRounds(40, map[int]Demand{0: {Waiting: cores(500), Blocked: cores(500)}})
	// What runs and the base, with headroom.
	if held := lb.rows["mill"].Account["0"].Held.CPUMillis; held < 5_000 || held > (5_000+10_000)*5/4 {
		t.Errorf("the cell holds %d thousandths of a core", held)
	}
}
