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

// Times of the lease under which orders to machines are given. Where the platform does not check tokens, nothing but this lease keeps two
// holders apart: the row of the duty is renewed under the condition that nobody else has written it, and taken from a holder only in the
// version in which it has stood still for longer than the term that it tells.
const (
	// dutyRenew is how often the holder renews its lease, renewAgain the least time between a try that failed and the next.
	machineLeaseRenewInterval = 300 * time.Millisecond
	machineLeaseRetryDelay    = 200 * time.Millisecond
	// dutyTerm is how long orders may be under way after a renewal was sent to a store that is fast. A slow one adds termPaces times what a
	// transaction takes, up to dutyTermMost; else no renewal would be answered in time, and no order given. The row tells the term.
	machineLeaseTermMin       = 1100 * time.Millisecond
	machineLeaseTermMax       = 3 * time.Second
	machineLeaseLatencyFactor = 4
	// announceTries is how often machines are announced before the orders for them are dropped: where an answer is lost the next try finds the
	// row written, which may be one that does not name them yet.
	announceAttempts = 3
	// dutyMargin is by how much longer than its term the row must have stood still before another instance takes the duty: what clocks may
	// differ in rate, and what an order needs on its way.
	machineLeaseMargin = 300 * time.Millisecond
)

// dutyPlace is the row of the machines' duty.
var machineLeasePlace = Place{tableControl, machinesCell, ownerKey}

// dutyLease is the right to give orders to machines.
type machineLease struct {
	// version is that of the duty's row.
	version int64
	// until is when the right ends.
	expires time.Time
	// tried is when the first try at the present renewal was sent; zero if none is under way.
	firstAttempt time.Time
	// ordered are the machines that orders have been given for of late, or are to be; named those that the duty's row names.
	ordered   map[cell.MachineID]*machineOrders
	published map[cell.MachineID]time.Duration
}

// orderedMachine is what is known of the orders for a machine.
type machineOrders struct {
	// over is when the last order was over, announced whether another may follow, and active how many are under way.
	lastDone  time.Time
	announced bool
	inFlight  int
}

// recent are the machines that a holder after this one must leave alone, and for how long from now. Orders that may still be given, or are
// under way, are over with the term at the latest.
func (ml *machineLease) cooldowns(now time.Time, term time.Duration) map[cell.MachineID]time.Duration {
	list := map[cell.MachineID]time.Duration{}
	for id, om := range ml.ordered {
		left := machineCooldown - now.Sub(om.lastDone)
		if om.announced || om.inFlight > 0 {
			left = machineCooldown + term
		}
		if left <= 0 {
			delete(ml.ordered, id)
			continue
		}
		list[id] = left
	}
	return list
}

// of is what is known of a machine.
func (ml *machineLease) ordersFor(id cell.MachineID) *machineOrders {
	om, ok := ml.ordered[id]
	if !ok {
		om = &machineOrders{}
		ml.ordered[id] = om
	}
	return om
}

// renew keeps the lease until the context ends or another holder is met.
func (ct *machineController) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sent := ct.fl.opts.Now()
		every := machineLeaseRetryDelay
		if ct.renewOnce(ctx, nil) {
			every = machineLeaseRenewInterval
		}
		// What a try took is part of the time until the next.
		ct.waitForRenewal(ctx, every-ct.fl.opts.Now().Sub(sent))
	}
}

// renewOnce makes one try and reports whether the lease was renewed. The row names the machines for which orders have been given of late
// and those for which orders are to follow.
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
	// From now on the others may see this row, whose term may be shorter than the one before.
	if end := now.Add(term); end.Before(ct.lease.expires) {
		ct.lease.expires = end
	}
	or := ownerRow{Holder: ct.fl.opts.Name, Incarnation: ct.fl.opts.Incarnation, Epoch: ct.row.epoch(), Ordered: ct.lease.cooldowns(now, term), Term: term}
	raw, err := json.Marshal(or)
	tx := Tx{Expect: []Expect{{machineLeasePlace, version}}, Write: []Row{{Table: machineLeasePlace.Table, Part: machineLeasePlace.Part, Key: machineLeasePlace.Key, Value: raw}}}
	rows := ct.addPendingRows(&tx)
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
	ct.waveRunner.Overtaken()
	return false
}

