package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Containment of tasks that crash the workers that start them. A worker that crashes reports no ended attempts, so the only evidence is which
// attempts ran on it. The core charges the loss of the worker to their tasks. Tasks that may have caused the crash are restarted where another
// crash costs little and shows which task is the cause.
const (
	// suspectWindow is the maximum time between the start of a task and the first failed poll of its worker for the task to become a suspect after
	// its first loss. A longer window puts more harmless tasks on probation, which delays them.
	suspectWindow = 150 * time.Millisecond
	// minSettleTime is how long a long-running task must have run for the loss of its worker not to be charged to it, since such tasks outlive many
	// workers. If a worker was lost under the task sooner than maxSettleTime after its start, the task must from then on run settleFactor times as
	// long, up to maxSettleTime: a task that crashes its workers after some time does so again after about the same time.
	minSettleTime = 5 * time.Second
	settleFactor  = 8
	maxSettleTime = time.Minute
	// massBreakWindow is the maximum time between broken connections of several workers for which a common cause other than a task is assumed.
	// massBreakPeers is how many other workers must be affected. A single one coincides by chance where many tasks crash workers.
	massBreakWindow = 20 * time.Millisecond
	massBreakPeers  = 2
	// connBreaksBeforeSave is how many consecutive calls to a worker must fail before a save records what ran on it.
	connBreaksBeforeSave = 2
	// maxConnBreaks is how many broken connections are remembered to detect mass breaks.
	maxConnBreaks = 256
)

// evidence is what the loss of a worker says about an attempt that was on it.
type evidence struct {
	// strong means that the worker was lost while the attempt ran on it, and not together with other workers. onlyCandidate means that nothing else
	// on the worker can be the cause.
	strong, onlyCandidate bool
	// recentStart means that the attempt had been started within suspectWindow. onProbation means that it was also on probation. soleJob means that
	// only tasks of its job had been started recently.
	recentStart, onProbation, soleJob bool
	// aliveAt is when the worker is last known to have been alive. An attempt that was on it then is known to have run until then, for ran.
	aliveAt time.Time
	ran     time.Duration
	// kind says how the loss was observed.
	kind LossKind
}

// connBreak records when the connections of a worker broke.
type connBreak struct {
	id WorkerID
	at time.Time
}

// Loss describes the loss of a worker with attempts on it.
type Loss struct {
	// Tasks is the number of attempts on the worker.
	Tasks int
	// SinceStart is the time from the newest start on the worker to the first failed poll.
	SinceStart time.Duration
	// MaxPriorLosses is the highest number of strong losses that one of the tasks had before.
	MaxPriorLosses int
	// ExemptReason says why the loss is not charged to the tasks. It is empty if the loss is charged.
	ExemptReason string
	// Charges lists what the loss says about each of up to maxLoggedCharges attempts. It is empty if there is an ExemptReason.
	Charges []Charge
}

// chargeLoss charges the loss of a worker to the tasks on it, unless its end was planned. ended means that the worker's incarnation is known to have
// ended; otherwise the worker only stopped answering for good.
func (cr *Core) chargeLoss(now time.Time, wk *worker, why string, ended bool) {
	failedAt := wk.failureNoticedAt(now)
	affected := wk.affectedAttempts()
	loss := Loss{Tasks: len(affected), ExemptReason: cr.plannedEndReason(wk, failedAt)}
	wk.planned.current = PlannedEnd{Leaving: loss.ExemptReason != ""}
	// A removed registration or a cordoned machine may explain the loss, but neither ends a worker by itself.
	otherCause := !ended || wk.registrationRead && !wk.registered && wk.unregisteredAt.Before(failedAt) || cr.cordoned(now, wk)
	var newest time.Time
	for _, pl := range affected {
		newest = latest(newest, pl.orderedAt)
		loss.MaxPriorLosses = max(loss.MaxPriorLosses, len(pl.step.tasks[pl.task.Index].losses.workers))
	}
	loss.SinceStart = failedAt.Sub(newest)
	defer cr.trackPendingLoss(wk, cr.affectedJobs(wk.info.ID, affected))
	// Assess all attempts before charging any, since a charge changes which attempts count as settled.
	assessed := make([]evidence, len(affected))
	for at, pl := range affected {
		assessed[at] = cr.assessLoss(wk, affected, pl, failedAt, newest, ended, otherCause)
	}
	if loss.ExemptReason == "" {
		loss.Charges = chargesOf(affected, assessed)
	}
	if len(affected) > 0 {
		cr.opts.Log(Decision{What: "worker lost with tasks", Worker: wk.info.ID, Why: why, PollAge: now.Sub(wk.polledAt), Loss: &loss})
	}
	if loss.ExemptReason != "" {
		cr.clearUnresolved(wk.info.ID)
		cr.releaseSuspects(now, wk)
		return
	}
	for at, pl := range affected {
		cr.charge(now, pl, assessed[at])
	}
	cr.chargeUnresolved(now, wk.info.ID)
	cr.releaseSuspects(now, wk)
}

