package cell

import (
	"testing"
	"time"
)

// TestWorkerStaysUntilItsEndsAreKept: a machine that is moved or maintained takes the list of its worker's ends with it, so that a next owner
// would start again what has ended there and was not written yet.
func TestWorkerStaysUntilItsEndsAreKept(t *testing.T) {
	bd := newBed(t, 1)
	bd.add("a", bedEpoch, tasks(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.ordered(st, Done)
	bd.looked(bd.nextLook(st.Worker), nil, []End{bd.end(st, EndDone)})
	if got := bd.core.Grab(bd.now, []WorkerName{st.Worker.Name()}); len(got) != 0 || bd.core.Drained(st.Worker.Name()) {
		t.Fatalf("granted %v, clear %t, before the end is kept", got, bd.core.Drained(st.Worker.Name()))
	}
	bd.saved = true
	bd.pass(time.Second)
	bd.plan()
	bd.plan()
	if !bd.core.Drained(st.Worker.Name()) {
		t.Error("not clear once the end is kept")
	}
	if got := bd.core.Grab(bd.now, []WorkerName{st.Worker.Name()}); len(got) != 1 {
		t.Errorf("granted %v once the end is kept", got)
	}
}
