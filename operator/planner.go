package operator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// parallelGrowthDivisor sets the growth of the candidate parallelism: each value is a quarter larger than the one before, so that large
// fleets need few candidates.
const parallelGrowthDivisor = 4

// overtimeCostPerHour is the cost per hour of a plan that exceeds the maximum duration. It outweighs every other cost.
const overtimeCostPerHour = 1e9

// Weights are the relative costs of a plan.
type Weights struct {
	// Moves is the cost of each session that is moved.
	Moves float64
	// Buffer is the cost of each spare instance that is needed, which is the maximum number of instances out of use at the same time.
	Buffer float64
	// Time is the cost of each hour of the roll-out.
	Time float64
}

// Timing holds the durations that the planner assumes and the limits that it keeps.
type Timing struct {
	// MeanSessionDuration is the mean duration of a session.
	MeanSessionDuration time.Duration
	// RebootDuration is the time that an instance takes to stop and start.
	RebootDuration time.Duration
	// CloseDurations are the candidates for Strategy.CloseMs.
	CloseDurations []time.Duration
	// MaxPlanDuration is the maximum duration of a roll-out; 0 means no limit.
	MaxPlanDuration time.Duration
}

// Planner creates plans. It performs no I/O.
type Planner struct {
	Weights Weights
	Timing  Timing
}

// Propose returns the plan with the lowest cost for an intent, or the findings that make every plan impossible.
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

// Targets returns the instances that an intent selects, or the faults of the intent.
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
			add("toPool %q does not exist", it.ToPool)
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
		add("the intent selects no instance that it can be applied to")
	}
	return targets, findings
}

func selects(it Intent, in *table.Instance) bool {
	return slices.Contains(it.Instances, in.ID) || slices.Contains(it.Racks, in.Rack) || slices.Contains(it.Pools, in.Pool) || slices.Contains(it.Halls, in.Hall)
}

// needsChange reports whether an instance is not yet in the state that the intent requests.
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

// strategies returns the candidate strategies.
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

// totalBudget returns the sum of the budgets of the targets' services, which bounds the instances that can be out at the same time.
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

// cost returns the weighted cost of an estimate. A plan that exceeds the maximum duration is chosen only if all plans do; then
// the shortest plan is chosen.
func (pl *Planner) cost(es Estimate) float64 {
	duration := time.Duration(es.DurationMs) * time.Millisecond
	cost := pl.Weights.Moves*float64(es.Moves) + pl.Weights.Buffer*float64(es.BufferPeak) + pl.Weights.Time*duration.Hours()
	if pl.Timing.MaxPlanDuration > 0 && duration > pl.Timing.MaxPlanDuration {
		cost += overtimeCostPerHour * duration.Hours()
	}
	return cost
}

// permanentViolations returns the budgets that an intent would violate permanently.
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

// permanent reports whether the instances do not return to their services.
func (kd Kind) permanent() bool {
	return kd == KindDrain || kd == KindMove
}

// remainingSessions returns how many of the given sessions are expected to be open after the strategy's close duration.
func (pl *Planner) remainingSessions(sessions int, sg Strategy) int {
	if pl.Timing.MeanSessionDuration <= 0 {
		return sessions
	}
	return int(math.Ceil(float64(sessions) * math.Exp(-sg.closeDuration().Seconds()/pl.Timing.MeanSessionDuration.Seconds())))
}

// estimate returns the expected cost of a plan.
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

// idleTime returns the part of the wait that an instance is unused while it takes no new sessions. The number of its sessions decays
// exponentially.
func (pl *Planner) idleTime(wait time.Duration) time.Duration {
	mean := pl.Timing.MeanSessionDuration
	if mean <= 0 || wait <= 0 {
		return 0
	}
	used := mean.Seconds() * (1 - math.Exp(-wait.Seconds()/mean.Seconds()))
	return wait - time.Duration(used*float64(time.Second))
}

// timeUntilEmpty returns the expected time until the last of the given sessions ends.
func (pl *Planner) timeUntilEmpty(sessions int) time.Duration {
	harmonic := 0.0
	for number := 1; number <= sessions; number++ {
		harmonic += 1 / float64(number)
	}
	return time.Duration(harmonic * float64(pl.Timing.MeanSessionDuration))
}
