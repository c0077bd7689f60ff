package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// checkStart checks the promises that a start can break.
func (md *model) checkStart(wk *truthWorker, order Start) {
	tk, st := order.Task, md.step(order.Task)
	for _, other := range md.sorted() {
		if !other.alive {
			continue
		}
		md.settle(other)
		if rn := other.runs[tk]; rn != nil {
			md.breach("%v starts on %s while attempt %d runs on %s", tk, wk.info.ID, rn.attempt, other.info.ID)
		}
	}
	md.checkCrashes(tk)
	if md.noted[tk] {
		md.breach("%v starts after its end was acknowledged", tk)
	}
	if !st.LongRunning && md.failed[tk] >= modelAttempts {
		md.breach("%v starts after %d acknowledged failures", tk, md.failed[tk])
	}
	if at, completed := md.completed[tk.Job]; completed && !md.deaf && md.sent.Sub(at) > knownWithin {
		md.breach("%v starts after its job was completed", tk)
	}
	room, same := st.ResourceRequest(), 1
	for other := range wk.runs {
		room = room.Add(md.step(other).ResourceRequest())
		if other.Job == tk.Job && other.Step == tk.Step {
			same++
		}
	}
	if !room.Fits(md.knownRoom(wk)) {
		md.breach("%v takes %s over its room", tk, wk.info.ID)
	}
	if st.SpreadLimit > 0 && same > st.SpreadLimit {
		md.breach("%v is one of %d of its step on %s", tk, same, wk.info.ID)
	}
	for _, on := range st.DependsOn {
		for at := range md.jobs[tk.Job].spec.Steps[on].Count {
			if before := (job.Task{Job: tk.Job, Step: on, Index: at}); !md.done[before] {
				md.breach("%v starts before %v is done", tk, before)
			}
		}
	}
	if jb := md.jobs[tk.Job]; !jb.cancelled.IsZero() && md.now.Sub(jb.cancelled) > 20*time.Second {
		md.breach("%v starts long after its job was cancelled", tk)
	}
}

// checkFinished checks that no accepted job is forgotten.
func (md *model) checkFinished(id job.ID) {
	jb := md.jobs[id]
	if md.current() == nil {
		md.breach("the last owner has lost")
		return
	}
	state, known := md.current().core.State(id)
	switch {
	case !known:
		md.breach("job %s is not known", id)
	case jb.spec.Steps[0].LongRunning && jb.cancelled.IsZero() && state != job.Failed:
		for at := range jb.spec.Steps[0].Count {
			md.checkLasts(job.Task{Job: id, Index: at})
		}
	case !state.Ended():
		md.breach("job %s is %s in the end", id, state)
		md.describe(id)
	}
}

// describe notes what the last owner believes of a job and of the workers.
func (md *model) describe(id job.ID) {
	cr := md.current().core
	for _, rn := range cr.jobs[id].runs {
		for _, st := range rn.steps {
			for at := range st.tasks {
				ts := &st.tasks[at]
				md.note("step %d %+v task %d done %t attempt %d lost %+v intent %+v placed %+v", st.index, *st.spec, at, ts.done, ts.attempt, ts.lost, ts.intent, ts.placement)
			}
		}
	}
	for id, wk := range cr.workers {
		md.note("%s listed %t fenced %t enlisted %t fails %d taken %+v unwell %t bad %t", id, wk.listed, wk.fenced, wk.enlisted, wk.fails, wk.used, md.now.Before(wk.unwellUntil), wk.failures.ejected(md.now))
	}
}

func (md *model) checkLasts(tk job.Task) {
	for _, wk := range md.workers {
		if wk.alive && wk.runs[tk] != nil {
			return
		}
	}
	// A spread limit may leave no worker for it.
	if md.step(tk).SpreadLimit == 0 {
		md.breach("%v is to last and does not run", tk)
	}
}
