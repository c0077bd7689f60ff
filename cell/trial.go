package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Trials of suspects.
const (
	// shortProbation is how long a suspect is the only new task on its worker; the answer to a look within it tells that it lives.
	shortProbation = 150 * time.Millisecond
	// isolationLosses is from how many lost workers on a suspect has an empty worker to itself, for longProbation; after one more as long as it runs.
	isolationLosses = 2
	longProbation   = 2 * time.Second
	// quarantineShare is the part of the workers that suspects may have to themselves at once, so that the others go on with their work.
	quarantineShare = 0.25
	// idleQuarantineShare is the part that they may have where nothing else is to be started, so that workers do not stand idle while suspects wait.
	idleQuarantineShare = 0.75
	// soleJobQuarantineShare is the part that they may have of which it is as good as known that they will end the next one, too.
	soleJobQuarantineShare = 0.1
	// maxProbationsPerStep is how many tasks of one step may be on trial at once: where all of them crash their workers, two losses are enough to know.
	maxProbationsPerStep = 2
	// weightSharedWorker keeps suspects from workers with other tasks; it only ranks.
	weightSharedWorker = 5.0
	// lossPendingFor is for how long after its lease's end it is asked whether a silent worker lives, since its end would be a loss of its tasks.
	lossPendingFor = 30 * time.Second
	// suspectHoldTime is how long a suspect waits at most for word of the worker on which it was tried and that fell silent: it may be one more.
	suspectHoldTime = 10 * time.Second
)

// onProbation reports whether an attempt of a suspect has not proved yet that its worker outlives it.
func (pl *placement) onProbation() bool { return pl.suspect && !pl.probationPassed }

// exemptFromStop reports whether an attempt is not stopped for others: its task has cost workers, and would have to be tried once more.
func (pl *placement) exemptFromStop() bool {
	lost := pl.step.tasks[pl.task.Index].lost
	return lost.total()+len(lost.unresolved) >= isolationLosses
}

// recordSurvival notes that a worker answers with an attempt running there, which clears a suspect of suspicion in time.
func (cr *Core) recordSurvival(pl *placement, sent time.Time) {
	ts := &pl.step.tasks[pl.task.Index]
	if !pl.suspect || pl.ackedAt.IsZero() {
		return
	}
	ran := sent.Sub(pl.ackedAt)
	if span, ends := ts.lost.probationTime(); ends && ran >= span {
		pl.probationPassed = true
	}
	if !pl.step.spec.LongRunning || ran < minSettleTime {
		return
	}
	// Others are not kept waiting for a worker until it has proved itself.
	pl.probationPassed = true
	if ran >= ts.lost.settleTime() && ts.lost.suspected() {
		// What lasts sees many workers end in its time, so that old losses do not count against it.
		ts.lost = losses{longestRun: ts.lost.longestRun, unresolved: ts.lost.unresolved}
		cr.markDirty(pl.step.job)
	}
}

// probationTime is how long a suspect is on trial: if workers ended under it a while after its start, it is longer from the second loss on, and as
// long as it runs after the third.
func (lo losses) probationTime() (span time.Duration, ends bool) {
	switch number := lo.weighted(); {
	case number < isolationLosses || !lo.late:
		return shortProbation, true
	case number == isolationLosses:
		return longProbation, true
	}
	return 0, false
}

// quarantined counts the suspects that have a worker to themselves.
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

// placeSuspects starts suspects of a step, each on a worker that gets nothing else until it has proved itself. It reports whether none is
// left waiting.
func (cr *Core) placeSuspects(rd *round, st *step, waiting []int) bool {
	all := true
	for count, at := range waiting {
		if !cr.startWindow.canStart() || cr.deferred(rd, st.job) || !cr.mayStart(st, 1) {
			return false
		}
		if in := st.tasks[at].intent; (in == nil || !in.roomReserved) && (rd.quarantined >= rd.maxQuarantined(st.tasks[at].lost) || st.probationWorkers() >= maxProbationsPerStep) && !rd.hasQuarantineFor(st.job) {
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
		rd.free = machineSize(job.Size(rd.free).Sub(st.spec.ResourceRequest()))
	}
	return all
}

// quarantineFor keeps a worker from tasks of all jobs but one, for the rest of the round.
func (rd *round) quarantineFor(cd *candidate, js *jobState) {
	if cd.quarantinedFor != js {
		cd.quarantinedFor = js
		rd.quarantined++
	}
}

// hasQuarantineFor reports whether a worker is kept for a job that has room for one more of its suspects.
func (rd *round) hasQuarantineFor(js *jobState) bool {
	return slices.ContainsFunc(rd.usable, func(cd *candidate) bool { return cd.quarantinedFor == js })
}

// maxQuarantined is how many suspects may have a worker to themselves at once.
func (rd *round) maxQuarantined(lo losses) int {
	share := quarantineShare
	switch {
	case rd.useIdle:
		share = idleQuarantineShare
	case lo.soleJob:
		share = soleJobQuarantineShare
	}
	// Those that suspects have are not among the usable ones.
	return max(1, int(share*float64(len(rd.usable)+rd.quarantinedBefore)))
}

// probationWorkers counts the workers on which tasks of a step are on trial, or about to be.
func (st *step) probationWorkers() int {
	var ids []WorkerID
	for at := range st.tasks {
		ts := &st.tasks[at]
		id := WorkerID("")
		if pl := ts.placement; pl != nil && pl.onProbation() {
			id = pl.worker.info.ID
		} else if ts.intent != nil && ts.intent.roomReserved && ts.lost.suspected() {
			id = ts.intent.worker
		}
		if id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return len(ids)
}

// reserveForSuspects keeps the workers with the least on them free of other tasks until suspects that need one to themselves find it reserveForSuspects.
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

// isolationAllows reports whether a suspect may be started on a worker: beside tasks that have proved themselves after its first loss, beside none
// but those that last after that.
func (ts *taskState) isolationAllows(now time.Time, st *step, cd *candidate) bool {
	if !ts.lost.suspected() {
		return true
	}
	for _, other := range cd.placed {
		switch {
		case other.step.job == st.job && (st.spec.Gang || other.onProbation()):
			// They are under the same suspicion.
		case other.longRunningFor(now, minSettleTime):
		case ts.lost.needsIsolation():
			return false
		case other.phase != running || other.ackedAt.IsZero() || now.Sub(other.ackedAt) < shortProbation:
			return false
		}
	}
	return true
}

// holdSuspect keeps a suspect whose trial ended in silence from being tried elsewhere before it is known what came of the worker.
func (cr *Core) holdSuspect(now time.Time, pl *placement) {
	if ts := &pl.step.tasks[pl.task.Index]; pl.suspect && ts.lost.weighted() >= isolationLosses {
		ts.notBefore = now.Add(suspectHoldTime)
	}
}

// releaseSuspects lets the suspects go on that waited for word of a worker.
func (cr *Core) releaseSuspects(now time.Time, wk *worker) {
	for _, pl := range wk.leaseExpired {
		ts := &pl.step.tasks[pl.task.Index]
		if ts.notBefore.After(now) {
			ts.notBefore = now
		}
		if slices.Contains(ts.lost.unresolved, wk.info.ID) {
			ts.lost.resolve(wk.info.ID)
			cr.markDirty(pl.step.job)
		}
		pl.step.job.fullyPlaced = false
	}
	wk.leaseExpired = nil
}

// lossPending reports whether the end of a silent worker would still be a loss of tasks.
func (wk *worker) lossPending(now time.Time) bool {
	return len(wk.leaseExpired) > 0 && now.Sub(wk.leaseEnd) < lossPendingFor
}
