package operator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// rollout is the cost of the maintenance of a whole fleet.
type rollout struct {
	moves       int
	movedAgain  int
	bufferPeak  int
	bufferHours float64
	duration    time.Duration
	breaches    int
	waves       int
}

// String returns the costs in one line.
func (ro rollout) String() string {
	return fmt.Sprintf("moves %d (%d of them repeated), buffer peak %d, buffer %.1f instance hours, roll-out %v in %d waves, budget breaches %d", ro.moves, ro.movedAgain, ro.bufferPeak, ro.bufferHours, ro.duration.Round(time.Minute), ro.waves, ro.breaches)
}

// sessionSimulation simulates the sessions of a fleet. It stores for each session how often it has moved.
type sessionSimulation struct {
	ft         *Fleet
	rnd        *rand.Rand
	timing     Timing
	moveCounts map[table.InstanceID][]int
}

func newSessionSimulation(ft *Fleet, timing Timing) *sessionSimulation {
	sim := &sessionSimulation{ft: ft, rnd: rand.New(rand.NewPCG(3, 4)), timing: timing, moveCounts: map[table.InstanceID][]int{}}
	for _, in := range ft.Instances {
		sim.moveCounts[in.ID] = make([]int, ft.sessionCount(in.ID))
	}
	return sim
}

// advance lets sessions end for the elapsed time. For each session that ends, a new one opens on an instance that is not in the wave.
func (sim *sessionSimulation) advance(wave []table.InstanceID, elapsed time.Duration) {
	endProbability := 1 - math.Exp(-elapsed.Seconds()/sim.timing.MeanSessionDuration.Seconds())
	for _, in := range sim.ft.Instances {
		var remaining []int
		for _, moves := range sim.moveCounts[in.ID] {
			if sim.rnd.Float64() >= endProbability {
				remaining = append(remaining, moves)
			}
		}
		ended := len(sim.moveCounts[in.ID]) - len(remaining)
		sim.moveCounts[in.ID] = remaining
		for range ended {
			sim.assign(in, 0, func(other *table.Instance) bool { return !slices.Contains(wave, other.ID) })
		}
	}
}

