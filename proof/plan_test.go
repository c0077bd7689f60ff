package proof

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/standin"
	"github.com/aspenseam/aspenseam/table"
)

// desk returns an operator's client of an entry instance.
func (en *entryProcess) desk() *operator.Client {
	return operator.NewClient(en.operator, token)
}

func (en *entryProcess) brunosDesk() *operator.Client {
	return operator.NewClient(en.operator, token+"-bruno")
}

// quickPlans makes plans move sessions at once and not wait for reboots that take no time here.
const quickPlans = `{"closeTimes": ["0s"], "rebootTime": "1s", "weightTime": 1000}`

// propose makes a plan that must be possible.
func (fl *fleet) propose(dk *operator.Client, it operator.Intent) operator.PlanView {
	fl.t.Helper()
	if it.Why == "" {
		it.Why = "test"
	}
	vw, err := dk.Propose(context.Background(), it)
	if err != nil {
		fl.t.Fatal(err)
	}
	return vw
}

// start makes and confirms a plan.
func (fl *fleet) start(dk *operator.Client, it operator.Intent) table.PlanID {
	fl.t.Helper()
	vw := fl.propose(dk, it)
	if _, err := dk.Change(context.Background(), vw.ID, "confirm"); err != nil {
		fl.t.Fatal(err)
	}
	return vw.ID
}

// awaitPlan waits until a plan has a status, as any living entry instance sees it.
func (fl *fleet) awaitPlan(id table.PlanID, status operator.PlanStatus) {
	fl.t.Helper()
	var last operator.PlanView
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		for _, en := range fl.entries {
			vw, err := en.desk().Plan(context.Background(), id)
			if err != nil {
				continue
			}
			last = vw
			if vw.Status == status {
				return
			}
		}
		time.Sleep(pollEvery)
	}
	fl.t.Fatalf("plan %s is %s (%d of %d), want %s; waiting for %v", id, last.Status, last.Finished, last.Total, status, last.Waiting)
}

func (fl *fleet) acceptSettings(document string) {
	fl.t.Helper()
	dk := fl.entries[0].desk()
	vw, err := dk.Configuration(context.Background())
	if err != nil {
		fl.t.Fatal(err)
	}
	accepted, err := dk.AcceptConfiguration(context.Background(), document, vw.Version)
	if err != nil {
		fl.t.Fatal(err)
	}
	fl.awaitInForce(accepted.Version)
}

// awaitInForce waits until every listed entry instance runs at least a version.
func (fl *fleet) awaitInForce(version table.Version) {
	fl.t.Helper()
	eventually(fl.t, "configuration in force everywhere", func() bool {
		vw, err := fl.entries[0].desk().Configuration(context.Background())
		if err != nil {
			return false
		}
		for _, fc := range vw.ActiveVersions {
			if !fc.Reachable || fc.Version < version {
				return false
			}
		}
		return len(vw.ActiveVersions) == len(fl.entries)
	})
}

// reportUsage tells the platform of open sessions, as its workers would.
func (fl *fleet) reportUsage(sessions map[table.InstanceID]int) {
	fl.t.Helper()
	var usage []table.Usage
	for id, count := range sessions {
		usage = append(usage, table.Usage{Instance: id, Sessions: map[table.ServiceID]int{service: count}})
	}
	control(fl.t, http.MethodPut, fl.store, "/control/usage", usage, nil)
}

var rebootAll = operator.Intent{Kind: operator.KindReboot, Pools: []table.PoolID{"pool1"}}

func TestRebootOfAPoolInWavesCutsNothingAndKeepsTheBudget(t *testing.T) {
	fl := newFleet(t, shape{halls: 2, entries: 2, endpoints: 4, workMs: 20})
	fl.acceptSettings(quickPlans)
	tr := newTraffic(fl, 6, 6)
	id := fl.start(fl.entries[1].desk(), rebootAll)
	fl.awaitPlan(id, operator.PlanDone)
	tr.end(t, len(fl.endpoints))
	fl.actions.wantRebootedOnce(t, 2)
	for _, in := range fl.instances() {
		if in.State != table.InstanceServing || in.Hold != nil || in.Pool != "pool1" {
			t.Errorf("after the plan: %+v", in)
		}
	}
}

// instances returns the instance rows as they stand at the platform.
func (fl *fleet) instances() []table.Instance {
	fl.t.Helper()
	var instances []table.Instance
	for _, rw := range fl.wantRows(table.TableInstance, len(fl.endpoints)) {
		in, err := table.Decode[table.Instance](rw)
		if err != nil {
			fl.t.Fatal(err)
		}
		instances = append(instances, in)
	}
	return instances
}

func TestDrainOfARackMovesEachSessionOnce(t *testing.T) {
	fl := newFleet(t, shape{halls: 2, entries: 2, endpoints: 4, workMs: 10})
	fl.acceptSettings(quickPlans)
	tr := newTraffic(fl, 4, 12)
	time.Sleep(300 * time.Millisecond)
	fl.reportUsage(map[table.InstanceID]int{"w1": 1, "w2": 1, "w3": 1, "w4": 1})
	id := fl.start(fl.entries[0].desk(), operator.Intent{Kind: operator.KindReboot, Racks: []table.RackID{"r0"}})
	fl.awaitPlan(id, operator.PlanDone)
	tr.end(t, 1)
}

