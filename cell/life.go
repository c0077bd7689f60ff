package cell

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// incarnationSeparator parts a worker's name from when its life began, in the name of the life.
	incarnationSeparator = "~"
	// startTimeBase is the base of that number, so that rows and messages, which name many lives, stay short.
	startTimeBase = 36
	// lateStartWindow is for how long after it was given an order without an answer may be carried out; the users' pages say seconds.
	lateStartWindow = 12 * time.Second
	// maxLateRun is the longest time that what was carried out so late then runs without another lease: workers cut a longer one down.
	maxLateRun = 10 * time.Second
)

// NewWorkerID names a life of a worker by when it began, in milliseconds since 1970; 0 where that is not told and each life has a name of its own.
func NewWorkerID(name WorkerName, born int64) WorkerID {
	if born == 0 && !strings.Contains(string(name), incarnationSeparator) {
		return WorkerID(name)
	}
	return WorkerID(string(name) + incarnationSeparator + strconv.FormatInt(born, startTimeBase))
}

// Name is the worker's, whatever its life.
func (id WorkerID) Name() WorkerName {
	name, _ := id.split()
	return name
}

// StartMillis is when the life began, in milliseconds since 1970; 0 if that is not told.
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
		// A name that some row or message made up: it is nobody's life.
		return WorkerName(id), 0
	}
	return WorkerName(id[:at]), born
}

// reusesName reports whether the worker may start again under the name that this life has, so that an order meant for this life may reach another.
func (id WorkerID) reusesName() bool { return id.StartMillis() != 0 }

// incarnations are those of a worker that are known of, as a rule one.
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

// tokenCounterOf is that of the tokens for a life. It goes on from that of the former lives under the name, so that the first look at a new one makes
// void there what was ordered of them without an answer.
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

// lateStart is a start that had no answer before its worker's life was over. The next life under the name knows nothing that would make it void.
type lateStart struct {
	name WorkerName
	// former is the life that it was ordered of.
	former    WorkerRef
	token     Token
	task      *taskState
	job       *jobState
	expiresAt time.Time
}

// trackLateStart keeps a task whose start had no answer from being started elsewhere until no life of the worker can carry that start out any more.
func (cr *Core) trackLateStart(now time.Time, pl *placement) {
	until := pl.orderedAt.Add(lateStartWindow)
	if !pl.ackedAt.IsZero() || !pl.worker.info.ID.reusesName() || !now.Before(until) {
		return
	}
	sy := &lateStart{name: pl.worker.name, former: pl.worker.endedRef(), token: pl.token, task: &pl.step.tasks[pl.task.Index], job: pl.step.job, expiresAt: until}
	sy.task.stray = sy
	cr.lateStarts = append(cr.lateStarts, sy)
	for _, wk := range cr.incarnations(sy.name) {
		if wk != pl.worker && wk.fenced {
			cr.resolveLateStarts(sy.name, cr.token(wk))
		}
	}
}

// resolveLateStarts lets the tasks go on whose stray starts are void, since a life under the name has seen a higher token.
func (cr *Core) resolveLateStarts(name WorkerName, seen Token) {
	if len(cr.lateStarts) == 0 {
		return
	}
	cr.lateStarts = slices.DeleteFunc(cr.lateStarts, func(sy *lateStart) bool {
		if sy.task.stray != sy || sy.job.ended() {
			return true
		}
		if sy.name != name || sy.token >= seen {
			return false
		}
		sy.task.stray, sy.job.fullyPlaced = nil, false
		cr.rowOutdated = true
		return true
	})
}

// endedRef is a worker's life as one that is known to be over.
func (wk *worker) endedRef() WorkerRef {
	return WorkerRef{ID: wk.info.ID, Address: wk.info.Address, Machine: wk.info.Machine, Ended: true}
}

// lateStartUntil is until when a start that was ordered of a life may be carried out by the next one; zero for none.
func (cr *Core) lateStartUntil(id WorkerID) time.Time {
	var until time.Time
	for _, sy := range cr.lateStarts {
		if sy.former.ID == id {
			until = latest(until, sy.expiresAt)
		}
	}
	return until
}

// expireLateStarts forgets strays that no life can carry out any more.
func (cr *Core) expireLateStarts(now time.Time) {
	cr.lateStarts = slices.DeleteFunc(cr.lateStarts, func(sy *lateStart) bool {
		if sy.task.stray == sy && (now.Before(sy.expiresAt) || cr.mayRunLate(now, sy.former.ID, sy.expiresAt)) {
			return false
		}
		if sy.task.stray == sy {
			sy.task.stray, sy.job.fullyPlaced = nil, false
		}
		cr.rowOutdated = true
		return true
	})
}

// recordDeparture notes that the life of a worker of earlier owners has ended. What they started there is over, but its next life may carry out what they
// ordered, or may have done so before this owner knew of it. It waits to be confirmed in any case, since a later owner may have taken note of ends.
func (cr *Core) recordDeparture(now time.Time, wk *worker) {
	at, open := cr.unresolved[wk.info.ID]
	if !open {
		return
	}
	over := now
	if wk.info.ID.reusesName() && !cr.movedWorkers[wk.info.ID] {
		over = now.Add(lateStartWindow)
		if _, known := cr.departed[wk.info.ID]; known {
			over = at
		}
	}
	for _, next := range cr.incarnations(wk.name) {
		if next != wk && !next.fencedAt.IsZero() {
			over = now
		}
	}
	cr.unresolved[wk.info.ID], cr.departed[wk.info.ID] = over, wk.endedRef()
}

// resolveDeparted resolves former lives of a worker that has answered a look: it does nothing any more that was ordered by earlier owners, and has
// listed what it did before.
func (cr *Core) resolveDeparted(now time.Time, wk *worker) {
	for id := range cr.departed {
		if id.Name() == wk.name && id != wk.info.ID && cr.workers[id] == nil {
			cr.unresolved[id] = earliest(cr.unresolved[id], now)
		}
	}
}

// mayRunLate reports whether a later life under the name, of which no answer has come, may have carried out before a time what was ordered of a
// former one, and may still be at it.
func (cr *Core) mayRunLate(now time.Time, id WorkerID, until time.Time) bool {
	if !id.reusesName() || now.Sub(until) >= maxLateRun {
		return false
	}
	for _, wk := range cr.incarnations(id.Name()) {
		if wk.info.ID != id && wk.registered && wk.fencedAt.IsZero() {
			return true
		}
	}
	return false
}

// extendInheritedLease takes it that an order of the former life has prolonged the leases on a worker that began lately: it may have been carried out before the
// first look, and its time is one on the former life's clock, so that only the longest lease bounds it.
func (cr *Core) extendInheritedLease(wk *worker, looked time.Time) {
	if !wk.info.ID.reusesName() {
		return
	}
	began := time.UnixMilli(wk.info.ID.StartMillis()).Add(-cr.clockOffset)
	last := earliest(began.Add(lateStartWindow), looked)
	wk.leaseEnd = latest(wk.leaseEnd, last.Add(cr.byWorkerClock(maxLateRun)+deliveryMargin))
}