// assign puts a session of an instance's service on a random instance that fits.
func (sim *sessionSimulation) assign(from *table.Instance, moves int, fits func(*table.Instance) bool) bool {
	var candidates []table.InstanceID
	for _, other := range sim.ft.Instances {
		if other.Services[0] == from.Services[0] && fits(other) {
			candidates = append(candidates, other.ID)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	to := candidates[sim.rnd.IntN(len(candidates))]
	sim.moveCounts[to] = append(sim.moveCounts[to], moves)
	return true
}

// runMaintenance executes the waves one after the other with the real decisions on budgets and successors. The instances of failAt fail
// during the wave of that number; each is back two waves later.
func runMaintenance(ft *Fleet, pn *Plan, timing Timing, unconstrained bool, failAt map[int]table.InstanceID) rollout {
	sim := newSessionSimulation(ft, timing)
	ro := rollout{}
	recoverAt := map[int]table.InstanceID{}
	pending := slices.Clone(pn.Waves)
	for number := 0; len(pending) > 0; number++ {
		if id := recoverAt[number]; id != "" {
			delete(ft.Down, id)
		}
		if id := failAt[number]; id != "" {
			ft.Down[id] = true
			sim.failInstance(ft.Instance(id))
			recoverAt[number+2] = id
		}
		wv := pending[0]
		pending = pending[1:]
		admitted, refused := admitWave(ft, pn, wv, unconstrained)
		if len(refused) > 0 {
			pending = append(pending, Wave{Instances: refused, AwaitSessionEnd: wv.AwaitSessionEnd})
		}
		sim.runWave(&ro, pn, Wave{Instances: admitted, AwaitSessionEnd: wv.AwaitSessionEnd}, unconstrained)
		if number > 10000 {
			break
		}
	}
	return ro
}

// failInstance reassigns the sessions of a failed instance. These moves are not counted, since the plan does not cause them.
func (sim *sessionSimulation) failInstance(in *table.Instance) {
	for _, moves := range sim.moveCounts[in.ID] {
		sim.assign(in, moves, func(other *table.Instance) bool { return other.ID != in.ID })
	}
	sim.moveCounts[in.ID] = nil
}

// admitWave returns the instances that the budgets allow. The baselines ignore the budgets and take all.
func admitWave(ft *Fleet, pn *Plan, wv Wave, unconstrained bool) (admitted, refused []table.InstanceID) {
	for _, id := range wv.Instances {
		in := ft.Instance(id)
		if !unconstrained && len(Admit(ft, in)) > 0 {
			refused = append(refused, id)
			continue
		}
		admitted = append(admitted, id)
		sv := ft.Services[in.Services[0]]
		sv.Disrupted = append(sv.Disrupted, id)
	}
	return admitted, refused
}

// runWave closes, empties, reboots and returns the instances of one wave.
func (sim *sessionSimulation) runWave(ro *rollout, pn *Plan, wv Wave, unconstrained bool) {
	if len(wv.Instances) == 0 {
		ro.duration += sim.timing.RebootDuration
		return
	}
	wait := pn.Strategy.closeDuration()
	if wv.AwaitSessionEnd {
		wait = sim.endSessions(wv)
	}
	sim.advance(wv.Instances, wait)
	for _, id := range wv.Instances {
		sim.moveSessions(ro, pn, wv, id, unconstrained)
	}
	ro.waves++
	ro.breaches += breaches(sim.ft)
	sim.advance(wv.Instances, sim.timing.RebootDuration)
	out := len(wv.Instances) + len(sim.ft.Down)
	ro.bufferPeak = max(ro.bufferPeak, out)
	ro.bufferHours += float64(len(wv.Instances)) * ((&Planner{Timing: sim.timing}).idleTime(wait) + sim.timing.RebootDuration).Hours()
	ro.duration += wait + sim.timing.RebootDuration
	for _, id := range wv.Instances {
		in := sim.ft.Instance(id)
		in.Done = pn.ID
		sv := sim.ft.Services[in.Services[0]]
		sv.Disrupted = withoutInstance(id)(sv.Disrupted)
	}
}

// endSessions ends the sessions of a wave without moving them and returns the expected time that this takes.
func (sim *sessionSimulation) endSessions(wv Wave) time.Duration {
	maxSessions := 0
	for _, id := range wv.Instances {
		maxSessions = max(maxSessions, len(sim.moveCounts[id]))
	}
	pl := Planner{Timing: sim.timing}
	wait := pl.timeUntilEmpty(maxSessions)
	for _, id := range wv.Instances {
		sim.moveCounts[id] = nil
	}
	return wait
}

// moveSessions moves the sessions of one instance according to the real rule on successors, or to any usable instance for the baselines.
func (sim *sessionSimulation) moveSessions(ro *rollout, pn *Plan, wv Wave, id table.InstanceID, unconstrained bool) {
	in := sim.ft.Instance(id)
	sessions := sim.moveCounts[id]
	sim.moveCounts[id] = nil
	for _, moves := range sessions {
		ro.moves++
		if moves > 0 {
			ro.movedAgain++
		}
		sim.assign(in, moves+1, func(other *table.Instance) bool {
			return !slices.Contains(wv.Instances, other.ID) && sim.ft.usable(other) && (unconstrained || canTakeSessions(pn, nil, other))
		})
	}
}

// breaches returns the number of services that have fewer usable instances than their target count minus the budget.
func breaches(ft *Fleet) int {
	count := 0
	for _, sv := range ft.Services {
		if ft.usableCount(sv) < sv.Asked-sv.Budget {
			count++
		}
	}
	return count
}

// makeFleet returns services with the given numbers of instances, four to a rack, with the given average number of sessions per instance.
func makeFleet(sizes []int, budget, sessions int) *Fleet {
	ft := &Fleet{Services: map[table.ServiceID]*table.Service{}, Pools: map[table.PoolID]*table.Pool{}, Down: map[table.InstanceID]bool{}, Sessions: map[table.InstanceID]map[table.ServiceID]int{}}
	rnd := rand.New(rand.NewPCG(5, 6))
	number := 0
	for ix, size := range sizes {
		service := table.ServiceID(fmt.Sprintf("s%03d", ix))
		ft.Services[service] = &table.Service{ID: service, Slots: 8, Connections: 64, Asked: size, Budget: min(budget, max(1, size-1))}
		for range size {
			number++
			id := table.InstanceID(fmt.Sprintf("w%03d", number))
			ft.Instances = append(ft.Instances, &table.Instance{ID: id, Hall: "h1", Rack: table.RackID(fmt.Sprintf("r%03d", number/4)), Pool: table.PoolID(service), State: table.InstanceServing, Services: []table.ServiceID{service}})
			ft.Sessions[id] = map[table.ServiceID]int{service: sessions/2 + rnd.IntN(sessions+1)}
		}
	}
	return ft
}

// baseline returns a plan in the order of names with waves of the given size, or of the largest size that fits the budgets if it is 0.
func baseline(ft *Fleet, size int) *Plan {
	pn := &Plan{ID: "b"}
	pending := slices.Clone(ft.Instances)
	slices.SortFunc(pending, func(ai, bi *table.Instance) int { return strings.Compare(string(ai.ID), string(bi.ID)) })
	for len(pending) > 0 {
		var wv Wave
		out := map[table.ServiceID]int{}
		var rest []*table.Instance
		for _, in := range pending {
			service := in.Services[0]
			if size > 0 && len(wv.Instances) >= size || out[service] >= ft.Services[service].Budget {
				rest = append(rest, in)
				continue
			}
			out[service]++
			wv.Instances = append(wv.Instances, in.ID)
		}
		pn.Waves = append(pn.Waves, wv)
		pending = rest
	}
	return pn
}

// planAll proposes the maintenance of the whole fleet.
func planAll(t testing.TB, ft *Fleet, pl *Planner) *Plan {
	t.Helper()
	it := Intent{Kind: KindReboot, Halls: []table.HallID{"h1"}, Why: "maintenance"}
	pn, findings := pl.Propose(ft, it)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	pn.ID, pn.Status = "p", PlanRunning
	return pn
}

var (
	waveTiming     = Timing{MeanSessionDuration: 4 * time.Hour, RebootDuration: 10 * time.Minute, CloseDurations: []time.Duration{0, 30 * time.Minute, 2 * time.Hour, 8 * time.Hour}, MaxPlanDuration: 28 * 24 * time.Hour}
	weightedMoves  = Weights{Moves: 5, Buffer: 2, Time: 1}
	weightedBuffer = Weights{Moves: 0.05, Buffer: 40, Time: 1}
)

func TestWavesOfWholeFleets(t *testing.T) {
	manyPools := make([]int, 199)
	for ix := range manyPools {
		manyPools[ix] = 2
		if ix < 52 {
			manyPools[ix] = 3
		}
	}
	for _, td := range []struct {
		name     string
		sizes    []int
		budget   int
		sessions int
		weights  Weights
	}{
		{"sawmill fleet, weights moves", []int{12, 11, 10, 9, 8}, 2, 12, weightedMoves},
		{"heat network fleet, weights buffer", []int{12, 11, 10, 9, 8}, 2, 12, weightedBuffer},
		{"450 workers in 199 pools, weights moves", manyPools, 1, 12, weightedMoves},
		{"450 workers in 199 pools, weights buffer", manyPools, 1, 12, weightedBuffer},
	} {
		for _, fails := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, failures %t", td.name, fails), func(t *testing.T) {
				compare(t, func() *Fleet { return makeFleet(td.sizes, td.budget, td.sessions) }, td.weights, fails)
			})
		}
	}
}

