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

// The tables of jobs. The placer is the only reader of all their rows.
const (
	TableJob    table.TableName = "job"
	TableCancel table.TableName = "cancel"
	TableQuota  table.TableName = "quota"
)

const (
	defaultPlaceInterval = 250 * time.Millisecond
	defaultLeaseDuration = 4 * time.Second
	defaultTaskLease     = 5 * time.Minute
	// batchSize is the number of rows per transaction. Batches keep the number of writes low when many jobs change at once.
	batchSize    = 50
	writeTimeout = 5 * time.Second
	leaseKey     = "placer"
	// jobRetention is how long after its submission a finished job can be looked up.
	jobRetention = 48 * time.Hour
)

// Quota is the table row of a team's share of the fleet.
type Quota struct {
	Team  TeamID `json:"team"`
	Slots int    `json:"slots"`
}

// placerLease is the row that elects the one entry instance that places jobs. Every placement checks the version of this row.
type placerLease struct {
	Holder      table.InstanceID  `json:"holder"`
	Incarnation table.Incarnation `json:"incarnation"`
	Until       time.Time         `json:"until"`
}

// SnapshotSource provides the newest snapshot of the fleet.
type SnapshotSource interface {
	Snapshot() *table.Snapshot
}

// Options configures a placer.
type Options struct {
	Entry         table.InstanceID
	Incarnation   table.Incarnation
	Interval      time.Duration
	LeaseDuration time.Duration
	TaskLease     time.Duration
	// UrgentReserve is the number of slots reserved for urgent jobs.
	UrgentReserve int
	// WorkerSize is the capacity of each worker.
	WorkerSize  Size
	WorkerSlots int
	Log         *event.Logger
	Now         func() time.Time
}

// Option sets a field of Options.
type Option func(*Options)

// WithEntry sets the entry instance and its incarnation, under which the placer holds the lease.
func WithEntry(id table.InstanceID, inc table.Incarnation) Option {
	return func(op *Options) { op.Entry, op.Incarnation = id, inc }
}

// WithTaskLease sets how long a task keeps running on its worker without a renewal from the placer.
func WithTaskLease(lease time.Duration) Option { return func(op *Options) { op.TaskLease = lease } }

// WithLog sets the logger.
func WithLog(lg *event.Logger) Option { return func(op *Options) { op.Log = lg } }

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(op *Options) { op.Now = now } }

// WithUrgentReserve sets the number of slots reserved for urgent jobs.
func WithUrgentReserve(slots int) Option { return func(op *Options) { op.UrgentReserve = slots } }

// WithWorkerSize sets the capacity and the number of slots of each worker.
func WithWorkerSize(capacity Size, slots int) Option {
	return func(op *Options) { op.WorkerSize, op.WorkerSlots = capacity, slots }
}

// Placer places jobs while it holds the placer lease. Any number of placers may run at the same time.
type Placer struct {
	opts          Options
	table         table.Table
	workers       Workers
	snapshots     SnapshotSource
	mu            sync.Mutex // guards the fields below
	seenVersion   table.Version
	jobs          map[JobID]*Job
	cancellations map[string]Cancellation
	quotas        map[TeamID]int
	// acknowledged holds the attempts that their workers have confirmed to this placer. Other running attempts are sent again, up to maxFailedStarts.
	acknowledged map[JobID]Attempt
	// failedStarts counts the consecutive starts of a job that got no answer.
	failedStarts map[JobID]int
	estimator    *SizeEstimator
	failures     *FailureTracker
	// leaseVersion is the version of the lease row that this placer holds; 0 if it does not hold the lease.
	leaseVersion table.Version
	leaseUntil   time.Time
	// hook is called before each commit and side effect. Tests use it to freeze the placer there.
	hook func()
}

// NewPlacer returns a placer that keeps its jobs in table and reads the state of the fleet from snapshots.
func NewPlacer(table table.Table, workers Workers, snapshots SnapshotSource, options ...Option) *Placer {
	opts := Options{Interval: defaultPlaceInterval, LeaseDuration: defaultLeaseDuration, TaskLease: defaultTaskLease, WorkerSize: Size{CPUMillis: 16000, MemoryMB: 32 << 10}, WorkerSlots: 8, Log: event.Nop(), Now: time.Now}
	for _, option := range options {
		option(&opts)
	}
	pl := &Placer{opts: opts, table: table, workers: workers, snapshots: snapshots, hook: func() {}}
	pl.reset()
	return pl
}

// SetHook sets a function that is called before each commit and side effect. It is meant for tests.
func (pl *Placer) SetHook(hook func()) { pl.hook = hook }

// reset clears all in-memory state. What was learned about kinds and workers is dropped too, because another placer may have been active since.
func (pl *Placer) reset() {
	pl.seenVersion, pl.leaseVersion = 0, 0
	pl.jobs, pl.cancellations, pl.quotas = map[JobID]*Job{}, map[string]Cancellation{}, map[TeamID]int{}
	pl.acknowledged, pl.failedStarts = map[JobID]Attempt{}, map[JobID]int{}
	pl.estimator, pl.failures = NewSizeEstimator(), NewFailureTracker()
}

// Run places jobs until the context ends.
func (pl *Placer) Run(ctx context.Context) {
	table.Every(ctx, pl.opts.Interval, pl.Tick)
}

