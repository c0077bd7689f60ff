package cell

import "time"

// Planned ends of workers. A worker that ends as planned says nothing about the tasks that end with it, however often that happens to a task. Only what
// shows that the end was planned exempts it: that a machine is due for maintenance, or that a registration is gone, ends no worker by itself.

const (
	// orderNoteDelay is how long after the end of a worker the note of the order that ended it may arrive, since the store delivers it.
	orderNoteDelay = 3 * time.Second
	// orderEffectTime is how long after its note an order may end the worker. An order without an answer may be carried out seconds later.
	orderEffectTime = lateStartWindow
)

// plannedEnd is what is known of a planned end of a worker.
type plannedEnd struct {
	// orderedAt is when this owner learned that an order for the machine was about to be sent that ends its worker, or zero.
	orderedAt time.Time
	// carriedOut means that the machine was seen to carry out such an order when the worker had ended.
	carriedOut bool
	// removedAt is the earliest time at which the registration is taken to have been removed that is gone now. outlivedAt is when the worker is last known to have
	// run although that was known, and no outage of the store explains it.
	removedAt, outlivedAt time.Time
	// inherited means that an earlier owner knew that the end was planned. known means that this owner has found it to be, and the worker has, or may
	// have, tasks that end with it. stored means that the stored list of workers in use says so.
	inherited, known, stored bool
}

// NoteOrders records when this instance learned of orders for machines that are about to be sent and end the workers there. An incarnation that started
// later is not concerned.
func (cr *Core) NoteOrders(orders map[WorkerName]time.Time) {
	if len(orders) == 0 {
		return
	}
	for _, wk := range cr.sortedWorkers {
		at, ordered := orders[wk.name]
		if id := wk.info.ID; !ordered || id.reusesName() && at.Before(time.UnixMilli(id.StartMillis()).Add(-cr.clockOffset)) {
			continue
		}
		wk.planned.orderedAt = latest(wk.planned.orderedAt, at)
	}
}

// WorkerEndedByOrder records that an incarnation of a worker has ended because its machine carries out an order.
func (cr *Core) WorkerEndedByOrder(now time.Time, id WorkerID) {
	if wk, ok := cr.workers[id]; ok {
		wk.planned.carriedOut = true
		cr.WorkerEnded(now, id)
	}
}

// PlannedEnd says why the end of a worker at a time would be a planned one. It is empty if it would not be, or the worker is unknown.
func (cr *Core) PlannedEnd(id WorkerID, at time.Time) string {
	if wk, ok := cr.workers[id]; ok {
		return cr.plannedEndReason(wk, at)
	}
	return ""
}

// noteOutlived records that a worker runs on without its registration: it leaves. The registration of a worker that crashed stays for some heartbeats.
func (cr *Core) noteOutlived(now time.Time, wk *worker, pr PollResult) {
	aliveAt := pr.Sent
	if len(pr.Ended) == 0 {
		// The worker held the answer for as long as it was asked to.
		aliveAt = earliest(pr.Received, pr.Sent.Add(time.Duration(float64(pr.Wait)*(1-cr.opts.MaxClockDrift))))
	}
	if cr.leaving(now, wk) && aliveAt.After(wk.unregisteredAt) && cr.registrationsAt.After(wk.unregisteredAt) {
		wk.planned.outlivedAt = aliveAt
	}
}

// unregistered returns what is known of a worker whose registration was removed at a time.
func (pe plannedEnd) unregistered(removedAt time.Time) plannedEnd {
	pe.removedAt = removedAt
	return pe
}

// registered returns what is known of a worker that has registered, perhaps again.
func (pe plannedEnd) registered() plannedEnd {
	pe.removedAt, pe.outlivedAt, pe.inherited = time.Time{}, time.Time{}, false
	return pe
}

// servedOn reports whether a worker ended no sooner after the removal of its registration than workers that leave do. A worker whose connections broke
// ran until then; one that fell silent may have ended any time since it was last known to run.
func (cr *Core) servedOn(wk *worker, failedAt time.Time) bool {
	pe := wk.planned
	if pe.removedAt.IsZero() {
		return false
	}
	ranUntil := pe.outlivedAt
	if wk.failedPolls > 0 && wk.connBroken && cr.leaving(failedAt, wk) {
		ranUntil = failedAt
	}
	return ranUntil.Sub(pe.removedAt) >= cr.opts.DrainTime
}

// plannedEndReason says why the end of a worker, first noticed at a time, is known to have been planned. It is empty if it is not.
func (cr *Core) plannedEndReason(wk *worker, failedAt time.Time) string {
	switch pe := wk.planned; {
	case wk.info.Draining:
		return "worker was leaving"
	case pe.carriedOut:
		return "its machine carries out an order"
	case !pe.orderedAt.IsZero() && failedAt.After(pe.orderedAt.Add(-orderNoteDelay)) && failedAt.Before(pe.orderedAt.Add(orderEffectTime)):
		return "an order for its machine was sent"
	case cr.servedOn(wk, failedAt):
		return "its registration had been removed while it ran"
	case pe.inherited:
		return "an earlier owner knew that it was leaving"
	}
	return ""
}

// recordPlannedEnds stores which workers with tasks on them end as planned. The next owner may not see what this one has seen.
func (cr *Core) recordPlannedEnds(now time.Time) {
	outdated := false
	for _, wk := range cr.sortedWorkers {
		affected := wk.planned.stored || len(wk.placed) > 0 || len(wk.leaseExpired) > 0
		wk.planned.known = affected && (!wk.planned.outlivedAt.IsZero() || cr.plannedEndReason(wk, now) != "")
		outdated = outdated || wk.planned.known && wk.recorded && !wk.planned.stored
	}
	if outdated {
		cr.orderRecordWorkers()
	}
}
