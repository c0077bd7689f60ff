package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestLateJobsYieldMachines checks that late jobs leave part of the room idle while other pools lack machines, so that workers become empty.
// Late jobs still make progress. Jobs that can meet their objective and long-running tasks do not wait.
func TestLateJobsYieldMachines(t *testing.T) {
	bd := newTestBed(t, 4)
	bd.core.runTimes["q"] = runTimeStats{mean: time.Second, spread: defaultSpread}
	bd.addJob("late", testEpoch, job.Step{Count: 100, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}})
	bd.advance(20 * time.Second)
	bd.core.LimitMachines(bd.now, 1, false)
	// There is room for 16 tasks.
	late := startsIn(bd.plan())
	if len(late) < 9 || len(late) > 11 {
		t.Fatalf("%d starts of a late job, want about 60 %% of 16", len(late))
	}
	busy := map[WorkerID]bool{}
	for _, st := range late {
		busy[st.Worker] = true
		bd.answerOrder(st, Done)
	}
	if len(busy) > 3 {
		t.Errorf("late job runs on %d of 4 workers, want at most 3", len(busy))
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
	if remaining := startsIn(bd.plan()); len(remaining) != 16-len(late)-len(fresh) {
		t.Errorf("%d starts after the limit expired", len(remaining))
	}
}

// TestLateJobsKeepToTheMachinesThatStay checks that packed late jobs fill as many workers as the limit allows and leave the others idle, and that
// jobs that can meet their objective use all.
func TestLateJobsKeepToTheMachinesThatStay(t *testing.T) {
	bd := newTestBed(t, 4)
	bd.core.runTimes["q"] = runTimeStats{mean: time.Second, spread: defaultSpread}
	bd.addJob("late", testEpoch, job.Step{Count: 100, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}})
	bd.advance(20 * time.Second)
	bd.core.PackLate(true)
	bd.core.LimitMachines(bd.now, 1, false)
	busy := map[WorkerID]bool{}
	for _, st := range startsIn(bd.plan()) {
		busy[st.Worker] = true
		bd.answerOrder(st, Done)
	}
	if len(busy) != 1 {
		t.Fatalf("late job runs on %d of 4 workers, want 1", len(busy))
	}
	bd.addJob("fresh", testEpoch, taskStep(12))
	for _, st := range bd.wantStarts(bd.plan(), 12) {
		if st.Task.Job == "late" {
			t.Errorf("%v started beyond the limit", st.Task)
		}
	}
}

// TestLateJobsThatTheStayingMachinesCannotRunUseOthers checks that packing does not make a late job wait without end: for a label that no kept
// worker has, or as a suspect for a worker to itself among full ones.
func TestLateJobsThatTheStayingMachinesCannotRunUseOthers(t *testing.T) {
	for name, suspect := range map[string]bool{"label": false, "suspect": true} {
		t.Run(name, func(t *testing.T) {
			bd := newTestBed(t, 4)
			bd.core.runTimes["q"] = runTimeStats{mean: time.Second, spread: defaultSpread}
			bd.addJob("full", testEpoch, job.Step{Count: 1, Size: job.Size{CPUMillis: 3000, MemoryMB: 100}})
			full := bd.wantStarts(bd.plan(), 1)[0]
			bd.answerOrder(full, Done)
			sp := job.Step{Count: 1, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}}
			if !suspect {
				sp.Label = "rw3"
				if full.Worker == "w3" {
					sp.Label = "rw2"
				}
			}
			bd.addJob("late", testEpoch, sp)
			bd.advance(20 * time.Second)
			bd.core.PackLate(true)
			bd.core.LimitMachines(bd.now, 1, false)
			if suspect {
				for _, js := range bd.core.openJobs {
					if js.spec.ID == "late" {
						bd.core.dueRuns(bd.now, js)[0].steps[0].tasks[0].losses.suspect = true
					}
				}
			}
			starts := bd.wantStarts(bd.plan(), 1)
			if starts[0].Task.Job != "late" || starts[0].Worker == full.Worker {
				t.Errorf("%v on %s, beside %s", starts[0].Task, starts[0].Worker, full.Worker)
			}
		})
	}
}

// TestFullQueueIsRefused checks that a queue is full, with a time after which to retry, if the pool is limited to two machines and the pending
// work takes much longer than the time after which a new job expires. It is not full while there are machines for all pools, or with a limit
// of a hundred machines.
func TestFullQueueIsRefused(t *testing.T) {
	bd := newTestBed(t, 4)
	bd.core.runTimes["q"] = runTimeStats{mean: time.Second, spread: defaultSpread}
	for at := range 10 {
		bd.addJob(job.ID(fmt.Sprintf("j%d", at)), testEpoch, taskStep(40))
	}
	if full := bd.core.Load(bd.now).FullQueues; len(full) != 0 {
		t.Errorf("full queues %v without a machine limit", full)
	}
	bd.core.LimitMachines(bd.now, 2, false)
	if full := bd.core.Load(bd.now).FullQueues; full["q"] < 10*time.Second || full["q"] > 50*time.Second {
		t.Errorf("full queues %v, want q between 10 s and 50 s: 100 machine-seconds are pending for two machines", full)
	}
	bd.core.LimitMachines(bd.now, 100, false)
	if full := bd.core.Load(bd.now).FullQueues; len(full) != 0 {
		t.Errorf("full queues %v with a limit of 100 machines", full)
	}
}

// TestJobsInTimeYieldToLongRunningTasks checks that under a firm limit jobs that can meet their objective wait as well, since long-running
// tasks of other pools must run at any time.
func TestJobsInTimeYieldToLongRunningTasks(t *testing.T) {
	bd := newTestBed(t, 4)
	bd.addJob("fresh", testEpoch, taskStep(16))
	bd.core.LimitMachines(bd.now, 1, true)
	if got := len(startsIn(bd.plan())); got < 9 || got > 11 {
		t.Errorf("%d starts of 16 tasks, want 9 to 11", got)
	}
}

// TestLateJobsStartInAnEmptyPoolWhoseRoomIsNotAllCountedOn checks that late jobs do not wait for machines to become idle in a pool that is empty, while
// only a part of its room is counted on.
func TestLateJobsStartInAnEmptyPoolWhoseRoomIsNotAllCountedOn(t *testing.T) {
	for name, arrange := range map[string]func(bd *testBed){
		"old registrations": func(bd *testBed) { bd.core.renewalsVisible = true },
		"cold workers": func(bd *testBed) {
			for _, wk := range bd.core.sortedWorkers {
				wk.coldSince, wk.coldUntil = bd.now, bd.now.Add(4*time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			bd := newTestBed(t, 4)
			bd.core.runTimes["q"] = runTimeStats{mean: time.Second, spread: defaultSpread}
			bd.addJob("late", testEpoch, job.Step{Count: 100, Size: job.Size{CPUMillis: 500, MemoryMB: 10}})
			bd.advance(20 * time.Second)
			arrange(bd)
			bd.advance(1200 * time.Millisecond)
			bd.core.LimitMachines(bd.now, 1, false)
			if got := len(startsIn(bd.plan())); got < 4 {
				t.Errorf("%d starts of a late job in an empty pool of 16 cores", got)
			}
		})
	}
}
