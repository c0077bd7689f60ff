package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/machine"
	"go.uber.org/zap"
)

// Intervals of the machine lease, under which orders for machines are sent. If the platform does not check fencing tokens, this
// lease is the only thing that keeps two leaders apart. The lease row is renewed on the condition that nobody else has written
// it. Another instance claims it only if the row has not changed for longer than the term that it states, and only in that
// unchanged version.
const (
	// machineLeaseRenewInterval is how often the leader renews the lease, machineLeaseRetryDelay the minimum delay after a failed
	// attempt.
	machineLeaseRenewInterval = 300 * time.Millisecond
	machineLeaseRetryDelay    = 200 * time.Millisecond
	// machineLeaseTermMin is how long orders may be in flight after a renewal was sent to a fast store. On a slow store the term
	// grows by machineLeaseLatencyFactor times the commit latency, up to machineLeaseTermMax; otherwise no renewal would be
	// answered in time and no order could be sent. The lease row states the term.
	machineLeaseTermMin       = 1100 * time.Millisecond
	machineLeaseTermMax       = 3 * time.Second
	machineLeaseLatencyFactor = 4
	// announceAttempts is how often the controller tries to publish machines with the lease row before it drops the orders for
	// them. After a lost answer, the next attempt finds that the row was written, possibly by an earlier renewal that does not
	// list the machines yet.
	announceAttempts = 3
	// machineLeaseMargin is how much longer than its term the row must be unchanged before another instance claims the lease. It
	// covers the difference in clock rates and the delivery time of an order.
	machineLeaseMargin = 300 * time.Millisecond
)

// machineLeasePlace is the place of the machine lease row.
var machineLeasePlace = Place{tableControl, machinesCell, ownerKey}

// machineLease is the right to send orders for machines.
type machineLease struct {
	// version is the version of the lease row.
	version int64
	// expires is when the lease ends unless it is renewed.
	expires time.Time
	// firstAttempt is when the first attempt of the current renewal was sent; zero if no renewal is in progress.
	firstAttempt time.Time
	// ordered holds the machines with recent or planned orders; published is what the store's rows state about them.
	ordered   map[cell.MachineID]*machineOrders
	published cooldownChange
	// renewals is the number of the newest renewal; unanswered holds the rows of the renewals that may have been carried out.
	renewals   int64
	unanswered map[int64]cooldownChange
}

// machineOrders is the state of the orders for one machine.
type machineOrders struct {
	// lastDone is when the last order ended, announced is set while an order may follow, and inFlight counts the orders in
	// progress.
	lastDone  time.Time
	announced bool
	inFlight  int
}

// cooldowns returns the machines that the next leader must not send orders for, and for how long from now. Planned orders and
// orders in flight have ended by the end of the term at the latest.
func (ml *machineLease) cooldowns(now time.Time, term time.Duration) map[cell.MachineID]time.Duration {
	list := map[cell.MachineID]time.Duration{}
	for id, mo := range ml.ordered {
		remaining := machineCooldown - now.Sub(mo.lastDone)
		if mo.announced || mo.inFlight > 0 {
			remaining = machineCooldown + term
		}
		if remaining <= 0 {
			delete(ml.ordered, id)
			continue
		}
		list[id] = remaining
	}
	return list
}

// ordersFor returns the state of the orders for a machine.
func (ml *machineLease) ordersFor(id cell.MachineID) *machineOrders {
	mo, ok := ml.ordered[id]
	if !ok {
		mo = &machineOrders{}
		ml.ordered[id] = mo
	}
	return mo
}

// renewLoop renews the lease until the context ends.
func (ct *machineController) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := ct.fl.opts.Now()
		delay := machineLeaseRetryDelay
		if ct.renewOnce(ctx, nil) {
			delay = machineLeaseRenewInterval
		}
		// The duration of the attempt counts toward the interval.
		ct.waitForRenewal(ctx, delay-ct.fl.opts.Now().Sub(sentAt))
	}
}

