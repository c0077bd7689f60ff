package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// Rows of the progress of jobs. The progress of almost all jobs is one row. That of a very wide one is divided into parts, which are
// written in one transaction with the first row, on the condition of that row.

const (
	// defaultMaxRowBytes is the maximum size of a row where the platform states none.
	defaultMaxRowBytes = 49152
	// maxTxBytes is the maximum number of bytes of the rows of a transaction. The store takes one megabyte in its encoding, which
	// is a third longer, and the keys and conditions need some room.
	maxTxBytes = 700_000
	// headRowBytes is the maximum size of the first row of progress that is divided.
	headRowBytes = 200
	// maxSaveEntries is the maximum number of entries of a save. The condition on the cell's own row takes one more.
	maxSaveEntries = 94
	// partSeparator separates the ID of a job from the number of a part in the key of its row.
	partSeparator = "#"
)

// progressRows is the progress of a job as it is written: a first row, and parts if it does not fit in one.
type progressRows struct {
	row    cell.SaveRow
	values [][]byte
}

// progressSave is the part of a save that is written in one transaction.
type progressSave []progressRows

// maxProgressBytes returns the maximum size of the progress of a job.
func (fl *Fleet) maxProgressBytes() int {
	return maxTxBytes / fl.opts.MaxRowBytes * fl.opts.MaxRowBytes
}

// bytes returns the size of the rows.
func (pr progressRows) bytes() int {
	total := 0
	for _, value := range pr.values {
		total += len(value)
	}
	return total
}

// entries returns the number of entries that the rows take in a transaction, if the store has a number of parts: each is written or removed.
func (pr progressRows) entries(storedParts int) int { return 2 + max(len(pr.values)-1, storedParts) }

// divideSave encodes a save and divides it into transactions. A job whose progress the store does not take fails.
func (ow *owner) divideSave(save *cell.Save) []progressSave {
	if save == nil {
		return nil
	}
	var saves []progressSave
	entries, bytes := 0, 0
	for _, row := range save.Rows {
		values, err := job.EncodeProgressRows(row.Progress, ow.fl.opts.MaxRowBytes)
		pr := progressRows{row, values}
		if err != nil || pr.bytes() > ow.fl.maxProgressBytes()+headRowBytes {
			ow.rejectProgress(pr, err)
			continue
		}
		more := pr.entries(ow.partCounts[row.ID])
		if len(saves) == 0 || entries+more > maxSaveEntries || bytes+pr.bytes() > maxTxBytes {
			saves, entries, bytes = append(saves, nil), 0, 0
		}
		saves[len(saves)-1] = append(saves[len(saves)-1], pr)
		entries, bytes = entries+more, bytes+pr.bytes()
	}
	return saves
}

// rejectProgress fails a job whose progress the store will never take. The other jobs of the cell go on.
func (ow *owner) rejectProgress(pr progressRows, err error) {
	ow.fl.opts.Log.Emit(event.ProgressRejected, zap.String("cell", ow.name), zap.String("job", string(pr.row.ID)), zap.Int("bytes", pr.bytes()), zap.Int("rows", len(pr.values)), zap.Error(err))
	var tx Tx
	if len(pr.values) > 0 {
		ow.addProgress(&tx, progressSave{pr})
	}
	ow.post(func(cr *cell.Core, now time.Time) {
		if !cr.SaveRejected(now, pr.row.ID) && ow.endSaves(tx, err) {
			cr.StopStarting()
		}
	})
}

// commitDivided writes the jobs of a save that the store does not take one by one. The one that it does not take by itself, without
// workers beside it, fails.
func (ow *owner) commitDivided(ctx context.Context, save progressSave, withWorkers bool, err error) bool {
	if len(save) == 1 && !withWorkers {
		ow.rejectProgress(save[0], err)
		return true
	}
	for _, pr := range save {
		if !ow.commitPart(ctx, progressSave{pr}, &usedChange{}) {
			return false
		}
	}
	return true
}

// addProgress adds the rows of a save to a transaction, and removes the parts that its jobs no longer need.
func (ow *owner) addProgress(tx *Tx, save progressSave) {
	for _, pr := range save {
		place := ow.progressPlace(pr.row.ID)
		tx.Expect = append(tx.Expect, Expect{place, pr.row.Version})
		tx.Write = append(tx.Write, Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: pr.values[0]})
		parts := pr.values[1:]
		for number, value := range parts {
			tx.Write = append(tx.Write, Row{Table: place.Table, Part: place.Part, Key: partKey(pr.row.ID, number), Value: value})
		}
		for number := len(parts); number < ow.partCounts[pr.row.ID]; number++ {
			tx.Remove = append(tx.Remove, Place{place.Table, place.Part, partKey(pr.row.ID, number)})
		}
	}
}

// saved records that a save is stored.
func (ow *owner) saved(save progressSave, version int64) {
	if len(save) == 0 {
		return
	}
	var ids []job.ID
	for _, pr := range save {
		ids = append(ids, pr.row.ID)
		if count := len(pr.values) - 1; count > 0 {
			ow.partCounts[pr.row.ID] = count
		} else {
			delete(ow.partCounts, pr.row.ID)
		}
	}
	ow.fl.metrics.saves.Inc(1)
	ow.post(func(cr *cell.Core, now time.Time) { cr.Saved(now, version, ids...) })
}

func (ow *owner) progressPlace(id job.ID) Place { return Place{tableProgress, ow.name, string(id)} }

// partKey returns the key of a part of a job's progress. Keys of parts sort in their order.
func partKey(id job.ID, number int) string {
	return fmt.Sprintf("%s%s%03d", id, partSeparator, number)
}

// addStoredProgress adds a row that an earlier owner wrote. Rows come in the order of their keys.
func (ow *owner) addStoredProgress(rw Row) {
	name, _, isPart := strings.Cut(rw.Key, partSeparator)
	if !isPart {
		ow.storedProgress[job.ID(rw.Key)] = rw
		return
	}
	id := job.ID(name)
	ow.storedParts[id] = append(ow.storedParts[id], slices.Clone(rw.Value))
	ow.partCounts[id] = len(ow.storedParts[id])
}