// compare measures the planner and both baselines on equal fleets.
func compare(t *testing.T, fleet func() *Fleet, weights Weights, fails bool) {
	failAt := map[int]table.InstanceID{}
	if fails {
		failAt = map[int]table.InstanceID{1: "w005", 3: "w020", 4: "w033"}
	}
	ft := fleet()
	pn := planAll(t, ft, &Planner{Weights: weights, Timing: waveTiming})
	planned := runMaintenance(ft, pn, waveTiming, false, failAt)
	ft = fleet()
	oneByOne := runMaintenance(ft, baseline(ft, 1), waveTiming, true, failAt)
	ft = fleet()
	largest := runMaintenance(ft, baseline(ft, 0), waveTiming, true, failAt)
	bound := movesBound(fleet(), pn, waveTiming)
	minHours := float64(len(ft.Instances)) * waveTiming.RebootDuration.Hours()
	t.Logf("planner (parallel %d, close %v): %v", pn.Strategy.Parallel, pn.Strategy.closeDuration(), planned)
	t.Logf("one at a time by name: %v", oneByOne)
	t.Logf("largest wave that fits: %v", largest)
	t.Logf("lower bounds: %.0f moves with this close duration, %.1f instance hours", bound, minHours)
	if planned.movedAgain > 0 || planned.breaches > 0 {
		t.Errorf("the planner moved %d sessions again and broke %d budgets", planned.movedAgain, planned.breaches)
	}
	if planned.moves >= oneByOne.moves || planned.moves >= largest.moves {
		t.Errorf("the planner's %d moves are not fewer than the baselines' %d and %d", planned.moves, oneByOne.moves, largest.moves)
	}
}

