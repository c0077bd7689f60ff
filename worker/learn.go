package worker

import (
	"math"
	"slices"
)

const (
	// learnSamples is how many last uses of a kind are remembered.
	learnSamples = 64
	// learnLeast is how many uses must be known before a declared size is corrected.
	learnLeast = 5
	// learnQuantile of the uses is granted; fewer would be throttled often, more would waste.
	learnQuantile = 0.95
	// learnMargin is added to it, since the next use may be a little more.
	learnMargin          = 1.05
	learnFloor, learnTop = 0.05, 8.0
)

// Learner corrects declared sizes by what jobs of the same kind were seen to use.
type Learner struct {
	kinds map[Kind]*ratios
}

// ratios holds the last uses of a kind as shares of the declared size.
type ratios struct {
	cpu, memory []float64
}

// NewLearner returns a learner that has seen nothing.
func NewLearner() *Learner {
	return &Learner{kinds: map[Kind]*ratios{}}
}

// Observe notes what a finished job used.
func (ln *Learner) Observe(kind Kind, declared, used Size) {
	rs := ln.kinds[kind]
	if rs == nil {
		rs = &ratios{}
		ln.kinds[kind] = rs
	}
	rs.cpu = remember(rs.cpu, declared.CPUMillis, used.CPUMillis)
	rs.memory = remember(rs.memory, declared.MemoryMB, used.MemoryMB)
}

func remember(samples []float64, declared, used int) []float64 {
	if declared <= 0 {
		return samples
	}
	samples = append(samples, float64(used)/float64(declared))
	if len(samples) > learnSamples {
		samples = samples[1:]
	}
	return samples
}

// Correct returns what a job of a kind is expected to need; accelerators are whole and taken as declared.
func (ln *Learner) Correct(kind Kind, declared Size) Size {
	rs := ln.kinds[kind]
	if rs == nil {
		return declared
	}
	return Size{CPUMillis: correct(rs.cpu, declared.CPUMillis), MemoryMB: correct(rs.memory, declared.MemoryMB), Accelerators: declared.Accelerators}
}

func correct(samples []float64, declared int) int {
	if len(samples) < learnLeast {
		return declared
	}
	sorted := slices.Sorted(slices.Values(samples))
	index := min(len(sorted)-1, int(math.Ceil(learnQuantile*float64(len(sorted))))-1)
	ratio := min(max(sorted[index]*learnMargin, learnFloor), learnTop)
	return int(math.Ceil(float64(declared) * ratio))
}
