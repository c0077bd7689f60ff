package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// preemptBed is one worker with four cores, full of a job of low priority that has come so far.
func preemptBed(t *testing.T, low job.Step, progress ...int) (*testBed, []Start) {
	bd := newTestBed(t, 1)
	bd.core.Configure([]job.Queue{
		{ID: "q", Pool: testPool, Priority: 3, MaxAttempts: 2, Stretch: 3, Slack: time.Minute},
		{ID: "first", Pool: testPool, Priority: 0, MaxAttempts: 2, Stretch: 3, Slack: 10 * time.Second},
	})
	bd.addJob("low", testEpoch, low)
	list := bd.wantStarts(bd.plan(), 4)
	for at, st := range list {
		bd.answerOrder(st, Done)
		bd.core.workers["w0"].places[st.Task].progress = progress[at]
	}
	return bd, list
}

// urge hands in a job of the queue that goes first and returns the tasks that are stopped for it within a time.
func (bd *testBed) urge(count int, within time.Duration) []job.Task {
	step := taskStep(count)
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "urgent", Queue: "first", Pool: testPool, Steps: []job.Step{step}, Epoch: testEpoch}})
	var stopped []job.Task
	for until := bd.now.Add(within); bd.now.Before(until); bd.advance(50 * time.Millisecond) {
		for _, od := range bd.plan() {
			if sp, ok := od.(Stop); ok {
				stopped = append(stopped, sp.Task)
			}
		}
	}
	return stopped
}

// TestTaskOfALowerPriorityMakesRoom: the one that has come least far, once and not at once, and what goes first gets its room.
func TestTaskOfALowerPriorityMakesRoom(t *testing.T) {
	bd, list := preemptBed(t, taskStep(4), 60, 20, 40, 80)
	if early := bd.urge(1, preemptAfter-time.Millisecond); len(early) != 0 {
		t.Fatalf("%v stopped at once", early)
	}
	var stopped []job.Task
	for range 6 {
		bd.advance(50 * time.Millisecond)
		for _, od := range bd.plan() {
			if sp, ok := od.(Stop); ok {
				stopped = append(stopped, sp.Task)
			}
		}
	}
	if len(stopped) != 1 || stopped[0] != list[1].Task {
		t.Fatalf("stopped %v, want %v", stopped, list[1].Task)
	}
	bd.advance(100 * time.Millisecond)
	bd.answerPoll(bd.waitForPoll("w0"), []Running{{Task: list[0].Task, Attempt: 1}, {Task: list[2].Task, Attempt: 1}, {Task: list[3].Task, Attempt: 1}}, []End{bd.newEnd(list[1], EndStopped)})
	if st := bd.wantStarts(bd.plan(), 1)[0]; st.Task.Job != "urgent" {
		t.Errorf("%s gets the room", st.Task.Job)
	}
}

// TestWhatLastsAndGangsMakeNoRoom: nor do jobs of the same priority.
func TestWhatLastsAndGangsMakeNoRoom(t *testing.T) {
	lasting, gang := taskStep(4), taskStep(4)
	lasting.LongRunning, gang.Gang = true, true
	for name, low := range map[string]job.Step{"lasting": lasting, "gang": gang} {
		bd, _ := preemptBed(t, low, 10, 10, 10, 10)
		if stopped := bd.urge(2, 2*time.Second); len(stopped) != 0 {
			t.Errorf("%s: %v stopped", name, stopped)
		}
	}
	bd, _ := preemptBed(t, taskStep(4), 10, 10, 10, 10)
	bd.core.Configure([]job.Queue{{ID: "first", Pool: testPool, Priority: 3, MaxAttempts: 2, Stretch: 3, Slack: 10 * time.Second}})
	if stopped := bd.urge(2, 2*time.Second); len(stopped) != 0 {
		t.Errorf("the same priority: %v stopped", stopped)
	}
}

// TestCheckpointedWorkIsStoppedFirst: little of it is lost.
func TestCheckpointedWorkIsStoppedFirst(t *testing.T) {
	if lost, kept := lostWork(&placement{progress: 30, step: &step{spec: &job.Step{}}, room: job.Size{CPUMillis: 1000}}), lostWork(&placement{progress: 90, step: &step{spec: &job.Step{Checkpointing: true}}, room: job.Size{CPUMillis: 1000}}); kept >= lost {
		t.Errorf("a task at 90 percent that saves its work counts %v, one at 30 percent that does not %v", kept, lost)
	}
}

// TestWaitingForRoomWakesNobody: where nothing of a lower priority runs there is nothing to come back for; with a thousand jobs that wait
// the cell would plan all the time.
func TestWaitingForRoomWakesNobody(t *testing.T) {
	bd, _ := preemptBed(t, taskStep(4), 10, 10, 10, 10)
	bd.core.Configure([]job.Queue{{ID: "first", Pool: testPool, Priority: 3, MaxAttempts: 2, Stretch: 3, Slack: 10 * time.Second}})
	// The look is answered, so that only what waits could wake the cell.
	bd.advance(bd.core.opts.PollInterval)
	bd.plan()
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "wait", Queue: "first", Pool: testPool, Steps: []job.Step{taskStep(1)}, Epoch: testEpoch}})
	bd.plan()
	bd.advance(preemptAfter - 100*time.Millisecond)
	bd.plan()
	if early := bd.core.Wake().Sub(bd.now); early < idlePlanInterval {
		t.Errorf("the cell is to plan again after %v, %v is the longest", early, idlePlanInterval)
	}
}

// Of a paused queue nothing is started and no machine asked for; it goes on where it was.
func TestPausedQueueStartsNothing(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.core.SetPausedQueues(map[job.QueueID]bool{"q": true})
	bd.addJob("a", testEpoch, taskStep(3))
	bd.wantStarts(bd.plan(), 0)
	if needed := bd.core.Load(bd.now).Demand; needed != 0 {
		t.Errorf("%v machines are asked for", needed)
	}
	bd.core.SetPausedQueues(map[job.QueueID]bool{})
	bd.wantStarts(bd.plan(), 3)
}
