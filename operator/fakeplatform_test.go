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

// world is a platform in memory that checks each promise at each commit, and the instances behind it.
type world struct {
	t       testing.TB
	mu      sync.Mutex
	rnd     *rand.Rand
	version table.Version
	rows    map[table.RowKey]table.Row
	steps   map[string]bool
	// down holds the instances that failed; the membership drops them at once.
	down map[table.InstanceID]bool
	// upAt is when a rebooted instance answers again.
	upAt    map[table.InstanceID]time.Time
	usage   map[table.InstanceID]map[table.ServiceID]int
	entries []table.InstanceID
	// loseShare is the share of commits whose answer is lost.
	loseShare float64
	// failedAt is when each instance last failed.
	failedAt map[table.InstanceID]time.Time
	reboots  map[string]int
	// given holds by plan the pins that sessions were moved to.
	given   map[table.PlanID]map[table.Pin]bool
	moved   int
	broken  []string
	commits int
	views   []*table.Watcher
}

func newWorld(t testing.TB, rnd *rand.Rand) *world {
	return &world{t: t, rnd: rnd, rows: map[table.RowKey]table.Row{}, steps: map[string]bool{}, down: map[table.InstanceID]bool{}, upAt: map[table.InstanceID]time.Time{}, usage: map[table.InstanceID]map[table.ServiceID]int{}, reboots: map[string]int{}, given: map[table.PlanID]map[table.Pin]bool{}, failedAt: map[table.InstanceID]time.Time{}, entries: []table.InstanceID{"e1", "e2", "e3"}}
}

func (wd *world) breach(format string, args ...any) {
	wd.broken = append(wd.broken, fmt.Sprintf(format, args...))
}

// put writes a row without any condition.
func (wd *world) put(name table.TableName, key string, value any) {
	raw, err := table.Encode(value)
	if err != nil {
		wd.t.Fatal(err)
	}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.version++
	wd.rows[table.RowKey{Table: name, Key: key}] = table.Row{Table: name, Key: key, Version: wd.version, Value: raw}
}

func (wd *world) Get(_ context.Context, name table.TableName, key string) (table.Row, error) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	rw, ok := wd.rows[table.RowKey{Table: name, Key: key}]
	if !ok {
		return rw, table.ErrAbsent
	}
	return rw, nil
}

func (wd *world) Changes(_ context.Context, since table.Version, tables []table.TableName) (table.Changes, error) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	cs := table.Changes{Version: wd.version}
	for key, rw := range wd.rows {
		if rw.Version > since && slices.Contains(tables, key.Table) {
			cs.Rows = append(cs.Rows, rw)
		}
	}
	return cs, nil
}

func (wd *world) Members(context.Context) ([]table.Member, error) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.members(), nil
}

func (wd *world) members() []table.Member {
	var members []table.Member
	for key := range wd.rows {
		if id := table.InstanceID(key.Key); key.Table == table.TableInstance && !wd.down[id] {
			members = append(members, table.Member{ID: id, Role: table.RoleWorker, State: table.MemberLive})
		}
	}
	for _, id := range wd.entries {
		members = append(members, table.Member{ID: id, Role: table.RoleEntry, State: table.MemberLive, Hall: "h1"})
	}
	return members
}

func (wd *world) Commit(_ context.Context, tx table.Tx) (table.Version, error) {
	time.Sleep(2 * time.Millisecond)
	wd.mu.Lock()
	defer wd.mu.Unlock()
	var conflicts []table.Row
	for _, wt := range tx.Writes {
		if rw := wd.rows[table.RowKey{Table: wt.Table, Key: wt.Key}]; rw.Version != wt.IfVersion {
			rw.Table, rw.Key = wt.Table, wt.Key
			conflicts = append(conflicts, rw)
		}
	}
	if len(conflicts) > 0 {
		return 0, &table.ConflictError{Rows: conflicts}
	}
	wd.commits++
	before := wd.fleet()
	wd.version++
	for _, wt := range tx.Writes {
		if !wt.Check {
			wd.rows[table.RowKey{Table: wt.Table, Key: wt.Key}] = table.Row{Table: wt.Table, Key: wt.Key, Version: wd.version, Value: wt.Value}
		}
	}
	wd.checkCommit(before, wd.fleet())
	for _, wt := range tx.Writes {
		if wt.Table == table.TableMove {
			wd.moveSessions(wt)
		}
	}
	if wd.rnd.Float64() < wd.loseShare {
		return 0, table.ErrLost
	}
	return wd.version, nil
}

// fleet returns the truth: rows and who is really down.
func (wd *world) fleet() *operator.Fleet {
	sn, _ := table.EmptySnapshot().Merge(slices.Collect(maps.Values(wd.rows)))
	return operator.FleetOf(sn.WithMembers(wd.members()), nil)
}

// lagAllowed is how long a failure may be unknown to an executor: its lease, and two polls of the membership.
const lagAllowed = 10 * time.Second

// longDown reports whether an instance is down for longer than any executor may overlook.
func (wd *world) longDown(id table.InstanceID) bool {
	return wd.down[id] && time.Since(wd.failedAt[id]) > lagAllowed
}

