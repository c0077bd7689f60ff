package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Figures of what an organisation may hand in before it counts as flooding.
const (
	// defaultWeight is that of an organisation without one.
	defaultWeight = 1.0
	// shareSpan is for how many seconds of its share an organisation may hand in at once, since demand comes in bursts; shareLeast is the least
	// number of jobs.
	shareSpan  = 2.0
	shareLeast = 8.0
)

// allotment says how many jobs of an organisation are within its share: its weight is a number of jobs a second, and what it has not used of
// it lasts for shareSpan.
type allotment struct {
	left float64
	at   time.Time
}

// take counts one more job at a time, and reports whether it is within the share.
func (am *allotment) take(now time.Time, weight float64) bool {
	most := max(shareLeast, shareSpan*weight)
	if am.at.IsZero() {
		am.left, am.at = most, now
	}
	if span := now.Sub(am.at); span > 0 {
		am.left, am.at = min(most, am.left+span.Seconds()*weight), now
	}
	if am.left < 1 {
		return false
	}
	am.left--
	return true
}

// weight is an organisation's share, in jobs a second.
func (cr *Core) weight(id job.OrganisationID) float64 {
	if wt := cr.weights[id]; wt > 0 {
		return wt
	}
	return defaultWeight
}

// beyondShare reports whether a job that comes now is more than its organisation's share. It answers a flood: such a job waits until those of the
// others have started, and what they leave it still gets. Only starts follow it; what runs is short, and stopping it would throw work away.
// Jobs that an earlier owner left count as within it, since they come all at once.
//
// By what runs, against the weights of those who want room, half of the jobs of a burst were beyond it on days without any flood, since a few
// jobs of a small organisation are more than its part of a pool: mean worth 0.455 against 0.487 without shares.
func (cr *Core) beyondShare(now time.Time, js *jobState) bool {
	id := js.spec.Organisation
	if _, known := cr.weights[id]; !known || js.carried {
		return false
	}
	am := cr.allotments[id]
	if am == nil {
		am = &allotment{}
		cr.allotments[id] = am
	}
	return !am.take(now, cr.weight(id))
}
