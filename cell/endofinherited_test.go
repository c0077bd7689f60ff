package cell

import (
	"testing"

	"github.com/aspenseam/aspenseam/job"
)

// Guards against taking the end of a worker for the loss of an attempt that had ended there before: the owner that read the end of an attempt of an
// earlier owner acknowledged it without saving it, so the row went on naming the worker.
func TestEndOfAnInheritedAttemptIsSavedBeforeItIsAcknowledged(t *testing.T) {
	for _, reason := range []EndReason{EndLeaseExpired, EndStopped} {
		t.Run(string(reason), func(t *testing.T) {
			bd := newTestBed(t, 1)
			// The row names w0 for the first task of the first step.
			row := &job.Progress{Unresolved: map[string]map[string]job.Bitset{"w0": {"0.0": {1}}}}
			bd.core.workers["w0"].fenced = false
			bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "j", Queue: "q", Pool: testPool, Steps: []job.Step{taskStep(1)}, Epoch: 1, AcceptedAt: bd.now}, Progress: row, Version: 1})
			end := End{Number: 1, Task: job.Task{Job: "j"}, Attempt: 1, Reason: reason}
			bd.answerPoll(bd.waitForPoll("w0"), nil, []End{end})
			if got := bd.core.workers["w0"].ackedEnd; got != 0 {
				t.Errorf("end %d is acknowledged before it is saved", got)
			}
			if saved := savedProgress(bd.plan(), "j"); saved == nil || len(saved.Unresolved) > 0 {
				t.Errorf("the row after the end is %+v, want one without unresolved attempts", saved)
			}
		})
	}
}

// Guards against forgetting an attempt that runs because an older one of its task ended on the same worker: the row must go on naming the worker, or
// a crash is missed if owner and worker end together.
func TestEndOfAnOlderAttemptLeavesTheNewerOneInTheRow(t *testing.T) {
	bd := newTestBed(t, 1)
	row := &job.Progress{Unresolved: map[string]map[string]job.Bitset{"w0": {"0.0": {1}}}}
	bd.core.workers["w0"].fenced = false
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "j", Queue: "q", Pool: testPool, Steps: []job.Step{taskStep(1)}, Epoch: 1, AcceptedAt: bd.now}, Progress: row, Version: 1})
	tk := job.Task{Job: "j"}
	bd.answerPoll(bd.waitForPoll("w0"), []Running{{Task: tk, Attempt: 2}}, []End{{Number: 1, Task: tk, Attempt: 1, Reason: EndStopped}})
	if saved := bd.core.jobs["j"].progress(); saved.Unresolved["w0"] == nil {
		t.Errorf("the row is %+v, want one that names the worker of the running attempt", saved)
	}
}

// savedProgress returns the progress of a job in the save among orders, or nil.
func savedProgress(orders []Order, id job.ID) *job.Progress {
	for _, od := range orders {
		sv, ok := od.(Save)
		if !ok {
			continue
		}
		for _, row := range sv.Rows {
			if row.ID == id {
				return row.Progress
			}
		}
	}
	return nil
}
