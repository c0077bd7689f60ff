package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Containment of tasks that crash the workers that start them. A worker that ends lists no ends, so what ran there is all that tells of the
// cause. Its tasks are charged with the loss; those that may have caused it are started again where little is lost by a further crash and
// where that crash tells which task it was.
const (
	// suspectWindow is how long before a worker fell silent a task must have been started to be under suspicion after its first loss. A longer
	// one puts more innocent tasks on trial, and they end later.
	suspectWindow = 150 * time.Millisecond
	// minSettleTime is how long a task that lasts must have run for the end of its worker not to be laid to it: such tasks see many workers
	// end in their time. If one ended sooner than lastingProved after its start, it is lastingTimes as long, up to lastingProved, from then on:
	// what ends its workers after a while does so after much the same time again.
	minSettleTime = 5 * time.Second
	settleFactor  = 8
	maxSettleTime = time.Minute
	// massBreakWindow is how close together the connections of workers must break for something else than a task to be the likely cause, manyOthers
	// how many others it takes: one falls so by chance where many tasks crash workers.
	massBreakWindow = 20 * time.Millisecond
	massBreakPeers  = 2
	// connBreaksBeforeSave is how many calls in a row must break.
	connBreaksBeforeSave = 2
	// maxConnBreaks is how many broken connections are remembered for that.
	maxConnBreaks = 256
	// maxLosses is after how many losses of any kind a job is given up, so that its starts end where no circumstance ever proves its task to be
	// the cause.
	maxLosses = 4
)

// losses are the workers that ended while a task was on them.
type losses struct {
	// workers names those that broke off while it ran. weak counts the others: they had not answered its start, only fell silent, ended
	// together with others, or were about to go, so that they tell little of a cause.
	workers []WorkerID
	weak    int
	// suspect means that the task may have caused one of them, late that one came a while after its start, soleJob that one came when nothing but
	// tasks of its job had just been started there.
	suspect, late, soleJob bool
	// longestRun is the longest time that a task which lasts had run when a worker ended under it and that was not laid to it.
	longestRun time.Duration
	// unresolved are the workers of which it is not known what became of an attempt there: it lapsed, or an earlier owner left it.
	unresolved []WorkerID
}

// weighted is how many there are; of those that tell little, or may still turn out to be none, two or three count as one or two.
func (lo losses) weighted() int { return len(lo.workers) + (lo.weak+len(lo.unresolved))*2/3 }

// suspected reports whether the task may have caused one.
func (lo losses) suspected() bool { return lo.suspect || lo.weighted() >= isolationLosses }

// needsIsolation reports whether the task is started only where nothing else is that may end the worker: what is likely to crash one more is to prove it.
func (lo losses) needsIsolation() bool { return lo.soleJob || lo.weighted() >= isolationLosses }

// total is how many there are, whatever they tell.
func (lo losses) total() int { return len(lo.workers) + lo.weak }

// evidence is what the end of a worker says of an attempt on it.
type evidence struct {
	// strong means that the worker ended while the attempt ran there, and no others with it; onlyCandidate that nothing else there can be the cause.
	strong, onlyCandidate bool
	// recentStart means that the attempt had just been started, onProbation that it was on trial then, soleJob that nothing but tasks of its job had been.
	recentStart, onProbation, soleJob bool
	// aliveAt is when the worker is last known to have lived; an attempt that it had then is known to have run until then.
	aliveAt time.Time
}

// connBreak is when the connections of a worker broke.
type connBreak struct {
	id WorkerID
	at time.Time
}

// Loss tells of a worker that ended with tasks on it.
type Loss struct {
	// Tasks is how many attempts were on the worker.
	Tasks int
	// SinceStart is the time from the newest start there to the first call without an answer.
	SinceStart time.Duration
	// MaxPriorLosses is the highest number of workers that one of the tasks had lost before.
	MaxPriorLosses int
	// ExemptReason says why it does not count against the tasks; empty if it does.
	ExemptReason string
}

