package machine

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// fleet simulates machines that execute orders.
type fleet struct {
	t      *testing.T
	now    time.Time
	runner *WaveRunner
	list   map[cell.MachineID]*Machine
	// back is when a machine in maintenance comes back.
	back    map[cell.MachineID]time.Time
	maxDown int
}

func newFleet(t *testing.T, machines, maxDown int) (*fleet, Wave) {
	ft := &fleet{t: t, now: time.Unix(1_700_000_000, 0), list: map[cell.MachineID]*Machine{}, back: map[cell.MachineID]time.Time{}, maxDown: maxDown}
	wv := Wave{Number: 1, Duration: 30 * time.Second, MaxDown: maxDown}
	for at := range machines {
		id := cell.MachineID(string(rune('a' + at)))
		ft.list[id] = &Machine{ID: id, Pool: job.PoolID([]string{"p", "q"}[at%2]), State: Up, Worker: cell.WorkerName("w" + string(id))}
		wv.Machines = append(wv.Machines, id)
	}
	ft.runner = NewWaveRunner(ft.now.Add(-time.Minute), 3*time.Second)
	ft.runner.Begin(ft.now, wv, nil, false)
	return ft, wv
}

func (ft *fleet) snapshot() []Machine {
	var list []Machine
	for _, mc := range ft.list {
		list = append(list, *mc)
	}
	return list
}

// settle brings machines back whose maintenance is over, and checks the wave's limit.
func (ft *fleet) settle() {
	down := 0
	for id, mc := range ft.list {
		if mc.State != Maintenance {
			continue
		}
		if !ft.now.Before(ft.back[id]) {
			mc.State, mc.Worker = Up, mc.Worker+"'"
			continue
		}
		down++
	}
	if down > ft.maxDown {
		ft.t.Fatalf("%d machines are down, the limit is %d", down, ft.maxDown)
	}
}

// serve executes an order for maintenance.
func (ft *fleet) serve(sv StartMaintenance) {
	mc := ft.list[sv.Machine]
	if mc.State == Up {
		mc.State = Maintenance
		ft.back[sv.Machine] = ft.now.Add(2 * time.Second)
	}
}

// TestWaveWithinItsBoundAndTime runs a wave whose drains take a second. Every machine gets its maintenance within the duration, and the limit
// of machines down is kept.
func TestWaveWithinItsBoundAndTime(t *testing.T) {
	ft, wv := newFleet(t, 12, 3)
	emptyAt := map[cell.MachineID]time.Time{}
	for range 150 {
		ft.now = ft.now.Add(200 * time.Millisecond)
		ft.settle()
		ft.runner.List(ft.now, ft.snapshot())
		for id, at := range emptyAt {
			if ft.now.After(at) {
				ft.runner.Adopt(Drain{Machine: id, Worker: ft.list[id].Worker, Empty: true})
			}
		}
		for _, od := range ft.runner.Plan(ft.now) {
			switch order := od.(type) {
			case RequestDrain:
				emptyAt[order.Machine] = ft.now.Add(time.Second)
			case Release:
				delete(emptyAt, order.Machine)
			case StartMaintenance:
				ft.serve(order)
				ft.runner.MaintenanceResult(ft.now.Add(10*time.Millisecond), order, Done)
			case ReportProgress:
				if order.Completed {
					if took := ft.now.Sub(time.Unix(1_700_000_000, 0)); took > wv.Duration {
						t.Fatalf("wave took %v", took)
					}
					return
				}
			}
		}
	}
	t.Fatal("wave did not end")
}

// TestListRequestedBeforeTheAnswerIsIgnored guards against taking a machine for maintained because an older list shows it as up: without a
// worker it is up in a list requested before the answer.
func TestListRequestedBeforeTheAnswerIsIgnored(t *testing.T) {
	ft, _ := newFleet(t, 4, 2)
	for _, mc := range ft.list {
		mc.Worker = ""
	}
	ft.runner.List(ft.now, ft.snapshot())
	ordered := services(ft.runner.Plan(ft.now))
	if len(ordered) != 2 {
		t.Fatalf("%d orders, want 2", len(ordered))
	}
	stale := ft.snapshot()
	requestedAt := ft.now.Add(5 * time.Millisecond)
	for _, sv := range ordered {
		ft.serve(sv)
		ft.runner.MaintenanceResult(ft.now.Add(10*time.Millisecond), sv, Done)
	}
	ft.runner.List(requestedAt, stale)
	if more := services(ft.runner.Plan(ft.now.Add(200 * time.Millisecond))); len(more) != 0 {
		t.Fatalf("%d more orders while two machines are down, want none", len(more))
	}
}

