package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// minAnswerTimeout is the minimum time that a call waits for an answer beyond the time for which the worker may hold it. A call that fails sooner
// had its connection broken.
const minAnswerTimeout = 300 * time.Millisecond

// HandlePoll handles the result of a poll.
func (cr *Core) HandlePoll(now time.Time, pr PollResult) {
	wk, ok := cr.workers[pr.Worker]
	if !ok {
		return
	}
	wk.polling = false
	switch pr.Outcome {
	case Done:
		cr.handleReport(now, wk, pr)
	case WrongIncarnation:
		cr.handleWorkerEnd(now, wk, "another incarnation answers", pr.Token)
	case Superseded:
		if !cr.handleSuperseded(wk, pr.Token) {
			wk.nextPoll = now
		}
	default:
		cr.handleUnanswered(now, wk, pr)
	}
}

// handleUnanswered handles a poll without an answer.
func (cr *Core) handleUnanswered(now time.Time, wk *worker, pr PollResult) {
	wk.failedPolls++
	wk.failedPollSentAt = pr.Sent
	wk.nextPoll = now.Add(min(maxPollBackoff, minPollBackoff<<min(wk.failedPolls-1, 4)))
	if wk.failedPolls == 1 {
		wk.firstFailedAt, wk.connBroken = pr.Received, pr.Received.Sub(pr.Sent) < pr.Wait+minAnswerTimeout
		if wk.connBroken {
			cr.recordConnBreak(wk.info.ID, wk.firstFailedAt)
		}
		cr.opts.Log(Decision{What: "worker silent", Worker: wk.info.ID, Token: pr.Token, Why: pr.Outcome.String(), PollAge: now.Sub(wk.polledAt)})
	}
	cr.saveAfterConnBreaks(wk)
}

// handleReport handles what a worker reports in its answer to a poll.
func (cr *Core) handleReport(now time.Time, wk *worker, pr PollResult) {
	wk.observeClock(pr.Clock, pr.Received)
	cr.link.recordAnswer(pr.Received)
	wk.endsCut = len(pr.Ended) >= cr.opts.MaxListedEnds
	// Attempts of jobs that were read before the worker's first answer, or while its polls failed, are unresolved until an answer lists all ends.
	wk.endsKnown = wk.endsKnown && wk.fenced && wk.failedPolls == 0
	settles := !wk.endsKnown && !wk.endsCut
	wk.failedPolls, wk.polledAt, wk.aliveAt = 0, pr.Received, latest(wk.aliveAt, pr.Sent)
	wk.nextPoll = now.Add(cr.opts.PollInterval)
	cr.noteOutlived(now, wk, pr)
	wk.confirmedAck = max(wk.confirmedAck, pr.AckedEnd)
	first := !wk.fenced
	if first {
		if wk.fencedAt.IsZero() {
			cr.extendInheritedLease(wk, pr.Received)
		}
		wk.busyAt, wk.fencedAt = now, pr.Received
	}
	wk.fenced = true
	if pr.Token == cr.token(wk) {
		wk.startUnsettled = false
	}
	if !wk.endsCut {
		cr.releaseSuspects(now, wk)
		cr.resolveLateStarts(wk.name, pr.Token)
		cr.resolveDeparted(now, wk)
	}
	listed := make(map[job.Task]*Running, len(pr.Running))
	for at := range pr.Running {
		listed[pr.Running[at].Task] = &pr.Running[at]
	}
	wk.listed = listed
	cr.handleEnds(now, wk, pr.Ended)
	wk.listed = nil
	for _, rn := range pr.Running {
		cr.handleRunning(now, wk, rn)
	}
	for _, pl := range wk.placed {
		if listed[pl.task] != nil && listed[pl.task].Attempt == pl.attempt {
			continue
		}
		cr.handleUnlisted(now, wk, pl, pr)
	}
	for tk := range wk.foreign {
		if listed[tk] == nil {
			delete(wk.foreign, tk)
		}
	}
	if wk.endsCut {
		cr.awaitFurtherEnds(now, wk)
	}
	if settles {
		wk.endsKnown, wk.endsKnownOnce = true, true
		cr.clearUnresolved(wk.info.ID)
	}
	if settles || !wk.recorded && !wk.endsCut {
		cr.resolve(now, wk.info.ID, "worker was polled")
	}
}

