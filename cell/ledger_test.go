package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// ledgerTestBed is a store of accounts with the ledgers of some cells, all of them in touch.
type ledgerTestBed struct {
	t       *testing.T
	now     time.Time
	version int64
	rows    map[job.OrganisationID]AccountRow
	cells   []*Ledger
	writes  int
}

// cores is a size of whole cores.
func cores(count int) job.Size { return job.Size{CPUMillis: 1000 * count} }

func newLedgerTestBed(t *testing.T, cells int, most job.Size) *ledgerTestBed {
	t.Helper()
	lb := &ledgerTestBed{t: t, now: time.Unix(1_700_000_000, 0), rows: map[job.OrganisationID]AccountRow{}}
	for at := range cells {
		lg := NewLedger(fmt.Sprint(at), job.Epoch(100+at))
		lg.MarkReconciled()
		lb.cells = append(lb.cells, lg)
	}
	lb.setMaximum(most)
	lb.runRounds(cells, nil)
	return lb
}

// setMaximum puts a maximum in force.
func (lb *ledgerTestBed) setMaximum(most job.Size) {
	cf := &job.Configuration{Organisations: job.NewDirectory([]job.Organisation{{ID: "mill", Maximum: most}})}
	for at := range lb.cells {
		cf.Queues = append(cf.Queues, job.Queue{Pool: job.PoolID(fmt.Sprint(at))})
	}
	for _, lg := range lb.cells {
		lg.Configure(cf)
	}
}