// assessLoss returns the evidence that the loss of a worker gives about an attempt on it. newest is the time of the last start on the worker.
func (cr *Core) assessLoss(wk *worker, affected []*placement, pl *placement, failedAt, newest time.Time, ended, otherCause bool) evidence {
	recent := failedAt.Sub(pl.orderedAt) <= suspectWindow
	kind := cr.lossKind(wk, pl, failedAt, newest, ended, otherCause)
	return evidence{
		kind: kind, strong: kind.strong(), onlyCandidate: cr.onlyJobOnWorker(wk, affected, pl), recentStart: recent,
		onProbation: recent && pl.onProbation(), soleJob: onlyJobStarted(affected, pl, failedAt), aliveAt: wk.aliveAt, ran: pl.ranUntil(wk.aliveAt),
	}
}

// lossKind returns how the loss of a worker was observed for an attempt on it.
func (cr *Core) lossKind(wk *worker, pl *placement, failedAt, newest time.Time, ended, otherCause bool) LossKind {
	switch {
	case pl.ackedAt.IsZero():
		return LossUnacknowledged
	case !ended:
		return LossUnconfirmed
	case otherCause:
		return LossOtherCause
	case !wk.connBroken:
		return LossInSilence
	case cr.inMassBreak(wk, failedAt):
		return LossOfSeveral
	case failedAt.Sub(pl.orderedAt) <= suspectWindow:
		return LossAfterStart
	case failedAt.Sub(newest) > suspectWindow:
		return LossWhileRunning
	}
	if pl.ranUntil(wk.aliveAt) >= minSurvival {
		return LossExplained
	}
	return LossBesideStart
}

// affectedAttempts returns the attempts that the loss of the worker may have ended: those on it, and those whose lease expired while the worker
// was unresponsive.
func (wk *worker) affectedAttempts() []*placement {
	list := slices.Clone(wk.placed)
	for _, pl := range wk.leaseExpired {
		if ts := &pl.step.tasks[pl.task.Index]; !ts.done && ts.attempt >= pl.attempt && wk.placements[pl.task] == nil {
			list = append(list, pl)
		}
	}
	return list
}

// onlyJobStarted reports whether all attempts recently started on a worker belong to one job.
func onlyJobStarted(affected []*placement, pl *placement, failedAt time.Time) bool {
	return !slices.ContainsFunc(affected, func(other *placement) bool {
		return other.step.job != pl.step.job && failedAt.Sub(other.orderedAt) <= suspectWindow
	})
}

// onlyJobOnWorker reports whether only tasks of one job can have caused the loss of the worker. Which task of the job it was makes no difference
// to the job.
func (cr *Core) onlyJobOnWorker(wk *worker, affected []*placement, pl *placement) bool {
	if len(wk.foreign) > 0 {
		return false
	}
	for _, other := range affected {
		if other.step.job != pl.step.job && !other.settled(wk.aliveAt) {
			return false
		}
	}
	return true
}

