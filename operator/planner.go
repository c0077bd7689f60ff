package operator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// parallelGrowthDivisor makes the numbers that are weighed grow by a quarter, so that large fleets need few.
const parallelGrowthDivisor = 4

// overtimeCostPerHour is the cost of each hour of a plan that takes longer than allowed, above any weight.
const overtimeCostPerHour = 1e9

// Weights say how much an operator minds each cost.
type Weights struct {
	// Moves is for each session that is moved.
	Moves float64
	// Buffer is for each instance that must be spare, which is the most that are out of use at once.
	Buffer float64
	// Time is for each hour that the roll-out takes.
	Time float64
}

// Timing is how long things take.
type Timing struct {
	// MeanSessionDuration is the mean length of a session.
	MeanSessionDuration time.Duration
	// RebootDuration is how long an instance takes to stop and start.
	RebootDuration time.Duration
	// CloseDurations are the times for natural ends that may be chosen.
	CloseDurations []time.Duration
	// MaxPlanDuration is how long a roll-out may take; 0 sets no bound.
	MaxPlanDuration time.Duration
}

// Planner makes plans; it does no input or output.
type Planner struct {
	Weights Weights
	Timing  Timing
}

// Propose returns the cheapest plan for an intent, or the findings that forbid any.
func (pl *Planner) Propose(ft *Fleet, it Intent) (*Plan, []string) {
	targets, findings := Targets(ft, it)
	if len(findings) > 0 {
		return nil, findings
	}
	if findings := pl.permanentViolations(ft, it, targets); len(findings) > 0 {
		return nil, findings
	}
	var best *Plan
	bestCost := math.Inf(1)
	for _, sg := range pl.strategies(ft, it, targets) {
		pn := pl.draft(ft, it, targets, sg)
		if cost := pl.cost(pn.Estimate); cost < bestCost {
			best, bestCost = pn, cost
		}
	}
	best.Intent, best.Status = it, PlanProposed
	best.BudgetImpacts = budgetImpacts(ft, best)
	best.Preconditions = Preconditions(ft, best)
	return best, nil
}

// Targets returns the instances that an intent names, or what is wrong with it.
func Targets(ft *Fleet, it Intent) ([]*table.Instance, []string) {
	var findings []string
	add := func(format string, args ...any) { findings = append(findings, fmt.Sprintf(format, args...)) }
	if it.Why == "" {
		add("why is required")
	}
	switch it.Kind {
	case KindReboot, KindDrain, KindReturn:
	case KindMove:
		if ft.Pools[it.ToPool] == nil {
			add("toPool %q is not a pool", it.ToPool)
		}
	default:
		add("kind must be %s, %s, %s or %s", KindReboot, KindDrain, KindMove, KindReturn)
	}
	var targets []*table.Instance
	for _, in := range ft.Instances {
		if selects(it, in) && needsChange(it, in) {
			targets = append(targets, in)
		}
	}
	for _, id := range it.Instances {
		if ft.Instance(id) == nil {
			add("instance %q does not exist", id)
		}
	}
	if len(targets) == 0 && len(findings) == 0 {
		add("no instance is named that this can be done to")
	}
	return targets, findings
}

func selects(it Intent, in *table.Instance) bool {
	return slices.Contains(it.Instances, in.ID) || slices.Contains(it.Racks, in.Rack) || slices.Contains(it.Pools, in.Pool) || slices.Contains(it.Halls, in.Hall)
}

// needsChange leaves out instances that are already as the intent wants them.
func needsChange(it Intent, in *table.Instance) bool {
	switch it.Kind {
	case KindReturn:
		return in.State == table.InstanceIdle
	case KindReboot, KindDrain:
		return in.State != table.InstanceIdle
	case KindMove:
		return in.Pool != it.ToPool
	}
	return true
}

// strategies returns the ways that are weighed.
func (pl *Planner) strategies(ft *Fleet, it Intent, targets []*table.Instance) []Strategy {
	closeDurations := pl.Timing.CloseDurations
	if len(closeDurations) == 0 || it.Kind == KindReturn {
		closeDurations = []time.Duration{0}
	}
	maxParallel := min(len(targets), max(1, totalBudget(ft, targets)))
	var strategies []Strategy
	for parallel := 1; parallel <= maxParallel; parallel += max(1, parallel/parallelGrowthDivisor) {
		for _, closeDuration := range closeDurations {
			strategies = append(strategies, Strategy{Parallel: parallel, CloseMs: closeDuration.Milliseconds()})
		}
	}
	return strategies
}