// awaitFurtherEnds keeps a worker unresolved that may have more ended attempts than it lists at once. It lists the others once the effect of these is
// saved and they are acknowledged. Leases there may have been renewed by this owner.
func (cr *Core) awaitFurtherEnds(now time.Time, wk *worker) {
	cr.urgentSave = true
	if until, unresolved := cr.unresolved[wk.info.ID]; unresolved {
		cr.unresolved[wk.info.ID] = latest(until, now.Add(cr.byWorkerClock(cr.opts.LeaseDuration)+deliveryMargin))
	}
}

// handleUnlisted handles a placement that the worker does not list as running. While the list of ended attempts may be incomplete, the attempt may
// have ended in any way.
func (cr *Core) handleUnlisted(now time.Time, wk *worker, pl *placement, pr PollResult) {
	switch {
	case wk.endsCut:
	case pl.phase == uncertain && pl.token < pr.Token:
		// The worker has seen a higher token than that of the start, so the start can no longer be carried out.
		cr.release(now, pl, "unanswered start was not carried out")
	case (pl.phase == running || pl.phase == stopping) && !pl.ackedAt.IsZero() && pl.ackedAt.Before(pr.Sent):
		cr.release(now, pl, "no longer listed by the worker")
	}
}

// handleRunning handles an attempt that the worker lists as running.
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
		pl.step.job.begun = true
	}
	cr.recordStarted(pl)
	cr.recordSurvival(pl, wk.aliveAt)
	cr.recordProgress(pl, wk.polledAt, rn.Progress)
	pl.progress = rn.Progress
	pl.metric = rn.Metric
	if rn.Checkpoint != "" {
		pl.step.tasks[rn.Task.Index].checkpoint = rn.Checkpoint
	}
}

// adoptRun takes over an attempt that an earlier owner started. It returns nil if the task does not need the attempt.
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
	pl := &placement{task: rn.Task, step: st, worker: wk, attempt: rn.Attempt, phase: running, token: cr.token(wk), room: st.spec.ResourceRequest(), orderedAt: now, ackedAt: now, throttle: 100, suspect: ts.losses.suspected()}
	// Once this owner has ordered a start of the task, an attempt with an unknown origin may be its own.
	pl.found = !ts.ordered
	pl.intentSaved = slices.Contains(ts.losses.unresolved, wk.info.ID)
	ts.losses.resolve(wk.info.ID)
	if st.spec.BestEffort {
		// The throttle set by an earlier owner is unknown.
		pl.throttle = throttleUnknown
	}
	ts.placement = pl
	wk.addPlacement(pl)
	st.job.started, st.job.begun = true, true
	return pl
}

// handleEnds handles the ended attempts that a worker lists, in the order of their numbers.
func (cr *Core) handleEnds(now time.Time, wk *worker, ends []End) {
	for _, en := range ends {
		if en.Number <= wk.lastEndRead {
			continue
		}
		wk.lastEndRead = en.Number
		ue := unackedEnd{number: en.Number, end: en}
		if st := cr.findStep(en.Task); st != nil {
			cr.handleEnd(now, wk, st, en)
			ue.job, ue.gen = st.job, st.job.gen
		} else if js := cr.jobs[en.Task.Job]; js != nil {
			// The run has already completed, which must be saved first.
			ue.job, ue.gen = js, js.gen
		} else {
			ue.unknownSince = now
		}
		wk.unackedEnds = append(wk.unackedEnds, ue)
	}
	cr.advanceAck(now, wk)
}

// advanceAck advances the acknowledgement past all ended attempts whose effect is saved.
func (cr *Core) advanceAck(now time.Time, wk *worker) {
	for len(wk.unackedEnds) > 0 {
		ue := &wk.unackedEnds[0]
		if ue.job == nil && !ue.unknownSince.IsZero() && (now.Sub(ue.unknownSince) < 2*foreignTaskGrace || now.Sub(cr.confirmedAt) > foreignTaskGrace) {
			// The job may not have arrived yet, in particular while the store does not answer.
			return
		}
		if ue.job != nil && ue.job.savedGen < ue.gen {
			return
		}
		wk.ackedEnd = ue.number
		wk.unackedEnds = wk.unackedEnds[1:]
	}
}
