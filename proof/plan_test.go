package proof

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/platform"
	"github.com/aspenseam/aspenseam/standin"
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
func (fl *fleet) start(dk *operator.Client, it operator.Intent) platform.PlanID {
	fl.t.Helper()
	vw := fl.propose(dk, it)
	if _, err := dk.Change(context.Background(), vw.ID, "confirm"); err != nil {
		fl.t.Fatal(err)
	}
	return vw.ID
}

// awaitPlan waits until a plan has a status, as any living entry instance sees it.
func (fl *fleet) awaitPlan(id platform.PlanID, status operator.PlanStatus) {
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
	accepted, err := dk.Accept(context.Background(), document, vw.Version)
	if err != nil {
		fl.t.Fatal(err)
	}
	fl.awaitInForce(accepted.Version)
}

// awaitInForce waits until every listed entry instance runs at least a version.
func (fl *fleet) awaitInForce(version platform.Version) {
	fl.t.Helper()
	eventually(fl.t, "configuration in force everywhere", func() bool {
		vw, err := fl.entries[0].desk().Configuration(context.Background())
		if err != nil {
			return false
		}
		for _, fc := range vw.InForce {
			if !fc.Asked || fc.Version < version {
				return false
			}
		}
		return len(vw.InForce) == len(fl.entries)
	})
}

// traffic keeps requests and sessions going through all entry instances while something happens.
type traffic struct {
	fl   *fleet
	stop chan struct{}
	wg   sync.WaitGroup
	// sent counts requests and bad those that got no good answer.
	sent, bad atomic.Int64
	mu        sync.Mutex
	firstBad  string
	// places holds where each session was served, in order and without repeats.
	places map[int][]platform.InstanceID
}

// newTraffic starts so many senders and sessions; a refusal with a time to come back is obeyed, as callers do.
func newTraffic(fl *fleet, senders, sessions int) *traffic {
	tr := &traffic{fl: fl, stop: make(chan struct{}), places: map[int][]platform.InstanceID{}}
	for number := range senders {
		tr.wg.Go(func() { tr.send(number) })
	}
	for number := range sessions {
		tr.wg.Go(func() { tr.session(number) })
	}
	return tr
}

func (tr *traffic) stopped() bool {
	select {
	case <-tr.stop:
		return true
	default:
		return false
	}
}

