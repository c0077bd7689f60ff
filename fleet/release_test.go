package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// TestCellWithWaitingJobsIsNotMoved checks that a cell with a waiting job moves only to an instance that is far less loaded. A
// handover during a burst of jobs would delay them.
func TestCellWithWaitingJobsIsNotMoved(t *testing.T) {
	cl := newCluster(t, 20*time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	sp := testSpec("huge")
	sp.Steps[0].Size = job.Size{CPUMillis: 1 << 30}
	if result, _ := one.Submit(t.Context(), sp); result != Accepted {
		t.Fatal(result)
	}
	ow := one.ownerOf("pool")
	waits := func() bool {
		ow.mu.Lock()
		defer ow.mu.Unlock()
		ow.claimedAt = time.Time{}
		return ow.core.HasPending(one.opts.Now())
	}
	cl.eventually("a job waits", waits)
	if ow.canMove(one.opts.Now(), false) {
		t.Error("a cell with a waiting job can move")
	}
	if !ow.canMove(one.opts.Now(), true) {
		t.Error("a cell with a waiting job cannot move to an instance that is far less loaded")
	}
	if err := one.Cancel(t.Context(), "", "huge"); err != nil {
		t.Fatal(err)
	}
	cl.eventually("calm", func() bool { return !waits() })
	if !ow.canMove(one.opts.Now(), false) {
		t.Error("a cell without waiting jobs cannot move")
	}
}

// TestCellWithUnreachedWorkersIsNotMoved checks that a cell stays while a worker with tasks does not answer, whatever the other instances'
// load.
func TestCellWithUnreachedWorkersIsNotMoved(t *testing.T) {
	cl := newCluster(t, time.Hour)
	cl.workersFor = func(string) Workers { return &mutableWorkers{fakeWorkers: cl.workers} }
	one := cl.start("one")
	cl.waitOwner(one)
	if result := cl.submit(one, "j"); result != Accepted {
		t.Fatal(result)
	}
	ow := one.ownerOf("pool")
	movable := func() bool {
		ow.mu.Lock()
		ow.claimedAt = time.Time{}
		ow.mu.Unlock()
		return ow.canMove(one.opts.Now(), true)
	}
	cl.eventually("its tasks run", func() bool { return cl.workers.peakRunning() == 2 })
	if !movable() {
		t.Error("a cell whose workers answer cannot move")
	}
	one.opts.Workers.(*adaptiveWorkers).Workers.(*mutableWorkers).silent.Store(true)
	cl.eventually("the cell stays", func() bool { return !movable() })
}

// mutableWorkers are workers that can fall silent.
type mutableWorkers struct {
	*fakeWorkers
	silent atomic.Bool
}

func (mw *mutableWorkers) Poll(ctx context.Context, poll cell.Poll) cell.PollResult {
	result := mw.fakeWorkers.Poll(ctx, poll)
	if mw.silent.Load() {
		return cell.PollResult{Poll: poll, Outcome: cell.NoAnswer, Sent: result.Sent, Received: result.Received}
	}
	return result
}

func TestBestLoadRatio(t *testing.T) {
	fl := New(Options{Name: "small", Store: &faultyStore{mem: newMemStore()}, Workers: newWorkers(0), Machines: noMachines{}, Format: testFormat{}})
	live := map[string]node{"small": {Name: "small", Power: 0.2}, "large": {Name: "large", Power: 0.8}, "leaving": {Name: "leaving", Power: 8, Leaving: true}}
	setHolders := func(cells ...string) {
		fl.members.owners = map[string]ownerRow{}
		for i, holder := range cells {
			fl.members.owners[string(rune('a'+i))] = ownerRow{Holder: holder}
		}
	}
	for _, tc := range []struct {
		cells []string
		want  float64
	}{{nil, 0}, {[]string{"small"}, 4}, {[]string{"small", "large", "large", "large"}, 1}, {[]string{"small", "small", "large"}, 4}} {
		setHolders(tc.cells...)
		if got := fl.bestLoadRatio(live); got != tc.want {
			t.Errorf("%v: %v, want %v", tc.cells, got, tc.want)
		}
	}
}

// TestLoadsAreRequestedFromOwners checks that loads are requested only from the owners of cells. Other instances are called
// only to report full queues.
func TestLoadsAreRequestedFromOwners(t *testing.T) {
	mb := newMembers(time.Now, nil)
	for _, name := range []string{"a", "b", "c"} {
		mb.nodes[name] = node{Name: name}
	}
	mb.owners["pool"] = ownerRow{Holder: "b"}
	if got := mb.cellOwners("a", false); len(got) != 1 || got[0].Name != "b" {
		t.Errorf("owners: %v", got)
	}
	if got := mb.cellOwners("a", true); len(got) != 2 {
		t.Errorf("all: %v", got)
	}
}