// renewOnce makes one attempt and reports whether the lease was renewed. With the lease it writes the cooldowns of the machines in
// next, for which orders are planned.
func (ct *machineController) renewOnce(ctx context.Context, next []cell.MachineID) bool {
	ct.renewing.Lock()
	defer ct.renewing.Unlock()
	now := ct.fl.opts.Now()
	ct.mu.Lock()
	version := ct.lease.version
	if ct.lease.firstAttempt.IsZero() {
		ct.lease.firstAttempt = now
	}
	for _, id := range next {
		ct.lease.ordersFor(id).announced = true
	}
	term := ct.fl.machineLeaseTerm()
	// Other instances may see this row from now on, and its term may be shorter than the previous one.
	if end := now.Add(term); end.Before(ct.lease.expires) {
		ct.lease.expires = end
	}
	changed := ct.lease.beginRenewal(now, term, next)
	or := ownerRow{Holder: ct.fl.opts.Name, Incarnation: ct.fl.opts.Incarnation, Epoch: ct.row.epoch(), Renewal: ct.lease.renewals, Term: term}
	raw, err := json.Marshal(or)
	tx := Tx{Expect: []Expect{{machineLeasePlace, version}}, Write: []Row{{Table: machineLeasePlace.Table, Part: machineLeasePlace.Part, Key: machineLeasePlace.Key, Value: raw}}}
	rows := ct.addPendingRows(&tx)
	if err == nil {
		err = changed.addTo(&tx)
	}
	ct.mu.Unlock()
	if err != nil {
		ct.fl.opts.Log.Emit(event.ClaimFailed, zap.String("cell", machinesCell), zap.Error(err))
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, ct.fl.store.leaseCommitTimeout())
	defer cancel()
	newest, err := ct.fl.store.Commit(callCtx, tx)
	if err == nil {
		ct.recordRenewal(newest, or, rows)
		return true
	}
	cf := asConflict(err)
	if cf == nil {
		return false
	}
	if ct.recoverRenewal(cf) {
		return true
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.waveRunner.Supersede()
	return false
}

// beginRenewal numbers a renewal and returns the cooldown rows that it writes.
func (ml *machineLease) beginRenewal(now time.Time, term time.Duration, next []cell.MachineID) cooldownChange {
	if ml.unanswered == nil {
		ml.unanswered = map[int64]cooldownChange{}
	}
	ml.renewals++
	changed := ml.change(now, term, next)
	ml.unanswered[ml.renewals] = changed
	return changed
}

// endRenewal records that a renewal was carried out. No other unanswered one can be any more, since the row has changed.
func (ml *machineLease) endRenewal(number int64) {
	ml.apply(ml.unanswered[number])
	clear(ml.unanswered)
}

// machineLeaseTerm returns the term to request, which depends on the current commit latency.
func (fl *Fleet) machineLeaseTerm() time.Duration {
	return min(machineLeaseTermMax, max(machineLeaseTermMin, machineLeaseRenewInterval+machineLeaseLatencyFactor*fl.store.commitLatency()))
}

// recordRenewal records a successful renewal. The new term runs from the first attempt, because other instances may have seen the
// row that it wrote.
func (ct *machineController) recordRenewal(version int64, or ownerRow, rows []*pendingRow) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.removeWritten(rows)
	ct.lease.version, ct.lease.expires, ct.lease.firstAttempt = version, ct.lease.firstAttempt.Add(or.Term), time.Time{}
	ct.lease.endRenewal(or.Renewal)
}

// recoverRenewal reports whether a conflict was caused by this instance's own write whose answer was lost. In that case the write
// renewed the lease, and the term runs from the first attempt, since any of the attempts may have written the row.
func (ct *machineController) recoverRenewal(cf *Conflict) bool {
	for _, rw := range cf.Rows {
		var or ownerRow
		if rw.Place() != machineLeasePlace || json.Unmarshal(rw.Value, &or) != nil {
			continue
		}
		if or.Holder != ct.fl.opts.Name || or.Incarnation != ct.fl.opts.Incarnation {
			return false
		}
		ct.mu.Lock()
		defer ct.mu.Unlock()
		if or.Epoch != ct.row.epoch() && rw.Version != ct.row.version {
			return false
		}
		if rw.Version > ct.lease.version {
			ct.lease.version = rw.Version
			ct.lease.endRenewal(or.Renewal)
			ct.lease.expires = maxTime(ct.lease.expires, ct.lease.firstAttempt.Add(or.Term))
			ct.lease.firstAttempt = time.Time{}
		}
		return true
	}
	return false
}

// leaseVersion returns the newest known version of the lease row.
func (ct *machineController) leaseVersion() int64 {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.lease.version
}

// leaseValid reports whether orders may be sent.
func (ct *machineController) leaseValid(now time.Time) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.cancel != nil && now.Before(ct.lease.expires)
}

// spawn runs a task of the current term of leadership in the background.
func (ct *machineController) spawn(task func()) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.tasks.Go(task)
}

// sendOrder sends one order for a machine that was announced, if the lease allows it. When the lease expires, the call is
// cancelled; after that the order can't be carried out any more.
func (ct *machineController) sendOrder(ctx context.Context, id cell.MachineID, send func(context.Context) machine.Outcome) machine.Outcome {
	now := ct.fl.opts.Now()
	ct.mu.Lock()
	if ct.cancel == nil || ctx.Err() != nil {
		ct.mu.Unlock()
		return machine.Refused
	}
	expires, tasks, mo := ct.lease.expires, ct.tasks, ct.lease.ordersFor(id)
	mo.announced = false
	if !ct.lease.lists(id) || !now.Before(expires) {
		ct.mu.Unlock()
		return machine.Refused
	}
	mo.inFlight++
	// A handover waits for the order to end.
	tasks.Add(1)
	ct.mu.Unlock()
	defer func() {
		ct.mu.Lock()
		mo.inFlight--
		mo.lastDone = ct.fl.opts.Now()
		ct.mu.Unlock()
		tasks.Done()
	}()
	ctx, cancel := context.WithTimeout(ctx, min(machineTimeout, expires.Sub(now)))
	defer cancel()
	return send(ctx)
}

// announce publishes machines in the cooldown rows before orders for them are sent, so that the next leader knows which machines to
// leave alone for a while. Orders for machines that could not be published are refused.
func (ct *machineController) announce(ctx context.Context, ids []cell.MachineID) {
	if len(ids) == 0 {
		return
	}
	for range announceAttempts {
		if ct.renewOnce(ctx, ids) && ct.isPublished(ids) {
			return
		}
	}
}

// isPublished reports whether the cooldown rows list all the given machines.
func (ct *machineController) isPublished(ids []cell.MachineID) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return !slices.ContainsFunc(ids, func(id cell.MachineID) bool { return !ct.lease.lists(id) })
}

// coolingDown reports whether the previous leader may have sent an order for a machine so recently that the machine must wait.
// The caller holds the lock.
func (ct *machineController) coolingDown(now time.Time, id cell.MachineID) bool {
	remaining, listed := ct.inherited[cooldownKey(id)][id]
	return listed && now.Before(ct.inheritedAt.Add(remaining))
}
