package caller

import (
	"context"
	"errors"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/table"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	sweepInterval = time.Minute
	// sweepPageSize is the number of claims read at a time and deleted in one transaction.
	sweepPageSize = 200
	// maxSweepPages bounds one sweep, so that it does not delay other writes.
	maxSweepPages = 100
)

// SweepStore reads claims ordered by their last write, and deletes claims and their objects.
type SweepStore interface {
	Committer
	ChangesPage(ctx context.Context, since table.Version, tables []table.TableName, limit int) (table.Changes, error)
	DeleteObject(ctx context.Context, key string) error
}

// Sweeper deletes claims that are older than the retention period.
type Sweeper struct {
	store     SweepStore
	snapshots Snapshots
	entry     table.InstanceID
	retention time.Duration
	log       *event.Logger
	now       func() time.Time
}

// NewSweeper returns a sweeper of one entry instance.
func NewSweeper(store SweepStore, snapshots Snapshots, entry table.InstanceID, retention time.Duration, lg *event.Logger, now func() time.Time) *Sweeper {
	return &Sweeper{store: store, snapshots: snapshots, entry: entry, retention: retention, log: lg, now: now}
}

// Run sweeps until the context ends.
func (sw *Sweeper) Run(ctx context.Context) {
	table.Every(ctx, sweepInterval, sw.Sweep)
}

// Sweep deletes old claims if this entry instance is the first one listed.
// Concurrent sweeps by two entry instances waste work but do no harm, since each deletion is conditional.
func (sw *Sweeper) Sweep(ctx context.Context) {
	entries := sw.snapshots.Snapshot().Entries()
	if len(entries) > 0 && entries[0].ID != sw.entry {
		return
	}
	for range maxSweepPages {
		more, err := sw.deleteOldPage(ctx)
		if err != nil {
			sw.log.Emit(event.SweepFailed, zap.Error(err))
			return
		}
		if !more {
			return
		}
	}
}

// deleteOldPage deletes one page of old claims and reports whether there may be more. The oldest claims come first.
func (sw *Sweeper) deleteOldPage(ctx context.Context) (bool, error) {
	cs, err := sw.store.ChangesPage(ctx, 0, []table.TableName{table.TableClaim}, sweepPageSize)
	if err != nil {
		return false, eris.Wrap(err, "read claims")
	}
	var writes []table.Write
	for _, rw := range cs.Rows {
		cl, err := table.Decode[Claim](rw)
		if err != nil || sw.now().Sub(cl.At) < sw.retention {
			continue
		}
		if cl.Result != nil && cl.Result.Object != "" {
			if err := sw.store.DeleteObject(ctx, cl.Result.Object); err != nil {
				return false, eris.Wrap(err, "delete answer")
			}
		}
		writes = append(writes, table.Write{Table: rw.Table, Key: rw.Key, IfVersion: rw.Version, Delete: true})
	}
	if len(writes) == 0 {
		return false, nil
	}
	_, err = sw.store.Commit(ctx, table.Tx{Writes: writes})
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return false, nil // another sweep ran or a claim changed; the next sweep retries
	}
	return len(writes) == sweepPageSize, eris.Wrap(err, "delete claims")
}
