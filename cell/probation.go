package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Probation and quarantine of suspects.
const (
	// shortProbation is how long a suspect is the only new task on its worker. A poll that is answered within it shows that the worker is alive.
	shortProbation = 150 * time.Millisecond
	// isolationLosses is the number of losses from which on a suspect gets a worker of its own, for longProbation. After one more loss it has the
	// worker for as long as it runs.
	isolationLosses = 2
	longProbation   = 2 * time.Second
	// quarantineShare is the maximum share of the workers that suspects may have to themselves at once, so that the other tasks still make progress.
	quarantineShare = 0.25
	// idleQuarantineShare is the share if nothing else waits to be started, so that workers are not idle while suspects wait.
	idleQuarantineShare = 0.75
	// soleJobQuarantineShare is the share for suspects that are almost certain to crash the next worker as well.
	soleJobQuarantineShare = 0.1
	// maxProbationsPerStep is how many tasks of one step may be on probation at once. If all of them crash their workers, two losses are enough to
	// know.
	maxProbationsPerStep = 2
	// weightSharedWorker keeps suspects from workers with other tasks. It only affects the ranking.
	weightSharedWorker = 5.0
	// lossPendingFor is how long after the lease's end the core asks whether an unresponsive worker is alive, since its end would be a loss for its
	// tasks.
	lossPendingFor = 30 * time.Second
	// suspectHoldTime is the maximum time that a suspect waits to learn whether its unresponsive worker has ended, which would be another loss.
	suspectHoldTime = 10 * time.Second
)

// onProbation reports whether an attempt of a suspect has not yet run for long enough without the loss of its worker.
func (pl *placement) onProbation() bool { return pl.suspect && !pl.probationPassed }

// exemptFromStop reports whether an attempt must not be stopped in favour of others: its task has lost workers, and would need another probation.
func (pl *placement) exemptFromStop() bool {
	lost := pl.step.tasks[pl.task.Index].losses
	return lost.total()+len(lost.unresolved) >= isolationLosses
}

// recordSurvival records that a worker answers while an attempt runs on it. Over time this clears the task of suspicion.
func (cr *Core) recordSurvival(pl *placement, sent time.Time) {
	ts := &pl.step.tasks[pl.task.Index]
	if pl.ackedAt.IsZero() {
		return
	}
	ran := sent.Sub(pl.ackedAt)
	if ran >= ts.losses.survivalTime() {
		cr.dropWeakLosses(pl.step.job, ts)
	}
	if !pl.suspect {
		return
	}
	if span, ends := ts.losses.probationTime(); ends && ran >= span {
		pl.probationPassed = true
	}
	if !pl.step.spec.LongRunning || ran < minSettleTime {
		return
	}
	// Other tasks are not kept off the worker until the task is settled.
	pl.probationPassed = true
	if ran >= ts.losses.settleTime() && ts.losses.suspected() {
		// A long-running task outlives many workers, so earlier losses do not count against it.
		ts.losses = losses{longestRun: ts.losses.longestRun, unresolved: ts.losses.unresolved, started: ts.losses.started}
		cr.markDirty(pl.step.job)
	}
}

// dropWeakLosses drops the weak losses of a task, and saves that for the next owner.
func (cr *Core) dropWeakLosses(js *jobState, ts *taskState) {
	if ts.losses.weak > 0 {
		ts.losses.dropWeak()
		cr.markDirty(js)
	}
}

// probationTime returns how long a suspect is on probation. If workers were lost some time after its start, probation is longer from the second
// loss on, and lasts for as long as the task runs from the third loss on.
func (lo losses) probationTime() (span time.Duration, ends bool) {
	switch number := lo.weighted(); {
	case number < isolationLosses || !lo.late:
		return shortProbation, true
	case number == isolationLosses:
		return longProbation, true
	}
	return 0, false
}

// quarantined counts the workers that suspects have to themselves.
func (cr *Core) quarantined() int {
	count := 0
	for _, wk := range cr.sortedWorkers {
		if wk.failedPolls == 0 && wk.quarantined() {
			count++
		}
	}
	return count
}

// quarantined reports whether a suspect has the worker to itself.
func (wk *worker) quarantined() bool {
	if wk.suspects == 0 {
		return false
	}
	return slices.ContainsFunc(wk.placed, (*placement).onProbation)
}

