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
	st := newSite(t, 30*time.Millisecond)
	one, two := st.start("one"), st.start("two")
	st.owner(one, two)
	st.eventually("both are ready", func() bool { return one.Ready() && two.Ready() })
	if vd := st.submit(two, "a1"); vd != Accepted {
		t.Fatalf("verdict %d", vd)
	}
	// A second try at another node is the same job.
	if vd := st.submit(one, "a1"); vd != Accepted {
		t.Fatalf("verdict %d of the second try", vd)
	}
	st.completed(one, "a1")
	st.completed(two, "a1")
	st.once("a1")
	if _, err := one.State(context.Background(), "", &testQueue, "none"); !errors.Is(err, ErrNoJob) {
		t.Errorf("a job that nobody handed in: %v", err)
	}
}

// TestSecondTryDoesNotMakeAJobFresh: its epoch would tell a new owner that nobody else can have started it.
func TestSecondTryDoesNotMakeAJobFresh(t *testing.T) {
	st := newSite(t, time.Hour)
	one := st.start("one")
	st.owner(one)
	sp := spec("b1")
	sp.Epoch = 1
	raw, err := job.EncodeSpec(sp)
	if err != nil {
		t.Fatal(err)
	}
	// The job lies in the store with its home, but this owner has not heard of it.
	part := partName(homePart("b1"))
	st.write(Row{Table: tableHome, Part: part, Key: "b1", Value: []byte(`{"cell":"pool","queue":"q"}`)})
	if vd := st.submit(one, "b1"); vd != Accepted {
		t.Fatalf("verdict %d", vd)
	}
	if _, known := one.ownerOf("pool").state("b1"); known {
		t.Fatal("the owner was told by the second try")
	}
	st.write(Row{Table: jobTable("pool"), Part: part, Key: "b1", Value: raw})
	st.eventually("the owner knows the job from the store", func() bool {
		_, known := one.ownerOf("pool").state("b1")
		return known
	})
}

// TestClaimWhoseAnswerIsLostIsTakenUp: the row names an instance that would otherwise not work on the cell.
func TestClaimWhoseAnswerIsLostIsTakenUp(t *testing.T) {
	st := newSite(t, 30*time.Millisecond)
	lost := 0
	one := st.start("one", func(sw *storeWay) {
		sw.lose = func(tx Tx) bool {
			claim := len(tx.Write) == 1 && tx.Write[0].Key == ownerKey && tx.Write[0].Part == "pool"
			if claim && lost == 0 {
				lost++
				return true
			}
			return false
		}
	})
	st.owner(one)
	if lost != 1 {
		t.Fatalf("%d claims were lost", lost)
	}
	if vd := st.submit(one, "c1"); vd != Accepted {
		t.Fatalf("verdict %d", vd)
	}
	st.completed(one, "c1")
}

// TestTakeoverRunsNothingTwice: the owner's process ends in the middle of a job.
func TestTakeoverRunsNothingTwice(t *testing.T) {
	st := newSite(t, 800*time.Millisecond)
	one, two := st.start("one"), st.start("two")
	first := st.owner(one, two)
	next := one
	if first == one {
		next = two
	}
	st.eventually("the other is ready", next.Ready)
	if vd := st.submit(next, "d1"); vd != Accepted {
		t.Fatalf("verdict %d", vd)
	}
	st.eventually("a task runs", func() bool { return st.workers.count(job.Task{Job: "d1"}) == 1 })
	first.stop()
	<-first.done
	st.owner(next)
	st.completed(next, "d1")
	st.once("d1")
}

// TestHandOverRunsNothingTwice: a planned stop, in which the instance goes on accepting.
func TestHandOverRunsNothingTwice(t *testing.T) {
	st := newSite(t, 300*time.Millisecond)
	one, two := st.start("one"), st.start("two")
	first := st.owner(one, two)
	next := one
	if first == one {
		next = two
	}
	st.eventually("the other is ready", next.Ready)
	if vd := st.submit(first, "e1"); vd != Accepted {
		t.Fatalf("verdict %d", vd)
	}
	first.HandOver(context.Background())
	if first.Ready() {
		t.Error("an instance that stops calls itself ready")
	}
	if vd := st.submit(first, "e2"); vd != Accepted {
		t.Fatalf("verdict %d after the handover", vd)
	}
	st.owner(next)
	st.completed(next, "e1")
	st.completed(next, "e2")
	st.once("e1")
	st.once("e2")
}

