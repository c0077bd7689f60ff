package worker

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/platform"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// The tables of jobs; only the placer reads them all.
const (
	TableJob    platform.TableName = "job"
	TableCancel platform.TableName = "cancel"
	TableQuota  platform.TableName = "quota"
)

const (
	defaultPlaceEvery = 250 * time.Millisecond
	defaultPlaceLease = 4 * time.Second
	defaultTaskLease  = 30 * time.Second
	// groupRows is how many rows change in one transaction, so that waves of jobs take few writes.
	groupRows  = 50
	placeAgain = 5 * time.Second
	leaseKey   = "placer"
	// jobRetention is how long after its submission an ended job can be looked up.
	jobRetention = 48 * time.Hour
)

// Quota is the row of a team's share of the fleet.
type Quota struct {
	Team  TeamID `json:"team"`
	Slots int    `json:"slots"`
}

// placeLease is the row that lets one entry instance place; every placement checks its version.
type placeLease struct {
	Holder      platform.InstanceID  `json:"holder"`
	Incarnation platform.Incarnation `json:"incarnation"`
	Until       time.Time            `json:"until"`
}

// Snapshots returns the newest snapshot of the fleet.
type Snapshots interface {
	Snapshot() *platform.Snapshot
}

// Options holds what a placer can be built with.
type Options struct {
	Entry       platform.InstanceID
	Incarnation platform.Incarnation
	Every       time.Duration
	Lease       time.Duration
	TaskLease   time.Duration
	// Reserve is the slots that only urgent jobs may take.
	Reserve int
	// Total is the size of every worker.
	Total Size
	Slots int
	Log   *event.Logger
	Now   func() time.Time
}

// Option changes one of the options.
type Option func(*Options)

// WithEntry names the entry instance and this run of it.
func WithEntry(id platform.InstanceID, inc platform.Incarnation) Option {
	return func(op *Options) { op.Entry, op.Incarnation = id, inc }
}

// WithLog sets the logger.
func WithLog(lg *event.Logger) Option { return func(op *Options) { op.Log = lg } }

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(op *Options) { op.Now = now } }

// WithReserve sets the slots that only urgent jobs may take.
func WithReserve(slots int) Option { return func(op *Options) { op.Reserve = slots } }

// WithWorkers sets the size and slots of a worker.
func WithWorkers(total Size, slots int) Option {
	return func(op *Options) { op.Total, op.Slots = total, slots }
}

// Placer places jobs while it holds the lease; any number may run.
type Placer struct {
	opts    Options
	table   platform.Table
	workers Workers
	fleet   Snapshots
	mu      sync.Mutex // guards what follows
	seen    platform.Version
	jobs    map[JobID]*Job
	cancels map[string]Cancellation
	quotas  map[TeamID]int
	learner *Learner
	judge   *Judge
	// lease is the version of the lease row under which this placer works; 0 without a lease.
	lease platform.Version
	until time.Time
	// before is called before each commit and side effect, for tests that freeze the placer there.
	before func()
}

// NewPlacer returns a placer.
func NewPlacer(table platform.Table, workers Workers, fleet Snapshots, options ...Option) *Placer {
	opts := Options{Every: defaultPlaceEvery, Lease: defaultPlaceLease, TaskLease: defaultTaskLease, Total: Size{CPUMillis: 16000, MemoryMB: 32 << 10}, Slots: 8, Log: event.Nop(), Now: time.Now}
	for _, option := range options {
		option(&opts)
	}
	pl := &Placer{opts: opts, table: table, workers: workers, fleet: fleet, before: func() {}}
	pl.reset()
	return pl
}

// SetBefore sets a function that is called before each commit and side effect, for tests.
func (pl *Placer) SetBefore(before func()) { pl.before = before }

// reset forgets all jobs; what was learned of kinds and workers goes too, since another placed in between.
func (pl *Placer) reset() {
	pl.seen, pl.lease = 0, 0
	pl.jobs, pl.cancels, pl.quotas = map[JobID]*Job{}, map[string]Cancellation{}, map[TeamID]int{}
	pl.learner, pl.judge = NewLearner(), NewJudge()
}

// Run places until the context ends.
func (pl *Placer) Run(ctx context.Context) {
	platform.Every(ctx, pl.opts.Every, pl.Tick)
}

