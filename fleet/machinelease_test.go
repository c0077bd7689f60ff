package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/machine"
)

// TestPreviousLeaderHasNoOrdersInFlight cuts the leader off from the store while it keeps sending orders. By the time the next
// leader sends its first order, all orders of the previous one must have ended, including unanswered ones.
func TestPreviousLeaderHasNoOrdersInFlight(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	first := cl.leader(one, two)
	next := one
	if first == one {
		next = two
	}
	cl.eventually("the other instance is ready", next.Ready)
	recorder := &orderRecorder{}
	recorder.sendConstantly(t, first)
	recorder.sendConstantly(t, next)
	cl.eventually("orders of the first leader", func() bool { return len(recorder.byNode(first.opts.Name)) > 1 })
	first.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = true })
	// Through the peer it could renew its lease and stay the leader.
	first.peers.mu.Lock()
	first.peers.backoffUntil[next.opts.Address] = time.Now().Add(time.Hour)
	first.peers.mu.Unlock()
	cl.eventually("orders of the next leader", func() bool { return len(recorder.byNode(next.opts.Name)) > 0 })
	firstOrder := recorder.byNode(next.opts.Name)[0]
	for _, so := range recorder.byNode(first.opts.Name) {
		if so.to.After(firstOrder.from) {
			t.Fatalf("an order of the first leader ended %v after the next leader's first order was sent", so.to.Sub(firstOrder.from))
		}
		if so.token >= firstOrder.token {
			t.Fatalf("tokens do not increase: %d, then %d", so.token, firstOrder.token)
		}
	}
}

// TestLeaseTermFollowsStoreLatency checks that a slow store lengthens the term, and that other instances wait for the term that
// the row states.
func TestLeaseTermFollowsStoreLatency(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: &faultyStore{mem: cl.mem}, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}})
	if fastTerm := fl.machineLeaseTerm(); fastTerm != machineLeaseTermMin {
		t.Errorf("term %v on a fast store", fastTerm)
	}
	fl.store.latency = 500 * time.Millisecond
	slowTerm := fl.machineLeaseTerm()
	if slowTerm < 4*fl.store.latency || slowTerm > machineLeaseTermMax {
		t.Errorf("term %v at a commit latency of %v", slowTerm, fl.store.latency)
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
		{slowTerm, machineLeaseTermMin + 2*machineLeaseMargin, true},
		{slowTerm, slowTerm + 2*machineLeaseMargin, false},
		{0, machineLeaseTermMin, true},
	} {
		fl.members.ownerChangedAt[machinesCell] = now.Add(-tc.still)
		if got := fl.machineLeaseHeld(ownerRow{Holder: "two", Term: tc.term}); got != tc.held {
			t.Errorf("row with term %v, unchanged for %v: held is %t", tc.term, tc.still, got)
		}
	}
}

// TestShorterTermAppliesFromFirstAttempt checks that a renewal with a shorter term shortens the lease as soon as it is sent. Its
// answer may be lost, and other instances then wait only for the shorter term.
func TestShorterTermAppliesFromFirstAttempt(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	now := time.Now()
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: &faultyStore{mem: cl.mem, refuse: true}, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}, Now: func() time.Time { return now }})
	fl.controller.waveRunner = machine.NewWaveRunner(now, 0)
	fl.controller.lease = machineLease{expires: now.Add(machineLeaseTermMax), ordered: map[cell.MachineID]*machineOrders{}}
	fl.controller.renewOnce(context.Background(), nil)
	if remaining := fl.controller.lease.expires.Sub(now); remaining > machineLeaseTermMin {
		t.Fatalf("orders may be sent for %v, but the row states %v", remaining, machineLeaseTermMin)
	}
}

// TestLateClaimDoesNotReplaceRenewedLeader checks that a claim fails if the lease was renewed after the claim was decided or
// sent.
func TestLateClaimDoesNotReplaceRenewedLeader(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.leader(one)
	two := cl.start("two")
	cl.eventually("the other instance is ready", two.Ready)
	stale := two.members.owner(machinesCell)
	cl.eventually("a renewal", func() bool { return one.controller.leaseVersion() > stale.version })
	two.commitClaim(context.Background(), machinesCell, stale)
	if two.controller.isLeader() {
		t.Fatal("a claim based on an outdated version was granted")
	}
}

