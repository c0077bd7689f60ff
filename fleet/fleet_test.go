package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestJobRunsThroughAnyNode: accepted at one node, run by another, told by both.
func TestJobRunsThroughAnyNode(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	cl.waitOwner(one, two)
	cl.eventually("both are ready", func() bool { return one.Ready() && two.Ready() })
	if result := cl.submit(two, "a1"); result != Accepted {
		t.Fatalf("verdict %d", result)
	}
	// A second try at another node is the same job.
	if result := cl.submit(one, "a1"); result != Accepted {
		t.Fatalf("verdict %d of the second try", result)
	}
	cl.waitCompleted(one, "a1")
	cl.waitCompleted(two, "a1")
	cl.checkRanOnce("a1")
	if _, err := one.State(context.Background(), "", &testQueue, "none"); !errors.Is(err, ErrJobNotFound) {
		t.Errorf("a job that nobody handed in: %v", err)
	}
}

// TestSecondTryDoesNotMakeAJobFresh: its epoch would tell a new owner that nobody else can have started it.
func TestResubmitDoesNotReachOwner(t *testing.T) {
	cl := newCluster(t, time.Hour)
	one := cl.start("one")
	cl.waitOwner(one)
	sp := testSpec("b1")
	sp.Epoch = 1
	raw, err := job.EncodeSpec(sp)
	if err != nil {
		t.Fatal(err)
	}
	// The job lies in the store with its home, but this owner has not heard of it.
	part := partName(homePart("b1"))
	cl.write(Row{Table: tableHome, Part: part, Key: "b1", Value: []byte(`{"cell":"pool","queue":"q"}`)})
	if result := cl.submit(one, "b1"); result != Accepted {
		t.Fatalf("verdict %d", result)
	}
	if _, known := one.ownerOf("pool").jobStatus("b1"); known {
		t.Fatal("the owner was told by the second try")
	}
	cl.write(Row{Table: jobTable("pool"), Part: part, Key: "b1", Value: raw})
	cl.eventually("the owner knows the job from the store", func() bool {
		_, known := one.ownerOf("pool").jobStatus("b1")
		return known
	})
}

// TestClaimWhoseAnswerIsLostIsTakenUp: the row names an instance that would otherwise not work on the cell.
func TestClaimWithLostAnswerIsUsed(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	lost := 0
	one := cl.start("one", func(fs *faultyStore) {
		fs.dropAnswer = func(tx Tx) bool {
			claim := len(tx.Write) == 1 && tx.Write[0].Key == ownerKey && tx.Write[0].Part == "pool"
			if claim && lost == 0 {
				lost++
				return true
			}
			return false
		}
	})
	cl.waitOwner(one)
	if lost != 1 {
		t.Fatalf("%d claims were lost", lost)
	}
	if result := cl.submit(one, "c1"); result != Accepted {
		t.Fatalf("verdict %d", result)
	}
	cl.waitCompleted(one, "c1")
}

