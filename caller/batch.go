package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/aspenseam/aspenseam/table"
	"github.com/rotisserie/eris"
)

const (
	// groupWriters is how many groups may be on their way to the platform at once.
	maxBatchWriters = 2
	// groupBacklog is how many writes may wait.
	maxPendingWrites = 8192
	commitRetryDelay = 50 * time.Millisecond
)

// Committer applies transactions.
type Committer interface {
	Commit(ctx context.Context, tx table.Tx) (table.Version, error)
}

// groupWrite is one conditional write that shares a transaction with others.
type batchedWrite struct {
	write table.Write
	// mine reports whether a row in conflict is the one that this write meant to leave.
	alreadyApplied func(table.Row) bool
	ctx            context.Context
	done           chan writeResult
	// lost says that an earlier sending may have taken effect.
	maybeApplied bool
}

// groupEnd is the end of one write: a version, a *table.ConflictError, table.ErrNotApplied or table.ErrLost.
type writeResult struct {
	version table.Version
	err     error
}

// grouper puts writes that come fast into common transactions; each still succeeds or fails alone.
type batcher struct {
	committer     Committer
	interval      time.Duration
	maxBatch      int
	timeout       time.Duration
	pool          pond.Pool
	mu            sync.Mutex
	pending       []*batchedWrite
	rowsInFlight  map[string]bool
	activeWriters int
	lastStart     time.Time
}

func newBatcher(committer Committer, opts *Options) *batcher {
	return &batcher{committer: committer, interval: opts.ClaimBatchInterval, maxBatch: opts.MaxClaimBatch, timeout: opts.ClaimTimeout, pool: pond.NewPool(maxBatchWriters), rowsInFlight: map[string]bool{}}
}

// write sends one write in the next group and waits for its end or the context's.
func (bt *batcher) write(ctx context.Context, wt table.Write, alreadyApplied func(table.Row) bool) (table.Version, error) {
	bw := &batchedWrite{write: wt, alreadyApplied: alreadyApplied, ctx: ctx, done: make(chan writeResult, 1)}
	if !bt.enqueue(bw) {
		return 0, eris.Wrap(table.ErrNotApplied, "too many writes wait")
	}
	// The group answers for every write by the end of its context, so nothing else needs to be waited for.
	result := <-bw.done
	return result.version, result.err
}

// add queues a write and starts a writer if one is free.
func (bt *batcher) enqueue(bw *batchedWrite) bool {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	if len(bt.pending) >= maxPendingWrites {
		return false
	}
	bt.pending = append(bt.pending, bw)
	if bt.activeWriters < maxBatchWriters {
		bt.activeWriters++
		bt.pool.Submit(bt.run)
	}
	return true
}

// run writes groups until none is left.
func (bt *batcher) run() {
	for {
		bt.waitInterval()
		batch := bt.nextBatch()
		if len(batch) == 0 {
			return
		}
		bt.commit(batch)
	}
}

// space keeps two groups apart by the wait, so that under load many writes share one.
func (bt *batcher) waitInterval() {
	bt.mu.Lock()
	now := time.Now()
	start := bt.lastStart.Add(bt.interval)
	if start.Before(now) {
		start = now
	}
	bt.lastStart = start
	bt.mu.Unlock()
	time.Sleep(start.Sub(now))
}

// next takes the waiting writes of rows that no other group is writing; without any the writer ends.
func (bt *batcher) nextBatch() []*batchedWrite {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	var batch, rest []*batchedWrite
	for _, bw := range bt.pending {
		if len(batch) >= bt.maxBatch || bt.rowsInFlight[bw.write.Key] {
			rest = append(rest, bw)
			continue
		}
		bt.rowsInFlight[bw.write.Key] = true
		batch = append(batch, bw)
	}
	bt.pending = rest
	if len(batch) == 0 {
		bt.activeWriters--
	}
	return batch
}

// commit writes a group; writes in conflict end alone and the others are written again without them.
func (bt *batcher) commit(batch []*batchedWrite) {
	defer bt.clearInFlight(batch)
	for len(batch) > 0 {
		batch = bt.dropExpired(batch)
		if len(batch) == 0 {
			return
		}
		version, err := bt.send(batch)
		var conflict *table.ConflictError
		switch {
		case err == nil:
			for _, bw := range batch {
				bw.done <- writeResult{version: version}
			}
			return
		case errors.As(err, &conflict):
			batch = resolveConflicts(batch, conflict)
		default:
			for _, bw := range batch {
				bw.maybeApplied = bw.maybeApplied || errors.Is(err, table.ErrLost)
			}
			time.Sleep(commitRetryDelay)
		}
	}
}

func (bt *batcher) send(batch []*batchedWrite) (table.Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), bt.timeout)
	defer cancel()
	tx := table.Tx{Writes: make([]table.Write, len(batch))}
	for ix, bw := range batch {
		tx.Writes[ix] = bw.write
	}
	return bt.committer.Commit(ctx, tx)
}

// dropEnded ends the writes whose time is over.
func (bt *batcher) dropExpired(batch []*batchedWrite) []*batchedWrite {
	var rest []*batchedWrite
	for _, bw := range batch {
		if bw.ctx.Err() == nil {
			rest = append(rest, bw)
			continue
		}
		err := table.ErrNotApplied
		if bw.maybeApplied {
			err = table.ErrLost
		}
		bw.done <- writeResult{err: eris.Wrap(err, "time is over")}
	}
	return rest
}

// endConflicts ends the writes named in a conflict; one that finds what it meant to write has succeeded earlier.
func resolveConflicts(batch []*batchedWrite, conflict *table.ConflictError) []*batchedWrite {
	byKey := make(map[string]table.Row, len(conflict.Rows))
	for _, rw := range conflict.Rows {
		byKey[rw.Key] = rw
	}
	var rest []*batchedWrite
	for _, bw := range batch {
		rw, conflicting := byKey[bw.write.Key]
		switch {
		case !conflicting:
			rest = append(rest, bw)
		case bw.alreadyApplied(rw):
			bw.done <- writeResult{version: rw.Version}
		default:
			bw.done <- writeResult{err: &table.ConflictError{Rows: []table.Row{rw}}}
		}
	}
	return rest
}

// free lets the rows of a group be written again.
func (bt *batcher) clearInFlight(batch []*batchedWrite) {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	for _, bw := range batch {
		delete(bt.rowsInFlight, bw.write.Key)
	}
}
