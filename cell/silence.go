package cell

import (
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Records of workers that do not answer. The next owner cannot ask such a worker what runs there. Without a record it keeps all jobs of earlier owners
// waiting until the leases there have certainly expired, counted from its own claim.

const (
	// silentPolls is the number of consecutive unanswered polls after which a worker is recorded as silent.
	silentPolls = 2
	// silenceConfirmedWithin is how recently the ownership must have been confirmed. Records could not be stored or removed during an outage of the store,
	// and a worker that is back could not be used.
	silenceConfirmedWithin = time.Second
	// maxHeldBytes is the maximum length of the job IDs in one record. A transaction of 1 MB has up to a hundred of them.
	maxHeldBytes = 4096
)

// Silence is stored of a worker that does not answer. While it is stored, no owner starts anything on the worker.
type Silence struct {
	// After is the epoch of the last owner that may have ordered anything at the worker or renewed a lease there.
	After job.Epoch `json:"after"`
	// Remaining is how long leases may still be running there after the first claim of a later owner.
	Remaining time.Duration `json:"left"`
	// HeldKnown means that only the jobs in Held may have attempts on the worker, or ended attempts whose effect is not saved.
	HeldKnown bool     `json:"heldKnown,omitempty"`
	Held      []job.ID `json:"held,omitempty"`
}

// Claim is a claim of the cell that this instance has seen.
type Claim struct {
	Epoch  job.Epoch
	SeenAt time.Time
}

// NoteClaims records the claims of the cell that this instance has seen, this owner's among them. It is called before TakeOver.
func (cr *Core) NoteClaims(claims []Claim) { cr.claims = claims }

// inheritSilence takes over the record of a silent worker, which is unresolved no longer than the record says.
func (cr *Core) inheritSilence(now time.Time, wk *worker, sl *Silence) {
	id := wk.info.ID
	wk.silence, wk.silenceStored = sl, true
	cr.unresolved[id] = earliest(cr.unresolved[id], cr.claimAfter(sl.After, now).Add(sl.Remaining))
	if sl.HeldKnown {
		cr.setHeld(id, sl.Held)
	}
}

// lastOrdering returns the epoch of the last owner that may have ordered anything at the worker. It reports false if that is this owner.
func (cr *Core) lastOrdering(wk *worker) (job.Epoch, bool) {
	if wk.silence != nil {
		return wk.silence.After, wk.silence.After < cr.epoch
	}
	return cr.epoch - 1, !wk.fenced
}

// departedRef returns the reference to an unresolved worker that has ended. Its record says how long the next incarnation may carry out orders of earlier
// owners, so that later owners do not wait anew.
func (cr *Core) departedRef(wk *worker) WorkerRef {
	rf := wk.endedRef()
	if epoch, earlier := cr.lastOrdering(wk); earlier {
		rf.Silence = &Silence{After: epoch, Remaining: cr.opts.RenewalWindow + lateStartWindow}
		if sl := wk.silence; sl != nil {
			rf.Silence.Remaining = max(rf.Silence.Remaining, sl.Remaining)
			rf.Silence.HeldKnown, rf.Silence.Held = sl.HeldKnown, sl.Held
		}
	}
	return rf
}

// ordersLateUntil returns until when the next incarnation of a worker that has ended may carry out orders of earlier owners, which sent none after their
// renewal window. Otherwise that is assumed to be over at last.
func (cr *Core) ordersLateUntil(now time.Time, wk *worker, last time.Time) time.Time {
	epoch, earlier := cr.lastOrdering(wk)
	if !earlier {
		return last
	}
	return earliest(last, cr.claimAfter(epoch, now).Add(cr.opts.RenewalWindow+lateStartWindow))
}

// claimAfter returns when this instance saw the first claim of an owner with a later epoch. If it has seen none, it returns now.
func (cr *Core) claimAfter(epoch job.Epoch, now time.Time) time.Time {
	first := now
	for _, cl := range cr.claims {
		if cl.Epoch > epoch && cl.SeenAt.Before(first) {
			first = cl.SeenAt
		}
	}
	return first
}

// setHeld records that only these jobs may have attempts on an unresolved worker.
func (cr *Core) setHeld(id WorkerID, held []job.ID) {
	cr.held[id] = held
	for _, jobID := range held {
		cr.heldCounts[jobID]++
	}
}

// removeHeld forgets which jobs may have attempts on a worker.
func (cr *Core) removeHeld(id WorkerID) {
	for _, jobID := range cr.held[id] {
		if cr.heldCounts[jobID]--; cr.heldCounts[jobID] == 0 {
			delete(cr.heldCounts, jobID)
		}
	}
	delete(cr.held, id)
}

// mayRunUnresolved reports whether an earlier owner may have left attempts of a job on an unresolved worker.
func (cr *Core) mayRunUnresolved(js *jobState) bool {
	return js.inherited && (len(cr.unresolved) > len(cr.held) || cr.heldCounts[js.spec.ID] > 0)
}

// recordSilences stores the records of workers that have become silent or have ended, and removes those of workers that answer again.
func (cr *Core) recordSilences(now time.Time) {
	outdated := false
	for _, wk := range cr.sortedWorkers {
		switch {
		case wk.silence == nil && wk.failedPolls >= silentPolls && now.Sub(cr.confirmedAt) < silenceConfirmedWithin && !cr.link.allSilent(now):
			wk.silence = cr.describeSilence(wk)
		case wk.silence != nil && wk.failedPolls == 0 && wk.fenced:
			wk.silenceOver = true
		}
		outdated = outdated || wk.silence != nil && (!wk.silenceStored || wk.silenceOver)
	}
	for id, rf := range cr.departed {
		outdated = outdated || rf.Silence != nil && !cr.departuresStored[id]
	}
	if outdated {
		cr.orderRecordWorkers()
	}
}

// describeSilence returns the record of a silent worker, or nil if there is nothing that the next owner could rely on.
func (cr *Core) describeSilence(wk *worker) *Silence {
	until, unresolved := cr.unresolved[wk.info.ID]
	switch {
	case unresolved && !wk.fenced:
		// This owner has ordered nothing there.
		return &Silence{After: cr.epoch - 1, Remaining: until.Sub(cr.claimSentAt)}
	case unresolved || !wk.fenced || !wk.endsKnown || wk.endsCut:
		return nil
	}
	held, length := wk.heldJobs(), 0
	for _, id := range held {
		length += len(id)
	}
	if length > maxHeldBytes {
		return nil
	}
	return &Silence{After: cr.epoch, Remaining: cr.byWorkerClock(cr.opts.LeaseDuration) + deliveryMargin + cr.opts.RenewalWindow, HeldKnown: true, Held: held}
}

// heldJobs returns the jobs that may have attempts on the worker, or ended attempts whose effect is not saved.
func (wk *worker) heldJobs() []job.ID {
	var held []job.ID
	for _, pl := range wk.placed {
		held = append(held, pl.task.Job)
	}
	for _, pl := range wk.leaseExpired {
		held = append(held, pl.task.Job)
	}
	for tk := range wk.foreign {
		held = append(held, tk.Job)
	}
	for at := range wk.unackedEnds {
		held = append(held, wk.unackedEnds[at].end.Task.Job)
	}
	slices.Sort(held)
	return slices.Compact(held)
}

// silenceRecorded records what the stored list now says of a worker.
func (wk *worker) silenceRecorded(sl *Silence) {
	switch {
	case wk.silence == nil:
	case sl != nil:
		wk.silenceStored = true
	case wk.silenceOver:
		wk.silence, wk.silenceStored, wk.silenceOver = nil, false, false
	}
}

// storedSilence returns the record that the stored list is to have of the worker.
func (wk *worker) storedSilence() *Silence {
	if wk.silenceOver {
		return nil
	}
	return wk.silence
}

// mayRenewLeases reports whether leases on the worker may be renewed. An inherited record says that this owner has not done so.
func (cr *Core) mayRenewLeases(wk *worker) bool {
	return wk.silence == nil || wk.silence.After >= cr.epoch
}
