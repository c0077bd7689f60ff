package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
)

// writeOperatorRow writes or removes an evacuation of the platform's operator.
func (cl *cluster) writeOperatorRow(hall, value string, remove bool) {
	cl.t.Helper()
	tx := Tx{Write: []Row{{Table: "operator", Key: "hall/" + hall, Value: []byte(value)}}}
	if remove {
		tx = Tx{Remove: []Place{{"operator", "", "hall/" + hall}}}
	}
	if _, err := cl.mem.commit(tx); err != nil {
		cl.t.Fatal(err)
	}
}

// TestHallIsEvacuatedEverywhere evacuates and restores halls in both tables. All instances learn of it, an owner that takes over
// as well, and a hall is restored only when neither table requests its evacuation.
func TestHallIsEvacuatedEverywhere(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	first := cl.waitOwner(one, two)
	next := one
	if first == one {
		next = two
	}
	cl.eventually("the other node is ready", next.Ready)
	ctx := t.Context()
	cl.writeOperatorRow("north", "{}", false)
	if err := EvacuateHall(ctx, one.faultyStore, Evacuation{Hall: "north", By: "op", Why: "cooling", At: time.Now()}); err != nil {
		t.Fatal(err)
	}
	for _, nd := range []*testNode{one, two} {
		cl.eventually("north is evacuated", func() bool { return nd.hallEvacuated("north") })
	}
	first.stop()
	<-first.done
	cl.waitOwner(next)
	cl.writeOperatorRow("north", "", true)
	cl.writeOperatorRow("south", "{}", false)
	cl.eventually("south is evacuated", func() bool { return next.hallEvacuated("south") })
	if !next.hallEvacuated("north") {
		t.Error("north is restored though one table still requests its evacuation")
	}
	if err := RestoreHall(ctx, next.faultyStore, "north"); err != nil {
		t.Fatal(err)
	}
	cl.eventually("north is restored", func() bool { return !next.hallEvacuated("north") })
	if err := RestoreHall(ctx, next.faultyStore, "north"); !errors.Is(err, ErrNotEvacuated) {
		t.Errorf("restoring a hall that is not evacuated: %v", err)
	}
	cl.writeOperatorRow("south", unreadableRegistration, false)
	cl.eventually("an unreadable row requests nothing", func() bool { return !next.hallEvacuated("south") })
	if err := EvacuateHall(ctx, next.faultyStore, Evacuation{}); err == nil {
		t.Error("an evacuation without a hall was accepted")
	}
}

// TestJobsAreRefusedWhileAllHallsAreEvacuated checks that callers are told at once when no worker gets new tasks, and only then.
func TestJobsAreRefusedWhileAllHallsAreEvacuated(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	nd := cl.start("one")
	cl.waitOwner(nd)
	nd.opts.Halls = []job.HallID{"north", "south"}
	cl.writeOperatorRow("north", "{}", false)
	cl.eventually("north is evacuated", func() bool { return nd.hallEvacuated("north") })
	if result := cl.submit(nd, "a"); result != Accepted {
		t.Errorf("one hall is evacuated: result %d", result)
	}
	cl.writeOperatorRow("south", "{}", false)
	cl.eventually("south is evacuated", func() bool { return nd.hallEvacuated("south") })
	result, retryAfter := nd.Submit(t.Context(), &job.Spec{ID: "b", Queue: "q", Pool: "pool", Steps: []job.Step{{Count: 1}}})
	if result != Refused || retryAfter != evacuatedRetryAfter {
		t.Errorf("all halls are evacuated: result %d, retry after %v", result, retryAfter)
	}
	cl.writeOperatorRow("north", "", true)
	cl.eventually("north is restored", func() bool { return !nd.hallEvacuated("north") })
	if result := cl.submit(nd, "c"); result != Accepted {
		t.Errorf("a hall is restored: result %d", result)
	}
}

