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
	// inherited means that an earlier owner knew that the end is planned, whenever it comes. removalInherited means that an earlier owner had no failed call
	// to the worker when its registration was gone, which was removed at removedAt.
	inherited, removalInherited bool
	// current is what the next owner has to know if the worker has, or may have, tasks that end with it. stored is what the stored list of workers in use
	// says.
	current, stored PlannedEnd
}

// PlannedEnd is what the stored list of workers in use says of a planned end of a worker. Times are in milliseconds of the time of day.
type PlannedEnd struct {
	// Leaving means that the end of this incarnation is planned, whenever it comes.
	Leaving bool `json:"leaving,omitempty"`
	// Unregistered is since when this incarnation has run without its registration. Its end is planned if it comes bounds.drain_ms after that, or later.
	Unregistered int64 `json:"unregistered,omitempty"`
	// Ordered is when an order for the machine was about to be sent that ends this incarnation. Its end is planned if it comes at about that time.
	Ordered int64 `json:"ordered,omitempty"`
}

// NoteOrders records when this instance learned of orders for machines that are about to be sent and end the workers there. They concern the incarnation that
// ran at that time, of those known: neither one that started later nor one that had been replaced.
func (cr *Core) NoteOrders(orders map[WorkerName]time.Time) {
	if len(orders) == 0 {
		return
	}
	newest := map[WorkerName]*worker{}
	for _, wk := range cr.sortedWorkers {
		at, ordered := orders[wk.name]
		if !ordered || wk.info.ID.reusesName() && at.Before(cr.fromTimeOfDay(wk.info.ID.StartMillis())) {
			continue
		}
		if other := newest[wk.name]; other == nil || wk.info.ID.StartMillis() >= other.info.ID.StartMillis() {
			newest[wk.name] = wk
		}
	}
	for name, wk := range newest {
		wk.planned.orderedAt = latest(wk.planned.orderedAt, orders[name])
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
	if cr.outlives(now, wk) && aliveAt.After(wk.unregisteredAt) && cr.registrationsAt.After(wk.unregisteredAt) {
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
	pe.removedAt, pe.outlivedAt, pe.inherited, pe.removalInherited = time.Time{}, time.Time{}, false, false
	return pe
}

// inheritPlannedEnd takes over what an earlier owner knew of the end of a worker.
func (cr *Core) inheritPlannedEnd(now time.Time, wk *worker, stored PlannedEnd) {
	pe := &wk.planned
	pe.stored, pe.inherited = stored, stored.Leaving
	if stored.Unregistered != 0 && !wk.registered {
		pe.removedAt, pe.removalInherited = earliest(now, cr.fromTimeOfDay(stored.Unregistered)), true
	}
	if stored.Ordered != 0 {
		pe.orderedAt = latest(pe.orderedAt, earliest(now, cr.fromTimeOfDay(stored.Ordered)))
	}
}

// fromTimeOfDay returns the time on the owner's clock at milliseconds of the time of day.
func (cr *Core) fromTimeOfDay(millis int64) time.Time {
	return time.UnixMilli(millis).Add(-cr.clockOffset)
}

// outlives reports whether a worker that runs does so without its registration, and no outage of the store explains it.
func (cr *Core) outlives(now time.Time, wk *worker) bool {
	return cr.leaving(now, wk) || wk.planned.removalInherited && !wk.registered
}

// servedOn reports whether a worker ended no sooner after the removal of its registration than workers that leave do. A worker whose connections broke
// ran until then; one that fell silent, or has never answered this owner, may have ended any time since it was last known to run.
func (cr *Core) servedOn(wk *worker, failedAt time.Time) bool {
	pe := wk.planned
	if pe.removedAt.IsZero() {
		return false
	}
	ranUntil := pe.outlivedAt
	if wk.failedPolls > 0 && wk.connBroken && !wk.polledAt.IsZero() && cr.outlives(failedAt, wk) {
		ranUntil = failedAt
	}
	return ranUntil.Sub(pe.removedAt) >= cr.opts.DrainTime
}

// plannedEndReason says why the end of a worker, first noticed at a time, is known to have been planned. It is empty if it is not.
func (cr *Core) plannedEndReason(wk *worker, failedAt time.Time) string {
	if wk.planned.endsWithOrder(failedAt) {
		return "an order for its machine was sent"
	}
	return cr.lastingReason(wk, failedAt)
}

// endsWithOrder reports whether the end of a worker, first noticed at a time, comes with an order that ends it.
func (pe plannedEnd) endsWithOrder(failedAt time.Time) bool {
	return !pe.orderedAt.IsZero() && failedAt.After(pe.orderedAt.Add(-orderNoteDelay)) && failedAt.Before(pe.orderedAt.Add(orderEffectTime))
}

// lastingReason says why the end of a worker is known to be planned, whenever it comes from a time on. It is empty if it is not.
func (cr *Core) lastingReason(wk *worker, failedAt time.Time) string {
	switch pe := wk.planned; {
	case wk.info.Draining:
		return "worker was leaving"
	case pe.carriedOut:
		return "its machine carries out an order"
	case cr.servedOn(wk, failedAt):
		return "its registration had been removed while it ran"
	case pe.inherited:
		return "an earlier owner knew that it was leaving"
	}
	return ""
}

// failureNoticedAt returns when the first of the polls failed that have had no answer since. If none has, it returns now.
func (wk *worker) failureNoticedAt(now time.Time) time.Time {
	if wk.failedPolls > 0 {
		return wk.firstFailedAt
	}
	return now
}

// recordPlannedEnds stores what is known of planned ends of workers with tasks on them. The next owner may not see what this one has seen.
func (cr *Core) recordPlannedEnds(now time.Time) {
	outdated := false
	for _, wk := range cr.sortedWorkers {
		pe := &wk.planned
		pe.current = PlannedEnd{}
		if pe.stored != (PlannedEnd{}) || len(wk.placed) > 0 || len(wk.leaseExpired) > 0 {
			pe.current = cr.describePlannedEnd(now, wk)
		}
		outdated = outdated || wk.recorded && pe.current != pe.stored
	}
	if outdated {
		cr.orderRecordWorkers()
	}
}

// describePlannedEnd returns what the next owner has to know of a planned end of a worker. A worker that fails before bounds.drain_ms is over has not served
// on without its registration; the next owner could not tell that by itself.
func (cr *Core) describePlannedEnd(now time.Time, wk *worker) PlannedEnd {
	pe, failedAt := wk.planned, wk.failureNoticedAt(now)
	if cr.lastingReason(wk, failedAt) != "" {
		return PlannedEnd{Leaving: true}
	}
	var described PlannedEnd
	if wk.failedPolls == 0 && cr.outlives(now, wk) {
		described.Unregistered = cr.storedTimeOfDay(pe.removedAt, pe.stored.Unregistered)
	}
	if pe.endsWithOrder(failedAt) {
		described.Ordered = cr.storedTimeOfDay(pe.orderedAt, pe.stored.Ordered)
	}
	return described
}

// storedTimeOfDay returns a time as it is to be stored. The time of day is read anew for each plan, and what is stored is not written again for that.
func (cr *Core) storedTimeOfDay(at time.Time, stored int64) int64 {
	if stored != 0 && cr.fromTimeOfDay(stored).Sub(at).Abs() < deliveryMargin {
		return stored
	}
	return at.Add(cr.clockOffset).UnixMilli()
}

// releasedPlannedEnd returns what the next owner has to know of a planned end of a worker when this one releases the cell. A worker whose connections have not
// broken by then still runs.
func (cr *Core) releasedPlannedEnd(now time.Time, wk *worker) PlannedEnd {
	pe := wk.planned
	if !pe.removedAt.IsZero() && wk.failedPolls == 0 && !wk.polledAt.IsZero() && cr.outlives(now, wk) && now.Sub(pe.removedAt) >= cr.opts.DrainTime {
		return PlannedEnd{Leaving: true}
	}
	return pe.current
}