// TestRenewalCountsFromFirstAttempt checks the term of a renewal whose answer was lost. A later attempt finds the row of the lost
// one, which other instances may have seen ever since it was sent, so the term runs from the first attempt. The next renewal
// changes the row again, so its term runs from its own attempt.
func TestRenewalCountsFromFirstAttempt(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	now := time.Now()
	var mu sync.Mutex
	commits := 0
	store := &faultyStore{mem: cl.mem, dropAnswer: func(tx Tx) bool {
		mu.Lock()
		defer mu.Unlock()
		commits++
		return commits == 1
	}}
	clock := now
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: store, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}, Now: func() time.Time { return clock }})
	fl.controller.row = ownerRow{Holder: "one", Incarnation: fl.opts.Incarnation}
	fl.controller.waveRunner = machine.NewWaveRunner(now, 0)
	fl.controller.lease.ordered = map[cell.MachineID]*machineOrders{}
	if fl.controller.renewOnce(context.Background(), nil) {
		t.Fatal("an unanswered attempt counts as a renewal")
	}
	if expires := fl.controller.lease.expires; expires.After(now) {
		t.Fatalf("an unanswered attempt gave a lease of %v", expires.Sub(now))
	}
	clock = now.Add(time.Second)
	for _, want := range []time.Time{now.Add(machineLeaseTermMin), clock.Add(machineLeaseTermMin)} {
		// The first iteration finds the row of the earlier attempt; the second one renews from that version.
		if !fl.controller.renewOnce(context.Background(), nil) {
			t.Fatal("the lease was not renewed")
		}
		if got := fl.controller.lease.expires; !got.Equal(want) {
			t.Fatalf("the lease ends %v after the first attempt, want %v", got.Sub(now), want.Sub(now))
		}
	}
	if fl.controller.waveRunner.Superseded() {
		t.Fatal("the leader took its own row for that of another leader")
	}
}

// TestOrderIsCancelledWhenLeaseExpires checks that an order is cancelled when the lease expires, even if the machine timeout is
// longer.
func TestOrderIsCancelledWhenLeaseExpires(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.leader(one)
	one.controller.announce(context.Background(), []cell.MachineID{busyMachine})
	one.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = true })
	cl.eventually("a lease that is no longer renewed", func() bool {
		one.controller.mu.Lock()
		defer one.controller.mu.Unlock()
		return time.Until(one.controller.lease.expires) < machineLeaseTermMin/2
	})
	one.controller.mu.Lock()
	expires := one.controller.lease.expires
	one.controller.mu.Unlock()
	one.controller.sendOrder(context.Background(), busyMachine, func(ctx context.Context) machine.Outcome {
		if deadline, _ := ctx.Deadline(); deadline.After(expires.Add(time.Millisecond)) {
			t.Errorf("the order may be in flight until %v after the lease has expired", deadline.Sub(expires))
		}
		return machine.Done
	})
}

// TestReleasedLeaseIsTakenAtOnce checks that a handover leaves no order in flight, so that the next leader does not wait for the
// lease to expire.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.leader(one)
	two := cl.start("two")
	cl.eventually("the other instance is ready", two.Ready)
	recorder := &orderRecorder{}
	recorder.sendConstantly(t, one)
	cl.eventually("orders", func() bool { return len(recorder.byNode("one")) > 0 })
	one.HandOver(context.Background())
	if cl.leaseRow().Holder == "one" {
		t.Fatal("the lease row still names the instance that handed over")
	}
	releasedAt := time.Now()
	cl.leader(two)
	cl.eventually("the end of the lease", func() bool { return !one.controller.leaseValid(time.Now()) })
	sleep(context.Background(), machineLeaseTermMin)
	for _, so := range recorder.byNode("one") {
		if so.to.After(releasedAt) {
			t.Fatal("an order was in flight after the handover")
		}
	}
}

// TestOnlyAnnouncedMachinesGetOrders checks that the lease row lists a machine before an order for it is sent.
func TestOnlyAnnouncedMachinesGetOrders(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.leader(one)
	sendOrder := func(id cell.MachineID) (sent bool) {
		one.controller.sendOrder(context.Background(), id, func(context.Context) machine.Outcome {
			sent = true
			return machine.Done
		})
		return sent
	}
	if sendOrder("m1") {
		t.Error("an order was sent for a machine that was not announced")
	}
	one.faultyStore.set(func(fs *faultyStore) { fs.refuse = true })
	one.controller.announce(context.Background(), []cell.MachineID{"m1"})
	if sendOrder("m1") {
		t.Error("an order was sent for a machine whose announcement was not stored")
	}
	one.faultyStore.set(func(fs *faultyStore) { fs.refuse = false })
	cl.eventually("an order after the announcement", func() bool {
		one.controller.announce(context.Background(), []cell.MachineID{"m1"})
		return sendOrder("m1")
	})
	if listed := cl.cooldowns(); listed["m1"] == 0 {
		t.Fatalf("the rows list %v", listed)
	}
}

