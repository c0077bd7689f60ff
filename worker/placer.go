package worker

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/table"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// The tables of jobs; only the placer reads them all.
const (
	TableJob    table.TableName = "job"
	TableCancel table.TableName = "cancel"
	TableQuota  table.TableName = "quota"
)

const (
	defaultPlaceEvery = 250 * time.Millisecond
	defaultPlaceLease = 4 * time.Second
	defaultTaskLease  = 5 * time.Minute
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
	Holder      table.InstanceID  `json:"holder"`
	Incarnation table.Incarnation `json:"incarnation"`
	Until       time.Time         `json:"until"`
}

// Snapshots returns the newest snapshot of the fleet.
type Snapshots interface {
	Snapshot() *table.Snapshot
}

// Options holds what a placer can be built with.
type Options struct {
	Entry       table.InstanceID
	Incarnation table.Incarnation
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
func WithEntry(id table.InstanceID, inc table.Incarnation) Option {
	return func(op *Options) { op.Entry, op.Incarnation = id, inc }
}

// WithTaskLease sets how long a task runs on without its placer being heard of.
func WithTaskLease(lease time.Duration) Option { return func(op *Options) { op.TaskLease = lease } }

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
	table   table.Table
	workers Workers
	fleet   Snapshots
	mu      sync.Mutex // guards what follows
	seen    table.Version
	jobs    map[JobID]*Job
	cancels map[string]Cancellation
	quotas  map[TeamID]int
	// told holds the attempts that their workers have been told of by this placer; the others are told again in each round.
	told map[JobID]Attempt
	// vain counts the starts in a row that had no answer.
	vain    map[JobID]int
	learner *Learner
	judge   *Judge
	// lease is the version of the lease row under which this placer works; 0 without a lease.
	lease table.Version
	until time.Time
	// before is called before each commit and side effect, for tests that freeze the placer there.
	before func()
}

// NewPlacer returns a placer.
func NewPlacer(table table.Table, workers Workers, fleet Snapshots, options ...Option) *Placer {
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
	pl.told, pl.vain = map[JobID]Attempt{}, map[JobID]int{}
	pl.learner, pl.judge = NewLearner(), NewJudge()
}

// Run places until the context ends.
func (pl *Placer) Run(ctx context.Context) {
	table.Every(ctx, pl.opts.Every, pl.Tick)
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
	writes := []table.Write{{Table: table.TableLease, Key: leaseKey, IfVersion: pl.lease, Check: true}}
	for _, jb := range pl.jobs {
		if jb.State.ended() && pl.opts.Now().Sub(jb.SubmittedAt) > jobRetention && len(writes) <= groupRows {
			writes = append(writes, table.Write{Table: TableJob, Key: string(jb.ID), IfVersion: jb.version, Delete: true})
		}
	}
	if len(writes) == 1 {
		return nil
	}
	pl.before()
	if _, err := pl.table.Commit(ctx, table.Tx{Writes: writes}); err != nil {
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
	rw, err := pl.table.Get(ctx, table.TableLease, leaseKey)
	if err != nil && !errors.Is(err, table.ErrAbsent) {
		return false, eris.Wrap(err, "read lease")
	}
	if err == nil {
		lease, decodeErr := table.Decode[placeLease](rw)
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
	rw, known := pl.fleet.Snapshot().Rows[table.RowKey{Table: table.TableLease, Key: leaseKey}]
	if !known {
		return false
	}
	lease, err := table.Decode[placeLease](rw)
	return err == nil && now.Before(lease.Until)
}

func (pl *Placer) writeLease(ctx context.Context, over table.Version, now time.Time) (bool, error) {
	until := now.Add(pl.opts.Lease)
	raw, err := table.Encode(placeLease{Holder: pl.opts.Entry, Incarnation: pl.opts.Incarnation, Until: until})
	if err != nil {
		return false, err
	}
	pl.before()
	version, err := pl.table.Commit(ctx, table.Tx{Writes: []table.Write{{Table: table.TableLease, Key: leaseKey, IfVersion: over, Value: raw}}})
	var conflict *table.ConflictError
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
	cs, err := pl.table.Changes(ctx, pl.seen, []table.TableName{TableJob, TableCancel, TableQuota})
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
func (pl *Placer) take(rw table.Row) {
	switch rw.Table {
	case TableJob:
		jb, err := table.Decode[Job](rw)
		if err != nil || rw.Deleted {
			delete(pl.jobs, JobID(rw.Key))
			return
		}
		jb.version = rw.Version
		if old := pl.jobs[jb.ID]; old == nil || old.version < rw.Version {
			pl.jobs[jb.ID] = &jb
		}
	case TableCancel:
		if cn, err := table.Decode[Cancellation](rw); err == nil && !rw.Deleted {
			cn.version = rw.Version
			pl.cancels[rw.Key] = cn
		}
	case TableQuota:
		if qt, err := table.Decode[Quota](rw); err == nil {
			pl.quotas[qt.Team] = qt.Slots
		}
	}
}
