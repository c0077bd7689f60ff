package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
)

// TestMovesFollowThePlatformsRate replays a turn of demand that wants a thousand machines at once. The moves of each round must fit
// the platform's rate and the lease, all of them must be made in the time that the rate allows, and small turns must not wait.
func TestMovesFollowThePlatformsRate(t *testing.T) {
	const perSecond, wanted = 590, 1000
	now := time.Now()
	fl := New(Options{Store: &faultyStore{mem: newMemStore()}, Format: testFormat{}, Machines: noMachines{}, MachineOrderRate: perSecond})
	ct := fl.controller
	ct.sizer = machine.NewSizer(machine.DefaultSizes())
	machines := map[cell.MachineID]machine.Machine{}
	for i := range 2 * wanted {
		id := cell.MachineID(fmt.Sprintf("m%d", i))
		machines[id] = machine.Machine{ID: id, Pool: "reserve", State: machine.Up, Worker: cell.WorkerName("w" + string(id))}
	}
	pools := []job.Pool{{ID: "reserve", Reserve: true}, {ID: "p"}}
	loads := map[job.PoolID]cell.Load{"p": {Pool: "p", Demand: wanted, UrgentDemand: wanted}}
	none := func(cell.MachineID) bool { return false }
	moved, rounds := 0, 0
	for ; moved < wanted && rounds < 100; rounds++ {
		moves := ct.takeMoves(now, ct.sizer.Plan(now, pools, machines, loads, none))
		if most := int(perSecond * orderBurst.Seconds()); len(moves) > most {
			t.Fatalf("%d moves in one round, the platform takes %d", len(moves), most)
		}
		for _, mv := range moves {
			mc := machines[mv.Machine]
			mc.Pool = "p"
			machines[mv.Machine] = mc
		}
		moved += len(moves)
		now = now.Add(sizeInterval)
	}
	if span := time.Duration(rounds) * sizeInterval; span > 2*wanted*time.Second/perSecond {
		t.Errorf("%d machines took %v", moved, span)
	}
	small := New(Options{Store: &faultyStore{mem: newMemStore()}, Format: testFormat{}, Machines: noMachines{}}).controller
	if got := small.takeMoves(now, make([]machine.Move, 50)); len(got) != 50 {
		t.Errorf("without a stated rate %d of 50 moves are made", len(got))
	}
}
