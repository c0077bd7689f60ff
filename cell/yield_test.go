package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestLateJobsYieldMachines: while other pools lack machines late jobs leave a part of the room idle, so that workers become empty; jobs that
// can be in time, and tasks that last, do not wait, and late ones get on.
func TestLateJobsYieldMachines(t *testing.T) {
	bd := newTestBed(t, 4)
	bd.core.runTimes["q"] = runTimeStats{mean: time.Second, spread: defaultSpread}
	bd.addJob("late", testEpoch, job.Step{Count: 100, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}})
	bd.advance(20 * time.Second)
	bd.core.LimitMachines(bd.now, 1, false)
	// Sixteen tasks fit.
	late := startsIn(bd.plan())
	if len(late) < 9 || len(late) > 11 {
		t.Fatalf("%d starts of a late job, want some six tenths of 16", len(late))
	}
	busy := map[WorkerID]bool{}
	for _, st := range late {
		busy[st.Worker] = true
		bd.answerOrder(st, Done)
	}
	if len(busy) > 3 {
		t.Errorf("they run on %d of 4 workers", len(busy))
	}
	bd.addJob("fresh", testEpoch, taskStep(3))
	bd.addJob("lasting", testEpoch, job.Step{Count: 1, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}, LongRunning: true})
	bd.core.LimitMachines(bd.now, 1, false)
	fresh := bd.wantStarts(bd.plan(), 4)
	for _, st := range fresh {
		if st.Task.Job == "late" {
			t.Errorf("%v", st.Task)
		}
		bd.answerOrder(st, Done)
	}
	bd.advance(2 * machineLimitTTL)
	if rest := startsIn(bd.plan()); len(rest) != 16-len(late)-len(fresh) {
		t.Errorf("%d starts once nobody lacks machines", len(rest))
	}
}

// TestFullQueueIsRefused: with two machines for it, and work in time ahead for far longer than a job that came now would be of any worth, the
// queue is full, with a time to come back; it is not while there are machines for all, and tasks that last are never refused.
func TestFullQueueIsRefused(t *testing.T) {
	bd := newTestBed(t, 4)
	bd.core.runTimes["q"] = runTimeStats{mean: time.Second, spread: defaultSpread}
	for at := range 10 {
		bd.addJob(job.ID(fmt.Sprintf("j%d", at)), testEpoch, taskStep(40))
	}
	if full := bd.core.Load(bd.now).FullQueues; len(full) != 0 {
		t.Errorf("full %v while the pool may grow", full)
	}
	bd.core.LimitMachines(bd.now, 2, false)
	if full := bd.core.Load(bd.now).FullQueues; full["q"] < 10*time.Second || full["q"] > 50*time.Second {
		t.Errorf("full %v: 100 s of a machine are ahead of two", full)
	}
	bd.core.LimitMachines(bd.now, 100, false)
	if full := bd.core.Load(bd.now).FullQueues; len(full) != 0 {
		t.Errorf("full %v with a hundred machines", full)
	}
}

// TestJobsInTimeYieldToTasksThatLast: those must run at any time.
func TestJobsInTimeYieldToTasksThatLast(t *testing.T) {
	bd := newTestBed(t, 4)
	bd.addJob("fresh", testEpoch, taskStep(16))
	bd.core.LimitMachines(bd.now, 1, true)
	if got := len(startsIn(bd.plan())); got < 9 || got > 11 {
		t.Errorf("%d starts of 16", got)
	}
}
