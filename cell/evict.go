package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// servingProgress is the progress reported by a long-running task once it serves.
const servingProgress = 100

// evictLongRunning moves long-running tasks off workers that leave or whose machines are wanted, within the disruption budgets of their steps.
// Short tasks run to their end.
func (cr *Core) evictLongRunning(now time.Time) {
	for _, wk := range cr.sortedWorkers {
		wanted := cr.cordons[wk.name]
		if !wanted && !cr.leaving(now, wk) {
			continue
		}
		for _, pl := range wk.placed {
			if pl.stopping || pl.phase != running || !pl.step.spec.LongRunning {
				continue
			}
			// The tasks of a draining worker end with it in any case, so the budget does not apply. Otherwise a task that was not serving at
			// the last poll may serve by now and needs the budget as well.
			if !wk.info.Draining && (pl.exemptFromStop() || !cr.withinDisruptionBudget(pl)) {
				continue
			}
			pl.stopping, pl.stopReason = true, "its worker is being drained"
			cr.stop(now, wk, pl)
		}
	}
}

// withinDisruptionBudget reports whether one more task of the step may be down.
func (cr *Core) withinDisruptionBudget(pl *placement) bool {
	budget := 1
	if pl.step.spec.HasDisruptionBudget {
		budget = pl.step.spec.DisruptionBudget
	}
	down := 0
	for at := range pl.step.tasks {
		other := pl.step.tasks[at].placement
		if other == pl {
			continue
		}
		if other == nil || other.phase != running || other.stopping || other.progress < servingProgress || other.worker.failedPolls > 0 || !cr.priorStopsFinished(other.worker) {
			down++
		}
	}
	return down < budget
}

// stopMargin is added to the duration of a stop.
const stopMargin = 250 * time.Millisecond

// priorStopsFinished reports whether no stop ordered by an earlier owner can still be in progress on a worker. No such stop begins after the
// first poll with this owner's token, and one that had begun is finished and visible within the duration of a stop.
func (cr *Core) priorStopsFinished(wk *worker) bool {
	return wk.polledAt.Sub(wk.fencedAt) > cr.opts.MaxStopTime+stopMargin
}

// Throttling of best-effort tasks that share a worker with serving tasks.
const (
	// throttleUnknown marks an attempt whose throttle may have been set by an earlier owner.
	throttleUnknown = -1
	// throttleAbove and releaseBelow are the shares of the latency objective at which best-effort tasks are throttled and released.
	throttleAbove, releaseBelow = 0.85, 0.55
	// throttleReleaseStep is the increase of the throttle per release, in percent.
	throttleReleaseStep = 10
	// throttleInterval is the minimum interval between two changes. The latency metrics are means of half a second and need this time to
	// follow.
	throttleInterval = 600 * time.Millisecond
	// throttleInitial is the throttle set on an attempt whose current throttle is unknown, in percent.
	throttleInitial = 50
)

// throttleBestEffort throttles best-effort tasks as far as the serving tasks on the same worker require it.
func (cr *Core) throttleBestEffort(now time.Time) {
	for _, wk := range cr.sortedWorkers {
		worst := worstLatency(wk)
		for _, pl := range wk.placed {
			if !pl.step.spec.BestEffort || pl.phase != running || pl.stopping || wk.failedPolls > 0 || pl.ackedAt.IsZero() {
				continue
			}
			if now.Sub(pl.throttleSentAt) < throttleInterval || now.Sub(pl.ackedAt) < throttleInterval {
				continue
			}
			if next := nextThrottle(pl.throttle, worst); next != pl.throttle {
				pl.throttle, pl.throttleSentAt = next, now
				cr.opts.Log(Decision{What: "throttle", Task: pl.task, Attempt: pl.attempt, Worker: wk.info.ID, Why: "tail latency of serving tasks on the same worker", PollAge: now.Sub(wk.polledAt)})
				cr.order(Throttle{Worker: wk.info.ID, Address: wk.info.Address, Token: cr.token(wk), Task: pl.task, Attempt: pl.attempt, Percent: next})
			}
		}
	}
}

// worstLatency returns the highest tail latency of the serving tasks on a worker, as a share of the objective.
func worstLatency(wk *worker) float64 {
	worst := 0.0
	for _, pl := range wk.placed {
		if goal := pl.step.spec.LatencyObjective; goal > 0 && pl.phase == running {
			worst = max(worst, float64(pl.metric)/float64(goal.Milliseconds()))
		}
	}
	return worst
}

// nextThrottle returns the throttle for the worst tail latency, given as a share of its objective.
func nextThrottle(throttle int, worst float64) int {
	switch {
	case throttle == throttleUnknown:
		if worst == 0 {
			return 100
		}
		return throttleInitial
	case worst > 1:
		return 0
	case worst > throttleAbove:
		return throttle / 2
	case worst < releaseBelow:
		return min(100, throttle+throttleReleaseStep)
	}
	return throttle
}

// throttled handles the result of a throttle order.
func (cr *Core) throttled(now time.Time, order Throttle, od OrderResult) {
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
	default:
		if pl := wk.placements[order.Task]; pl != nil && pl.attempt == order.Attempt {
			pl.throttle = throttleUnknown
		}
	}
}

// Placement advice.
const (
	// adviceMaxWorkers is the maximum number of workers in one advice request, so that the answer arrives soon.
	adviceMaxWorkers = 8
	// adviceRetryInterval is the minimum interval between requests for the same step.
	adviceRetryInterval = 300 * time.Millisecond
	// adviceMargin is how long before its expiry a ticket is no longer used.
	adviceMargin = 300 * time.Millisecond
)

// ensureTickets reports whether the step has valid tickets. If not, it requests advice.
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
	// Each request names other workers, in case none of the previous ones may run the step.
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

// Advised handles an answer of the advice service. An answer without tickets means that the service did not answer or allows none of the
// workers.
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
