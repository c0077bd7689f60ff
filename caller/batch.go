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
	// maxBatchWriters is the number of batches that may be in flight to the platform at once.
	maxBatchWriters = 2
	// maxPendingWrites bounds the queue of writes.
	maxPendingWrites = 8192
	commitRetryDelay = 50 * time.Millisecond
)

// Committer applies transactions.
type Committer interface {
	Commit(ctx context.Context, tx table.Tx) (table.Version, error)
}

// batchedWrite is one conditional write that shares a transaction with others.
type batchedWrite struct {
	write table.Write
	// alreadyApplied reports whether a conflicting row is the result of this write, sent earlier.
	alreadyApplied func(table.Row) bool
	ctx            context.Context
	done           chan writeResult
	// maybeApplied is set when an earlier commit failed in a way that leaves open whether it was applied.
	maybeApplied bool
}

// writeResult is the result of one write: a version, a *table.ConflictError, table.ErrNotApplied or table.ErrLost.
type writeResult struct {
	version table.Version
	err     error
}

// batcher combines concurrent writes into shared transactions. Each write still succeeds or fails on its own.
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

// write sends one write in the next batch and waits until it ends or its context is done.
func (bt *batcher) write(ctx context.Context, wt table.Write, alreadyApplied func(table.Row) bool) (table.Version, error) {
	bw := &batchedWrite{write: wt, alreadyApplied: alreadyApplied, ctx: ctx, done: make(chan writeResult, 1)}
	if !bt.enqueue(bw) {
		return 0, eris.Wrap(table.ErrNotApplied, "too many pending claim writes")
	}
	// The batch completes every write once its context is done, so there is no need to select on the context here.
	result := <-bw.done
	return result.version, result.err
}

// enqueue queues a write and starts a writer if fewer than maxBatchWriters run. It reports false if the queue is full.
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

// run commits batches until no write can be taken from the queue.
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

// waitInterval spaces the starts of batches by the batch interval, so that many writes share one transaction under load.
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

// nextBatch takes pending writes to rows that no other batch is writing. If there are none, it returns an empty batch and the writer ends.
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

// commit writes a batch. Conflicting writes end on their own, and the remaining writes are committed again without them.
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

// dropExpired ends the writes whose context is done and returns the others.
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
		bw.done <- writeResult{err: eris.Wrap(err, "write timed out or was cancelled")}
	}
	return rest
}

// resolveConflicts ends the writes named in a conflict and returns the others. A write whose own row is already stored has succeeded earlier.
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

// clearInFlight allows the rows of a batch to be written again.
func (bt *batcher) clearInFlight(batch []*batchedWrite) {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	for _, bw := range batch {
		delete(bt.rowsInFlight, bw.write.Key)
	}
}
