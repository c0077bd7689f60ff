package fleet

import (
	"errors"
	"testing"
	"time"
)

// A queue that an operator pauses at the store takes no jobs at any instance, nothing of it is started, and it goes on where it was once it is
// resumed, also under another owner.
func TestQueueIsPausedEverywhere(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	first := cl.waitOwner(one, two)
	next := one
	if first == one {
		next = two
	}
	cl.eventually("the other is ready", next.Ready)
	ctx := t.Context()
	if err := PauseQueue(ctx, one.faultyStore, Pause{Queue: "q", By: "op", Why: "crashes", At: time.Now()}); err != nil {
		t.Fatal(err)
	}
	for _, nd := range []*testNode{one, two} {
		cl.eventually("the queue is paused", func() bool { return nd.pausedQueues()["q"] })
		if result := cl.submit(nd, "p1"); result != Refused {
			t.Errorf("verdict %d of a job of a paused queue", result)
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
		t.Error("the next owner does not know of the pause")
	}
	if err := ResumeQueue(ctx, next.faultyStore, "q"); err != nil {
		t.Fatal(err)
	}
	cl.eventually("the queue goes on", func() bool { return !next.pausedQueues()["q"] })
	if result := cl.submit(next, "p2"); result != Accepted {
		t.Fatalf("verdict %d after the pause", result)
	}
	cl.waitCompleted(next, "p2")
	if err := ResumeQueue(ctx, next.faultyStore, "q"); !errors.Is(err, ErrNotPaused) {
		t.Errorf("resuming twice: %v", err)
	}
}