// runRounds has all cells write what they need and hear of the others.
func (lb *ledgerTestBed) runRounds(count int, waiting map[int]Demand) {
	for range count {
		lb.now = lb.now.Add(50 * time.Millisecond)
		for at, lg := range lb.cells {
			rows := lg.PendingWrites(lb.now, map[job.OrganisationID]Demand{"mill": waiting[at]})
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

// fill starts tasks of one core at a cell until it may start no more, and returns how many it started.
func (lb *ledgerTestBed) fill(at int) int {
	count := 0
	for ; lb.cells[at].AllowsTask("mill", cores(1)); count++ {
		lb.cells[at].addRunning("mill", cores(1), 1)
	}
	return count
}

// TestOnlyDemandingCellGetsWholeMaximum replays the load of queues that ask in turns: one cell after the other needs all that its organisation may have,
// and gets it within some rounds though the one before held it.
func TestOnlyDemandingCellGetsWholeMaximum(t *testing.T) {
	lb := newLedgerTestBed(t, 4, cores(100))
	for turn := range 8 {
		at := turn % 4
		got := 0
		for range 10 {
			lb.runRounds(1, map[int]Demand{at: {Waiting: cores(200), Unit: cores(1)}})
			got += lb.fill(at)
		}
		if got != 100 {
			t.Errorf("turn %d: %d of 100 tasks were started in 0.5 s", turn, got)
		}
		lb.cells[at].addRunning("mill", cores(got), -1)
	}
	// An even split would have started 25; the price is in writes.
	if lb.writes > 8*12 {
		t.Errorf("%d writes for 8 turns", lb.writes)
	}
}

// TestTwoDemandingCellsShareEvenly: two cells that need all get a half each, once what the first had running has ended.
func TestTwoDemandingCellsShareEvenly(t *testing.T) {
	lb := newLedgerTestBed(t, 4, cores(100))
	all := Demand{Waiting: cores(200), Unit: cores(1)}
	lb.runRounds(10, map[int]Demand{0: all})
	if got := lb.fill(0); got != 100 {
		t.Fatalf("the first alone: %d", got)
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
		t.Errorf("the second has %d", second)
	}
}

// TestUnansweredWriteCountsAsLowerAllowance: an owner that has given some back without an answer may not use it, however often it asks for it again.
func TestUnansweredWriteCountsAsLowerAllowance(t *testing.T) {
	lb := newLedgerTestBed(t, 2, cores(100))
	lb.runRounds(4, map[int]Demand{0: {Waiting: cores(100), Unit: cores(1)}})
	lg := lb.cells[0]
	if !lg.Allows("mill", cores(100)) {
		t.Fatal("the first has all")
	}
	lb.now = lb.now.Add(2 * allowanceIdleTimeout)
	lg.PendingWrites(lb.now, nil)
	lb.now = lb.now.Add(2 * allowanceIdleTimeout)
	less := lg.PendingWrites(lb.now, nil)
	if len(less) != 1 || less[0].Account["0"].Held.CPUMillis >= 100_000 {
		t.Fatalf("given back: %+v", less)
	}
	if lg.Allows("mill", cores(100)) {
		t.Error("what may have been given back is used")
	}
	lg.PendingWrites(lb.now, map[job.OrganisationID]Demand{"mill": {Waiting: cores(100), Unit: cores(1)}})
	if lg.Allows("mill", cores(100)) {
		t.Error("what was asked for again is used before the store has said so")
	}
}

// TestLoweredMaximumBlocksStarts: nothing is started until what all cells have is below the new one, wherever it runs.
func TestLoweredMaximumBlocksStarts(t *testing.T) {
	lb := newLedgerTestBed(t, 3, cores(90))
	lb.runRounds(4, map[int]Demand{0: {Waiting: cores(80), Unit: cores(1)}})
	lb.fill(0)
	lb.setMaximum(cores(30))
	lb.runRounds(3, map[int]Demand{1: {Waiting: cores(10), Unit: cores(1)}})
	if got := lb.fill(0) + lb.fill(1) + lb.fill(2); got != 0 {
		t.Fatalf("%d were started above the maximum", got)
	}
	lb.cells[0].addRunning("mill", cores(60), -1)
	lb.runRounds(6, map[int]Demand{1: {Waiting: cores(10), Unit: cores(1)}})
	running := lb.cells[0].running["mill"].CPUMillis / 1000
	if got := lb.fill(1); got == 0 || got+running > 30 {
		t.Errorf("%d beside %d", got, running)
	}
}

// TestTaskLargerThanTheMaximumRunsAlone: it would wait for ever otherwise. A gang of that size does wait: it would exceed the maximum by more than
// one task.
func TestTaskLargerThanTheMaximumRunsAlone(t *testing.T) {
	lb := newLedgerTestBed(t, 3, cores(4))
	lb.runRounds(4, map[int]Demand{2: {Waiting: cores(6), Unit: cores(6)}})
	lg := lb.cells[2]
	if lg.Allows("mill", cores(6)) || !lg.AllowsTask("mill", cores(6)) {
		t.Fatalf("a gang: %v, a task: %v; %+v", lg.Allows("mill", cores(6)), lg.AllowsTask("mill", cores(6)), lb.rows["mill"].Account)
	}
	lg.addRunning("mill", cores(6), 1)
	if lg.AllowsTask("mill", cores(1)) || lb.cells[0].AllowsTask("mill", cores(1)) {
		t.Error("something beside it")
	}
}

// TestSharesTooSmallForATaskAreReturned: three cells with tasks of half the maximum, whose even parts hold none; a world of the model stood still.
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
		t.Errorf("%d tasks run; %+v", count, lb.rows["mill"].Account)
	}
}

// TestSuccessorCountsInheritedAllowance: a new owner starts what the maximum leaves beside all that the one before may have running.
func TestSuccessorCountsInheritedAllowance(t *testing.T) {
	lb := newLedgerTestBed(t, 2, cores(100))
	lb.runRounds(4, map[int]Demand{0: {Waiting: cores(60), Unit: cores(1)}})
	held := lb.rows["mill"].Account["0"].Held.CPUMillis / 1000
	before := lb.cells[0]
	lb.fill(0)
	next := NewLedger("0", 500)
	lb.cells[0] = next
	lb.setMaximum(cores(100))
	if next.AllowsTask("mill", cores(1)) {
		t.Error("before it has taken the part over")
	}
	lb.runRounds(4, map[int]Demand{0: {Waiting: cores(100), Unit: cores(1)}})
	if got := lb.fill(0); got+held > 100 || got == 0 {
		t.Errorf("%d beside the %d that may run", got, held)
	}
	before.Update(lb.rows["mill"])
	if !before.Superseded() {
		t.Error("the one before does not learn of its successor")
	}
}

// TestOrganisationsWithoutMaximum: nothing is written for them, and figures of 0 bound nothing.
func TestOrganisationsWithoutMaximum(t *testing.T) {
	lb := newLedgerTestBed(t, 2, job.Size{})
	if lb.writes != 0 || !lb.cells[0].AllowsTask("mill", cores(1000)) || !lb.cells[0].AllowsTask("", cores(1)) {
		t.Error("bounded without a maximum")
	}
	lb.setMaximum(job.Size{MemoryMB: 100})
	lb.runRounds(3, nil)
	if !lb.cells[0].AllowsTask("mill", cores(1000)) || lb.cells[0].Allows("mill", job.Size{MemoryMB: 101}) {
		t.Error("a maximum of memory alone")
	}
}
