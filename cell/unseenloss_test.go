package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Guards against intents that are not needed. After a takeover the cell's row named workers whose machines had been moved away long before. Each
// older job then waited for a write before its start, and half of the workers' room was idle. Machines are only moved once nothing is left on
// them, so such a worker causes no unseen loss, but one that ended in its place does.
func TestMovedWorkersCauseNoUnseenLosses(t *testing.T) {
	for _, moved := range []bool{true, false} {
		bd := newTestBed(t, 1)
		bd.core.TakeOver(bd.now, bd.now, []WorkerRef{{ID: "gone", Address: "gone", Machine: "m1"}}, true)
		bd.addJob("old", 1, taskStep(1))
		if got := bd.core.MachineOf("gone"); got != "m1" {
			t.Fatalf("the machine is %q", got)
		}
		if moved {
			bd.core.WorkerMoved(bd.now, "gone")
		} else {
			bd.core.WorkerEnded(bd.now, "gone")
		}
		bd.core.Plan(bd.now)
		bd.advance(time.Millisecond)
		if got := len(startsIn(bd.plan())); (got == 1) != moved {
			t.Errorf("moved %t: %d starts before anything was saved", moved, got)
		}
		if got := bd.core.UnseenLossEpoch() != 0; got == moved {
			t.Errorf("moved %t: unseen losses %t", moved, got)
		}
	}
}

// Guards against a cell's row that is only written when a worker is added: it named 91 workers, of which about 30 still existed.
func TestCellRowNamesNoWorkersThatAreGone(t *testing.T) {
	bd := newTestBed(t, 2)
	bd.autoSave = true
	bd.core.Unregister(bd.now, "w1")
	bd.advance(unregisteredGrace + time.Second)
	bd.addJob("j", testEpoch, taskStep(1))
	st := bd.wantStarts(bd.plan(), 1)[0]
	bd.answerOrder(st, Done)
	bd.advance(time.Second)
	bd.answerPoll(bd.waitForPoll(st.Worker), nil, []End{bd.newEnd(st, EndDone)})
	var named []WorkerRef
	for _, od := range bd.plan() {
		if en, ok := od.(RecordWorkers); ok {
			named = en.Workers
		}
	}
	if len(named) != 1 || slices.ContainsFunc(named, func(rf WorkerRef) bool { return rf.ID == "w1" }) {
		t.Errorf("the row written with the save names %v", named)
	}
}

// Guards against idle room after a takeover with unseen losses, where each start waited for a write once there was room, and half of the room was
// idle. Intents of waiting tasks are saved before there is room, so that they start at once. Tasks that need advice are excepted.
func TestIntentsAreSavedAheadOfRoom(t *testing.T) {
	for _, advised := range []bool{false, true} {
		bd := newTestBed(t, 1)
		bd.autoSave = true
		qu := job.Queue{ID: "q", Pool: testPool, MaxAttempts: 2, Stretch: 1.5, Slack: time.Second}
		if advised {
			qu.Advice = &job.Advice{}
		}
		bd.addJob("first", testEpoch, taskStep(4))
		first := bd.wantStarts(bd.plan(), 4)
		for _, st := range first {
			bd.answerOrder(st, Done)
		}
		bd.core.Configure([]job.Queue{qu})
		bd.core.NoteUnseenLosses(testEpoch)
		bd.addJob("old", 1, taskStep(4))
		bd.wantStarts(bd.plan(), 0)
		planned := 0
		for _, in := range bd.core.intents {
			if in.planned {
				planned++
			}
		}
		// Half of the worker's room, which fits four tasks.
		if want := map[bool]int{false: 2, true: 0}[advised]; planned != want {
			t.Errorf("advised %t: %d planned intents, want %d", advised, planned, want)
		}
		bd.advance(time.Second)
		var running []Running
		for _, st := range first[1:] {
			running = append(running, Running{Task: st.Task, Attempt: st.Attempt})
		}
		bd.answerPoll(bd.waitForPoll("w0"), running, []End{bd.newEnd(first[0], EndDone)})
		if got := len(startsIn(bd.plan())); !advised && got != 1 {
			t.Errorf("%d starts when there is room for one", got)
		}
	}
}

// Guards against unseen losses that are forgotten in a handover. It came between the end of a worker of an earlier owner and the next
// confirmation of the ownership. The cell's row no longer named that worker nor the epoch of unseen losses, so the start that had crashed it was
// never counted: one task crashed five workers as attempt 1.
func TestHandoverNamesWorkersThatEndedUnseen(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.autoSave = true
	bd.core.TakeOver(bd.now, bd.now, []WorkerRef{{ID: "gone", Address: "gone", Machine: "m1"}}, false)
	bd.core.WorkerEnded(bd.now, "gone")
	bd.core.Plan(bd.now)
	refs := bd.core.Release(bd.now)
	if !slices.ContainsFunc(refs, func(rf WorkerRef) bool { return rf.ID == "gone" }) {
		t.Errorf("the row names %+v", refs)
	}
	next := New(testPool, testEpoch+1, Options{})
	next.TakeOver(bd.now, bd.now, refs, true)
	next.NoteUnseenLosses(bd.core.UnseenLossEpoch())
	next.Add(bd.now, StoredJob{Spec: &job.Spec{ID: "j", Queue: "q", Pool: testPool, Steps: []job.Step{taskStep(1)}, Epoch: 1}})
	next.WorkerEnded(bd.now, "gone")
	bd.advance(time.Second)
	next.OwnershipConfirmed(bd.now)
	next.Plan(bd.now)
	if next.UnseenLossEpoch() == 0 {
		t.Error("the next owner does not know of possible unseen losses")
	}
}

// Guards against a cell's row that still names an ended worker of earlier owners after it was resolved. Each next owner waited for it again.
func TestCellRowNamesNoResolvedWorker(t *testing.T) {
	bd := newTestBed(t, 1)
	bd.autoSave = true
	bd.core.TakeOver(bd.now, bd.now, []WorkerRef{{ID: "gone", Address: "gone"}}, true)
	bd.core.WorkerEnded(bd.now, "gone")
	named := true
	for at := range 3 {
		bd.addJob(job.ID(fmt.Sprint("j", at)), testEpoch, taskStep(1))
		bd.core.Cancel(bd.now, job.ID(fmt.Sprint("j", at)))
		for _, od := range bd.plan() {
			if en, ok := od.(RecordWorkers); ok {
				named = slices.ContainsFunc(en.Workers, func(rf WorkerRef) bool { return rf.ID == "gone" })
				bd.core.RecordWorkersEnded()
			}
		}
		bd.advance(2 * minPruneInterval)
	}
	if named {
		t.Error("the row still names the worker after it was resolved")
	}
}
