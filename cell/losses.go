package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Bounds of the losses of a task.
const (
	// maxLosses is the number of losses of any kind after which a job fails if its task was observed to run at observedForVerdict of them, of which a
	// strong one counts as strongLossWeight. maxUncertainLosses is the number after which it fails in any case, and maxExplainedLosses the same if
	// losses with a likelier cause are counted. They bound the starts of a task that can never be proved to be the cause. With one bound for all, neighbours that crash workers, and starts
	// that were never carried out, fail jobs that can be done.
	maxLosses          = 4
	maxUncertainLosses = 5
	maxExplainedLosses = 12
	observedForVerdict = 3
	strongLossWeight   = 2
	// survivalFactor is how many times longer than at any of its losses a task must be seen to run for its weak losses to be dropped, and
	// minSurvival is the shortest such time. A task that crashes its workers does so again after about the same time.
	survivalFactor = 2
	minSurvival    = 2 * time.Second
)

// losses records the workers that were lost while a task was on them.
type losses struct {
	// workers lists the losses that are strong evidence: the worker's connections broke while the task ran. weak counts the other losses, which say
	// little about the cause: the worker had not acknowledged the start, timed out without a broken connection, was lost together with others, or
	// was leaving.
	workers []WorkerID
	weak    int
	// observed is the number of weak losses at which the task was observed to run on the worker until its end. explained is the number of weak
	// losses of which another task is by far the likelier cause.
	observed, explained int
	// lostAfter is the longest time that an attempt is known to have run when its worker was lost.
	lostAfter time.Duration
	// suspect means that the task may have caused one of the losses. late means that one came some time after the start of the task. soleJob means
	// that at one of them only tasks of this job had recently been started on the worker.
	suspect, late, soleJob bool
	// longestRun is the longest time that a long-running task had run at a loss that was not charged to it.
	longestRun time.Duration
	// gangLosses holds, for a gang, the attempts of which a loss counts. An attempt of a gang is over with the first worker that is lost under it, so
	// all workers and members that it loses are one loss.
	gangLosses []gangLoss
	// unresolved lists the workers on which the outcome of an attempt is unknown, because its lease expired or an earlier owner left it there.
	unresolved []WorkerID
	// started lists those of the unresolved workers that are known to have started the attempt.
	started []WorkerID
	// history lists all losses with what was known of them, for the log.
	history []LossRecord
}

// gangLoss is the loss that counts for an attempt of a gang. The record is empty if an earlier owner counted it.
type gangLoss struct {
	attempt job.Attempt
	record  LossRecord
}

// beginGangLoss reports whether the loss of a worker is to be added for an attempt of a gang. If another loss already counts for the attempt, the
// stronger evidence of the two is kept.
func (lo *losses) beginGangLoss(attempt job.Attempt, rec LossRecord) bool {
	lo.gangLosses = slices.Clone(lo.gangLosses)
	at := slices.IndexFunc(lo.gangLosses, func(gl gangLoss) bool { return gl.attempt == attempt })
	if at < 0 {
		lo.gangLosses = append(lo.gangLosses, gangLoss{attempt, rec})
		return true
	}
	counted := lo.gangLosses[at].record
	if rec.Kind.weight() <= counted.Kind.weight() || !lo.withdraw(counted) {
		return false
	}
	lo.gangLosses[at].record = rec
	return true
}

// withdraw removes a weak loss. It reports false if the loss does not count any more.
func (lo *losses) withdraw(rec LossRecord) bool {
	at := slices.Index(lo.history, rec)
	if at < 0 || rec.Kind.strong() {
		return false
	}
	lo.history = slices.Delete(slices.Clone(lo.history), at, at+1)
	lo.weak--
	if rec.Kind.observed() {
		lo.observed--
	}
	if rec.Kind == LossExplained {
		lo.explained--
	}
	return true
}

// weighted returns the number of losses, in which two or three that are weak or unresolved count as one or two.
func (lo losses) weighted() int { return len(lo.workers) + (lo.weak+len(lo.unresolved))*2/3 }

// suspected reports whether the task may have caused a loss.
func (lo losses) suspected() bool { return lo.suspect || lo.weighted() >= isolationLosses }

// needsIsolation reports whether the task may only be started where nothing else can crash the worker, so that another crash proves the task to
// be the cause.
func (lo losses) needsIsolation() bool { return lo.soleJob || lo.weighted() >= isolationLosses }

// total returns the number of losses, strong and weak.
func (lo losses) total() int { return len(lo.workers) + lo.weak }

// reachesLimit reports whether the losses, and some more, are enough to fail the job whatever is known of them.
func (lo losses) reachesLimit(more int) bool {
	limit := maxUncertainLosses
	if strongLossWeight*len(lo.workers)+lo.observed >= observedForVerdict {
		limit = maxLosses
	}
	return lo.total()-lo.explained+more >= limit || lo.total()+more >= maxExplainedLosses
}

