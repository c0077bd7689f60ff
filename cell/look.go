package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// minAnswerTimeout is the least time that an answer is waited for beyond the time for which a worker may hold it back; a call that ends
// without one sooner was broken off.
const minAnswerTimeout = 300 * time.Millisecond

// HandlePoll takes the result of a look.
func (cr *Core) HandlePoll(now time.Time, lk PollResult) {
	wk, ok := cr.workers[lk.Worker]
	if !ok {
		return
	}
	wk.polling = false
	switch lk.Outcome {
	case Done:
		cr.handleReport(now, wk, lk)
	case WrongIncarnation:
		cr.handleWorkerEnd(now, wk, "another life answers", lk.Token)
	case Superseded:
		if !cr.handleSuperseded(wk, lk.Token) {
			wk.nextPoll = now
		}
	default:
		cr.handleUnanswered(now, wk, lk)
	}
}

// handleUnanswered takes a look that had no answer.
func (cr *Core) handleUnanswered(now time.Time, wk *worker, lk PollResult) {
	wk.failedPolls++
	wk.failedPollSentAt = lk.Sent
	wk.nextPoll = now.Add(min(maxPollBackoff, minPollBackoff<<min(wk.failedPolls-1, 4)))
	if wk.failedPolls == 1 {
		wk.firstFailedAt, wk.connBroken = lk.Received, lk.Received.Sub(lk.Sent) < lk.Wait+minAnswerTimeout
		if wk.connBroken {
			cr.recordConnBreak(wk.info.ID, wk.firstFailedAt)
		}
		cr.opts.Log(Decision{What: "worker silent", Worker: wk.info.ID, Token: lk.Token, Why: lk.Outcome.String(), PollAge: now.Sub(wk.polledAt)})
	}
	cr.saveAfterConnBreaks(wk)
}

// handleReport takes what a worker says of itself.
func (cr *Core) handleReport(now time.Time, wk *worker, lk PollResult) {
	wk.observeClock(lk.Clock, lk.Received)
	cr.link.recordAnswer(lk.Received)
	wk.failedPolls, wk.polledAt, wk.aliveAt = 0, lk.Received, latest(wk.aliveAt, lk.Sent)
	cr.releaseSuspects(now, wk)
	wk.nextPoll = now.Add(cr.opts.PollInterval)
	wk.confirmedAck = max(wk.confirmedAck, lk.AckedEnd)
	first := !wk.fenced
	if first {
		if wk.fencedAt.IsZero() {
			cr.extendInheritedLease(wk, lk.Received)
		}
		wk.busyAt, wk.fencedAt = now, lk.Received
	}
	wk.fenced = true
	if lk.Token == cr.token(wk) {
		wk.startUnsettled = false
	}
	cr.resolveLateStarts(wk.name, lk.Token)
	cr.resolveDeparted(now, wk)
	listed := make(map[job.Task]*Running, len(lk.Running))
	for at := range lk.Running {
		listed[lk.Running[at].Task] = &lk.Running[at]
	}
	cr.handleEnds(now, wk, lk.Ended)
	for _, rn := range lk.Running {
		cr.handleRunning(now, wk, rn)
	}
	for _, pl := range wk.placed {
		if listed[pl.task] != nil && listed[pl.task].Attempt == pl.attempt {
			continue
		}
		cr.handleUnlisted(now, wk, pl, lk)
	}
	for tk := range wk.foreign {
		if listed[tk] == nil {
			delete(wk.foreign, tk)
		}
	}
	if first {
		cr.clearUnresolved(wk.info.ID)
	}
	if first || !wk.recorded {
		cr.resolve(now, wk.info.ID, "looked at")
	}
}

// handleUnlisted handles a placement that the worker does not list.
func (cr *Core) handleUnlisted(now time.Time, wk *worker, pl *placement, lk PollResult) {
	switch {
	case pl.phase == uncertain && pl.token < lk.Token:
		// The worker has seen a higher token than the start's, so the start can never happen.
		cr.release(now, pl, "start without an answer did not happen")
	case (pl.phase == running || pl.phase == stopping) && !pl.ackedAt.IsZero() && pl.ackedAt.Before(lk.Sent) && len(lk.Ended) < maxListedEnds:
		cr.release(now, pl, "not listed any more")
	}
}

// handleRunning takes one attempt that the worker lists as running.
func (cr *Core) handleRunning(now time.Time, wk *worker, rn Running) {
	pl := wk.placements[rn.Task]
	if pl == nil {
		pl = cr.adoptRun(now, wk, rn)
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
		pl.ackedAt = now
	}
	cr.recordSurvival(pl, wk.aliveAt)
	cr.recordProgress(pl, wk.polledAt, rn.Progress)
	pl.progress = rn.Progress
	pl.metric = rn.Metric
	if rn.Checkpoint != "" {
		pl.step.tasks[rn.Task.Index].checkpoint = rn.Checkpoint
	}
}

// adoptRun takes over an attempt that an earlier owner started, or returns nil if the task has no use for it.
func (cr *Core) adoptRun(now time.Time, wk *worker, rn Running) *placement {
	st := cr.findStep(rn.Task)
	if st == nil || st.job.ended() {
		return nil
	}
	ts := &st.tasks[rn.Task.Index]
	if ts.done || ts.placement != nil {
		return nil
	}
	ts.attempt = max(ts.attempt, rn.Attempt)
	pl := &placement{task: rn.Task, step: st, worker: wk, attempt: rn.Attempt, phase: running, token: cr.token(wk), room: st.spec.ResourceRequest(), orderedAt: now, ackedAt: now, throttle: 100, suspect: ts.lost.suspected()}
	pl.intentSaved = slices.Contains(ts.lost.unresolved, wk.info.ID)
	ts.lost.resolve(wk.info.ID)
	if st.spec.BestEffort {
		// How far an earlier owner throttled it is not known.
		pl.throttle = throttleUnknown
	}
	ts.placement = pl
	wk.addPlacement(pl)
	st.job.started = true
	return pl
}

// handleEnds takes ends in the order in which the worker numbers them.
func (cr *Core) handleEnds(now time.Time, wk *worker, ends []End) {
	for _, en := range ends {
		if en.Number <= wk.lastEndRead {
			continue
		}
		wk.lastEndRead = en.Number
		he := unackedEnd{number: en.Number, end: en}
		if st := cr.findStep(en.Task); st != nil {
			cr.handleEnd(now, wk, st, en)
			he.job, he.gen = st.job, st.job.gen
		} else if js := cr.jobs[en.Task.Job]; js != nil {
			// Its run is over already, which is to be kept first.
			he.job, he.gen = js, js.gen
		} else {
			he.unknownSince = now
		}
		wk.unackedEnds = append(wk.unackedEnds, he)
	}
	cr.advanceAck(now, wk)
}

// advanceAck moves the acknowledgement past all ends whose effect is kept.
func (cr *Core) advanceAck(now time.Time, wk *worker) {
	for len(wk.unackedEnds) > 0 {
		he := &wk.unackedEnds[0]
		if he.job == nil && !he.unknownSince.IsZero() && (now.Sub(he.unknownSince) < 2*foreignTaskGrace || now.Sub(cr.confirmedAt) > foreignTaskGrace) {
			// Its job may be on its way, the more so while the store does not answer.
			return
		}
		if he.job != nil && he.job.savedGen < he.gen {
			return
		}
		wk.ackedEnd = he.number
		wk.unackedEnds = wk.unackedEnds[1:]
	}
}
