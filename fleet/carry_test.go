package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
)

// TestCarriersAreSpread checks that instances which the store turns away together do not all send their calls through the same peer.
func TestCarriersAreSpread(t *testing.T) {
	const instances = 200
	first := map[string]int{}
	for i := range instances {
		fl := New(Options{Name: fmt.Sprintf("edge-%d", i), Store: &faultyStore{mem: newMemStore()}, Format: testFormat{}})
		for other := range instances {
			name := fmt.Sprintf("edge-%d", other)
			fl.members.nodes[name] = node{Name: name, Address: name}
		}
		first[fl.peers.carrierAddresses()[0]]++
	}
	for address, count := range first {
		if count > 8 {
			t.Errorf("%s is the first carrier of %d of %d instances", address, count, instances)
		}
	}
}

// TestTurnedAwayPeerRefusesToCarry lets the store leave two of three instances without an answer. Once they know, neither may try the
// store for the other, and both still reach it through the third.
func TestTurnedAwayPeerRefusesToCarry(t *testing.T) {
	cl := newCluster(t, time.Millisecond)
	one, two, three := cl.start("one"), cl.start("two"), cl.start("three")
	for _, nd := range []*testNode{one, two, three} {
		cl.eventually("all know each other", func() bool { return nd.Ready() && nd.members.count() == 3 })
	}
	for _, nd := range []*testNode{one, two} {
		nd.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = true })
	}
	for _, nd := range []*testNode{one, two} {
		cl.eventually("it knows that the store turns it away", nd.store.turnedAway)
	}
	cl.eventually("jobs are accepted through the third", func() bool {
		return cl.submit(one, job.ID(fmt.Sprint(time.Now().UnixNano()))) == Accepted
	})
	rp, err := cellsServer{two.Fleet}.Carry(t.Context(), carryRequest(t, storeCall{Kind: callParts, Table: tableControl}))
	if err != nil || rp.Outcome != carryRefused {
		t.Errorf("a peer that is turned away answers %q, %v", rp.GetOutcome(), err)
	}
	for _, nd := range []*testNode{one, two} {
		nd.faultyStore.set(func(fs *faultyStore) { fs.unresponsive = false })
		cl.eventually("it knows that the store answers again", func() bool { return !nd.store.turnedAway() && !nd.store.proxying() })
	}
}

// carryRequest returns the request of a peer to make a store call.
func carryRequest(t *testing.T, call storeCall) *peer.CarryRequest {
	t.Helper()
	raw, err := json.Marshal(call)
	if err != nil {
		t.Fatal(err)
	}
	return &peer.CarryRequest{Call: raw}
}
