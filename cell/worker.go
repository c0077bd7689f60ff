package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// phase is where a placement stands.
type phase int

const (
	// starting: the start was ordered and has no answer yet.
	starting phase = iota
	// uncertain: the start got no answer; a look under a higher token will tell.
	uncertain
	running
	stopping
)

// Times of the dealings with workers.
const (
	// minPollBackoff and backoffMost bound the pause after a look without an answer.
	minPollBackoff = 40 * time.Millisecond
	maxPollBackoff = time.Second
	// unhealthyBackoff is how long a worker gets nothing new after it called itself unhealthy.
	unhealthyBackoff = 700 * time.Millisecond
	// unregisteredGrace is how long a worker whose registration is gone still gets tasks if it answers.
	unregisteredGrace = 4 * time.Second
	// freshPollAge is how old the newest answer of such a worker may be.
	freshPollAge = 1500 * time.Millisecond
	// foreignTaskGrace is how long an unknown task may run before it is stopped; its job may be on its way.
	foreignTaskGrace = 4 * time.Second
	// stopRetryDelay is the pause before a stop without effect is ordered again.
	stopRetryDelay = 500 * time.Millisecond
	// ackDelay lets acknowledgements of several ends share a look.
	ackDelay = 250 * time.Millisecond
	// maxListedEnds is how many ends a worker lists at once; a full list may lack some.
	maxListedEnds = 500
)

// placement is one attempt on a worker.
type placement struct {
	task       job.Task
	step       *step
	worker     *worker
	attempt    job.Attempt
	phase      phase
	token      Token
	room       job.Size
	orderedAt  time.Time
	ackedAt    time.Time
	stopSentAt time.Time
	stopping   bool
	stopReason string
	progress   int
	// seenAt is when the worker listed it last.
	seenAt         time.Time
	metric         int
	throttle       int
	throttleSentAt time.Time
	// intentSaved means that it was kept before its start where it was to run.
	intentSaved bool
	// suspect means that workers have ended under its task before, probationPassed that this one has outlived it for long enough.
	suspect, probationPassed bool
}

// unackedEnd is an end that was read but not acknowledged; it waits until what it changed is kept.
type unackedEnd struct {
	number int64
	job    *jobState
	gen    int
	// unknownSince is when an end of an unknownSince job was read.
	unknownSince time.Time
	end          End
}

// worker is what the owner knows of a worker.
type worker struct {
	info Worker
	// name is the worker's in all its lives.
	name       WorkerName
	registered bool
	// registrationRead means that this owner has read a registration of it.
	registrationRead bool
	unregisteredAt   time.Time
	// roomUncertainUntil is until when a registration that was old when it was first read is not counted on whole.
	roomUncertainUntil time.Time
	recorded           bool
	recording          bool
	// tokenCounter is that of the tokens for all lives of the worker.
	tokenCounter *Token
	fenced       bool
	// fencedAt is when it was first looked at under this owner's token.
	fencedAt  time.Time
	polling   bool
	pollToken Token
	nextPoll  time.Time
	polledAt  time.Time
	// aliveAt is when the newest look that it answered was sent: it lived then. Its answer may have waited for an owner that stood still.
	aliveAt     time.Time
	failedPolls int
	// firstFailedAt is when the first of these looks in a row had no answer.
	firstFailedAt time.Time
	// probeSince is since when an answer of it is wanted before a suspect is started there.
	probeSince time.Time
	// failedPollSentAt is when the newest of them was sent.
	failedPollSentAt time.Time
	// connBroken means that it ended sooner than a call is waited for: the connection broke.
	connBroken  bool
	clockMillis int64
	clockAt     time.Time
	// leaseEnd is when, on the owner's clock, the last lease given has surely run out.
	leaseEnd time.Time
	// placements holds the attempts on the worker by task, placed in the order in which they came. placed is replaced, never changed.
	placements map[job.Task]*placement
	placed     []*placement
	// used is the room of all that runs or may run on the worker; serving, filling and lasting count the tasks there that serve users, that
	// take what is left, and that last.
	used                             job.Size
	serving, bestEffort, longRunning int
	// ledger counts what runs by organisation.
	ledger *Ledger
	// suspects counts the attempts of suspects there.
	suspects int
	// leaseExpired are the attempts that were given up while the worker was silent; its end may have been theirs.
	leaseExpired []*placement
	foreign      map[job.Task]*foreignRun
	unackedEnds  []unackedEnd
	lastEndRead  int64
	ackedEnd     int64
	// startUnsettled means that a start had no answer and no look under a higher token has settled it yet.
	startUnsettled bool
	// confirmedAck is the newest acknowledgement that the worker has confirmed.
	confirmedAck   int64
	unhealthyUntil time.Time
	failures       failureTracker
	speed          speed
	// busyAt is when something last ran there.
	busyAt time.Time
}