func services(orders []Order) []StartMaintenance {
	var list []StartMaintenance
	for _, od := range orders {
		if sv, ok := od.(StartMaintenance); ok {
			list = append(list, sv)
		}
	}
	return list
}

// TestUnansweredOrderCountsAsDown checks a repeated order that is refused as busy, because the first one was executed without an answer. The
// machine still counts as down.
func TestUnansweredOrderCountsAsDown(t *testing.T) {
	ft, _ := newFleet(t, 3, 1)
	for _, mc := range ft.list {
		mc.Worker = ""
	}
	ft.runner.List(ft.now, ft.snapshot())
	first := services(ft.runner.Plan(ft.now))[0]
	ft.runner.MaintenanceResult(ft.now, first, NoAnswer)
	ft.now = ft.now.Add(orderRetryInterval)
	ft.runner.List(ft.now, ft.snapshot())
	again := services(ft.runner.Plan(ft.now))
	if len(again) != 1 || again[0].Machine != first.Machine {
		t.Fatalf("ordered %v, want %s repeated", again, first.Machine)
	}
	ft.serve(first)
	ft.runner.MaintenanceResult(ft.now, again[0], Busy)
	if more := services(ft.runner.Plan(ft.now.Add(100 * time.Millisecond))); len(more) != 0 {
		t.Fatalf("%v ordered while another machine is down", more)
	}
}

// TestHigherTokenEndsTheRunner checks that no order follows the refusal of an order because of another holder.
func TestHigherTokenEndsTheRunner(t *testing.T) {
	ft, _ := newFleet(t, 2, 2)
	for _, mc := range ft.list {
		mc.Worker = ""
	}
	ft.runner.List(ft.now, ft.snapshot())
	ft.runner.MaintenanceResult(ft.now, services(ft.runner.Plan(ft.now))[0], Superseded)
	if orders := ft.runner.Plan(ft.now.Add(time.Second)); !ft.runner.Superseded() || len(orders) != 0 {
		t.Fatalf("orders after the runner was superseded: %v", orders)
	}
}

// TestNewHolderWaitsBeforeOrdersForInheritedMachines guards against two holders that give orders for one machine in turns.
func TestNewHolderWaitsBeforeOrdersForInheritedMachines(t *testing.T) {
	ft, wv := newFleet(t, 1, 1)
	ft.runner = NewWaveRunner(ft.now, 3*time.Second)
	ft.runner.Begin(ft.now, wv, nil, false)
	ft.runner.Adopt(Drain{Machine: "a", Worker: "wa", Wave: 1, Empty: true, Inherited: true})
	ft.runner.List(ft.now, ft.snapshot())
	if early := services(ft.runner.Plan(ft.now.Add(time.Second))); len(early) != 0 {
		t.Fatalf("ordered %v before the inherit delay", early)
	}
	if late := services(ft.runner.Plan(ft.now.Add(4 * time.Second))); len(late) != 1 {
		t.Fatalf("ordered %v after the inherit delay, want one order", late)
	}
}

var testPools = []job.Pool{{ID: "p"}, {ID: "q"}, {ID: "off", Reserve: true}}

