package fleet

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/tcp"
	"go.uber.org/zap"
)

// Intervals and limits of table watches. Each feed call has a cost, so changes that arrive close together share one call.
const (
	controlInterval = 150 * time.Millisecond
	// controlIntervalMax bounds the interval in a large fleet: with more instances more rows change, and each feed call returns
	// more of them.
	controlIntervalMax = 500 * time.Millisecond
	// controlNodesPerInterval is the number of instances for which the interval grows by one controlInterval.
	controlNodesPerInterval = 10
	controlWait             = time.Second
	operatorInterval        = 50 * time.Millisecond
	registryInterval        = 250 * time.Millisecond
	jobsInterval            = 600 * time.Millisecond
	jobsWait                = 2 * time.Second
	feedWait                = 1500 * time.Millisecond
	// feedTimeoutMargin is added to the wait of a feed call; the call is cancelled if nothing arrives within that time.
	feedTimeoutMargin = 900 * time.Millisecond
	// feedRetryDelay is the delay after a failed feed call.
	feedRetryDelay = 250 * time.Millisecond
	// readTimeout bounds how long a read may receive no data.
	readTimeout = 1500 * time.Millisecond
	// staleAge is the age of the last answer that a new watch starts with.
	staleAge = time.Hour
	// readPageSize is the number of rows per read.
	readPageSize = 500
	// parallelReads is the number of parts that are read in parallel, so that a table with many parts loads quickly even on a
	// slow store.
	parallelReads = 12
)

// tableWatch follows one table: it loads the whole table and then polls the change feed.
type tableWatch struct {
	fl       *Fleet
	table    string
	interval func() time.Duration
	wait     time.Duration
	// onChange receives the rows that are new to this watch, and when the store was asked for them.
	onChange func(rows []Row, sentAt time.Time)
	mu       sync.Mutex // guards rows
	rows     map[Place]Row
	version  int64
	ready    atomic.Bool
	// origin is the reference point of lastSuccess and successSince on the monotonic clock, since the wall clock may jump.
	origin time.Time
	// lastSuccess is when the last successful call was sent; successSince is when the current series of successful calls began, 0
	// for none.
	lastSuccess, successSince atomic.Int64
	failing                   bool
	// silentFor is how long nothing was heard before the last successful call.
	silentFor time.Duration
	// idle reports whether nobody needs the table at present; nil means it is always needed. onIdle is called when the watch
	// becomes idle.
	idle   func() bool
	onIdle func()
	// wakeup ends a pause.
	wakeup chan struct{}
}

func newTableWatch(fl *Fleet, table string, interval func() time.Duration, wait time.Duration, onChange func([]Row, time.Time)) *tableWatch {
	origin := fl.opts.Now().Add(-staleAge)
	return &tableWatch{fl: fl, table: table, interval: interval, wait: wait, onChange: onChange, rows: map[Place]Row{}, origin: origin, wakeup: make(chan struct{}, 1)}
}

// fixedInterval returns an interval function that always returns the same value.
func fixedInterval(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}

// controlPollInterval is the interval between feed calls for the control table.
func (fl *Fleet) controlPollInterval() time.Duration {
	nodes := fl.members.count()
	return min(controlIntervalMax, max(1, time.Duration(nodes)/controlNodesPerInterval)*controlInterval)
}

// ownsNoCells reports whether this instance owns no cell. Such an instance does not read registrations: workers renew theirs
// continually, and each renewal is a row in the feed. At 95 workers, 63 renewals a second of 390 bytes each were more than half
// of what an instance without cells read from the store. It loads the whole table when it takes a cell.
func (fl *Fleet) ownsNoCells() bool { return len(fl.allOwners()) == 0 }

// loaded reports whether the whole table has been read since it was last needed.
func (wt *tableWatch) loaded() bool { return wt.ready.Load() }

// healthyPeriod returns since when, and until when, the store has answered.
func (wt *tableWatch) healthyPeriod() (since, until time.Time) {
	return wt.origin.Add(time.Duration(wt.successSince.Load())), wt.origin.Add(time.Duration(wt.lastSuccess.Load()))
}

