package endpoint

import (
	"math"
	"sync/atomic"
)

const (
	// idleConnections are the connections to one endpoint that wait for the next request.
	idleConnections = 2
	limitShrink     = 0.7
)

// limit bounds the requests in flight to one endpoint; it grows while the endpoint takes them and shrinks when it refuses.
type limit struct {
	bits     atomic.Uint64
	inFlight atomic.Int32
}

// Share is the part of an endpoint's capacity that one entry instance may use.
type Share struct {
	// Least is granted always; Most never exceeded, so that all entry instances together stay below the endpoint's connections.
	Least int
	Most  int
}

// ShareOf divides an endpoint's slots among the live entry instances and its connections among the most there can be.
func ShareOf(slots, connections, entriesLive, entriesMax int) Share {
	most := max(1, min(slots, connections/max(1, entriesMax)-idleConnections))
	least := max(1, min(most, slots/max(1, entriesLive)))
	return Share{Least: least, Most: most}
}

func (lm *limit) value(sh Share) int {
	current := math.Float64frombits(lm.bits.Load())
	return min(max(int(current), sh.Least), sh.Most)
}

// acquire takes a place and reports whether there was one.
func (lm *limit) acquire(sh Share) bool {
	if int(lm.inFlight.Add(1)) <= lm.value(sh) {
		return true
	}
	lm.inFlight.Add(-1)
	return false
}

func (lm *limit) release() {
	lm.inFlight.Add(-1)
}

// grow raises the limit by one for each round of answers that filled it.
func (lm *limit) grow(sh Share) {
	current := lm.value(sh)
	if int(lm.inFlight.Load()) < current {
		return
	}
	lm.change(sh, func(vl float64) float64 { return vl + 1/vl })
}

// shrink lowers the limit after the endpoint refused for want of slots.
func (lm *limit) shrink(sh Share) {
	lm.change(sh, func(vl float64) float64 { return vl * limitShrink })
}

func (lm *limit) change(sh Share, fn func(float64) float64) {
	for {
		before := lm.bits.Load()
		current := max(math.Float64frombits(before), float64(sh.Least))
		next := min(max(fn(current), float64(sh.Least)), float64(sh.Most))
		if lm.bits.CompareAndSwap(before, math.Float64bits(next)) {
			return
		}
	}
}
