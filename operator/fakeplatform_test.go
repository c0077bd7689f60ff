package operator_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/table"
)

// fakePlatform is an in-memory platform with instances. It checks the invariants at every commit and every action.
type fakePlatform struct {
	t           testing.TB
	mu          sync.Mutex
	rnd         *rand.Rand
	version     table.Version
	rows        map[table.RowKey]table.Row
	actionsDone map[string]bool
	// down holds the failed instances. The membership drops them at once.
	down map[table.InstanceID]bool
	// upAt is the time at which a rebooted instance answers again.
	upAt    map[table.InstanceID]time.Time
	usage   map[table.InstanceID]map[table.ServiceID]int
	entries []table.InstanceID
	// lostAnswerShare is the share of commits and actions that take effect although the caller gets an error.
	lostAnswerShare float64
	// failedAt is the time of each instance's last failure.
	failedAt map[table.InstanceID]time.Time
	reboots  map[string]int
	// movedTo holds, by plan, the pins to which sessions were moved.
	movedTo    map[table.PlanID]map[table.Pin]bool
	moved      int
	violations []string
	commits    int
	watchers   []*table.Watcher
}

func newFakePlatform(t testing.TB, rnd *rand.Rand) *fakePlatform {
	return &fakePlatform{t: t, rnd: rnd, rows: map[table.RowKey]table.Row{}, actionsDone: map[string]bool{}, down: map[table.InstanceID]bool{}, upAt: map[table.InstanceID]time.Time{}, usage: map[table.InstanceID]map[table.ServiceID]int{}, reboots: map[string]int{}, movedTo: map[table.PlanID]map[table.Pin]bool{}, failedAt: map[table.InstanceID]time.Time{}, entries: []table.InstanceID{"e1", "e2", "e3"}}
}

func (fp *fakePlatform) recordViolation(format string, args ...any) {
	fp.violations = append(fp.violations, fmt.Sprintf(format, args...))
}

// put writes a row unconditionally.
func (fp *fakePlatform) put(name table.TableName, key string, value any) {
	raw, err := table.Encode(value)
	if err != nil {
		fp.t.Fatal(err)
	}
	fp.mu.Lock()
	defer fp.mu.Unlock()
	fp.version++
	fp.rows[table.RowKey{Table: name, Key: key}] = table.Row{Table: name, Key: key, Version: fp.version, Value: raw}
}

func (fp *fakePlatform) Get(_ context.Context, name table.TableName, key string) (table.Row, error) {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	rw, ok := fp.rows[table.RowKey{Table: name, Key: key}]
	if !ok {
		return rw, table.ErrAbsent
	}
	return rw, nil
}

func (fp *fakePlatform) Changes(_ context.Context, since table.Version, tables []table.TableName) (table.Changes, error) {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	cs := table.Changes{Version: fp.version}
	for key, rw := range fp.rows {
		if rw.Version > since && slices.Contains(tables, key.Table) {
			cs.Rows = append(cs.Rows, rw)
		}
	}
	return cs, nil
}

func (fp *fakePlatform) Members(context.Context) ([]table.Member, error) {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	return fp.members(), nil
}

func (fp *fakePlatform) members() []table.Member {
	var members []table.Member
	for key := range fp.rows {
		if id := table.InstanceID(key.Key); key.Table == table.TableInstance && !fp.down[id] {
			members = append(members, table.Member{ID: id, Role: table.RoleWorker, State: table.MemberLive})
		}
	}
	for _, id := range fp.entries {
		members = append(members, table.Member{ID: id, Role: table.RoleEntry, State: table.MemberLive, Hall: "h1"})
	}
	return members
}

func (fp *fakePlatform) Commit(_ context.Context, tx table.Tx) (table.Version, error) {
	time.Sleep(2 * time.Millisecond)
	fp.mu.Lock()
	defer fp.mu.Unlock()
	var conflicts []table.Row
	for _, wt := range tx.Writes {
		if rw := fp.rows[table.RowKey{Table: wt.Table, Key: wt.Key}]; rw.Version != wt.IfVersion {
			rw.Table, rw.Key = wt.Table, wt.Key
			conflicts = append(conflicts, rw)
		}
	}
	if len(conflicts) > 0 {
		return 0, &table.ConflictError{Rows: conflicts}
	}
	fp.commits++
	before := fp.fleetLocked()
	fp.version++
	for _, wt := range tx.Writes {
		if !wt.Check {
			fp.rows[table.RowKey{Table: wt.Table, Key: wt.Key}] = table.Row{Table: wt.Table, Key: wt.Key, Version: fp.version, Value: wt.Value}
		}
	}
	fp.checkCommit(before, fp.fleetLocked())
	for _, wt := range tx.Writes {
		if wt.Table == table.TableMove {
			fp.moveSessions(wt)
		}
	}
	if fp.rnd.Float64() < fp.lostAnswerShare {
		return 0, table.ErrLost
	}
	return fp.version, nil
}

// fleetLocked returns the current fleet according to the rows and the actual failures. The caller holds the lock.
func (fp *fakePlatform) fleetLocked() *operator.Fleet {
	sn, _ := table.EmptySnapshot().Merge(slices.Collect(maps.Values(fp.rows)))
	return operator.NewFleet(sn.WithMembers(fp.members()), nil)
}

// maxDetectionDelay is the longest time for which an executor may not know of a failure: its lease and two polls of the membership.
const maxDetectionDelay = 10 * time.Second

