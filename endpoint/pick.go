package endpoint

import (
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Load describes an endpoint for the choice between endpoints.
type Load struct {
	ID table.InstanceID
	// SameHall means that the endpoint is in the entry instance's own data hall.
	SameHall bool
	Health   HealthStatus
	InFlight int
	Limit    int
	// Latency is the average latency of successful answers; 0 before the first one.
	Latency time.Duration
	// Success is the moving average of the success rate, 0 to 1; 0 before the first result.
	Success float64
	// Tried means that an earlier attempt of this request went to the endpoint.
	Tried bool
}

// Choice is the result of a pick.
type Choice struct {
	// Index is the index of the chosen load; negative if no endpoint can be picked.
	Index int
	// Probe means that the request is the only probe of an ejected endpoint.
	Probe bool
	// Full means that there are endpoints, but none of them can take the request now.
	Full bool
}

// cost is lower for an endpoint with fewer requests in flight, a lower latency and a higher success rate.
func (ld Load) cost() float64 {
	success := ld.Success
	if success == 0 {
		success = 1
	}
	success = max(success, minSuccess)
	latency := max(float64(ld.Latency), float64(time.Millisecond))
	return float64(ld.InFlight+1) * latency / (success * success)
}

// Pick chooses an endpoint. A due probe comes first, then the cheaper of two random endpoints in the own hall, then in other halls.
// Endpoints that the request has already tried come last.
// When more than maxShare of the endpoints are ejected, or all of them, ejections are ignored.
func Pick(loads []Load, repeatable bool, maxShare float64, random func(n int) int) Choice {
	if len(loads) == 0 {
		return Choice{Index: -1}
	}
	ignoreEjections := ejectionsUntrusted(loads, maxShare)
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

// ejectionsUntrusted reports whether so many endpoints are ejected that the detection is more likely wrong than the endpoints.
func ejectionsUntrusted(loads []Load, maxShare float64) bool {
	ejected := 0
	for _, ld := range loads {
		if ld.Health != StatusHealthy {
			ejected++
		}
	}
	return ejected == len(loads) || float64(ejected) > maxShare*float64(len(loads))
}

func findDueProbe(loads []Load) int {
	for index, ld := range loads {
		if ld.Health == StatusProbeDue && !ld.Tried && ld.InFlight < ld.Limit {
			return index
		}
	}
	return -1
}

// pickCheaper returns the index of the cheaper of two random loads that match, or -1.
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
