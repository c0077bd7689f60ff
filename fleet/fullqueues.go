package fleet

import (
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
)

// fullFor is how long word that a queue's jobs cannot be served counts. It comes with the question for loads, four times a second.
const fullQueueTTL = time.Second

// comeBackMost bounds the time after which callers are told to come back: what is ahead shrinks as machines become free elsewhere.
const maxRetryAfter = 10 * time.Second

// full holds the queues whose jobs cannot be served at this time, as the holder of the machines' duty gathers them from owners and tells all.
type fullQueueSet struct {
	latest atomic.Pointer[fullQueueReport]
}

// fullWord is what was told at one time. It is replaced, never changed.
type fullQueueReport struct {
	at     time.Time
	queues map[job.QueueID]time.Duration
}

// take notes what was told.
func (fs *fullQueueSet) update(now time.Time, list []*peer.FullQueue) {
	queues := map[job.QueueID]time.Duration{}
	for _, fq := range list {
		queues[job.QueueID(fq.Queue)] = time.Duration(fq.ComeBackMillis) * time.Millisecond
	}
	fs.latest.Store(&fullQueueReport{now, queues})
}

// comeBack is when callers of a queue are to come back whose jobs cannot be served now, 0 if they can.
func (fs *fullQueueSet) retryAfter(now time.Time, id job.QueueID) time.Duration {
	report := fs.latest.Load()
	if report == nil || now.Sub(report.at) > fullQueueTTL {
		return 0
	}
	if delay, exists := report.queues[id]; exists {
		return min(maxRetryAfter, max(defaultRetryAfter, delay))
	}
	return 0
}

// fullQueues are those that owners told with their loads.
func collectFullQueues(loads map[job.PoolID]cell.Load) []*peer.FullQueue {
	var list []*peer.FullQueue
	for _, ld := range loads {
		for id, delay := range ld.Full {
			list = append(list, &peer.FullQueue{Queue: string(id), ComeBackMillis: delay.Milliseconds()})
		}
	}
	return list
}