// placeSuspects starts suspects of a step, each on a worker that gets no other tasks during the probation. It reports whether none is left
// waiting.
func (cr *Core) placeSuspects(rd *round, st *step, waiting []int) bool {
	all := true
	for count, at := range waiting {
		if !cr.startWindow.canStart() || cr.deferred(rd, st, at) || !cr.mayStart(st, 1) {
			return false
		}
		if in := st.tasks[at].intent; (in == nil || !in.roomReserved) && (rd.quarantined >= rd.maxQuarantined(st.tasks[at].losses) || st.probationWorkers() >= maxProbationsPerStep) && !rd.hasQuarantineFor(st.job) {
			rd.suspectsWaiting = rd.suspectsWaiting || st.probationWorkers() < maxProbationsPerStep
			all = false
			continue
		}
		cd := cr.pick(rd, st, at)
		if cd == nil {
			cr.reserveForSuspects(rd, st, len(waiting)-count)
			return false
		}
		rd.quarantineFor(cd, st.job)
		if !cr.ensureIntent(rd, st, at, cd) {
			rd.reserveIntent(st.tasks[at].intent)
			all = false
			continue
		}
		cr.startTask(rd.now, st, at, cd, st.tasks[at].attempt+1)
		rd.used = rd.used.Add(st.spec.ResourceRequest())
	}
	return all
}

// quarantineFor excludes tasks of all other jobs from a worker for the rest of the round.
func (rd *round) quarantineFor(cd *candidate, js *jobState) {
	if cd.quarantinedFor != js {
		cd.quarantinedFor = js
		rd.quarantined++
	}
}

// hasQuarantineFor reports whether a worker is reserved for a job and can take another of its suspects.
func (rd *round) hasQuarantineFor(js *jobState) bool {
	return slices.ContainsFunc(rd.usable, func(cd *candidate) bool { return cd.quarantinedFor == js })
}

// maxQuarantined returns how many workers suspects may have to themselves at once.
func (rd *round) maxQuarantined(lo losses) int {
	share := quarantineShare
	switch {
	case rd.useIdle:
		share = idleQuarantineShare
	case lo.soleJob:
		share = soleJobQuarantineShare
	}
	// Workers that were quarantined before the round are not among the usable ones.
	return max(1, int(share*float64(len(rd.usable)+rd.quarantinedBefore)))
}

// probationWorkers counts the workers on which tasks of a step are on probation or are about to be.
func (st *step) probationWorkers() int {
	var ids []WorkerID
	for at := range st.tasks {
		ts := &st.tasks[at]
		id := WorkerID("")
		if pl := ts.placement; pl != nil && pl.onProbation() {
			id = pl.worker.info.ID
		} else if ts.intent != nil && ts.intent.roomReserved && ts.losses.suspected() {
			id = ts.intent.worker
		}
		if id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return len(ids)
}

// reserveForSuspects keeps the least loaded workers free of other tasks, so that they become empty for suspects that need a worker of their own.
func (cr *Core) reserveForSuspects(rd *round, st *step, count int) {
	for range min(count, maxProbationsPerStep) {
		if rd.quarantined >= rd.maxQuarantined(losses{}) {
			return
		}
		cd := cr.roomiest(rd, st)
		if cd == nil {
			return
		}
		cd.free = job.Size{}
		rd.quarantined++
	}
}

// isolationAllows reports whether a suspect may be started on a worker. After its first loss it may run beside tasks that are past their
// probation, and later only beside settled long-running tasks.
func (ts *taskState) isolationAllows(now time.Time, st *step, cd *candidate) bool {
	if !ts.losses.suspected() {
		return true
	}
	for _, other := range cd.placed {
		switch {
		case other.step.job == st.job && (st.spec.Gang || other.onProbation()):
			// Tasks of the same job share the suspicion.
		case other.longRunningFor(now, minSettleTime):
		case ts.losses.needsIsolation():
			return false
		case other.phase != running || other.ackedAt.IsZero() || now.Sub(other.ackedAt) < shortProbation:
			return false
		}
	}
	return true
}

// holdSuspect delays the restart of a suspect whose worker stopped answering during the probation until it is known whether the worker has ended.
func (cr *Core) holdSuspect(now time.Time, pl *placement) {
	if ts := &pl.step.tasks[pl.task.Index]; pl.suspect && ts.losses.weighted() >= isolationLosses {
		ts.notBefore = now.Add(suspectHoldTime)
	}
}

// releaseSuspects lets suspects start again that waited to learn what became of a worker.
func (cr *Core) releaseSuspects(now time.Time, wk *worker) {
	for _, pl := range wk.leaseExpired {
		ts := &pl.step.tasks[pl.task.Index]
		if ts.notBefore.After(now) {
			ts.notBefore = now
		}
		if slices.Contains(ts.losses.unresolved, wk.info.ID) {
			ts.losses.resolve(wk.info.ID)
			cr.markDirty(pl.step.job)
		}
		pl.step.job.fullyPlaced = false
	}
	wk.leaseExpired = nil
}

// lossPending reports whether the end of an unresponsive worker would still count as a loss of tasks.
func (wk *worker) lossPending(now time.Time) bool {
	return len(wk.leaseExpired) > 0 && now.Sub(wk.leaseEnd) < lossPendingFor
}
