package endpoint

import (
	"math"
	"sync/atomic"
)

const (
	// maxIdleConnections are the connections to one endpoint that wait for the next request.
	maxIdleConnections  = 2
	limitDecreaseFactor = 0.7
)

// concurrencyLimit bounds the requests in flight to one endpoint; it grows while the endpoint takes them and shrinks when it refuses.
type concurrencyLimit struct {
	bits     atomic.Uint64
	inFlight atomic.Int32
}

// Share is the part of an endpoint's capacity that one entry instance may use.
type Share struct {
	// Least is granted always; Most never exceeded, so that all entry instances together stay below the endpoint's connections.
	Least int
	Most  int
}

// NewShare divides an endpoint's slots among the live entry instances and its connections among the most there can be.
func NewShare(slots, connections, liveEntries, maxEntries int) Share {
	most := max(1, min(slots, connections/max(1, maxEntries)-maxIdleConnections))
	least := max(1, min(most, slots/max(1, liveEntries)))
	return Share{Least: least, Most: most}
}

func (cl *concurrencyLimit) value(sh Share) int {
	current := math.Float64frombits(cl.bits.Load())
	return min(max(int(current), sh.Least), sh.Most)
}

// acquire takes a place and reports whether there was one.
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

// grow raises the limit by one for each round of answers that filled it.
func (cl *concurrencyLimit) grow(sh Share) {
	current := cl.value(sh)
	if int(cl.inFlight.Load()) < current {
		return
	}
	cl.update(sh, func(vl float64) float64 { return vl + 1/vl })
}

// shrink lowers the limit after the endpoint refused for want of slots.
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