// recordConnBreak records that the connections of a worker broke.
func (cr *Core) recordConnBreak(id WorkerID, at time.Time) {
	cr.connBreaks = append(cr.connBreaks, connBreak{id, at})
	if len(cr.connBreaks) > maxConnBreaks {
		cr.connBreaks = slices.Clone(cr.connBreaks[len(cr.connBreaks)-maxConnBreaks/2:])
	}
}

// inMassBreak reports whether the connections of several other workers broke at the same time.
func (cr *Core) inMassBreak(wk *worker, failedAt time.Time) bool {
	others := 0
	for _, cb := range cr.connBreaks {
		if cb.id != wk.info.ID && cb.at.Sub(failedAt).Abs() < massBreakWindow {
			others++
		}
	}
	return others >= massBreakPeers
}

// settled reports whether an attempt belongs to a long-running task and had run for so long that it is not taken for the cause of a loss.
func (pl *placement) settled(at time.Time) bool {
	return pl.longRunningFor(at, pl.step.tasks[pl.task.Index].losses.settleTime())
}

// longRunningFor reports whether an attempt belongs to a long-running task and had run for longer than span.
func (pl *placement) longRunningFor(at time.Time, span time.Duration) bool {
	return pl.step.spec.LongRunning && !pl.ackedAt.IsZero() && at.Sub(pl.ackedAt) > span
}

// charge records the loss of a worker against an attempt, and fails the job if that proves its task to be the cause.
func (cr *Core) charge(now time.Time, pl *placement, ev evidence) {
	ts, js := &pl.step.tasks[pl.task.Index], pl.step.job
	ts.losses.resolve(pl.worker.info.ID)
	if ts.done || js.ended() || slices.Contains(ts.losses.workers, pl.worker.info.ID) {
		return
	}
	if pl.settled(ev.aliveAt) {
		if ran := ev.aliveAt.Sub(pl.ackedAt); ran < maxSettleTime && ran > ts.losses.longestRun {
			ts.losses.longestRun = ran
			cr.markDirty(js)
		}
		return
	}
	if pl.step.spec.Gang && !ts.losses.beginGangLoss(pl.attempt, LossRecord{pl.worker.info.ID, ev.kind}) {
		return
	}
	ts.losses.add(pl.worker.info.ID, ev)
	ts.losses.record(pl.worker.info.ID, ev.kind)
	if ev.strong && ev.recentStart && !pl.step.spec.LongRunning {
		cr.markCrashLoop(now, js.spec.Queue)
	}
	cr.markDirty(js)
	cr.urgentSave = true
	if pl.step.spec.Gang {
		// The members of a gang only start together, and it is unknown which of them caused the loss.
		for at := range pl.step.tasks {
			member := &pl.step.tasks[at].losses
			unresolved, started := member.unresolved, member.started
			*member = ts.losses
			member.unresolved, member.started = unresolved, started
		}
	}
	if ts.losses.conclusive(ev) {
		cr.failCrashingJob(now, pl, ts.losses)
	}
}

// failCrashingJob fails a job whose task crashes its workers.
func (cr *Core) failCrashingJob(now time.Time, pl *placement, lo losses) {
	js := pl.step.job
	js.state, js.endedAt = job.Failed, now
	cr.urgentSave = true
	cr.withdrawExplained(lo.workers)
	cr.opts.Log(Decision{What: "job failed", Task: pl.task, Attempt: pl.attempt, Worker: pl.worker.info.ID, Why: "workers end under its task", Verdict: &Verdict{Strong: len(lo.workers), Weak: lo.weak, History: slices.Clone(lo.history)}})
}

// withdrawExplained withdraws the losses that tasks have for workers which another job has now been failed for.
func (cr *Core) withdrawExplained(workers []WorkerID) {
	for _, js := range cr.openJobs {
		for _, rn := range js.runs {
			for _, st := range rn.steps {
				for at := range st.tasks {
					if st.tasks[at].losses.withdrawExplained(workers) {
						cr.markDirty(js)
					}
				}
			}
		}
	}
}
