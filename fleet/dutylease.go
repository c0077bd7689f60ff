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
	dutyRenew  = 300 * time.Millisecond
	renewAgain = 200 * time.Millisecond
	// dutyTerm is how long orders may be under way after a renewal was sent to a store that is fast. A slow one adds termPaces times what a
	// transaction takes, up to dutyTermMost; else no renewal would be answered in time, and no order given. The row tells the term.
	dutyTerm     = 1100 * time.Millisecond
	dutyTermMost = 3 * time.Second
	termPaces    = 4
	// announceTries is how often machines are announced before the orders for them are dropped: where an answer is lost the next try finds the
	// row written, which may be one that does not name them yet.
	announceTries = 3
	// dutyMargin is by how much longer than its term the row must have stood still before another instance takes the duty: what clocks may
	// differ in rate, and what an order needs on its way.
	dutyMargin = 300 * time.Millisecond
)

// dutyPlace is the row of the machines' duty.
var dutyPlace = Place{tableControl, machinesCell, ownerKey}

// dutyLease is the right to give orders to machines.
type dutyLease struct {
	// version is that of the duty's row.
	version int64
	// until is when the right ends.
	until time.Time
	// tried is when the first try at the present renewal was sent; zero if none is under way.
	tried time.Time
	// ordered are the machines that orders have been given for of late, or are to be; named those that the duty's row names.
	ordered map[cell.MachineID]*orderedMachine
	named   map[cell.MachineID]time.Duration
}

// orderedMachine is what is known of the orders for a machine.
type orderedMachine struct {
	// over is when the last order was over, announced whether another may follow, and active how many are under way.
	over      time.Time
	announced bool
	active    int
}

// recent are the machines that a holder after this one must leave alone, and for how long from now. Orders that may still be given, or are
// under way, are over with the term at the latest.
func (dl *dutyLease) recent(now time.Time, term time.Duration) map[cell.MachineID]time.Duration {
	list := map[cell.MachineID]time.Duration{}
	for id, om := range dl.ordered {
		left := dutyQuiet - now.Sub(om.over)
		if om.announced || om.active > 0 {
			left = dutyQuiet + term
		}
		if left <= 0 {
			delete(dl.ordered, id)
			continue
		}
		list[id] = left
	}
	return list
}

// of is what is known of a machine.
func (dl *dutyLease) of(id cell.MachineID) *orderedMachine {
	om, ok := dl.ordered[id]
	if !ok {
		om = &orderedMachine{}
		dl.ordered[id] = om
	}
	return om
}

// renew keeps the lease until the context ends or another holder is met.
func (du *duty) renew(ctx context.Context) {
	for ctx.Err() == nil {
		sent := du.fl.opts.Now()
		every := renewAgain
		if du.renewOnce(ctx, nil) {
			every = dutyRenew
		}
		// What a try took is part of the time until the next.
		du.pause(ctx, every-du.fl.opts.Now().Sub(sent))
	}
}

// renewOnce makes one try and reports whether the lease was renewed. The row names the machines for which orders have been given of late
// and those for which orders are to follow.
func (du *duty) renewOnce(ctx context.Context, next []cell.MachineID) bool {
	du.renewing.Lock()
	defer du.renewing.Unlock()
	now := du.fl.opts.Now()
	du.mu.Lock()
	version := du.lease.version
	if du.lease.tried.IsZero() {
		du.lease.tried = now
	}
	for _, id := range next {
		du.lease.of(id).announced = true
	}
	term := du.fl.dutyTerm()
	// From now on the others may see this row, whose term may be shorter than the one before.
	if end := now.Add(term); end.Before(du.lease.until) {
		du.lease.until = end
	}
	or := ownerRow{Holder: du.fl.opts.Name, Incarnation: du.fl.opts.Incarnation, Epoch: du.row.epoch(), Ordered: du.lease.recent(now, term), Term: term}
	raw, err := json.Marshal(or)
	tx := Tx{Expect: []Expect{{dutyPlace, version}}, Write: []Row{{Table: dutyPlace.Table, Part: dutyPlace.Part, Key: dutyPlace.Key, Value: raw}}}
	rows := du.rowsFor(&tx)
	du.mu.Unlock()
	if err != nil {
		du.fl.opts.Log.Emit(event.ClaimFailed, zap.String("cell", machinesCell), zap.Error(err))
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, du.fl.link.haste())
	defer cancel()
	newest, err := du.fl.link.Commit(callCtx, tx)
	if err == nil {
		du.renewed(newest, or, rows)
		return true
	}
	cf := conflictOf(err)
	if cf == nil {
		return false
	}
	if du.stillMine(cf) {
		return true
	}
	du.mu.Lock()
	defer du.mu.Unlock()
	du.keeper.Overtaken()
	return false
}

