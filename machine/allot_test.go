package machine

import (
	"testing"

	"github.com/aspenseam/aspenseam/job"
)

// TestMachinesGoToWhatCanStillBeInTime: of 100 machines a pool holds 67 for jobs that are late; one whose turn begins gets what its jobs need,
// one that is small what its spread limits want, and each is told how many are its own.
func TestMachinesGoToWhatCanStillBeInTime(t *testing.T) {
	sz := NewSizer(SizeOptions{Margin: 1})
	behind := &poolView{id: "behind", known: true, need: 120, pressing: 5, have: 67, keep: 4, least: 2}
	turn := &poolView{id: "turn", known: true, need: 60, pressing: 60, have: 20, keep: 4, least: 2}
	small := &poolView{id: "small", known: true, need: 6, pressing: 6, have: 3, keep: 12, least: 12}
	silent := &poolView{id: "silent", have: 10}
	limits := sz.allot([]*poolView{behind, turn, small, silent})
	if small.target != 12 || turn.target != 60 || behind.target != 18 {
		t.Errorf("targets: small %d, turn %d, behind %d", small.target, turn.target, behind.target)
	}
	if len(limits) != 3 || limits["behind"] != behind.target {
		t.Errorf("limits %v", limits)
	}
}

// TestTargetsAreSharedWhereNotAllCanBeMet: no more machines are given than there are, what spread limits want comes first, and nothing is
// limited where there are enough.
func TestTargetsAreSharedWhereNotAllCanBeMet(t *testing.T) {
	sz := NewSizer(SizeOptions{Margin: 1})
	views := func() []*poolView {
		return []*poolView{
			{id: "a", known: true, need: 300, pressing: 300, have: 60, least: 8},
			{id: "b", known: true, need: 100, pressing: 100, have: 20, least: 8},
			{id: "c", known: true, need: 4, pressing: 4, have: 10, least: 4},
			{id: job.PoolID("off"), reserve: true, have: 10},
		}
	}
	list := views()
	sz.allot(list)
	sum := 0
	for _, pv := range list {
		sum += pv.target
		if pv.target < pv.least {
			t.Errorf("%s has a target of %d below its %d", pv.id, pv.target, pv.least)
		}
	}
	if sum > 100 || sum < 97 || list[0].target < 2*list[1].target {
		t.Errorf("targets %d, %d, %d of 100 machines", list[0].target, list[1].target, list[2].target)
	}
	list = views()
	list[0].need, list[1].need = 50, 20
	if limits := sz.allot(list); limits != nil {
		t.Errorf("limits %v though there are enough machines", limits)
	}
}
