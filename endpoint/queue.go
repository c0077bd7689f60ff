package endpoint

import (
	"sync"
	"sync/atomic"

	"github.com/aspenseam/aspenseam/table"
)

// waiter is one request that waits for a place.
type waiter struct {
	// pin is the only endpoint that helps; empty if any does.
	pin  table.InstanceID
	wake chan struct{}
}

// queue holds the requests of one service that wait, in order of arrival.
type queue struct {
	length  atomic.Int32 // read without the lock
	mu      sync.Mutex   // taken only by requests that wait and by releases while some do
	waiters []*waiter
}

// add adds a waiter and reports whether there was room.
func (qu *queue) add(wt *waiter, maxLength int) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if len(qu.waiters) >= maxLength {
		return false
	}
	qu.waiters = append(qu.waiters, wt)
	qu.length.Store(int32(len(qu.waiters)))
	return true
}

// remove removes a waiter that gave up or was served.
func (qu *queue) remove(wt *waiter) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for ix, other := range qu.waiters {
		if other == wt {
			qu.waiters = append(qu.waiters[:ix], qu.waiters[ix+1:]...)
			break
		}
	}
	qu.length.Store(int32(len(qu.waiters)))
}

// wakeNext wakes the first waiter that the endpoint can serve.
func (qu *queue) wakeNext(id table.InstanceID) {
	if qu.length.Load() == 0 {
		return
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, wt := range qu.waiters {
		if wt.pin != "" && wt.pin != id {
			continue
		}
		select {
		case wt.wake <- struct{}{}:
			return
		default: // already woken; the next one may use this place
		}
	}
}