// dutyTerm is the term that a renewal asks for now.
func (fl *Fleet) dutyTerm() time.Duration {
	return min(dutyTermMost, max(dutyTerm, dutyRenew+termPaces*fl.link.usual()))
}

// renewed notes a renewal. The others may have seen the first of its tries, so the time runs from that one.
func (du *duty) renewed(version int64, or ownerRow, rows []*dutyRow) {
	du.mu.Lock()
	defer du.mu.Unlock()
	du.kept(rows)
	du.lease.version, du.lease.until, du.lease.tried = version, du.lease.tried.Add(or.Term), time.Time{}
	du.lease.named = or.Ordered
}

// stillMine reports whether the rows of a conflict show the duty's row as this instance wrote it in a try whose answer was lost. Then that
// try is what renewed the lease: it counts from the first one, since any of them may have written the row.
func (du *duty) stillMine(cf *Conflict) bool {
	for _, rw := range cf.Rows {
		var or ownerRow
		if rw.Place() != dutyPlace || json.Unmarshal(rw.Value, &or) != nil {
			continue
		}
		if or.Holder != du.fl.opts.Name || or.Incarnation != du.fl.opts.Incarnation {
			return false
		}
		du.mu.Lock()
		defer du.mu.Unlock()
		if or.Epoch != du.row.epoch() && rw.Version != du.row.version {
			return false
		}
		if rw.Version > du.lease.version {
			du.lease.version, du.lease.named = rw.Version, or.Ordered
			du.lease.until = later(du.lease.until, du.lease.tried.Add(or.Term))
			du.lease.tried = time.Time{}
		}
		return true
	}
	return false
}

// leaseVersion is the newest version of the duty's row that is known here.
func (du *duty) leaseVersion() int64 {
	du.mu.Lock()
	defer du.mu.Unlock()
	return du.lease.version
}

// leased reports whether orders may be given.
func (du *duty) leased(now time.Time) bool {
	du.mu.Lock()
	defer du.mu.Unlock()
	return du.cancel != nil && now.Before(du.lease.until)
}

// begin runs a part of the present tenure in the background.
func (du *duty) begin(part func()) {
	du.mu.Lock()
	defer du.mu.Unlock()
	du.tasks.Go(part)
}

// order gives one order for a machine that was announced, if the lease allows it. It is given up, and cannot be carried out any more, when the lease ends.
func (du *duty) order(ctx context.Context, id cell.MachineID, give func(context.Context) machine.Outcome) machine.Outcome {
	now := du.fl.opts.Now()
	du.mu.Lock()
	if du.cancel == nil || ctx.Err() != nil {
		du.mu.Unlock()
		return machine.Refused
	}
	until, tasks, om := du.lease.until, du.tasks, du.lease.of(id)
	om.announced = false
	if _, named := du.lease.named[id]; !named || !now.Before(until) {
		du.mu.Unlock()
		return machine.Refused
	}
	om.active++
	// A handover waits for it.
	tasks.Add(1)
	du.mu.Unlock()
	defer func() {
		du.mu.Lock()
		om.active--
		om.over = du.fl.opts.Now()
		du.mu.Unlock()
		tasks.Done()
	}()
	ctx, cancel := context.WithTimeout(ctx, min(machineTimeout, until.Sub(now)))
	defer cancel()
	return give(ctx)
}

// announce has the duty's row name machines before orders are given for them, so that whoever holds the duty next knows which ones to
// leave alone for a while. Orders for machines that could not be announced are refused.
func (du *duty) announce(ctx context.Context, ids []cell.MachineID) {
	if len(ids) == 0 {
		return
	}
	for range announceTries {
		if du.renewOnce(ctx, ids) && du.names(ids) {
			return
		}
	}
}

// names reports whether the duty's row, as far as is known here, names some machines.
func (du *duty) names(ids []cell.MachineID) bool {
	du.mu.Lock()
	defer du.mu.Unlock()
	return !slices.ContainsFunc(ids, func(id cell.MachineID) bool {
		_, named := du.lease.named[id]
		return !named
	})
}

// resting reports whether the holder before may have given an order for a machine so lately that this one waits. The caller holds the lock.
func (du *duty) resting(now time.Time, id cell.MachineID) bool {
	left, named := du.before.Ordered[id]
	return named && now.Before(du.before.seen.Add(left))
}
