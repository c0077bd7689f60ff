package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/machine"
)

// TestNoOrderOfAnEarlierHolderIsUnderWay: the holder loses the store and goes on; when the next one begins, all orders of the first are
// over, those without an answer as well.
func TestPreviousLeaderHasNoOrdersInFlight(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	first := cl.leader(one, two)
	next := one
	if first == one {
		next = two
	}
	cl.eventually("the other is ready", next.Ready)
	ob := &orderRecorder{}
	ob.sendConstantly(t, first)
	ob.sendConstantly(t, next)
	cl.eventually("orders of the first holder", func() bool { return len(ob.byNode(first.opts.Name)) > 1 })
	first.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = true })
	// The detour through the peer would keep it in office.
	first.peers.mu.Lock()
	first.peers.backoffUntil[next.opts.Address] = time.Now().Add(time.Hour)
	first.peers.mu.Unlock()
	cl.eventually("orders of the next holder", func() bool { return len(ob.byNode(next.opts.Name)) > 0 })
	begin := ob.byNode(next.opts.Name)[0]
	for _, gv := range ob.byNode(first.opts.Name) {
		if gv.to.After(begin.from) {
			t.Fatalf("an order of the first holder ended %v after the next one began", gv.to.Sub(begin.from))
		}
		if gv.token >= begin.token {
			t.Fatalf("tokens do not rise: %d, then %d", gv.token, begin.token)
		}
	}
}

// TestTermFollowsTheStore: a store whose answers take long makes the term longer, and the others wait as long as the row says.
func TestLeaseTermFollowsStoreLatency(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: &faultyStore{mem: cl.mm}, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}})
	if fast := fl.machineLeaseTerm(); fast != machineLeaseTermMin {
		t.Errorf("the term is %v while the store is fast", fast)
	}
	fl.store.latency = 500 * time.Millisecond
	slow := fl.machineLeaseTerm()
	if slow < 4*fl.store.latency || slow > machineLeaseTermMax {
		t.Errorf("the term is %v while a transaction takes %v", slow, fl.store.latency)
	}
	now := time.Now()
	fl.control.origin = now.Add(-2 * time.Hour)
	fl.control.successSince.Store(int64(time.Hour))
	fl.control.lastSuccess.Store(int64(2 * time.Hour))
	for _, tc := range []struct {
		term, still time.Duration
		held        bool
	}{
		{machineLeaseTermMin, machineLeaseTermMin, true},
		{machineLeaseTermMin, machineLeaseTermMin + 2*machineLeaseMargin, false},
		{slow, machineLeaseTermMin + 2*machineLeaseMargin, true},
		{slow, slow + 2*machineLeaseMargin, false},
		{0, machineLeaseTermMin, true},
	} {
		fl.members.ownerChangedAt[machinesCell] = now.Add(-tc.still)
		if got := fl.machineLeaseHeld(ownerRow{Holder: "two", Term: tc.term}); got != tc.held {
			t.Errorf("a row of term %v that stands still for %v: held is %t", tc.term, tc.still, got)
		}
	}
}

// TestShorterTermHoldsFromItsFirstTry: its answer may be lost, and the others wait for the shorter one only.
func TestShorterTermAppliesFromFirstAttempt(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	now := time.Now()
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: &faultyStore{mem: cl.mm, refuse: true}, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}, Now: func() time.Time { return now }})
	fl.controller.waveRunner = machine.NewKeeper(now, 0)
	fl.controller.lease = machineLease{expires: now.Add(machineLeaseTermMax), ordered: map[cell.MachineID]*machineOrders{}}
	fl.controller.renewOnce(context.Background(), nil)
	if left := fl.controller.lease.expires.Sub(now); left > machineLeaseTermMin {
		t.Fatalf("orders may be given for %v, the row that was sent says %v", left, machineLeaseTermMin)
	}
}

// TestLateClaimDoesNotReplaceAHolderThatRenewed: the claim was decided, or sent, before the renewal.
func TestLateClaimDoesNotReplaceRenewedLeader(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.leader(one)
	two := cl.start("two")
	cl.eventually("the other is ready", two.Ready)
	stale := two.members.owner(machinesCell)
	cl.eventually("a renewal", func() bool { return one.controller.leaseVersion() > stale.version })
	two.commitClaim(context.Background(), machinesCell, stale)
	if two.controller.isLeader() {
		t.Fatal("a claim in a version that is gone was granted")
	}
}

