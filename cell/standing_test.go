package cell

import (
	"slices"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// startedWithin reports whether a task of a job is ordered to start within a time. before is called before each plan.
func (bd *testBed) startedWithin(id job.ID, span time.Duration, before func()) bool {
	for end := bd.now.Add(span); bd.now.Before(end); bd.advance(100 * time.Millisecond) {
		before()
		for _, st := range startsIn(bd.plan()) {
			bd.answerOrder(st, Done)
			if st.Task.Job == id {
				return true
			}
		}
	}
	return false
}

// fillWorkers fills two workers with tasks of half of their room, and returns the starts by worker.
func (bd *testBed) fillWorkers() map[WorkerID][]Start {
	bd.t.Helper()
	bd.addJob("full", testEpoch, job.Step{Count: 4, Size: job.Size{CPUMillis: 2000, MemoryMB: 100}})
	full := map[WorkerID][]Start{}
	for _, st := range bd.wantStarts(bd.plan(), 4) {
		bd.answerOrder(st, Done)
		full[st.Worker] = append(full[st.Worker], st)
	}
	return full
}

// endTask reports that a task has ended well, and that the others go on.
func (bd *testBed) endTask(st Start, others ...Start) {
	bd.t.Helper()
	var running []Running
	for _, other := range others {
		running = append(running, Running{Task: other.Task, Attempt: other.Attempt})
	}
	bd.answerPoll(bd.waitForPoll(st.Worker), running, []End{bd.newEnd(st, EndDone)})
}

// TestJobsStandForTheirPlannedWorkerBesideIdleOnes checks that a start which is planned for a full worker takes another one that has become idle, and
// does not wait until the plan is given up.
func TestJobsStandForTheirPlannedWorkerBesideIdleOnes(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.core.NoteUnseenLosses(testEpoch)
	full := bd.fillWorkers()
	bd.autoSave = true
	bd.addJob("j", testEpoch-1, taskStep(1))
	bd.plan()
	planned := bd.core.jobs["j"].plannedWorker()
	for id, list := range full {
		if id != planned {
			bd.endTask(list[0], list[1])
		}
	}
	if !bd.startedWithin("j", modelMaxWait, func() {}) {
		t.Errorf("nothing of the job starts within %v, planned for %s beside an idle worker", modelMaxWait, planned)
	}
}

// TestPlannedStartLeavesRoomToThoseThatArePlannedThere checks that a start which is planned for a full worker does not take the room that another start
// is planned for.
func TestPlannedStartLeavesRoomToThoseThatArePlannedThere(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.core.NoteUnseenLosses(testEpoch)
	full := bd.fillWorkers()
	bd.autoSave = true
	half := job.Step{Count: 1, Size: job.Size{CPUMillis: 2000, MemoryMB: 100}}
	bd.addJob("j", testEpoch-1, half)
	bd.addJob("k", testEpoch-1, half)
	bd.plan()
	first, second := bd.core.jobs["j"].plannedWorker(), bd.core.jobs["k"].plannedWorker()
	if first == second || first == "" || second == "" {
		t.Fatalf("planned for %q and %q", first, second)
	}
	bd.endTask(full[second][0], full[second][1])
	var started []job.ID
	for range 10 {
		for _, st := range startsIn(bd.plan()) {
			bd.answerOrder(st, Done)
			started = append(started, st.Task.Job)
		}
		bd.advance(100 * time.Millisecond)
	}
	if !slices.Equal(started, []job.ID{"k"}) {
		t.Errorf("%v started, want k, which was planned for the only room", started)
	}
}

// TestLateJobsStandInAHalfEmptyPool checks that a late job which has nothing running starts a task while less than half of its pool's room is in use,
// although machines are short: beside workers that accept no tasks at present, and with the workers full that the pool keeps. In a pool that is mostly in
// use it goes on leaving machines to other pools.
func TestLateJobsStandInAHalfEmptyPool(t *testing.T) {
	for name, tc := range map[string]struct {
		silent, busy int
		pack, want   bool
	}{
		"silent workers": {silent: 2, busy: 6, want: true},
		"kept are full":  {busy: 4, pack: true, want: true},
		"mostly in use":  {busy: 11},
		"packed, in use": {busy: 12, pack: true},
	} {
		t.Run(name, func(t *testing.T) {
			bd := newTestBed(t, 4)
			bd.core.runTimes["q"] = runTimeStats{mean: time.Second, spread: defaultSpread}
			for _, id := range []WorkerID{"w2", "w3"}[:tc.silent] {
				bd.core.workers[id].failedPolls = 1
			}
			bd.addJob("busy", testEpoch, taskStep(tc.busy))
			for _, st := range bd.wantStarts(bd.plan(), tc.busy) {
				bd.answerOrder(st, Done)
			}
			bd.addJob("late", testEpoch, taskStep(1))
			bd.advance(20 * time.Second)
			bd.core.PackLate(tc.pack)
			got := bd.startedWithin("late", modelMaxWait, func() { bd.core.LimitMachines(bd.now, 1, false) })
			if got != tc.want {
				t.Errorf("started %t with %d of 16 cores in use, want %t; it waits for %s", got, tc.busy, tc.want, bd.core.jobs["late"].waitReason)
			}
		})
	}
}
