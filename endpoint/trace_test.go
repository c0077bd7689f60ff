package endpoint

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/table"
	"github.com/cockroachdb/datadriven"
)

// traceReplay feeds a recorded trace to a router with a simulated clock.
type traceReplay struct {
	t             *testing.T
	rt            *Router
	now           time.Time
	rows          []table.Row
	rnd           *rand.Rand
	heldSlots     []slot
	needSuccessor []table.InstanceID
}

// TestTraces replays the traces in testdata/traces, one file for each scenario, and compares the decisions with the expected ones.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata/traces", func(t *testing.T, path string) {
		tr := &traceReplay{t: t, now: time.Unix(1_000_000, 0), rnd: rand.New(rand.NewPCG(1, 2))}
		datadriven.RunTest(t, path, tr.step)
	})
}

func (tr *traceReplay) step(t *testing.T, td *datadriven.TestData) string {
	steps := map[string]func(*datadriven.TestData) string{
		"fleet": tr.fleet, "members": tr.members, "state": tr.state, "events": tr.events,
		"advance": tr.advance, "pick": tr.pick, "retries": tr.retries, "admit": tr.admit,
	}
	step := steps[td.Cmd]
	if step == nil {
		t.Fatalf("%s: unknown command %s", td.Pos, td.Cmd)
	}
	return step(td)
}

// fleet creates a router in hall h1 with endpoints given as name=hall.
func (tr *traceReplay) fleet(td *datadriven.TestData) string {
	tr.rt = NewRouter(WithHall("h1"), WithClock(func() time.Time { return tr.now }), WithRandom(tr.rnd.IntN), WithQueueLength(100))
	tr.rt.OnGone = func(in table.Instance) { tr.needSuccessor = append(tr.needSuccessor, in.ID) }
	tr.put(table.TableService, "s", table.Service{ID: "s", Slots: 8, Connections: 64})
	var members []table.Member
	for _, arg := range td.CmdArgs {
		id := table.InstanceID(arg.Key)
		tr.put(table.TableInstance, arg.Key, table.Instance{ID: id, Hall: table.HallID(arg.Vals[0]), State: table.InstanceServing, Epoch: 1, Services: []table.ServiceID{"s"}, Address: "10.0.0.1:1"})
		members = append(members, table.Member{ID: id, Role: table.RoleWorker, State: table.MemberLive})
	}
	tr.update(members)
	return ""
}

func (tr *traceReplay) put(name table.TableName, key string, value any) {
	raw, err := table.Encode(value)
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.rows = append(tr.rows, table.Row{Table: name, Key: key, Version: table.Version(len(tr.rows) + 1), Value: raw})
}

func (tr *traceReplay) update(members []table.Member) {
	sn, _ := table.EmptySnapshot().Merge(tr.rows)
	if members == nil {
		for _, mb := range tr.rt.Snapshot().Members {
			members = append(members, mb)
		}
	}
	tr.rt.Update(sn.WithMembers(members))
}

// members sets the endpoints that the platform's membership still contains.
func (tr *traceReplay) members(td *datadriven.TestData) string {
	members := []table.Member{}
	for _, arg := range td.CmdArgs {
		members = append(members, table.Member{ID: table.InstanceID(arg.Key), Role: table.RoleWorker, State: table.MemberLive})
	}
	tr.update(members)
	return ""
}

// state sets the states of instances, given as name=state.
func (tr *traceReplay) state(td *datadriven.TestData) string {
	for _, arg := range td.CmdArgs {
		in := *tr.rt.Snapshot().Instances[table.InstanceID(arg.Key)]
		in.State = table.InstanceState(arg.Vals[0])
		tr.put(table.TableInstance, arg.Key, in)
	}
	tr.update(nil)
	return ""
}

// events records results of attempts, one per line: name event [latency] [xN].
func (tr *traceReplay) events(td *datadriven.TestData) string {
	for line := range strings.Lines(td.Input) {
		fields := strings.Fields(line)
		times := 1
		if last := fields[len(fields)-1]; strings.HasPrefix(last, "x") {
			times, _ = strconv.Atoi(last[1:])
			fields = fields[:len(fields)-1]
		}
		for range times {
			tr.event(fields)
		}
	}
	return tr.statuses()
}

