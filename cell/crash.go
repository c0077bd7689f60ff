package cell

import (
	"slices"
	"time"
)

// Loss tells of a worker that ended with tasks on it.
type Loss struct {
	// Tasks is how many attempts were on the worker.
	Tasks int
	// SinceStart is the time from the newest start there to the first call without an answer.
	SinceStart time.Duration
	// Before is the highest number of workers that one of the tasks had lost before.
	Before int
}

// mourn notes for each task on a worker whose life has ended that it lost this worker.
func (cr *Core) mourn(now time.Time, wk *worker, why string) {
	silent := now
	if wk.fails > 0 {
		silent = wk.silentAt
	}
	var newest time.Time
	loss := Loss{Tasks: len(wk.placed)}
	for _, pl := range wk.placed {
		newest = latest(newest, pl.ordered)
		ts := &pl.step.tasks[pl.task.Index]
		loss.Before = max(loss.Before, len(ts.lost))
		if !slices.Contains(ts.lost, wk.info.ID) {
			ts.lost = append(ts.lost, wk.info.ID)
		}
	}
	loss.SinceStart = silent.Sub(newest)
	cr.opts.Log(Decision{What: "worker lost with tasks", Worker: wk.info.ID, Why: why, Age: now.Sub(wk.lookedAt), Loss: &loss})
}
