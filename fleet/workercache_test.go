package fleet

import (
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// newRegistry returns a fleet that reads registrations, and the owner of the cell that it owns.
func newRegistry(t *testing.T) (*Fleet, *owner) {
	t.Helper()
	fl := New(Options{Name: "one", Store: &faultyStore{mem: newMemStore()}, Machines: noMachines{}, Format: testFormat{}})
	ow := newOwner(fl, "pool", ownerRow{Epoch: 7}, func() {})
	fl.owners["pool"] = ow
	return fl, ow
}

// unusableWorkers returns for each worker whether it gets no new tasks.
func unusableWorkers(ow *owner) map[cell.WorkerID]bool {
	ow.plan()
	unusable := map[cell.WorkerID]bool{}
	for _, ld := range ow.core.Load(time.Now()).Workers {
		unusable[ld.ID] = !ld.Usable
	}
	return unusable
}

// TestUnreadableRegistrationStopsNewTasks checks that a registration that can't be read stops new tasks for its worker at once,
// whatever its former registration said, and does not affect other workers. The worker is used again once its registration can be
// read.
func TestUnreadableRegistrationStopsNewTasks(t *testing.T) {
	fl, ow := newRegistry(t)
	row := func(id, value string) Row { return Row{Table: "registry", Key: id, Value: []byte(value)} }
	fl.applyRegistrations([]Row{row("w0", "{}"), row("w1", unreadableRegistration), row("w2", "{}")}, time.Time{})
	if got := unusableWorkers(ow); len(got) != 2 || got["w0"] || got["w2"] {
		t.Errorf("workers %v, want w0 and w2 in use", got)
	}
	fl.applyRegistrations([]Row{row("w0", unreadableRegistration)}, time.Time{})
	if got := unusableWorkers(ow); !got["w0"] || got["w2"] {
		t.Errorf("workers without new tasks %v, want only w0", got)
	}
	if got := fl.metrics.registrationsRejected.Count(); got < 2 {
		t.Errorf("%d rejected registrations counted", got)
	}
	fl.applyRegistrations([]Row{row("w0", "{}")}, time.Time{})
	if got := unusableWorkers(ow); got["w0"] {
		t.Error("w0 is not used again")
	}
}

// TestWorkerThatChangesPoolLeavesItsCell checks that a worker whose registration names another pool leaves the cell of its former
// pool.
func TestWorkerThatChangesPoolLeavesItsCell(t *testing.T) {
	fl, ow := newRegistry(t)
	fl.register(cell.Worker{ID: "w0", Pool: "pool", Address: "a"})
	fl.register(cell.Worker{ID: "w0", Pool: "nowhere", Address: "a"})
	if got := unusableWorkers(ow); !got["w0"] {
		t.Errorf("workers without new tasks %v, want w0", got)
	}
}

// TestRegistrationWithoutMachineIsRejectedAmongOthers checks that a registration without a machine is rejected if other workers
// name their machines, since its worker did not write it. If no worker names a machine, all registrations are accepted.
func TestRegistrationWithoutMachineIsRejectedAmongOthers(t *testing.T) {
	for machine, want := range map[cell.MachineID]int{"m0": 1, "": 2} {
		fl, ow := newRegistry(t)
		fl.register(cell.Worker{ID: "w0", Pool: "pool", Address: "a", Machine: machine})
		fl.applyRegistrations([]Row{{Table: "registry", Key: "w1", Value: []byte("{}")}}, time.Time{})
		if got := unusableWorkers(ow); len(got) != want {
			t.Errorf("with another worker on machine %q: %d workers are known, want %d", machine, len(got), want)
		}
	}
}

// startTimeFormat reads a worker's start time from its row.
type startTimeFormat struct{ testFormat }

func (startTimeFormat) Worker(rw Row) (cell.Worker, error) {
	startMillis, err := strconv.ParseInt(string(rw.Value), 10, 64)
	return cell.Worker{ID: cell.NewWorkerID(cell.WorkerName(rw.Key), startMillis), Pool: "pool", Address: rw.Key, Room: job.Size{CPUMillis: 4000, MemoryMB: 4000}}, err
}

// TestRestartedWorkerIsANewWorker checks that a worker that restarts under the same name counts as a new worker, and that a
// registration without a start time is rejected. Otherwise the owner mixes up the numbers and leases of the two incarnations.
func TestRestartedWorkerIsANewWorker(t *testing.T) {
	fl, ow := newRegistry(t)
	fl.opts.Format = startTimeFormat{}
	row := func(value string) Row { return Row{Table: "registry", Key: "w0", Value: []byte(value)} }
	first, second := cell.NewWorkerID("w0", 1000), cell.NewWorkerID("w0", 2000)
	for _, tc := range []struct {
		what string
		row  Row
		want map[cell.WorkerID]bool
	}{
		{"first incarnation", row("1000"), map[cell.WorkerID]bool{first: false}},
		{"second incarnation", row("2000"), map[cell.WorkerID]bool{second: false}},
		{"no start time", row("0"), map[cell.WorkerID]bool{second: true}},
		{"second incarnation again", row("2000"), map[cell.WorkerID]bool{second: false}},
		{"gone", Row{Table: "registry", Key: "w0", Deleted: true}, map[cell.WorkerID]bool{}},
	} {
		fl.applyRegistrations([]Row{tc.row}, time.Time{})
		if got := unusableWorkers(ow); !maps.Equal(got, tc.want) {
			t.Errorf("%s: workers without new tasks %v, want %v", tc.what, got, tc.want)
		}
	}
}

// TestRegistrationsAreDatedByThePreviousAnswer guards against registrations that are dated too late. Those that come with the
// first answer after an outage of the store may have been written before it. When they were dated by the request, the owner
// relied on free resources that had shrunk in between.
func TestRegistrationsAreDatedByThePreviousAnswer(t *testing.T) {
	fl, _ := newRegistry(t)
	start := time.Now()
	load := func(sentAt time.Time) time.Time {
		fl.applyRegistrations([]Row{{Table: "registry", Key: "w0", Value: []byte("{}")}}, sentAt)
		wk, _ := fl.workerCache.get("w0")
		return wk.WrittenAt
	}
	fl.control.recordSuccess(start)
	if got := load(start.Add(time.Second)); start.Sub(got) < cell.DefaultRegistrationMaxAge {
		t.Errorf("loaded a second after the store was back: dated %v before that", start.Sub(got))
	}
	late := start.Add(2 * cell.RegistrationRenewal)
	if got := load(late); !got.Equal(late) {
		t.Errorf("loaded long after: dated %v before the request", late.Sub(got))
	}
	fl.registry.ready.Store(true)
	fl.registry.recordSuccess(late)
	if got := load(late.Add(4 * time.Second)); got.Sub(late).Abs() > time.Millisecond {
		t.Errorf("the previous answer was requested at %v, registration dated %v", late, got)
	}
}
