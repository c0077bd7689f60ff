package worker

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

const (
	// quarantineThreshold is how many different jobs must fail in a row on a worker before it is doubted.
	quarantineThreshold = 3
	// jobFaultThreshold is how many good workers must fail a job before the job is to blame.
	jobFaultThreshold = 3
	// quarantineDuration is how long a doubted worker gets nothing; after it one job tries it.
	quarantineDuration = 10 * time.Minute
)

// FailureTracker tells bad workers from bad jobs: a worker is bad when many different jobs fail there, a job when it fails on many good workers.
type FailureTracker struct {
	workers map[table.InstanceID]*workerFailures
}

// workerFailures is what is known of one worker.
type workerFailures struct {
	// failedJobs holds the different jobs that failedJobs since the last success.
	failedJobs []JobID
	// quarantinedUntil is the end of a quarantine; zero without one.
	quarantinedUntil time.Time
}

// NewFailureTracker returns a judge that has seen nothing.
func NewFailureTracker() *FailureTracker {
	return &FailureTracker{workers: map[table.InstanceID]*workerFailures{}}
}

func (ft *FailureTracker) failuresOf(id table.InstanceID) *workerFailures {
	wf := ft.workers[id]
	if wf == nil {
		wf = &workerFailures{}
		ft.workers[id] = wf
	}
	return wf
}

// RecordSuccess notes that a job ended well on a worker.
func (ft *FailureTracker) RecordSuccess(id table.InstanceID) {
	*ft.failuresOf(id) = workerFailures{}
}

// RecordFailure notes that a job failed on a worker and reports whether that began a quarantine.
func (ft *FailureTracker) RecordFailure(id table.InstanceID, job JobID, now time.Time) bool {
	wf := ft.failuresOf(id)
	if !slices.Contains(wf.failedJobs, job) {
		wf.failedJobs = append(wf.failedJobs, job)
	}
	if len(wf.failedJobs) < quarantineThreshold {
		return false
	}
	began := !now.Before(wf.quarantinedUntil)
	wf.quarantinedUntil = now.Add(quarantineDuration)
	return began
}

// Quarantined reports whether a worker gets nothing at a time.
func (ft *FailureTracker) Quarantined(id table.InstanceID, now time.Time) bool {
	wf := ft.workers[id]
	return wf != nil && now.Before(wf.quarantinedUntil)
}

// suspected reports whether a worker's failures say little of the jobs that failed there.
func (ft *FailureTracker) suspected(id table.InstanceID) bool {
	wf := ft.workers[id]
	return wf != nil && len(wf.failedJobs) >= quarantineThreshold
}

// JobAtFault reports whether a job is to blame: it failed on several workers that are not doubted.
func (ft *FailureTracker) JobAtFault(failedOn []table.InstanceID) bool {
	good := 0
	for _, id := range failedOn {
		if !ft.suspected(id) {
			good++
		}
	}
	return good >= jobFaultThreshold
}
