package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// patienceLeast is the least time that an answer is waited for beyond the time for which a worker may hold it back; a call that ends
// without one sooner was broken off.
const patienceLeast = 300 * time.Millisecond

// HandlePoll takes the result of a look.
func (cr *Core) HandlePoll(now time.Time, lk PollResult) {
	wk, ok := cr.workers[lk.Worker]
	if !ok {
		return
	}
	wk.looking = false
	switch lk.Outcome {
	case Done:
		cr.sawWorker(now, wk, lk)
	case WrongIncarnation:
		cr.bury(now, wk, "another life answers", lk.Token)
	case Superseded:
		if !cr.overtaken(wk, lk.Token) {
			wk.nextLook = now
		}
	default:
		cr.unanswered(now, wk, lk)
	}
}

// unanswered takes a look that had no answer.
func (cr *Core) unanswered(now time.Time, wk *worker, lk PollResult) {
	wk.fails++
	wk.askedAt = lk.Sent
	wk.nextLook = now.Add(min(backoffMost, backoffFirst<<min(wk.fails-1, 4)))
	if wk.fails == 1 {
		wk.silentAt, wk.abrupt = lk.Received, lk.Received.Sub(lk.Sent) < lk.Wait+patienceLeast
		if wk.abrupt {
			cr.brokeOff(wk.info.ID, wk.silentAt)
		}
		cr.opts.Log(Decision{What: "worker silent", Worker: wk.info.ID, Token: lk.Token, Why: lk.Outcome.String(), PollAge: now.Sub(wk.lookedAt)})
	}
	cr.noteLeft(wk)
}

// sawWorker takes what a worker says of itself.
func (cr *Core) sawWorker(now time.Time, wk *worker, lk PollResult) {
	wk.tick(lk.Clock, lk.Received)
	cr.hearing.heard(lk.Received)
	wk.fails, wk.lookedAt, wk.livedAt = 0, lk.Received, latest(wk.livedAt, lk.Sent)
	cr.unhold(now, wk)
	wk.nextLook = now.Add(cr.opts.PollInterval)
	wk.told = max(wk.told, lk.AckedEnd)
	first := !wk.fenced
	if first {
		if wk.fencedAt.IsZero() {
			cr.inherit(wk, lk.Received)
		}
		wk.busyAt, wk.fencedAt = now, lk.Received
	}
	wk.fenced = true
	if lk.Token == cr.token(wk) {
		wk.doubtful = false
	}
	cr.settleStrays(wk.name, lk.Token)
	cr.settleDeparted(now, wk)
	listed := make(map[job.Task]*Running, len(lk.Running))
	for at := range lk.Running {
		listed[lk.Running[at].Task] = &lk.Running[at]
	}
	cr.takeEnds(now, wk, lk.Ended)
	for _, rn := range lk.Running {
		cr.sawRunning(now, wk, rn)
	}
	for _, pl := range wk.placed {
		if listed[pl.task] != nil && listed[pl.task].Attempt == pl.attempt {
			continue
		}
		cr.missing(now, wk, pl, lk)
	}
	for tk := range wk.foreign {
		if listed[tk] == nil {
			delete(wk.foreign, tk)
		}
	}
	if first {
		cr.clearLeft(wk.info.ID)
	}
	if first || !wk.enlisted {
		cr.resolve(now, wk.info.ID, "looked at")
	}
}

// missing handles a placement that the worker does not list.
func (cr *Core) missing(now time.Time, wk *worker, pl *placement, lk PollResult) {
	switch {
	case pl.phase == uncertain && pl.token < lk.Token:
		// The worker has seen a higher token than the start's, so the start can never happen.
		cr.release(now, pl, "start without an answer did not happen")
	case (pl.phase == running || pl.phase == stopping) && !pl.acked.IsZero() && pl.acked.Before(lk.Sent) && len(lk.Ended) < listedMost:
		cr.release(now, pl, "not listed any more")
	}
}

// sawRunning takes one attempt that the worker lists as running.
func (cr *Core) sawRunning(now time.Time, wk *worker, rn Running) {
	pl := wk.places[rn.Task]
	if pl == nil {
		pl = cr.adopt(now, wk, rn)
	}
	if pl == nil || pl.attempt != rn.Attempt {
		if wk.foreign[rn.Task] == nil || wk.foreign[rn.Task].attempt != rn.Attempt {
			wk.foreign[rn.Task] = &foreignRun{attempt: rn.Attempt, since: now}
		}
		return
	}
	delete(wk.foreign, rn.Task)
	if pl.phase == starting || pl.phase == uncertain {
		pl.phase = running
		pl.acked = now
	}
	cr.proved(pl, wk.livedAt)
	cr.recordProgress(pl, wk.lookedAt, rn.Progress)
	pl.progress = rn.Progress
	pl.figure = rn.Metric
	if rn.Checkpoint != "" {
		pl.step.tasks[rn.Task.Index].checkpoint = rn.Checkpoint
	}
}

// adopt takes over an attempt that an earlier owner started, or returns nil if the task has no use for it.
func (cr *Core) adopt(now time.Time, wk *worker, rn Running) *placement {
	st := cr.findStep(rn.Task)
	if st == nil || st.job.ended() {
		return nil
	}
	ts := &st.tasks[rn.Task.Index]
	if ts.done || ts.placement != nil {
		return nil
	}
	ts.attempt = max(ts.attempt, rn.Attempt)
	pl := &placement{task: rn.Task, step: st, worker: wk, attempt: rn.Attempt, phase: running, token: cr.token(wk), room: st.spec.ResourceRequest(), ordered: now, acked: now, pace: 100, trial: ts.lost.suspected()}
	pl.noted = slices.Contains(ts.lost.open, wk.info.ID)
	ts.lost.close(wk.info.ID)
	if st.spec.BestEffort {
		// How far an earlier owner throttled it is not known.
		pl.pace = throttleUnknown
	}
	ts.placement = pl
	wk.put(pl)
	st.job.started = true
	return pl
}

// takeEnds takes ends in the order in which the worker numbers them.
func (cr *Core) takeEnds(now time.Time, wk *worker, ends []End) {
	for _, en := range ends {
		if en.Number <= wk.read {
			continue
		}
		wk.read = en.Number
		he := heldEnd{number: en.Number, end: en}
		if st := cr.findStep(en.Task); st != nil {
			cr.handleEnd(now, wk, st, en)
			he.js, he.gen = st.job, st.job.gen
		} else if js := cr.jobs[en.Task.Job]; js != nil {
			// Its run is over already, which is to be kept first.
			he.js, he.gen = js, js.gen
		} else {
			he.unknown = now
		}
		wk.held = append(wk.held, he)
	}
	cr.advance(now, wk)
}

// advance moves the acknowledgement past all ends whose effect is kept.
func (cr *Core) advance(now time.Time, wk *worker) {
	for len(wk.held) > 0 {
		he := &wk.held[0]
		if he.js == nil && !he.unknown.IsZero() && (now.Sub(he.unknown) < 2*foreignFor || now.Sub(cr.confirmed) > foreignFor) {
			// Its job may be on its way, the more so while the store does not answer.
			return
		}
		if he.js != nil && he.js.savedGen < he.gen {
			return
		}
		wk.observed = he.number
		wk.held = wk.held[1:]
	}
}