// run follows the table until the context ends, and pauses while nobody needs it.
func (wt *tableWatch) run(ctx context.Context) {
	reload := true
	wt.waitWhileIdle(ctx)
	for ctx.Err() == nil {
		var err error
		if reload {
			err = wt.load(ctx)
		} else {
			err = wt.fetchChanges(ctx)
		}
		pause := wt.interval()
		switch {
		case err == nil:
			reload = false
		case errors.Is(err, ErrHistoryTruncated):
			reload, pause = true, 0
		default:
			pause = feedRetryDelay
		}
		if ctx.Err() != nil {
			return
		}
		wt.updateHealth(err)
		wt.pause(ctx, pause)
		if err == nil && wt.waitWhileIdle(ctx) {
			reload = true
		}
	}
}

// pause waits for the given time, or until the watch is woken.
func (wt *tableWatch) pause(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wt.wakeup:
	}
}

// waitWhileIdle waits while nobody needs the table, and reports whether the table must be loaded again.
func (wt *tableWatch) waitWhileIdle(ctx context.Context) bool {
	if wt.idle == nil || !wt.idle() {
		return false
	}
	wt.mu.Lock()
	wt.rows = map[Place]Row{}
	wt.mu.Unlock()
	wt.ready.Store(false)
	wt.onIdle()
	for wt.idle() && ctx.Err() == nil {
		wt.pause(ctx, staleAge)
	}
	return true
}

// wake ends a pause.
func (wt *tableWatch) wake() {
	select {
	case wt.wakeup <- struct{}{}:
	default:
	}
}

func (wt *tableWatch) updateHealth(err error) {
	if err == nil || errors.Is(err, ErrHistoryTruncated) {
		if wt.failing {
			wt.fl.opts.Log.Emit(event.StoreReached, zap.String("table", wt.table), zap.Duration("silent", wt.silentFor))
		}
		wt.failing = false
		return
	}
	if !wt.failing {
		wt.fl.opts.Log.Emit(event.StoreLost, zap.String("table", wt.table), zap.Error(err))
	}
	wt.failing = true
	wt.successSince.Store(0)
}

// recordSuccess records a successful call.
func (wt *tableWatch) recordSuccess(sentAt time.Time) {
	_, until := wt.healthyPeriod()
	wt.silentFor = wt.fl.opts.Now().Sub(until)
	if wt.successSince.Load() == 0 {
		wt.successSince.Store(int64(sentAt.Sub(wt.origin)))
	}
	wt.lastSuccess.Store(int64(sentAt.Sub(wt.origin)))
}

// fetchChanges reads and merges the next changes.
func (wt *tableWatch) fetchChanges(ctx context.Context) error {
	ctx, cancel := tcp.WithIdleTimeout(ctx, wt.wait+feedTimeoutMargin)
	defer cancel()
	sentAt := wt.fl.opts.Now()
	pg, err := wt.fl.store.Feed(ctx, wt.table, wt.version, wt.feedWait(sentAt))
	if err != nil {
		return err
	}
	wt.merge(pg.Rows, sentAt)
	wt.version = max(wt.version, pg.Version)
	// This must come last: whoever sees that the store has answered must also see the rows it returned.
	wt.recordSuccess(sentAt)
	return nil
}

// feedWait returns how long the store may hold the answer to a call. After a stall or an outage the first call is answered at once,
// since owners start nothing until they know the table as of a time after a stall.
func (wt *tableWatch) feedWait(sentAt time.Time) time.Duration {
	if _, until := wt.healthyPeriod(); sentAt.Sub(until) > wt.wait+feedTimeoutMargin {
		return 0
	}
	return wt.wait
}

// merge merges rows and reports the new ones.
func (wt *tableWatch) merge(rows []Row, sentAt time.Time) {
	var changed []Row
	wt.mu.Lock()
	for _, rw := range rows {
		if old, ok := wt.rows[rw.Place()]; ok && old.Version >= rw.Version {
			continue
		}
		changed = append(changed, rw)
		if rw.Deleted {
			delete(wt.rows, rw.Place())
			continue
		}
		wt.rows[rw.Place()] = rw
	}
	wt.mu.Unlock()
	wt.onChange(changed, sentAt)
}

