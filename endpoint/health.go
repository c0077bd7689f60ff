package endpoint

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// latencyWeight and successWeight are the weights of a new sample in the moving averages.
	latencyWeight = 0.1
	successWeight = 0.1
	// minSuccess keeps the cost of a failing endpoint finite.
	minSuccess = 0.05
	// maxEjectLevel bounds the exponential growth of the ejection time.
	maxEjectLevel = 16
)

// HealthStatus says whether an endpoint may be picked.
type HealthStatus int

// The health statuses.
const (
	// StatusHealthy means that the endpoint may get any request.
	StatusHealthy HealthStatus = iota
	// StatusProbeDue means that the endpoint may get one request. Its result ends or extends the ejection.
	StatusProbeDue
	// StatusEjected means that the endpoint gets no requests.
	StatusEjected
)

// health tracks the results of the attempts at one endpoint and ejects it after consecutive failures.
type health struct {
	success movingAverage
	latency movingAverage
	// deviation is the mean absolute deviation of the latency.
	deviation    movingAverage
	failures     atomic.Int32
	ejectLevel   atomic.Int32
	ejectedUntil atomic.Int64 // nanoseconds since 1970
	probing      atomic.Bool
}

// movingAverage is an exponentially weighted moving average that is safe for concurrent use.
type movingAverage struct {
	bits atomic.Uint64
}

func (ma *movingAverage) value() float64 {
	return math.Float64frombits(ma.bits.Load())
}

// add adds a sample. The first sample becomes the average.
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

// status returns the health status at the given time.
func (hl *health) status(now time.Time) HealthStatus {
	if hl.ejectLevel.Load() == 0 {
		return StatusHealthy
	}
	if now.UnixNano() < hl.ejectedUntil.Load() || hl.probing.Load() {
		return StatusEjected
	}
	return StatusProbeDue
}

// startProbe claims the only probe and reports whether it succeeded.
func (hl *health) startProbe() bool {
	return hl.probing.CompareAndSwap(false, true)
}

// recordSuccess records a successful answer and reports whether it ended an ejection.
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

// recordFailure records a failed attempt and reports whether it started an ejection.
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

// eject ejects the endpoint for a time that doubles with the level, up to MaxDuration. It reports whether the endpoint was healthy before.
func (hl *health) eject(now time.Time, level int32, policy EjectPolicy) bool {
	level = min(level, maxEjectLevel)
	duration := min(policy.BaseDuration<<(level-1), policy.MaxDuration)
	hl.ejectedUntil.Store(now.Add(duration).UnixNano())
	return hl.ejectLevel.Swap(level) == 0
}

// cancelProbe frees the probe when its attempt says nothing about the endpoint's health.
func (hl *health) cancelProbe() {
	hl.probing.Store(false)
}
