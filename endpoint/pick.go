package endpoint

import (
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Load is what a choice between endpoints is made from.
type Load struct {
	ID table.InstanceID
	// SameHall says that the endpoint is in the entry instance's own hall.
	SameHall bool
	Health   HealthStatus
	InFlight int
	Limit    int
	// Latency is the average time of good answers; 0 if there was none yet.
	Latency time.Duration
	// Success is the share of good answers, 0 to 1; 0 if there was none yet.
	Success float64
	// Tried says that this request was at the endpoint before.
	Tried bool
}

// Choice is the outcome of a pick.
type Choice struct {
	// Index is the chosen load's place; negative if none can be had.
	Index int
	// Probe says that the choice is the one trial of an ejected endpoint.
	Probe bool
	// Full says that there are endpoints and all are at their limit.
	Full bool
}

// cost is lower for an endpoint that answers well and has little to do.
func (ld Load) cost() float64 {
	success := ld.Success
	if success == 0 {
		success = 1
	}
	success = max(success, minSuccess)
	latency := max(float64(ld.Latency), float64(time.Millisecond))
	return float64(ld.InFlight+1) * latency / (success * success)
}

// Pick chooses an endpoint: a due trial first, then the better of two random ones in the own hall, then elsewhere.
// When more than shareMax of the endpoints are ejected, or no other is left, ejections are disregarded.
func Pick(loads []Load, repeatable bool, shareMax float64, random func(n int) int) Choice {
	if len(loads) == 0 {
		return Choice{Index: -1}
	}
	ignoreEjections := ejectionsUntrusted(loads, shareMax)
	if repeatable && !ignoreEjections {
		if index := findDueProbe(loads); index >= 0 {
			return Choice{Index: index, Probe: true}
		}
	}
	for _, tried := range []bool{false, true} {
		for _, sameHall := range []bool{true, false} {
			index := pickCheaper(loads, random, func(ld Load) bool {
				return ld.SameHall == sameHall && ld.Tried == tried && (ignoreEjections || ld.Health == StatusHealthy) && ld.InFlight < ld.Limit
			})
			if index >= 0 {
				return Choice{Index: index}
			}
		}
	}
	return Choice{Index: -1, Full: true}
}

// ejectionsUntrusted reports whether so many look bad that the detector is more likely wrong than they.
func ejectionsUntrusted(loads []Load, shareMax float64) bool {
	ejected := 0
	for _, ld := range loads {
		if ld.Health != StatusHealthy {
			ejected++
		}
	}
	return ejected == len(loads) || float64(ejected) > shareMax*float64(len(loads))
}

func findDueProbe(loads []Load) int {
	for index, ld := range loads {
		if ld.Health == StatusProbeDue && !ld.Tried && ld.InFlight < ld.Limit {
			return index
		}
	}
	return -1
}

// pickCheaper returns the cheaper of two random loads that fit, or -1.
func pickCheaper(loads []Load, random func(n int) int, match func(Load) bool) int {
	count := 0
	for _, ld := range loads {
		if match(ld) {
			count++
		}
	}
	if count == 0 {
		return -1
	}
	first := nthMatch(loads, random(count), match)
	if count == 1 {
		return first
	}
	second := nthMatch(loads, random(count), match)
	if loads[second].cost() < loads[first].cost() {
		return second
	}
	return first
}

func nthMatch(loads []Load, skip int, match func(Load) bool) int {
	for index, ld := range loads {
		if !match(ld) {
			continue
		}
		if skip == 0 {
			return index
		}
		skip--
	}
	return -1
}
