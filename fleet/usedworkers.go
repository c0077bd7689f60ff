package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/cespare/xxhash/v2"
)

// Rows of the workers in use. Each worker has a row of its own, so that no row grows with the pool, and only an owner that takes
// over a cell reads them.
const (
	// usedPrefix is the key prefix of a worker's row. usedHeadKey is the key of the cell's head row.
	usedPrefix  = "worker/"
	usedHeadKey = "head"
	// usedHeadEntries is the number of entries that the head adds to a transaction: its condition and the row.
	usedHeadEntries = 2
	// maxTxEntries is the maximum number of entries of a transaction. maxHandoverEntries is how many workers change in the one that
	// releases a cell, beside the cell's row and its condition.
	maxTxEntries       = 100
	maxHandoverEntries = maxTxEntries - usedHeadEntries - 2
	// maxKeyBytes is the maximum length of a key.
	maxKeyBytes = 200
)

// usedHead is written with each change of a cell's workers in use, on the condition of its version. A change that the store
// carries out late can therefore not undo a later one.
type usedHead struct {
	// Epoch and Number identify the change, so that no two heads are alike.
	Epoch  job.Epoch `json:"epoch"`
	Number int64     `json:"number"`
	// UnseenLossEpoch is the epoch of the owner before which tasks may have been lost with workers that no later owner has seen.
	UnseenLossEpoch job.Epoch `json:"exposed,omitempty"`
}

// usedWorkers is what the store holds of the workers in use of one cell.
type usedWorkers struct {
	cell        string
	head        usedHead
	headVersion int64
	stored      map[cell.WorkerID]cell.WorkerRef
}

// usedChange is a change of the workers in use that is not stored yet.
type usedChange struct {
	put             []cell.WorkerRef
	remove          []cell.WorkerID
	unseenLossEpoch job.Epoch
	// headOnly means that the head has to be written although no worker changes.
	headOnly bool
}

func newUsedWorkers(name string) *usedWorkers {
	return &usedWorkers{cell: name, stored: map[cell.WorkerID]cell.WorkerRef{}}
}

// readUsedWorkers reads the workers on which the owners of a cell may have started tasks, as of the version of the claim or later.
func (fl *Fleet) readUsedWorkers(ctx context.Context, name string, claimed int64) (*usedWorkers, error) {
	rows, err := fl.readPartSince(ctx, tableUsed, name, claimed)
	if err != nil {
		return nil, err
	}
	uw := newUsedWorkers(name)
	for _, rw := range rows {
		if err := uw.load(rw); err != nil {
			return nil, err
		}
	}
	return uw, nil
}

// load adds one row.
func (uw *usedWorkers) load(rw Row) error {
	if rw.Key == usedHeadKey {
		uw.headVersion = rw.Version
		return json.Unmarshal(rw.Value, &uw.head)
	}
	var ref cell.WorkerRef
	if err := json.Unmarshal(rw.Value, &ref); err != nil {
		return err
	}
	uw.stored[ref.ID] = ref
	return nil
}

// refs returns the stored workers, sorted by ID.
func (uw *usedWorkers) refs() []cell.WorkerRef {
	return slices.SortedFunc(maps.Values(uw.stored), func(one, other cell.WorkerRef) int { return cmp.Compare(one.ID, other.ID) })
}

// trustedSilences drops the records of silent workers that were written before an epoch. An owner that did not know them may have used the workers since.
func trustedSilences(refs []cell.WorkerRef, since job.Epoch) []cell.WorkerRef {
	for at := range refs {
		if sl := refs[at].Silence; sl != nil && sl.After < since-1 {
			refs[at].Silence = nil
		}
	}
	return refs
}

