package worker

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

const (
	// quarantineThreshold is how many different jobs must fail on a worker, without a success in between, before the worker is suspected.
	quarantineThreshold = 3
	// jobFaultThreshold is on how many healthy workers a job must fail before the job is considered faulty.
	jobFaultThreshold = 3
	// quarantineDuration is how long a suspected worker gets no jobs. One more failure after it quarantines the worker again.
	quarantineDuration = 10 * time.Minute
)

// FailureTracker distinguishes bad workers from bad jobs. A worker is bad if many different jobs fail on it; a job is bad if it fails on many
// healthy workers.
type FailureTracker struct {
	workers map[table.InstanceID]*workerFailures
}

// workerFailures is the failure history of one worker.
type workerFailures struct {
	// failedJobs holds the different jobs that failed since the last success.
	failedJobs []JobID
	// quarantinedUntil is the end of the quarantine; zero without one.
	quarantinedUntil time.Time
}

// NewFailureTracker returns a tracker without any history.
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

// RecordSuccess records that a job succeeded on a worker. It clears the worker's failures and quarantine.
func (ft *FailureTracker) RecordSuccess(id table.InstanceID) {
	*ft.failuresOf(id) = workerFailures{}
}

// RecordFailure records that a job failed on a worker and reports whether this started a quarantine.
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

// Quarantined reports whether a worker is in quarantine at the given time and gets no jobs.
func (ft *FailureTracker) Quarantined(id table.InstanceID, now time.Time) bool {
	wf := ft.workers[id]
	return wf != nil && now.Before(wf.quarantinedUntil)
}

// suspected reports whether so many jobs failed on a worker that its failures are not held against the jobs.
func (ft *FailureTracker) suspected(id table.InstanceID) bool {
	wf := ft.workers[id]
	return wf != nil && len(wf.failedJobs) >= quarantineThreshold
}

// JobAtFault reports whether a job is at fault: it failed on several workers that are not suspected.
func (ft *FailureTracker) JobAtFault(failedOn []table.InstanceID) bool {
	good := 0
	for _, id := range failedOn {
		if !ft.suspected(id) {
			good++
		}
	}
	return good >= jobFaultThreshold
}
