package cell

import (
	"testing"
	"time"
)

// An owner that stood still for three seconds decides by rooms and an ownership of before. It starts nothing until it has heard of both anew.
func TestNothingIsStartedAfterStandingStillUntilConfirmed(t *testing.T) {
	bd := newBed(t, 2)
	bd.add("before", bedEpoch, tasks(1))
	bd.wantStarts(bd.plan(), 1)
	bd.add("after", bedEpoch, tasks(1))
	bd.pass(3 * time.Second)
	bd.wantStarts(bd.planAsIs(), 0)
	bd.core.Confirmed(bd.now)
	bd.wantStarts(bd.planAsIs(), 0)
	bd.core.Registered(bd.now)
	bd.wantStarts(bd.planAsIs(), 1)
}

// A room that shrank below what runs in it gets nothing new until enough has ended, and does not take from what others have free.
func TestShrunkRoomTakesNothing(t *testing.T) {
	bd := newBed(t, 2)
	bd.add("a", bedEpoch, tasks(8))
	first := bd.wantStarts(bd.plan(), 8)
	for _, st := range first {
		bd.ordered(st, Done)
	}
	shrunk := bd.core.workers["w0"].info
	shrunk.Room.CPUMillis = 1000
	bd.core.Register(bd.now, shrunk)
	bd.add("b", bedEpoch, tasks(1))
	bd.wantStarts(bd.plan(), 0)
	for at, st := range first {
		bd.pass(100 * time.Millisecond)
		bd.looked(bd.nextLook(st.Worker), nil, []End{bd.end(st, EndDone)})
		for _, again := range starts(bd.plan()) {
			if again.Worker == "w0" && bd.core.workers["w0"].used.CPUMillis > 1000 {
				t.Fatalf("%s is over its room after %d ends", again.Worker, at+1)
			}
			return
		}
	}
	t.Fatal("the waiting task was not started though the other worker has room")
}
