package cell

import (
	"testing"
	"time"
)

// Guards against starts based on old rooms. Rooms shrank, then the store was unreachable for four seconds. The ownership was confirmed again a
// second before the owner read the registrations, and it started two tasks based on the former room, six seconds after the shrink: "needs 1300,
// the worker has 7280, of which 6900 is taken".
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

// Guards against counting on the whole room of an old registration. After an outage of the store each worker renews its registration with its
// next heartbeat, so rooms that shrank before the outage are reported up to that much later. Until then a third of a room is counted on, and
// nothing is stopped for lack of the rest.
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
		t.Errorf("%d tasks start beside one on a worker with room for four whose registration was written %v ago", got, DefaultRegistrationMaxAge)
	}
	bd.answerPoll(bd.waitForPoll("w0"), nil, []End{bd.newEnd(first[1], EndDone)})
	bd.wantStarts(bd.plan(), 1)
	tell()
	bd.addJob("l", testEpoch, taskStep(3))
	bd.wantStarts(bd.plan(), 3)
}

// Guards against an owner that takes over after an outage, reads registrations written before it, and counts on all of their rooms.
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

// Guards against ignoring the age of a registration that was only reported once, because its worker had been moved to the pool a second before
// the outage.
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
