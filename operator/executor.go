package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/table"
	"go.uber.org/zap"
)

const (
	defaultTick             = time.Second
	defaultLeaseDuration    = 4 * time.Second
	defaultMaxMembershipAge = 10 * time.Second
	commitTimeout           = 5 * time.Second
)

// Platform performs actions on instances and reports their usage.
type Platform interface {
	Usage(ctx context.Context, ids ...table.InstanceID) ([]table.Usage, error)
	Act(ctx context.Context, id table.InstanceID, ac table.Action, key string) error
}

// RowCache holds the newest snapshot and accepts committed rows.
type RowCache interface {
	SnapshotSource
	Merge(rows []table.Row, complete table.Version)
	// Committed adds rows that were just committed here and notifies the peers.
	Committed(rows []table.Row)
	Poll()
}

// AckCollector asks the given entry instances for the requests that they still have for a leaving instance.
type AckCollector interface {
	Leaving(ctx context.Context, entries []table.Member, pn table.Pin) []Ack
}

// Prober checks whether an instance answers.
type Prober interface {
	Up(ctx context.Context, address string) bool
}

// ExecutorOptions holds the options of an Executor. Tick, LeaseDuration, MaxMembershipAge, Log and Now have defaults.
type ExecutorOptions struct {
	Entry              table.InstanceID
	Incarnation        table.Incarnation
	Tick               time.Duration
	LeaseDuration      time.Duration
	MaxMembershipAge   time.Duration
	MaxRequestDuration time.Duration
	Log                *event.Logger
	Now                func() time.Time
}

// Executor carries out confirmed plans. Several executors may run at the same time: every step is a conditional write, and only one
// executor's write succeeds.
type Executor struct {
	opts     ExecutorOptions
	table    table.Table
	platform Platform
	cache    RowCache
	acks     AckCollector
	prober   Prober
	// hook is called before each action and each commit. Tests use it to freeze or stop the executor.
	hook func(point string)
}