// Tick runs one round: lease, changes, reports, cancellations, renewals, placement.
func (pl *Placer) Tick(ctx context.Context) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	err := pl.runRound(ctx)
	if err != nil && !errors.Is(err, ErrLeaseLost) {
		pl.opts.Log.Emit(event.PlacementFailed, zap.Error(err))
	}
	if err != nil {
		// The in-memory state may no longer match the table.
		pl.reset()
	}
}

func (pl *Placer) runRound(ctx context.Context) error {
	held, err := pl.acquireLease(ctx)
	if err != nil || !held {
		return err
	}
	if err := pl.readChanges(ctx); err != nil {
		return err
	}
	if err := pl.deleteExpiredJobs(ctx); err != nil {
		return err
	}
	if !pl.hasActiveJobs() {
		return nil
	}
	reports, err := pl.workers.Reports(ctx)
	if err != nil {
		return eris.Wrap(err, "reports")
	}
	for _, step := range []func(context.Context, []Report) error{pl.applyReports, pl.applyCancellations, pl.renewLeases, pl.placeQueued} {
		if err := step(ctx, reports); err != nil {
			return err
		}
	}
	return nil
}

// deleteExpiredJobs deletes a batch of finished jobs that are past their retention. The audit trail keeps their outcomes no longer than the table.
func (pl *Placer) deleteExpiredJobs(ctx context.Context) error {
	writes := []table.Write{{Table: table.TableLease, Key: leaseKey, IfVersion: pl.leaseVersion, Check: true}}
	for _, jb := range pl.jobs {
		if jb.State.terminal() && pl.opts.Now().Sub(jb.SubmittedAt) > jobRetention && len(writes) <= batchSize {
			writes = append(writes, table.Write{Table: TableJob, Key: string(jb.ID), IfVersion: jb.version, Delete: true})
		}
	}
	if len(writes) == 1 {
		return nil
	}
	pl.hook()
	if _, err := pl.table.Commit(ctx, table.Tx{Writes: writes}); err != nil {
		return eris.Wrap(err, "delete ended jobs")
	}
	for _, wt := range writes[1:] {
		delete(pl.jobs, JobID(wt.Key))
	}
	return nil
}

// hasActiveJobs reports whether any job is queued or running.
func (pl *Placer) hasActiveJobs() bool {
	for _, jb := range pl.jobs {
		if !jb.State.terminal() {
			return true
		}
	}
	return false
}

// acquireLease acquires or renews the placer lease and reports whether this placer holds it.
func (pl *Placer) acquireLease(ctx context.Context) (bool, error) {
	now := pl.opts.Now()
	if pl.leaseVersion != 0 && pl.leaseUntil.Sub(now) > pl.opts.LeaseDuration/2 {
		return true, nil
	}
	if pl.leaseVersion == 0 && pl.heldByOther(now) {
		return false, nil
	}
	rw, err := pl.table.Get(ctx, table.TableLease, leaseKey)
	if err != nil && !errors.Is(err, table.ErrAbsent) {
		return false, eris.Wrap(err, "read lease")
	}
	if err == nil {
		lease, decodeErr := table.Decode[placerLease](rw)
		own := lease.Holder == pl.opts.Entry && lease.Incarnation == pl.opts.Incarnation && rw.Version == pl.leaseVersion
		if decodeErr == nil && !own && now.Before(lease.Until) {
			pl.leaseVersion = 0
			return false, nil
		}
	}
	if rw.Version != pl.leaseVersion {
		pl.reset()
	}
	return pl.writeLease(ctx, rw.Version, now)
}

// heldByOther reports whether the snapshot shows a valid lease of another placer. It saves a read of the table while this placer waits.
func (pl *Placer) heldByOther(now time.Time) bool {
	rw, known := pl.snapshots.Snapshot().Rows[table.RowKey{Table: table.TableLease, Key: leaseKey}]
	if !known {
		return false
	}
	lease, err := table.Decode[placerLease](rw)
	return err == nil && now.Before(lease.Until)
}

func (pl *Placer) writeLease(ctx context.Context, ifVersion table.Version, now time.Time) (bool, error) {
	until := now.Add(pl.opts.LeaseDuration)
	raw, err := table.Encode(placerLease{Holder: pl.opts.Entry, Incarnation: pl.opts.Incarnation, Until: until})
	if err != nil {
		return false, err
	}
	pl.hook()
	version, err := pl.table.Commit(ctx, table.Tx{Writes: []table.Write{{Table: table.TableLease, Key: leaseKey, IfVersion: ifVersion, Value: raw}}})
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		pl.leaseVersion = 0
		return false, nil
	}
	if err != nil {
		return false, eris.Wrap(err, "write lease")
	}
	pl.leaseVersion, pl.leaseUntil = version, until
	return true, nil
}

// readChanges applies the changes of jobs, cancellations and quotas since the last read.
func (pl *Placer) readChanges(ctx context.Context) error {
	cs, err := pl.table.Changes(ctx, pl.seenVersion, []table.TableName{TableJob, TableCancel, TableQuota})
	if err != nil {
		return eris.Wrap(err, "read jobs")
	}
	for _, rw := range cs.Rows {
		pl.applyRow(rw)
	}
	pl.seenVersion = max(pl.seenVersion, cs.Version)
	return nil
}

// applyRow applies one changed row. A row that cannot be decoded is ignored until it is repaired.
func (pl *Placer) applyRow(rw table.Row) {
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
			pl.cancellations[rw.Key] = cn
		}
	case TableQuota:
		if qt, err := table.Decode[Quota](rw); err == nil {
			pl.quotas[qt.Team] = qt.Slots
		}
	}
}
