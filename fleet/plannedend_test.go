package fleet

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/machine"
)

// maintainedMachines are machines that record what the store says of the drained machine when its maintenance is ordered.
type maintainedMachines struct {
	noMachines
	store *serialStore
	seen  chan drainRow
}

func (mm maintainedMachines) StartMaintenance(_ context.Context, id cell.MachineID, _ int, _ string, _ cell.Token) machine.Outcome {
	var dr drainRow
	for _, rw := range mm.store.mm.read(Query{Table: tableControl, Part: machinesCell, From: drainPrefix + string(id)}).Rows {
		if rw.Key == drainPrefix+string(id) && json.Unmarshal(rw.Value, &dr) != nil {
			return machine.Invalid
		}
	}
	mm.seen <- dr
	return machine.Done
}

// Guards against an owner that learns of the order for a machine after the order has ended its worker, and takes that for a crash under its tasks.
func TestOrderThatEndsAWorkerIsStoredBeforeItIsSent(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newSerialStore(60)
		ct := newLeaseHolder(ctx, t, store)
		machines := maintainedMachines{store: store, seen: make(chan drainRow, 1)}
		ct.fl.opts.Machines = machines
		now := time.Now()
		ct.mu.Lock()
		ct.waveRunner.Begin(now, machine.Wave{Number: 1, Machines: []cell.MachineID{"m"}, Duration: time.Minute, MaxDown: 1}, nil, false)
		ct.waveRunner.Adopt(machine.Drain{Machine: "m", Worker: "w", Pool: "pool", Wave: 1, Since: now, Empty: true})
		ct.waveRunner.List(now, []machine.Machine{{ID: "m", Pool: "pool", State: machine.Up, Worker: "w"}})
		orders := ct.waveRunner.Plan(now)
		ct.mu.Unlock()
		ct.executeAll(ctx, orders)
		select {
		case dr := <-machines.seen:
			if dr.Worker != "w" || dr.Orders != 1 {
				t.Errorf("the store says %+v when the order is sent, want the first order for the machine of w", dr)
			}
		case <-time.After(time.Minute):
			t.Errorf("none of %v was sent", orders)
		}
	})
}

// Guards against a new owner that does not know of an order given under the former one: the note outlives the row of the drained machine.
func TestNewOwnerKnowsOfOrdersThatEndedWorkers(t *testing.T) {
	fl := New(Options{Name: "one", Store: newSerialStore(1), Machines: noMachines{}, Format: testFormat{}})
	row := Row{Key: drainPrefix + "m", Version: 7, Value: []byte(`{"machine":"m","worker":"w","pool":"pool","orders":1}`)}
	fl.members.applyDrain(row)
	row.Deleted = true
	fl.members.applyDrain(row)
	ow := newOwner(fl, "pool", ownerRow{version: 5}, func() {})
	ow.core.Register(time.Now(), cell.Worker{ID: "w", Pool: "pool", Address: "w"})
	ow.core.TakeOver(time.Now(), time.Now(), nil, true)
	fl.owners["pool"] = ow
	fl.cordonWorkers()
	ow.plan()
	if ow.core.PlannedEnd("w", fl.opts.Now()) == "" {
		t.Error("the end of the worker is not taken for planned")
	}
	if exempt := ow.core.PlannedEnd("w", fl.opts.Now().Add(time.Hour)); exempt != "" {
		t.Errorf("its end an hour later is: %s", exempt)
	}
}

// Guards against forgetting nothing: notes of orders are dropped after a time.
func TestNotesOfOrdersAreDropped(t *testing.T) {
	now := time.Now()
	fl := New(Options{Name: "one", Store: newSerialStore(1), Machines: noMachines{}, Format: testFormat{}})
	fl.members.now = func() time.Time { return now }
	for _, worker := range []string{"w1", "w2"} {
		fl.members.applyDrain(Row{Key: drainPrefix + worker, Version: 7, Value: []byte(`{"machine":"m","worker":"` + worker + `","pool":"pool","orders":1}`)})
		now = now.Add(orderNoteRetention + time.Second)
	}
	if len(fl.members.orders) != 1 {
		t.Errorf("%d notes are kept, want the newest", len(fl.members.orders))
	}
}
