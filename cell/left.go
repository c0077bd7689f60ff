package cell

import (
	"iter"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Attempts of which it is not known what became of them, since their worker fell silent or their owner is another now, and workers whose end is
// still to be kept.

// chargeUnresolved charges tasks that an earlier owner had left on a worker whose life has ended.
func (cr *Core) chargeUnresolved(now time.Time, id WorkerID) {
	for _, js := range cr.openJobs {
		for st, at := range js.unresolvedOn(id) {
			// It may have ended well before its worker did.
			cr.chargeUnplaced(now, st, at, id, evidence{})
		}
	}
}

// chargeUnplaced charges a task that is not placed here with the end of a worker.
func (cr *Core) chargeUnplaced(now time.Time, st *step, at int, id WorkerID, ev evidence) {
	tk := job.Task{Job: st.job.spec.ID, Run: st.run, Step: st.index, Index: at}
	cr.charge(now, &placement{task: tk, step: st, worker: &worker{info: Worker{ID: id}}, attempt: st.tasks[at].attempt}, ev)
}

// unresolvedOn goes through the tasks of a job of which it is not known what became of an attempt on a worker.
func (js *jobState) unresolvedOn(id WorkerID) iter.Seq2[*step, int] {
	return func(yield func(*step, int) bool) {
		if !js.hasOpenLosses {
			return
		}
		for _, rn := range js.runs {
			for _, st := range rn.steps {
				for at := range st.tasks {
					if slices.Contains(st.tasks[at].lost.unresolved, id) && !yield(st, at) {
						return
					}
				}
			}
		}
	}
}

// clearUnresolved takes the worker's life as proof that no attempt which an earlier owner left there has ended it.
func (cr *Core) clearUnresolved(id WorkerID) {
	for _, js := range cr.openJobs {
		for st, at := range js.unresolvedOn(id) {
			st.tasks[at].lost.resolve(id)
			cr.markDirty(js)
		}
	}
}

// reconcileUnresolved judges the attempts that an earlier owner left of a job that was read just now, by what is known of their workers already.
func (cr *Core) reconcileUnresolved(js *jobState) {
	for _, rn := range js.runs {
		for _, st := range rn.steps {
			for at := range st.tasks {
				for _, id := range slices.Clone(st.tasks[at].lost.unresolved) {
					// One that no owner names any more is one whose end was kept as far as it concerned the job.
					if wk := cr.workers[id]; wk == nil || wk.fenced && wk.failedPolls == 0 {
						st.tasks[at].lost.resolve(id)
						cr.markDirty(js)
					}
				}
			}
		}
	}
}

// resolve notes that it is known what became of the attempt on a worker.
func (lo *losses) resolve(id WorkerID) {
	lo.unresolved = slices.DeleteFunc(slices.Clone(lo.unresolved), func(other WorkerID) bool { return other == id })
}

// markUnresolved notes that it is not known what became of the attempt on a worker.
func (lo *losses) markUnresolved(id WorkerID) {
	if !slices.Contains(lo.unresolved, id) {
		lo.unresolved = append(slices.Clone(lo.unresolved), id)
	}
}

// saveAfterConnBreaks has a next owner know what was on a worker whose connections broke twice: it may have ended, and nobody else can tell what it ran.
// After a mere reset the second call is answered.
func (cr *Core) saveAfterConnBreaks(wk *worker) {
	if !wk.connBroken || wk.failedPolls != connBreaksBeforeSave {
		return
	}
	for _, pl := range wk.placed {
		cr.markDirty(pl.step.job)
	}
	cr.urgentSave = true
}

// unresolvedLosses are the workers on which a next owner may find the task gone.
func (ts *taskState) unresolvedLosses() losses {
	lo := ts.lost
	if in := ts.intent; in != nil {
		lo.markUnresolved(in.worker)
	}
	if pl := ts.placement; pl != nil && (pl.intentSaved || pl.suspect || pl.worker.failedPolls >= connBreaksBeforeSave && pl.worker.connBroken) {
		lo.markUnresolved(pl.worker.info.ID)
	}
	return lo
}

// pendingLoss is a worker whose end is still to be kept of some jobs. Until then a next owner is to look for it.
type pendingLoss struct {
	worker WorkerRef
	// jobs are those jobs, with the state from which on it is kept.
	jobs map[*jobState]int
}

// affectedJobs are the jobs of which something is, or may be, on a worker.
func (cr *Core) affectedJobs(id WorkerID, victims []*placement) []*jobState {
	var list []*jobState
	for _, pl := range victims {
		list = append(list, pl.step.job)
	}
	for _, js := range cr.openJobs {
		for range js.unresolvedOn(id) {
			list = append(list, js)
		}
	}
	return list
}

// trackPendingLoss has the cell's row name a worker that is forgotten until what its end meant for some jobs is kept.
func (cr *Core) trackPendingLoss(wk *worker, jobs []*jobState) {
	gv := pendingLoss{worker: wk.endedRef(), jobs: map[*jobState]int{}}
	for _, js := range jobs {
		gv.jobs[js] = js.gen
	}
	cr.pendingLosses = append(cr.pendingLosses, gv)
}

// unsaved reports whether its end is still to be kept of a job.
func (gv pendingLoss) unsaved() bool {
	for js, gen := range gv.jobs {
		if js.savedGen < gen {
			return true
		}
	}
	return false
}
