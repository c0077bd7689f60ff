package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/tcp"
	"go.uber.org/zap"
)

// Times of following tables. Each feed call has its price, so rows that come close together share one.
const (
	controlInterval = 150 * time.Millisecond
	// controlMost is the gap of a large fleet: with more instances more rows change, and each feed call carries more of them.
	controlIntervalMax = 500 * time.Millisecond
	// controlNodes is how many instances share one controlGap.
	controlNodesPerInterval = 10
	controlWait             = time.Second
	operatorInterval        = 50 * time.Millisecond
	registryInterval        = 250 * time.Millisecond
	jobsInterval            = 600 * time.Millisecond
	jobsWait                = 2 * time.Second
	feedWait                = 1500 * time.Millisecond
	// feedMargin is added to a feed's wait before the call is given up on which nothing comes.
	feedTimeoutMargin = 900 * time.Millisecond
	// feedRetry is the pause after a feed call that failed.
	feedRetryDelay = 250 * time.Millisecond
	// readTimeout bounds for how long a read may receive nothing.
	readTimeout = 1500 * time.Millisecond
	// longAgo is how long before its start a watch counts as heard of last.
	staleAge = time.Hour
	// readLimit is how many rows are read at once.
	readPageSize = 500
	// readAtOnce is how many parts are read at once, so that a table of many parts is read soon though the store is slow.
	parallelReads = 12
)

// watch follows one table: it reads it whole, then takes its changes.
type tableWatch struct {
	fl       *Fleet
	table    string
	interval func() time.Duration
	wait     time.Duration
	// changed is told of rows that are new to this watch, and of when the store was asked.
	onChange func(rows []Row, asked time.Time)
	mu       sync.Mutex // guards rows
	rows     map[Place]Row
	version  int64
	ready    atomic.Bool
	// origin is the time from which good and since count, on the steady clock: the time of day may jump.
	origin time.Time
	// good is when the last call that succeeded was sent, since is when the calls began to succeed; 0 for never.
	lastSuccess, successSince atomic.Int64
	failing                   bool
	// idle tells whether nobody needs the table at this time, nil for never. forget is called when that begins.
	idle   func() bool
	onIdle func()
	// woken ends a rest.
	wakeup chan struct{}
}

func newTableWatch(fl *Fleet, table string, interval func() time.Duration, wait time.Duration, onChange func([]Row, time.Time)) *tableWatch {
	origin := fl.opts.Now().Add(-staleAge)
	return &tableWatch{fl: fl, table: table, interval: interval, wait: wait, onChange: onChange, rows: map[Place]Row{}, origin: origin, wakeup: make(chan struct{}, 1)}
}

// fixed is a gap that does not change.
func fixedInterval(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}

// controlPause is the gap between two feed calls for the control table.
func (fl *Fleet) controlPollInterval() time.Duration {
	nodes := fl.members.count()
	return min(controlIntervalMax, max(1, time.Duration(nodes)/controlNodesPerInterval)*controlInterval)
}

// ownsNothing reports whether this instance owns no cell. Then it needs no registrations: workers renew theirs all the time, each renewal is
// a row of the feed, and 63 a second of 390 bytes (95 workers) were more than half of what an instance without cells read from the store. It
// reads them whole when it takes a cell.
func (fl *Fleet) ownsNoCells() bool { return len(fl.allOwners()) == 0 }

// loaded reports whether the table has been read whole since somebody needs it.
func (wt *tableWatch) loaded() bool { return wt.ready.Load() }

// healthy returns since when, and until when, the store has answered.
func (wt *tableWatch) healthyPeriod() (since, until time.Time) {
	return wt.origin.Add(time.Duration(wt.successSince.Load())), wt.origin.Add(time.Duration(wt.lastSuccess.Load()))
}

// run follows the table until the context ends, while somebody needs it.
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
		wt.logHealth(err)
		wt.pause(ctx, pause)
		if err == nil && wt.waitWhileIdle(ctx) {
			reload = true
		}
	}
}

// rest waits until the next call is due or wanted.
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

