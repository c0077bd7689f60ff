package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestStartupReadsDoNotGrowWithInstances starts an instance beside 300 others. The number of reads must not depend on the
// number of instances. With a part for each instance there were 300 reads and more.
func TestStartupReadsDoNotGrowWithInstances(t *testing.T) {
	cl := newCluster(t, 20*time.Millisecond)
	for i := range 300 {
		name := fmt.Sprintf("edge-%d", i)
		raw, err := json.Marshal(node{Name: name, Address: "127.0.0.1:1", Hall: "h", Incarnation: "i", Layout: layoutSeparatePayloads})
		if err != nil {
			t.Fatal(err)
		}
		place := nodePlace(name)
		cl.write(Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw})
	}
	one := cl.start("one")
	cl.eventually("readiness", one.Ready)
	// 32 parts of instances, and the parts of cells. The bound is fixed, so that the test fails if parts are added.
	if got := one.faultyStore.readCalls(tableControl); got > 42 {
		t.Errorf("%d reads of the control table, want at most 42", got)
	}
	if got := one.members.count(); got < 300 {
		t.Errorf("%d instances are known, want at least 300", got)
	}
}

// TestReadyWithoutRegistrations checks that an instance becomes ready without reading the registrations. At 3,000 workers they
// are 1.2 MB, which takes 4.7 s on a link of 2 Mbit/s.
func TestReadyWithoutRegistrations(t *testing.T) {
	cl := newCluster(t, 20*time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	two := cl.start("two")
	cl.eventually("readiness", two.Ready)
	if got := two.faultyStore.readCalls("registry"); got != 0 {
		t.Errorf("%d reads of registrations by an instance that owns no cell", got)
	}
	if got := one.faultyStore.readCalls("registry"); got == 0 {
		t.Error("the owner read no registrations")
	}
}

// TestIdleHeartbeatRateIsBounded checks that the idle instances of a large fleet send heartbeats less often, since every
// instance reads the heartbeats of all others. Fleets of up to 100 instances keep the normal interval.
func TestIdleHeartbeatRateIsBounded(t *testing.T) {
	if idleHeartbeatDelay(1) != idleHeartbeatInterval || idleHeartbeatDelay(100) != idleHeartbeatInterval {
		t.Errorf("intervals of small fleets: %v %v", idleHeartbeatDelay(1), idleHeartbeatDelay(100))
	}
	for _, nodes := range []int{100, 300, 1000, 20000} {
		if perSecond := float64(nodes) / idleHeartbeatDelay(nodes).Seconds(); perSecond > 51 {
			t.Errorf("%d instances: %.0f heartbeats a second", nodes, perSecond)
		}
		if idleDeadTimeout(nodes) < 3*idleHeartbeatDelay(nodes) {
			t.Errorf("%d instances: dead timeout %v, heartbeat interval %v", nodes, idleDeadTimeout(nodes), idleHeartbeatDelay(nodes))
		}
	}
}

// TestNewerNodeRowWins reads two rows of an instance: one that ran an older version has a row in another part. The newer row
// must win even if the older one is read later.
func TestNewerNodeRowWins(t *testing.T) {
	mb := newMembers(time.Now, nil)
	for _, rw := range []Row{
		{Part: "nodes/1", Key: "node/a", Value: []byte(`{"name":"a","incarnation":"new"}`), Version: 9},
		{Part: "node/a", Key: "node/a", Value: []byte(`{"name":"a","incarnation":"old"}`), Version: 3},
	} {
		mb.applyNode(rw)
	}
	if nd, _ := mb.node("a"); nd.Incarnation != "new" {
		t.Errorf("incarnation %q", nd.Incarnation)
	}
}

// TestHeartbeatsAreSmall lets two instances run. After its start an instance writes nothing but small heartbeat rows to the table
// that all instances follow, it counts as live by them, and it says itself when it leaves.
func TestHeartbeatsAreSmall(t *testing.T) {
	cl := newCluster(t, 20*time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	cl.waitOwner(one, two)
	cl.eventually("both know each other", func() bool { return len(one.liveNodes()) == 2 && len(two.liveNodes()) == 2 })
	written := func() (nodes, heartbeats, largest int) {
		cl.mem.mu.Lock()
		defer cl.mem.mu.Unlock()
		for _, rw := range cl.mem.history {
			switch {
			case strings.HasPrefix(rw.Key, nodePrefix):
				nodes++
			case strings.HasPrefix(rw.Key, heartbeatPrefix):
				heartbeats++
				largest = max(largest, len(rw.Value))
			}
		}
		return nodes, heartbeats, largest
	}
	cl.eventually("heartbeats", func() bool {
		_, heartbeats, _ := written()
		return heartbeats >= 10
	})
	if nodes, _, largest := written(); nodes != 2 || largest > 10 {
		t.Errorf("%d rows of instances were written, the largest heartbeat has %d bytes", nodes, largest)
	}
	if len(one.liveNodes()) != 2 {
		t.Error("an instance that sends heartbeats does not count as live")
	}
	one.HandOver(t.Context())
	cl.eventually("the row says that the instance leaves", func() bool {
		nd, _ := two.members.node("one")
		return nd.Leaving
	})
}
