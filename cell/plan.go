package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

const (
	// maxRowsPerSave is the maximum number of progress rows in one save. A transaction is limited to 100 entries; each row takes two because
	// of its condition, and the condition on the cell's own row takes one more.
	maxRowsPerSave = 45
	// idlePlanInterval is the planning interval of a cell without events.
	idlePlanInterval = 250 * time.Millisecond
)

// Plan returns the orders that are due. The caller executes them and reports the results.
func (cr *Core) Plan(now time.Time) []Order {
	if cr.superseded {
		return nil
	}
	cr.detectStall(now)
	cr.orders, cr.nextWake, cr.plannedAt = nil, now.Add(idlePlanInterval), now
	cr.expireWorkers(now)
	cr.expireLateStarts(now)
	for _, wk := range cr.sortedWorkers {
		cr.advanceAck(now, wk)
	}
	cr.removeEnded()
	cr.recordWorkers()
	cr.recordSilences(now)
	cr.recordPlannedEnds(now)
	cr.planStops(now)
	cr.roundSkipped = WaitUnconfirmed
	if cr.mayRenew(now) && cr.upToDate() && !cr.startingStopped {
		cr.placeTasks(now)
		cr.moveStragglers(now)
		cr.moveAhead(now)
		cr.throttleBestEffort(now)
	}
	cr.planPolls(now)
	cr.save(now)
	cr.reportWaits(now)
	return cr.orders
}

// Wake returns when to call Plan again if no event occurs before.
func (cr *Core) Wake() time.Time { return cr.nextWake }

func (cr *Core) wakeAt(at time.Time) {
	if at.Before(cr.nextWake) {
		cr.nextWake = at
	}
}

func (cr *Core) order(od Order) { cr.orders = append(cr.orders, od) }

// removeEnded removes ended jobs from the list of open jobs.
func (cr *Core) removeEnded() {
	cr.openJobs = slices.DeleteFunc(cr.openJobs, func(js *jobState) bool { return js.ended() && !js.hasPlacements() })
}

// hasPlacements reports whether any task of the job is on a worker.
func (js *jobState) hasPlacements() bool {
	for _, rn := range js.runs {
		for _, st := range rn.steps {
			for at := range st.tasks {
				if st.tasks[at].placement != nil {
					return true
				}
			}
		}
	}
	return false
}

// planStops orders the stops that are due and counts the starts in flight.
func (cr *Core) planStops(now time.Time) {
	cr.startWindow.inFlight, cr.startWindow.workers = 0, len(cr.sortedWorkers)
	for _, wk := range cr.sortedWorkers {
		for _, pl := range wk.placed {
			if pl.phase == starting {
				cr.startWindow.inFlight++
			}
			if why := cr.stopReason(pl); why != "" && !pl.stopping {
				pl.stopping, pl.stopReason = true, why
			}
			cr.stop(now, wk, pl)
		}
		for _, tk := range wk.foreignTasks() {
			cr.stopForeign(now, wk, tk, wk.foreign[tk])
		}
	}
	cr.evictLongRunning(now)
}

// stopReason returns why an attempt has to stop, or an empty string.
func (cr *Core) stopReason(pl *placement) string {
	js := pl.step.job
	switch {
	case js.cancelled:
		return "cancelled"
	case js.storedState.Ended():
		// Tasks keep running until callers see the end of the job, since they still serve these callers.
		return "its job has ended"
	case pl.step.tasks[pl.task.Index].done:
		return "task completed elsewhere"
	}
	return ""
}

