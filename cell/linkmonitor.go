package cell

import "time"

// allSilentAfter is how long no worker may have answered before the owner assumes a fault of its own network link. Cells with work get several
// answers a second.
const allSilentAfter = time.Second

// linkMonitor distinguishes a failure of the owner's own link, when no worker answers, from an unresponsive worker.
type linkMonitor struct {
	// lastAnswer is the time of the newest answer of any worker. answeringSince is the time of the first answer after the last pause of more than
	// allSilentAfter.
	lastAnswer, answeringSince time.Time
}

// recordAnswer records an answer.
func (lm *linkMonitor) recordAnswer(at time.Time) {
	if at.Sub(lm.lastAnswer) > allSilentAfter {
		lm.answeringSince = at
	}
	lm.lastAnswer = latest(lm.lastAnswer, at)
}

// allSilent reports whether no worker has answered within allSilentAfter.
func (lm *linkMonitor) allSilent(now time.Time) bool { return now.Sub(lm.lastAnswer) > allSilentAfter }

// unresponsive reports whether a worker does not answer while others do. If no worker answers, because the owner's link is full, the owner would
// otherwise restart tasks that have already completed.
func (cr *Core) unresponsive(now time.Time, wk *worker) bool {
	return wk.failedPolls > 0 && !cr.link.allSilent(now) && wk.failedPollSentAt.After(cr.link.answeringSince)
}

// leasesExpired reports whether the last leases on a worker have certainly expired and no other owner has renewed them. That is only known once
// the ownership was confirmed after their end.
func (cr *Core) leasesExpired(now time.Time, wk *worker) bool {
	return len(wk.placements) > 0 && cr.confirmedAt.After(wk.leaseEnd) && now.Sub(wk.polledAt) > cr.opts.LeaseDuration
}

// needsAnswer reports whether an answer from any worker is needed to tell whether an unresponsive one is lost.
func (cr *Core) needsAnswer(now time.Time) bool {
	if now.Sub(cr.link.lastAnswer) < allSilentAfter/2 {
		return false
	}
	for _, wk := range cr.sortedWorkers {
		if wk.failedPolls > 0 && len(wk.placements) > 0 && now.After(wk.leaseEnd) {
			return true
		}
	}
	return false
}