// TestTakeoverRunsNothingTwice: the owner's process ends in the middle of a job.
func TestTakeoverRunsNothingTwice(t *testing.T) {
	cl := newCluster(t, 800*time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	first := cl.waitOwner(one, two)
	next := one
	if first == one {
		next = two
	}
	cl.eventually("the other is ready", next.Ready)
	if result := cl.submit(next, "d1"); result != Accepted {
		t.Fatalf("verdict %d", result)
	}
	cl.eventually("a task runs", func() bool { return cl.workers.startCount(job.Task{Job: "d1"}) == 1 })
	first.stop()
	<-first.done
	cl.waitOwner(next)
	cl.waitCompleted(next, "d1")
	cl.checkRanOnce("d1")
}

// TestHandOverRunsNothingTwice: a planned stop, in which the instance goes on accepting.
func TestHandOverRunsNothingTwice(t *testing.T) {
	cl := newCluster(t, 300*time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	first := cl.waitOwner(one, two)
	next := one
	if first == one {
		next = two
	}
	cl.eventually("the other is ready", next.Ready)
	if result := cl.submit(first, "e1"); result != Accepted {
		t.Fatalf("verdict %d", result)
	}
	first.HandOver(context.Background())
	if first.Ready() {
		t.Error("an instance that stops calls itself ready")
	}
	if result := cl.submit(first, "e2"); result != Accepted {
		t.Fatalf("verdict %d after the handover", result)
	}
	cl.waitOwner(next)
	cl.waitCompleted(next, "e1")
	cl.waitCompleted(next, "e2")
	cl.checkRanOnce("e1")
	cl.checkRanOnce("e2")
}

// TestTurnedAwayNodeWorksThroughPeers: the store refuses one instance alone.
func TestNodeRefusedByStoreUsesPeers(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	cl.eventually("both are ready", func() bool { return one.Ready() && two.Ready() })
	cl.waitOwner(one, two)
	cl.eventually("they know each other", func() bool { return len(two.members.others("two")) == 1 })
	two.faultyStore.set(func(fs *faultyStore) { fs.refuse = true })
	if result := cl.submit(two, "f1"); result != Accepted {
		t.Fatalf("verdict %d", result)
	}
	cl.waitCompleted(two, "f1")
	cl.checkRanOnce("f1")
}

// TestUnknownIsNotRefused: a refusal promises that the job never runs.
func TestUnansweredCommitIsNotRefused(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	one.faultyStore.set(func(fs *faultyStore) { fs.dropAnswer = func(Tx) bool { return true } })
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	result, _ := one.Submit(ctx, testSpec("g1"))
	if result == Refused {
		t.Fatal("a job that may be kept was called refused")
	}
	one.faultyStore.set(func(fs *faultyStore) { fs.dropAnswer = nil })
	cl.waitCompleted(one, "g1")
	cl.checkRanOnce("g1")
}

// TestRefusedWhileTheStoreIsDown: at once, with a time to come back; nothing of it runs later.
func TestSubmitRefusedWhileStoreIsDown(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	one.faultyStore.set(func(fs *faultyStore) { fs.refuse = true })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	result, wait := one.Submit(ctx, testSpec("h1"))
	if result != Refused || wait <= 0 {
		t.Fatalf("verdict %d, come back after %v", result, wait)
	}
	one.faultyStore.set(func(fs *faultyStore) { fs.refuse = false })
	if _, err := one.State(ctx, "", &testQueue, "h1"); err == nil {
		t.Error("a refused job is known")
	}
}

// TestCancelIsKeptAndStops: and the state is told by the other node, too.
func TestCancelIsStoredAndStopsTasks(t *testing.T) {
	cl := newCluster(t, time.Hour)
	one, two := cl.start("one"), cl.start("two")
	cl.waitOwner(one, two)
	if result := cl.submit(two, "i1"); result != Accepted {
		t.Fatalf("verdict %d", result)
	}
	cl.eventually("a task runs", func() bool { return cl.workers.startCount(job.Task{Job: "i1"}) == 1 })
	if err := two.Cancel(context.Background(), "", "i1"); err != nil {
		t.Fatal(err)
	}
	cl.eventually("both say so", func() bool {
		for _, nd := range []*testNode{one, two} {
			if state, err := nd.State(context.Background(), "", &testQueue, "i1"); err != nil || state != job.Cancelled {
				return false
			}
		}
		return true
	})
	cl.eventually("nothing runs", func() bool {
		cl.workers.mu.Lock()
		defer cl.workers.mu.Unlock()
		for _, runs := range cl.workers.runs {
			if len(runs) > 0 {
				return false
			}
		}
		return true
	})
	if err := one.Cancel(context.Background(), "", "none"); !errors.Is(err, ErrJobNotFound) {
		t.Errorf("cancelling what is not there: %v", err)
	}
}

// TestReleaseBeforeTakingOverPassesWorkersOn: a cell that is given up at once keeps the workers that its row named.
func TestReleaseBeforeTakeoverKeepsWorkers(t *testing.T) {
	ow := &owner{claimRow: ownerRow{Workers: workerRefs("w7"), UnseenLossEpoch: 6}}
	if row := ow.handoverRow(); len(row.Workers) != 1 || row.UnseenLossEpoch != 6 || row.Released {
		t.Fatalf("row %+v", row)
	}
}

// TestEndedJobsLeaveNothingBehind: after their retention no row is left of them, and nobody knows them.
func TestExpiredJobsAreDeleted(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	cl.retention = 100 * time.Millisecond
	one := cl.start("one")
	cl.waitOwner(one)
	if result := cl.submit(one, "k1"); result != Accepted {
		t.Fatalf("verdict %d", result)
	}
	cl.eventually("nothing is left in the store", func() bool {
		cl.mm.mu.Lock()
		defer cl.mm.mu.Unlock()
		for at := range cl.mm.rows {
			if at.Key == "k1" {
				return false
			}
		}
		return true
	})
	if _, err := one.State(context.Background(), "", &testQueue, "k1"); !errors.Is(err, ErrJobNotFound) {
		t.Errorf("after its retention: %v", err)
	}
	cl.checkRanOnce("k1")
}

// TestFeedThatHangsIsGivenUp: a call that the store forgot does not keep a configuration from coming into force.
func TestHangingFeedTimesOut(t *testing.T) {
	cl := newCluster(t, time.Hour)
	hung := 0
	one := cl.start("one", func(fs *faultyStore) {
		fs.hangFeed = func(table string) bool {
			if table == "operator" && hung == 0 {
				hung++
				return true
			}
			return false
		}
	})
	cl.eventually("a configuration", func() bool { return one.Configuration() != nil })
	before := one.Configuration().Version
	cl.write(Row{Table: "operator", Key: "configuration", Value: []byte("{}")})
	cl.eventually("the newer configuration", func() bool { return one.Configuration().Version > before })
	if hung != 1 {
		t.Fatalf("%d calls hung", hung)
	}
}

// TestWaitingJobsAreNotCountedBeforeTheyAreKnown: an owner that has not loaded its cell says nothing, rather than 0.
func TestPendingUnknownBeforeLoad(t *testing.T) {
	cl := newCluster(t, time.Hour)
	one := cl.start("one")
	ow := &owner{fl: one.Fleet, name: "pool"}
	ow.jobs = newTableWatch(one.Fleet, jobTable("pool"), fixedInterval(jobsInterval), jobsWait, func([]Row, time.Time) {})
	if count, ok := ow.pending("q"); ok {
		t.Fatalf("%d jobs told by an owner that knows none yet", count)
	}
	if _, ok := ow.load(nil, false); ok {
		t.Fatal("a load told by an owner that has not planned yet")
	}
}

// TestFeedsAreReadLessOftenInALargeFleet: each call has its price, and with more instances each answer carries more rows.
func TestControlPollIntervalGrowsWithFleet(t *testing.T) {
	fl := New(Options{Name: "one", Store: &faultyStore{mem: newMemStore()}, Machines: noMachines{}, Format: testFormat{}})
	last := time.Duration(0)
	for _, nodes := range []int{6, 37, 300} {
		for i := len(fl.members.nodes); i < nodes; i++ {
			fl.members.nodes[fmt.Sprintf("n%d", i)] = node{}
		}
		pause := fl.controlPollInterval()
		if pause < last || pause > controlIntervalMax || nodes < controlNodesPerInterval && pause != controlInterval {
			t.Errorf("%d instances: a gap of %v after one of %v", nodes, pause, last)
		}
		last = pause
	}
	if last != controlIntervalMax || 2*last >= maxDeadTimeout {
		t.Errorf("the longest gap is %v; an instance counts as dead after %v", last, maxDeadTimeout)
	}
}

// TestOnlyOwnersReadRegistrations: an instance without cells knows no workers and beats seldom; one that takes a cell knows all of them, also
// those that came and went meanwhile.
func TestOnlyOwnersReadRegistrations(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	two := cl.start("two")
	cl.eventually("it is ready and knows no workers", func() bool { return two.Ready() && len(two.workerCache.inPool("pool")) == 0 })
	if two.heartbeatDelay() != idleHeartbeatInterval || one.heartbeatDelay() != heartbeatInterval {
		t.Errorf("beats each %v and %v", two.heartbeatDelay(), one.heartbeatDelay())
	}
	cl.write(Row{Table: "registry", Key: "w3", Value: []byte("{}")})
	if _, err := cl.mm.commit(Tx{Remove: []Place{{Table: "registry", Key: "w0"}}}); err != nil {
		t.Fatal(err)
	}
	one.stop()
	cl.waitOwner(two)
	cl.eventually("the new owner knows the workers", func() bool {
		var ids []string
		for _, wk := range two.workerCache.inPool("pool") {
			ids = append(ids, string(wk.ID))
		}
		slices.Sort(ids)
		return slices.Equal(ids, []string{"w1", "w2", "w3"})
	})
	if two.heartbeatDelay() != heartbeatInterval {
		t.Errorf("an owner beats each %v", two.heartbeatDelay())
	}
	if result := cl.submit(two, "a1"); result != Accepted {
		t.Fatalf("verdict %d", result)
	}
	cl.waitCompleted(two, "a1")
}

// TestOwnersThatAreGoneAreToldAsSoonAsBefore: instances without cells may be silent for longer, and one that has just taken a cell has yet
// to beat as an owner does.
func TestDeadOwnerIsDetectedSoonerThanIdleNode(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	fl := New(Options{Name: "one", Store: &faultyStore{mem: newMemStore()}, Machines: noMachines{}, Format: testFormat{}, Now: func() time.Time { return now }})
	for _, name := range []string{"owner", "fresh", "idle"} {
		fl.members.nodes[name], fl.members.nodeSeenAt[name] = node{Name: name}, now
	}
	fl.members.owners["a"], fl.members.ownerChangedAt["a"] = ownerRow{Holder: "owner"}, now
	fl.members.owners["b"], fl.members.ownerChangedAt["b"] = ownerRow{Holder: "fresh"}, now.Add(idleHeartbeatInterval)
	fl.control.recordSuccess(now)
	for _, want := range []struct {
		after time.Duration
		live  int
	}{{minDeadTimeout - 1, 3}, {minDeadTimeout + 1, 2}, {idleHeartbeatInterval + minDeadTimeout + 1, 1}, {idleDeadTimeout(3) + 1, 0}} {
		fl.control.recordSuccess(now.Add(want.after))
		if got := len(fl.liveNodes()); got != want.live {
			t.Errorf("%d live %v after their last beat, want %d", got, want.after, want.live)
		}
	}
}