// TestTurnedAwayNodeWorksThroughPeers: the store refuses one instance alone.
func TestTurnedAwayNodeWorksThroughPeers(t *testing.T) {
	st := newSite(t, 30*time.Millisecond)
	one, two := st.start("one"), st.start("two")
	st.eventually("both are ready", func() bool { return one.Ready() && two.Ready() })
	st.owner(one, two)
	st.eventually("they know each other", func() bool { return len(two.members.others("two")) == 1 })
	two.way.set(func(sw *storeWay) { sw.refuse = true })
	if vd := st.submit(two, "f1"); vd != Accepted {
		t.Fatalf("verdict %d", vd)
	}
	st.completed(two, "f1")
	st.once("f1")
}

// TestUnknownIsNotRefused: a refusal promises that the job never runs.
func TestUnknownIsNotRefused(t *testing.T) {
	st := newSite(t, 30*time.Millisecond)
	one := st.start("one")
	st.owner(one)
	one.way.set(func(sw *storeWay) { sw.lose = func(Tx) bool { return true } })
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	vd, _ := one.Submit(ctx, spec("g1"))
	if vd == Refused {
		t.Fatal("a job that may be kept was called refused")
	}
	one.way.set(func(sw *storeWay) { sw.lose = nil })
	st.completed(one, "g1")
	st.once("g1")
}

// TestRefusedWhileTheStoreIsDown: at once, with a time to come back; nothing of it runs later.
func TestRefusedWhileTheStoreIsDown(t *testing.T) {
	st := newSite(t, 30*time.Millisecond)
	one := st.start("one")
	st.owner(one)
	one.way.set(func(sw *storeWay) { sw.refuse = true })
	ctx, cancel := context.WithTimeout(context.Background(), longWait)
	defer cancel()
	vd, wait := one.Submit(ctx, spec("h1"))
	if vd != Refused || wait <= 0 {
		t.Fatalf("verdict %d, come back after %v", vd, wait)
	}
	one.way.set(func(sw *storeWay) { sw.refuse = false })
	if _, err := one.State(ctx, "", &testQueue, "h1"); err == nil {
		t.Error("a refused job is known")
	}
}

// TestCancelIsKeptAndStops: and the state is told by the other node, too.
func TestCancelIsKeptAndStops(t *testing.T) {
	st := newSite(t, time.Hour)
	one, two := st.start("one"), st.start("two")
	st.owner(one, two)
	if vd := st.submit(two, "i1"); vd != Accepted {
		t.Fatalf("verdict %d", vd)
	}
	st.eventually("a task runs", func() bool { return st.workers.count(job.Task{Job: "i1"}) == 1 })
	if err := two.Cancel(context.Background(), "", "i1"); err != nil {
		t.Fatal(err)
	}
	st.eventually("both say so", func() bool {
		for _, nd := range []*testNode{one, two} {
			if state, err := nd.State(context.Background(), "", &testQueue, "i1"); err != nil || state != job.Cancelled {
				return false
			}
		}
		return true
	})
	st.eventually("nothing runs", func() bool {
		st.workers.mu.Lock()
		defer st.workers.mu.Unlock()
		for _, runs := range st.workers.runs {
			if len(runs) > 0 {
				return false
			}
		}
		return true
	})
	if err := one.Cancel(context.Background(), "", "none"); !errors.Is(err, ErrNoJob) {
		t.Errorf("cancelling what is not there: %v", err)
	}
}

// TestReleaseBeforeTakingOverPassesWorkersOn: a cell that is given up at once keeps the workers that its row named.
func TestReleaseBeforeTakingOverPassesWorkersOn(t *testing.T) {
	ow := &owner{claimed: ownerRow{Workers: usedBy("w7"), Exposed: 6}}
	if row := ow.left(); len(row.Workers) != 1 || row.Exposed != 6 || row.Released {
		t.Fatalf("row %+v", row)
	}
}

// TestEndedJobsLeaveNothingBehind: after their retention no row is left of them, and nobody knows them.
func TestEndedJobsLeaveNothingBehind(t *testing.T) {
	st := newSite(t, 30*time.Millisecond)
	st.retention = 100 * time.Millisecond
	one := st.start("one")
	st.owner(one)
	if vd := st.submit(one, "k1"); vd != Accepted {
		t.Fatalf("verdict %d", vd)
	}
	st.eventually("nothing is left in the store", func() bool {
		st.mm.mu.Lock()
		defer st.mm.mu.Unlock()
		for at := range st.mm.rows {
			if at.Key == "k1" {
				return false
			}
		}
		return true
	})
	if _, err := one.State(context.Background(), "", &testQueue, "k1"); !errors.Is(err, ErrNoJob) {
		t.Errorf("after its retention: %v", err)
	}
	st.once("k1")
}

