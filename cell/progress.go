package cell

import (
	"maps"
	"slices"

	"github.com/aspenseam/aspenseam/job"
)

// progress returns the progress of a job to be saved.
func (js *jobState) progress() *job.Progress {
	pg := &job.Progress{State: js.state, CompletedRuns: slices.Clone(js.runsDone)}
	if js.state.Ended() {
		pg.EndedAt = js.endedAt
		return pg
	}
	for at, rn := range js.runs {
		if js.runsDone.Has(at) {
			continue
		}
		for _, st := range rn.steps {
			st.save(pg)
		}
	}
	return pg
}

// save adds a step to the progress to be saved.
func (st *step) save(pg *job.Progress) {
	var bits job.Bitset
	for at := range st.tasks {
		ts := &st.tasks[at]
		if pl := ts.placement; pl != nil {
			pl.inRow = !ts.done && pl.belongsInRow()
		}
		if ts.done {
			bits.Set(at)
			continue
		}
		key := job.TaskKey(job.Task{Run: st.run, Step: st.index, Index: at})
		if len(ts.failed) > 0 {
			if pg.FailedAttempts == nil {
				pg.FailedAttempts = map[string][]string{}
			}
			pg.FailedAttempts[key] = slices.Clone(ts.failed)
		}
		st.saveUnresolved(pg, at)
		if lost := ts.losses; lost.suspect || lost.total() > 0 || lost.longestRun > 0 {
			if pg.Losses == nil {
				pg.Losses = map[string]job.Losses{}
			}
			pg.Losses[key] = lost.stored()
		}
		if attempt := st.savedAttempt(ts); attempt > 0 {
			if pg.Attempts == nil {
				pg.Attempts = map[string]job.Attempt{}
			}
			pg.Attempts[key] = attempt
		}
	}
	if len(bits) > 0 {
		if pg.DoneTasks == nil {
			pg.DoneTasks = map[string]job.Bitset{}
		}
		pg.DoneTasks[job.StepKey(st.run, st.index)] = bits
	}
}

// savedAttempt returns the attempt of a task to be saved, or 0 if the next owner can do without. It has to tell the attempts of a gang from one
// another, also one that is about to be started.
func (st *step) savedAttempt(ts *taskState) job.Attempt {
	switch {
	case st.spec.Gang && ts.intent != nil:
		return ts.attempt + 1
	case st.spec.Gang || ts.attempt > 1:
		return ts.attempt
	}
	return 0
}

// saveUnresolved adds the workers on which the next owner may not find a task any more.
func (st *step) saveUnresolved(pg *job.Progress, at int) {
	key, lo := job.StepKey(st.run, st.index), st.tasks[at].unresolvedLosses()
	pg.Unresolved = addAttempts(pg.Unresolved, lo.unresolved, key, at)
	pg.Started = addAttempts(pg.Started, lo.started, key, at)
}

// addAttempts adds a task of a step to the tasks with an attempt on each of some workers.
func addAttempts(attempts map[string]map[string]job.Bitset, workers []WorkerID, key string, at int) map[string]map[string]job.Bitset {
	for _, id := range workers {
		if attempts == nil {
			attempts = map[string]map[string]job.Bitset{}
		}
		steps := attempts[string(id)]
		if steps == nil {
			steps = map[string]job.Bitset{}
			attempts[string(id)] = steps
		}
		bits := steps[key]
		bits.Set(at)
		steps[key] = bits
	}
	return attempts
}

// restoreUnresolved restores the workers on which the outcome of attempts is unknown.
func (st *step) restoreUnresolved(pg *job.Progress) {
	key := job.StepKey(st.run, st.index)
	for _, id := range slices.Sorted(maps.Keys(pg.Unresolved)) {
		bits, started := pg.Unresolved[id][key], pg.Started[id][key]
		for at := range st.tasks {
			if bits.Has(at) {
				st.tasks[at].losses.markUnresolved(WorkerID(id), started.Has(at))
				st.job.hasUnresolved = true
			}
		}
	}
}
