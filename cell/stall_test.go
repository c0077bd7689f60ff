package cell

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// An owner that stalled for three seconds has outdated rooms, evacuations and ownership. It starts nothing until all are confirmed again.
func TestNothingIsStartedAfterAStallUntilConfirmed(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("before", testEpoch, taskStep(1))
	bd.wantStarts(bd.plan(), 1)
	bd.addJob("after", testEpoch, taskStep(1))
	bd.advance(3 * time.Second)
	bd.wantStarts(bd.planUnconfirmed(), 0)
	bd.core.OwnershipConfirmed(bd.now)
	bd.wantStarts(bd.planUnconfirmed(), 0)
	bd.core.RegistrationsRead(bd.now)
	bd.wantStarts(bd.planUnconfirmed(), 0)
	bd.core.EvacuationsRead(bd.now)
	bd.wantStarts(bd.planUnconfirmed(), 1)
}

// A worker whose room shrank below its use gets no new tasks until enough of them have ended, and does not reduce the room of others.
func TestShrunkRoomTakesNothing(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("a", testEpoch, taskStep(8))
	first := bd.wantStarts(bd.plan(), 8)
	for _, st := range first {
		bd.answerOrder(st, Done)
	}
	shrunk := bd.core.workers["w0"].info
	shrunk.Room.CPUMillis = 1000
	bd.core.Register(bd.now, shrunk)
	bd.addJob("b", testEpoch, taskStep(1))
	bd.wantStarts(bd.plan(), 0)
	for at, st := range first {
		bd.advance(100 * time.Millisecond)
		bd.answerPoll(bd.waitForPoll(st.Worker), nil, []End{bd.newEnd(st, EndDone)})
		for _, again := range startsIn(bd.plan()) {
			if again.Worker == "w0" && bd.core.workers["w0"].used.CPUMillis > 1000 {
				t.Fatalf("%s exceeds its room after %d ended attempts", again.Worker, at+1)
			}
			return
		}
	}
	t.Fatal("the waiting task was not started though the other worker has room")
}

// A worker with an unreadable registration gets no new tasks and keeps its long-running ones. Nothing says that it leaves, and moving them would
// disrupt several tasks at once of a step that allows one.
func TestUnschedulableWorkerKeepsItsTasks(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.addJob("lasting", testEpoch, job.Step{Count: 2, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}, LongRunning: true, HasDisruptionBudget: true, DisruptionBudget: 1})
	for _, st := range bd.wantStarts(bd.plan(), 2) {
		bd.answerOrder(st, Done)
	}
	for _, id := range []WorkerID{"w0", "w1"} {
		info := bd.core.workers[id].info
		info.Unschedulable = true
		bd.core.Register(bd.now, info)
	}
	bd.addJob("a", testEpoch, taskStep(1))
	for range 20 {
		for _, od := range bd.plan() {
			switch od.(type) {
			case Start, Stop:
				t.Fatalf("%+v for an unschedulable worker", od)
			}
		}
		for id, lk := range bd.pendingPolls {
			var running []Running
			for _, pl := range bd.core.workers[id].placed {
				running = append(running, Running{Task: pl.task, Attempt: pl.attempt, Progress: 100})
			}
			bd.answerPoll(lk, running, nil)
		}
		bd.advance(100 * time.Millisecond)
	}
}
