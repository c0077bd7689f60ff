package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// phase is the state of a placement.
type phase int

const (
	// starting: the start was ordered and is not answered yet.
	starting phase = iota
	// uncertain: the start was not answered, or refused for an end that was not listed yet. A poll with a higher token will settle it.
	uncertain
	running
	stopping
)

// Timeouts and intervals of the communication with workers.
const (
	// minPollBackoff and maxPollBackoff bound the delay after an unanswered poll.
	minPollBackoff = 40 * time.Millisecond
	maxPollBackoff = time.Second
	// unhealthyBackoff is how long a worker gets no new tasks after it reported to be unhealthy.
	unhealthyBackoff = 700 * time.Millisecond
	// unregisteredGrace is how long a worker whose registration is gone still gets tasks if it answers.
	unregisteredGrace = 4 * time.Second
	// freshPollAge is the maximum age of the newest answer of such a worker.
	freshPollAge = 1500 * time.Millisecond
	// foreignTaskGrace is how long an unknown task may run before it is stopped, since its job may not have been loaded yet.
	foreignTaskGrace = 4 * time.Second
	// stopRetryDelay is the delay before a stop without effect is repeated.
	stopRetryDelay = 500 * time.Millisecond
	// ackDelay allows several ended attempts to be acknowledged in one poll.
	ackDelay = 250 * time.Millisecond
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
	// seenAt is when the worker last listed it.
	seenAt         time.Time
	metric         int
	throttle       int
	throttleSentAt time.Time
	// intentSaved means that an intent was saved before the start. startRecorded means that a save was ordered after the start was acknowledged.
	intentSaved, startRecorded bool
	// inRow means that the newest save ordered names the worker for the attempt.
	inRow bool
	// found means that an earlier owner started the attempt.
	found bool
	// suspect means that workers were lost under its task before. probationPassed means that this attempt has run for long enough without a loss.
	suspect, probationPassed bool
}

// unackedEnd is an ended attempt that was read but not acknowledged yet, because its effect is not saved.
type unackedEnd struct {
	number int64
	job    *jobState
	gen    int
	// unknownSince is when an ended attempt of an unknown job was read.
	unknownSince time.Time
	end          End
}

// worker is the state of a worker as the owner knows it.
type worker struct {
	info Worker
	// name is shared by all incarnations of the worker.
	name       WorkerName
	registered bool
	// registrationRead means that this owner has read a registration of the worker.
	registrationRead bool
	unregisteredAt   time.Time
	// roomUncertainUntil is until when only a part of the room is counted on, because the registration was already old when it was first read.
	roomUncertainUntil time.Time
	// coldSince and coldUntil are the period after its start in which the worker is slow.
	coldSince, coldUntil time.Time
	// recorded means that the stored list of workers in use names the worker.
	recorded bool
	// silence is what the stored list says, or is to say, of the worker since it did not answer. Nothing is started on it until the list says nothing any
	// more. silenceStored means that the list has it, silenceOver that the worker has answered since.
	silence                    *Silence
	silenceStored, silenceOver bool
	// tokenCounter is shared by all incarnations of the worker.
	tokenCounter *Token
	// fenced means that the worker has answered a poll of this owner since it was added or its leases expired. Orders of earlier owners are void then.
	fenced bool
	// fencedAt is when the worker first answered a poll with a token of this owner.
	fencedAt time.Time
	// endsCut means that the newest answer listed as many ended attempts as it may, so that there may be more. endsKnown means that an answer has listed
	// all of them since the worker was added, its leases expired or a poll failed, endsKnownOnce that one ever has.
	endsCut, endsKnown, endsKnownOnce bool
	polling                           bool
	pollToken                         Token
	nextPoll                          time.Time
	polledAt                          time.Time
	// aliveAt is when the newest answered poll was sent, at which time the worker was alive. The answer may have waited for a stalled owner.
	aliveAt     time.Time
	failedPolls int
	// firstFailedAt is when the first of the consecutive failed polls failed.
	firstFailedAt time.Time
	// probeSince is the time since which an answer is needed before a suspect is started on the worker.
	probeSince time.Time
	// failedPollSentAt is when the newest failed poll was sent.
	failedPollSentAt time.Time
	// connBroken means that the first failed poll failed before its timeout, because the connection broke.
	connBroken  bool
	clockMillis int64
	clockAt     time.Time
	// leaseEnd is when, on the owner's clock, the last lease has certainly expired.
	leaseEnd time.Time
	// placements holds the attempts on the worker by task. placed holds them in the order in which they were added. placed is replaced, never
	// modified.
	placements map[job.Task]*placement
	placed     []*placement
	// used is the room of all attempts that run or may run on the worker. serving, bestEffort and longRunning count the tasks of these kinds.
	used                             job.Size
	serving, bestEffort, longRunning int
	// ledger counts the running tasks by organisation.
	ledger *Ledger
	// suspects counts the attempts of suspects.
	suspects int
	// leaseExpired holds the attempts whose leases expired while the worker did not answer. They may have ended with the worker.
	leaseExpired []*placement
	foreign      map[job.Task]*foreignRun
	// listed holds the running attempts in the answer that is being handled.
	listed      map[job.Task]*Running
	unackedEnds []unackedEnd
	lastEndRead int64
	ackedEnd    int64
	// planned is what is known of a planned end of the worker.
	planned plannedEnd
	// startUnsettled means that a start was not answered and no poll with a higher token has settled it yet.
	startUnsettled bool
	// confirmedAck is the newest acknowledgement that the worker has confirmed.
	confirmedAck   int64
	unhealthyUntil time.Time
	failures       failureTracker
	speed          speed
	// busyAt is when the last attempt ended.
	busyAt time.Time
}

