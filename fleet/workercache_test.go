package fleet

import (
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// newRegistry is a fleet that reads registrations, for a cell that it owns.
func newRegistry(t *testing.T) (*Fleet, *owner) {
	t.Helper()
	fl := New(Options{Name: "one", Store: &faultyStore{mem: newMemStore()}, Machines: noMachines{}, Format: testFormat{}})
	ow := newOwner(fl, "pool", ownerRow{Epoch: 7}, func() {})
	fl.owners["pool"] = ow
	return fl, ow
}

// unused says of which workers the owner gives nothing to.
func unusableWorkers(ow *owner) map[cell.WorkerID]bool {
	ow.plan()
	leaving := map[cell.WorkerID]bool{}
	for _, ld := range ow.core.Load(time.Now()).Workers {
		leaving[ld.ID] = !ld.Usable
	}
	return leaving
}

// An entry that cannot be read leaves its worker without new tasks at once, whatever the worker's former entry said, and the other workers as
// they are. It is used again once its entry can be read.
func TestUnreadableRegistrationStopsNewTasks(t *testing.T) {
	fl, ow := newRegistry(t)
	row := func(id, value string) Row { return Row{Table: "registry", Key: id, Value: []byte(value)} }
	fl.applyRegistrations([]Row{row("w0", "{}"), row("w1", unreadableRegistration), row("w2", "{}")}, time.Time{})
	if got := unusableWorkers(ow); len(got) != 2 || got["w0"] || got["w2"] {
		t.Errorf("workers %v, want w0 and w2 in use", got)
	}
	fl.applyRegistrations([]Row{row("w0", unreadableRegistration)}, time.Time{})
	if got := unusableWorkers(ow); !got["w0"] || got["w2"] {
		t.Errorf("workers without new tasks %v, want w0 alone", got)
	}
	if got := fl.metrics.registrationsRejected.Count(); got < 2 {
		t.Errorf("%d rejected registrations counted", got)
	}
	fl.applyRegistrations([]Row{row("w0", "{}")}, time.Time{})
	if got := unusableWorkers(ow); got["w0"] {
		t.Error("w0 is not used again")
	}
}

// A worker whose entry names another pool is none of the former's any more.
func TestWorkerThatChangesPoolLeavesItsCell(t *testing.T) {
	fl, ow := newRegistry(t)
	fl.register(cell.Worker{ID: "w0", Pool: "pool", Address: "a"})
	fl.register(cell.Worker{ID: "w0", Pool: "nowhere", Address: "a"})
	if got := unusableWorkers(ow); !got["w0"] {
		t.Errorf("workers without new tasks %v, want w0", got)
	}
}

// Where workers name their machines one that names none wrote no entry of its own; where none does all are used.
func TestRegistrationWithoutMachineIsRejectedAmongOthers(t *testing.T) {
	for machine, want := range map[cell.MachineID]int{"m0": 1, "": 2} {
		fl, ow := newRegistry(t)
		fl.register(cell.Worker{ID: "w0", Pool: "pool", Address: "a", Machine: machine})
		fl.applyRegistrations([]Row{{Table: "registry", Key: "w1", Value: []byte("{}")}}, time.Time{})
		if got := unusableWorkers(ow); len(got) != want {
			t.Errorf("beside a worker on machine %q: %d workers are known, want %d", machine, len(got), want)
		}
	}
}

// bornFormat reads when a worker's life began from its row.
type startTimeFormat struct{ testFormat }

func (startTimeFormat) Worker(rw Row) (cell.Worker, error) {
	born, err := strconv.ParseInt(string(rw.Value), 10, 64)
	return cell.Worker{ID: cell.NewWorkerID(cell.WorkerName(rw.Key), born), Pool: "pool", Address: rw.Key, Room: job.Size{CPUMillis: 4000, MemoryMB: 4000}}, err
}

// The entry of a worker that started again under its name counts as one of another worker, and one that does not tell its life as nobody's: the
// owner took the numbers and leases of one life for those of the other.
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
		{"first life", row("1000"), map[cell.WorkerID]bool{first: false}},
		{"second life", row("2000"), map[cell.WorkerID]bool{second: false}},
		{"no life told", row("0"), map[cell.WorkerID]bool{second: true}},
		{"second life again", row("2000"), map[cell.WorkerID]bool{second: false}},
		{"gone", Row{Table: "registry", Key: "w0", Deleted: true}, map[cell.WorkerID]bool{}},
	} {
		fl.applyRegistrations([]Row{tc.row}, time.Time{})
		if got := unusableWorkers(ow); !maps.Equal(got, tc.want) {
			t.Errorf("%s: workers without new tasks %v, want %v", tc.what, got, tc.want)
		}
	}
}

// Registrations that came with the first answer after an outage of the store counted as written when they were asked for. They were written before
// it, and rooms that had shrunk in between were counted on.
func TestRegistrationsAreDatedByThePreviousAnswer(t *testing.T) {
	fl, _ := newRegistry(t)
	start := time.Now()
	read := func(asked time.Time) time.Time {
		fl.applyRegistrations([]Row{{Table: "registry", Key: "w0", Value: []byte("{}")}}, asked)
		wk, _ := fl.workerCache.get("w0")
		return wk.WrittenAt
	}
	fl.control.recordSuccess(start)
	if got := read(start.Add(time.Second)); start.Sub(got) < cell.DefaultRegistrationMaxAge {
		t.Errorf("read whole a second after the store was back: told %v before that", start.Sub(got))
	}
	late := start.Add(2 * cell.RegistrationRenewal)
	if got := read(late); !got.Equal(late) {
		t.Errorf("read whole long after: told %v before it was asked for", late.Sub(got))
	}
	fl.registry.ready.Store(true)
	fl.registry.recordSuccess(late)
	if got := read(late.Add(4 * time.Second)); got.Sub(late).Abs() > time.Millisecond {
		t.Errorf("the answer before was asked for at %v, told at %v", late, got)
	}
}
