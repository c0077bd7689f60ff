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
	randomCases = flag.Int("cases", 6, "how many random fleets are planned and carried out")
	randomSeed  = flag.Uint64("caseseed", 1, "seed of the first of them")
)

// randomCase is one random fleet with executors, failures and operators.
type randomCase struct {
	t         *testing.T
	seed      uint64
	rnd       *rand.Rand
	wd        *fakePlatform
	desk      *operator.Manager
	plans     []table.PlanID
	executors int
	freezes   int
	failures  int
	calls     int
}

// TestRandomFleets carries out random plans with frozen executors, failing instances, lost answers and operators who change their minds.
func TestRandomFleets(t *testing.T) {
	total := randomCase{}
	commits, moved, ended := 0, 0, map[operator.PlanStatus]int{}
	for number := range *randomCases {
		seed := *randomSeed + uint64(number)
		rc := &randomCase{t: t, seed: seed, rnd: rand.New(rand.NewPCG(seed, 7))}
		synctest.Test(t, func(t *testing.T) { rc.run() })
		for _, breach := range rc.wd.violations {
			t.Errorf("case %d: %s", seed, breach)
		}
		for _, pn := range rc.finalPlans() {
			ended[pn.Status]++
		}
		commits += rc.wd.commits
		moved += rc.wd.moved
		total.freezes += rc.freezes
		total.failures += rc.failures
		total.calls += rc.calls
	}
	t.Logf("%d cases from seed %d: plans ended %v, %d commits, %d sessions moved, %d frozen executors, %d failed instances, %d calls of operators", *randomCases, *randomSeed, ended, commits, moved, total.freezes, total.failures, total.calls)
}

