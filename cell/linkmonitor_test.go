package cell

import (
	"testing"
	"time"
)

// TestLeasesDoNotExpireWhileNoWorkerAnswers: if no worker answers for longer than a lease, the owner's own link is the likely cause, and attempts
// may have completed. They are not restarted while nobody answers.
func TestLeasesDoNotExpireWhileNoWorkerAnswers(t *testing.T) {
	bd := newTestBed(t, 4)
	bd.addJob("a", testEpoch, taskStep(4))
	for _, st := range bd.wantStarts(bd.plan(), 4) {
		bd.answerOrder(st, Done)
	}
	for range 80 {
		bd.advance(100 * time.Millisecond)
		if again := startsIn(bd.plan()); len(again) > 0 {
			t.Fatalf("%d tasks are started while nobody answers", len(again))
		}
		for at := range 4 {
			bd.failPoll(testWorkerID(at))
		}
	}
}

// A worker that does not answer while another one does has lost its tasks. They are started on the other worker once the lease has expired.
func TestLeaseExpiresOnceOthersAnswer(t *testing.T) {
	bd := newTestBed(t, 2)
	st := bd.runTask("a")
	bd.failPoll(st.Worker)
	again := 0
	for range 80 {
		bd.advance(100 * time.Millisecond)
		again += len(startsIn(bd.plan()))
		bd.failPoll(st.Worker)
		bd.answerPendingPolls()
	}
	if again != 1 {
		t.Fatalf("%d starts beside a worker that answers, want 1", again)
	}
}