// TestNextLeaderKeepsPublishedCooldowns checks that the next leader applies the cooldowns of the row, and no others, and
// publishes them for the leader after it, whether the lease was handed over or claimed.
func TestNextLeaderKeepsPublishedCooldowns(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one := cl.start("one")
	cl.leader(one)
	cl.eventually("an order", func() bool {
		one.controller.announce(context.Background(), []cell.MachineID{"m1"})
		sent := false
		one.controller.sendOrder(context.Background(), "m1", func(context.Context) machine.Outcome {
			sent = true
			return machine.Done
		})
		return sent
	})
	two := cl.start("two")
	cl.eventually("the other instance is ready", two.Ready)
	one.HandOver(context.Background())
	cl.leader(two)
	two.controller.mu.Lock()
	inherited, inheritedAt := two.controller.inherited, two.controller.inheritedAt
	two.controller.mu.Unlock()
	if remaining := inherited[cooldownKey("m1")]["m1"]; remaining <= 0 || remaining > machineCooldown || len(inherited) != 1 {
		t.Fatalf("the next leader inherits %v", inherited)
	}
	if listed := cl.cooldowns(); listed["m1"] == 0 && time.Since(inheritedAt) < machineCooldown/2 {
		t.Fatal("the next leader's rows do not list the machine")
	}
	for _, tc := range []struct {
		id    cell.MachineID
		after time.Duration
		want  bool
	}{{"m1", 0, true}, {"m1", machineCooldown, false}, {"m2", 0, false}} {
		two.controller.mu.Lock()
		got := two.controller.coolingDown(inheritedAt.Add(tc.after), tc.id)
		two.controller.mu.Unlock()
		if got != tc.want {
			t.Errorf("%s is cooling down after %v: %t", tc.id, tc.after, got)
		}
	}
}

// TestLeaseRowPublishesCooldowns checks the cooldowns in the row. After an order has ended, the rest of its cooldown is
// published. For planned orders and orders in flight, the term is added, by the end of which they have surely ended. A machine
// whose order was refused before it was sent has no cooldown.
func TestLeaseRowPublishesCooldowns(t *testing.T) {
	const term = time.Second
	now := time.Now()
	ml := machineLease{ordered: map[cell.MachineID]*machineOrders{
		"announced": {announced: true},
		"active":    {inFlight: 1, lastDone: now.Add(-time.Minute)},
		"over":      {lastDone: now.Add(-time.Second)},
		"long over": {lastDone: now.Add(-machineCooldown)},
		"refused":   {},
	}}
	got := ml.cooldowns(now, term)
	want := map[cell.MachineID]time.Duration{"announced": machineCooldown + term, "active": machineCooldown + term, "over": machineCooldown - time.Second}
	if !maps.Equal(got, want) {
		t.Fatalf("cooldowns %v, want %v", got, want)
	}
}

// leaseRow returns the machine lease row.
func (cl *cluster) leaseRow() ownerRow {
	cl.t.Helper()
	var or ownerRow
	for _, rw := range cl.mem.read(Query{Table: tableControl, Part: machinesCell, From: ownerKey, Limit: 1}).Rows {
		if err := json.Unmarshal(rw.Value, &or); err != nil {
			cl.t.Fatal(err)
		}
	}
	return or
}

// cooldowns returns the machines that the next leader must leave alone, as the store has them.
func (cl *cluster) cooldowns() cooldownRow {
	cl.t.Helper()
	all := cooldownRow{}
	for _, rw := range cl.mem.read(Query{Table: tableCooldown, Part: machinesCell}).Rows {
		if err := json.Unmarshal(rw.Value, &all); err != nil {
			cl.t.Fatal(err)
		}
	}
	return all
}