// TestQueuedStartIsNotSentToEvacuatedHall checks that a start which waits in the queue of its worker is returned as not sent once
// the worker's hall is evacuated. Other orders are sent.
func TestQueuedStartIsNotSentToEvacuatedHall(t *testing.T) {
	oq := newOrderQueue(&slowWorkers{loseOrder: func(int) bool { return false }}, time.Now, func(hall job.HallID) bool { return hall == "north" })
	for _, tc := range []struct {
		order cell.Order
		want  cell.Outcome
	}{
		{cell.Start{Hall: "north"}, cell.NotSent},
		{cell.Start{Hall: "south"}, cell.Done},
		{cell.Stop{}, cell.Done},
	} {
		results := make(chan cell.OrderResult, 1)
		oq.enqueue(t.Context(), tc.order, func(result cell.OrderResult) { results <- result })
		if got := (<-results).Outcome; got != tc.want {
			t.Errorf("%+v: outcome %v, want %v", tc.order, got, tc.want)
		}
	}
	relayed, ok := fromRelayOrder(toRelayOrder(1, cell.Start{Hall: "north"})).(cell.Start)
	if !ok || relayed.Hall != "north" {
		t.Errorf("a relayed start names the hall %q", relayed.Hall)
	}
}

// TestMachinesOfEvacuatedHallAreNoRoom checks that no machine is moved within an evacuated hall or into it, and that pools get
// theirs elsewhere.
func TestMachinesOfEvacuatedHallAreNoRoom(t *testing.T) {
	fl := New(Options{Store: &faultyStore{mem: newMemStore()}, Format: testFormat{}})
	fl.applyOperatorRow(Row{Table: "operator", Key: "hall/north", Value: []byte("{}"), Version: 1})
	machines := map[cell.MachineID]machine.Machine{}
	for _, mc := range []machine.Machine{
		{ID: "a", Pool: "p", State: machine.Up, Hall: "north", Worker: "wa"}, {ID: "b", Pool: "p", State: machine.Up, Hall: "south", Worker: "wb"},
		{ID: "c", Pool: "idle", State: machine.Up, Hall: "north", Worker: "wc"}, {ID: "d", Pool: "idle", State: machine.Up, Hall: "south", Worker: "wd"},
	} {
		machines[mc.ID] = mc
	}
	sizer := machine.NewSizer(machine.DefaultSizes())
	loads := map[job.PoolID]cell.Load{
		"p":    {Pool: "p", Demand: 3, UrgentDemand: 3},
		"idle": {Pool: "idle", Workers: []cell.WorkerLoad{{ID: "wc", Idle: time.Minute, Usable: true}, {ID: "wd", Idle: time.Minute, Usable: true}}},
	}
	pools := []job.Pool{{ID: "idle", Reserve: true}, {ID: "p"}}
	moves := sizer.Plan(time.Now(), pools, fl.outsideEvacuation(machines), loads, func(cell.MachineID) bool { return false })
	if len(moves) != 1 || moves[0].Machine != "d" {
		t.Errorf("moves: %+v", moves)
	}
}

// TestReadHalls checks what operators are shown of data halls.
func TestReadHalls(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	cl.format = hallFormat{}
	nd := cl.start("one")
	cl.waitOwner(nd)
	ctx := t.Context()
	at := time.Date(2026, 12, 3, 16, 0, 0, 0, time.UTC)
	if err := EvacuateHall(ctx, nd.faultyStore, Evacuation{Hall: "north", By: "op", Why: "cooling", At: at}); err != nil {
		t.Fatal(err)
	}
	cl.writeOperatorRow("south", "{}", false)
	cl.eventually("both are evacuated", func() bool { return nd.hallEvacuated("north") && nd.hallEvacuated("south") })
	rp, err := ReadHalls(ctx, nd.faultyStore, hallFormat{})
	if err != nil || len(rp.Halls) != 2 || len(rp.Unreachable) != 0 {
		t.Fatalf("halls: %+v, %v", rp, err)
	}
	north, south := rp.Halls[0], rp.Halls[1]
	if north.Hall != "north" || north.Workers == 0 || north.By != "op" || north.Why != "cooling" || !north.EvacuatedSince.Equal(at) {
		t.Errorf("north: %+v", north)
	}
	if south.Hall != "south" || south.EvacuatedSince.IsZero() || south.By != "" {
		t.Errorf("south: %+v", south)
	}
}

// hallFormat places all workers in the hall north.
type hallFormat struct{ testFormat }

func (hf hallFormat) Worker(rw Row) (cell.Worker, error) {
	wk, err := hf.testFormat.Worker(rw)
	wk.Hall = "north"
	return wk, err
}