// diff returns the change that makes the store hold a list of workers and the epoch of unseen losses.
func (uw *usedWorkers) diff(list []cell.WorkerRef, unseenLossEpoch job.Epoch) usedChange {
	uc := usedChange{unseenLossEpoch: unseenLossEpoch, headOnly: unseenLossEpoch != uw.head.UnseenLossEpoch}
	wanted := make(map[cell.WorkerID]bool, len(list))
	for _, ref := range list {
		wanted[ref.ID] = true
		if old, known := uw.stored[ref.ID]; !known || !old.Equal(ref) {
			uc.put = append(uc.put, ref)
		}
	}
	for id := range uw.stored {
		if !wanted[id] {
			uc.remove = append(uc.remove, id)
		}
	}
	slices.Sort(uc.remove)
	return uc
}

// isEmpty reports whether nothing is left to be stored.
func (uc *usedChange) isEmpty() bool { return uc.entryCount() == 0 && !uc.headOnly }

// entryCount returns the number of entries of the change besides the head.
func (uc *usedChange) entryCount() int { return len(uc.put) + len(uc.remove) }

// usedHandover is the change of the workers in use that an owner stores when it releases its cell.
type usedHandover struct {
	ow     *owner
	change usedChange
}

// addTo adds the change to the transaction that releases the cell.
func (uh usedHandover) addTo(tx *Tx) error {
	if uh.change.isEmpty() {
		return nil
	}
	_, err := uh.ow.used.addTo(tx, uh.ow.epoch, uh.change)
	return err
}

// take splits off the part of the change that fits into a number of entries. New workers come first, since tasks wait for them.
func (uc *usedChange) take(entries int) usedChange {
	part := usedChange{unseenLossEpoch: uc.unseenLossEpoch, headOnly: uc.headOnly}
	count := min(len(uc.put), max(0, entries))
	part.put, uc.put = uc.put[:count], uc.put[count:]
	count = min(len(uc.remove), max(0, entries-count))
	part.remove, uc.remove = uc.remove[:count], uc.remove[count:]
	uc.headOnly = false
	return part
}

// restore puts back a part that was taken and could not be written.
func (uc *usedChange) restore(part usedChange) {
	uc.put = append(slices.Clone(part.put), uc.put...)
	uc.remove = append(slices.Clone(part.remove), uc.remove...)
	uc.headOnly = uc.headOnly || part.headOnly
}

// addTo adds a change to a transaction, and returns the head that it writes.
func (uw *usedWorkers) addTo(tx *Tx, epoch job.Epoch, uc usedChange) (usedHead, error) {
	head := usedHead{Epoch: epoch, Number: uw.head.Number + 1, UnseenLossEpoch: uc.unseenLossEpoch}
	raw, err := json.Marshal(head)
	if err != nil {
		return head, err
	}
	tx.Expect = append(tx.Expect, Expect{Place{tableUsed, uw.cell, usedHeadKey}, uw.headVersion})
	tx.Write = append(tx.Write, Row{Table: tableUsed, Part: uw.cell, Key: usedHeadKey, Value: raw})
	for _, ref := range uc.put {
		raw, err := json.Marshal(ref)
		if err != nil {
			return head, err
		}
		tx.Write = append(tx.Write, Row{Table: tableUsed, Part: uw.cell, Key: usedKey(ref.ID), Value: raw})
	}
	for _, id := range uc.remove {
		tx.Remove = append(tx.Remove, Place{tableUsed, uw.cell, usedKey(id)})
	}
	return head, nil
}

// apply records that a change was stored.
func (uw *usedWorkers) apply(uc usedChange, head usedHead, version int64) {
	uw.head, uw.headVersion = head, version
	for _, ref := range uc.put {
		uw.stored[ref.ID] = ref
	}
	for _, id := range uc.remove {
		delete(uw.stored, id)
	}
}

// usedKey returns the key of a worker's row. The row holds the ID itself, so the key of a long ID is a hash.
func usedKey(id cell.WorkerID) string {
	if key := usedPrefix + string(id); len(key) <= maxKeyBytes {
		return key
	}
	return usedPrefix + "#" + strconv.FormatUint(xxhash.Sum64String(string(id)), 16)
}

// entryCount returns the number of entries of a transaction.
func (tx *Tx) entryCount() int { return len(tx.Expect) + len(tx.Write) + len(tx.Remove) }
