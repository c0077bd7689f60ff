package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// atWork is the progress of a task that lasts once it serves.
const atWork = 100

// vacate moves tasks that last from workers that leave or whose machines are wanted, within their steps' disruption budgets.
// Short tasks are left to end.
func (cr *Core) vacate(now time.Time) {
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
			if !wk.info.Draining && (pl.spared() || !cr.mayDisturb(pl)) {
				continue
			}
			pl.stopping, pl.why = true, "its worker is to be empty"
			cr.stop(now, wk, pl)
		}
	}
}

// mayDisturb reports whether one more task of a step may be away.
func (cr *Core) mayDisturb(pl *placement) bool {
	budget := 1
	if pl.step.spec.HasDisruptionBudget {
		budget = pl.step.spec.DisruptionBudget
	}
	away := 0
	for at := range pl.step.tasks {
		other := pl.step.tasks[at].place
		if other == pl {
			continue
		}
		if other == nil || other.phase != running || other.stopping || other.progress < atWork || other.worker.fails > 0 || !cr.calm(other.worker) {
			away++
		}
	}
	return away < budget
}

// stopMargin is added to the time that a stop takes.
const stopMargin = 250 * time.Millisecond

// calm reports whether no stop of an earlier owner can still be under way on a worker: after the first look under this owner's
// token none begins, and one that had begun is over, and seen, within the time of a stop.
func (cr *Core) calm(wk *worker) bool {
	return wk.lookedAt.Sub(wk.fencedAt) > cr.opts.StopTimeout+stopMargin
}

// Throttling of tasks that take what is left, beside tasks that serve.
const (
	// paceUnknown marks a throttle that an earlier owner may have set.
	paceUnknown = -1
	// paceDownAt and paceUpAt are the shares of the latency objective at which the others are throttled and released.
	paceDownAt, paceUpAt = 0.85, 0.55
	// paceStep is by how many percent they are released at a time.
	paceStep = 10
	// paceGap is the time between two changes, in which the figures (means of half a second) follow.
	paceGap = 600 * time.Millisecond
	// paceStart is the throttle for one whose former throttle is not known.
	paceStart = 50
)

// share throttles tasks that take what is left as far as the tasks that serve on the same worker need it.
func (cr *Core) share(now time.Time) {
	for _, wk := range cr.list {
		worst := worstLatency(wk)
		for _, pl := range wk.placed {
			if !pl.step.spec.BestEffort || pl.phase != running || pl.stopping || wk.fails > 0 || pl.acked.IsZero() {
				continue
			}
			if now.Sub(pl.paceSent) < paceGap || now.Sub(pl.acked) < paceGap {
				continue
			}
			if next := nextPace(pl.pace, worst); next != pl.pace {
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

// nextPace is the throttle that follows from the worst tail latency as a share of its objective.
func nextPace(pace int, worst float64) int {
	switch {
	case pace == paceUnknown:
		if worst == 0 {
			return 100
		}
		return paceStart
	case worst > 1:
		return 0
	case worst > paceDownAt:
		return pace / 2
	case worst < paceUpAt:
		return min(100, pace+paceStep)
	}
	return pace
}

// paced takes the result of a throttle.
func (cr *Core) paced(now time.Time, order Throttle, od OrderResult) {
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
			pl.pace = paceUnknown
		}
	}
}

// Advice on placement.
const (
	// adviceWorkers is how many workers are named in one question, so that the answer comes soon.
	adviceWorkers = 8
	// adviceAgain is the pause before the service is asked again for the same step.
	adviceAgain = 300 * time.Millisecond
	// adviceMargin is how long before its end a ticket is not used any more.
	adviceMargin = 300 * time.Millisecond
)

// advised reports whether the step has tickets that hold; if not, it asks for some.
func (cr *Core) advised(now time.Time, st *step, usable []*candidate) bool {
	if len(st.tickets) > 0 && now.Add(adviceMargin).Before(st.ticketsUntil) {
		return true
	}
	st.tickets = nil
	if st.asking || now.Sub(st.askedAt) < adviceAgain {
		cr.wakeAt(st.askedAt.Add(adviceAgain))
		return false
	}
	ad := Advise{Job: st.job.spec.ID, Run: st.run, Step: st.at}
	named := 0
	// Another part of the workers is named each time, in case none of the last may run the step.
	for at := range usable {
		cd := usable[(at+st.questions*adviceWorkers)%len(usable)]
		if named == adviceWorkers {
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
	st.questions++
	st.asking, st.askedAt = true, now
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
	st := cr.find(job.Task{Job: ad.Job, Run: ad.Run, Step: ad.Step})
	if st == nil {
		return
	}
	st.asking = false
	if len(tickets) == 0 {
		return
	}
	st.tickets = map[WorkerID]string{}
	for _, tk := range tickets {
		st.tickets[tk.Worker] = tk.Text
	}
	st.ticketsUntil = now.Add(valid)
}
