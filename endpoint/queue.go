package endpoint

import (
	"sync"
	"sync/atomic"

	"github.com/aspenseam/aspenseam/table"
)

// waiter is a request that waits for a slot.
type waiter struct {
	// pin is the only endpoint that can serve the request; empty if any can.
	pin  table.InstanceID
	wake chan struct{}
}

// queue holds the waiting requests of one service in order of arrival.
type queue struct {
	length  atomic.Int32 // read without the lock
	mu      sync.Mutex   // locked only by waiting requests, and by releases while there are any
	waiters []*waiter
}

// add adds a waiter and reports whether the queue had room.
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

// wakeNext wakes the first waiter that the endpoint can serve and that has not been woken yet.
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
		default: // already woken; the next waiter may use this slot
		}
	}
}
