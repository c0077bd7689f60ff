package fleet

import (
	"errors"
	"testing"
	"time"
)

// TestQueueIsPausedEverywhere pauses a queue in the store. No instance may accept its jobs or start its tasks. After the queue
// is resumed its jobs must run again, also under another owner.
func TestQueueIsPausedEverywhere(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	first := cl.waitOwner(one, two)
	next := one
	if first == one {
		next = two
	}
	cl.eventually("the other node is ready", next.Ready)
	ctx := t.Context()
	if err := PauseQueue(ctx, one.faultyStore, Pause{Queue: "q", By: "op", Why: "crashes", At: time.Now()}); err != nil {
		t.Fatal(err)
	}
	for _, nd := range []*testNode{one, two} {
		cl.eventually("the queue is paused", func() bool { return nd.pausedQueues()["q"] })
		if result := cl.submit(nd, "p1"); result != Refused {
			t.Errorf("submit to a paused queue: result %d", result)
		}
	}
	list, err := PausedQueues(ctx, one.faultyStore)
	if err != nil || len(list) != 1 || list[0].Queue != "q" || list[0].Why != "crashes" {
		t.Errorf("paused: %+v, %v", list, err)
	}
	first.stop()
	<-first.done
	cl.waitOwner(next)
	if !next.pausedQueues()["q"] {
		t.Error("the next owner does not know that the queue is paused")
	}
	if err := ResumeQueue(ctx, next.faultyStore, "q"); err != nil {
		t.Fatal(err)
	}
	cl.eventually("the queue is resumed", func() bool { return !next.pausedQueues()["q"] })
	if result := cl.submit(next, "p2"); result != Accepted {
		t.Fatalf("submit after the queue was resumed: result %d", result)
	}
	cl.waitCompleted(next, "p2")
	if err := ResumeQueue(ctx, next.faultyStore, "q"); !errors.Is(err, ErrNotPaused) {
		t.Errorf("resuming a queue that is not paused: %v", err)
	}
}
