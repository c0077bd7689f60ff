package endpoint

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// latencyWeight and successWeight are the shares of a new sample in the moving averages.
	latencyWeight = 0.1
	successWeight = 0.1
	// leastSuccess keeps a failing endpoint's score finite.
	leastSuccess = 0.05
	// maxEjectLevel bounds the doubling of the time out.
	maxEjectLevel = 16
)

// Standing is whether an endpoint may get a request now.
type Standing int

// The standings.
const (
	// StandingOpen takes any request.
	StandingOpen Standing = iota
	// StandingTrial takes one request, which decides.
	StandingTrial
	// StandingEjected takes none.
	StandingEjected
)

// health judges one endpoint by the ends of its attempts.
type health struct {
	success average
	latency average
	// deviation is the mean distance of a latency from the average.
	deviation average
	failures  atomic.Int32
	level     atomic.Int32
	until     atomic.Int64 // nanoseconds since 1970
	trialling atomic.Bool
}

// average is an exponentially weighted moving average that many goroutines add to.
type average struct {
	bits atomic.Uint64
}

func (av *average) value() float64 {
	return math.Float64frombits(av.bits.Load())
}

// add mixes in a sample; the first one is taken whole.
func (av *average) add(sample, weight float64) {
	for {
		before := av.bits.Load()
		next := sample
		if before != 0 {
			old := math.Float64frombits(before)
			next = old + weight*(sample-old)
		}
		if av.bits.CompareAndSwap(before, math.Float64bits(next)) {
			return
		}
	}
}

// standing returns whether the endpoint may be picked at a time.
func (hl *health) standing(now time.Time) Standing {
	if hl.level.Load() == 0 {
		return StandingOpen
	}
	if now.UnixNano() < hl.until.Load() || hl.trialling.Load() {
		return StandingEjected
	}
	return StandingTrial
}

// beginTrial claims the one trial and reports whether it got it.
func (hl *health) beginTrial() bool {
	return hl.trialling.CompareAndSwap(false, true)
}

// succeed notes a good answer and reports whether it ended an ejection.
func (hl *health) succeed(took time.Duration) bool {
	hl.success.add(1, successWeight)
	usual := hl.latency.value()
	hl.latency.add(float64(took), latencyWeight)
	if usual > 0 {
		hl.deviation.add(math.Abs(float64(took)-usual), latencyWeight)
	}
	hl.failures.Store(0)
	hl.trialling.Store(false)
	return hl.level.Swap(0) > 0
}

// fail notes a failed attempt and reports whether it began an ejection.
func (hl *health) fail(now time.Time, policy EjectPolicy) bool {
	hl.success.add(leastSuccess, successWeight)
	level := hl.level.Load()
	if level > 0 {
		hl.eject(now, level+1, policy)
		hl.trialling.Store(false)
		return false
	}
	if int(hl.failures.Add(1)) < policy.After {
		return false
	}
	return hl.eject(now, 1, policy)
}

// eject takes the endpoint out for a time that doubles with the level.
func (hl *health) eject(now time.Time, level int32, policy EjectPolicy) bool {
	level = min(level, maxEjectLevel)
	out := min(policy.For<<(level-1), policy.ForMax)
	hl.until.Store(now.Add(out).UnixNano())
	return hl.level.Swap(level) == 0
}

// abandonTrial gives the trial back when its attempt said nothing about the endpoint's health.
func (hl *health) abandonTrial() {
	hl.trialling.Store(false)
}
