package cell

import (
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Limits on the jobs that an organisation may submit before it exceeds its share.
const (
	// defaultWeight is the weight of an organisation without a configured weight, in jobs per second.
	defaultWeight = 1.0
	// shareBurstSeconds is the burst that an organisation may submit, in seconds of its share, because demand comes in bursts.
	shareBurstSeconds = 2.0
	// minShareBurst is the smallest burst, in jobs.
	minShareBurst = 8.0
)

// tokenBucket limits the rate of an organisation's jobs to its share. It fills at the organisation's weight in jobs per second. Its size is
// shareBurstSeconds of that rate, but at least minShareBurst jobs.
type tokenBucket struct {
	// jobs is the number of jobs that may still be submitted within the share.
	jobs      float64
	updatedAt time.Time
}

// available fills the bucket and returns the number of jobs in it.
func (tb *tokenBucket) available(now time.Time, weight float64) float64 {
	burst := max(minShareBurst, shareBurstSeconds*weight)
	if tb.updatedAt.IsZero() {
		tb.jobs, tb.updatedAt = burst, now
	}
	if elapsed := now.Sub(tb.updatedAt); elapsed > 0 {
		tb.jobs, tb.updatedAt = min(burst, tb.jobs+elapsed.Seconds()*weight), now
	}
	return tb.jobs
}

// take takes one job from the bucket and reports whether the job is within the share.
func (tb *tokenBucket) take(now time.Time, weight float64) bool {
	if tb.available(now, weight) < 1 {
		return false
	}
	tb.jobs--
	return true
}

// weight returns the share of an organisation in jobs per second.
func (cr *Core) weight(id job.OrganisationID) float64 {
	if wt := cr.weights[id]; wt > 0 {
		return wt
	}
	return defaultWeight
}

// exceedsShare reports whether a job that arrives now exceeds its organisation's share. This protects other organisations from a flood: the job
// starts after their jobs, in the capacity that they leave. Only the order of starts depends on the share. Running tasks are not stopped, because
// they are short and their work would be lost. Jobs taken over from an earlier owner never exceed the share, because they arrive all at once.
//
// The share limits the rate of arrivals, not the size of what runs: a few jobs of a small organisation are more than its part of a pool, so that
// a limit on the running size would put the jobs of an ordinary burst behind those of others.
func (cr *Core) exceedsShare(now time.Time, js *jobState) bool {
	id := js.spec.Organisation
	if _, known := cr.weights[id]; !known || js.inherited {
		return false
	}
	return !cr.shareBucket(id).take(now, cr.weight(id))
}

// shareBucket returns the bucket of an organisation.
func (cr *Core) shareBucket(id job.OrganisationID) *tokenBucket {
	tb := cr.shareBuckets[id]
	if tb == nil {
		tb = &tokenBucket{}
		cr.shareBuckets[id] = tb
	}
	return tb
}
