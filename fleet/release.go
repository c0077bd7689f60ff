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

// dropLost forgets owners that were overtaken.
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

// pressedRatio is by how many times less laden another instance must be for a cell some of whose jobs wait. Its next owner looks at all workers
// before it goes on, and what was accepted before waits for those that it cannot reach: on days with a hall cut off four such handovers fell into
// bursts, after one of which 58 to 139 machines' worth ran on 163 to 229 machines for 4 s.
const waitingMoveRatio = 3

// giveAway leaves one cell to an instance that would be less laden with it than this one is; it reports whether it did.
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
	fl.opts.Log.Emit(event.CellReleased, zap.String("cell", candidates[0].name), zap.String("why", "another is less laden"))
	fl.release(ctx, candidates[0])
	return true
}

// lighter is by how many times less laden than this instance another one would be with one more cell, at the most.
func (fl *Fleet) bestLoadRatio(live map[string]node) float64 {
	held := fl.members.cellCounts()
	own, best := live[fl.opts.Name].load(held[fl.opts.Name]), 0.0
	for name, nd := range live {
		if name != fl.opts.Name && !nd.Leaving {
			best = max(best, own/nd.load(held[name]+1))
		}
	}
	return best
}

// release ends an owner's work and leaves its cell without an owner.
func (fl *Fleet) release(ctx context.Context, ow *owner) {
	ow.quiesce(ctx)
	fl.mu.Lock()
	if fl.owners[ow.name] == ow {
		delete(fl.owners, ow.name)
	}
	fl.mu.Unlock()
	ow.stop()
	row := ow.handoverRow()
	// A failure is logged there; the others then find the owner gone.
	_ = fl.commitRelease(ctx, ow.name, ow.rowVersion.Load(), row)
}

// vacate writes that a cell has no owner, and tells the peers.
func (fl *Fleet) commitRelease(ctx context.Context, name string, version int64, row ownerRow) error {
	raw, err := json.Marshal(row)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	place := Place{tableControl, name, ownerKey}
	newest, err := fl.store.Commit(callCtx, Tx{Expect: []Expect{{place, version}}, Write: []Row{{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw}}})
	if err != nil {
		// Without it the others find this instance leaving or dead, only later.
		fl.opts.Log.Emit(event.ReleaseFailed, zap.String("cell", name), zap.Error(err))
		return err
	}
	written := Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: raw, Version: newest}
	fl.applyOwner(written)
	fl.peers.notifyReleased(written)
	return nil
}

// handOver leaves all cells without an owner and takes this instance out of the membership.
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