func (rc *randomCase) run() {
	ctx, cancel := context.WithCancel(context.Background())
	rc.wd = newFakePlatform(rc.t, rand.New(rand.NewPCG(rc.seed, 8)))
	rc.makeFleet()
	rc.wd.mu.Lock()
	rc.wd.lostAnswerShare = 0.1
	rc.wd.mu.Unlock()
	for range 3 {
		rc.startExecutor(ctx, rc.wd.startWatcher(ctx, time.Duration(100+rc.rnd.IntN(2000))*time.Millisecond))
	}
	dv := table.NewWatcher(rc.wd)
	go dv.Run(ctx)
	planner := operator.Planner{Weights: operator.Weights{Moves: rc.rnd.Float64() * 10, Buffer: rc.rnd.Float64() * 10, Time: rc.rnd.Float64() * 10}, Timing: operator.Timing{MeanSessionDuration: time.Hour, RebootDuration: time.Minute, CloseDurations: []time.Duration{0, 10 * time.Minute}}}
	rc.desk = operator.NewManager(rc.wd, rc.wd, dv, func() operator.Planner { return planner }, time.Now)
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

// makeFleet writes random services, pools and instances; the address is the id, so that the world can tell who is asked.
func (rc *randomCase) makeFleet() {
	services := 1 + rc.rnd.IntN(3)
	for number := range services {
		id := table.ServiceID(fmt.Sprintf("s%d", number))
		size := 4 + rc.rnd.IntN(6)
		rc.wd.put(table.TablePool, "p"+string(id), table.Pool{ID: table.PoolID("p" + string(id)), Services: []table.ServiceID{id}})
		for ix := range size {
			in := table.Instance{ID: table.InstanceID(fmt.Sprintf("%s.w%d", id, ix)), Hall: "h1", Rack: table.RackID(fmt.Sprintf("r%d", ix/3)), Pool: table.PoolID("p" + string(id)), State: table.InstanceServing, Epoch: 1, Services: []table.ServiceID{id}}
			if rc.rnd.IntN(4) == 0 {
				in.Services = append(in.Services, "shared")
			}
			in.Address = string(in.ID)
			rc.wd.put(table.TableInstance, string(in.ID), in)
			rc.wd.usage[in.ID] = map[table.ServiceID]int{id: rc.rnd.IntN(6)}
		}
		rc.wd.put(table.TableService, string(id), table.Service{ID: id, Slots: 8, Connections: 64, Asked: size, Budget: 1 + rc.rnd.IntN(3)})
	}
	shared := 0
	for _, in := range rc.wd.lockedFleet().Instances {
		if slices.Contains(in.Services, "shared") {
			shared++
		}
	}
	rc.wd.put(table.TableService, "shared", table.Service{ID: "shared", Slots: 8, Connections: 64, Asked: shared, Budget: 1})
}

// startExecutor runs an executor that is frozen now and then at a random point before a side effect or a commit.
func (rc *randomCase) startExecutor(ctx context.Context, wt *table.Watcher) {
	rc.executors++
	ex := operator.NewExecutor(rc.wd, rc.wd, wt, rc.wd, rc.wd, operator.ExecutorOptions{Entry: table.InstanceID(fmt.Sprintf("e%d", rc.executors)), Incarnation: table.Incarnation(table.NewID()), MaxRequestDuration: 30 * time.Second, Tick: 2 * time.Second})
	ex.SetHook(func(string) {
		rc.wd.mu.Lock()
		frozen := rc.wd.rnd.IntN(12) == 0 && rc.wd.lostAnswerShare > 0
		length := time.Duration(rc.wd.rnd.IntN(120)) * time.Second
		if frozen {
			rc.freezes++
		}
		rc.wd.mu.Unlock()
		if frozen {
			time.Sleep(length)
		}
	})
	go ex.Run(ctx)
}

func (rc *randomCase) propose(ctx context.Context) {
	instances := rc.wd.lockedFleet().Instances
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
	pn, err := rc.desk.Propose(ctx, "alice", it)
	if err != nil {
		return
	}
	rc.calls++
	if _, err := rc.desk.Confirm(ctx, "alice", pn.ID); err == nil {
		rc.plans = append(rc.plans, pn.ID)
	}
}

// injectEvent fails or mends an instance, or lets an operator change a plan.
func (rc *randomCase) injectEvent(ctx context.Context) {
	instances := rc.wd.lockedFleet().Instances
	id := instances[rc.rnd.IntN(len(instances))].ID
	switch rc.rnd.IntN(6) {
	case 0:
		rc.failures++
		rc.wd.mu.Lock()
		rc.wd.down[id] = true
		rc.wd.failedAt[id] = time.Now()
		rc.wd.mu.Unlock()
	case 1, 2:
		rc.recoverInstances()
	case 3:
		rc.propose(ctx)
	case 4:
		if len(rc.plans) > 0 {
			rc.calls++
			// A call that the plan's state does not allow is an operator's everyday mistake.
			_, _ = rc.desk.Change(ctx, "bruno", rc.plans[rc.rnd.IntN(len(rc.plans))], []string{"pause", "resume", "abort"}[rc.rnd.IntN(3)])
		}
	}
}

func (rc *randomCase) recoverInstances() {
	rc.wd.mu.Lock()
	defer rc.wd.mu.Unlock()
	clear(rc.wd.down)
}

// endFaults ends all faults and lets natural ends happen, so that every plan can end.
func (rc *randomCase) endFaults(ctx context.Context) {
	rc.recoverInstances()
	rc.wd.mu.Lock()
	rc.wd.lostAnswerShare = 0
	clear(rc.wd.usage)
	services := rc.wd.fleet().Services
	rc.wd.mu.Unlock()
	// What was drained or moved for good took its part of the budgets; the operators ask for less.
	for id, sv := range services {
		sv.Asked = 0
		rc.wd.put(table.TableService, string(id), *sv)
	}
	for _, id := range rc.plans {
		// Only paused plans are resumed; the others refuse.
		_, _ = rc.desk.Change(ctx, "alice", id, "resume")
	}
}

// finalPlans returns the plans as they stand in the table.
func (rc *randomCase) finalPlans() []*operator.Plan {
	sn, _ := table.EmptySnapshot().Merge(allRows(rc.wd))
	var plans []*operator.Plan
	for _, pn := range operator.SortedPlans(sn) {
		if slices.Contains(rc.plans, pn.ID) {
			plans = append(plans, pn)
		}
	}
	return plans
}

func allRows(wd *fakePlatform) []table.Row {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	var rows []table.Row
	for _, rw := range wd.rows {
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

// check wants that every plan ended, nothing is left held, nothing was rebooted twice and no session moved twice by one plan.
func (rc *randomCase) check() {
	if !rc.allEnded() {
		for _, pn := range rc.finalPlans() {
			rc.wd.violate("plan %s is still %s", pn.ID, pn.Status)
		}
		for _, rw := range allRows(rc.wd) {
			if rw.Table == table.TableLease {
				rc.wd.violate("lease %s", rw.Value)
			}
		}
	}
	for _, in := range rc.wd.lockedFleet().Instances {
		if in.Hold != nil {
			rc.wd.violate("%s is still held by %s", in.ID, in.Hold.Plan)
		}
	}
	for step, count := range rc.wd.reboots {
		if count != 1 {
			rc.wd.violate("%s was carried out %d times", step, count)
		}
	}
}