// load reads the whole table. Rows that are no longer in it are reported as deleted, unless they are newer than what was read.
func (wt *tableWatch) load(ctx context.Context) error {
	sentAt := wt.fl.opts.Now()
	rows, version, err := wt.fl.readTable(ctx, wt.table)
	if err != nil {
		return err
	}
	present := make(map[Place]bool, len(rows))
	for _, rw := range rows {
		present[rw.Place()] = true
	}
	var deleted []Row
	wt.mu.Lock()
	for place, rw := range wt.rows {
		if !present[place] && rw.Version <= version {
			deleted = append(deleted, Row{Table: rw.Table, Part: rw.Part, Key: rw.Key, Version: rw.Version + 1, Deleted: true})
		}
	}
	wt.mu.Unlock()
	wt.version = version
	wt.merge(append(rows, deleted...), sentAt)
	wt.recordSuccess(sentAt)
	wt.ready.Store(true)
	return nil
}

// readTable reads all parts of a table. All changes that the rows lack are newer than the returned version.
func (fl *Fleet) readTable(ctx context.Context, table string) ([]Row, int64, error) {
	rows, version, err := fl.readPart(ctx, table, "")
	if err != nil || table == fl.opts.Format.OperatorTable() || table == fl.opts.Format.RegistryTable() {
		return rows, version, err
	}
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	parts, err := fl.store.Parts(callCtx, table)
	cancel()
	if err != nil {
		return nil, 0, err
	}
	found, oldest, err := fl.readParts(ctx, table, slices.DeleteFunc(parts, func(part string) bool { return part == "" }))
	return append(rows, found...), min(version, oldest), err
}

// readParts reads several parts of a table in parallel. It returns the version as of which the oldest of them was read.
func (fl *Fleet) readParts(ctx context.Context, table string, parts []string) ([]Row, int64, error) {
	found := make([][]Row, len(parts))
	versions := make([]int64, len(parts))
	gr := fl.readers.NewGroupContext(ctx)
	for i, part := range parts {
		gr.SubmitErr(func() (err error) {
			found[i], versions[i], err = fl.readPart(ctx, table, part)
			return err
		})
	}
	if err := gr.Wait(); err != nil {
		return nil, 0, err
	}
	oldest := int64(math.MaxInt64)
	for _, version := range versions {
		oldest = min(oldest, version)
	}
	return slices.Concat(found...), oldest, nil
}

// readPart reads all rows of a part, and returns the version as of which the oldest page was read. A page may be older than the one
// before it, since the store may answer from an earlier state.
func (fl *Fleet) readPart(ctx context.Context, table, part string) ([]Row, int64, error) {
	var rows []Row
	version := int64(math.MaxInt64)
	qu := Query{Table: table, Part: part, Limit: readPageSize}
	for {
		callCtx, cancel := tcp.WithIdleTimeout(ctx, readTimeout)
		pg, err := fl.store.Read(callCtx, qu)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		version = min(version, pg.Version)
		rows = append(rows, pg.Rows...)
		if !pg.More || len(pg.Rows) == 0 {
			return rows, version, nil
		}
		// The character sorts below every character that may continue the last key, since keys hold no blanks.
		qu.From = pg.Rows[len(pg.Rows)-1].Key + "!"
	}
}

// errStaleRead means that the store answered from a state before the one that a reader needs.
var errStaleRead = errors.New("the store answered from an earlier state")

// readPartSince reads all rows of a part as of a version or later. A new owner must not decide by what was stored before its claim.
func (fl *Fleet) readPartSince(ctx context.Context, table, part string, since int64) ([]Row, error) {
	rows, version, err := fl.readPart(ctx, table, part)
	if err == nil && version < since {
		return nil, errStaleRead
	}
	return rows, err
}

// sleep waits for the given time, or until the context ends.
func sleep(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
