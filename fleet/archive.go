package fleet

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// errNotCommitted means that another owner has replaced this one, or that the context has ended.
var errNotCommitted = errors.New("the transaction was not committed")

// commit retries a transaction until it succeeds, the store will never take it (ErrInvalid), or it is of no use any more
// (errNotCommitted).
func (ow *owner) commit(ctx context.Context, tx Tx) (int64, error) {
	for ctx.Err() == nil && !ow.lost.Load() {
		callCtx, cancel := context.WithTimeout(ctx, ow.fl.store.commitTimeout())
		sentAt := ow.fl.opts.Now()
		version, err := ow.fl.store.Commit(callCtx, tx)
		cancel()
		if err == nil {
			ow.post(func(cr *cell.Core, _ time.Time) { cr.OwnershipConfirmed(sentAt) })
			return version, nil
		}
		var cf *Conflict
		if errors.As(err, &cf) {
			if version := earlierCommitVersion(tx, cf); version != 0 {
				return version, nil
			}
			ow.loseOwnership("a write conflicted with a newer version in the store")
			return 0, errNotCommitted
		}
		if errors.Is(err, ErrInvalid) {
			return 0, err
		}
		if errors.Is(err, ErrNoAnswer) {
			// The timeout was long enough; the conditions of the next attempt show whether this one was carried out.
			continue
		}
		sleep(ctx, writeRetryDelay)
	}
	return 0, errNotCommitted
}

// stopSaving ends the saves of an owner whose transaction the store will never take, although it is not the progress of a job that
// is too large. The owner keeps what runs under its leases, starts nothing more and refuses new jobs, since it could not keep their
// ends.
func (ow *owner) stopSaving(tx Tx, err error) {
	if ow.endSaves(tx, err) {
		ow.post(func(cr *cell.Core, _ time.Time) { cr.StopStarting() })
	}
}

// endSaves ends the saves, and reports whether they had not ended before.
func (ow *owner) endSaves(tx Tx, err error) bool {
	if ow.savingStopped.Swap(true) {
		return false
	}
	largest := Row{}
	for _, rw := range tx.Write {
		if len(rw.Value) > len(largest.Value) {
			largest = rw
		}
	}
	ow.fl.opts.Log.Emit(event.SaveImpossible, zap.String("cell", ow.name), zap.Int("entries", tx.entryCount()), zap.String("table", largest.Table), zap.String("key", largest.Key), zap.Int("bytes", len(largest.Value)), zap.Error(err))
	return true
}

// earlierCommitVersion returns the version that an earlier attempt of the same transaction wrote, if that attempt is why the
// conditions do not hold, and 0 otherwise. A conflict shows only the rows with conditions, which were written together with the
// others.
func earlierCommitVersion(tx Tx, cf *Conflict) int64 {
	found := map[Place]Row{}
	for _, rw := range cf.Rows {
		found[rw.Place()] = rw
	}
	var version int64
	for _, rw := range tx.Write {
		now, conditional := found[rw.Place()]
		if !conditional {
			continue
		}
		if !bytes.Equal(now.Value, rw.Value) || version != 0 && now.Version != version {
			return 0
		}
		version = now.Version
	}
	return version
}

// runArchive removes the rows of ended jobs from the table of open jobs until the context ends. Nothing waits for it, so it
// pauses while the store is slow.
func (ow *owner) runArchive(ctx context.Context) {
	pause := archiveInterval
	for ctx.Err() == nil {
		sleep(ctx, pause)
		pause = archiveInterval
		if ow.fl.store.commitLatency() > slowCommitThreshold {
			continue
		}
		ow.deleteExpired(ctx)
		pause = archiveDelay(ow.archiveEnded(ctx))
	}
}

// archiveDelay returns the delay before the next round, given how many jobs the last round archived.
func archiveDelay(archived int) time.Duration {
	if archived < archiveBatchSize {
		return archiveInterval
	}
	return archiveBacklogInterval
}

// deleteExpired deletes the rows of jobs past their retention period: first the row that says that the job exists, then its
// progress.
func (ow *owner) deleteExpired(ctx context.Context) {
	ids := ow.expiredJobs()
	if len(ids) == 0 {
		return
	}
	ids = ow.removeRows(ctx, ids, func(id job.ID) []Place { return []Place{{tableHome, partName(homePart(id)), string(id)}} })
	ids = ow.removeRows(ctx, ids, func(id job.ID) []Place { return []Place{ow.progressPlace(id)} })
	// Rows that could not be deleted are deleted in a later round.
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.core.Forget(ids)
	for _, id := range ids {
		delete(ow.storedProgress, id)
		delete(ow.storedParts, id)
	}
}

// removeRows deletes rows of jobs and returns the jobs for which that succeeded. If the store does not support transactions
// over several parts, it uses one transaction each for the parts with the most rows.
func (ow *owner) removeRows(ctx context.Context, ids []job.ID, rows func(job.ID) []Place) []job.ID {
	groups := [][]job.ID{ids}
	if ow.fl.opts.SinglePartTx {
		groups = groupByPart(ids, rows)
	}
	var done []job.ID
	for _, group := range groups {
		var tx Tx
		for _, id := range group {
			tx.Remove = append(tx.Remove, rows(id)...)
		}
		if ow.commitOnce(ctx, tx) {
			done = append(done, group...)
		}
	}
	return done
}

// groupByPart groups jobs by the part of their rows and returns the largest groups.
func groupByPart(ids []job.ID, rows func(job.ID) []Place) [][]job.ID {
	byPart := map[string][]job.ID{}
	for _, id := range ids {
		part := rows(id)[0].Part
		byPart[part] = append(byPart[part], id)
	}
	groups := slices.SortedFunc(maps.Values(byPart), func(one, other []job.ID) int {
		return cmp.Or(cmp.Compare(len(other), len(one)), cmp.Compare(one[0], other[0]))
	})
	return groups[:min(len(groups), archivePartsPerRound)]
}

// expiredJobs lists jobs past their retention period: jobs in memory, and jobs that ended under earlier owners.
func (ow *owner) expiredJobs() []job.ID {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.fl.opts.Now()
	ids := ow.core.Expired(now, archiveBatchSize)
	for id, rw := range ow.storedProgress {
		if len(ids) >= archiveBatchSize {
			break
		}
		pg, err := job.DecodeProgress(rw.Value)
		if err == nil && pg.State.Ended() && now.Sub(pg.EndedAt) > ow.fl.opts.Cell.Retention {
			ids = append(ids, id)
		}
	}
	return ids
}

// commitOnce makes one attempt at an idempotent write.
func (ow *owner) commitOnce(ctx context.Context, tx Tx) bool {
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := ow.fl.store.Commit(callCtx, tx)
	return err == nil
}

// archiveEnded runs one round of archiving and returns the number of jobs in it.
func (ow *owner) archiveEnded(ctx context.Context) int {
	ow.mu.Lock()
	ids := ow.core.Archivable(archiveBatchSize)
	ow.mu.Unlock()
	if len(ids) == 0 {
		return 0
	}
	// Rows that could not be removed are removed in a later round. Until then they only make a takeover slower.
	ids = ow.removeRows(ctx, ids, func(id job.ID) []Place {
		part := partName(homePart(id))
		return []Place{{jobTable(ow.name), part, string(id)}, {jobTable(ow.name), part, string(id) + cancelSuffix}, {tablePayload, part, string(id)}}
	})
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.core.Archived(ids)
	return len(ids)
}