// stop orders a stop, and repeats it if an earlier one had no effect.
func (cr *Core) stop(now time.Time, wk *worker, pl *placement) {
	if !pl.stopping || pl.phase == uncertain || wk.failedPolls > 0 {
		return
	}
	if !pl.stopSentAt.IsZero() && now.Sub(pl.stopSentAt) < stopRetryDelay+cr.opts.MaxStopTime {
		return
	}
	pl.phase, pl.stopSentAt = stopping, now
	cr.opts.Log(Decision{What: "stop", Task: pl.task, Attempt: pl.attempt, Worker: wk.info.ID, Token: cr.token(wk), Why: pl.stopReason, PollAge: now.Sub(wk.polledAt)})
	cr.order(Stop{Worker: wk.info.ID, Address: wk.info.Address, Token: cr.token(wk), Task: pl.task, Attempt: pl.attempt})
	wk.nextPoll = earliest(wk.nextPoll, now.Add(cr.opts.PollInterval))
}

// stopForeign stops an attempt not placed by this owner if its job has ended or is still unknown after foreignTaskGrace.
func (cr *Core) stopForeign(now time.Time, wk *worker, tk job.Task, fr *foreignRun) {
	if wk.failedPolls > 0 || now.Sub(fr.stopped) < stopRetryDelay+cr.opts.MaxStopTime {
		return
	}
	if cr.jobs[tk.Job] == nil && now.Sub(fr.since) < foreignTaskGrace {
		return
	}
	fr.stopped = now
	cr.opts.Log(Decision{What: "stop", Task: tk, Attempt: fr.attempt, Worker: wk.info.ID, Token: cr.token(wk), Why: "its job has ended or is unknown"})
	cr.order(Stop{Worker: wk.info.ID, Address: wk.info.Address, Token: cr.token(wk), Task: tk, Attempt: fr.attempt})
}

// planPolls orders the polls that are due.
func (cr *Core) planPolls(now time.Time) {
	pollAll := cr.needsAnswer(now)
	for _, wk := range cr.sortedWorkers {
		due, wait, wanted := cr.pollDue(now, wk, pollAll)
		if !wanted {
			continue
		}
		if due.After(now) {
			cr.wakeAt(due)
			continue
		}
		cr.poll(now, wk, wait)
	}
}

// pollDue returns whether and when a worker has to be polled next, and how long the worker may hold the answer until an attempt ends.
func (cr *Core) pollDue(now time.Time, wk *worker, pollAll bool) (due time.Time, wait time.Duration, wanted bool) {
	token := cr.token(wk)
	if wk.polling && wk.pollToken == token {
		return due, 0, false
	}
	if wk.info.Address == "" {
		return due, 0, false
	}
	_, open := cr.unresolved[wk.info.ID]
	due = wk.nextPoll
	switch {
	case !wk.fenced || open:
		return due, 0, true
	case len(wk.placements) > 0:
		return due, cr.pollWait(wk), true
	case len(wk.foreign) > 0:
		return due, cr.opts.PollInterval, true
	case wk.ackedEnd > wk.confirmedAck:
		return latest(due, wk.polledAt.Add(ackDelay)), 0, true
	case pollAll || wk.aliveAt.Before(wk.probeSince):
		return due, 0, true
	}
	return due, 0, false
}

const (
	// pollWaitFactor limits how long an answer is held, as a multiple of the mean interval between ends, so that a lost answer is noticed
	// soon.
	pollWaitFactor = 4
	// pollWaitMin is the lower limit of the hold time, since each poll has a cost.
	pollWaitMin = 200 * time.Millisecond
)

// pollWait returns how long a worker may hold its answer. It is zero if it is not known what became of an attempt.
func (cr *Core) pollWait(wk *worker) time.Duration {
	// ends is the expected number of ends per second.
	ends := 0.0
	for _, pl := range wk.placed {
		if pl.phase == uncertain {
			return 0
		}
		if pl.onProbation() {
			// The worker is reserved for this attempt until it has proved to be alive.
			return shortProbation / 2
		}
		if !pl.step.spec.LongRunning {
			ends += 1 / max(pollWaitMin, cr.runTimes.get(pl.step.job.spec.Queue).mean).Seconds()
		}
	}
	if ends == 0 {
		return cr.opts.PollWait
	}
	return min(cr.opts.PollWait, max(pollWaitMin, time.Duration(pollWaitFactor/ends*float64(time.Second))))
}

