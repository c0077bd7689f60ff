package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Trials of suspects.
const (
	// probation is how long a suspect is the only new task on its worker; the answer to a look within it tells that it lives.
	probation = 150 * time.Millisecond
	// lossesAlone is from how many lost workers on a suspect has an empty worker to itself, for longProbation; after one more as long as it runs.
	lossesAlone   = 2
	longProbation = 2 * time.Second
	// trialShare is the part of the workers that suspects may have to themselves at once, so that the others go on with their work.
	trialShare = 0.25
	// trialSpare is the part that they may have where nothing else is to be started, so that workers do not stand idle while suspects wait.
	trialSpare = 0.75
	// trialSole is the part that they may have of which it is as good as known that they will end the next one, too.
	trialSole = 0.1
	// trialsStep is how many tasks of one step may be on trial at once: where all of them crash their workers, two losses are enough to know.
	trialsStep = 2
	// weightCompany keeps suspects from workers with other tasks; it only ranks.
	weightCompany = 5.0
	// lossOpenFor is for how long after its lease's end it is asked whether a silent worker lives, since its end would be a loss of its tasks.
	lossOpenFor = 30 * time.Second
	// holdFor is how long a suspect waits at most for word of the worker on which it was tried and that fell silent: it may be one more.
	holdFor = 10 * time.Second
)

// onTrial reports whether an attempt of a suspect has not proved yet that its worker outlives it.
func (pl *placement) onTrial() bool { return pl.trial && !pl.passed }

// spared reports whether an attempt is not stopped for others: its task has cost workers, and would have to be tried once more.
func (pl *placement) spared() bool {
	lost := pl.step.tasks[pl.task.Index].lost
	return lost.total()+len(lost.open) >= lossesAlone
}

// proved notes that a worker answers with an attempt running there, which clears a suspect of suspicion in time.
func (cr *Core) proved(pl *placement, sent time.Time) {
	ts := &pl.step.tasks[pl.task.Index]
	if !pl.trial || pl.acked.IsZero() {
		return
	}
	ran := sent.Sub(pl.acked)
	if span, ends := ts.lost.probation(); ends && ran >= span {
		pl.passed = true
	}
	if !pl.step.spec.LongRunning || ran < lastingYoung {
		return
	}
	// Others are not kept waiting for a worker until it has proved itself.
	pl.passed = true
	if ran >= ts.lost.settles() && ts.lost.suspected() {
		// What lasts sees many workers end in its time, so that old losses do not count against it.
		ts.lost = losses{ran: ts.lost.ran, open: ts.lost.open}
		cr.markDirty(pl.step.job)
	}
}

// probation is how long a suspect is on trial: if workers ended under it a while after its start, it is longer from the second loss on, and as
// long as it runs after the third.
func (lo losses) probation() (span time.Duration, ends bool) {
	switch number := lo.number(); {
	case number < lossesAlone || !lo.late:
		return probation, true
	case number == lossesAlone:
		return longProbation, true
	}
	return 0, false
}

// trials counts the suspects that have a worker to themselves.
func (cr *Core) trials() int {
	count := 0
	for _, wk := range cr.list {
		if wk.fails == 0 && wk.onTrial() {
			count++
		}
	}
	return count
}

// onTrial reports whether a suspect has the worker to itself.
func (wk *worker) onTrial() bool {
	if wk.trials == 0 {
		return false
	}
	return slices.ContainsFunc(wk.placed, (*placement).onTrial)
}

