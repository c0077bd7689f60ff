package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// cutSite has two nodes in the hall here and one elsewhere, all of which know each other.
func partitionSite(t *testing.T) (cl *cluster, here, beside, far *testNode) {
	cl = newCluster(t, time.Millisecond)
	cl.halls = map[string]string{"here": "a", "beside": "a", "far": "b"}
	here, beside, far = cl.start("here"), cl.start("beside"), cl.start("far")
	for _, nd := range []*testNode{here, beside, far} {
		cl.eventually("all know each other", func() bool { return nd.Ready() && nd.members.count() == 3 })
	}
	return cl, here, beside, far
}

// TestCutOffInstanceSendsCallersElsewhere: nothing answers but the neighbour in its own hall, which is cut off as well. A job that the
// store may have taken gets its answer at once, since another hall can find out.
func TestCutOffInstanceSendsCallersElsewhere(t *testing.T) {
	cl, here, beside, far := partitionSite(t)
	for _, nd := range []*testNode{here, beside} {
		nd.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = true })
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	waiting := make(chan SubmitResult, 1)
	go func() {
		result, _ := here.Submit(ctx, testSpec("c1"))
		waiting <- result
	}()
	if err := far.srv.Close(); err != nil {
		t.Fatal(err)
	}
	cl.eventually("it is seen that the hall is cut off", here.CutOff)
	if here.Ready() {
		t.Error("ready although the hall is cut off")
	}
	if result := <-waiting; result == Accepted {
		t.Errorf("verdict %d for a job that the store has not acknowledged", result)
	}
	if ctx.Err() != nil {
		t.Error("the answer came with the end of the caller's time")
	}
	if result := cl.submit(here, "c2"); result != Refused {
		t.Errorf("verdict %d for a new job", result)
	}
	here.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = false })
	cl.eventually("it is ready again", here.Ready)
}

// TestStoreThatIsDownIsNoCut: the other hall answers, and callers are no better off there.
func TestStoreOutageIsNotAPartition(t *testing.T) {
	cl, here, beside, far := partitionSite(t)
	for _, nd := range []*testNode{here, beside, far} {
		nd.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = true })
	}
	cl.eventually("the store has been silent for long", func() bool { return time.Since(here.store.lastAnswer()) > 4*partitionSilence })
	if here.CutOff() || !here.Ready() {
		t.Error("an outage of the store was taken for a cut")
	}
}

// TestInstancesThatAreGoneTellNothing: the rows of replaced instances stay; only those that lived of late are asked.
func TestDeadInstancesAreNotProbed(t *testing.T) {
	cl, here, _, _ := partitionSite(t)
	here.members.mu.Lock()
	for _, name := range []string{"gone1", "gone2", "gone3", "gone4"} {
		here.members.nodes[name] = node{Name: name, Address: "127.0.0.1:1", Hall: "b"}
	}
	here.members.nodes["leaves"] = node{Name: "leaves", Address: "127.0.0.1:1", Hall: "b", Leaving: true}
	here.members.nodeSeenAt["leaves"] = time.Now().Add(testTimeout)
	here.members.mu.Unlock()
	cl.eventually("the gone are told from the living", func() bool { return len(here.liveNodes()) == 4 })
	rc := &partitionDetector{fl: here.Fleet}
	for range 10 {
		for _, nd := range rc.probeTargets() {
			if nd.Name != "far" {
				t.Fatalf("%s is asked", nd.Name)
			}
		}
	}
}

// TestCutOwnerLearnsOfWorkersThroughPeers: an owner that the store does not answer asks peers for registrations, and does not try the direct
// way with them again and again, which is silent for as long as a feed may be.
func TestCutOffOwnerReadsRegistrationsThroughPeers(t *testing.T) {
	cl := newCluster(t, time.Hour)
	one := cl.start("one")
	owner := cl.waitOwner(one)
	two := cl.start("two")
	cl.eventually("the peer is known", func() bool { return two.Ready() && len(one.members.others("one")) > 0 })
	owner.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = true })
	cl.eventually("it goes through peers", owner.store.proxying)
	before := 0
	for i := range 8 {
		id := fmt.Sprintf("late%d", i)
		cl.write(Row{Table: "registry", Key: id, Value: []byte("{}")})
		cl.eventually("the owner knows "+id, func() bool {
			now := owner
			if two.ownerOf("pool") != nil {
				// On a busy machine the beats through the peer may be too late, and the cell changes hands.
				now = two
			}
			return slices.ContainsFunc(now.workerCache.inPool("pool"), func(wk cell.Worker) bool { return string(wk.ID) == id })
		})
		if i == 0 {
			before = owner.faultyStore.feedCalls("registry")
		}
		time.Sleep(directProbeInterval / 2)
	}
	if tries := owner.faultyStore.feedCalls("registry") - before; tries > 1 {
		t.Errorf("the direct way was tried with %d feeds", tries)
	}
	owner.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = false })
	cl.eventually("it goes the direct way again", func() bool { return !owner.store.proxying() })
}
