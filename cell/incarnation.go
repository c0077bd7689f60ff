package cell

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// incarnationSeparator separates the name of a worker from its start time in a WorkerID.
	incarnationSeparator = "~"
	// startTimeBase is the base of the start time in a WorkerID. It keeps rows and messages short, which name many workers.
	startTimeBase = 36
	// lateStartWindow is how long after it was sent an unanswered order may still be carried out. The platform's documentation only says seconds.
	lateStartWindow = 12 * time.Second
	// maxLateRun is the longest time that an attempt started so late runs without another lease, since workers cut longer leases down.
	maxLateRun = 10 * time.Second
)

// NewWorkerID returns the ID of the incarnation of a worker that started at a time, in milliseconds since 1970. The time is 0 if it is unknown
// and each incarnation has a name of its own.
func NewWorkerID(name WorkerName, born int64) WorkerID {
	if born == 0 && !strings.Contains(string(name), incarnationSeparator) {
		return WorkerID(name)
	}
	return WorkerID(string(name) + incarnationSeparator + strconv.FormatInt(born, startTimeBase))
}

// Name returns the name of the worker, which all its incarnations share.
func (id WorkerID) Name() WorkerName {
	name, _ := id.split()
	return name
}

// StartMillis returns when the incarnation started, in milliseconds since 1970, or 0 if that is unknown.
func (id WorkerID) StartMillis() int64 {
	_, born := id.split()
	return born
}

func (id WorkerID) split() (WorkerName, int64) {
	at := strings.LastIndex(string(id), incarnationSeparator)
	if at < 0 {
		return WorkerName(id), 0
	}
	born, err := strconv.ParseInt(string(id[at+len(incarnationSeparator):]), startTimeBase, 64)
	if err != nil {
		// The ID was not made by NewWorkerID and names no incarnation.
		return WorkerName(id), 0
	}
	return WorkerName(id[:at]), born
}

// reusesName reports whether the worker may start again under the same name, so that an order for this incarnation may reach another one.
func (id WorkerID) reusesName() bool { return id.StartMillis() != 0 }

// incarnations returns the known incarnations of a worker. There is usually one.
func (cr *Core) incarnations(name WorkerName) []*worker {
	var list []*worker
	for _, wk := range cr.sortedWorkers {
		if wk.name == name {
			list = append(list, wk)
		}
	}
	return list
}

// mayRunUnseen reports whether tasks of an earlier owner may run unseen on a worker.
func (cr *Core) mayRunUnseen(name WorkerName) bool {
	for id := range cr.unresolved {
		if id.Name() == name {
			return true
		}
	}
	return false
}

// tokenCounterOf returns the token counter for an incarnation. It continues the counter of former incarnations of the same name, so that the
// first poll of the new one invalidates unanswered orders to them.
func (cr *Core) tokenCounterOf(id WorkerID) *Token {
	name := id.Name()
	counter, former := cr.tokenCounters[name]
	if !former {
		counter = new(Token)
		cr.tokenCounters[name] = counter
		return counter
	}
	*counter++
	return counter
}

// lateStart is a start that was unanswered when its worker's incarnation ended. The next incarnation has seen no token that would invalidate it.
type lateStart struct {
	name WorkerName
	// former is the incarnation to which the start was sent.
	former    WorkerRef
	token     Token
	task      *taskState
	job       *jobState
	expiresAt time.Time
}

// trackLateStart keeps a task with an unanswered start from being started elsewhere until no incarnation of the worker can carry out that start
// any more.
func (cr *Core) trackLateStart(now time.Time, pl *placement) {
	until := pl.orderedAt.Add(lateStartWindow)
	if !pl.ackedAt.IsZero() || !pl.worker.info.ID.reusesName() || !now.Before(until) {
		return
	}
	ls := &lateStart{name: pl.worker.name, former: pl.worker.endedRef(), token: pl.token, task: &pl.step.tasks[pl.task.Index], job: pl.step.job, expiresAt: until}
	ls.task.lateStart = ls
	cr.lateStarts = append(cr.lateStarts, ls)
	for _, wk := range cr.incarnations(ls.name) {
		if wk != pl.worker && wk.fenced && wk.endsKnown {
			cr.resolveLateStarts(ls.name, cr.token(wk))
		}
	}
}

// settleLateStart releases a task whose start was answered by another incarnation: it was not carried out and will not be. Without that the
// task would wait for an incarnation under the name of a worker that may have come back under another one.
func (cr *Core) settleLateStart(order Start) {
	cr.lateStarts = slices.DeleteFunc(cr.lateStarts, func(ls *lateStart) bool {
		st := cr.findStep(order.Task)
		if st == nil || ls.task != &st.tasks[order.Task.Index] || ls.task.lateStart != ls || ls.former.ID != order.Worker || ls.token != order.Token {
			return false
		}
		ls.task.lateStart, ls.job.fullyPlaced = nil, false
		cr.listOutdated = true
		return true
	})
}