// Tick does one round: lease, changes, reports, cancellations, placement.
func (pl *Placer) Tick(ctx context.Context) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	err := pl.round(ctx)
	if err != nil && !errors.Is(err, ErrLapsed) {
		pl.opts.Log.Emit(event.PlacementFailed, zap.Error(err))
	}
	if err != nil {
		// Whatever was in memory may be out of step with the table.
		pl.reset()
	}
}

func (pl *Placer) round(ctx context.Context) error {
	held, err := pl.hold(ctx)
	if err != nil || !held {
		return err
	}
	if err := pl.read(ctx); err != nil {
		return err
	}
	if err := pl.forget(ctx); err != nil {
		return err
	}
	if !pl.open() {
		return nil
	}
	reports, err := pl.workers.Reports(ctx)
	if err != nil {
		return eris.Wrap(err, "reports")
	}
	for _, step := range []func(context.Context, []Report) error{pl.settle, pl.cancel, pl.renew, pl.place} {
		if err := step(ctx, reports); err != nil {
			return err
		}
	}
	return nil
}

// forget deletes a group of jobs that ended long ago; their ends stay in the audit trail no longer than in the table.
func (pl *Placer) forget(ctx context.Context) error {
	writes := []platform.Write{{Table: platform.TableLease, Key: leaseKey, IfVersion: pl.lease, Check: true}}
	for _, jb := range pl.jobs {
		if jb.State.ended() && pl.opts.Now().Sub(jb.SubmittedAt) > jobRetention && len(writes) <= groupRows {
			writes = append(writes, platform.Write{Table: TableJob, Key: string(jb.ID), IfVersion: jb.version, Delete: true})
		}
	}
	if len(writes) == 1 {
		return nil
	}
	pl.before()
	if _, err := pl.table.Commit(ctx, platform.Tx{Writes: writes}); err != nil {
		return eris.Wrap(err, "delete ended jobs")
	}
	for _, wt := range writes[1:] {
		delete(pl.jobs, JobID(wt.Key))
	}
	return nil
}

// open reports whether any job wants something.
func (pl *Placer) open() bool {
	for _, jb := range pl.jobs {
		if !jb.State.ended() {
			return true
		}
	}
	return false
}

// hold takes or renews the lease and reports whether this placer has it.
func (pl *Placer) hold(ctx context.Context) (bool, error) {
	now := pl.opts.Now()
	if pl.lease != 0 && pl.until.Sub(now) > pl.opts.Lease/2 {
		return true, nil
	}
	if pl.lease == 0 && pl.othersLease(now) {
		return false, nil
	}
	rw, err := pl.table.Get(ctx, platform.TableLease, leaseKey)
	if err != nil && !errors.Is(err, platform.ErrAbsent) {
		return false, eris.Wrap(err, "read lease")
	}
	if err == nil {
		lease, decodeErr := platform.Decode[placeLease](rw)
		mine := lease.Holder == pl.opts.Entry && lease.Incarnation == pl.opts.Incarnation && rw.Version == pl.lease
		if decodeErr == nil && !mine && now.Before(lease.Until) {
			pl.lease = 0
			return false, nil
		}
	}
	if rw.Version != pl.lease {
		pl.reset()
	}
	return pl.writeLease(ctx, rw.Version, now)
}

// othersLease reports whether the snapshot shows that another holds the lease, so that waiting costs no read.
func (pl *Placer) othersLease(now time.Time) bool {
	rw, known := pl.fleet.Snapshot().Rows[platform.RowKey{Table: platform.TableLease, Key: leaseKey}]
	if !known {
		return false
	}
	lease, err := platform.Decode[placeLease](rw)
	return err == nil && now.Before(lease.Until)
}

func (pl *Placer) writeLease(ctx context.Context, over platform.Version, now time.Time) (bool, error) {
	until := now.Add(pl.opts.Lease)
	raw, err := platform.Encode(placeLease{Holder: pl.opts.Entry, Incarnation: pl.opts.Incarnation, Until: until})
	if err != nil {
		return false, err
	}
	pl.before()
	version, err := pl.table.Commit(ctx, platform.Tx{Writes: []platform.Write{{Table: platform.TableLease, Key: leaseKey, IfVersion: over, Value: raw}}})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		pl.lease = 0
		return false, nil
	}
	if err != nil {
		return false, eris.Wrap(err, "write lease")
	}
	pl.lease, pl.until = version, until
	return true, nil
}

