package cell

import (
	"slices"

	"github.com/aspenseam/aspenseam/job"
)

// progress is what is to be kept of a job now.
func (js *jobState) progress() *job.Progress {
	pg := &job.Progress{State: js.state, RunsDone: slices.Clone(js.runsDone)}
	if js.state.Ended() {
		pg.EndedAt = js.endedAt
		return pg
	}
	for at, rn := range js.runs {
		if js.runsDone.Has(at) {
			continue
		}
		for _, st := range rn.steps {
			st.keep(pg)
		}
	}
	return pg
}

// keep adds a step to what is kept.
func (st *step) keep(pg *job.Progress) {
	var bits job.Bits
	for at := range st.tasks {
		ts := &st.tasks[at]
		if ts.done {
			bits.Set(at)
			continue
		}
		key := job.TaskKey(job.Task{Run: st.run, Step: st.at, Index: at})
		if len(ts.failed) > 0 {
			if pg.Failed == nil {
				pg.Failed = map[string][]string{}
			}
			pg.Failed[key] = slices.Clone(ts.failed)
		}
		if lost := ts.left(); lost.suspect || lost.total() > 0 || lost.ran > 0 || len(lost.open) > 0 {
			if pg.Lost == nil {
				pg.Lost = map[string]job.Losses{}
			}
			pg.Lost[key] = lost.kept()
		}
		if ts.attempt > 1 {
			if pg.Attempts == nil {
				pg.Attempts = map[string]job.Attempt{}
			}
			pg.Attempts[key] = ts.attempt
		}
	}
	if len(bits) > 0 {
		if pg.Done == nil {
			pg.Done = map[string]job.Bits{}
		}
		pg.Done[job.StepKey(st.run, st.at)] = bits
	}
}
