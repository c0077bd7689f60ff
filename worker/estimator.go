package worker

import (
	"math"
	"slices"
)

const (
	// maxSamples is how many of the latest samples are kept per kind.
	maxSamples = 64
	// minSamples is how many samples are needed before a declared size is corrected.
	minSamples = 5
	// estimateQuantile is the quantile of the samples that is granted. A lower one would throttle jobs often, a higher one would waste capacity.
	estimateQuantile = 0.95
	// estimateMargin multiplies the quantile, because the next job may use slightly more.
	estimateMargin     = 1.05
	minRatio, maxRatio = 0.05, 8.0
)

// SizeEstimator corrects declared sizes from the observed use of earlier jobs of the same kind.
type SizeEstimator struct {
	kinds map[Kind]*usageRatios
}

// usageRatios holds the latest samples of a kind, as ratios of used to declared size.
type usageRatios struct {
	cpu, memory []float64
}

// NewSizeEstimator returns an estimator without any samples.
func NewSizeEstimator() *SizeEstimator {
	return &SizeEstimator{kinds: map[Kind]*usageRatios{}}
}

// Observe records what a finished job used.
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

// Estimate returns what a job of a kind is expected to need. Accelerators cannot be divided and are taken as declared.
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
