package fleet

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// TestWorkerTimeoutFollowsAnswerTimes checks that single lost answers or a worker that is gone do not change the timeout. If no
// answers arrive or all are slow, it grows up to its bound. Fast answers reset it.
func TestWorkerTimeoutFollowsAnswerTimes(t *testing.T) {
	aw := &adaptiveWorkers{}
	quick := func() { aw.recordAnswer(2*time.Millisecond, 0, cell.Done) }
	for range 100 {
		quick()
		aw.recordAnswer(workerMinTimeout, 0, cell.NoAnswer)
		aw.recordAnswer(workerMinTimeout, 0, cell.NoAnswer)
		aw.recordAnswer(300*time.Millisecond, time.Second, cell.Done)
	}
	if got := aw.timeout(); got != workerMinTimeout {
		t.Errorf("timeout of %v while a third of the calls is answered", got)
	}
	for range timeoutsPerDoubling {
		aw.recordAnswer(workerMinTimeout, 0, cell.NoAnswer)
	}
	if got := aw.timeout(); got != 2*workerMinTimeout {
		t.Errorf("timeout of %v after %d timeouts in a row", got, timeoutsPerDoubling)
	}
	for range 100 {
		aw.recordAnswer(workerMinTimeout, 0, cell.NoAnswer)
	}
	if got := aw.timeout(); got != workerMaxTimeout {
		t.Errorf("timeout of %v without any answers", got)
	}
	quick()
	if got := aw.timeout(); got != workerMinTimeout {
		t.Errorf("timeout of %v after an answer", got)
	}
	for range 20 {
		aw.recordAnswer(time.Second+300*time.Millisecond, time.Second, cell.Done)
	}
	if got := aw.timeout(); got < 2*workerMinTimeout {
		t.Errorf("timeout of %v while answers take 0.3 s", got)
	}
}
