package cell

import (
	"testing"
	"time"
)

// Rooms shrank, then the store was away for four seconds. Its owner was confirmed again a second before it heard of the registrations, and started
// two tasks by the room that the worker had had before: "needs 1300, the worker has 7280, of which 6900 is taken", six seconds after the shrink.
func TestNothingStartsByRoomsFromBeforeAnOutage(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.core.OwnershipConfirmed(bd.now)
	bd.core.RegistrationsRead(bd.now)
	away := 4 * time.Second
	for end := bd.now.Add(away); bd.now.Before(end); bd.advance(250 * time.Millisecond) {
		bd.planUnconfirmed()
		bd.answerPendingPolls()
	}
	bd.core.OwnershipConfirmed(bd.now)
	bd.addJob("j", testEpoch, taskStep(1))
	if sts := startsIn(bd.planUnconfirmed()); len(sts) != 0 {
		t.Errorf("%d tasks start before the registrations are known again", len(sts))
	}
	bd.advance(200 * time.Millisecond)
	bd.core.OwnershipConfirmed(bd.now)
	bd.core.RegistrationsRead(bd.now)
	bd.answerPendingPolls()
	if sts := startsIn(bd.planUnconfirmed()); len(sts) != 1 {
		t.Errorf("%d tasks start once they are, want 1", len(sts))
	}
}

// The store came back, and with it the registrations, but each worker writes its own anew only with its next heartbeat: rooms that shrank before the
// outage were told up to that much later. Until then a third of a room is counted on, and nothing is stopped for want of the rest.
func TestRoomOfAnOldRegistrationIsCountedOnInPart(t *testing.T) {
	bd := newTestBed(t, 1)
	in := bd.core.sortedWorkers[0].info
	tell := func() {
		in.WrittenAt = bd.now
		bd.core.Register(bd.now, in)
	}
	tell()
	bd.advance(time.Second)
	tell()
	bd.addJob("j", testEpoch, taskStep(4))
	first := bd.wantStarts(bd.plan(), 4)
	for at, st := range first {
		bd.answerOrder(st, Done)
		if at > 0 {
			continue
		}
		bd.advance(DefaultRegistrationMaxAge + time.Millisecond)
		bd.answerDuePolls()
	}
	var running []Running
	for _, st := range first[1:] {
		running = append(running, Running{Task: st.Task, Attempt: st.Attempt})
	}
	bd.answerPoll(bd.waitForPoll("w0"), running[:1], []End{bd.newEnd(first[0], EndDone), bd.newEnd(first[3], EndDone), bd.newEnd(first[2], EndDone)})
	bd.addJob("k", testEpoch, taskStep(1))
	orders := bd.plan()
	if got := len(startsIn(orders)); got != 0 {
		t.Errorf("%d tasks start beside one on a worker with room for four that was last told %v ago", got, DefaultRegistrationMaxAge)
	}
	bd.answerPoll(bd.waitForPoll("w0"), nil, []End{bd.newEnd(first[1], EndDone)})
	bd.wantStarts(bd.plan(), 1)
	tell()
	bd.addJob("l", testEpoch, taskStep(3))
	bd.wantStarts(bd.plan(), 3)
}

// An owner that took over when the store was back had read registrations from before the outage, and counted on all of their rooms.
func TestRoomOfARegistrationThatWasOldWhenItWasReadIsCountedOnInPart(t *testing.T) {
	bd := newTestBed(t, 1)
	in := bd.core.sortedWorkers[0].info
	in.WrittenAt = bd.now.Add(-DefaultRegistrationMaxAge - time.Second)
	bd.core.Register(bd.now, in)
	bd.addJob("j", testEpoch, taskStep(4))
	bd.wantStarts(bd.plan(), 1)
	in.WrittenAt = bd.now
	bd.core.Register(bd.now, in)
	bd.wantStarts(bd.plan(), 3)
}

// A worker had been moved to the pool a second before the outage, so that its registration had been told once only. Its age was taken for nothing.
func TestAgeOfARegistrationCountsOnceOthersAreRenewed(t *testing.T) {
	bd := newTestBed(t, 2)
	tell := func(at int) {
		in := bd.core.sortedWorkers[at].info
		in.WrittenAt = bd.now
		bd.core.Register(bd.now, in)
	}
	tell(0)
	bd.advance(time.Second)
	tell(0)
	tell(1)
	bd.advance(DefaultRegistrationMaxAge + time.Millisecond)
	bd.answerDuePolls()
	bd.addJob("j", testEpoch, taskStep(8))
	bd.wantStarts(bd.plan(), 2)
}
