package endpoint

import (
	"math"
	"sync/atomic"
)

const (
	// maxIdleConnections is the number of idle connections kept open to one endpoint.
	maxIdleConnections  = 2
	limitDecreaseFactor = 0.7
)

// concurrencyLimit limits the requests in flight to one endpoint. It increases while the endpoint accepts them
// and decreases when the endpoint refuses.
type concurrencyLimit struct {
	bits     atomic.Uint64
	inFlight atomic.Int32
}

// Share is the part of an endpoint's capacity that one entry instance may use.
type Share struct {
	// Least is always granted. Most is never exceeded, so that all entry instances together stay below the endpoint's connection limit.
	Least int
	Most  int
}

// NewShare divides an endpoint's slots among the live entry instances, and its connections among the maximum number of entry instances.
func NewShare(slots, connections, liveEntries, maxEntries int) Share {
	most := max(1, min(slots, connections/max(1, maxEntries)-maxIdleConnections))
	least := max(1, min(most, slots/max(1, liveEntries)))
	return Share{Least: least, Most: most}
}

func (cl *concurrencyLimit) value(sh Share) int {
	current := math.Float64frombits(cl.bits.Load())
	return min(max(int(current), sh.Least), sh.Most)
}

// acquire takes a slot and reports whether one was free.
func (cl *concurrencyLimit) acquire(sh Share) bool {
	if int(cl.inFlight.Add(1)) <= cl.value(sh) {
		return true
	}
	cl.inFlight.Add(-1)
	return false
}

func (cl *concurrencyLimit) release() {
	cl.inFlight.Add(-1)
}

// grow raises the limit by one for each round of answers that used it fully (additive increase).
func (cl *concurrencyLimit) grow(sh Share) {
	current := cl.value(sh)
	if int(cl.inFlight.Load()) < current {
		return
	}
	cl.update(sh, func(vl float64) float64 { return vl + 1/vl })
}

// shrink lowers the limit after the endpoint refused a request for lack of slots (multiplicative decrease).
func (cl *concurrencyLimit) shrink(sh Share) {
	cl.update(sh, func(vl float64) float64 { return vl * limitDecreaseFactor })
}

func (cl *concurrencyLimit) update(sh Share, fn func(float64) float64) {
	for {
		before := cl.bits.Load()
		current := max(math.Float64frombits(before), float64(sh.Least))
		next := min(max(fn(current), float64(sh.Least)), float64(sh.Most))
		if cl.bits.CompareAndSwap(before, math.Float64bits(next)) {
			return
		}
	}
}
