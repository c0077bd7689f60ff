package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// checkStart checks the invariants that a start can violate.
func (md *model) checkStart(wk *modelWorker, order Start) {
	tk, st := order.Task, md.stepOf(order.Task)
	for _, other := range md.allWorkers() {
		if !other.alive {
			continue
		}
		md.processEnds(other)
		if rn := other.runs[tk]; rn != nil {
			md.violatef("%v starts on %s while attempt %d runs on %s", tk, wk.info.ID, rn.attempt, other.info.ID)
		}
	}
	md.checkCrashes(tk)
	md.noteStartAfterEnd(tk)
	if md.acknowledged[tk] {
		md.violatef("%v starts after its end was acknowledged", tk)
	}
	if !st.LongRunning && md.failed[tk] >= modelAttempts {
		md.violatef("%v starts after %d acknowledged failures", tk, md.failed[tk])
	}
	if completedAt, completed := md.completedAt[tk.Job]; completed && !md.senderCutOff && md.orderSent.Sub(completedAt) > completionKnownWithin {
		md.violatef("%v starts after its job was completed", tk)
	}
	room, same := st.ResourceRequest(), 1
	for other := range wk.runs {
		room = room.Add(md.stepOf(other).ResourceRequest())
		if other.Job == tk.Job && other.Step == tk.Step {
			same++
		}
	}
	if !room.Fits(md.knownRoom(wk)) {
		md.violatef("%v exceeds the room of %s", tk, wk.info.ID)
	}
	if st.SpreadLimit > 0 && same > st.SpreadLimit {
		md.violatef("%v is one of %d tasks of its step on %s, above the spread limit", tk, same, wk.info.ID)
	}
	for _, dependency := range st.DependsOn {
		for i := range md.jobs[tk.Job].spec.Steps[dependency].Count {
			if before := (job.Task{Job: tk.Job, Step: dependency, Index: i}); !md.done[before] {
				md.violatef("%v starts before %v is done", tk, before)
			}
		}
	}
	if jb := md.jobs[tk.Job]; !jb.cancelled.IsZero() && md.now.Sub(jb.cancelled) > 20*time.Second {
		md.violatef("%v starts long after its job was cancelled", tk)
	}
}

// noteStartAfterEnd notes that a task starts although it has ended done on a worker that is up. No owner may acknowledge that end any more.
func (md *model) noteStartAfterEnd(tk job.Task) {
	for _, wk := range md.allWorkers() {
		for _, en := range wk.ended {
			if wk.alive && en.Task == tk && en.Reason == EndDone {
				wk.startedAgain[en.Number] = true
			}
		}
	}
}

// checkFinished checks that an accepted job has ended, or that the tasks of a long-running job are running.
func (md *model) checkFinished(id job.ID) {
	jb := md.jobs[id]
	if md.currentOwner() == nil {
		md.violatef("the last owner is superseded")
		return
	}
	state, known := md.currentOwner().core.State(id)
	switch {
	case !known:
		md.violatef("job %s is not known", id)
	case jb.spec.Steps[0].LongRunning && jb.cancelled.IsZero() && state != job.Failed:
		for i := range jb.spec.Steps[0].Count {
			md.checkStillRunning(job.Task{Job: id, Index: i})
		}
	case !state.Ended():
		md.violatef("job %s is still %s at the end", id, state)
		md.traceJob(id)
	}
}

// traceJob traces the last owner's state of a job and of the workers.
func (md *model) traceJob(id job.ID) {
	cr := md.currentOwner().core
	for _, rn := range cr.jobs[id].runs {
		for _, st := range rn.steps {
			for i := range st.tasks {
				ts := &st.tasks[i]
				md.tracef("step %d %+v task %d done %t attempt %d lost %+v intent %+v placed %+v", st.index, *st.spec, i, ts.done, ts.attempt, ts.losses, ts.intent, ts.placement)
			}
		}
	}
	for id, wk := range cr.workers {
		md.tracef("%s registered %t fenced %t recorded %t failed polls %d used %+v unhealthy %t ejected %t", id, wk.registered, wk.fenced, wk.recorded, wk.failedPolls, wk.used, md.now.Before(wk.unhealthyUntil), wk.failures.ejected(md.now))
	}
}

// checkStillRunning checks that a long-running task is running.
func (md *model) checkStillRunning(tk job.Task) {
	for _, wk := range md.workers {
		if wk.alive && wk.runs[tk] != nil {
			return
		}
	}
	// A spread limit may rule out all workers.
	if md.stepOf(tk).SpreadLimit == 0 {
		md.violatef("%v is long-running and does not run", tk)
	}
}