// totalBudget sums the budgets of the targets' services, the most that can be out together.
func totalBudget(ft *Fleet, targets []*table.Instance) int {
	seen := map[table.ServiceID]bool{}
	sum := 0
	for _, in := range targets {
		for _, id := range in.Services {
			if sv := ft.Services[id]; sv != nil && !seen[id] {
				seen[id] = true
				sum += sv.Budget
			}
		}
	}
	return sum
}

// cost weighs an estimate; a plan that takes longer than allowed is chosen only if none is shorter.
func (pl *Planner) cost(es Estimate) float64 {
	duration := time.Duration(es.DurationMs) * time.Millisecond
	cost := pl.Weights.Moves*float64(es.Moves) + pl.Weights.Buffer*float64(es.BufferPeak) + pl.Weights.Time*duration.Hours()
	if pl.Timing.MaxPlanDuration > 0 && duration > pl.Timing.MaxPlanDuration {
		cost += overtimeCostPerHour * duration.Hours()
	}
	return cost
}

// permanentViolations returns the budgets that an intent would break for good.
func (pl *Planner) permanentViolations(ft *Fleet, it Intent, targets []*table.Instance) []string {
	if !it.Kind.permanent() {
		return nil
	}
	out := map[table.ServiceID]int{}
	for _, in := range targets {
		for _, id := range in.Services {
			if ft.usable(in) && !(it.Kind == KindMove && slices.Contains(ft.Pools[it.ToPool].Services, id)) {
				out[id]++
			}
		}
	}
	var findings []string
	for id, count := range out {
		sv := ft.Services[id]
		if sv == nil {
			continue
		}
		if remaining, required := ft.usableCount(sv)-count, sv.Asked-sv.Budget; remaining < required {
			findings = append(findings, fmt.Sprintf("service %s would keep %d usable instances and needs %d", id, remaining, required))
		}
	}
	slices.Sort(findings)
	return findings
}

// permanent reports whether instances do not come back to their services.
func (kd Kind) permanent() bool {
	return kd == KindDrain || kd == KindMove
}

// remainingSessions returns how many of so many sessions are still open after the time for natural ends.
func (pl *Planner) remainingSessions(sessions int, sg Strategy) int {
	if pl.Timing.MeanSessionDuration <= 0 {
		return sessions
	}
	return int(math.Ceil(float64(sessions) * math.Exp(-sg.closeDuration().Seconds()/pl.Timing.MeanSessionDuration.Seconds())))
}

// estimate returns what a plan is expected to cost.
func (pl *Planner) estimate(ft *Fleet, it Intent, pn *Plan) Estimate {
	var es Estimate
	var duration time.Duration
	for _, wv := range pn.Waves {
		wait, sessions := pn.Strategy.closeDuration(), 0
		for _, id := range wv.Instances {
			count := ft.sessionCount(id)
			if wv.AwaitSessionEnd {
				wait = max(wait, pl.timeUntilEmpty(count))
				continue
			}
			sessions += pl.remainingSessions(count, pn.Strategy)
		}
		if it.Kind != KindReturn {
			es.Moves += sessions
		}
		duration += wait + pl.Timing.RebootDuration
		es.BufferPeak = max(es.BufferPeak, len(wv.Instances))
		es.BufferHours += float64(len(wv.Instances)) * (pl.idleTime(wait) + pl.Timing.RebootDuration).Hours()
	}
	es.DurationMs = duration.Milliseconds()
	return es
}

// idleTime returns how much of an instance's time is unused while it takes no new sessions for so long: its sessions thin out exponentially.
func (pl *Planner) idleTime(wait time.Duration) time.Duration {
	mean := pl.Timing.MeanSessionDuration
	if mean <= 0 || wait <= 0 {
		return 0
	}
	used := mean.Seconds() * (1 - math.Exp(-wait.Seconds()/mean.Seconds()))
	return wait - time.Duration(used*float64(time.Second))
}

// timeUntilEmpty returns when the last of so many sessions is expected to end by itself.
func (pl *Planner) timeUntilEmpty(sessions int) time.Duration {
	harmonic := 0.0
	for number := 1; number <= sessions; number++ {
		harmonic += 1 / float64(number)
	}
	return time.Duration(harmonic * float64(pl.Timing.MeanSessionDuration))
}
