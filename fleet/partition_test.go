package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// partitionCluster starts two nodes in one data hall and one in another, and waits until all know each other.
func partitionCluster(t *testing.T) (cl *cluster, here, beside, far *testNode) {
	cl = newCluster(t, time.Millisecond)
	cl.halls = map[string]string{"here": "a", "beside": "a", "far": "b"}
	here, beside, far = cl.start("here"), cl.start("beside"), cl.start("far")
	for _, nd := range []*testNode{here, beside, far} {
		cl.eventually("all know each other", func() bool { return nd.Ready() && nd.members.count() == 3 })
	}
	return cl, here, beside, far
}

// TestCutOffInstanceSendsCallersElsewhere leaves only the neighbour in the same data hall reachable, which is cut off as well. A
// job that the store may have accepted must be answered at once, since another data hall can find out its state.
func TestCutOffInstanceSendsCallersElsewhere(t *testing.T) {
	cl, here, beside, far := partitionCluster(t)
	for _, nd := range []*testNode{here, beside} {
		nd.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = true })
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	results := make(chan SubmitResult, 1)
	go func() {
		result, _ := here.Submit(ctx, testSpec("c1"))
		results <- result
	}()
	if err := far.srv.Close(); err != nil {
		t.Fatal(err)
	}
	cl.eventually("the partition is detected", here.CutOff)
	if here.Ready() {
		t.Error("ready although the data hall is cut off")
	}
	if result := <-results; result == Accepted {
		t.Errorf("result %d for a job that the store has not acknowledged", result)
	}
	if ctx.Err() != nil {
		t.Error("the answer came only at the caller's timeout")
	}
	if result := cl.submit(here, "c2"); result != Refused {
		t.Errorf("result %d for a new job", result)
	}
	here.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = false })
	cl.eventually("it is ready again", here.Ready)
}

// TestStoreOutageIsNotAPartition checks that an instance stays ready in an outage of the store: the other data hall answers, and
// callers are no better off there.
func TestStoreOutageIsNotAPartition(t *testing.T) {
	cl, here, beside, far := partitionCluster(t)
	for _, nd := range []*testNode{here, beside, far} {
		nd.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = true })
	}
	cl.eventually("the store has not answered for long", func() bool { return time.Since(here.store.lastAnswer()) > 4*partitionSilence })
	if here.CutOff() || !here.Ready() {
		t.Error("an outage of the store was taken for a partition")
	}
}

// TestDeadInstancesAreNotProbed checks that only instances that were live recently are probed. The rows of replaced instances
// remain in the table.
func TestDeadInstancesAreNotProbed(t *testing.T) {
	cl, here, _, _ := partitionCluster(t)
	here.members.mu.Lock()
	for _, name := range []string{"gone1", "gone2", "gone3", "gone4"} {
		here.members.nodes[name] = node{Name: name, Address: "127.0.0.1:1", Hall: "b"}
	}
	here.members.nodes["leaves"] = node{Name: "leaves", Address: "127.0.0.1:1", Hall: "b", Leaving: true}
	here.members.nodeSeenAt["leaves"] = time.Now().Add(testTimeout)
	here.members.mu.Unlock()
	cl.eventually("the dead instances are recognized", func() bool { return len(here.liveNodes()) == 4 })
	pd := &partitionDetector{fl: here.Fleet}
	for range 10 {
		for _, nd := range pd.probeTargets() {
			if nd.Name != "far" {
				t.Fatalf("%s is probed", nd.Name)
			}
		}
	}
}

// TestCutOffOwnerReadsRegistrationsThroughPeers checks that an owner without an answer from the store reads registrations through
// peers. It must not retry the direct path with feed calls, each of which may be silent for the whole feed timeout.
func TestCutOffOwnerReadsRegistrationsThroughPeers(t *testing.T) {
	cl := newCluster(t, time.Hour)
	one := cl.start("one")
	owner := cl.waitOwner(one)
	two := cl.start("two")
	cl.eventually("the peer is known", func() bool { return two.Ready() && len(one.members.others("one")) > 0 })
	owner.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = true })
	cl.eventually("calls go through peers", owner.store.proxying)
	feeds := 0
	for i := range 8 {
		id := fmt.Sprintf("late%d", i)
		cl.write(Row{Table: "registry", Key: id, Value: []byte("{}")})
		cl.eventually("the owner knows "+id, func() bool {
			current := owner
			if two.ownerOf("pool") != nil {
				// On a busy machine the heartbeats through the peer may be too late, and the cell changes its owner.
				current = two
			}
			return slices.ContainsFunc(current.workerCache.inPool("pool"), func(wk cell.Worker) bool { return string(wk.ID) == id })
		})
		if i == 0 {
			feeds = owner.faultyStore.feedCalls("registry")
		}
		time.Sleep(directProbeInterval / 2)
	}
	if directFeeds := owner.faultyStore.feedCalls("registry") - feeds; directFeeds > 1 {
		t.Errorf("the direct path was tried with %d feed calls", directFeeds)
	}
	owner.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = false })
	cl.eventually("calls go directly again", func() bool { return !owner.store.proxying() })
}