func (tr *traceReplay) event(fields []string) {
	tb := tr.rt.routes.Load()
	ar := attemptResult{slot: slot{st: tb.endpoints[table.InstanceID(fields[0])], ro: tb.services["s"]}, duration: 10 * time.Millisecond}
	switch fields[1] {
	case "answers":
		ar.answer = &Answer{Status: http.StatusOK}
		ar.duration, _ = time.ParseDuration(fields[2])
	case "fails":
		ar.answer = &Answer{Status: http.StatusInternalServerError}
	case "breaks":
		ar.outcome, ar.err = MaybeRun, ErrConnectionBroken
	case "refusesConnections":
		ar.outcome, ar.err = NotSent, syscall.ECONNREFUSED
	case "saysFull":
		ar.outcome, ar.err = Refused, fmt.Errorf("%s: %w", RefusedFull, ErrRefused)
	case "saysLeaving":
		ar.outcome, ar.err = Refused, fmt.Errorf("%s: %w", RefusedLeaving, ErrRefused)
	default:
		tr.t.Fatalf("unknown event %q", fields)
	}
	tr.rt.recordResult(ar, false)
}

// statuses lists the status and the limit of each endpoint.
func (tr *traceReplay) statuses() string {
	tb := tr.rt.routes.Load()
	var out []string
	for _, st := range tb.services["s"].endpoints {
		status := []string{"open", "trial", "ejected"}[st.health.status(tr.now)]
		if !st.routable(tr.now) {
			status = "leaving"
		}
		out = append(out, fmt.Sprintf("%s %s limit %d", st.id, status, st.limit.value(tb.services["s"].share)))
	}
	return strings.Join(out, "\n")
}

func (tr *traceReplay) advance(td *datadriven.TestData) string {
	step, err := time.ParseDuration(td.CmdArgs[0].Key)
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.now = tr.now.Add(step)
	return tr.statuses()
}

// pick acquires slots one after the other and counts how often each endpoint was chosen.
// With hold the slots are kept. With release all kept slots are released first.
func (tr *traceReplay) pick(td *datadriven.TestData) string {
	count, _ := strconv.Atoi(td.CmdArgs[0].Key)
	if td.HasArg("release") {
		for _, sl := range tr.heldSlots {
			sl.release()
		}
		tr.heldSlots = nil
	}
	call := &Call{Service: "s", Repeatable: td.HasArg("repeatable"), Deadline: tr.now.Add(time.Second)}
	var pin string
	if td.MaybeScanArgs(tr.t, "pin", &pin) {
		call.Pin = func(*table.Snapshot) (table.InstanceID, error) { return table.InstanceID(pin), nil }
	}
	chosen := map[string]int{}
	for range count {
		sl, err := tr.rt.tryAcquire(call, nil)
		if err != nil {
			chosen[err.Error()]++
			continue
		}
		chosen[string(sl.st.id)]++
		switch {
		case td.HasArg("hold"):
			tr.heldSlots = append(tr.heldSlots, sl)
		default:
			sl.release()
		}
		if sl.probe {
			chosen["trials"]++
		}
	}
	out := sortedCounts(chosen)
	if len(tr.needSuccessor) > 0 {
		out += fmt.Sprintf("\nsessions of %v need a successor", slices.Compact(tr.needSuccessor))
	}
	return out
}

func sortedCounts(counts map[string]int) string {
	var out []string
	for name, count := range counts {
		out = append(out, fmt.Sprintf("%s %d", name, count))
	}
	slices.Sort(out)
	return strings.Join(out, "\n")
}

// retries reports how many retries the budget grants for the given number of requests.
func (tr *traceReplay) retries(td *datadriven.TestData) string {
	requests, _ := strconv.Atoi(td.CmdArgs[0].Key)
	granted := 0
	for range requests {
		tr.rt.budget.deposit()
		if tr.rt.budget.tryWithdraw() {
			granted++
		}
	}
	return fmt.Sprintf("%d of %d", granted, requests)
}

// admit reports how many of the given number of requests with a deadline are admitted to the queue.
func (tr *traceReplay) admit(td *datadriven.TestData) string {
	count, _ := strconv.Atoi(td.CmdArgs[0].Key)
	within, err := time.ParseDuration(td.CmdArgs[1].Key)
	if err != nil {
		tr.t.Fatal(err)
	}
	ro := tr.rt.routes.Load().services["s"]
	call := &Call{Service: "s", Deadline: tr.now.Add(within)}
	admitted := 0
	for range count {
		if tr.rt.shouldReject(ro, call) || !ro.queue.add(&waiter{wake: make(chan struct{}, 1)}, tr.rt.opts.QueueLength) {
			continue
		}
		admitted++
	}
	return fmt.Sprintf("%d of %d", admitted, count)
}
