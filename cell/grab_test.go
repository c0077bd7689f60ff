package cell

import (
	"testing"
	"time"
)

// TestWorkerStaysUntilItsEndsAreSaved guards against moving or maintaining a machine while its worker has ends that are not saved. They would
// be lost with the worker, and the next owner would start these tasks again.
func TestWorkerStaysUntilItsEndsAreSaved(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.addJob("a", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	bd.answerPoll(bd.waitForPoll(st.Worker), nil, []End{bd.newEnd(st, EndDone)})
	if got := bd.core.ReserveForMove(bd.now, []WorkerName{st.Worker.Name()}); len(got) != 0 || bd.core.Drained(st.Worker.Name()) {
		t.Fatalf("granted %v, drained %t before the end is saved", got, bd.core.Drained(st.Worker.Name()))
	}
	bd.autoSave = true
	bd.advance(time.Second)
	bd.plan()
	bd.plan()
	if !bd.core.Drained(st.Worker.Name()) {
		t.Error("not drained after the end is saved")
	}
	if got := bd.core.ReserveForMove(bd.now, []WorkerName{st.Worker.Name()}); len(got) != 1 {
		t.Errorf("granted %v after the end is saved", got)
	}
}