// NewExecutor returns an Executor.
func NewExecutor(table table.Table, pf Platform, rows RowCache, acks AckCollector, prober Prober, opts ExecutorOptions) *Executor {
	if opts.Tick == 0 {
		opts.Tick = defaultTick
	}
	if opts.LeaseDuration == 0 {
		opts.LeaseDuration = defaultLeaseDuration
	}
	if opts.MaxMembershipAge == 0 {
		opts.MaxMembershipAge = defaultMaxMembershipAge
	}
	if opts.Log == nil {
		opts.Log = event.Nop()
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Executor{opts: opts, table: table, platform: pf, cache: rows, acks: acks, prober: prober, hook: func(string) {}}
}

// SetHook sets a function for tests that is called before each action and each commit.
func (ex *Executor) SetHook(before func(point string)) {
	ex.hook = before
}

// Run executes plans until the context ends.
func (ex *Executor) Run(ctx context.Context) {
	table.Every(ctx, ex.opts.Tick, ex.Tick)
}

// Tick advances every running or aborting plan as far as possible.
func (ex *Executor) Tick(ctx context.Context) {
	for _, pn := range activePlans(ex.cache.Snapshot()) {
		if pn.Status == PlanRunning || pn.Status == PlanAborting {
			ex.advance(ctx, pn)
		}
	}
}

// advance performs the steps of one plan that are possible now.
func (ex *Executor) advance(ctx context.Context, pn *Plan) {
	lease, free := ex.planLease(pn.ID)
	if !free {
		return
	}
	ids, _ := ex.currentInstances(pn, NewFleet(ex.cache.Snapshot(), nil))
	usage, err := ex.platform.Usage(ctx, append(ids, pn.instances()[0])...)
	if err != nil {
		ex.renewLease(ctx, lease, []string{"the platform did not report the usage of the workers"})
		return
	}
	if age := ex.opts.Now().Sub(ex.cache.Snapshot().MembersAt); age > ex.opts.MaxMembershipAge {
		ex.renewLease(ctx, lease, []string{fmt.Sprintf("the membership was last read %v ago", age.Round(time.Second))})
		return
	}
	if !ex.renewLease(ctx, lease, lease.Waiting) {
		return
	}
	waiting := ex.advanceInstances(ctx, pn, &tickView{usage: usage})
	if !slices.Equal(waiting, lease.Waiting) {
		ex.logWaiting(pn, waiting)
		if lease, free := ex.planLease(pn.ID); free {
			ex.writeLease(ctx, lease, waiting)
		}
	}
}

func (ex *Executor) logWaiting(pn *Plan, waiting []string) {
	for _, reason := range waiting {
		ex.opts.Log.Emit(event.PlanWaiting, zap.String("plan", string(pn.ID)), zap.String("reason", reason))
	}
}

// tickView caches the fleet while a plan advances in one tick. The usage is read once, and the fleet is built once per snapshot.
type tickView struct {
	usage []table.Usage
	sn    *table.Snapshot
	ft    *Fleet
}

func (tv *tickView) fleet(sn *table.Snapshot) *Fleet {
	if tv.sn != sn {
		tv.sn, tv.ft = sn, NewFleet(sn, tv.usage)
	}
	return tv.ft
}

// advanceInstances performs the next step of each current instance and returns the reasons for which instances wait.
func (ex *Executor) advanceInstances(ctx context.Context, pn *Plan, tv *tickView) []string {
	var waiting []string
	if err := ex.recordDown(ctx, pn, tv); err != nil {
		return []string{fmt.Sprintf("the instances that are down could not be recorded: %v", errors.Unwrap(err))}
	}
	ids, wave := ex.currentInstances(pn, tv.fleet(ex.cache.Snapshot()))
	if len(ids) == 0 {
		ex.finish(ctx, pn)
		return nil
	}
	for _, id := range ids {
		// Every decision uses a snapshot that includes the commits of the previous decisions.
		sn := ex.cache.Snapshot()
		ip := ex.decisionInput(ctx, pn, wave, sn, tv.fleet(sn), id)
		dc := Decide(ip)
		if dc.Step == StepWait {
			waiting = append(waiting, dc.Reason)
			continue
		}
		if err := ex.execute(ctx, ip, sn, dc.Step); err != nil {
			waiting = append(waiting, fmt.Sprintf("instance %s: %s: %v", id, dc.Step, errors.Unwrap(err)))
		}
	}
	return waiting
}

// recordDown writes the instances that are down into the rows of the plan's services. A decision that a frozen executor made earlier then
// gets a conflict and cannot break a budget.
func (ex *Executor) recordDown(ctx context.Context, pn *Plan, tv *tickView) error {
	sn := ex.cache.Snapshot()
	ft := tv.fleet(sn)
	for _, impact := range pn.BudgetImpacts {
		sv := sn.Services[impact.Service]
		if sv == nil {
			continue
		}
		down := ft.downInstances(sv.ID)
		if slices.Equal(down, sv.Down) {
			continue
		}
		next := sv.Service
		next.Down = down
		if err := ex.commit(ctx, pn, "seenDown", string(sv.ID), serviceWrite(sn, next)); err != nil {
			return err
		}
	}
	return nil
}

// currentInstances returns the instances of the current wave. For an aborting plan it returns all instances that the plan still holds.
func (ex *Executor) currentInstances(pn *Plan, ft *Fleet) ([]table.InstanceID, Wave) {
	if pn.Status == PlanAborting {
		var held []table.InstanceID
		for _, id := range pn.instances() {
			if in := ft.Instance(id); in != nil && in.Hold != nil && in.Hold.Plan == pn.ID {
				held = append(held, id)
			}
		}
		return held, Wave{}
	}
	number := currentWave(pn, ft)
	if number < 0 {
		return nil, Wave{}
	}
	return pn.Waves[number].Instances, pn.Waves[number]
}

// decisionInput gathers the input for the decision on one instance.
func (ex *Executor) decisionInput(ctx context.Context, pn *Plan, wave Wave, sn *table.Snapshot, ft *Fleet, id table.InstanceID) Input {
	in := ft.Instance(id)
	ip := Input{Plan: pn, Wave: wave, Fleet: ft, Instance: in, Now: ex.opts.Now(), MaxRequestDuration: ex.opts.MaxRequestDuration, HasSuccessors: ex.hasSuccessors(pn, sn, ft, in)}
	if in.Hold == nil || in.Hold.Plan != pn.ID {
		return ip
	}
	switch in.Hold.Phase {
	case table.PhaseDrained:
		ip.Acks = ex.acks.Leaving(ctx, sn.Entries(), table.Pin{Instance: id, Epoch: in.Epoch})
	case table.PhaseStopped:
		ip.Up = ex.prober.Up(ctx, in.Address)
	}
	return ip
}

// successors returns the instances that can take an instance's sessions without having to move them again.
func (ex *Executor) successors(pn *Plan, sn *table.Snapshot, in *table.Instance) map[table.ServiceID][]table.Pin {
	plans := activePlans(sn)
	return sn.Successors(*in, func(other *table.Instance) bool {
		return !sn.Gone(other.ID) && canTakeSessions(pn, plans, other)
	})
}

// hasSuccessors reports whether every service with open sessions has a successor.
func (ex *Executor) hasSuccessors(pn *Plan, sn *table.Snapshot, ft *Fleet, in *table.Instance) bool {
	successors := ex.successors(pn, sn, in)
	for service, sessions := range ft.Sessions[in.ID] {
		if sessions > 0 && len(successors[service]) == 0 {
			return false
		}
	}
	return true
}

// finish marks a plan as done or aborted when no steps remain.
func (ex *Executor) finish(ctx context.Context, pn *Plan) {
	next := *pn
	next.Status = PlanDone
	action := "planDone"
	if pn.Status == PlanAborting {
		next.Status, action = PlanAborted, "planAborted"
	}
	// A conflict means that another executor has already finished the plan.
	_ = ex.commit(ctx, pn, action, string(pn.ID), ex.planWrite(pn, &next))
}

// planLease returns the lease of a plan and whether this executor may work on the plan.
func (ex *Executor) planLease(id table.PlanID) (PlanLease, bool) {
	lease := PlanLease{Plan: id}
	rw, known := ex.cache.Snapshot().Rows[table.RowKey{Table: table.TableLease, Key: string(id)}]
	if known && !rw.Deleted {
		// A lease that cannot be decoded is treated as free. Leases only avoid duplicate work, so correctness does not depend on them.
		lease, _ = table.Decode[PlanLease](rw)
		lease.version = rw.Version
	}
	held := lease.Holder == ex.opts.Entry && lease.Incarnation == ex.opts.Incarnation
	return lease, held || !ex.opts.Now().Before(lease.Until)
}

// renewLease takes the lease, or renews it when half of its duration or less is left or the waiting reasons have changed. It reports
// whether this executor holds the lease.
func (ex *Executor) renewLease(ctx context.Context, lease PlanLease, waiting []string) bool {
	held := lease.Holder == ex.opts.Entry && lease.Incarnation == ex.opts.Incarnation
	fresh := lease.Until.Sub(ex.opts.Now()) > ex.opts.LeaseDuration/2
	if held && fresh && slices.Equal(waiting, lease.Waiting) {
		return true
	}
	return ex.writeLease(ctx, lease, waiting)
}

func (ex *Executor) writeLease(ctx context.Context, lease PlanLease, waiting []string) bool {
	lease.Holder, lease.Incarnation, lease.Waiting = ex.opts.Entry, ex.opts.Incarnation, waiting
	lease.Until = ex.opts.Now().Add(ex.opts.LeaseDuration)
	raw, err := table.Encode(lease)
	if err != nil {
		return false
	}
	wt := table.Write{Table: table.TableLease, Key: string(lease.Plan), IfVersion: lease.version, Value: raw}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	committed, err := ex.table.Commit(ctx, table.Tx{Writes: []table.Write{wt}})
	if err != nil {
		ex.cache.Poll()
		return false
	}
	ex.merge([]table.Write{wt}, committed)
	return true
}

// commit applies the writes of a step with an audit entry, at most once, and makes them visible to the next decision.
func (ex *Executor) commit(ctx context.Context, pn *Plan, action, subject string, writes ...table.Write) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	ex.hook("commit " + action)
	au := table.Audit{Actor: string(ex.opts.Entry), Action: action, Subject: subject, Why: pn.Intent.Why, Plan: string(pn.ID)}
	version, err := table.CommitOnce(ctx, ex.table, au, writes...)
	if err != nil {
		ex.cache.Poll()
		return fmt.Errorf("commit: %w", err)
	}
	ex.merge(writes, version)
	ex.opts.Log.Emit(event.PlanStep, zap.String("plan", string(pn.ID)), zap.String("action", action), zap.String("subject", subject))
	return nil
}