// downTooLong reports whether an instance has been down for longer than maxDetectionDelay.
func (fp *fakePlatform) downTooLong(id table.InstanceID) bool {
	return fp.down[id] && time.Since(fp.failedAt[id]) > maxDetectionDelay
}

// currentFleet acquires the lock and returns the current fleet.
func (fp *fakePlatform) currentFleet() *operator.Fleet {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	return fp.fleetLocked()
}

// checkCommit checks that no commit takes an instance out of service beyond a budget, and that no instance goes directly from one plan to
// another.
func (fp *fakePlatform) checkCommit(before, after *operator.Fleet) {
	for _, in := range after.Instances {
		previous := before.Instance(in.ID)
		if previous == nil || previous.State != table.InstanceServing || in.State != table.InstanceLeaving {
			continue
		}
		for _, id := range in.Services {
			sv := after.Services[id]
			usable := 0
			for _, other := range after.Instances {
				if slices.Contains(other.Services, id) && other.State == table.InstanceServing && !fp.downTooLong(other.ID) && !slices.Contains(sv.Disrupted, other.ID) {
					usable++
				}
			}
			if usable < sv.Asked-sv.Budget && !after.Down[in.ID] {
				fp.recordViolation("%v: %s left %s with %d usable of %d asked, budget %d; disrupted %v, seen down %v, down %v since %v", time.Now().Format(time.TimeOnly), in.ID, id, usable, sv.Asked, sv.Budget, sv.Disrupted, sv.Down, after.Down, fp.failedAt)
			}
		}
		if previous.Hold != nil && in.Hold != nil && previous.Hold.Plan != in.Hold.Plan {
			fp.recordViolation("%s went from plan %s to plan %s", in.ID, previous.Hold.Plan, in.Hold.Plan)
		}
	}
}

// moveSessions moves a leaving instance's sessions to its successors and checks that its plan has not moved any of them before.
func (fp *fakePlatform) moveSessions(wt table.Write) {
	mv, err := table.Decode[table.Move](table.Row{Value: wt.Value})
	if err != nil {
		fp.recordViolation("move row: %v", err)
		return
	}
	plan := fp.fleetLocked().Instance(mv.Instance).Hold.Plan
	if fp.movedTo[plan] == nil {
		fp.movedTo[plan] = map[table.Pin]bool{}
	}
	for service, sessions := range fp.usage[mv.Instance] {
		if sessions == 0 {
			continue
		}
		if fp.movedTo[plan][mv.Pin] {
			fp.recordViolation("plan %s moves sessions of %s a second time", plan, mv.Instance)
		}
		pins := mv.Successors[service]
		if len(pins) == 0 {
			fp.recordViolation("%d sessions of %s have no successor", sessions, mv.Instance)
			continue
		}
		pn := pins[fp.rnd.IntN(len(pins))]
		fp.movedTo[plan][pn] = true
		fp.usage[pn.Instance][service] += sessions
		fp.moved += sessions
	}
	fp.usage[mv.Instance] = map[table.ServiceID]int{}
}

func (fp *fakePlatform) Usage(context.Context, ...table.InstanceID) ([]table.Usage, error) {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	var usage []table.Usage
	for id, sessions := range fp.usage {
		usage = append(usage, table.Usage{Instance: id, Sessions: maps.Clone(sessions)})
	}
	return usage, nil
}

// Act performs an action once per idempotency key and checks that only instances that have left are stopped.
func (fp *fakePlatform) Act(_ context.Context, id table.InstanceID, ac table.Action, key string) error {
	time.Sleep(time.Millisecond)
	fp.mu.Lock()
	defer fp.mu.Unlock()
	if fp.actionsDone[key] {
		return nil
	}
	fp.actionsDone[key] = true
	if ac != table.ActionReboot && ac != table.ActionStop {
		return nil
	}
	in := fp.fleetLocked().Instance(id)
	if in.State != table.InstanceLeaving {
		fp.recordViolation("%s was stopped while %s", id, in.State)
	}
	for _, watcher := range fp.watchers {
		if view := watcher.Snapshot().Instances[id]; view.State == table.InstanceServing {
			fp.recordViolation("%s was stopped while an entry instance saw it serving", id)
		}
	}
	fp.reboots[key]++
	fp.upAt[id] = time.Now().Add(30 * time.Second)
	// A reboot ends the remaining sessions.
	fp.usage[id] = map[table.ServiceID]int{}
	if fp.rnd.Float64() < fp.lostAnswerShare {
		return table.ErrLost
	}
	return nil
}

// Up reports whether an instance has finished its reboot.
func (fp *fakePlatform) Up(_ context.Context, address string) bool {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	return !time.Now().Before(fp.upAt[table.InstanceID(address)])
}

// Leaving answers for each entry instance from the snapshot of its own watcher.
func (fp *fakePlatform) Leaving(_ context.Context, entries []table.Member, pn table.Pin) []operator.Ack {
	var acks []operator.Ack
	for ix, mb := range entries {
		in := fp.watchers[ix%len(fp.watchers)].Snapshot().Instances[pn.Instance]
		acks = append(acks, operator.Ack{Entry: mb.ID, Reachable: true, Seen: in.Epoch >= pn.Epoch && in.State != table.InstanceServing})
	}
	return acks
}

// startWatcher starts a watcher of the platform for one entry instance.
func (fp *fakePlatform) startWatcher(ctx context.Context, poll time.Duration) *table.Watcher {
	wt := table.NewWatcher(fp, table.WithPollInterval(poll))
	fp.watchers = append(fp.watchers, wt)
	go wt.Run(ctx)
	return wt
}
