package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// TestStartReadsNoPartForEachInstance replays what an instance meets that starts with 300 others: the reads that it makes of their rows do not
// grow with their number. With a part for each they were 300 and more.
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
	// 32 parts of instances, and those of cells; a fixed bound, so that more parts are found.
	if got := one.faultyStore.readCalls(tableControl); got > 42 {
		t.Errorf("%d reads of the control table", got)
	}
	if got := one.members.count(); got < 300 {
		t.Errorf("%d instances are known", got)
	}
}

// TestReadyWithoutRegistrations: at 3,000 workers a reading of all registrations is 1.2 MB, which a link of 2 Mbit/s carries in 4.7 s; an instance
// is ready without it.
func TestReadyWithoutRegistrations(t *testing.T) {
	cl := newCluster(t, 20*time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	two := cl.start("two")
	cl.eventually("readiness", two.Ready)
	if got := two.faultyStore.readCalls("registry"); got != 0 {
		t.Errorf("%d reads of registrations by an instance that owns nothing", got)
	}
	if got := one.faultyStore.readCalls("registry"); got == 0 {
		t.Error("the owner has read none")
	}
}

// TestBeatsOfManyDoNotGrowWithTheirSquare: each reads what all write, so that idle instances of a large fleet write less often; up to a hundred
// nothing changes.
func TestIdleHeartbeatRateIsBounded(t *testing.T) {
	if idleHeartbeatDelay(1) != idleHeartbeatInterval || idleHeartbeatDelay(100) != idleHeartbeatInterval {
		t.Errorf("small fleets: %v %v", idleHeartbeatDelay(1), idleHeartbeatDelay(100))
	}
	for _, nodes := range []int{100, 300, 1000, 20000} {
		if perSecond := float64(nodes) / idleHeartbeatDelay(nodes).Seconds(); perSecond > 51 {
			t.Errorf("%d instances: %.0f rows a second", nodes, perSecond)
		}
		if idleDeadTimeout(nodes) < 3*idleHeartbeatDelay(nodes) {
			t.Errorf("%d instances: dead after %v, beats each %v", nodes, idleDeadTimeout(nodes), idleHeartbeatDelay(nodes))
		}
	}
}

// TestNewerRowOfAnInstanceCounts: one that ran another version before has a row in another part as well, which may be read after.
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