func TestPlanGoesOnWhenItsExecutorIsKilledAgainAndAgain(t *testing.T) {
	fl := newFleet(t, shape{halls: 2, entries: 2, endpoints: 2, workMs: 5})
	fl.acceptSettings(quickPlans)
	kills := 0
	byAction := map[string]int{}
	fl.actions.during = func(action string, _ table.InstanceID) {
		// Whoever asked for the action dies before it hears that it was done, twice for each kind of action.
		if byAction[action] >= 2 {
			return
		}
		byAction[action]++
		for _, en := range fl.entries {
			vw, err := en.desk().Plans(context.Background())
			if err != nil || len(vw) == 0 {
				continue
			}
			for _, victim := range fl.entries {
				if victim.id == string(vw[0].Executor) {
					kills++
					victim.kill()
					fl.startEntry(victim)
					return
				}
			}
		}
	}
	id := fl.start(fl.entries[0].desk(), rebootAll)
	fl.awaitPlan(id, operator.PlanDone)
	t.Logf("%d executors killed", kills)
	if kills < 4 {
		t.Errorf("only %d executors were killed", kills)
	}
	fl.actions.wantRebootedOnce(t, 2)
}

func TestCutOffEntryBlocksTheStopByName(t *testing.T) {
	sp := shape{halls: 2, entries: 2, endpoints: 3, workMs: 5, settings: map[string]map[string]any{"caller": {"longestRequest": "2s", "defaultTimeout": "1s"}}}
	fl := newFleet(t, sp)
	fl.acceptSettings(quickPlans)
	cut := fl.entries[3]
	cut.store.set("", true)
	cut.inbound.set("", true)
	for _, en := range fl.entries[:3] {
		en.inbound.set(cut.ip, true)
	}
	id := fl.start(fl.entries[0].desk(), operator.Intent{Kind: operator.KindReboot, Instances: []table.InstanceID{"w1"}})
	eventually(t, "blocked by name", func() bool {
		vw, err := fl.entries[1].desk().Plan(context.Background(), id)
		return err == nil && strings.Contains(strings.Join(vw.Waiting, " "), "entry instance e4 cannot be asked")
	})
	time.Sleep(time.Second)
	if got := fl.actions.count(table.ActionReboot, "w1"); got != 0 {
		t.Fatal("rebooted although an entry instance could not be asked")
	}
	// The cut one still routes there; the drained endpoint itself refuses, so nothing is lost.
	for range 10 {
		wantOutcome(t, send(cut.callers, get), "answered")
	}
	fl.list("e4")
	fl.awaitPlan(id, operator.PlanDone)
	if got := fl.actions.count(table.ActionReboot, "w1"); got != 1 {
		t.Fatalf("rebooted %d times", got)
	}
}

func TestFailureInTheMiddleOfAWaveStopsItUntilTheBudgetIsBack(t *testing.T) {
	fl := newFleet(t, shape{halls: 2, entries: 1, endpoints: 3, workMs: 5})
	fl.acceptSettings(quickPlans)
	// Two fail at once, which is the whole budget.
	fl.endpoints[4].kill()
	fl.endpoints[5].kill()
	fl.list("w5", "w6")
	eventually(t, "seen down", func() bool {
		st, err := fl.entries[0].desk().Status(context.Background())
		down := 0
		for _, in := range st.Instances {
			if !in.Listed {
				down++
			}
		}
		return err == nil && down == 2
	})
	id := fl.start(fl.entries[0].desk(), operator.Intent{Kind: operator.KindReboot, Instances: []table.InstanceID{"w1", "w2"}})
	eventually(t, "waits for the budget", func() bool {
		vw, err := fl.entries[1].desk().Plan(context.Background(), id)
		return err == nil && strings.Contains(strings.Join(vw.Waiting, " "), "4 usable instances and needs 4")
	})
	if got := fl.actions.count(table.ActionDrain, "w1") + fl.actions.count(table.ActionDrain, "w2"); got != 0 {
		t.Fatal("drained beyond the budget")
	}
	fl.restart(fl.endpoints[4])
	fl.restart(fl.endpoints[5])
	fl.list()
	fl.awaitPlan(id, operator.PlanDone)
}

