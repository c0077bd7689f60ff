package table

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

const defaultPollInterval = time.Second

// Feed reads changes and membership.
type Feed interface {
	Changes(ctx context.Context, since Version, tables []TableName) (Changes, error)
	Members(ctx context.Context) ([]Member, error)
}

// Watcher keeps the snapshot current from the platform and from peers.
type Watcher struct {
	opts    WatchOptions
	feed    Feed
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex // held by writers of current, until the change has been told
	wake    chan struct{}
	// reached is set while the newest read was answered, failed while it was not; before the first has ended neither is.
	reached, failed atomic.Bool
	loaded          chan struct{}
	once            sync.Once
}

// WatchOptions holds what a watcher can be built with.
type WatchOptions struct {
	PollInterval time.Duration
	Log          *event.Logger
	OnChange     func(Change)
}

// WatchOption changes one of the options.
type WatchOption func(*WatchOptions)

// WithPollInterval sets the time between two reads.
func WithPollInterval(interval time.Duration) WatchOption {
	return func(wo *WatchOptions) { wo.PollInterval = interval }
}

// WithLog sets the logger.
func WithLog(lg *event.Logger) WatchOption {
	return func(wo *WatchOptions) { wo.Log = lg }
}

// Change is a new snapshot and what made it.
type Change struct {
	Snapshot *Snapshot
	// Rows holds the rows that came in, some of which may not have been new.
	Rows []Row
	// Read says that they came from the platform itself, read or committed, and not from a peer.
	Read bool
}

// Routes reports whether the change can concern where requests go; leases, plans and settings do not.
func (cg Change) Routes() bool {
	if len(cg.Rows) == 0 {
		return true // the membership changed
	}
	return slices.ContainsFunc(cg.Rows, func(rw Row) bool {
		return rw.Table == TableInstance || rw.Table == TableService || rw.Table == TableMove
	})
}

// WithOnChange sets a function that is told of each new snapshot, in their order; it must not merge anything itself.
func WithOnChange(fn func(Change)) WatchOption {
	return func(wo *WatchOptions) { wo.OnChange = fn }
}

// NewWatcher returns a watcher that knows nothing yet.
func NewWatcher(feed Feed, options ...WatchOption) *Watcher {
	opts := WatchOptions{PollInterval: defaultPollInterval, Log: event.Nop()}
	for _, option := range options {
		option(&opts)
	}
	wt := &Watcher{opts: opts, feed: feed, wake: make(chan struct{}, 1), loaded: make(chan struct{})}
	wt.current.Store(EmptySnapshot())
	return wt
}

// Snapshot returns the newest snapshot; it takes no lock.
func (wt *Watcher) Snapshot() *Snapshot {
	return wt.current.Load()
}

// Reached reports whether nothing speaks against the platform: its newest read was answered, or none has ended yet. An instance serves from a
// peer's snapshot before that.
func (wt *Watcher) Reached() bool {
	return !wt.failed.Load()
}

// Heard reports whether the platform has answered the newest read; false before the first one has ended.
func (wt *Watcher) Heard() bool { return wt.reached.Load() }

// Loaded is closed when the first rows have come in, from wherever.
func (wt *Watcher) Loaded() <-chan struct{} {
	return wt.loaded
}

// Poll asks for a read now instead of at the next interval.
func (wt *Watcher) Poll() {
	select {
	case wt.wake <- struct{}{}:
	default:
	}
}

// Run reads until the context ends.
func (wt *Watcher) Run(ctx context.Context) {
	// Entry instances that start together must not all read at the same moment for ever.
	phase := time.NewTimer(rand.N(wt.opts.PollInterval))
	defer phase.Stop()
	wt.read(ctx)
	select {
	case <-ctx.Done():
		return
	case <-phase.C:
	case <-wt.wake:
	}
	ticker := time.NewTicker(wt.opts.PollInterval)
	defer ticker.Stop()
	for {
		wt.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wt.wake:
		}
	}
}

// read takes one round of changes and membership.
func (wt *Watcher) read(ctx context.Context) {
	cs, err := wt.feed.Changes(ctx, wt.Snapshot().Version, FeedTables)
	if err == nil {
		wt.merge(cs.Rows, cs.Version, true)
	}
	members, memberErr := wt.feed.Members(ctx)
	if memberErr == nil {
		wt.takeMembers(members)
	}
	if ctx.Err() == nil {
		wt.note(err)
	}
}

// takeMembers takes a membership from the platform, but for an empty one after one that was not: losing every instance at once is likelier a fault of the list.
func (wt *Watcher) takeMembers(members []Member) {
	if len(members) == 0 && len(wt.Snapshot().Members) > 0 {
		wt.opts.Log.Emit(event.MembershipEmpty)
		return
	}
	wt.setMembers(members, time.Now())
}

// note logs when the platform is lost or reached again.
func (wt *Watcher) note(err error) {
	was := wt.reached.Swap(err == nil)
	wt.failed.Store(err != nil)
	switch {
	case err == nil && !was:
		wt.opts.Log.Emit(event.PlatformReached)
	case err != nil && was:
		wt.opts.Log.Emit(event.PlatformLost, zap.Error(err))
	}
}

// Merge adds rows that a peer got from the platform; complete tells up to which version nothing is missing, 0 if unknown.
func (wt *Watcher) Merge(rows []Row, complete Version) {
	wt.merge(rows, complete, false)
}

// Committed adds rows that this process has just committed, so that it sees them at once and passes them on.
func (wt *Watcher) Committed(rows []Row) {
	wt.merge(rows, 0, true)
	wt.Poll()
}

func (wt *Watcher) merge(rows []Row, complete Version, read bool) {
	// The lock is held until the change has been told, so that changes are told in their order.
	wt.mu.Lock()
	defer wt.mu.Unlock()
	before := wt.current.Load()
	next, changed := before.Merge(rows)
	next = next.WithVersion(complete)
	wt.current.Store(next)
	if len(next.Rows) > 0 {
		wt.once.Do(func() { close(wt.loaded) })
	}
	if !changed {
		return
	}
	wt.opts.Log.Emit(event.SnapshotChanged, zap.Uint64("version", uint64(next.Version)))
	for _, key := range next.Rejected {
		if slices.Contains(before.Rejected, key) {
			continue
		}
		wt.opts.Log.Emit(event.RowRejected, zap.String("table", string(key.Table)), zap.String("key", key.Key))
	}
	if wt.opts.OnChange != nil {
		wt.opts.OnChange(Change{Snapshot: next, Rows: rows, Read: read})
	}
}

func (wt *Watcher) setMembers(members []Member, at time.Time) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	before := wt.current.Load()
	next := before.WithMembers(members)
	next.MembersAt = at
	same := before.Members != nil && maps.Equal(before.Members, next.Members)
	wt.current.Store(next)
	if !same && wt.opts.OnChange != nil {
		wt.opts.OnChange(Change{Snapshot: next})
	}
}

// SeedMembers takes a membership from a peer while the platform has given none.
func (wt *Watcher) SeedMembers(members []Member) {
	if wt.Snapshot().Members == nil && len(members) > 0 {
		wt.setMembers(members, time.Time{})
	}
}