// sizes runs a sizer over three pools, four machines each in p and q and two in the reserve pool, and returns the sizes over time.
func sizes(t *testing.T, load func(second int) map[job.PoolID]cell.Load) map[job.PoolID][]int {
	t.Helper()
	sz := NewSizer(DefaultSizes())
	now := time.Unix(1_700_000_000, 0)
	machines := map[cell.MachineID]Machine{}
	for at, pool := range []job.PoolID{"p", "p", "p", "p", "q", "q", "q", "q", "off", "off"} {
		id := cell.MachineID(string(rune('a' + at)))
		machines[id] = Machine{ID: id, Pool: pool, State: Up, Worker: cell.WorkerName("w" + string(id))}
	}
	history := map[job.PoolID][]int{}
	for tick := range 60 {
		now = now.Add(250 * time.Millisecond)
		loads := load(tick / 4)
		for id, ld := range loads {
			ld.Pool = id
			busy := int(ld.Placed + 0.99)
			for _, mc := range sorted(machines) {
				if mc.Pool != id {
					continue
				}
				wl := cell.WorkerLoad{ID: cell.WorkerID(mc.Worker), Machine: mc.ID, Usable: true, Idle: 5 * time.Second}
				if busy > 0 {
					wl.Idle = 0
					busy--
				}
				ld.Workers = append(ld.Workers, wl)
			}
			loads[id] = ld
		}
		for _, sh := range sz.Plan(now, testPools, machines, loads, func(cell.MachineID) bool { return false }) {
			mc := machines[sh.Machine]
			if mc.Pool != sh.From {
				t.Fatalf("%s moved from %s, but it is in %s", sh.Machine, sh.From, mc.Pool)
			}
			mc.Pool = sh.To
			machines[sh.Machine] = mc
			sz.MoveResult(mc, sh, Done)
		}
		counts := map[job.PoolID]int{}
		for _, mc := range machines {
			counts[mc.Pool]++
		}
		for _, pool := range testPools {
			history[pool.ID] = append(history[pool.ID], counts[pool.ID])
		}
	}
	return history
}

func sorted(machines map[cell.MachineID]Machine) []Machine {
	var list []Machine
	for at := 'a'; at <= 'z'; at++ {
		if mc, ok := machines[cell.MachineID(string(at))]; ok {
			list = append(list, mc)
		}
	}
	return list
}

// TestMachinesFollowTheLoad checks that machines move to the pool that needs them, and to the reserve pool when none does.
func TestMachinesFollowTheLoad(t *testing.T) {
	history := sizes(t, func(second int) map[job.PoolID]cell.Load {
		need := 1.0
		if second >= 4 && second < 9 {
			need = 6
		}
		return map[job.PoolID]cell.Load{"p": {Demand: need, Placed: min(need, 4)}, "q": {Demand: 1, Placed: 1}}
	})
	if peak := history["p"][32]; peak < 6 {
		t.Errorf("pool with a demand of 6 machines has %d", peak)
	}
	if off := history["off"][59]; off < 5 {
		t.Errorf("%d machines are off after the peak, want at least 5", off)
	}
	if count := history["q"][59]; count < 2 {
		t.Errorf("idle pool has %d machines, want at least 2", count)
	}
}

// TestUnknownLoadMovesNothing checks that a pool whose owner does not answer keeps its machines.
func TestUnknownLoadMovesNothing(t *testing.T) {
	history := sizes(t, func(int) map[job.PoolID]cell.Load {
		return map[job.PoolID]cell.Load{"q": {Demand: 9, Placed: 4}}
	})
	if count := history["p"][59]; count != 4 {
		t.Errorf("pool with unknown load has %d machines, want 4", count)
	}
}

// TestMaintenanceUnderAnEarlierHolderIsRecognized checks a machine that had its maintenance before: the order is answered but changes nothing.
func TestMaintenanceUnderAnEarlierHolderIsRecognized(t *testing.T) {
	ft, _ := newFleet(t, 1, 1)
	ft.runner.List(ft.now, ft.snapshot())
	ft.runner.Plan(ft.now)
	ft.runner.Adopt(Drain{Machine: "a", Worker: "wa", Wave: 1, Empty: true})
	sv := services(ft.runner.Plan(ft.now))[0]
	ft.runner.MaintenanceResult(ft.now.Add(10*time.Millisecond), sv, Done)
	ft.runner.List(ft.now.Add(time.Second), ft.snapshot())
	for _, od := range ft.runner.Plan(ft.now.Add(time.Second)) {
		if rp, ok := od.(ReportProgress); ok && rp.Completed {
			return
		}
	}
	t.Fatal("wave does not end")
}

