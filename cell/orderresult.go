package cell

import (
	"time"
)

// payloadRetryDelay is the delay before a task whose payload was not available is started again.
const payloadRetryDelay = 200 * time.Millisecond

// handleSuperseded handles an order refused because of a higher token, which is either a newer one of this owner or that of another owner. It
// reports whether another owner has taken over.
func (cr *Core) handleSuperseded(wk *worker, token Token) bool {
	if token < cr.token(wk) {
		return false
	}
	cr.markSuperseded(wk.info.ID, "a worker has seen a higher token")
	return true
}

// HandleOrder handles the result of a start, stop or throttle order.
func (cr *Core) HandleOrder(now time.Time, od OrderResult) {
	switch order := od.Order.(type) {
	case Start:
		cr.handleStart(now, order, od)
	case Stop:
		cr.handleStop(now, order, od)
	case Throttle:
		cr.throttled(now, order, od)
	}
}

func (cr *Core) handleStart(now time.Time, order Start, od OrderResult) {
	wk := cr.workers[order.Worker]
	if od.Outcome == WrongIncarnation {
		if wk != nil {
			cr.handleWorkerEnd(now, wk, "another incarnation answers", order.Token)
		}
		cr.settleLateStart(order)
		return
	}
	if wk == nil {
		return
	}
	wk.observeClock(od.Clock, od.Received)
	pl := wk.placements[order.Task]
	if pl == nil || pl.attempt != order.Attempt {
		return
	}
	if pl.phase != starting && !(pl.phase == stopping && pl.ackedAt.IsZero()) {
		return
	}
	if od.Outcome != NoAnswer && od.Outcome != NotSent {
		span := od.Received.Sub(pl.orderedAt)
		cr.startWindow.observe(now, span)
		cr.pace.countStart(span)
	}
	switch od.Outcome {
	case Done:
		if pl.phase == starting {
			pl.phase = running
		}
		pl.ackedAt, pl.seenAt = now, now
		pl.step.job.begun = true
		cr.recordStarted(pl)
		wk.nextPoll = earliest(wk.nextPoll, now.Add(cr.opts.PollInterval))
	case NoAnswer:
		// The start may still be carried out.
		cr.settleByPoll(now, wk, pl)
	case Superseded:
		if !cr.handleSuperseded(wk, order.Token) {
			cr.release(now, pl, "superseded by a newer token of this owner")
		}
	case AttemptEnded:
		if wk.endsCut || !wk.endsKnown {
			// The worker may not have listed that end yet, and the task may be done.
			cr.settleByPoll(now, wk, pl)
			return
		}
		// The attempt number is used up. The next attempt gets a higher one.
		cr.release(now, pl, "worker knows that the attempt has ended")
	default:
		cr.handleRefusedStart(now, wk, pl, od.Outcome)
	}
}

// settleByPoll leaves a start uncertain until a poll with a higher token tells what became of the attempt.
func (cr *Core) settleByPoll(now time.Time, wk *worker, pl *placement) {
	pl.phase, wk.startUnsettled = uncertain, true
	if pl.token == cr.token(wk) {
		wk.raiseToken()
	}
	wk.nextPoll = now
}

// handleRefusedStart releases a start that the worker did not carry out.
func (cr *Core) handleRefusedStart(now time.Time, wk *worker, pl *placement, oc Outcome) {
	ts := &pl.step.tasks[pl.task.Index]
	switch oc {
	case NoRoom:
		wk.nextPoll, wk.unhealthyUntil = now, now.Add(unhealthyBackoff)
	case Unhealthy:
		wk.unhealthyUntil = now.Add(unhealthyBackoff)
		ts.avoid = wk.info.ID
	case TicketInvalid:
		pl.step.tickets = nil
	case NotSent:
		wk.unhealthyUntil = now.Add(unhealthyBackoff)
		wk.nextPoll = now
	case Invalid:
		ts.notBefore = now.Add(foreignTaskGrace)
	case PayloadMissing:
		ts.notBefore = now.Add(payloadRetryDelay)
	}
	if pl.attempt == ts.attempt {
		ts.attempt--
	}
	cr.release(now, pl, "start refused: "+oc.String())
}

func (cr *Core) handleStop(now time.Time, order Stop, od OrderResult) {
	wk := cr.workers[order.Worker]
	if wk == nil {
		return
	}
	wk.observeClock(od.Clock, od.Received)
	switch od.Outcome {
	case WrongIncarnation:
		cr.handleWorkerEnd(now, wk, "another incarnation answers", order.Token)
	case Superseded:
		cr.handleSuperseded(wk, order.Token)
	case Done:
		wk.nextPoll = earliest(wk.nextPoll, now.Add(cr.opts.PollInterval))
	}
}
