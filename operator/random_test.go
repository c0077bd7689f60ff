package operator_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/table"
)

var (
	randomCases = flag.Int("cases", 6, "number of random fleets that are planned and maintained")
	randomSeed  = flag.Uint64("caseseed", 1, "seed of the first random fleet")
)

// randomCase is one random fleet with executors, failures and operators.
type randomCase struct {
	t         *testing.T
	seed      uint64
	rnd       *rand.Rand
	fp        *fakePlatform
	manager   *operator.Manager
	plans     []table.PlanID
	executors int
	freezes   int
	failures  int
	calls     int
}

// TestRandomFleets executes random plans while executors freeze, instances fail, answers are lost and operators pause, resume and abort plans.
func TestRandomFleets(t *testing.T) {
	total := randomCase{}
	commits, moved, ended := 0, 0, map[operator.PlanStatus]int{}
	for number := range *randomCases {
		seed := *randomSeed + uint64(number)
		rc := &randomCase{t: t, seed: seed, rnd: rand.New(rand.NewPCG(seed, 7))}
		synctest.Test(t, func(t *testing.T) { rc.run() })
		for _, violation := range rc.fp.violations {
			t.Errorf("case %d: %s", seed, violation)
		}
		for _, pn := range rc.finalPlans() {
			ended[pn.Status]++
		}
		commits += rc.fp.commits
		moved += rc.fp.moved
		total.freezes += rc.freezes
		total.failures += rc.failures
		total.calls += rc.calls
	}
	t.Logf("%d cases from seed %d: plans ended %v, %d commits, %d sessions moved, %d frozen executors, %d failed instances, %d calls of operators", *randomCases, *randomSeed, ended, commits, moved, total.freezes, total.failures, total.calls)
}

func (rc *randomCase) run() {
	ctx, cancel := context.WithCancel(context.Background())
	rc.fp = newFakePlatform(rc.t, rand.New(rand.NewPCG(rc.seed, 8)))
	rc.makeFleet()
	rc.fp.mu.Lock()
	rc.fp.lostAnswerShare = 0.1
	rc.fp.mu.Unlock()
	for range 3 {
		rc.startExecutor(ctx, rc.fp.startWatcher(ctx, time.Duration(100+rc.rnd.IntN(2000))*time.Millisecond))
	}
	watcher := table.NewWatcher(rc.fp)
	go watcher.Run(ctx)
	planner := operator.Planner{Weights: operator.Weights{Moves: rc.rnd.Float64() * 10, Buffer: rc.rnd.Float64() * 10, Time: rc.rnd.Float64() * 10}, Timing: operator.Timing{MeanSessionDuration: time.Hour, RebootDuration: time.Minute, CloseDurations: []time.Duration{0, 10 * time.Minute}}}
	rc.manager = operator.NewManager(rc.fp, rc.fp, watcher, func() operator.Planner { return planner }, time.Now)
	time.Sleep(5 * time.Second)
	for range 2 + rc.rnd.IntN(3) {
		rc.propose(ctx)
	}
	for range 30 {
		time.Sleep(time.Duration(rc.rnd.IntN(60)) * time.Second)
		rc.injectEvent(ctx)
	}
	rc.endFaults(ctx)
	for range 120 {
		time.Sleep(30 * time.Second)
		if rc.allEnded() {
			break
		}
	}
	rc.check()
	cancel()
	time.Sleep(5 * time.Minute)
}

// makeFleet writes random services, pools and instances. An instance's address is its id, so that the fake platform can identify it.
func (rc *randomCase) makeFleet() {
	services := 1 + rc.rnd.IntN(3)
	for number := range services {
		id := table.ServiceID(fmt.Sprintf("s%d", number))
		size := 4 + rc.rnd.IntN(6)
		rc.fp.put(table.TablePool, "p"+string(id), table.Pool{ID: table.PoolID("p" + string(id)), Services: []table.ServiceID{id}})
		for ix := range size {
			in := table.Instance{ID: table.InstanceID(fmt.Sprintf("%s.w%d", id, ix)), Hall: "h1", Rack: table.RackID(fmt.Sprintf("r%d", ix/3)), Pool: table.PoolID("p" + string(id)), State: table.InstanceServing, Epoch: 1, Services: []table.ServiceID{id}}
			if rc.rnd.IntN(4) == 0 {
				in.Services = append(in.Services, "shared")
			}
			in.Address = string(in.ID)
			rc.fp.put(table.TableInstance, string(in.ID), in)
			rc.fp.usage[in.ID] = map[table.ServiceID]int{id: rc.rnd.IntN(6)}
		}
		rc.fp.put(table.TableService, string(id), table.Service{ID: id, Slots: 8, Connections: 64, Asked: size, Budget: 1 + rc.rnd.IntN(3)})
	}
	shared := 0
	for _, in := range rc.fp.currentFleet().Instances {
		if slices.Contains(in.Services, "shared") {
			shared++
		}
	}
	rc.fp.put(table.TableService, "shared", table.Service{ID: "shared", Slots: 8, Connections: 64, Asked: shared, Budget: 1})
}

