package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestRoomIsReservedForLongRunningTasks guards against starvation of a larger long-running task in a pool full of short tasks, where each
// short task that ends makes room for the next. The long-running task has to start after a few ends.
func TestRoomIsReservedForLongRunningTasks(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.autoSave = true
	short := job.Step{Count: 1, Size: job.Size{CPUMillis: 500, MemoryMB: 100}}
	longRunning := job.Step{Count: 1, Size: job.Size{CPUMillis: 2000, MemoryMB: 100}, LongRunning: true}
	running, next := []Start{}, 0
	fill := func() bool {
		for len(bd.core.openJobs) < 40 {
			bd.addJob(job.ID(fmt.Sprintf("s%04d", next)), testEpoch, short)
			next++
		}
		for _, st := range startsIn(bd.plan()) {
			bd.answerOrder(st, Done)
			if st.Task.Job == "lasting" {
				return true
			}
			running = append(running, st)
		}
		return false
	}
	fill()
	bd.addJob("lasting", testEpoch, longRunning)
	for round := range 20 {
		bd.advance(50 * time.Millisecond)
		// The oldest task ends.
		st := running[0]
		running = running[1:]
		lk := bd.waitForPoll(st.Worker)
		var stillRunning []Running
		for _, other := range running {
			if other.Worker == st.Worker {
				stillRunning = append(stillRunning, Running{Task: other.Task, Attempt: other.Attempt})
			}
		}
		bd.answerPoll(lk, stillRunning, []End{bd.newEnd(st, EndDone)})
		if fill() {
			t.Logf("started after %d ends", round+1)
			return
		}
	}
	t.Fatal("long-running task not started: short tasks take its room")
}

// TestLateJobsAreOrderedBySizeAndExpiry checks that the smallest late job goes first. A job that cannot end before it expires goes after all
// others and adds little demand for machines.
func TestLateJobsAreOrderedBySizeAndExpiry(t *testing.T) {
	bd := newTestBed(t, 1)
	// Run times of 1 s are known; the objective of a short job is then about 2.5 s.
	bd.core.runTimes["q"] = runTimeStats{mean: time.Second, spread: defaultSpread}
	for _, stats := range bd.core.runTimes {
		if stats.mean != time.Second {
			t.Fatal("run time estimate is not set")
		}
	}
	bd.addJob("overdue", testEpoch, taskStep(1))
	bd.advance(2 * time.Second)
	// After 7 s the job expires in half a second, and its task takes a second.
	bd.addJob("hopeless", testEpoch, taskStep(1))
	bd.advance(5 * time.Second)
	bd.addJob("large", testEpoch, taskStep(4))
	bd.addJob("small", testEpoch, taskStep(2))
	bd.advance(2 * time.Second)
	var order []job.ID
	for _, js := range bd.core.sortJobs(bd.now, bd.core.openJobs, 1) {
		order = append(order, js.spec.ID)
	}
	if fmt.Sprint(order) != "[small large hopeless overdue]" {
		t.Errorf("order is %v", order)
	}
	unit := bd.core.unit()
	late, expired := bd.core.jobDemand(bd.now, bd.core.jobs["small"], unit)/2, bd.core.jobDemand(bd.now, bd.core.jobs["overdue"], unit)
	if expired*3 > late {
		t.Errorf("demand of an expired task is %.3f machines, of a late one %.3f", expired, late)
	}
}
