package fleet

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// TestPatienceFollowsTheWayToWorkers: single answers that are lost, or a worker that is gone, change nothing; where none comes any more, or
// all are slow, calls are waited for longer, up to a bound, and as before once answers are quick again.
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
		t.Errorf("%v while a third of the answers comes", got)
	}
	for range timeoutsPerDoubling {
		aw.recordAnswer(workerMinTimeout, 0, cell.NoAnswer)
	}
	if got := aw.timeout(); got != 2*workerMinTimeout {
		t.Errorf("%v after %d calls in vain", got, timeoutsPerDoubling)
	}
	for range 100 {
		aw.recordAnswer(workerMinTimeout, 0, cell.NoAnswer)
	}
	if got := aw.timeout(); got != workerMaxTimeout {
		t.Errorf("%v when nothing comes", got)
	}
	quick()
	if got := aw.timeout(); got != workerMinTimeout {
		t.Errorf("%v after an answer", got)
	}
	for range 20 {
		aw.recordAnswer(time.Second+300*time.Millisecond, time.Second, cell.Done)
	}
	if got := aw.timeout(); got < 2*workerMinTimeout {
		t.Errorf("%v where answers take 0.3 s", got)
	}
}