// TestCrashIsNotTakenForMaintenance checks that a machine is drained again if its order was not answered and another incarnation of its worker
// runs.
func TestCrashIsNotTakenForMaintenance(t *testing.T) {
	ft, _ := newFleet(t, 1, 1)
	ft.runner.List(ft.now, ft.snapshot())
	ft.runner.Plan(ft.now)
	ft.runner.Adopt(Drain{Machine: "a", Worker: "wa", Wave: 1, Empty: true})
	sv := services(ft.runner.Plan(ft.now))[0]
	ft.runner.MaintenanceResult(ft.now, sv, NoAnswer)
	ft.list["a"].Worker = "wa2"
	ft.now = ft.now.Add(time.Second)
	ft.runner.List(ft.now, ft.snapshot())
	wanted := false
	for _, od := range ft.runner.Plan(ft.now) {
		switch order := od.(type) {
		case ReportProgress:
			t.Fatalf("progress reported, completed: %t", order.Completed)
		case StartMaintenance:
			t.Fatal("maintenance ordered although tasks may run on the new incarnation")
		case RequestDrain:
			wanted = order.Worker == "wa2"
		}
	}
	if !wanted {
		t.Fatal("no drain requested for the new incarnation")
	}
}

// TestSpreadLimitsAndWavesAreHeldAgainstThePool checks that the spread limits set the minimum number of workers, and that workers of machines
// in a wave do not count towards it.
func TestSpreadLimitsAndWavesAreHeldAgainstThePool(t *testing.T) {
	sz := NewSizer(DefaultSizes())
	now := time.Unix(1_700_000_000, 0)
	machines := map[cell.MachineID]Machine{}
	for at, pool := range []job.PoolID{"p", "p", "q", "q", "q", "q", "q", "q"} {
		id := cell.MachineID(string(rune('a' + at)))
		machines[id] = Machine{ID: id, Pool: pool, State: Up, Worker: cell.WorkerName("w" + string(id))}
	}
	loads := map[job.PoolID]cell.Load{"p": {Pool: "p", Demand: 0.5, MinWorkers: 3}, "q": {Pool: "q"}}
	ld := loads["q"]
	for _, mc := range sorted(machines)[2:] {
		ld.Workers = append(ld.Workers, cell.WorkerLoad{ID: cell.WorkerID(mc.Worker), Machine: mc.ID, Usable: true, Idle: time.Second})
	}
	loads["q"] = ld
	shifts := sz.Plan(now, testPools, machines, loads, func(id cell.MachineID) bool { return id == "a" })
	if len(shifts) != 2 || shifts[0].To != "p" || shifts[1].To != "p" {
		t.Fatalf("moves %+v, want two machines for the pool that requires three workers and has one", shifts)
	}
}

// TestCoolingDownMachinesGetNoOrders checks that neither a wave nor a pool gives an order for a machine for which an earlier holder may just
// have given one.
func TestCoolingDownMachinesGetNoOrders(t *testing.T) {
	for _, coolingDown := range []bool{true, false} {
		ft, _ := newFleet(t, 1, 1)
		ft.list["a"].Worker, ft.list["a"].CoolingDown = "", coolingDown
		ft.runner.List(ft.now, ft.snapshot())
		if got := len(services(ft.runner.Plan(ft.now))) == 0; got != coolingDown {
			t.Errorf("cooling down %t: no order from the wave: %t", coolingDown, got)
		}
		sz := NewSizer(DefaultSizes())
		machines := map[cell.MachineID]Machine{"a": {ID: "a", Pool: "off", State: Up, CoolingDown: coolingDown}}
		loads := map[job.PoolID]cell.Load{"p": {Pool: "p", Demand: 1}}
		if got := len(sz.Plan(ft.now, testPools, machines, loads, func(cell.MachineID) bool { return false })) == 0; got != coolingDown {
			t.Errorf("cooling down %t: no order from the sizer: %t", coolingDown, got)
		}
	}
}