// pass waits while nobody needs the table, and reports whether it has to be read whole.
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

// wake ends a rest.
func (wt *tableWatch) wake() {
	select {
	case wt.wakeup <- struct{}{}:
	default:
	}
}

func (wt *tableWatch) logHealth(err error) {
	if err == nil || errors.Is(err, ErrHistoryTruncated) {
		if wt.failing {
			wt.fl.opts.Log.Emit(event.StoreReached, zap.String("table", wt.table))
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

// succeeded notes a call that was answered.
func (wt *tableWatch) recordSuccess(sentAt time.Time) {
	if wt.successSince.Load() == 0 {
		wt.successSince.Store(int64(sentAt.Sub(wt.origin)))
	}
	wt.lastSuccess.Store(int64(sentAt.Sub(wt.origin)))
}

// follow takes the next changes.
func (wt *tableWatch) fetchChanges(ctx context.Context) error {
	ctx, cancel := tcp.UntilQuiet(ctx, wt.wait+feedTimeoutMargin)
	defer cancel()
	sentAt := wt.fl.opts.Now()
	pg, err := wt.fl.store.Feed(ctx, wt.table, wt.version, wt.wait)
	if err != nil {
		return err
	}
	wt.merge(pg.Rows, sentAt)
	wt.version = max(wt.version, pg.Version)
	// Only now: whoever sees that the store answered sees what it said.
	wt.recordSuccess(sentAt)
	return nil
}

// take merges rows and tells of those that are new.
func (wt *tableWatch) merge(rows []Row, sentAt time.Time) {
	var fresh []Row
	wt.mu.Lock()
	for _, rw := range rows {
		if old, ok := wt.rows[rw.Place()]; ok && old.Version >= rw.Version {
			continue
		}
		fresh = append(fresh, rw)
		if rw.Deleted {
			delete(wt.rows, rw.Place())
			continue
		}
		wt.rows[rw.Place()] = rw
	}
	wt.mu.Unlock()
	wt.onChange(fresh, sentAt)
}

// load reads the table whole. Rows that it no longer holds are told as deleted.
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
	var gone []Row
	wt.mu.Lock()
	for at, rw := range wt.rows {
		if !present[at] {
			gone = append(gone, Row{Table: rw.Table, Part: rw.Part, Key: rw.Key, Version: rw.Version + 1, Deleted: true})
		}
	}
	wt.mu.Unlock()
	wt.version = version
	wt.merge(append(rows, gone...), sentAt)
	wt.recordSuccess(sentAt)
	wt.ready.Store(true)
	return nil
}

// readTable reads all parts of a table; the version is one that all changes after the reading are newer than.
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
	found, err := fl.readParts(ctx, table, slices.DeleteFunc(parts, func(part string) bool { return part == "" }))
	return append(rows, found...), version, err
}

// readParts reads some parts of a table, several at once.
func (fl *Fleet) readParts(ctx context.Context, table string, parts []string) ([]Row, error) {
	found := make([][]Row, len(parts))
	gr := fl.readers.NewGroupContext(ctx)
	for at, part := range parts {
		gr.SubmitErr(func() (err error) {
			found[at], _, err = fl.readPart(ctx, table, part)
			return err
		})
	}
	if err := gr.Wait(); err != nil {
		return nil, err
	}
	return slices.Concat(found...), nil
}

// readPart reads all rows of a part, and the version as of which its first page was read.
func (fl *Fleet) readPart(ctx context.Context, table, part string) ([]Row, int64, error) {
	var rows []Row
	var version int64
	qu := Query{Table: table, Part: part, Limit: readPageSize}
	for {
		callCtx, cancel := tcp.UntilQuiet(ctx, readTimeout)
		pg, err := fl.store.Read(callCtx, qu)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = pg.Version
		}
		rows = append(rows, pg.Rows...)
		if !pg.More || len(pg.Rows) == 0 {
			return rows, version, nil
		}
		// Below every key that continues the last one, since keys hold no blanks.
		qu.From = pg.Rows[len(pg.Rows)-1].Key + "!"
	}
}

// sleep waits, or returns when the context ends.
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