// chargeLoss charges the tasks on a worker whose life has ended, or that was not heard of again, with its loss, unless it had said that it
// would leave.
func (cr *Core) chargeLoss(now time.Time, wk *worker, why string, ended bool) {
	silent := now
	if wk.failedPolls > 0 {
		silent = wk.firstFailedAt
	}
	victims := wk.affectedAttempts()
	loss := Loss{Tasks: len(victims)}
	if wk.info.Draining {
		loss.ExemptReason = "it was leaving"
	}
	// That its registration had gone or its machine is wanted may be why it ended, but neither ends a worker by itself.
	doubtful := !ended || wk.registrationRead && !wk.registered && wk.unregisteredAt.Before(silent) || cr.cordoned(now, wk)
	var newest time.Time
	for _, pl := range victims {
		newest = latest(newest, pl.orderedAt)
		loss.MaxPriorLosses = max(loss.MaxPriorLosses, len(pl.step.tasks[pl.task.Index].lost.workers))
	}
	loss.SinceStart = silent.Sub(newest)
	defer cr.trackPendingLoss(wk, cr.affectedJobs(wk.info.ID, victims))
	if len(victims) > 0 {
		cr.opts.Log(Decision{What: "worker lost with tasks", Worker: wk.info.ID, Why: why, PollAge: now.Sub(wk.polledAt), Loss: &loss})
	}
	if loss.ExemptReason != "" {
		cr.clearUnresolved(wk.info.ID)
		cr.releaseSuspects(now, wk)
		return
	}
	// All is judged before any is charged, since a charge changes what is settled.
	judged := make([]evidence, len(victims))
	for at, pl := range victims {
		judged[at] = cr.assessLoss(wk, victims, pl, silent, newest, doubtful)
	}
	for at, pl := range victims {
		cr.charge(now, pl, judged[at])
	}
	cr.chargeUnresolved(now, wk.info.ID)
	cr.releaseSuspects(now, wk)
}

// assessLoss says what the end of a worker tells of an attempt there; newest is when the last one was started.
func (cr *Core) assessLoss(wk *worker, victims []*placement, pl *placement, silent, newest time.Time, doubtful bool) evidence {
	fresh := silent.Sub(pl.orderedAt) <= suspectWindow
	// A worker that never answered the start may have ended before it, one that only fell silent after the attempt was over.
	// What ran for a while beside a task that had just been started is the less likely cause.
	strong := !pl.ackedAt.IsZero() && wk.connBroken && !doubtful && !cr.inMassBreak(wk, silent) && (fresh || silent.Sub(newest) > suspectWindow)
	return evidence{strong: strong, onlyCandidate: cr.onlyJobOnWorker(wk, victims, pl), recentStart: fresh, onProbation: fresh && pl.onProbation(), soleJob: onlyJobStarted(victims, pl, silent), aliveAt: wk.aliveAt}
}

// affectedAttempts are the attempts that a worker's end may have ended: those on it, and those that were given up while it was silent.
func (wk *worker) affectedAttempts() []*placement {
	list := slices.Clone(wk.placed)
	for _, pl := range wk.leaseExpired {
		if ts := &pl.step.tasks[pl.task.Index]; !ts.done && ts.attempt >= pl.attempt && wk.placements[pl.task] == nil {
			list = append(list, pl)
		}
	}
	return list
}

// onlyJobStarted reports whether all that had just been started on a worker was of one job.
func onlyJobStarted(victims []*placement, pl *placement, silent time.Time) bool {
	return !slices.ContainsFunc(victims, func(other *placement) bool {
		return other.step.job != pl.step.job && silent.Sub(other.orderedAt) <= suspectWindow
	})
}

// onlyJobOnWorker reports whether nothing but the tasks of a job can have ended its worker: which of them it was makes no difference to the job.
func (cr *Core) onlyJobOnWorker(wk *worker, victims []*placement, pl *placement) bool {
	if len(wk.foreign) > 0 {
		return false
	}
	for _, other := range victims {
		if other.step.job != pl.step.job && !other.settled(wk.aliveAt) {
			return false
		}
	}
	return true
}

// recordConnBreak remembers that the connections of a worker broke.
func (cr *Core) recordConnBreak(id WorkerID, at time.Time) {
	cr.connBreaks = append(cr.connBreaks, connBreak{id, at})
	if len(cr.connBreaks) > maxConnBreaks {
		cr.connBreaks = slices.Clone(cr.connBreaks[len(cr.connBreaks)-maxConnBreaks/2:])
	}
}

// inMassBreak reports whether several other workers broke off in the same instant as a worker.
func (cr *Core) inMassBreak(wk *worker, silent time.Time) bool {
	others := 0
	for _, bo := range cr.connBreaks {
		if bo.id != wk.info.ID && bo.at.Sub(silent).Abs() < massBreakWindow {
			others++
		}
	}
	return others >= massBreakPeers
}