// placeSuspects starts suspects of a step, each on a worker that gets nothing else until it has proved itself. It reports whether none is
// left waiting.
func (cr *Core) placeSuspects(rd *round, st *step, waiting []int) bool {
	all := true
	for count, at := range waiting {
		if !cr.window.open() || cr.deferred(rd, st.job) || !cr.mayStart(st, 1) {
			return false
		}
		if in := st.tasks[at].intent; (in == nil || !in.held) && (rd.quarantined >= rd.trialsMost(st.tasks[at].lost) || st.onTrial() >= trialsStep) && !rd.keeps(st.job) {
			rd.suspectsWaiting = rd.suspectsWaiting || st.onTrial() < trialsStep
			all = false
			continue
		}
		cd := cr.pick(rd, st, at)
		if cd == nil {
			cr.empty(rd, st, len(waiting)-count)
			return false
		}
		rd.keepFor(cd, st.job)
		if !cr.kept(rd, st, at, cd) {
			rd.hold(st.tasks[at].intent)
			all = false
			continue
		}
		cr.startTask(rd.now, st, at, cd, st.tasks[at].attempt+1)
		rd.free = machineSize(job.Size(rd.free).Sub(st.spec.ResourceRequest()))
	}
	return all
}

// keepFor keeps a worker from tasks of all jobs but one, for the rest of the round.
func (rd *round) keepFor(cd *candidate, js *jobState) {
	if cd.quarantinedFor != js {
		cd.quarantinedFor = js
		rd.quarantined++
	}
}

// keeps reports whether a worker is kept for a job that has room for one more of its suspects.
func (rd *round) keeps(js *jobState) bool {
	return slices.ContainsFunc(rd.usable, func(cd *candidate) bool { return cd.quarantinedFor == js })
}

// trialsMost is how many suspects may have a worker to themselves at once.
func (rd *round) trialsMost(lo losses) int {
	share := trialShare
	switch {
	case rd.useIdle:
		share = trialSpare
	case lo.sole:
		share = trialSole
	}
	// Those that suspects have are not among the usable ones.
	return max(1, int(share*float64(len(rd.usable)+rd.quarantinedBefore)))
}

// onTrial counts the workers on which tasks of a step are on trial, or about to be.
func (st *step) onTrial() int {
	var ids []WorkerID
	for at := range st.tasks {
		ts := &st.tasks[at]
		id := WorkerID("")
		if pl := ts.placement; pl != nil && pl.onTrial() {
			id = pl.worker.info.ID
		} else if ts.intent != nil && ts.intent.held && ts.lost.suspected() {
			id = ts.intent.worker
		}
		if id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return len(ids)
}

// empty keeps the workers with the least on them free of other tasks until suspects that need one to themselves find it empty.
func (cr *Core) empty(rd *round, st *step, count int) {
	for range min(count, trialsStep) {
		if rd.quarantined >= rd.trialsMost(losses{}) {
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

// suits reports whether a suspect may be started on a worker: beside tasks that have proved themselves after its first loss, beside none
// but those that last after that.
func (ts *taskState) suits(now time.Time, st *step, cd *candidate) bool {
	if !ts.lost.suspected() {
		return true
	}
	for _, other := range cd.placed {
		switch {
		case other.step.job == st.job && (st.spec.Gang || other.onTrial()):
			// They are under the same suspicion.
		case other.lastsFor(now, lastingYoung):
		case ts.lost.alone():
			return false
		case other.phase != running || other.acked.IsZero() || now.Sub(other.acked) < probation:
			return false
		}
	}
	return true
}

// hold keeps a suspect whose trial ended in silence from being tried elsewhere before it is known what came of the worker.
func (cr *Core) hold(now time.Time, pl *placement) {
	if ts := &pl.step.tasks[pl.task.Index]; pl.trial && ts.lost.number() >= lossesAlone {
		ts.notBefore = now.Add(holdFor)
	}
}

// unhold lets the suspects go on that waited for word of a worker.
func (cr *Core) unhold(now time.Time, wk *worker) {
	for _, pl := range wk.lapsed {
		ts := &pl.step.tasks[pl.task.Index]
		if ts.notBefore.After(now) {
			ts.notBefore = now
		}
		if slices.Contains(ts.lost.open, wk.info.ID) {
			ts.lost.close(wk.info.ID)
			cr.markDirty(pl.step.job)
		}
		pl.step.job.fullyPlaced = false
	}
	wk.lapsed = nil
}

// lossOpen reports whether the end of a silent worker would still be a loss of tasks.
func (wk *worker) lossOpen(now time.Time) bool {
	return len(wk.lapsed) > 0 && now.Sub(wk.leaseEnd) < lossOpenFor
}