// TestRenewalCountsFromItsFirstTry: one whose answer was lost is known once a later try finds its row, and the others may have seen that
// row ever since it was sent. The renewal after that changes the row again, so it counts from its own sending.
func TestRenewalCountsFromFirstAttempt(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	now := time.Now()
	var mu sync.Mutex
	lost := 0
	way := &faultyStore{mem: cl.mm, dropAnswer: func(tx Tx) bool {
		mu.Lock()
		defer mu.Unlock()
		lost++
		return lost == 1
	}}
	clock := now
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: way, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}, Now: func() time.Time { return clock }})
	fl.controller.row = ownerRow{Holder: "one", Incarnation: fl.opts.Incarnation}
	fl.controller.waveRunner = machine.NewKeeper(now, 0)
	fl.controller.lease.ordered = map[cell.MachineID]*machineOrders{}
	if fl.controller.renewOnce(context.Background(), nil) {
		t.Fatal("a try without an answer counts as a renewal")
	}
	if until := fl.controller.lease.expires; until.After(now) {
		t.Fatalf("a try without an answer gave a lease of %v", until.Sub(now))
	}
	clock = now.Add(time.Second)
	for _, want := range []time.Time{now.Add(machineLeaseTermMin), clock.Add(machineLeaseTermMin)} {
		// The first of these finds the earlier try's row, the second renews in its version.
		if !fl.controller.renewOnce(context.Background(), nil) {
			t.Fatal("the lease was not renewed")
		}
		if got := fl.controller.lease.expires; !got.Equal(want) {
			t.Fatalf("the lease ends %v after the first try, want %v", got.Sub(now), want.Sub(now))
		}
	}
	if fl.controller.waveRunner.Lost() {
		t.Fatal("its own row was taken for another holder's")
	}
}

// TestOrderIsGivenUpWhenTheLeaseEnds: although calls about machines may take longer.
func TestOrderIsCancelledWhenLeaseExpires(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.leader(one)
	one.controller.announce(context.Background(), []cell.MachineID{busyMachine})
	one.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = true })
	cl.eventually("a lease that is not renewed any more", func() bool {
		one.controller.mu.Lock()
		defer one.controller.mu.Unlock()
		return time.Until(one.controller.lease.expires) < machineLeaseTermMin/2
	})
	one.controller.mu.Lock()
	until := one.controller.lease.expires
	one.controller.mu.Unlock()
	one.controller.sendOrder(context.Background(), busyMachine, func(ctx context.Context) machine.Outcome {
		if deadline, _ := ctx.Deadline(); deadline.After(until.Add(time.Millisecond)) {
			t.Errorf("the order may be under way until %v after the lease", deadline.Sub(until))
		}
		return machine.Done
	})
}

// TestHandedOverDutyIsTakenAtOnce: no order is under way then, and nobody waits for the lease to end.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.leader(one)
	two := cl.start("two")
	cl.eventually("the other is ready", two.Ready)
	ob := &orderRecorder{}
	ob.sendConstantly(t, one)
	cl.eventually("orders", func() bool { return len(ob.byNode("one")) > 0 })
	one.HandOver(context.Background())
	if cl.leaseRow().Holder == "one" {
		t.Fatal("the duty's row still names the one that left")
	}
	handed := time.Now()
	cl.leader(two)
	cl.eventually("the end of what is under way", func() bool { return !one.controller.leaseValid(time.Now()) })
	sleep(context.Background(), machineLeaseTermMin)
	for _, gv := range ob.byNode("one") {
		if gv.to.After(handed) {
			t.Fatal("an order was under way after the handover")
		}
	}
}

// TestOnlyAnnouncedMachinesGetOrders: the duty's row names a machine before an order for it is given.
func TestOnlyAnnouncedMachinesGetOrders(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.leader(one)
	give := func(id cell.MachineID) (given bool) {
		one.controller.sendOrder(context.Background(), id, func(context.Context) machine.Outcome {
			given = true
			return machine.Done
		})
		return given
	}
	if give("m1") {
		t.Error("an order for a machine that was not announced")
	}
	one.faultyStore.set(func(fs *faultyStore) { fs.refuse = true })
	one.controller.announce(context.Background(), []cell.MachineID{"m1"})
	if give("m1") {
		t.Error("an order for a machine whose announcement is not kept")
	}
	one.faultyStore.set(func(fs *faultyStore) { fs.refuse = false })
	cl.eventually("an order after the announcement", func() bool {
		one.controller.announce(context.Background(), []cell.MachineID{"m1"})
		return give("m1")
	})
	row := cl.leaseRow()
	if _, named := row.Ordered["m1"]; !named {
		t.Fatalf("the row names %v", row.Ordered)
	}
}

// TestNextHolderRestsFromWhatTheRowNames: and from nothing else, and tells a holder after it, whether the duty is handed over or taken.
func TestNextLeaderKeepsPublishedCooldowns(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.leader(one)
	cl.eventually("an order", func() bool {
		one.controller.announce(context.Background(), []cell.MachineID{"m1"})
		given := false
		one.controller.sendOrder(context.Background(), "m1", func(context.Context) machine.Outcome {
			given = true
			return machine.Done
		})
		return given
	})
	two := cl.start("two")
	cl.eventually("the other is ready", two.Ready)
	one.HandOver(context.Background())
	cl.leader(two)
	two.controller.mu.Lock()
	before := two.controller.previous
	two.controller.mu.Unlock()
	if left := before.Ordered["m1"]; left <= 0 || left > machineCooldown || len(before.Ordered) != 1 {
		t.Fatalf("the row names %v", before.Ordered)
	}
	if _, passed := cl.leaseRow().Ordered["m1"]; !passed && time.Since(before.seenAt) < machineCooldown/2 {
		t.Fatal("the next holder's row does not name it")
	}
	for _, tc := range []struct {
		id    cell.MachineID
		after time.Duration
		want  bool
	}{{"m1", 0, true}, {"m1", machineCooldown, false}, {"m2", 0, false}} {
		two.controller.mu.Lock()
		got := two.controller.coolingDown(before.seenAt.Add(tc.after), tc.id)
		two.controller.mu.Unlock()
		if got != tc.want {
			t.Errorf("%s rests after %v: %t", tc.id, tc.after, got)
		}
	}
}

