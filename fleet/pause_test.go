package fleet

import (
	"errors"
	"testing"
	"time"
)

// A queue that an operator pauses at the store takes no jobs at any instance, nothing of it is started, and it goes on where it was once it is
// resumed, also under another owner.
func TestQueueIsPausedEverywhere(t *testing.T) {
	st := newSite(t, 30*time.Millisecond)
	one, two := st.start("one"), st.start("two")
	first := st.owner(one, two)
	next := one
	if first == one {
		next = two
	}
	st.eventually("the other is ready", next.Ready)
	ctx := t.Context()
	if err := PauseQueue(ctx, one.way, Pause{Queue: "q", By: "op", Why: "crashes", At: time.Now()}); err != nil {
		t.Fatal(err)
	}
	for _, nd := range []*testNode{one, two} {
		st.eventually("the queue is paused", func() bool { return nd.pausedQueues()["q"] })
		if vd := st.submit(nd, "p1"); vd != Refused {
			t.Errorf("verdict %d of a job of a paused queue", vd)
		}
	}
	list, err := PausedQueues(ctx, one.way)
	if err != nil || len(list) != 1 || list[0].Queue != "q" || list[0].Why != "crashes" {
		t.Errorf("paused: %+v, %v", list, err)
	}
	first.stop()
	<-first.done
	st.owner(next)
	if !next.pausedQueues()["q"] {
		t.Error("the next owner does not know of the pause")
	}
	if err := ResumeQueue(ctx, next.way, "q"); err != nil {
		t.Fatal(err)
	}
	st.eventually("the queue goes on", func() bool { return !next.pausedQueues()["q"] })
	if vd := st.submit(next, "p2"); vd != Accepted {
		t.Fatalf("verdict %d after the pause", vd)
	}
	st.completed(next, "p2")
	if err := ResumeQueue(ctx, next.way, "q"); !errors.Is(err, ErrNotPaused) {
		t.Errorf("resuming twice: %v", err)
	}
}