// foreignRun is a running attempt that this owner has not placed.
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

// remove removes a worker from the core.
func (cr *Core) remove(wk *worker) {
	cr.listOutdated = true
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
	pl.countRunning(1)
	wk.countTasks(pl.step.spec, 1)
	if pl.suspect {
		wk.suspects++
	}
}

// removePlacement removes an attempt from a worker.
func (wk *worker) removePlacement(pl *placement) {
	if wk.placements[pl.task] != pl {
		return
	}
	delete(wk.placements, pl.task)
	wk.placed = slices.DeleteFunc(slices.Clone(wk.placed), func(other *placement) bool { return other == pl })
	wk.used = wk.used.Sub(pl.room)
	pl.countRunning(-1)
	wk.countTasks(pl.step.spec, -1)
	if pl.suspect {
		wk.suspects--
	}
}

// countRunning counts an attempt as running for its organisation, or with -1 as over.
func (pl *placement) countRunning(by int) {
	lg, id, sz := pl.worker.ledger, pl.step.job.spec.Organisation, pl.step.spec.Size
	if pl.found {
		lg.addFound(id, sz, by)
		return
	}
	lg.addRunning(id, sz, by)
}

// countTasks updates the counts of the kinds of tasks.
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

// foreignTasks returns the running tasks that this owner has not placed, in order.
func (wk *worker) foreignTasks() []job.Task {
	if len(wk.foreign) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(wk.foreign), compareTasks)
}

// compareTasks orders tasks by job, run, step and index.
func compareTasks(one, other job.Task) int {
	return cmp.Or(cmp.Compare(one.Job, other.Job), cmp.Compare(one.Run, other.Run), cmp.Compare(one.Step, other.Step), cmp.Compare(one.Index, other.Index))
}

// token returns the current token for orders to the worker.
func (cr *Core) token(wk *worker) Token {
	return Token(cr.epoch)<<tokenBits | *wk.tokenCounter
}

// raiseToken raises the token. Once the worker has seen the new token, all orders sent before are void.
func (wk *worker) raiseToken() { *wk.tokenCounter++ }

// leaseUntil returns the end of a lease granted now on the worker's clock, or 0 if the clock is unknown.
func (cr *Core) leaseUntil(wk *worker, now time.Time) int64 {
	if wk.clockAt.IsZero() {
		return 0
	}
	return wk.clockMillis + now.Sub(wk.clockAt).Milliseconds() + cr.opts.LeaseDuration.Milliseconds()
}

// recordLease records the end of a lease, to know when it has certainly expired.
func (cr *Core) recordLease(wk *worker, until int64) {
	if until == 0 {
		return
	}
	end := wk.clockAt.Add(cr.byWorkerClock(time.Duration(until-wk.clockMillis)*time.Millisecond) + deliveryMargin)
	if end.After(wk.leaseEnd) {
		wk.leaseEnd = end
	}
}

// observeClock records a reading of the worker's clock.
func (wk *worker) observeClock(clock int64, received time.Time) {
	if clock != 0 && received.After(wk.clockAt) {
		wk.clockMillis, wk.clockAt = clock, received
	}
}

// release removes a placement that certainly does not run and has no end to be counted.
func (cr *Core) release(now time.Time, pl *placement, why string) {
	pl.worker.removePlacement(pl)
	pl.worker.busyAt = now
	pl.step.job.fullyPlaced, pl.step.job.idleAt = false, now
	ts := &pl.step.tasks[pl.task.Index]
	if ts.placement == pl {
		ts.placement = nil
	}
	if pl.intentSaved || pl.inRow {
		// The next owner must not look for the task there.
		cr.markDirty(pl.step.job)
	}
	cr.opts.Log(Decision{What: "attempt over", Task: pl.task, Attempt: pl.attempt, Worker: pl.worker.info.ID, Token: pl.token, Why: why, PollAge: now.Sub(pl.worker.polledAt)})
}