// TestLeaseRowDoesNotGrowWithOrders announces thousands of machines. The lease row, which all instances follow, must stay as it is,
// every row must fit the store, and the rows must go once the machines have cooled down.
func TestLeaseRowDoesNotGrowWithOrders(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		store := newSerialStore(1)
		ct := startLeaseHolder(ctx, t, store)
		time.Sleep(time.Second)
		const batch = 700
		for round := range 16 {
			var ids []cell.MachineID
			for i := range batch {
				ids = append(ids, cell.MachineID(fmt.Sprintf("m-%010x", batch*round+i)))
			}
			ct.announce(ctx, ids)
			if !ct.isPublished(ids) {
				t.Fatalf("round %d: the machines are not published", round)
			}
		}
		lease, largest := 0, 0
		for _, rw := range store.mm.changes() {
			if rw.Table == tableControl {
				lease = max(lease, len(rw.Value))
			}
			largest = max(largest, len(rw.Value))
		}
		if lease > 300 || largest > maxRowBytes/2 {
			t.Errorf("the lease row has up to %d bytes, the largest row %d", lease, largest)
		}
		ct.mu.Lock()
		for _, mo := range ct.lease.ordered {
			mo.announced, mo.lastDone = false, time.Now()
		}
		ct.mu.Unlock()
		time.Sleep(machineCooldown + time.Second)
		if left := len(store.mm.read(Query{Table: tableCooldown, Part: machinesCell}).Rows); left != 0 {
			t.Errorf("%d rows are left after the machines have cooled down", left)
		}
	})
}

// TestLateReportDoesNotUndoCompletion checks that the report of a wave's start does not overwrite the report of its completion
// when it is written late.
func TestLateReportDoesNotUndoCompletion(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	attempted := make(chan struct{}, 1)
	one := cl.start("one", func(fs *faultyStore) {
		fs.dropAnswer = func(tx Tx) bool {
			if len(tx.Write) == 1 && string(tx.Write[0].Value) == "completed false" {
				attempted <- struct{}{}
			}
			return false
		}
	})
	cl.leader(one)
	status := func() string {
		for _, rw := range cl.mem.read(Query{Table: "status"}).Rows {
			return string(rw.Value)
		}
		return ""
	}
	one.controller.reportWave(context.Background(), machine.ReportProgress{Wave: 1, Completed: true})
	cl.eventually("the completion is reported", func() bool { return status() == "completed true" })
	one.controller.reportWave(context.Background(), machine.ReportProgress{Wave: 1})
	<-attempted
	if got := status(); got != "completed true" {
		t.Fatalf("the operator reads %q", got)
	}
}

// TestAnnouncementIsRepeatedAfterLostAnswer checks that the announcement is retried within the same round after its answer was
// lost, so that the orders can be sent.
func TestAnnouncementIsRepeatedAfterLostAnswer(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	lostAnswers := 0
	one := cl.start("one", func(fs *faultyStore) {
		fs.dropAnswer = func(tx Tx) bool {
			listsMachine := slices.ContainsFunc(tx.Write, func(rw Row) bool { return rw.Part == machinesCell && bytes.Contains(rw.Value, []byte("m1")) })
			if listsMachine && lostAnswers == 0 {
				lostAnswers++
				return true
			}
			return false
		}
	})
	cl.leader(one)
	one.controller.announce(context.Background(), []cell.MachineID{"m1"})
	if lostAnswers != 1 {
		t.Fatalf("%d answers were lost", lostAnswers)
	}
	if !one.controller.isPublished([]cell.MachineID{"m1"}) {
		t.Fatal("the machine is not listed after the answer to its announcement was lost")
	}
}

// TestNoOrderAfterClockJump checks that no order is sent after the host was suspended for longer than the lease, if the leader
// resumes between checking the lease and sending the order.
func TestNoOrderAfterClockJump(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	now := time.Now()
	clock := now
	fl := New(Options{Name: "one", Address: "127.0.0.1:1", Store: &faultyStore{mem: cl.mem}, Workers: cl.workers, Machines: noMachines{}, Format: testFormat{}, Now: func() time.Time { return clock }})
	ct := fl.controller
	ct.row = ownerRow{Holder: "one", Incarnation: fl.opts.Incarnation}
	ct.waveRunner, ct.tasks = machine.NewWaveRunner(now, 0), &sync.WaitGroup{}
	ct.cancel = func() {}
	ct.lease.ordered = map[cell.MachineID]*machineOrders{}
	sent := 0
	send := func(context.Context) machine.Outcome {
		sent++
		return machine.Done
	}
	ct.announce(context.Background(), []cell.MachineID{"m1", "m2"})
	ct.sendOrder(context.Background(), "m1", send)
	if sent != 1 {
		t.Fatalf("%d orders under a valid lease", sent)
	}
	clock = clock.Add(5 * time.Second)
	if ct.leaseValid(fl.opts.Now()) || ct.sendOrder(context.Background(), "m2", send) != machine.Refused || sent != 1 {
		t.Error("an order was sent after the clock had jumped past the end of the lease")
	}
}
