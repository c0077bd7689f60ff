package machine

import (
	"testing"

	"github.com/aspenseam/aspenseam/job"
)

// TestMachinesGoToJobsThatCanMeetTheirObjective distributes 100 machines, 67 of them in a pool of late jobs. The pool whose jobs can meet
// their objective gets its demand, the small pool gets what its spread limits require, and each gets a limit.
func TestMachinesGoToJobsThatCanMeetTheirObjective(t *testing.T) {
	sz := NewSizer(SizeOptions{Margin: 1})
	behind := &poolView{id: "behind", loadKnown: true, demand: 120, urgentDemand: 5, current: 67, minMachines: 4, minWorkers: 2}
	turn := &poolView{id: "turn", loadKnown: true, demand: 60, urgentDemand: 60, current: 20, minMachines: 4, minWorkers: 2}
	small := &poolView{id: "small", loadKnown: true, demand: 6, urgentDemand: 6, current: 3, minMachines: 12, minWorkers: 12}
	silent := &poolView{id: "silent", current: 10}
	limits := sz.allot([]*poolView{behind, turn, small, silent})
	if small.target != 12 || turn.target != 60 || behind.target != 18 {
		t.Errorf("targets: small %d, turn %d, behind %d", small.target, turn.target, behind.target)
	}
	if len(limits) != 3 || limits["behind"] != behind.target {
		t.Errorf("limits %v", limits)
	}
}

// TestTargetsAreSharedWhereNotAllCanBeMet checks that the targets do not exceed the number of machines, that spread limits come first, and
// that there are no limits if there are enough machines.
func TestTargetsAreSharedWhereNotAllCanBeMet(t *testing.T) {
	sz := NewSizer(SizeOptions{Margin: 1})
	views := func() []*poolView {
		return []*poolView{
			{id: "a", loadKnown: true, demand: 300, urgentDemand: 300, current: 60, minWorkers: 8},
			{id: "b", loadKnown: true, demand: 100, urgentDemand: 100, current: 20, minWorkers: 8},
			{id: "c", loadKnown: true, demand: 4, urgentDemand: 4, current: 10, minWorkers: 4},
			{id: job.PoolID("off"), reserve: true, current: 10},
		}
	}
	list := views()
	sz.allot(list)
	sum := 0
	for _, pv := range list {
		sum += pv.target
		if pv.target < pv.minWorkers {
			t.Errorf("%s has a target of %d, below its minimum of %d", pv.id, pv.target, pv.minWorkers)
		}
	}
	if sum > 100 || sum < 97 || list[0].target < 2*list[1].target {
		t.Errorf("targets %d, %d, %d of 100 machines", list[0].target, list[1].target, list[2].target)
	}
	list = views()
	list[0].demand, list[1].demand = 50, 20
	if limits := sz.allot(list); limits != nil {
		t.Errorf("limits %v although there are enough machines", limits)
	}
}