// until sends one request until it is answered; only "not run" may be sent again.
func (tr *traffic) until(number int, ak ask) (reply, bool) {
	tr.sent.Add(1)
	for turn := number; ; turn++ {
		en := tr.fl.entries[turn%len(tr.fl.entries)]
		select {
		case <-en.done:
			continue
		default:
		}
		rp := send(en.callers, ak)
		if rp.err == nil && rp.outcome == "answered" && rp.status == http.StatusOK {
			return rp, true
		}
		if rp.outcome != "notRun" || tr.stopped() {
			tr.bad.Add(1)
			tr.mu.Lock()
			if tr.firstBad == "" {
				tr.firstBad = strings.TrimSpace(strings.Join([]string{ak.method, rp.outcome, string(rp.body), errorText(rp.err)}, " "))
			}
			tr.mu.Unlock()
			return rp, false
		}
		time.Sleep(time.Duration(rp.problem(tr.fl.t).RetryAfterMs) * time.Millisecond)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (tr *traffic) send(number int) {
	for turn := number; !tr.stopped(); turn++ {
		ak := get
		if turn%2 == 0 {
			ak = unrepeatable(platform.NewID())
		}
		tr.until(turn, ak)
	}
}

func (tr *traffic) session(number int) {
	token := caller.SessionNew
	for turn := number; !tr.stopped(); turn++ {
		rp, good := tr.until(turn, inSession(token))
		if !good {
			continue
		}
		token = rp.session
		at := rp.execution(tr.fl.t).Instance
		tr.mu.Lock()
		if places := tr.places[number]; len(places) == 0 || places[len(places)-1] != at {
			tr.places[number] = append(places, at)
		}
		tr.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// end stops the traffic and wants every request well answered and every session moved at most so often.
func (tr *traffic) end(t *testing.T, mostMoves int) {
	t.Helper()
	close(tr.stop)
	tr.wg.Wait()
	moves := 0
	for number, places := range tr.places {
		moves += len(places) - 1
		if len(places)-1 > mostMoves {
			t.Errorf("session %d was moved %d times: %v", number, len(places)-1, places)
		}
	}
	t.Logf("%d requests, %d without a good answer, %d sessions moved %d times", tr.sent.Load(), tr.bad.Load(), len(tr.places), moves)
	if tr.bad.Load() > 0 {
		t.Errorf("%d of %d requests without a good answer, the first: %s", tr.bad.Load(), tr.sent.Load(), tr.firstBad)
	}
}

// reportUsage tells the platform of open sessions, as its workers would.
func (fl *fleet) reportUsage(sessions map[platform.InstanceID]int) {
	fl.t.Helper()
	var usage []platform.Usage
	for id, count := range sessions {
		usage = append(usage, platform.Usage{Instance: id, Sessions: map[platform.ServiceID]int{service: count}})
	}
	control(fl.t, http.MethodPut, fl.store, "/control/usage", usage, nil)
}

var rebootAll = operator.Intent{Kind: operator.KindReboot, Pools: []platform.PoolID{"pool1"}}

func TestRebootOfAPoolInWavesCutsNothingAndKeepsTheBudget(t *testing.T) {
	fl := newFleet(t, shape{halls: 2, entries: 2, endpoints: 4, workMs: 20})
	fl.acceptSettings(quickPlans)
	tr := newTraffic(fl, 6, 6)
	id := fl.start(fl.entries[1].desk(), rebootAll)
	fl.awaitPlan(id, operator.PlanDone)
	tr.end(t, len(fl.endpoints))
	fl.actions.wantRebootedOnce(t, 2)
	for _, in := range fl.instances() {
		if in.State != platform.InstanceServing || in.Hold != nil || in.Pool != "pool1" {
			t.Errorf("after the plan: %+v", in)
		}
	}
}

// instances returns the instance rows as they stand at the platform.
func (fl *fleet) instances() []platform.Instance {
	fl.t.Helper()
	var instances []platform.Instance
	for _, rw := range fl.wantRows(platform.TableInstance, len(fl.endpoints)) {
		in, err := platform.Decode[platform.Instance](rw)
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
	fl.reportUsage(map[platform.InstanceID]int{"w1": 1, "w2": 1, "w3": 1, "w4": 1})
	id := fl.start(fl.entries[0].desk(), operator.Intent{Kind: operator.KindReboot, Racks: []platform.RackID{"r0"}})
	fl.awaitPlan(id, operator.PlanDone)
	tr.end(t, 1)
}

func TestPlanGoesOnWhenItsExecutorIsKilledAgainAndAgain(t *testing.T) {
	fl := newFleet(t, shape{halls: 2, entries: 2, endpoints: 2, workMs: 5})
	fl.acceptSettings(quickPlans)
	kills := 0
	byAction := map[string]int{}
	fl.actions.during = func(action string, _ platform.InstanceID) {
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
	id := fl.start(fl.entries[0].desk(), operator.Intent{Kind: operator.KindReboot, Instances: []platform.InstanceID{"w1"}})
	eventually(t, "blocked by name", func() bool {
		vw, err := fl.entries[1].desk().Plan(context.Background(), id)
		return err == nil && strings.Contains(strings.Join(vw.Waiting, " "), "entry instance e4 cannot be asked")
	})
	time.Sleep(time.Second)
	if got := fl.actions.count(platform.ActionReboot, "w1"); got != 0 {
		t.Fatal("rebooted although an entry instance could not be asked")
	}
	// The cut one still routes there; the drained endpoint itself refuses, so nothing is lost.
	for range 10 {
		wantOutcome(t, send(cut.callers, get), "answered")
	}
	fl.list("e4")
	fl.awaitPlan(id, operator.PlanDone)
	if got := fl.actions.count(platform.ActionReboot, "w1"); got != 1 {
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
	id := fl.start(fl.entries[0].desk(), operator.Intent{Kind: operator.KindReboot, Instances: []platform.InstanceID{"w1", "w2"}})
	eventually(t, "waits for the budget", func() bool {
		vw, err := fl.entries[1].desk().Plan(context.Background(), id)
		return err == nil && strings.Contains(strings.Join(vw.Waiting, " "), "4 usable instances and needs 4")
	})
	if got := fl.actions.count(platform.ActionDrain, "w1") + fl.actions.count(platform.ActionDrain, "w2"); got != 0 {
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
	mine := fl.propose(alice, operator.Intent{Kind: operator.KindReboot, Instances: []platform.InstanceID{"w1", "w2"}, Why: "kernel"})
	his := fl.propose(bruno, operator.Intent{Kind: operator.KindMove, Instances: []platform.InstanceID{"w2"}, ToPool: "pool2", Why: "more tally"})
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
	stale := fl.propose(dk, operator.Intent{Kind: operator.KindReboot, Instances: []platform.InstanceID{"w1"}})
	fl.awaitPlan(fl.start(dk, operator.Intent{Kind: operator.KindMove, Instances: []platform.InstanceID{"w1"}, ToPool: "pool2"}), operator.PlanDone)
	_, err := fl.entries[1].desk().Change(context.Background(), stale.ID, "confirm")
	if err == nil || !strings.Contains(err.Error(), "instance w1 was serving in pool pool1, is serving in pool pool2") {
		t.Fatalf("difference: %v", err)
	}
	if got := fl.actions.count(platform.ActionReboot, "w1"); got != 0 {
		t.Error("something happened")
	}
}

func TestConfirmTwiceAndWithALostAnswerIsOnce(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 2, endpoints: 4, workMs: 5})
	fl.acceptSettings(quickPlans)
	vw := fl.propose(fl.entries[0].desk(), operator.Intent{Kind: operator.KindReboot, Instances: []platform.InstanceID{"w1"}})
	fl.fail(standin.PlatformFaults{LoseAnswers: 1})
	for _, en := range []*entryProcess{fl.entries[0], fl.entries[1], fl.entries[0]} {
		if _, err := en.desk().Change(context.Background(), vw.ID, "confirm"); err != nil {
			t.Fatal(err)
		}
	}
	fl.awaitPlan(vw.ID, operator.PlanDone)
	if got := fl.actions.count(platform.ActionReboot, "w1"); got != 1 {
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
	id := fl.start(dk, operator.Intent{Kind: operator.KindReboot, Instances: []platform.InstanceID{"w1", "w2", "w3"}})
	eventually(t, "drained", func() bool { return fl.actions.count(platform.ActionDrain, "w1") == 1 })
	for range 2 {
		if vw, err := dk.Change(ctx, id, "pause"); err != nil || vw.Status != operator.PlanPaused {
			t.Fatalf("%s %v", vw.Status, err)
		}
	}
	fl.entries[1].inbound.set("", false)
	time.Sleep(1500 * time.Millisecond)
	if got := fl.actions.count(platform.ActionReboot, "w1"); got != 0 {
		t.Fatal("a paused plan went on")
	}
	if _, err := dk.Change(ctx, id, "abort"); err != nil {
		t.Fatal(err)
	}
	fl.awaitPlan(id, operator.PlanAborted)
	for _, in := range fl.instances() {
		if in.State != platform.InstanceServing || in.Hold != nil {
			t.Errorf("after the abort: %+v", in)
		}
	}
	tl := load(t, fl.entries[0], 100, 4, get)
	if tl.good.Load() != 100 || len(tl.by) != 5 {
		t.Errorf("good %d at %v", tl.good.Load(), tl.by)
	}
	if got := fl.actions.count(platform.ActionReboot, "w1"); got != 0 {
		t.Error("rebooted after the abort")
	}
}