// settled reports whether an attempt is one of a task that lasts, and had run for so long at a time that it is not what ends a worker.
func (pl *placement) settled(at time.Time) bool {
	return pl.longRunningFor(at, pl.step.tasks[pl.task.Index].lost.settleTime())
}

// longRunningFor reports whether an attempt is one of a task that lasts, and had run for longer than a span at a time.
func (pl *placement) longRunningFor(at time.Time, span time.Duration) bool {
	return pl.step.spec.LongRunning && !pl.ackedAt.IsZero() && at.Sub(pl.ackedAt) > span
}

// settleTime is how long a task that lasts must run to be settled.
func (lo losses) settleTime() time.Duration {
	return min(max(minSettleTime, settleFactor*lo.longestRun), maxSettleTime)
}

// charge notes that a worker ended under an attempt, and gives its job up if that proves its task to be the cause.
func (cr *Core) charge(now time.Time, pl *placement, ev evidence) {
	ts, js := &pl.step.tasks[pl.task.Index], pl.step.job
	ts.lost.resolve(pl.worker.info.ID)
	if ts.done || js.ended() || slices.Contains(ts.lost.workers, pl.worker.info.ID) {
		return
	}
	if pl.settled(ev.aliveAt) {
		if ran := ev.aliveAt.Sub(pl.ackedAt); ran < maxSettleTime && ran > ts.lost.longestRun {
			ts.lost.longestRun = ran
			cr.markDirty(js)
		}
		return
	}
	ts.lost.add(pl.worker.info.ID, ev)
	if ev.strong && ev.recentStart && !pl.step.spec.LongRunning {
		cr.markCrashLoop(now, js.spec.Queue)
	}
	cr.markDirty(js)
	cr.urgentSave = true
	if pl.step.spec.Gang {
		// Which of its members ended the worker is not known, and they start together only.
		for at := range pl.step.tasks {
			open := pl.step.tasks[at].lost.unresolved
			pl.step.tasks[at].lost = ts.lost
			pl.step.tasks[at].lost.unresolved = open
		}
	}
	if ts.lost.conclusive(ev) {
		cr.failCrashingJob(now, pl, ts.lost.workers)
	}
}

// add notes one more.
func (lo *losses) add(id WorkerID, ev evidence) {
	if ev.strong {
		lo.workers = append(lo.workers, id)
	} else {
		lo.weak++
	}
	lo.late = lo.late || !ev.strong || !ev.recentStart
	lo.soleJob = lo.soleJob || ev.strong && ev.recentStart && ev.soleJob
	lo.suspect = lo.suspect || ev.strong && ev.recentStart || lo.weighted() >= isolationLosses
}

// conclusive reports whether the newest loss shows that the task is the cause: after an earlier loss a worker ended right after it was started
// there by itself, or it is the third that ended while nothing else was there, or as many ended as no task may cost.
func (lo *losses) conclusive(ev evidence) bool {
	if lo.total() >= maxLosses {
		return true
	}
	return ev.onlyCandidate && ev.strong && (ev.onProbation && len(lo.workers) >= isolationLosses || len(lo.workers) > isolationLosses)
}

// failCrashingJob ends a job whose task crashes its workers.
func (cr *Core) failCrashingJob(now time.Time, pl *placement, lost []WorkerID) {
	js := pl.step.job
	js.state, js.endedAt = job.Failed, now
	cr.urgentSave = true
	cr.opts.Log(Decision{What: "job failed", Task: pl.task, Attempt: pl.attempt, Worker: pl.worker.info.ID, Why: "workers end under its task", LostWorkers: slices.Clone(lost)})
}

// stored is what is to be known of losses to a next owner.
func (lo losses) stored() job.Losses {
	kept := job.Losses{WeakCount: lo.weak, Suspect: lo.suspect, Late: lo.late, LongestRun: lo.longestRun}
	for _, id := range lo.workers {
		kept.Workers = append(kept.Workers, string(id))
	}
	return kept
}

// restoreLosses is what a former owner kept of losses.
func restoreLosses(kept job.Losses) losses {
	lo := losses{weak: kept.WeakCount, suspect: kept.Suspect, late: kept.Late, longestRun: kept.LongestRun}
	if kept.LegacyUnresolved != "" {
		lo.markUnresolved(WorkerID(kept.LegacyUnresolved))
	}
	for _, id := range kept.Workers {
		lo.workers = append(lo.workers, WorkerID(id))
	}
	return lo
}
