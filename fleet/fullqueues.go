package fleet

import (
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
)

// fullQueueTTL is how long a report of full queues is valid. Reports arrive with the requests for loads, four times a second.
const fullQueueTTL = time.Second

// maxRetryAfter bounds the time after which callers should retry. It is short because the backlog shrinks as other pools
// release machines.
const maxRetryAfter = 10 * time.Second

// fullQueueSet holds the queues whose jobs cannot be run in time at present. The leader of the machine controller collects them
// from the owners of cells and reports them to all instances.
type fullQueueSet struct {
	latest atomic.Pointer[fullQueueReport]
}

// fullQueueReport is the report received at one time. It is replaced, never changed.
type fullQueueReport struct {
	receivedAt time.Time
	queues     map[job.QueueID]time.Duration
}

// update replaces the current report.
func (fs *fullQueueSet) update(now time.Time, list []*peer.FullQueue) {
	queues := map[job.QueueID]time.Duration{}
	for _, fq := range list {
		queues[job.QueueID(fq.Queue)] = time.Duration(fq.ComeBackMillis) * time.Millisecond
	}
	fs.latest.Store(&fullQueueReport{now, queues})
}

// retryAfter returns the time after which callers of a full queue should retry, 0 if the queue is not full.
func (fs *fullQueueSet) retryAfter(now time.Time, id job.QueueID) time.Duration {
	report := fs.latest.Load()
	if report == nil || now.Sub(report.receivedAt) > fullQueueTTL {
		return 0
	}
	if delay, exists := report.queues[id]; exists {
		return min(maxRetryAfter, max(defaultRetryAfter, delay))
	}
	return 0
}

// collectFullQueues returns the full queues that owners reported with their loads.
func collectFullQueues(loads map[job.PoolID]cell.Load) []*peer.FullQueue {
	var list []*peer.FullQueue
	for _, ld := range loads {
		for id, delay := range ld.FullQueues {
			list = append(list, &peer.FullQueue{Queue: string(id), ComeBackMillis: delay.Milliseconds()})
		}
	}
	return list
}
