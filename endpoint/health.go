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
	// minSuccess keeps a failing endpoint's score finite.
	minSuccess = 0.05
	// maxEjectLevel bounds the doubling of the time out.
	maxEjectLevel = 16
)

// HealthStatus is whether an endpoint may get a request now.
type HealthStatus int

// The standings.
const (
	// StatusHealthy takes any request.
	StatusHealthy HealthStatus = iota
	// StatusProbeDue takes one request, which decides.
	StatusProbeDue
	// StatusEjected takes none.
	StatusEjected
)

// health judges one endpoint by the ends of its attempts.
type health struct {
	success movingAverage
	latency movingAverage
	// deviation is the mean distance of a latency from the average.
	deviation    movingAverage
	failures     atomic.Int32
	ejectLevel   atomic.Int32
	ejectedUntil atomic.Int64 // nanoseconds since 1970
	probing      atomic.Bool
}

// movingAverage is an exponentially weighted moving movingAverage that many goroutines add to.
type movingAverage struct {
	bits atomic.Uint64
}

func (ma *movingAverage) value() float64 {
	return math.Float64frombits(ma.bits.Load())
}

// add mixes in a sample; the first one is taken whole.
func (ma *movingAverage) add(sample, weight float64) {
	for {
		before := ma.bits.Load()
		next := sample
		if before != 0 {
			old := math.Float64frombits(before)
			next = old + weight*(sample-old)
		}
		if ma.bits.CompareAndSwap(before, math.Float64bits(next)) {
			return
		}
	}
}

// status returns whether the endpoint may be picked at a time.
func (hl *health) status(now time.Time) HealthStatus {
	if hl.ejectLevel.Load() == 0 {
		return StatusHealthy
	}
	if now.UnixNano() < hl.ejectedUntil.Load() || hl.probing.Load() {
		return StatusEjected
	}
	return StatusProbeDue
}

// startProbe claims the one trial and reports whether it got it.
func (hl *health) startProbe() bool {
	return hl.probing.CompareAndSwap(false, true)
}

// recordSuccess notes a good answer and reports whether it ended an ejection.
func (hl *health) recordSuccess(latency time.Duration) bool {
	hl.success.add(1, successWeight)
	average := hl.latency.value()
	hl.latency.add(float64(latency), latencyWeight)
	if average > 0 {
		hl.deviation.add(math.Abs(float64(latency)-average), latencyWeight)
	}
	hl.failures.Store(0)
	hl.probing.Store(false)
	return hl.ejectLevel.Swap(0) > 0
}

// recordFailure notes a failed attempt and reports whether it began an ejection.
func (hl *health) recordFailure(now time.Time, policy EjectPolicy) bool {
	hl.success.add(minSuccess, successWeight)
	level := hl.ejectLevel.Load()
	if level > 0 {
		hl.eject(now, level+1, policy)
		hl.probing.Store(false)
		return false
	}
	if int(hl.failures.Add(1)) < policy.ConsecutiveFailures {
		return false
	}
	return hl.eject(now, 1, policy)
}

// eject takes the endpoint out for a time that doubles with the level.
func (hl *health) eject(now time.Time, level int32, policy EjectPolicy) bool {
	level = min(level, maxEjectLevel)
	duration := min(policy.BaseDuration<<(level-1), policy.MaxDuration)
	hl.ejectedUntil.Store(now.Add(duration).UnixNano())
	return hl.ejectLevel.Swap(level) == 0
}

// cancelProbe gives the trial back when its attempt said nothing about the endpoint's health.
func (hl *health) cancelProbe() {
	hl.probing.Store(false)
}