// resolveLateStarts releases the tasks whose late starts are void because an incarnation of the worker has seen a higher token.
func (cr *Core) resolveLateStarts(name WorkerName, seen Token) {
	if len(cr.lateStarts) == 0 {
		return
	}
	cr.lateStarts = slices.DeleteFunc(cr.lateStarts, func(ls *lateStart) bool {
		if ls.task.lateStart != ls || ls.job.ended() {
			return true
		}
		if ls.name != name || ls.token >= seen {
			return false
		}
		ls.task.lateStart, ls.job.fullyPlaced = nil, false
		cr.listOutdated = true
		return true
	})
}

// endedRef returns a reference to the worker's incarnation that marks it as ended.
func (wk *worker) endedRef() WorkerRef {
	return WorkerRef{ID: wk.info.ID, Address: wk.info.Address, Machine: wk.info.Machine, PlannedEnd: wk.planned.current, Ended: true}
}

// lateStartUntil returns until when a start sent to an incarnation may be carried out by the next one, or zero if there is none.
func (cr *Core) lateStartUntil(id WorkerID) time.Time {
	var until time.Time
	for _, ls := range cr.lateStarts {
		if ls.former.ID == id {
			until = latest(until, ls.expiresAt)
		}
	}
	return until
}

// expireLateStarts removes late starts that no incarnation can carry out any more.
func (cr *Core) expireLateStarts(now time.Time) {
	cr.lateStarts = slices.DeleteFunc(cr.lateStarts, func(ls *lateStart) bool {
		if ls.task.lateStart == ls && (now.Before(ls.expiresAt) || cr.mayRunLate(now, ls.former.ID, ls.expiresAt)) {
			return false
		}
		if ls.task.lateStart == ls {
			ls.task.lateStart, ls.job.fullyPlaced = nil, false
		}
		cr.listOutdated = true
		return true
	})
}

// recordDeparture records that a worker of earlier owners has ended. Their attempts on it are over, but its next incarnation may still carry out
// their orders, or may have done so before this owner knew of it. The worker remains unresolved until the ownership is confirmed, since a later
// owner may have seen ended attempts.
func (cr *Core) recordDeparture(now time.Time, wk *worker) {
	at, unresolved := cr.unresolved[wk.info.ID]
	if !unresolved {
		return
	}
	resolveAt := now
	if wk.info.ID.reusesName() && !cr.movedWorkers[wk.info.ID] {
		resolveAt = cr.ordersLateUntil(now, wk, now.Add(lateStartWindow))
		if _, known := cr.departed[wk.info.ID]; known {
			resolveAt = at
		}
	}
	for _, next := range cr.incarnations(wk.name) {
		if next != wk && next.endsKnownOnce {
			resolveAt = now
		}
	}
	cr.unresolved[wk.info.ID] = resolveAt
	cr.departed[wk.info.ID] = cr.departedRef(wk)
}

// resolveDeparted resolves former incarnations of a worker that has answered a poll. It carries out no more orders of earlier owners, and has
// listed the attempts that it started before.
func (cr *Core) resolveDeparted(now time.Time, wk *worker) {
	for id := range cr.departed {
		if id.Name() == wk.name && id != wk.info.ID && cr.workers[id] == nil {
			cr.unresolved[id] = earliest(cr.unresolved[id], now)
		}
	}
}

// mayRunLate reports whether a later incarnation of the worker, which has not listed all its ended attempts yet, may have carried out an order to
// the former one before a given time, and may still be running the attempt.
func (cr *Core) mayRunLate(now time.Time, id WorkerID, until time.Time) bool {
	if !id.reusesName() || now.Sub(until) >= maxLateRun {
		return false
	}
	for _, wk := range cr.incarnations(id.Name()) {
		if wk.info.ID != id && wk.registered && !wk.endsKnownOnce {
			return true
		}
	}
	return false
}

// extendInheritedLease assumes that an order to the former incarnation has extended leases on a worker that started recently. The order may have
// been carried out before the first poll. Its lease time is on the former incarnation's clock, so only the maximum lease bounds it.
func (cr *Core) extendInheritedLease(wk *worker, polledAt time.Time) {
	if !wk.info.ID.reusesName() {
		return
	}
	startedAt := time.UnixMilli(wk.info.ID.StartMillis()).Add(-cr.clockOffset)
	last := earliest(startedAt.Add(lateStartWindow), polledAt)
	wk.leaseEnd = latest(wk.leaseEnd, last.Add(cr.byWorkerClock(maxLateRun)+deliveryMargin))
}
