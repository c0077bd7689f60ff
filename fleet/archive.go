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
	"github.com/aspenseam/aspenseam/job"
)

// commit tries a transaction until it is done, or another owner is met.
func (ow *owner) commit(ctx context.Context, tx Tx) (int64, bool) {
	for ctx.Err() == nil && !ow.lost.Load() {
		callCtx, cancel := context.WithTimeout(ctx, ow.fl.store.commitTimeout())
		sentAt := ow.fl.opts.Now()
		version, err := ow.fl.store.Commit(callCtx, tx)
		cancel()
		if err == nil {
			ow.post(func(cr *cell.Core, _ time.Time) { cr.OwnershipConfirmed(sentAt) })
			return version, true
		}
		var cf *Conflict
		if errors.As(err, &cf) {
			if version := earlierCommitVersion(tx, cf); version != 0 {
				return version, true
			}
			ow.loseOwnership("a condition of the store does not hold")
			return 0, false
		}
		if errors.Is(err, ErrNoAnswer) {
			// It was waited for long enough; the next try finds what this one has done.
			continue
		}
		sleep(ctx, writeRetryDelay)
	}
	return 0, false
}

// doneBefore returns the version of an earlier try of the same transaction, if that is why its conditions do not hold.
func earlierCommitVersion(tx Tx, cf *Conflict) int64 {
	found := map[Place]Row{}
	for _, rw := range cf.Rows {
		found[rw.Place()] = rw
	}
	var version int64
	for _, rw := range tx.Write {
		now, ok := found[rw.Place()]
		if !ok || !bytes.Equal(now.Value, rw.Value) || version != 0 && now.Version != version {
			return 0
		}
		version = now.Version
	}
	return version
}

// archive takes the rows of ended jobs out of the table of open jobs. Nothing waits for it, so it rests while the store is slow.
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

// archivePause is when the next round follows one that took so many jobs out of the table of open ones.
func archiveDelay(archived int) time.Duration {
	if archived < archiveBatchSize {
		return archiveInterval
	}
	return archiveBacklogInterval
}

// sweep removes what is kept of jobs whose retention is over: first that they exist, then how they ended.
func (ow *owner) deleteExpired(ctx context.Context) {
	ids := ow.expiredJobs()
	if len(ids) == 0 {
		return
	}
	ids = ow.removeRows(ctx, ids, func(id job.ID) []Place { return []Place{{tableHome, partName(homePart(id)), string(id)}} })
	ids = ow.removeRows(ctx, ids, func(id job.ID) []Place { return []Place{{tableProgress, ow.name, string(id)}} })
	// What is left is removed in a later round.
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.core.Forget(ids)
	for _, id := range ids {
		delete(ow.storedProgress, id)
	}
}

// remove removes the rows of jobs and returns those for which that was done. A store that takes no transaction over several parts gets one
// for each of the parts with the most rows.
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

// byPart groups jobs by the part of their rows, the largest groups alone.
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

// expired lists jobs whose retention is over: those in memory, and those that ended under earlier owners.
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

// try makes one try at a write that can be made again.
func (ow *owner) commitOnce(ctx context.Context, tx Tx) bool {
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := ow.fl.store.Commit(callCtx, tx)
	return err == nil
}

// archiveEnded makes one round of archive.
func (ow *owner) archiveEnded(ctx context.Context) int {
	ow.mu.Lock()
	ids := ow.core.Archivable(archiveBatchSize)
	ow.mu.Unlock()
	if len(ids) == 0 {
		return 0
	}
	// Those that fail are removed in a later round; until then they only lengthen a takeover.
	ids = ow.removeRows(ctx, ids, func(id job.ID) []Place {
		part := partName(homePart(id))
		return []Place{{jobTable(ow.name), part, string(id)}, {jobTable(ow.name), part, string(id) + cancelSuffix}, {tablePayload, part, string(id)}}
	})
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.core.Archived(ids)
	return len(ids)
}
