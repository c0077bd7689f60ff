package machine

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// TestMaintenanceInEvacuatedHallComesFirst checks that a wave drains the machines of an evacuated data hall first, beyond the share of a pool that is
// otherwise drained at once, and that machines elsewhere then wait, since the evacuated ones are missing already.
func TestMaintenanceInEvacuatedHallComesFirst(t *testing.T) {
	ft, _ := newFleet(t, 8, 6)
	for _, id := range []cell.MachineID{"e", "f", "g", "h"} {
		ft.list[id].Hall = "north"
	}
	ft.runner.SetEvacuatedHalls(map[job.HallID]bool{"north": true})
	ft.runner.List(ft.now, ft.snapshot())
	var wanted []cell.MachineID
	for _, od := range ft.runner.Plan(ft.now) {
		if dr, ok := od.(RequestDrain); ok {
			wanted = append(wanted, dr.Machine)
		}
	}
	if len(wanted) != 4 {
		t.Fatalf("%v are drained, want the four of the evacuated hall", wanted)
	}
	for _, id := range wanted {
		if ft.list[id].Hall != "north" {
			t.Errorf("%s is drained while its pool lacks half of its machines", id)
		}
	}
	late := ft.now.Add(20 * time.Second)
	ft.runner.List(late, ft.snapshot())
	if len(ft.runner.Plan(late)) == 0 {
		t.Error("a wave that is behind its schedule does not go on elsewhere")
	}
}