// read takes the changes of jobs, cancellations and quotas.
func (pl *Placer) read(ctx context.Context) error {
	cs, err := pl.table.Changes(ctx, pl.seen, []platform.TableName{TableJob, TableCancel, TableQuota})
	if err != nil {
		return eris.Wrap(err, "read jobs")
	}
	for _, rw := range cs.Rows {
		pl.take(rw)
	}
	pl.seen = max(pl.seen, cs.Version)
	return nil
}

// take merges one row; a row that cannot be read is left out until it is mended.
func (pl *Placer) take(rw platform.Row) {
	switch rw.Table {
	case TableJob:
		jb, err := platform.Decode[Job](rw)
		if err != nil || rw.Deleted {
			delete(pl.jobs, JobID(rw.Key))
			return
		}
		jb.version = rw.Version
		if old := pl.jobs[jb.ID]; old == nil || old.version < rw.Version {
			pl.jobs[jb.ID] = &jb
		}
	case TableCancel:
		if cn, err := platform.Decode[Cancellation](rw); err == nil && !rw.Deleted {
			cn.version = rw.Version
			pl.cancels[rw.Key] = cn
		}
	case TableQuota:
		if qt, err := platform.Decode[Quota](rw); err == nil {
			pl.quotas[qt.Team] = qt.Slots
		}
	}
}

// settle takes the ends of tasks over into their jobs.
func (pl *Placer) settle(ctx context.Context, reports []Report) error {
	var changed []*Job
	for _, rp := range reports {
		jb := pl.jobs[rp.Job]
		if jb == nil || jb.State != JobRunning || jb.Attempt != rp.Attempt {
			continue
		}
		if next := pl.ended(jb, rp); next != nil {
			changed = append(changed, next)
		}
	}
	for _, jb := range pl.jobs {
		if jb.State == JobRunning && pl.opts.Now().After(jb.LeaseUntil.Add(pl.opts.TaskLease)) {
			// Its worker stopped it by itself when the lease ran out, and the margin covers clocks that differ.
			next := *jb
			next.State, next.Instance = JobQueued, ""
			changed = append(changed, &next)
		}
	}
	return pl.write(ctx, changed)
}

// ended returns the job after its task's end; nil while it runs.
func (pl *Placer) ended(jb *Job, rp Report) *Job {
	next := *jb
	switch rp.State {
	case TaskDone:
		pl.learner.Observe(jb.Kind, jb.Declared, rp.Used)
		pl.judge.Succeed(rp.Instance)
		next.State = JobDone
	case TaskFailed:
		if pl.judge.Fail(rp.Instance, jb.ID, pl.opts.Now()) {
			pl.opts.Log.Emit(event.WorkerQuarantined, zap.String("worker", string(rp.Instance)))
		}
		next.FailedOn = append(slices.Clone(jb.FailedOn), rp.Instance)
		next.State, next.Instance = JobQueued, ""
		if pl.judge.BadJob(next.FailedOn) {
			next.State, next.Why = JobFailed, "it failed on several workers that run others well"
		}
	case TaskStopped:
		next.State, next.Instance = JobQueued, ""
	default:
		return nil
	}
	return &next
}

// cancel ends the jobs that cancellations name and stops those that run.
func (pl *Placer) cancel(ctx context.Context, _ []Report) error {
	var cancellations []Cancellation
	for _, cn := range pl.cancels {
		cancellations = append(cancellations, cn)
	}
	var changed []*Job
	for _, jb := range pl.jobs {
		if jb.State.ended() || !cancelled(jb, cancellations) {
			continue
		}
		if jb.State == JobRunning {
			pl.before()
			// A stop that is lost ends with the task's lease.
			_ = pl.workers.Stop(ctx, jb.Instance, jb.ID, jb.Attempt, false)
		}
		next := *jb
		next.State, next.Why = JobCancelled, "its team cancelled it"
		changed = append(changed, &next)
	}
	return pl.write(ctx, changed)
}

// renew extends the leases of running tasks, and moves those off workers that a plan is about to stop, after a checkpoint.
func (pl *Placer) renew(ctx context.Context, _ []Report) error {
	var changed []*Job
	sn := pl.fleet.Snapshot()
	for _, jb := range pl.jobs {
		if jb.State != JobRunning {
			continue
		}
		next := *jb
		switch in := sn.Instances[jb.Instance]; {
		case in != nil && (in.Hold != nil || in.State != platform.InstanceServing):
			pl.before()
			if err := pl.workers.Stop(ctx, jb.Instance, jb.ID, jb.Attempt, true); err != nil {
				continue
			}
			next.State, next.Instance = JobQueued, ""
		case jb.LeaseUntil.Sub(pl.opts.Now()) < pl.opts.TaskLease/2:
			next.LeaseUntil = pl.opts.Now().Add(pl.opts.TaskLease)
		default:
			continue
		}
		changed = append(changed, &next)
	}
	if err := pl.write(ctx, changed); err != nil {
		return err
	}
	return pl.start(ctx, changed)
}

