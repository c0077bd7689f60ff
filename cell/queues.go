package cell

import (
	"slices"

	"github.com/aspenseam/aspenseam/job"
)

// Queues of the configuration, and the jobs of queues that have been moved, renamed or removed since.

// Configure sets the queues. Queues that are gone keep their last policy for the jobs that they have accepted.
func (cr *Core) Configure(queues []job.Queue) {
	cr.configured = make(map[job.QueueID]job.Queue, len(queues))
	for _, qu := range queues {
		cr.queues[qu.ID], cr.configured[qu.ID] = qu, qu
	}
}

// queueOf returns the queue of a job. If it was gone before this owner began, its policy is that of the job's acceptance.
func (cr *Core) queueOf(sp *job.Spec) job.Queue {
	if qu, known := cr.queues[sp.Queue]; known {
		return qu
	}
	return sp.FormerQueue()
}

// SetPausedQueues sets the queues whose jobs are not started. Running tasks continue. The caller must not modify the map afterwards.
func (cr *Core) SetPausedQueues(queues map[job.QueueID]bool) { cr.pausedQueues = queues }

// Pending returns the number of jobs of a queue of which no task has started.
func (cr *Core) Pending(queue job.QueueID) int {
	count := 0
	for _, js := range cr.openJobs {
		if js.isPending() && (js.spec.Queue == queue || cr.currentQueue(js.spec).ID == queue) {
			count++
		}
	}
	return count
}

// MovedQueues returns the queues with pending jobs here that the configuration sends to another pool.
func (cr *Core) MovedQueues() []job.QueueID {
	var ids []job.QueueID
	for _, js := range cr.openJobs {
		if !js.isPending() {
			continue
		}
		if qu := cr.currentQueue(js.spec); qu.ID != "" && qu.Pool != cr.pool && !slices.Contains(ids, qu.ID) {
			ids = append(ids, qu.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// isPending reports whether no task of an open job has started.
func (js *jobState) isPending() bool { return !js.begun && !js.cancelled && !js.state.Ended() }

// currentQueue returns the configured queue under which callers find a job: its own, or if that is gone, the one with the same host and path.
// It is empty if there is none.
func (cr *Core) currentQueue(sp *job.Spec) job.Queue {
	if qu, known := cr.configured[sp.Queue]; known {
		return qu
	}
	former := cr.queueOf(sp)
	for _, qu := range cr.configured {
		if former.PathPrefix != "" && qu.Host == former.Host && qu.PathPrefix == former.PathPrefix {
			return qu
		}
	}
	return job.Queue{}
}
