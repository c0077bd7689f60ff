package cell

import "time"

// allSilentAfter is how long no worker at all may have answered for an owner to doubt its own link: cells in use have several answers a second.
const allSilentAfter = time.Second

// linkMonitor tells an owner that hears of nobody from a worker that is silent while others answer.
type linkMonitor struct {
	// lastAnswer is when the newest answer of any worker came, answeringSince is the first of those that came without a longer pause between them.
	lastAnswer, answeringSince time.Time
}

// recordAnswer notes an answer.
func (he *linkMonitor) recordAnswer(at time.Time) {
	if at.Sub(he.lastAnswer) > allSilentAfter {
		he.answeringSince = at
	}
	he.lastAnswer = latest(he.lastAnswer, at)
}

// allSilent reports whether nobody has answered for a while.
func (he *linkMonitor) allSilent(now time.Time) bool { return now.Sub(he.lastAnswer) > allSilentAfter }

// unresponsive reports whether a worker did not answer while others did: one that hears of nobody, its link being full, would start tasks anew that
// have ended well.
func (cr *Core) unresponsive(now time.Time, wk *worker) bool {
	return wk.failedPolls > 0 && !cr.link.allSilent(now) && wk.failedPollSentAt.After(cr.link.answeringSince)
}

// leasesExpired reports whether a worker's last lease has surely run out, as far as it is this owner's alone to give: only one that is confirmed
// later than its end knows that nobody else has renewed it.
func (cr *Core) leasesExpired(now time.Time, wk *worker) bool {
	return len(wk.placements) > 0 && cr.confirmedAt.After(wk.leaseEnd) && now.Sub(wk.polledAt) > cr.opts.LeaseDuration
}

// needsAnswer reports whether an answer of any worker is wanted, to judge one that is silent.
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