// place puts queued jobs on workers: first in the table, under the lease, and then at the workers.
func (pl *Placer) place(ctx context.Context, _ []Report) error {
	oc := Place(pl.placing())
	var changed []*Job
	for _, pm := range oc.Placements {
		next := *pm.Job
		next.State, next.Instance, next.Granted = JobRunning, pm.Instance, pm.Granted
		next.Attempt++
		next.LeaseUntil = pl.opts.Now().Add(pl.opts.TaskLease)
		changed = append(changed, &next)
	}
	for _, jb := range oc.Hopeless {
		next := *jb
		next.State, next.Why = JobFitsNowhere, "no worker is large enough"
		changed = append(changed, &next)
	}
	if err := pl.write(ctx, changed); err != nil {
		return err
	}
	return pl.start(ctx, changed)
}

// placing gathers what a round of placement is made from.
func (pl *Placer) placing() Placing {
	pc := Placing{Quotas: pl.quotas, Used: map[TeamID]int{}, Reserve: pl.opts.Reserve, Learner: pl.learner, Judge: pl.judge, Now: pl.opts.Now()}
	sn := pl.fleet.Snapshot()
	views := map[platform.InstanceID]*View{}
	for _, in := range sn.SortedInstances() {
		wk := &View{ID: in.ID, Total: pl.opts.Total, Slots: pl.opts.Slots, Usable: sn.Serving(in.ID) && !sn.Gone(in.ID) && in.Hold == nil}
		views[in.ID] = wk
		pc.Workers = append(pc.Workers, wk)
	}
	for _, jb := range pl.jobs {
		switch jb.State {
		case JobQueued:
			pc.Queue = append(pc.Queue, jb)
		case JobRunning:
			pc.Used[jb.Team]++
			if wk := views[jb.Instance]; wk != nil {
				wk.Taken, wk.Busy = wk.Taken.plus(jb.Granted), wk.Busy+1
			}
		}
	}
	return pc
}

// write changes the rows of jobs in groups; each group holds only while the lease row is the placer's.
func (pl *Placer) write(ctx context.Context, changed []*Job) error {
	for group := range slices.Chunk(changed, groupRows) {
		if err := pl.writeGroup(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

func (pl *Placer) writeGroup(ctx context.Context, group []*Job) error {
	ctx, cancel := context.WithTimeout(ctx, placeAgain)
	defer cancel()
	writes := []platform.Write{{Table: platform.TableLease, Key: leaseKey, IfVersion: pl.lease, Check: true}}
	for _, jb := range group {
		raw, err := platform.Encode(jb)
		if err != nil {
			return err
		}
		writes = append(writes, platform.Write{Table: TableJob, Key: string(jb.ID), IfVersion: jb.version, Value: raw})
	}
	pl.before()
	version, err := platform.CommitOnce(ctx, pl.table, platform.Audit{Actor: string(pl.opts.Entry), Action: "jobs", Subject: string(group[0].ID), Why: "placement", At: pl.opts.Now().UTC()}, writes...)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return eris.Wrap(ErrLapsed, conflict.Error())
	}
	if err != nil {
		return eris.Wrap(err, "write jobs")
	}
	for _, jb := range group {
		jb.version = version
		pl.jobs[jb.ID] = jb
	}
	return nil
}

// start tells workers of tasks that are theirs by the table; one that cannot be told is asked again at the next renewal.
func (pl *Placer) start(ctx context.Context, changed []*Job) error {
	for _, jb := range changed {
		if jb.State != JobRunning {
			continue
		}
		pl.before()
		if !pl.opts.Now().Before(jb.LeaseUntil) {
			return ErrLapsed
		}
		err := pl.workers.Start(ctx, Task{Job: jb.ID, Attempt: jb.Attempt, Instance: jb.Instance, Granted: jb.Granted, LeaseUntil: jb.LeaseUntil})
		if err != nil {
			pl.opts.Log.Emit(event.PlacementFailed, zap.String("job", string(jb.ID)), zap.Error(err))
		}
	}
	return nil
}
