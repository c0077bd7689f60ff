package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// LossKind says how the loss of a worker was observed for an attempt on it, which decides what the loss says about the attempt's task.
type LossKind string

const (
	// LossAfterStart: the connections broke within suspectWindow after the start.
	LossAfterStart LossKind = "connections broke right after its start"
	// LossWhileRunning: the connections broke, and nothing had recently been started on the worker.
	LossWhileRunning LossKind = "connections broke while it ran"
	// LossBesideStart: the connections broke right after the start of another task.
	LossBesideStart LossKind = "connections broke right after another start"
	// LossExplained: the same, and the attempt had run for minSurvival by then, so that the other task is by far the likelier cause.
	LossExplained LossKind = "connections broke right after another start, had run for some time"
	// LossOfSeveral: the connections of several workers broke at the same time.
	LossOfSeveral LossKind = "several workers ended at once"
	// LossInSilence: the worker ended without breaking its connections.
	LossInSilence LossKind = "worker ended in silence"
	// LossOtherCause: the registration had been removed, or the machine was wanted elsewhere.
	LossOtherCause LossKind = "worker was leaving its pool"
	// LossUnconfirmed: the worker stopped answering for good, and nobody knows whether it has ended.
	LossUnconfirmed LossKind = "end of the worker not confirmed"
	// LossUnacknowledged: the worker had not acknowledged the start, so it may have ended before.
	LossUnacknowledged LossKind = "start not acknowledged"
	// LossUnresolved: an earlier owner, or an expired lease, had left the attempt on the worker. It may never have been started.
	LossUnresolved LossKind = "attempt was left there"
	// LossUnresolvedRun: the same, and the worker is known to have started the attempt.
	LossUnresolvedRun LossKind = "started attempt was left there"
	// LossRestored: the loss was recorded by an earlier owner. Rows do not hold the kind.
	LossRestored LossKind = "recorded by an earlier owner"
	// LossSettled: a long-running task had run for too long to be the cause. It is not charged.
	LossSettled LossKind = "not charged, had run for long"
)

// maxLoggedCharges bounds the length of a log line about a loss.
const maxLoggedCharges = 24

// strong reports whether the loss is strong evidence against the task.
func (lk LossKind) strong() bool { return lk == LossAfterStart || lk == LossWhileRunning }

// observed reports whether the task is known to have run on the worker until that ended, with no other task that is by far the likelier cause.
func (lk LossKind) observed() bool {
	switch lk {
	case LossBesideStart, LossOfSeveral, LossInSilence, LossOtherCause, LossUnresolvedRun:
		return true
	}
	return lk.strong()
}

// weight ranks kinds by how much they say about the task. It is 0 for the kind of a loss that an earlier owner recorded.
func (lk LossKind) weight() int {
	switch {
	case lk.strong():
		return 4
	case lk.observed():
		return 3
	case lk == LossExplained:
		return 1
	case lk == "":
		return 0
	}
	return 2
}

// LossRecord is one loss of a task. Worker is empty if it is not known any more.
type LossRecord struct {
	Worker WorkerID `json:"worker,omitempty"`
	Kind   LossKind `json:"kind"`
}

// Verdict is the evidence on which a job was failed.
type Verdict struct {
	// Strong and Weak are the numbers of losses of each strength.
	Strong, Weak int
	// History lists the losses in the order in which they were charged.
	History []LossRecord
}

// Charge is what the loss of a worker says about one attempt on it.
type Charge struct {
	Job     job.ID      `json:"job"`
	Task    string      `json:"task"`
	Attempt job.Attempt `json:"attempt"`
	Kind    LossKind    `json:"kind"`
	// RanMillis is how long the attempt is known to have run.
	RanMillis int64 `json:"ranMillis"`
}

// chargesOf returns what the log says about the attempts on a lost worker.
func chargesOf(affected []*placement, assessed []evidence) []Charge {
	var list []Charge
	for at, pl := range affected {
		if len(list) == maxLoggedCharges {
			break
		}
		kind := assessed[at].kind
		if pl.settled(assessed[at].aliveAt) {
			kind = LossSettled
		}
		list = append(list, Charge{pl.task.Job, job.TaskKey(pl.task), pl.attempt, kind, pl.ranUntil(assessed[at].aliveAt).Milliseconds()})
	}
	return list
}

// ranUntil returns how long an attempt is known to have run if its worker was alive at a time.
func (pl *placement) ranUntil(at time.Time) time.Duration {
	if pl.ackedAt.IsZero() {
		return 0
	}
	return max(0, at.Sub(pl.ackedAt))
}
