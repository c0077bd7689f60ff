package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// preemptBed returns a test bed with one worker of four cores that is full of tasks of a low-priority job with the given progress.
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
		bd.core.workers["w0"].placements[st.Task].progress = progress[at]
	}
	return bd, list
}

// addUrgent submits a job of the high-priority queue and returns the tasks stopped within the given period.
func (bd *testBed) addUrgent(count int, within time.Duration) []job.Task {
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

// TestTaskOfALowerPriorityMakesRoom checks that the task with the least progress is preempted, only once and not immediately, and that the
// urgent job gets the room.
func TestTaskOfALowerPriorityMakesRoom(t *testing.T) {
	bd, list := preemptBed(t, taskStep(4), 60, 20, 40, 80)
	if early := bd.addUrgent(1, preemptAfter-time.Millisecond); len(early) != 0 {
		t.Fatalf("%v stopped before preemptAfter", early)
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
		t.Errorf("job %s got the room, want urgent", st.Task.Job)
	}
}

// TestLongRunningTasksAndGangsAreNotPreempted checks that long-running tasks, gang members and tasks of equal priority are not preempted.
func TestLongRunningTasksAndGangsAreNotPreempted(t *testing.T) {
	longRunning, gang := taskStep(4), taskStep(4)
	longRunning.LongRunning, gang.Gang = true, true
	for name, low := range map[string]job.Step{"lasting": longRunning, "gang": gang} {
		bd, _ := preemptBed(t, low, 10, 10, 10, 10)
		if stopped := bd.addUrgent(2, 2*time.Second); len(stopped) != 0 {
			t.Errorf("%s: %v stopped, want none", name, stopped)
		}
	}
	bd, _ := preemptBed(t, taskStep(4), 10, 10, 10, 10)
	bd.core.Configure([]job.Queue{{ID: "first", Pool: testPool, Priority: 3, MaxAttempts: 2, Stretch: 3, Slack: 10 * time.Second}})
	if stopped := bd.addUrgent(2, 2*time.Second); len(stopped) != 0 {
		t.Errorf("equal priority: %v stopped, want none", stopped)
	}
}

// TestCheckpointedWorkIsStoppedFirst checks that preemption prefers tasks with checkpoints, since little of their work is lost.
func TestCheckpointedWorkIsStoppedFirst(t *testing.T) {
	if lost, kept := lostWork(&placement{progress: 30, step: &step{spec: &job.Step{}}, room: job.Size{CPUMillis: 1000}}), lostWork(&placement{progress: 90, step: &step{spec: &job.Step{Checkpointing: true}}, room: job.Size{CPUMillis: 1000}}); kept >= lost {
		t.Errorf("lost work of a task at 90 %% with checkpoints is %v, of one at 30 %% without %v", kept, lost)
	}
}

// TestWaitingForRoomSchedulesNoWakeUp guards against waiting tasks that schedule a wake-up although there is nothing to preempt. With a
// thousand waiting jobs the cell would plan continuously.
func TestWaitingForRoomSchedulesNoWakeUp(t *testing.T) {
	bd, _ := preemptBed(t, taskStep(4), 10, 10, 10, 10)
	bd.core.Configure([]job.Queue{{ID: "first", Pool: testPool, Priority: 3, MaxAttempts: 2, Stretch: 3, Slack: 10 * time.Second}})
	// The poll is answered, so that only the waiting job could schedule a wake-up.
	bd.advance(bd.core.opts.PollInterval)
	bd.plan()
	bd.core.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "wait", Queue: "first", Pool: testPool, Steps: []job.Step{taskStep(1)}, Epoch: testEpoch}})
	bd.plan()
	bd.advance(preemptAfter - 100*time.Millisecond)
	bd.plan()
	if early := bd.core.Wake().Sub(bd.now); early < idlePlanInterval {
		t.Errorf("next planning after %v, want %v", early, idlePlanInterval)
	}
}

// TestPausedQueueStartsNothing checks that no task of a paused queue is started and that its jobs add no demand for machines, and that it
// resumes where it stopped.
func TestPausedQueueStartsNothing(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.core.SetPausedQueues(map[job.QueueID]bool{"q": true})
	bd.addJob("a", testEpoch, taskStep(3))
	bd.wantStarts(bd.plan(), 0)
	if needed := bd.core.Load(bd.now).Demand; needed != 0 {
		t.Errorf("demand of %v machines for a paused queue", needed)
	}
	bd.core.SetPausedQueues(map[job.QueueID]bool{})
	bd.wantStarts(bd.plan(), 3)
}