// startExecutor runs an executor that freezes at random before actions and commits.
func (rc *randomCase) startExecutor(ctx context.Context, wt *table.Watcher) {
	rc.executors++
	ex := operator.NewExecutor(rc.fp, rc.fp, wt, rc.fp, rc.fp, operator.ExecutorOptions{Entry: table.InstanceID(fmt.Sprintf("e%d", rc.executors)), Incarnation: table.Incarnation(table.NewID()), MaxRequestDuration: 30 * time.Second, Tick: 2 * time.Second})
	ex.SetHook(func(string) {
		rc.fp.mu.Lock()
		frozen := rc.fp.rnd.IntN(12) == 0 && rc.fp.lostAnswerShare > 0
		length := time.Duration(rc.fp.rnd.IntN(120)) * time.Second
		if frozen {
			rc.freezes++
		}
		rc.fp.mu.Unlock()
		if frozen {
			time.Sleep(length)
		}
	})
	go ex.Run(ctx)
}

func (rc *randomCase) propose(ctx context.Context) {
	instances := rc.fp.currentFleet().Instances
	it := operator.Intent{Kind: operator.KindReboot, Why: "random"}
	switch rc.rnd.IntN(3) {
	case 0:
		it.Pools = []table.PoolID{instances[rc.rnd.IntN(len(instances))].Pool}
	case 1:
		it.Racks = []table.RackID{instances[rc.rnd.IntN(len(instances))].Rack}
	default:
		it.Instances = []table.InstanceID{instances[rc.rnd.IntN(len(instances))].ID}
		it.Kind = []operator.Kind{operator.KindReboot, operator.KindDrain, operator.KindMove}[rc.rnd.IntN(3)]
		it.ToPool = "ps0"
	}
	pn, err := rc.manager.Propose(ctx, "alice", it)
	if err != nil {
		return
	}
	rc.calls++
	if _, err := rc.manager.Confirm(ctx, "alice", pn.ID); err == nil {
		rc.plans = append(rc.plans, pn.ID)
	}
}

// injectEvent fails an instance, recovers all instances, or lets an operator propose or change a plan.
func (rc *randomCase) injectEvent(ctx context.Context) {
	instances := rc.fp.currentFleet().Instances
	id := instances[rc.rnd.IntN(len(instances))].ID
	switch rc.rnd.IntN(6) {
	case 0:
		rc.failures++
		rc.fp.mu.Lock()
		rc.fp.down[id] = true
		rc.fp.failedAt[id] = time.Now()
		rc.fp.mu.Unlock()
	case 1, 2:
		rc.recoverInstances()
	case 3:
		rc.propose(ctx)
	case 4:
		if len(rc.plans) > 0 {
			rc.calls++
			// Errors are expected, since the plan's status may not allow the call.
			_, _ = rc.manager.Change(ctx, "bruno", rc.plans[rc.rnd.IntN(len(rc.plans))], []string{"pause", "resume", "abort"}[rc.rnd.IntN(3)])
		}
	}
}

func (rc *randomCase) recoverInstances() {
	rc.fp.mu.Lock()
	defer rc.fp.mu.Unlock()
	clear(rc.fp.down)
}

// endFaults ends all faults and all sessions, so that every plan can end.
func (rc *randomCase) endFaults(ctx context.Context) {
	rc.recoverInstances()
	rc.fp.mu.Lock()
	rc.fp.lostAnswerShare = 0
	clear(rc.fp.usage)
	services := rc.fp.fleetLocked().Services
	rc.fp.mu.Unlock()
	// Instances that were drained or moved permanently use up the budgets, so the target counts are set to 0.
	for id, sv := range services {
		sv.Asked = 0
		rc.fp.put(table.TableService, string(id), *sv)
	}
	for _, id := range rc.plans {
		// Only paused plans can be resumed. Errors for the others are expected.
		_, _ = rc.manager.Change(ctx, "alice", id, "resume")
	}
}

// finalPlans returns the confirmed plans as stored in the table.
func (rc *randomCase) finalPlans() []*operator.Plan {
	sn, _ := table.EmptySnapshot().Merge(allRows(rc.fp))
	var plans []*operator.Plan
	for _, pn := range operator.SortedPlans(sn) {
		if slices.Contains(rc.plans, pn.ID) {
			plans = append(plans, pn)
		}
	}
	return plans
}

func allRows(fp *fakePlatform) []table.Row {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	var rows []table.Row
	for _, rw := range fp.rows {
		rows = append(rows, rw)
	}
	return rows
}

func (rc *randomCase) allEnded() bool {
	for _, pn := range rc.finalPlans() {
		if pn.Status != operator.PlanDone && pn.Status != operator.PlanAborted {
			return false
		}
	}
	return true
}

// check checks that every plan has ended, that no instance is still held and that no action was performed twice. The fake platform checks
// during the run that no plan moves a session twice.
func (rc *randomCase) check() {
	if !rc.allEnded() {
		for _, pn := range rc.finalPlans() {
			rc.fp.recordViolation("plan %s is still %s", pn.ID, pn.Status)
		}
		for _, rw := range allRows(rc.fp) {
			if rw.Table == table.TableLease {
				rc.fp.recordViolation("lease %s", rw.Value)
			}
		}
	}
	for _, in := range rc.fp.currentFleet().Instances {
		if in.Hold != nil {
			rc.fp.recordViolation("%s is still held by %s", in.ID, in.Hold.Plan)
		}
	}
	for key, count := range rc.fp.reboots {
		if count != 1 {
			rc.fp.recordViolation("%s was carried out %d times", key, count)
		}
	}
}