// dutyTerm is the term that a renewal asks for now.
func (fl *Fleet) machineLeaseTerm() time.Duration {
	return min(machineLeaseTermMax, max(machineLeaseTermMin, machineLeaseRenewInterval+machineLeaseLatencyFactor*fl.store.commitLatency()))
}

// renewed notes a renewal. The others may have seen the first of its tries, so the time runs from that one.
func (ct *machineController) recordRenewal(version int64, or ownerRow, rows []*pendingRow) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.removeWritten(rows)
	ct.lease.version, ct.lease.expires, ct.lease.firstAttempt = version, ct.lease.firstAttempt.Add(or.Term), time.Time{}
	ct.lease.published = or.Ordered
}

// stillMine reports whether the rows of a conflict show the duty's row as this instance wrote it in a try whose answer was lost. Then that
// try is what renewed the lease: it counts from the first one, since any of them may have written the row.
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
			ct.lease.version, ct.lease.published = rw.Version, or.Ordered
			ct.lease.expires = later(ct.lease.expires, ct.lease.firstAttempt.Add(or.Term))
			ct.lease.firstAttempt = time.Time{}
		}
		return true
	}
	return false
}

// leaseVersion is the newest version of the duty's row that is known here.
func (ct *machineController) leaseVersion() int64 {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.lease.version
}

// leased reports whether orders may be given.
func (ct *machineController) leaseValid(now time.Time) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.cancel != nil && now.Before(ct.lease.expires)
}

// begin runs a part of the present tenure in the background.
func (ct *machineController) spawn(task func()) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.tasks.Go(task)
}

// order gives one order for a machine that was announced, if the lease allows it. It is given up, and cannot be carried out any more, when the lease ends.
func (ct *machineController) sendOrder(ctx context.Context, id cell.MachineID, send func(context.Context) machine.Outcome) machine.Outcome {
	now := ct.fl.opts.Now()
	ct.mu.Lock()
	if ct.cancel == nil || ctx.Err() != nil {
		ct.mu.Unlock()
		return machine.Refused
	}
	expires, tasks, om := ct.lease.expires, ct.tasks, ct.lease.ordersFor(id)
	om.announced = false
	if _, published := ct.lease.published[id]; !published || !now.Before(expires) {
		ct.mu.Unlock()
		return machine.Refused
	}
	om.inFlight++
	// A handover waits for it.
	tasks.Add(1)
	ct.mu.Unlock()
	defer func() {
		ct.mu.Lock()
		om.inFlight--
		om.lastDone = ct.fl.opts.Now()
		ct.mu.Unlock()
		tasks.Done()
	}()
	ctx, cancel := context.WithTimeout(ctx, min(machineTimeout, expires.Sub(now)))
	defer cancel()
	return send(ctx)
}

// announce has the duty's row name machines before orders are given for them, so that whoever holds the duty next knows which ones to
// leave alone for a while. Orders for machines that could not be announced are refused.
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

// names reports whether the duty's row, as far as is known here, names some machines.
func (ct *machineController) isPublished(ids []cell.MachineID) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return !slices.ContainsFunc(ids, func(id cell.MachineID) bool {
		_, published := ct.lease.published[id]
		return !published
	})
}

// resting reports whether the holder before may have given an order for a machine so lately that this one waits. The caller holds the lock.
func (ct *machineController) coolingDown(now time.Time, id cell.MachineID) bool {
	left, published := ct.previous.Ordered[id]
	return published && now.Before(ct.previous.seenAt.Add(left))
}
