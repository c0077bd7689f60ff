package worker

import (
	"math"
	"slices"
)

const (
	// maxSamples is how many last uses of a kind are remembered.
	maxSamples = 64
	// minSamples is how many uses must be known before a declared size is corrected.
	minSamples = 5
	// estimateQuantile of the uses is granted; fewer would be throttled often, more would waste.
	estimateQuantile = 0.95
	// estimateMargin is added to it, since the next use may be a little more.
	estimateMargin     = 1.05
	minRatio, maxRatio = 0.05, 8.0
)

// SizeEstimator corrects declared sizes by what jobs of the same kind were seen to use.
type SizeEstimator struct {
	kinds map[Kind]*usageRatios
}

// ratios holds the last uses of a kind as shares of the declared size.
type usageRatios struct {
	cpu, memory []float64
}

// NewSizeEstimator returns a learner that has seen nothing.
func NewSizeEstimator() *SizeEstimator {
	return &SizeEstimator{kinds: map[Kind]*usageRatios{}}
}

// Observe notes what a finished job used.
func (se *SizeEstimator) Observe(kind Kind, declared, used Size) {
	rs := se.kinds[kind]
	if rs == nil {
		rs = &usageRatios{}
		se.kinds[kind] = rs
	}
	rs.cpu = appendSample(rs.cpu, declared.CPUMillis, used.CPUMillis)
	rs.memory = appendSample(rs.memory, declared.MemoryMB, used.MemoryMB)
}

func appendSample(samples []float64, declared, used int) []float64 {
	if declared <= 0 {
		return samples
	}
	samples = append(samples, float64(used)/float64(declared))
	if len(samples) > maxSamples {
		samples = samples[1:]
	}
	return samples
}

// Estimate returns what a job of a kind is expected to need; accelerators are whole and taken as declared.
func (se *SizeEstimator) Estimate(kind Kind, declared Size) Size {
	rs := se.kinds[kind]
	if rs == nil {
		return declared
	}
	return Size{CPUMillis: estimate(rs.cpu, declared.CPUMillis), MemoryMB: estimate(rs.memory, declared.MemoryMB), Accelerators: declared.Accelerators}
}

func estimate(samples []float64, declared int) int {
	if len(samples) < minSamples {
		return declared
	}
	sorted := slices.Sorted(slices.Values(samples))
	index := min(len(sorted)-1, int(math.Ceil(estimateQuantile*float64(len(sorted))))-1)
	ratio := min(max(sorted[index]*estimateMargin, minRatio), maxRatio)
	return int(math.Ceil(float64(declared) * ratio))
}
