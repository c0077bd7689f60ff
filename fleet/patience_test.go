package fleet

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// TestPatienceFollowsTheWayToWorkers: single answers that are lost, or a worker that is gone, change nothing; where none comes any more, or
// all are slow, calls are waited for longer, up to a bound, and as before once answers are quick again.
func TestPatienceFollowsTheWayToWorkers(t *testing.T) {
	pw := &patientWorkers{}
	quick := func() { pw.took(2*time.Millisecond, 0, cell.Done) }
	for range 100 {
		quick()
		pw.took(workerPatience, 0, cell.Silent)
		pw.took(workerPatience, 0, cell.Silent)
		pw.took(300*time.Millisecond, time.Second, cell.Done)
	}
	if got := pw.patience(); got != workerPatience {
		t.Errorf("%v while a third of the answers comes", got)
	}
	for range workerVain {
		pw.took(workerPatience, 0, cell.Silent)
	}
	if got := pw.patience(); got != 2*workerPatience {
		t.Errorf("%v after %d calls in vain", got, workerVain)
	}
	for range 100 {
		pw.took(workerPatience, 0, cell.Silent)
	}
	if got := pw.patience(); got != workerMost {
		t.Errorf("%v when nothing comes", got)
	}
	quick()
	if got := pw.patience(); got != workerPatience {
		t.Errorf("%v after an answer", got)
	}
	for range 20 {
		pw.took(time.Second+300*time.Millisecond, time.Second, cell.Done)
	}
	if got := pw.patience(); got < 2*workerPatience {
		t.Errorf("%v where answers take 0.3 s", got)
	}
}