// truth returns the fleet for those who do not hold the lock.
func (wd *world) truth() *operator.Fleet {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.fleet()
}

// checkCommit wants that no commit takes an instance out beyond a budget, and that an instance is one plan's and one pool's.
func (wd *world) checkCommit(before, after *operator.Fleet) {
	for _, in := range after.Instances {
		was := before.Instance(in.ID)
		if was == nil || was.State != table.InstanceServing || in.State != table.InstanceLeaving {
			continue
		}
		for _, id := range in.Services {
			sv := after.Services[id]
			usable := 0
			for _, other := range after.Instances {
				if slices.Contains(other.Services, id) && other.State == table.InstanceServing && !wd.longDown(other.ID) && !slices.Contains(sv.Disrupted, other.ID) {
					usable++
				}
			}
			if usable < sv.Asked-sv.Budget && !after.Down[in.ID] {
				wd.breach("%v: %s left %s with %d usable of %d asked, budget %d; disrupted %v, seen down %v, down %v since %v", time.Now().Format(time.TimeOnly), in.ID, id, usable, sv.Asked, sv.Budget, sv.Disrupted, sv.Down, after.Down, wd.failedAt)
			}
		}
		if was.Hold != nil && in.Hold != nil && was.Hold.Plan != in.Hold.Plan {
			wd.breach("%s went from plan %s to plan %s", in.ID, was.Hold.Plan, in.Hold.Plan)
		}
	}
}

// moveSessions gives a leaving instance's sessions to its successors and wants that its plan had not moved any of them before.
func (wd *world) moveSessions(wt table.Write) {
	mv, err := table.Decode[table.Move](table.Row{Value: wt.Value})
	if err != nil {
		wd.breach("move row: %v", err)
		return
	}
	plan := wd.fleet().Instance(mv.Instance).Hold.Plan
	if wd.given[plan] == nil {
		wd.given[plan] = map[table.Pin]bool{}
	}
	for service, sessions := range wd.usage[mv.Instance] {
		if sessions == 0 {
			continue
		}
		if wd.given[plan][mv.Pin] {
			wd.breach("plan %s moves sessions of %s a second time", plan, mv.Instance)
		}
		pins := mv.Successors[service]
		if len(pins) == 0 {
			wd.breach("%d sessions of %s have no successor", sessions, mv.Instance)
			continue
		}
		pn := pins[wd.rnd.IntN(len(pins))]
		wd.given[plan][pn] = true
		wd.usage[pn.Instance][service] += sessions
		wd.moved += sessions
	}
	wd.usage[mv.Instance] = map[table.ServiceID]int{}
}

func (wd *world) Usage(context.Context, ...table.InstanceID) ([]table.Usage, error) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	var usage []table.Usage
	for id, sessions := range wd.usage {
		usage = append(usage, table.Usage{Instance: id, Sessions: maps.Clone(sessions)})
	}
	return usage, nil
}

// Act carries an action out once for each step id and wants that only an instance that has left is stopped.
func (wd *world) Act(_ context.Context, id table.InstanceID, ac table.Action, step string) error {
	time.Sleep(time.Millisecond)
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.steps[step] {
		return nil
	}
	wd.steps[step] = true
	if ac != table.ActionReboot && ac != table.ActionStop {
		return nil
	}
	in := wd.fleet().Instance(id)
	if in.State != table.InstanceLeaving {
		wd.breach("%s was stopped while %s", id, in.State)
	}
	for _, vw := range wd.views {
		if seen := vw.Snapshot().Instances[id]; seen.State == table.InstanceServing {
			wd.breach("%s was stopped while an entry instance saw it serving", id)
		}
	}
	wd.reboots[step]++
	wd.upAt[id] = time.Now().Add(30 * time.Second)
	// A reboot ends the sessions that are still there.
	wd.usage[id] = map[table.ServiceID]int{}
	if wd.rnd.Float64() < wd.loseShare {
		return table.ErrLost
	}
	return nil
}

// Up tells whether an instance is back from its reboot.
func (wd *world) Up(_ context.Context, address string) bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return !time.Now().Before(wd.upAt[table.InstanceID(address)])
}

// Leaving answers for every entry instance from its own view.
func (wd *world) Leaving(_ context.Context, entries []table.Member, pn table.Pin) []operator.Ack {
	var acks []operator.Ack
	for ix, mb := range entries {
		in := wd.views[ix%len(wd.views)].Snapshot().Instances[pn.Instance]
		acks = append(acks, operator.Ack{Entry: mb.ID, Asked: true, Seen: in.Epoch >= pn.Epoch && in.State != table.InstanceServing})
	}
	return acks
}

// view returns a watcher of the world, as one entry instance has it.
func (wd *world) view(ctx context.Context, poll time.Duration) *table.Watcher {
	wt := table.NewWatcher(wd, table.WithPollInterval(poll))
	wd.views = append(wd.views, wt)
	go wt.Run(ctx)
	return wt
}
