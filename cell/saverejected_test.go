package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Guards against one job that cannot be saved keeping the others from being saved: it fails, and the failure is saved.
func TestJobWhoseProgressIsRejectedFailsAlone(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.addJob("bad", testEpoch, taskStep(1))
	bd.addJob("good", testEpoch, taskStep(2))
	starts := bd.wantStarts(bd.plan(), 3)
	var ends []End
	for _, st := range starts {
		bd.answerOrder(st, Done)
		reason := EndDone
		if st.Task.Job == "bad" {
			reason = EndFailed
		}
		ends = append(ends, bd.newEnd(st, reason))
	}
	bd.answerPoll(bd.waitForPoll("w0"), nil, ends)
	bd.advance(time.Second)
	if savedProgress(bd.plan(), "bad") == nil {
		t.Fatal("the failed attempt is not saved")
	}
	if !bd.core.SaveRejected(bd.now, "bad") {
		t.Error("the end of the job counts as rejected")
	}
	bd.core.Saved(bd.now, 9, "good")
	if state, _ := bd.core.State("good"); state != job.Completed {
		t.Errorf("the other job is %s", state)
	}
	if bd.core.SaveRejected(bd.now, "good") != true {
		t.Error("a job that was saved counts as rejected")
	}
	end := savedProgress(bd.plan(), "bad")
	if end == nil || end.State != job.Failed || len(end.FailedAttempts) > 0 {
		t.Fatalf("the end of the job is saved as %+v", end)
	}
	if bd.core.SaveRejected(bd.now, "bad") {
		t.Error("the end of a job can be rejected as well, and nobody is told")
	}
	if !bd.core.Saving() {
		t.Error("the end of the job is not saved again")
	}
}

// Guards against ending the work of the cell because a job was cancelled while its progress was being rejected.
func TestJobThatEndedWhileItsProgressWasRejectedIsSaved(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.addJob("bad", testEpoch, taskStep(2))
	starts := bd.wantStarts(bd.plan(), 2)
	bd.answerOrder(starts[0], Done)
	bd.answerOrder(starts[1], Done)
	bd.answerPoll(bd.waitForPoll("w0"), nil, []End{bd.newEnd(starts[0], EndFailed)})
	bd.advance(time.Second)
	if savedProgress(bd.plan(), "bad") == nil {
		t.Fatal("the failed attempt is not saved")
	}
	bd.core.Cancel(bd.now, "bad")
	if !bd.core.SaveRejected(bd.now, "bad") {
		t.Error("the end of the job counts as rejected")
	}
	if end := savedProgress(bd.plan(), "bad"); end == nil || end.State != job.Cancelled {
		t.Errorf("the end of the job is saved as %+v", end)
	}
}

// Guards against progress that grows with the number of runs that are late: the open runs of a job have at most as many tasks as one run may have.
func TestOpenRunsOfAJobAreBounded(t *testing.T) {
	for tasks, want := range map[int]int{job.MaxTasks: 1, job.MaxTasks/2 + 1: 1, job.MaxTasks / 4: 4, 100: 5} {
		bd := newTestBed(t, 1)
		bd.autoSave = true
		sp := &job.Spec{ID: "j", Queue: "q", Pool: testPool, Steps: []job.Step{taskStep(tasks)}, Epoch: testEpoch, Repeats: 5, FirstDue: bd.now.Add(-time.Hour), Interval: time.Second, AcceptedAt: bd.now}
		bd.core.Add(bd.now, StoredJob{Spec: sp})
		bd.plan()
		bd.plan()
		js := bd.core.jobs["j"]
		if got := len(js.runs); got != want {
			t.Errorf("%d runs of %d tasks are open, want %d", got, tasks, want)
		}
		// The next one opens when one has completed.
		for at := range tasks {
			bd.core.taskDone(bd.now, js.runs[0].steps[0], job.Task{Job: "j", Index: at})
		}
		bd.plan()
		if got := js.nextRun; got != min(want+1, sp.Repeats) {
			t.Errorf("%d runs of %d tasks were opened after one had completed, want %d", got, tasks, min(want+1, sp.Repeats))
		}
	}
}
