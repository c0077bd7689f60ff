package cell

import (
	"iter"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Attempts whose outcome is unknown because their worker stopped answering or the cell changed owners, and lost workers whose loss is not yet
// saved for all affected jobs.

// chargeUnresolved charges the loss of a worker to tasks that earlier owners, or expired leases, left on it with an unknown outcome.
func (cr *Core) chargeUnresolved(now time.Time, id WorkerID) {
	for _, js := range cr.openJobs {
		for st, at := range js.unresolvedOn(id) {
			// The attempt may have ended well before its worker.
			kind := LossUnresolved
			if slices.Contains(st.tasks[at].losses.started, id) {
				kind = LossUnresolvedRun
			}
			cr.chargeUnplaced(now, st, at, id, evidence{kind: kind})
		}
	}
}

// chargeUnplaced charges the loss of a worker to a task that this owner has not placed on it.
func (cr *Core) chargeUnplaced(now time.Time, st *step, at int, id WorkerID, ev evidence) {
	tk := job.Task{Job: st.job.spec.ID, Run: st.run, Step: st.index, Index: at}
	attempt := st.tasks[at].attempt
	if st.spec.Gang {
		attempt = st.inheritedAttempt
	}
	cr.charge(now, &placement{task: tk, step: st, worker: &worker{info: Worker{ID: id}}, attempt: attempt}, ev)
}

// unresolvedOn iterates over the tasks of a job that have an attempt with an unknown outcome on a worker.
func (js *jobState) unresolvedOn(id WorkerID) iter.Seq2[*step, int] {
	return func(yield func(*step, int) bool) {
		if !js.hasUnresolved {
			return
		}
		for _, rn := range js.runs {
			for _, st := range rn.steps {
				for at := range st.tasks {
					if slices.Contains(st.tasks[at].losses.unresolved, id) && !yield(st, at) {
						return
					}
				}
			}
		}
	}
}

// clearUnresolved marks the unresolved attempts on a worker as resolved. Since the worker is alive, none of them has crashed it.
func (cr *Core) clearUnresolved(id WorkerID) {
	for _, js := range cr.openJobs {
		for st, at := range js.unresolvedOn(id) {
			st.tasks[at].losses.resolve(id)
			cr.markDirty(js)
		}
	}
}

// reconcileUnresolved resolves unresolved attempts of a job that was just loaded, as far as the state of their workers is known.
func (cr *Core) reconcileUnresolved(js *jobState) {
	for _, rn := range js.runs {
		for _, st := range rn.steps {
			for at := range st.tasks {
				for _, id := range slices.Clone(st.tasks[at].losses.unresolved) {
					// A worker is missing from the stored list only if its loss was saved for all jobs concerned.
					if wk := cr.workers[id]; wk == nil || wk.fenced && wk.endsKnown && wk.failedPolls == 0 {
						st.tasks[at].losses.resolve(id)
						cr.markDirty(js)
					}
				}
			}
		}
	}
}

// recordStarted saves that a start was carried out if the task has lost workers before. Should this owner and the worker end together, the next
// owner can tell the attempt from one that was never started. For other tasks that is saved only along with something else, since after a takeover
// there are many of them.
func (cr *Core) recordStarted(pl *placement) {
	if pl.startRecorded || pl.step.tasks[pl.task.Index].losses.total() == 0 {
		return
	}
	pl.startRecorded = true
	cr.markDirty(pl.step.job)
	cr.urgentSave = true
}

// saveAfterConnBreaks saves what was on a worker after its connections broke twice in a row. The worker may have ended, and the next owner has no
// other way to learn what ran on it. After a mere connection reset the second call is answered.
func (cr *Core) saveAfterConnBreaks(wk *worker) {
	if !wk.connBroken || wk.failedPolls != connBreaksBeforeSave {
		return
	}
	for _, pl := range wk.placed {
		cr.markDirty(pl.step.job)
	}
	cr.urgentSave = true
}

// unresolvedLosses returns the losses of a task, with the workers on which the next owner may not find it any more as unresolved.
func (ts *taskState) unresolvedLosses() losses {
	lo := ts.losses
	if in := ts.intent; in != nil {
		lo.markUnresolved(in.worker, false)
	}
	if pl := ts.placement; pl != nil && pl.belongsInRow() {
		lo.markUnresolved(pl.worker.info.ID, !pl.ackedAt.IsZero())
	}
	return lo
}

// belongsInRow reports whether the job's row has to name the worker of an attempt, since the next owner may not find the attempt there any more.
func (pl *placement) belongsInRow() bool {
	return pl.intentSaved || pl.suspect || pl.worker.failedPolls >= connBreaksBeforeSave && pl.worker.connBroken
}

// pendingLoss is a lost worker whose loss is not yet saved for all affected jobs. Until then the stored list names it, so that the next owner
// looks for it.
type pendingLoss struct {
	worker WorkerRef
	// jobs maps the affected jobs to the generation of their progress that contains the loss.
	jobs map[*jobState]int
}

// affectedJobs returns the jobs that have, or may have, attempts on a worker.
func (cr *Core) affectedJobs(id WorkerID, affected []*placement) []*jobState {
	var list []*jobState
	for _, pl := range affected {
		list = append(list, pl.step.job)
	}
	for _, js := range cr.openJobs {
		for range js.unresolvedOn(id) {
			list = append(list, js)
		}
	}
	return list
}

// trackPendingLoss keeps a removed worker in the stored list until its loss is saved for the affected jobs.
func (cr *Core) trackPendingLoss(wk *worker, jobs []*jobState) {
	pe := pendingLoss{worker: wk.endedRef(), jobs: map[*jobState]int{}}
	for _, js := range jobs {
		pe.jobs[js] = js.gen
	}
	cr.pendingLosses = append(cr.pendingLosses, pe)
}

// unsaved reports whether the loss is not yet saved for one of the jobs.
func (pe pendingLoss) unsaved() bool {
	for js, gen := range pe.jobs {
		if js.savedGen < gen {
			return true
		}
	}
	return false
}