// survivalTime returns how long the task must be seen to run for its weak losses to be dropped.
func (lo losses) survivalTime() time.Duration {
	return max(minSurvival, survivalFactor*lo.lostAfter)
}

// dropWeak drops the weak losses of a task that has since run in a way that speaks against it being their cause.
func (lo *losses) dropWeak() {
	lo.weak, lo.observed, lo.explained = 0, 0, 0
	lo.history = slices.DeleteFunc(slices.Clone(lo.history), func(rec LossRecord) bool { return !slices.Contains(lo.workers, rec.Worker) })
}

// settleTime returns how long a long-running task must run to be settled.
func (lo losses) settleTime() time.Duration {
	return min(max(minSettleTime, settleFactor*lo.longestRun), maxSettleTime)
}

// add records a loss.
func (lo *losses) add(id WorkerID, ev evidence) {
	if ev.strong {
		lo.workers = append(lo.workers, id)
	} else {
		lo.weak++
		if ev.kind.observed() {
			lo.observed++
		}
		if ev.kind == LossExplained {
			lo.explained++
		}
	}
	lo.lostAfter = max(lo.lostAfter, ev.ran)
	lo.late = lo.late || !ev.strong || !ev.recentStart
	lo.soleJob = lo.soleJob || ev.strong && ev.recentStart && ev.soleJob
	lo.suspect = lo.suspect || ev.strong && ev.recentStart || lo.weighted() >= isolationLosses
}

// conclusive reports whether the newest loss is enough to fail the job. That is the case if, after an earlier loss, the worker was lost right
// after the task had been started there by itself, if it is the third loss with nothing else on the worker, or if the task has reached the limit.
func (lo *losses) conclusive(ev evidence) bool {
	if lo.reachesLimit(0) {
		return true
	}
	return ev.onlyCandidate && ev.strong && (ev.onProbation && len(lo.workers) >= isolationLosses || len(lo.workers) > isolationLosses)
}

// record adds a loss to the history.
func (lo *losses) record(id WorkerID, kind LossKind) {
	lo.history = append(slices.Clone(lo.history), LossRecord{id, kind})
}

// withdrawExplained withdraws the explained losses of some workers. It reports whether there were any.
func (lo *losses) withdrawExplained(workers []WorkerID) bool {
	if lo.explained == 0 {
		return false
	}
	before := len(lo.history)
	lo.history = slices.DeleteFunc(slices.Clone(lo.history), func(rec LossRecord) bool {
		return rec.Kind == LossExplained && slices.Contains(workers, rec.Worker)
	})
	withdrawn := before - len(lo.history)
	lo.explained, lo.weak = lo.explained-withdrawn, lo.weak-withdrawn
	return withdrawn > 0
}

// stored returns the losses in the form in which they are saved for the next owner.
func (lo losses) stored() job.Losses {
	saved := job.Losses{WeakCount: lo.weak, ObservedCount: lo.observed, ExplainedCount: lo.explained, LostAfter: lo.lostAfter, Suspect: lo.suspect, Late: lo.late, LongestRun: lo.longestRun}
	for _, id := range lo.workers {
		saved.Workers = append(saved.Workers, string(id))
	}
	for _, gl := range lo.gangLosses {
		saved.GangAttempts = append(saved.GangAttempts, gl.attempt)
	}
	return saved
}

// restoreLosses returns the losses that an earlier owner saved.
func restoreLosses(saved job.Losses) losses {
	lo := losses{weak: saved.WeakCount, observed: saved.ObservedCount, explained: saved.ExplainedCount, lostAfter: saved.LostAfter, suspect: saved.Suspect, late: saved.Late, longestRun: saved.LongestRun}
	if saved.LegacyUnresolved != "" {
		lo.markUnresolved(WorkerID(saved.LegacyUnresolved), false)
	}
	for _, id := range saved.Workers {
		lo.workers = append(lo.workers, WorkerID(id))
		lo.record(WorkerID(id), LossRestored)
	}
	for _, attempt := range saved.GangAttempts {
		lo.gangLosses = append(lo.gangLosses, gangLoss{attempt: attempt})
	}
	for range lo.weak {
		lo.record("", LossRestored)
	}
	return lo
}

// resolve marks the outcome of the attempt on a worker as known.
func (lo *losses) resolve(id WorkerID) {
	lo.unresolved = without(lo.unresolved, id)
	lo.started = without(lo.started, id)
}

// markUnresolved marks the outcome of the attempt on a worker as unknown. started means that the worker is known to have started it.
func (lo *losses) markUnresolved(id WorkerID, started bool) {
	lo.unresolved = with(lo.unresolved, id)
	if started {
		lo.started = with(lo.started, id)
	}
}

// with returns a list that contains a worker, and without one that does not. The list passed is not changed.
func with(list []WorkerID, id WorkerID) []WorkerID {
	if slices.Contains(list, id) {
		return list
	}
	return append(slices.Clone(list), id)
}

func without(list []WorkerID, id WorkerID) []WorkerID {
	return slices.DeleteFunc(slices.Clone(list), func(other WorkerID) bool { return other == id })
}
