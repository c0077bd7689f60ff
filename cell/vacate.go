package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// servingProgress is the progress of a task that lasts once it serves.
const servingProgress = 100

// evictLongRunning moves tasks that last from workers that leave or whose machines are wanted, within their steps' disruption budgets.
// Short tasks are left to end.
func (cr *Core) evictLongRunning(now time.Time) {
	for _, wk := range cr.list {
		wanted := cr.cordons[wk.name]
		if !wanted && !cr.leaves(now, wk) {
			continue
		}
		for _, pl := range wk.placed {
			if pl.stopping || pl.phase != running || !pl.step.spec.LongRunning {
				continue
			}
			// A worker that leaves takes its tasks with it in any case. A task that was not at work when it was last looked at
			// may be by now, so it counts, too.
			if !wk.info.Draining && (pl.spared() || !cr.withinDisruptionBudget(pl)) {
				continue
			}
			pl.stopping, pl.why = true, "its worker is to be empty"
			cr.stop(now, wk, pl)
		}
	}
}

// withinDisruptionBudget reports whether one more task of a step may be away.
func (cr *Core) withinDisruptionBudget(pl *placement) bool {
	budget := 1
	if pl.step.spec.HasDisruptionBudget {
		budget = pl.step.spec.DisruptionBudget
	}
	away := 0
	for at := range pl.step.tasks {
		other := pl.step.tasks[at].placement
		if other == pl {
			continue
		}
		if other == nil || other.phase != running || other.stopping || other.progress < servingProgress || other.worker.fails > 0 || !cr.priorStopsFinished(other.worker) {
			away++
		}
	}
	return away < budget
}

// stopMargin is added to the time that a stop takes.
const stopMargin = 250 * time.Millisecond

// priorStopsFinished reports whether no stop of an earlier owner can still be under way on a worker: after the first look under this owner's
// token none begins, and one that had begun is over, and seen, within the time of a stop.
func (cr *Core) priorStopsFinished(wk *worker) bool {
	return wk.lookedAt.Sub(wk.fencedAt) > cr.opts.StopTimeout+stopMargin
}

// Throttling of tasks that take what is left, beside tasks that serve.
const (
	// throttleUnknown marks a throttle that an earlier owner may have set.
	throttleUnknown = -1
	// throttleAbove and releaseBelow are the shares of the latency objective at which the others are throttled and released.
	throttleAbove, releaseBelow = 0.85, 0.55
	// throttleReleaseStep is by how many percent they are released at a time.
	throttleReleaseStep = 10
	// throttleInterval is the time between two changes, in which the figures (means of half a second) follow.
	throttleInterval = 600 * time.Millisecond
	// throttleInitial is the throttle for one whose former throttle is not known.
	throttleInitial = 50
)

// throttleBestEffort throttles tasks that take what is left as far as the tasks that serve on the same worker need it.
func (cr *Core) throttleBestEffort(now time.Time) {
	for _, wk := range cr.list {
		worst := worstLatency(wk)
		for _, pl := range wk.placed {
			if !pl.step.spec.BestEffort || pl.phase != running || pl.stopping || wk.fails > 0 || pl.acked.IsZero() {
				continue
			}
			if now.Sub(pl.paceSent) < throttleInterval || now.Sub(pl.acked) < throttleInterval {
				continue
			}
			if next := nextThrottle(pl.pace, worst); next != pl.pace {
				pl.pace, pl.paceSent = next, now
				cr.opts.Log(Decision{What: "throttle", Task: pl.task, Attempt: pl.attempt, Worker: wk.info.ID, Why: "tail latency beside it", PollAge: now.Sub(wk.lookedAt)})
				cr.order(Throttle{Worker: wk.info.ID, Address: wk.info.Address, Token: cr.token(wk), Task: pl.task, Attempt: pl.attempt, Percent: next})
			}
		}
	}
}

// worstLatency is the highest share of its objective that a serving task's tail takes on a worker.
func worstLatency(wk *worker) float64 {
	worst := 0.0
	for _, pl := range wk.placed {
		if goal := pl.step.spec.LatencyObjective; goal > 0 && pl.phase == running {
			worst = max(worst, float64(pl.figure)/float64(goal.Milliseconds()))
		}
	}
	return worst
}

// nextThrottle is the throttle that follows from the worst tail latency as a share of its objective.
func nextThrottle(pace int, worst float64) int {
	switch {
	case pace == throttleUnknown:
		if worst == 0 {
			return 100
		}
		return throttleInitial
	case worst > 1:
		return 0
	case worst > throttleAbove:
		return pace / 2
	case worst < releaseBelow:
		return min(100, pace+throttleReleaseStep)
	}
	return pace
}

// throttled takes the result of a throttle.
func (cr *Core) throttled(now time.Time, order Throttle, od OrderResult) {
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
	default:
		if pl := wk.places[order.Task]; pl != nil && pl.attempt == order.Attempt {
			pl.pace = throttleUnknown
		}
	}
}

// Advice on placement.
const (
	// adviceMaxWorkers is how many workers are named in one question, so that the answer comes soon.
	adviceMaxWorkers = 8
	// adviceRetryInterval is the pause before the service is asked again for the same step.
	adviceRetryInterval = 300 * time.Millisecond
	// adviceMargin is how long before its end a ticket is not used any more.
	adviceMargin = 300 * time.Millisecond
)

// ensureTickets reports whether the step has tickets that hold; if not, it asks for some.
func (cr *Core) ensureTickets(now time.Time, st *step, usable []*candidate) bool {
	if len(st.tickets) > 0 && now.Add(adviceMargin).Before(st.ticketsExpireAt) {
		return true
	}
	st.tickets = nil
	if st.adviceRequested || now.Sub(st.adviceRequestedAt) < adviceRetryInterval {
		cr.wakeAt(st.adviceRequestedAt.Add(adviceRetryInterval))
		return false
	}
	ad := Advise{Job: st.job.spec.ID, Run: st.run, Step: st.index}
	named := 0
	// Another part of the workers is named each time, in case none of the last may run the step.
	for at := range usable {
		cd := usable[(at+st.adviceRequests*adviceMaxWorkers)%len(usable)]
		if named == adviceMaxWorkers {
			break
		}
		if st.spec.ResourceRequest().Fits(cd.info.Room) && (st.spec.Label == "" || hasLabel(cd.info.Labels, st.spec.Label)) {
			ad.Workers = append(ad.Workers, cd.info.ID)
			named++
		}
	}
	if named == 0 {
		return false
	}
	st.adviceRequests++
	st.adviceRequested, st.adviceRequestedAt = true, now
	cr.order(ad)
	return false
}

func hasLabel(labels []string, label string) bool {
	for _, lb := range labels {
		if lb == label {
			return true
		}
	}
	return false
}

// Advised takes the advice service's answer; no tickets mean that it did not answer, or allows none of the workers named.
func (cr *Core) Advised(now time.Time, ad Advise, tickets []Ticket, valid time.Duration) {
	st := cr.findStep(job.Task{Job: ad.Job, Run: ad.Run, Step: ad.Step})
	if st == nil {
		return
	}
	st.adviceRequested = false
	if len(tickets) == 0 {
		return
	}
	st.tickets = map[WorkerID]string{}
	for _, tk := range tickets {
		st.tickets[tk.Worker] = tk.Text
	}
	st.ticketsExpireAt = now.Add(valid)
}
