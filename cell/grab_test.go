package cell

import (
	"testing"
	"time"
)

// TestWorkerStaysUntilItsEndsAreKept: a machine that is moved or maintained takes the list of its worker's ends with it, so that a next owner
// would start again what has ended there and was not written yet.
func TestWorkerStaysUntilItsEndsAreKept(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.addJob("a", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	bd.answerPoll(bd.waitForPoll(st.Worker), nil, []End{bd.newEnd(st, EndDone)})
	if got := bd.core.Grab(bd.now, []WorkerName{st.Worker.Name()}); len(got) != 0 || bd.core.Drained(st.Worker.Name()) {
		t.Fatalf("granted %v, clear %t, before the end is kept", got, bd.core.Drained(st.Worker.Name()))
	}
	bd.autoSave = true
	bd.advance(time.Second)
	bd.plan()
	bd.plan()
	if !bd.core.Drained(st.Worker.Name()) {
		t.Error("not clear once the end is kept")
	}
	if got := bd.core.Grab(bd.now, []WorkerName{st.Worker.Name()}); len(got) != 1 {
		t.Errorf("granted %v once the end is kept", got)
	}
}