func latest(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

func (cr *Core) poll(now time.Time, wk *worker, wait time.Duration) {
	po := Poll{Worker: wk.info.ID, Address: wk.info.Address, Token: cr.token(wk), AckedEnd: wk.ackedEnd, Wait: wait}
	// The leases of an unresponsive worker are not renewed, so that it is known when its attempts have ended.
	if wk.failedPolls == 0 && cr.mayRenew(now) && cr.mayRenewLeases(wk) && (len(wk.placements) > 0 || len(wk.foreign) > 0) {
		po.LeaseUntil = cr.leaseUntil(wk, now)
		cr.recordLease(wk, po.LeaseUntil)
	}
	wk.polling, wk.pollToken = true, po.Token
	cr.order(po)
}

// save orders a save of job progress. At most one save is in flight.
func (cr *Core) save(now time.Time) {
	if len(cr.dirtyJobs) == 0 || cr.pendingSaves != nil {
		return
	}
	if due := cr.saveOrderedAt.Add(cr.opts.SaveInterval); !cr.urgentSave && due.After(now) {
		cr.wakeAt(due)
		return
	}
	cr.urgentSave = false
	var sv Save
	for _, id := range slices.Sorted(maps.Keys(cr.dirtyJobs)) {
		js := cr.dirtyJobs[id]
		if len(sv.Rows) == maxRowsPerSave {
			cr.urgentSave = true
			break
		}
		sv.Rows = append(sv.Rows, SaveRow{ID: id, Version: js.version, Progress: js.progress()})
		cr.pendingSaves = append(cr.pendingSaves, savedState{js, js.gen, js.state})
		delete(cr.dirtyJobs, id)
	}
	cr.saveOrderedAt = now
	cr.pruneRecordedWorkers(now)
	cr.order(sv)
}

// Saved records that the last save is stored under a version, or, if jobs are given, the part of it with their progress.
func (cr *Core) Saved(_ time.Time, version int64, ids ...job.ID) {
	for at := 0; at < len(cr.pendingSaves); {
		sm := cr.pendingSaves[at]
		if len(ids) > 0 && !slices.Contains(ids, sm.js.spec.ID) {
			at++
			continue
		}
		sm.js.version, sm.js.savedGen, sm.js.storedState = version, sm.gen, sm.state
		cr.removePendingSave(at)
	}
}

// SaveRejected records that the store will never take the progress of a job as it is. The job fails, since the progress of a job that has ended needs
// hardly any room. SaveRejected returns false if the rejected progress was that of a job that has ended.
func (cr *Core) SaveRejected(now time.Time, id job.ID) bool {
	at := slices.IndexFunc(cr.pendingSaves, func(sm savedState) bool { return sm.js.spec.ID == id })
	if at < 0 {
		return true
	}
	sm := cr.pendingSaves[at]
	cr.removePendingSave(at)
	cr.dirtyJobs[id] = sm.js
	cr.urgentSave = true
	if sm.state.Ended() {
		return false
	}
	if sm.js.state.Ended() {
		// The job has ended since, which is still to be saved.
		return true
	}
	sm.js.state, sm.js.endedAt = job.Failed, now
	cr.markDirty(sm.js)
	cr.opts.Log(Decision{What: "job failed", Task: job.Task{Job: id}, Why: "the store does not take its progress"})
	return true
}

// removePendingSave removes a job from the save that is in flight. The save is over once no job is left.
func (cr *Core) removePendingSave(at int) {
	cr.pendingSaves = slices.Delete(cr.pendingSaves, at, at+1)
	if len(cr.pendingSaves) == 0 {
		cr.pendingSaves = nil
	}
}

// Supersede records that the store names another owner.
func (cr *Core) Supersede(why string) { cr.markSuperseded("", why) }

// Saving reports whether a save is in flight or due.
func (cr *Core) Saving() bool { return cr.pendingSaves != nil || len(cr.dirtyJobs) > 0 }
