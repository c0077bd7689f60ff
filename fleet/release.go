package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

// removeLostOwners stops and removes owners whose cell another instance has claimed.
func (fl *Fleet) removeLostOwners() {
	for _, ow := range fl.allOwners() {
		if ow.isLost() {
			fl.mu.Lock()
			if fl.owners[ow.name] == ow {
				delete(fl.owners, ow.name)
			}
			fl.mu.Unlock()
			ow.stop()
			fl.opts.Log.Emit(event.CellLost, zap.String("cell", ow.name), zap.Int64("epoch", int64(ow.epoch)))
		}
	}
	fl.controller.stepDownIfReplaced()
}

// waitingMoveRatio is how many times less loaded another instance must be to get a cell with waiting jobs. The next owner polls
// all workers before it continues, and jobs that were accepted earlier wait for the workers that it cannot reach: with a data
// hall cut off, a handover in a burst of jobs leaves much of the pool unused for seconds.
const waitingMoveRatio = 3

// rebalance releases one cell if another instance would be less loaded with it than this one is. It reports whether it did.
func (fl *Fleet) rebalance(ctx context.Context, live map[string]node) bool {
	ratio := fl.bestLoadRatio(live)
	if ratio <= 1 {
		return false
	}
	now := fl.opts.Now()
	candidates := slices.DeleteFunc(fl.allOwners(), func(ow *owner) bool { return !ow.canMove(now, ratio > waitingMoveRatio) })
	if len(candidates) == 0 {
		return false
	}
	slices.SortFunc(candidates, func(one, other *owner) int { return cmp.Compare(one.name, other.name) })
	fl.opts.Log.Emit(event.CellReleased, zap.String("cell", candidates[0].name), zap.String("why", "another instance has a lower load"))
	fl.release(ctx, candidates[0])
	return true
}

// bestLoadRatio returns the ratio of this instance's load to the load that another instance would have with one more cell, for
// the instance with the highest ratio. It returns 0 if there is no other instance.
func (fl *Fleet) bestLoadRatio(live map[string]node) float64 {
	counts := fl.members.cellCounts()
	own, best := live[fl.opts.Name].load(counts[fl.opts.Name]), 0.0
	for name, nd := range live {
		if name != fl.opts.Name && !nd.Leaving {
			best = max(best, own/nd.load(counts[name]+1))
		}
	}
	return best
}

// release stops an owner and releases its cell.
func (fl *Fleet) release(ctx context.Context, ow *owner) {
	ow.quiesce(ctx)
	fl.mu.Lock()
	if fl.owners[ow.name] == ow {
		delete(fl.owners, ow.name)
	}
	fl.mu.Unlock()
	ow.stop()
	handover, complete := ow.handover(ctx)
	// commitRelease logs a failure. The other instances then find that the owner has left or is dead.
	_ = fl.commitRelease(ctx, ow.name, ow.rowVersion.Load(), ownerRow{Released: complete, SilencesSince: ow.silencesSince}, handover)
}

// txPart is a part of a transaction.
type txPart interface {
	addTo(tx *Tx) error
}

// commitRelease stores that a cell has no owner, together with what its next owner has to know, and notifies the peers.
func (fl *Fleet) commitRelease(ctx context.Context, name string, version int64, row ownerRow, handover txPart) error {
	raw, err := json.Marshal(row)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	place := Place{tableControl, name, ownerKey}
	tx := Tx{Expect: []Expect{{place, version}}, Write: []Row{{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw}}}
	if err := handover.addTo(&tx); err != nil {
		return err
	}
	newest, err := fl.store.Commit(callCtx, tx)
	if err != nil {
		// Without this row the other instances only notice later that this instance is leaving or dead.
		fl.opts.Log.Emit(event.ReleaseFailed, zap.String("cell", name), zap.Error(err))
		return err
	}
	written := Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw, Version: newest}
	fl.applyOwner(written)
	fl.peers.notifyReleased(written)
	return nil
}

// releaseAll releases all cells and the machine lease.
func (fl *Fleet) releaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*claimTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, ow := range fl.allOwners() {
		wg.Go(func() { fl.release(ctx, ow) })
	}
	wg.Go(func() { fl.controller.handOver(ctx) })
	wg.Wait()
}
