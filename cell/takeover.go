package cell

import (
	"maps"
	"slices"
	"time"
)

// What one owner leaves to the next: the stored list of the workers in use.

// WorkerRef refers to a worker on which an owner may have started tasks.
type WorkerRef struct {
	ID      WorkerID `json:"id"`
	Address string   `json:"address"`
	// Machine is the machine of the worker, if known.
	Machine MachineID `json:"machine,omitempty"`
	// Remaining is for how long after it was written leases of earlier owners may still be running on the worker, or its next incarnation may still
	// carry out their orders. It is only set on a release.
	Remaining time.Duration `json:"left,omitempty"`
	// Ended means that this incarnation is known to have ended.
	Ended bool `json:"ended,omitempty"`
	// PlannedEnd is set if the end of this incarnation is, or may be, planned.
	PlannedEnd
	// Silence is set if the worker did not answer.
	Silence *Silence `json:"silence,omitempty"`
}

// Equal reports whether two references are the same.
func (rf WorkerRef) Equal(other WorkerRef) bool {
	one, two := rf.Silence, other.Silence
	rf.Silence, other.Silence = nil, nil
	if rf != other || (one == nil) != (two == nil) {
		return false
	}
	return one == nil || one.After == two.After && one.Remaining == two.Remaining && one.HeldKnown == two.HeldKnown && slices.Equal(one.Held, two.Held)
}

// TakeOver takes over the workers that an earlier owner used. asked is when the store was asked for the ownership, which counts as confirmed at
// that time. After a release only the last leases can still be running. An owner that was superseded may have renewed them for some time.
func (cr *Core) TakeOver(now, asked time.Time, used []WorkerRef, released bool) {
	cr.confirmedAt, cr.claimSentAt, cr.storeBackAt = asked, asked, now
	for _, rf := range used {
		wk := cr.ensureWorker(rf.ID)
		if wk.info.Address == "" {
			wk.info = Worker{ID: rf.ID, Machine: rf.Machine, Pool: cr.pool, Address: rf.Address}
			// The worker is removed once it is resolved, unless a registration names it.
			wk.unregisteredAt = now
			wk.planned = wk.planned.unregistered(now)
		}
		wk.recorded = true
		cr.inheritPlannedEnd(now, wk, rf.PlannedEnd)
		cr.unresolved[rf.ID] = now.Add(cr.unseenFor(rf, released))
		if rf.Silence != nil {
			cr.inheritSilence(now, wk, rf.Silence)
		}
		if rf.Ended {
			cr.departed[rf.ID] = cr.departedRef(wk)
		}
	}
}

// unseenFor returns for how long tasks of earlier owners may run unseen on a worker, if nothing is recorded of its silence.
func (cr *Core) unseenFor(rf WorkerRef, released bool) time.Duration {
	lease := cr.byWorkerClock(cr.opts.LeaseDuration) + deliveryMargin
	switch over := rf.Ended && rf.ID.reusesName(); {
	case over && released:
		return rf.Remaining
	case over:
		return lateStartWindow
	case released:
		return max(lease, rf.Remaining)
	}
	return max(lease+cr.opts.RenewalWindow, rf.Remaining)
}

// UsedWorkers returns the workers on which this owner, or an unresolved earlier one, may have started tasks.
func (cr *Core) UsedWorkers() []WorkerRef {
	var refs []WorkerRef
	for _, wk := range cr.sortedWorkers {
		refs = append(refs, WorkerRef{ID: wk.info.ID, Address: wk.info.Address, Machine: wk.info.Machine, PlannedEnd: wk.planned.current, Silence: wk.storedSilence()})
	}
	cr.pendingLosses = slices.DeleteFunc(cr.pendingLosses, func(pe pendingLoss) bool { return !pe.unsaved() })
	for _, pe := range cr.pendingLosses {
		refs = append(refs, pe.worker)
	}
	for _, id := range slices.Sorted(maps.Keys(cr.departed)) {
		refs = append(refs, cr.departed[id])
	}
	for _, ls := range cr.lateStarts {
		refs = append(refs, ls.former)
	}
	return uniqueRefs(refs)
}

// uniqueRefs keeps the first reference to each incarnation.
func uniqueRefs(refs []WorkerRef) []WorkerRef {
	seen := make(map[WorkerID]bool, len(refs))
	return slices.DeleteFunc(refs, func(rf WorkerRef) bool {
		duplicate := seen[rf.ID]
		seen[rf.ID] = true
		return duplicate
	})
}

// Release returns the workers as UsedWorkers does, with how long leases of earlier owners may still run on the unresolved ones.
func (cr *Core) Release(now time.Time) []WorkerRef {
	refs := cr.UsedWorkers()
	for at := range refs {
		until := cr.unresolved[refs[at].ID]
		if refs[at].Ended {
			until = latest(until, cr.lateStartUntil(refs[at].ID))
		}
		refs[at].Remaining = max(0, until.Sub(now))
		if wk := cr.workers[refs[at].ID]; wk != nil && !refs[at].Ended {
			refs[at].PlannedEnd = cr.releasedPlannedEnd(now, wk)
		}
	}
	return refs
}

// TakeoverComplete reports whether no task of an earlier owner can run unseen any more.
func (cr *Core) TakeoverComplete() bool { return len(cr.unresolved) == 0 }

// HoldsUnreached reports whether a worker that does not answer holds tasks. The next owner could not take them over before their leases end.
func (cr *Core) HoldsUnreached() bool {
	return slices.ContainsFunc(cr.sortedWorkers, func(wk *worker) bool {
		return wk.failedPolls > 0 && len(wk.placements)+len(wk.foreign) > 0
	})
}

// WorkersRecorded records that the stored list names these workers, so that the next owner will poll them.
func (cr *Core) WorkersRecorded(refs []WorkerRef) {
	for _, rf := range refs {
		if _, departed := cr.departed[rf.ID]; departed && rf.Ended && rf.Silence != nil {
			cr.departuresStored[rf.ID] = true
		}
		if wk, ok := cr.workers[rf.ID]; ok {
			wk.recorded, wk.planned.stored = true, rf.PlannedEnd
			wk.silenceRecorded(rf.Silence)
		}
	}
}

// recordWorkers adds new workers to the stored list before any task starts on them.
func (cr *Core) recordWorkers() {
	if slices.ContainsFunc(cr.sortedWorkers, func(wk *worker) bool { return wk.registered && !wk.recorded }) {
		cr.orderRecordWorkers()
	}
}

// orderRecordWorkers orders a write of the list of workers in use, unless one is in flight.
func (cr *Core) orderRecordWorkers() {
	if cr.listWriting {
		return
	}
	cr.listWriting, cr.listOutdated = true, false
	cr.order(RecordWorkers{Workers: cr.UsedWorkers(), UnseenLossEpoch: cr.UnseenLossEpoch()})
}

// minPruneInterval is the minimum interval between writes that only remove workers from the stored list.
const minPruneInterval = time.Second

// pruneRecordedWorkers removes ended workers from the stored list along with a save. The next owner would otherwise assume that tasks were lost
// with them.
func (cr *Core) pruneRecordedWorkers(now time.Time) {
	if cr.listOutdated && !cr.listWriting && now.Sub(cr.prunedAt) >= minPruneInterval {
		cr.prunedAt = now
		cr.orderRecordWorkers()
	}
}

// RecordWorkersEnded records that no write of the list is in flight any more. What was not stored is written again.
func (cr *Core) RecordWorkersEnded() { cr.listWriting = false }
