package cell

import (
	"testing"
	"time"
)

// Rooms shrank, then the store was away for four seconds. Its owner was confirmed again a second before it heard of the registrations, and started
// two tasks by the room that the worker had had before: "needs 1300, the worker has 7280, of which 6900 is taken", six seconds after the shrink.
func TestNothingStartsByRoomsFromBeforeAnOutage(t *testing.T) {
	bd := newBed(t, 1)
	bd.core.Confirmed(bd.now)
	bd.core.Registered(bd.now)
	away := 4 * time.Second
	for end := bd.now.Add(away); bd.now.Before(end); bd.pass(250 * time.Millisecond) {
		bd.planAsIs()
		bd.answerAll()
	}
	bd.core.Confirmed(bd.now)
	bd.add("j", bedEpoch, tasks(1))
	if sts := starts(bd.planAsIs()); len(sts) != 0 {
		t.Errorf("%d tasks start before the registrations are known again", len(sts))
	}
	bd.pass(200 * time.Millisecond)
	bd.core.Confirmed(bd.now)
	bd.core.Registered(bd.now)
	bd.answerAll()
	if sts := starts(bd.planAsIs()); len(sts) != 1 {
		t.Errorf("%d tasks start once they are, want 1", len(sts))
	}
}