// foreignRun is an attempt that runs there without having been placed by this owner.
type foreignRun struct {
	attempt job.Attempt
	since   time.Time
	stopped time.Time
}

func (cr *Core) ensureWorker(id WorkerID) *worker {
	wk, ok := cr.workers[id]
	if !ok {
		wk = &worker{info: Worker{ID: id}, name: id.Name(), ledger: cr.ledger, placements: map[job.Task]*placement{}, foreign: map[job.Task]*foreignRun{}}
		wk.tokenCounter = cr.tokenCounterOf(id)
		cr.workers[id] = wk
		at, _ := slices.BinarySearchFunc(cr.sortedWorkers, id, func(one *worker, id WorkerID) int { return cmp.Compare(one.info.ID, id) })
		cr.sortedWorkers = slices.Insert(slices.Clone(cr.sortedWorkers), at, wk)
	}
	return wk
}

// remove forgets a worker.
func (cr *Core) remove(wk *worker) {
	cr.rowOutdated = true
	if !wk.info.ID.reusesName() {
		delete(cr.tokenCounters, wk.name)
	}
	delete(cr.workers, wk.info.ID)
	cr.sortedWorkers = slices.DeleteFunc(slices.Clone(cr.sortedWorkers), func(other *worker) bool { return other == wk })
}

// addPlacement adds an attempt to a worker.
func (wk *worker) addPlacement(pl *placement) {
	wk.placements[pl.task] = pl
	wk.placed = append(wk.placed[:len(wk.placed):len(wk.placed)], pl)
	wk.used = wk.used.Add(pl.room)
	wk.ledger.addRunning(pl.step.job.spec.Organisation, pl.step.spec.Size, 1)
	wk.countTasks(pl.step.spec, 1)
	if pl.suspect {
		wk.suspects++
	}
}

// removePlacement takes an attempt from a worker.
func (wk *worker) removePlacement(pl *placement) {
	if wk.placements[pl.task] != pl {
		return
	}
	delete(wk.placements, pl.task)
	wk.placed = slices.DeleteFunc(slices.Clone(wk.placed), func(other *placement) bool { return other == pl })
	wk.used = wk.used.Sub(pl.room)
	wk.ledger.addRunning(pl.step.job.spec.Organisation, pl.step.spec.Size, -1)
	wk.countTasks(pl.step.spec, -1)
	if pl.suspect {
		wk.suspects--
	}
}

// countTasks notes that a task of a step came or went.
func (wk *worker) countTasks(st *job.Step, by int) {
	if st.LatencyObjective > 0 {
		wk.serving += by
	}
	if st.BestEffort {
		wk.bestEffort += by
	}
	if st.LongRunning {
		wk.longRunning += by
	}
}

// foreignTasks are the tasks that run there without having been placed, in order.
func (wk *worker) foreignTasks() []job.Task {
	if len(wk.foreign) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(wk.foreign), compareTasks)
}

// compareTasks orders tasks by their names.
func compareTasks(one, other job.Task) int {
	return cmp.Or(cmp.Compare(one.Job, other.Job), cmp.Compare(one.Run, other.Run), cmp.Compare(one.Step, other.Step), cmp.Compare(one.Index, other.Index))
}

// token is the one under which orders go to the worker now.
func (cr *Core) token(wk *worker) Token {
	return Token(cr.epoch)<<tokenBits | *wk.tokenCounter
}

// raiseToken makes every order sent so far void at the worker once it has seen the new token.
func (wk *worker) raiseToken() { *wk.tokenCounter++ }

// leaseUntil is the end of a lease given now, on the worker's clock; 0 if the clock is not known.
func (cr *Core) leaseUntil(wk *worker, now time.Time) int64 {
	if wk.clockAt.IsZero() {
		return 0
	}
	return wk.clockMillis + now.Sub(wk.clockAt).Milliseconds() + cr.opts.LeaseDuration.Milliseconds()
}

// recordLease notes a lease's end, so that it is known when it has surely run out.
func (cr *Core) recordLease(wk *worker, until int64) {
	if until == 0 {
		return
	}
	end := wk.clockAt.Add(cr.byWorkerClock(time.Duration(until-wk.clockMillis)*time.Millisecond) + deliveryMargin)
	if end.After(wk.leaseEnd) {
		wk.leaseEnd = end
	}
}

// observeClock notes a reading of the worker's clock.
func (wk *worker) observeClock(clock int64, received time.Time) {
	if clock != 0 && received.After(wk.clockAt) {
		wk.clockMillis, wk.clockAt = clock, received
	}
}

