package cell

import (
	"time"
)

// unpreparedFor is the pause before a task is started again whose payload could not be had.
const unpreparedFor = 200 * time.Millisecond

// overtaken handles a refusal for a higher token: the owner's own newer one, or another owner's.
func (cr *Core) overtaken(wk *worker, token Token) bool {
	if token < cr.token(wk) {
		return false
	}
	cr.lose(wk.info.ID, "a worker has seen a higher token")
	return true
}

// HandleOrder takes the result of a start, stop or pace.
func (cr *Core) HandleOrder(now time.Time, od OrderResult) {
	switch order := od.Order.(type) {
	case Start:
		cr.started(now, order, od)
	case Stop:
		cr.stopped(now, order, od)
	case Throttle:
		cr.throttled(now, order, od)
	}
}

func (cr *Core) started(now time.Time, order Start, od OrderResult) {
	wk := cr.workers[order.Worker]
	if wk == nil {
		return
	}
	wk.tick(od.Clock, od.Received)
	if od.Outcome == WrongIncarnation {
		cr.bury(now, wk, "another life answers", order.Token)
		return
	}
	pl := wk.places[order.Task]
	if pl == nil || pl.attempt != order.Attempt {
		return
	}
	if pl.phase != starting && !(pl.phase == stopping && pl.acked.IsZero()) {
		return
	}
	if od.Outcome != NoAnswer && od.Outcome != NotSent {
		cr.window.took(now, od.Received.Sub(pl.ordered))
	}
	switch od.Outcome {
	case Done:
		if pl.phase == starting {
			pl.phase = running
		}
		pl.acked, pl.seenAt = now, now
		wk.nextLook = earliest(wk.nextLook, now.Add(cr.opts.PollInterval))
	case NoAnswer:
		// It may still happen. A look under a higher token settles it.
		pl.phase, wk.doubtful = uncertain, true
		if pl.token == cr.token(wk) {
			wk.raise()
		}
		wk.nextLook = now
	case Superseded:
		if !cr.overtaken(wk, order.Token) {
			cr.release(now, pl, "an own higher token came first")
		}
	case AttemptEnded:
		// The number is used up; the next attempt has a higher one.
		cr.release(now, pl, "attempt known as ended")
	default:
		cr.refused(now, wk, pl, od.Outcome)
	}
}

// refused releases a start that the worker did not carry out.
func (cr *Core) refused(now time.Time, wk *worker, pl *placement, oc Outcome) {
	ts := &pl.step.tasks[pl.task.Index]
	switch oc {
	case NoRoom:
		wk.nextLook, wk.unwellUntil = now, now.Add(unwellFor)
	case Unhealthy:
		wk.unwellUntil = now.Add(unwellFor)
		ts.avoid = wk.info.ID
	case TicketInvalid:
		pl.step.tickets = nil
	case NotSent:
		wk.unwellUntil = now.Add(unwellFor)
		wk.nextLook = now
	case Invalid:
		ts.notBefore = now.Add(foreignFor)
	case PayloadMissing:
		ts.notBefore = now.Add(unpreparedFor)
	}
	if pl.attempt == ts.attempt {
		ts.attempt--
	}
	cr.release(now, pl, "start refused: "+oc.String())
}

func (cr *Core) stopped(now time.Time, order Stop, od OrderResult) {
	wk := cr.workers[order.Worker]
	if wk == nil {
		return
	}
	wk.tick(od.Clock, od.Received)
	switch od.Outcome {
	case WrongIncarnation:
		cr.bury(now, wk, "another life answers", order.Token)
	case Superseded:
		cr.overtaken(wk, order.Token)
	case Done:
		wk.nextLook = earliest(wk.nextLook, now.Add(cr.opts.PollInterval))
	}
}