// TestFeedThatHangsIsGivenUp: a call that the store forgot does not keep a configuration from coming into force.
func TestFeedThatHangsIsGivenUp(t *testing.T) {
	st := newSite(t, time.Hour)
	hung := 0
	one := st.start("one", func(sw *storeWay) {
		sw.hang = func(table string) bool {
			if table == "operator" && hung == 0 {
				hung++
				return true
			}
			return false
		}
	})
	st.eventually("a configuration", func() bool { return one.Configuration() != nil })
	before := one.Configuration().Version
	st.write(Row{Table: "operator", Key: "configuration", Value: []byte("{}")})
	st.eventually("the newer configuration", func() bool { return one.Configuration().Version > before })
	if hung != 1 {
		t.Fatalf("%d calls hung", hung)
	}
}

// TestWaitingJobsAreNotCountedBeforeTheyAreKnown: an owner that has not loaded its cell says nothing, rather than 0.
func TestWaitingJobsAreNotCountedBeforeTheyAreKnown(t *testing.T) {
	st := newSite(t, time.Hour)
	one := st.start("one")
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
func TestFeedsAreReadLessOftenInALargeFleet(t *testing.T) {
	fl := New(Options{Name: "one", Store: &storeWay{mm: newMemory()}, Machines: noMachines{}, Format: plainFormat{}})
	last := time.Duration(0)
	for _, nodes := range []int{6, 37, 300} {
		for at := len(fl.members.nodes); at < nodes; at++ {
			fl.members.nodes[fmt.Sprintf("n%d", at)] = node{}
		}
		pause := fl.controlPollInterval()
		if pause < last || pause > controlIntervalMax || nodes < controlNodesPerInterval && pause != controlInterval {
			t.Errorf("%d instances: a gap of %v after one of %v", nodes, pause, last)
		}
		last = pause
	}
	if last != controlIntervalMax || 2*last >= deadAfter {
		t.Errorf("the longest gap is %v; an instance counts as dead after %v", last, deadAfter)
	}
}

// TestOnlyOwnersReadRegistrations: an instance without cells knows no workers and beats seldom; one that takes a cell knows all of them, also
// those that came and went meanwhile.
func TestOnlyOwnersReadRegistrations(t *testing.T) {
	st := newSite(t, 30*time.Millisecond)
	one := st.start("one")
	st.owner(one)
	two := st.start("two")
	st.eventually("it is ready and knows no workers", func() bool { return two.Ready() && len(two.workerCache.inPool("pool")) == 0 })
	if two.heartbeatDelay() != beatIdle || one.heartbeatDelay() != beatEvery {
		t.Errorf("beats each %v and %v", two.heartbeatDelay(), one.heartbeatDelay())
	}
	st.write(Row{Table: "registry", Key: "w3", Value: []byte("{}")})
	if _, err := st.mm.commit(Tx{Remove: []Place{{Table: "registry", Key: "w0"}}}); err != nil {
		t.Fatal(err)
	}
	one.stop()
	st.owner(two)
	st.eventually("the new owner knows the workers", func() bool {
		var ids []string
		for _, wk := range two.workerCache.inPool("pool") {
			ids = append(ids, string(wk.ID))
		}
		slices.Sort(ids)
		return slices.Equal(ids, []string{"w1", "w2", "w3"})
	})
	if two.heartbeatDelay() != beatEvery {
		t.Errorf("an owner beats each %v", two.heartbeatDelay())
	}
	if vd := st.submit(two, "a1"); vd != Accepted {
		t.Fatalf("verdict %d", vd)
	}
	st.completed(two, "a1")
}

// TestOwnersThatAreGoneAreToldAsSoonAsBefore: instances without cells may be silent for longer, and one that has just taken a cell has yet
// to beat as an owner does.
func TestOwnersThatAreGoneAreToldAsSoonAsBefore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	fl := New(Options{Name: "one", Store: &storeWay{mm: newMemory()}, Machines: noMachines{}, Format: plainFormat{}, Now: func() time.Time { return now }})
	for _, name := range []string{"owner", "fresh", "idle"} {
		fl.members.nodes[name], fl.members.nodeSeenAt[name] = node{Name: name}, now
	}
	fl.members.owners["a"], fl.members.ownerChangedAt["a"] = ownerRow{Holder: "owner"}, now
	fl.members.owners["b"], fl.members.ownerChangedAt["b"] = ownerRow{Holder: "fresh"}, now.Add(beatIdle)
	fl.control.recordSuccess(now)
	for _, want := range []struct {
		after time.Duration
		live  int
	}{{deadLeast - 1, 3}, {deadLeast + 1, 2}, {beatIdle + deadLeast + 1, 1}, {idleDeadTimeout(3) + 1, 0}} {
		fl.control.recordSuccess(now.Add(want.after))
		if got := len(fl.liveNodes()); got != want.live {
			t.Errorf("%d live %v after their last beat, want %d", got, want.after, want.live)
		}
	}
}