// movesBound returns a lower bound of the sessions that must move with the plan's close duration: those expected to remain on instances
// that do not wait for the end of all sessions.
func movesBound(ft *Fleet, pn *Plan, timing Timing) float64 {
	bound := 0.0
	for _, wv := range pn.Waves {
		if wv.AwaitSessionEnd {
			continue
		}
		for _, id := range wv.Instances {
			bound += float64(ft.sessionCount(id)) * math.Exp(-pn.Strategy.closeDuration().Seconds()/timing.MeanSessionDuration.Seconds())
		}
	}
	return bound
}

func TestWeightsChangeThePlan(t *testing.T) {
	sizes := []int{12, 11, 10, 9, 8}
	ft := makeFleet(sizes, 2, 12)
	moves := planAll(t, ft, &Planner{Weights: weightedMoves, Timing: waveTiming})
	buffer := planAll(t, ft, &Planner{Weights: weightedBuffer, Timing: waveTiming})
	t.Logf("moves first: %+v %+v", moves.Strategy, moves.Estimate)
	t.Logf("buffer first: %+v %+v", buffer.Strategy, buffer.Estimate)
	if moves.Estimate.Moves*2 > buffer.Estimate.Moves {
		t.Errorf("the weight on moves saves too few moves: %d against %d", moves.Estimate.Moves, buffer.Estimate.Moves)
	}
	if buffer.Estimate.BufferPeak*2 > moves.Estimate.BufferPeak {
		t.Errorf("the weight on buffer saves too little buffer: %d against %d", buffer.Estimate.BufferPeak, moves.Estimate.BufferPeak)
	}
}

// maxPlanAllocations is the maximum number of allocations for a plan of a fleet of up to 450 workers in 199 pools.
const maxPlanAllocations = 200000

func TestAllocationsOfAPlanAtTheLettersSize(t *testing.T) {
	sizes := make([]int, 199)
	for ix := range sizes {
		sizes[ix] = 2
	}
	ft := makeFleet(sizes, 1, 12)
	pl := &Planner{Weights: weightedMoves, Timing: waveTiming}
	got := testing.AllocsPerRun(1, func() { planAll(t, ft, pl) })
	t.Logf("%.0f allocations for %d instances", got, len(ft.Instances))
	if got > maxPlanAllocations {
		t.Errorf("%.0f allocations, want at most %d", got, maxPlanAllocations)
	}
}