// release ends a placement of which it is certain that it does not run and has no end that counts.
func (cr *Core) release(now time.Time, pl *placement, why string) {
	pl.worker.removePlacement(pl)
	pl.worker.busyAt = now
	pl.step.job.fullyPlaced = false
	ts := &pl.step.tasks[pl.task.Index]
	if ts.placement == pl {
		ts.placement = nil
	}
	if pl.intentSaved {
		// A next owner is not to look for it there.
		cr.markDirty(pl.step.job)
	}
	cr.opts.Log(Decision{What: "attempt over", Task: pl.task, Attempt: pl.attempt, Worker: pl.worker.info.ID, Token: pl.token, Why: why, PollAge: now.Sub(pl.worker.polledAt)})
}

// handleWorkerEnd forgets a worker whose life has ended: nothing runs there any more. seen is the token that a later life under the name has seen, 0 if none
// has answered.
func (cr *Core) handleWorkerEnd(now time.Time, wk *worker, why string, seen Token) {
	cr.opts.Log(Decision{What: "worker gone", Worker: wk.info.ID, Why: why, PollAge: now.Sub(wk.polledAt)})
	cr.chargeLoss(now, wk, why, true)
	for _, pl := range wk.placed {
		// Another owner may have taken note of its end before the worker went.
		pl.step.tasks[pl.task.Index].lostAt = now
		cr.release(now, pl, "its worker is gone")
		cr.trackLateStart(now, pl)
	}
	cr.remove(wk)
	cr.resolveLateStarts(wk.name, seen)
	cr.recordDeparture(now, wk)
}

// resolve notes that nothing runs unseen on a worker.
func (cr *Core) resolve(now time.Time, id WorkerID, why string) {
	if _, open := cr.unresolved[id]; !open {
		return
	}
	delete(cr.unresolved, id)
	if _, gone := cr.departed[id]; gone {
		// The row is not to name it any longer: a next owner would wait for its next life again.
		delete(cr.departed, id)
		cr.rowOutdated = true
	}
	cr.opts.Log(Decision{What: "worker resolved", Worker: id, Why: why})
}

// resolveUnseen notes that nothing runs on a worker any more at which this owner has not looked: tasks may have been lost with it.
func (cr *Core) resolveUnseen(now time.Time, id WorkerID, why string) {
	cr.resolve(now, id, why)
	if !cr.movedWorkers[id] {
		cr.NoteUnseenLosses(cr.epoch)
	}
	delete(cr.movedWorkers, id)
}

// expireWorkers releases what ran on workers that have been silent for longer than their leases.
func (cr *Core) expireWorkers(now time.Time) {
	for id, at := range cr.unresolved {
		// An owner after this one may have renewed what earlier ones started, unless this one is confirmed later than that.
		if now.After(at) && cr.confirmedAt.After(at) && !cr.mayRunLate(now, id, at) {
			cr.resolveUnseen(now, id, "what earlier owners started there is over")
		}
	}
	for _, wk := range cr.sortedWorkers {
		if cr.leasesExpired(now, wk) && cr.unresponsive(now, wk) {
			cr.expireLeases(now, wk)
		}
		_, open := cr.unresolved[wk.info.ID]
		if !wk.registered && !open && len(wk.placements) == 0 && !wk.lossPending(now) && !wk.unregisteredAt.IsZero() && now.Sub(wk.unregisteredAt) > unregisteredGrace && (wk.failedPolls > 0 || wk.isEmpty() || now.Sub(wk.unregisteredAt) > 3*unregisteredGrace) {
			cr.forgetWorker(now, wk)
		}
	}
}

// isEmpty reports whether nothing is left on a worker, nor to be told to it.
func (wk *worker) isEmpty() bool {
	return wk.fenced && len(wk.placements) == 0 && len(wk.foreign) == 0 && len(wk.unackedEnds) == 0
}

// forgetWorker forgets a worker that has been gone from the list for long. If it has fallen silent, it counts as lost to what it may have run.
func (cr *Core) forgetWorker(now time.Time, wk *worker) {
	if wk.failedPolls > 0 {
		cr.chargeLoss(now, wk, "not heard of again", false)
	}
	cr.remove(wk)
}

// expireLeases releases all that was leased on a silent worker; before it gets anything new it is looked at under a higher token.
func (cr *Core) expireLeases(now time.Time, wk *worker) {
	wk.leaseExpired = append(wk.leaseExpired, wk.placed...)
	for _, pl := range wk.placed {
		cr.release(now, pl, "its lease has run out")
		cr.trackLateStart(now, pl)
		pl.step.tasks[pl.task.Index].lost.markUnresolved(wk.info.ID)
		pl.step.job.hasOpenLosses = true
		cr.markDirty(pl.step.job)
		cr.holdSuspect(now, pl)
	}
	wk.raiseToken()
	wk.fenced = false
}

func earliest(one, other time.Time) time.Time {
	if one.IsZero() || other.Before(one) {
		return other
	}
	return one
}
