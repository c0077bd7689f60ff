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
	defaultPlaceInterval = 250 * time.Millisecond
	defaultLeaseDuration = 4 * time.Second
	defaultTaskLease     = 5 * time.Minute
	// batchSize is how many rows change in one transaction, so that waves of jobs take few writes.
	batchSize    = 50
	writeTimeout = 5 * time.Second
	leaseKey     = "placer"
	// jobRetention is how long after its submission an ended job can be looked up.
	jobRetention = 48 * time.Hour
)

// Quota is the row of a team's share of the fleet.
type Quota struct {
	Team  TeamID `json:"team"`
	Slots int    `json:"slots"`
}

// placerLease is the row that lets one entry instance place; every placement checks its version.
type placerLease struct {
	Holder      table.InstanceID  `json:"holder"`
	Incarnation table.Incarnation `json:"incarnation"`
	Until       time.Time         `json:"until"`
}

// SnapshotSource returns the newest snapshot of the fleet.
type SnapshotSource interface {
	Snapshot() *table.Snapshot
}

// Options holds what a placer can be built with.
type Options struct {
	Entry         table.InstanceID
	Incarnation   table.Incarnation
	Interval      time.Duration
	LeaseDuration time.Duration
	TaskLease     time.Duration
	// UrgentReserve is the slots that only urgent jobs may take.
	UrgentReserve int
	// WorkerSize is the size of every worker.
	WorkerSize  Size
	WorkerSlots int
	Log         *event.Logger
	Now         func() time.Time
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

// WithUrgentReserve sets the slots that only urgent jobs may take.
func WithUrgentReserve(slots int) Option { return func(op *Options) { op.UrgentReserve = slots } }

// WithWorkerSize sets the size and slots of a worker.
func WithWorkerSize(total Size, slots int) Option {
	return func(op *Options) { op.WorkerSize, op.WorkerSlots = total, slots }
}

// Placer places jobs while it holds the lease; any number may run.
type Placer struct {
	opts        Options
	table       table.Table
	workers     Workers
	snapshots   SnapshotSource
	mu          sync.Mutex // guards what follows
	seenVersion table.Version
	jobs        map[JobID]*Job
	cancels     map[string]Cancellation
	quotas      map[TeamID]int
	// acknowledged holds the attempts that their workers have been acknowledged of by this placer; the others are acknowledged again in each round.
	acknowledged map[JobID]Attempt
	// failedStarts counts the starts in a row that had no answer.
	failedStarts map[JobID]int
	estimator    *SizeEstimator
	failures     *FailureTracker
	// leaseVersion is the version of the leaseVersion row under which this placer works; 0 without a leaseVersion.
	leaseVersion table.Version
	leaseUntil   time.Time
	// testHook is called testHook each commit and side effect, for tests that freeze the placer there.
	testHook func()
}

// NewPlacer returns a placer.
func NewPlacer(table table.Table, workers Workers, fleet SnapshotSource, options ...Option) *Placer {
	opts := Options{Interval: defaultPlaceInterval, LeaseDuration: defaultLeaseDuration, TaskLease: defaultTaskLease, WorkerSize: Size{CPUMillis: 16000, MemoryMB: 32 << 10}, WorkerSlots: 8, Log: event.Nop(), Now: time.Now}
	for _, option := range options {
		option(&opts)
	}
	pl := &Placer{opts: opts, table: table, workers: workers, snapshots: fleet, testHook: func() {}}
	pl.reset()
	return pl
}

// SetTestHook sets a function that is called before each commit and side effect, for tests.
func (pl *Placer) SetTestHook(hook func()) { pl.testHook = hook }

// reset forgets all jobs; what was learned of kinds and workers goes too, since another placed in between.
func (pl *Placer) reset() {
	pl.seenVersion, pl.leaseVersion = 0, 0
	pl.jobs, pl.cancels, pl.quotas = map[JobID]*Job{}, map[string]Cancellation{}, map[TeamID]int{}
	pl.acknowledged, pl.failedStarts = map[JobID]Attempt{}, map[JobID]int{}
	pl.estimator, pl.failures = NewSizeEstimator(), NewFailureTracker()
}

// Run places until the context ends.
func (pl *Placer) Run(ctx context.Context) {
	table.Every(ctx, pl.opts.Interval, pl.Tick)
}

// Tick does one round: lease, changes, reports, cancellations, placement.
func (pl *Placer) Tick(ctx context.Context) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	err := pl.runRound(ctx)
	if err != nil && !errors.Is(err, ErrLeaseLost) {
		pl.opts.Log.Emit(event.PlacementFailed, zap.Error(err))
	}
	if err != nil {
		// Whatever was in memory may be out of step with the table.
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

// forget deletes a group of jobs that ended long ago; their ends stay in the audit trail no longer than in the table.
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
	pl.testHook()
	if _, err := pl.table.Commit(ctx, table.Tx{Writes: writes}); err != nil {
		return eris.Wrap(err, "delete ended jobs")
	}
	for _, wt := range writes[1:] {
		delete(pl.jobs, JobID(wt.Key))
	}
	return nil
}

// open reports whether any job wants something.
func (pl *Placer) hasActiveJobs() bool {
	for _, jb := range pl.jobs {
		if !jb.State.terminal() {
			return true
		}
	}
	return false
}

// hold takes or renews the lease and reports whether this placer has it.
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
		mine := lease.Holder == pl.opts.Entry && lease.Incarnation == pl.opts.Incarnation && rw.Version == pl.leaseVersion
		if decodeErr == nil && !mine && now.Before(lease.Until) {
			pl.leaseVersion = 0
			return false, nil
		}
	}
	if rw.Version != pl.leaseVersion {
		pl.reset()
	}
	return pl.writeLease(ctx, rw.Version, now)
}

// othersLease reports whether the snapshot shows that another holds the lease, so that waiting costs no read.
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
	pl.testHook()
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

// read takes the changes of jobs, cancellations and quotas.
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

// take merges one row; a row that cannot be read is left out until it is mended.
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
			pl.cancels[rw.Key] = cn
		}
	case TableQuota:
		if qt, err := table.Decode[Quota](rw); err == nil {
			pl.quotas[qt.Team] = qt.Slots
		}
	}
}