// handleWorkerEnd removes a worker whose incarnation has ended. seen is the token that a later incarnation has seen, or 0 if none has answered.
func (cr *Core) handleWorkerEnd(now time.Time, wk *worker, why string, seen Token) {
	cr.opts.Log(Decision{What: "worker gone", Worker: wk.info.ID, Why: why, PollAge: now.Sub(wk.polledAt)})
	cr.chargeLoss(now, wk, why, true)
	for _, pl := range wk.placed {
		// Another owner may have recorded the end of the attempt before the worker ended.
		pl.step.tasks[pl.task.Index].lostAt = now
		cr.release(now, pl, "its worker has ended")
		cr.trackLateStart(now, pl)
	}
	cr.remove(wk)
	cr.resolveLateStarts(wk.name, seen)
	cr.recordDeparture(now, wk)
}

// resolve records that nothing runs unseen on a worker.
func (cr *Core) resolve(now time.Time, id WorkerID, why string) {
	if _, unresolved := cr.unresolved[id]; !unresolved {
		return
	}
	delete(cr.unresolved, id)
	cr.removeHeld(id)
	if _, gone := cr.departed[id]; gone {
		// Remove the worker from the stored list. The next owner would otherwise wait for its next incarnation again.
		delete(cr.departed, id)
		delete(cr.departuresStored, id)
		cr.listOutdated = true
	}
	cr.opts.Log(Decision{What: "worker resolved", Worker: id, Why: why})
}

// resolveUnseen records that nothing runs any more on a worker that this owner has not polled. Tasks may have been lost with it.
func (cr *Core) resolveUnseen(now time.Time, id WorkerID, why string) {
	cr.resolve(now, id, why)
	if !cr.movedWorkers[id] {
		cr.NoteUnseenLosses(cr.epoch)
	}
	delete(cr.movedWorkers, id)
}

// expireWorkers releases the attempts on workers that have not answered for longer than their leases, and removes workers that are gone.
func (cr *Core) expireWorkers(now time.Time) {
	for id, at := range cr.unresolved {
		// A later owner may have renewed the leases of earlier owners, unless this owner was confirmed after their end.
		if now.After(at) && cr.confirmedAt.After(at) && !cr.mayRunLate(now, id, at) {
			cr.resolveUnseen(now, id, "leases of earlier owners have expired")
		}
	}
	for _, wk := range cr.sortedWorkers {
		if cr.leasesExpired(now, wk) && cr.unresponsive(now, wk) {
			cr.expireLeases(now, wk)
		}
		_, unresolved := cr.unresolved[wk.info.ID]
		if !wk.registered && !unresolved && len(wk.placements) == 0 && !wk.lossPending(now) && !wk.unregisteredAt.IsZero() && now.Sub(wk.unregisteredAt) > unregisteredGrace && (wk.failedPolls > 0 || wk.isEmpty() || now.Sub(wk.unregisteredAt) > 3*unregisteredGrace) {
			cr.forgetWorker(now, wk)
		}
	}
}

// isEmpty reports whether nothing runs on a worker and nothing is left to be acknowledged.
func (wk *worker) isEmpty() bool {
	return wk.fenced && len(wk.placements) == 0 && len(wk.foreign) == 0 && !wk.hasEnds()
}

// hasEnds reports whether the worker has, or may have, ended attempts whose effect is not saved.
func (wk *worker) hasEnds() bool { return len(wk.unackedEnds) > 0 || wk.endsCut }

// forgetWorker removes a worker that has been unregistered for long. If it does not answer, this counts as a loss for the attempts that it may
// have run.
func (cr *Core) forgetWorker(now time.Time, wk *worker) {
	if wk.failedPolls > 0 {
		cr.chargeLoss(now, wk, "unregistered and not answering", false)
	}
	cr.remove(wk)
}

// expireLeases releases all attempts on a worker whose leases have expired. The worker gets no new tasks until it has answered a poll with a
// higher token.
func (cr *Core) expireLeases(now time.Time, wk *worker) {
	wk.leaseExpired = append(wk.leaseExpired, wk.placed...)
	for _, pl := range wk.placed {
		cr.release(now, pl, "its lease has expired")
		cr.trackLateStart(now, pl)
		pl.step.tasks[pl.task.Index].losses.markUnresolved(wk.info.ID, !pl.ackedAt.IsZero())
		pl.step.job.hasUnresolved = true
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