func TestOperatorsRace(t *testing.T) {
	fl := newFleet(t, shape{halls: 2, entries: 2, endpoints: 3, workMs: 5})
	fl.acceptSettings(quickPlans)
	alice, bruno := fl.entries[0].desk(), fl.entries[2].brunosDesk()
	mine := fl.propose(alice, operator.Intent{Kind: operator.KindReboot, Instances: []table.InstanceID{"w1", "w2"}, Why: "kernel"})
	his := fl.propose(bruno, operator.Intent{Kind: operator.KindMove, Instances: []table.InstanceID{"w2"}, ToPool: "pool2", Why: "more tally"})
	var wg sync.WaitGroup
	errs := make([]error, 2)
	wg.Go(func() { _, errs[0] = alice.Change(context.Background(), mine.ID, "confirm") })
	wg.Go(func() { _, errs[1] = bruno.Change(context.Background(), his.ID, "confirm") })
	wg.Wait()
	if (errs[0] == nil) == (errs[1] == nil) {
		t.Fatalf("one must win: %v, %v", errs[0], errs[1])
	}
	loser := errors.Join(errs...)
	if text := loser.Error(); !strings.Contains(text, "instance w2") || !strings.Contains(text, "of alice (kernel)") && !strings.Contains(text, "of bruno (more tally)") {
		t.Errorf("the loser was told: %v", loser)
	}
	winner := mine.ID
	if errs[0] != nil {
		winner = his.ID
	}
	fl.awaitPlan(winner, operator.PlanDone)
	for _, in := range fl.instances() {
		if in.ID == "w2" && (in.Pool == "pool2") != (winner == his.ID) {
			t.Errorf("w2 ended in %s", in.Pool)
		}
	}
}

func TestConfirmIsBoundToWhatThePlanWasMadeFrom(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 2, endpoints: 4, workMs: 5})
	fl.acceptSettings(quickPlans)
	dk := fl.entries[0].desk()
	stale := fl.propose(dk, operator.Intent{Kind: operator.KindReboot, Instances: []table.InstanceID{"w1"}})
	fl.awaitPlan(fl.start(dk, operator.Intent{Kind: operator.KindMove, Instances: []table.InstanceID{"w1"}, ToPool: "pool2"}), operator.PlanDone)
	_, err := fl.entries[1].desk().Change(context.Background(), stale.ID, "confirm")
	if err == nil || !strings.Contains(err.Error(), "instance w1 was serving in pool pool1, is serving in pool pool2") {
		t.Fatalf("difference: %v", err)
	}
	if got := fl.actions.count(table.ActionReboot, "w1"); got != 0 {
		t.Error("something happened")
	}
}

func TestConfirmTwiceAndWithALostAnswerIsOnce(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 2, endpoints: 4, workMs: 5})
	fl.acceptSettings(quickPlans)
	vw := fl.propose(fl.entries[0].desk(), operator.Intent{Kind: operator.KindReboot, Instances: []table.InstanceID{"w1"}})
	fl.fail(standin.PlatformFaults{Table: table.TablePlan, LoseAnswers: 1})
	for _, en := range []*entryProcess{fl.entries[0], fl.entries[1], fl.entries[0]} {
		if _, err := en.desk().Change(context.Background(), vw.ID, "confirm"); err != nil {
			t.Fatal(err)
		}
	}
	fl.awaitPlan(vw.ID, operator.PlanDone)
	if got := fl.actions.count(table.ActionReboot, "w1"); got != 1 {
		t.Errorf("rebooted %d times", got)
	}
	lines, err := fl.entries[1].desk().Audit(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	confirms := 0
	for _, au := range lines {
		if au.Action == "confirm" && au.Actor == "alice" {
			confirms++
		}
	}
	if confirms != 1 {
		t.Errorf("%d lines of audit for one confirmation", confirms)
	}
}

func TestPauseResumeAndAbortLeaveASafeState(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 2, endpoints: 5, workMs: 5})
	fl.acceptSettings(quickPlans)
	dk := fl.entries[0].desk()
	ctx := context.Background()
	// A cut entry instance keeps the step from going on, so that the plan can be caught in the middle.
	fl.entries[1].inbound.set("", true)
	id := fl.start(dk, operator.Intent{Kind: operator.KindReboot, Instances: []table.InstanceID{"w1", "w2", "w3"}})
	eventually(t, "drained", func() bool { return fl.actions.count(table.ActionDrain, "w1") == 1 })
	for range 2 {
		if vw, err := dk.Change(ctx, id, "pause"); err != nil || vw.Status != operator.PlanPaused {
			t.Fatalf("%s %v", vw.Status, err)
		}
	}
	fl.entries[1].inbound.set("", false)
	time.Sleep(1500 * time.Millisecond)
	if got := fl.actions.count(table.ActionReboot, "w1"); got != 0 {
		t.Fatal("a paused plan went on")
	}
	if _, err := dk.Change(ctx, id, "abort"); err != nil {
		t.Fatal(err)
	}
	fl.awaitPlan(id, operator.PlanAborted)
	for _, in := range fl.instances() {
		if in.State != table.InstanceServing || in.Hold != nil {
			t.Errorf("after the abort: %+v", in)
		}
	}
	tl := load(t, fl.entries[0], 100, 4, get)
	if tl.good.Load() != 100 || len(tl.by) != 5 {
		t.Errorf("good %d at %v", tl.good.Load(), tl.by)
	}
	if got := fl.actions.count(table.ActionReboot, "w1"); got != 0 {
		t.Error("rebooted after the abort")
	}
}