// merge adds committed writes to the local snapshot without waiting for the next poll.
func (ex *Executor) merge(writes []table.Write, version table.Version) {
	var rows []table.Row
	for _, wt := range writes {
		if !wt.Check {
			rows = append(rows, table.Row{Table: wt.Table, Key: wt.Key, Version: version, Value: wt.Value, Deleted: wt.Delete})
		}
	}
	ex.cache.Committed(rows)
}

// planWrite returns the write of the plan's row. Without a new plan it only checks that the row has not changed since the decision.
func (ex *Executor) planWrite(pn *Plan, next *Plan) table.Write {
	wt := table.Write{Table: table.TablePlan, Key: string(pn.ID), IfVersion: pn.version, Check: next == nil}
	if next != nil {
		// Encoding cannot fail, since the plan was decoded from a row.
		wt.Value, _ = table.Encode(next)
	}
	return wt
}

// activePlans returns the active plans, using the list of active plans so that ended plans need not be decoded.
func activePlans(sn *table.Snapshot) []*Plan {
	rw, known := sn.Rows[table.RowKey{Table: table.TablePlan, Key: activeListKey}]
	if !known {
		return nil
	}
	list, err := table.Decode[ActiveList](rw)
	if err != nil {
		return nil
	}
	var plans []*Plan
	for _, id := range list.Active {
		if pn, _, err := findPlan(sn, id); err == nil && pn.Status.active() {
			plans = append(plans, pn)
		}
	}
	return plans
}

// SortedPlans returns all plans of a snapshot, the oldest first.
func SortedPlans(sn *table.Snapshot) []*Plan {
	var plans []*Plan
	for key, rw := range sn.Rows {
		if key.Table != table.TablePlan || key.Key == activeListKey || rw.Deleted {
			continue
		}
		if pn, err := table.Decode[Plan](rw); err == nil {
			plans = append(plans, &pn)
		}
	}
	slices.SortFunc(plans, func(ap, bp *Plan) int {
		if order := ap.CreatedAt.Compare(bp.CreatedAt); order != 0 {
			return order
		}
		if ap.ID < bp.ID {
			return -1
		}
		return 1
	})
	return plans
}