// TestRowTellsForHowLongMachinesRest: an order that is over rests for what is left, one that may be given or is under way until it is
// surely over; a machine whose order was refused before it was given does not.
func TestLeaseRowPublishesCooldowns(t *testing.T) {
	const term = time.Second
	now := time.Now()
	dl := machineLease{ordered: map[cell.MachineID]*machineOrders{
		"announced": {announced: true},
		"active":    {inFlight: 1, lastDone: now.Add(-time.Minute)},
		"over":      {lastDone: now.Add(-time.Second)},
		"long over": {lastDone: now.Add(-machineCooldown)},
		"refused":   {},
	}}
	got := dl.cooldowns(now, term)
	want := map[cell.MachineID]time.Duration{"announced": machineCooldown + term, "active": machineCooldown + term, "over": machineCooldown - time.Second}
	if !maps.Equal(got, want) {
		t.Fatalf("rests %v, want %v", got, want)
	}
}

// dutyRow is the row of the machines' duty.
func (cl *cluster) leaseRow() ownerRow {
	cl.t.Helper()
	var or ownerRow
	for _, rw := range cl.mm.read(Query{Table: tableControl, Part: machinesCell, From: ownerKey, Limit: 1}).Rows {
		if err := json.Unmarshal(rw.Value, &or); err != nil {
			cl.t.Fatal(err)
		}
	}
	return or
}

// TestLateReportDoesNotUndoTheEnd: the word that a wave has begun is carried out after the word that it is over.
func TestLateReportDoesNotUndoCompletion(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	tried := make(chan struct{}, 1)
	one := cl.start("one", func(fs *faultyStore) {
		fs.dropAnswer = func(tx Tx) bool {
			if len(tx.Write) == 1 && string(tx.Write[0].Value) == "completed false" {
				tried <- struct{}{}
			}
			return false
		}
	})
	cl.leader(one)
	told := func() string {
		for _, rw := range cl.mm.read(Query{Table: "status"}).Rows {
			return string(rw.Value)
		}
		return ""
	}
	one.controller.reportWave(context.Background(), machine.Report{Wave: 1, Completed: true})
	cl.eventually("the end is told", func() bool { return told() == "completed true" })
	one.controller.reportWave(context.Background(), machine.Report{Wave: 1})
	<-tried
	if word := told(); word != "completed true" {
		t.Fatalf("the operator reads %q", word)
	}
}

// TestAnnouncementWhoseAnswerIsLostIsRepeated: the row names the machines, and the orders for them are given in the same round.
func TestAnnouncementIsRepeatedAfterLostAnswer(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	lost := 0
	one := cl.start("one", func(fs *faultyStore) {
		fs.dropAnswer = func(tx Tx) bool {
			names := len(tx.Write) > 0 && tx.Write[0].Part == machinesCell && bytes.Contains(tx.Write[0].Value, []byte("m1"))
			if names && lost == 0 {
				lost++
				return true
			}
			return false
		}
	})
	cl.leader(one)
	one.controller.announce(context.Background(), []cell.MachineID{"m1"})
	if lost != 1 {
		t.Fatalf("%d answers were lost", lost)
	}
	if !one.controller.isPublished([]cell.MachineID{"m1"}) {
		t.Fatal("the machine is not named after its announcement was lost")
	}
}

// TestNothingIsOrderedAfterTheClockLeapt: the machine was suspended for longer than the lease, and its holder wakes between the look at the
// lease and the order.
func TestNoOrderAfterClockJump(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	now := time.Now()
	clock := now
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: &faultyStore{mem: cl.mm}, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}, Now: func() time.Time { return clock }})
	du := fl.controller
	du.row = ownerRow{Holder: "one", Incarnation: fl.opts.Incarnation}
	du.waveRunner, du.tasks = machine.NewKeeper(now, 0), &sync.WaitGroup{}
	du.cancel = func() {}
	du.lease.ordered = map[cell.MachineID]*machineOrders{}
	given := 0
	give := func(context.Context) machine.Outcome {
		given++
		return machine.Done
	}
	du.announce(context.Background(), []cell.MachineID{"m1", "m2"})
	du.sendOrder(context.Background(), "m1", give)
	if given != 1 {
		t.Fatalf("%d orders under a lease", given)
	}
	clock = clock.Add(5 * time.Second)
	if du.leaseValid(fl.opts.Now()) || du.sendOrder(context.Background(), "m2", give) != machine.Refused || given != 1 {
		t.Error("an order was given after the clock leapt over the lease's end")
	}
}
