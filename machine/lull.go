package machine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// Times that a wave allows for a machine, for the latest moment at which the machine must be taken.
const (
	// drainTime is how long the drain of a worker takes at most, unless long-running tasks wait for their disruption budget.
	drainTime = cell.ShortTaskGrace
	// maintenanceTime is the time from the order for maintenance until a list shows the machine up again.
	maintenanceTime = 4 * time.Second
	// takeoverTime is the time from the death of a leader until the next one gives orders for all machines: the end of the lease, the claim, the time
	// for which it gives none for machines that the previous leader handled, and its first list.
	takeoverTime = 8 * time.Second
	// lullMaxAge is the maximum age of the load of the pools. With an older one, as after an outage of the store, only overdue machines are taken.
	lullMaxAge = 2 * time.Second
)

// Lull is what a wave knows about the load of the pools, so that it takes machines that nobody needs at the moment.
type Lull struct {
	// Needs is the number of machines that each pool needs now. Pools with an unknown load are missing; nil means that no load is known yet.
	Needs map[job.PoolID]int
	// Lacking is the number of machines that pools together lack. Machines that other pools can spare are to move there.
	Lacking int
	// Idle holds the workers on which nothing runs.
	Idle map[cell.WorkerName]bool
	// Moving holds the machines that are being moved to another pool, though the list may still show them where they were.
	Moving map[cell.MachineID]bool
	// At is when the loads were collected.
	At time.Time
}

// SetLull sets the load of the pools, by which waves choose the next machines. With nil they are chosen by the share of each pool that is away. The
// caller must not modify the maps afterwards.
func (wr *WaveRunner) SetLull(lull *Lull) { wr.lull = lull }

// expireLull discards a load of the pools that is too old.
func (wr *WaveRunner) expireLull(now time.Time) {
	if wr.lull != nil && now.Sub(wr.lull.At) > lullMaxAge {
		wr.lull = &Lull{}
	}
}

// Reason is why a machine is taken now.
type Reason string

// The reasons.
const (
	// InTurn means that the load of the pools is not considered, or not known for this pool.
	InTurn Reason = "in turn"
	// InLull means that the pool has more machines than it needs.
	InLull Reason = "lull"
	// InEvacuatedHall means that the worker gets no tasks anyway.
	InEvacuatedHall Reason = "evacuated hall"
	// Overdue means that the pool needs the machine, but the wave would be late without it.
	Overdue Reason = "overdue"
)

// poolSupply is the number of machines that a pool has and needs.
type poolSupply struct {
	size, unavailable int
	// need is valid if needKnown is set.
	need      int
	needKnown bool
}

// atDrainShare reports whether one more machine away would exceed the share of the pool that is drained at once.
func (ps *poolSupply) atDrainShare() bool {
	return ps.unavailable > 0 && fraction(ps.unavailable+1, ps.size) > maxDrainShare
}

// spare returns how many machines the pool has beyond its need.
func (ps *poolSupply) spare() int { return ps.size - ps.unavailable - ps.need }

// supplies holds the supply of each pool.
type supplies struct {
	pools map[job.PoolID]*poolSupply
	// free is the number of machines that no pool needs.
	free int
}

// supplies returns the supply of each pool.
func (wr *WaveRunner) supplies() *supplies {
	unavailable, size := wr.countByPool()
	su := &supplies{pools: make(map[job.PoolID]*poolSupply, len(size)), free: -wr.lull.Lacking}
	for id, count := range size {
		ps := &poolSupply{size: count, unavailable: unavailable[id]}
		ps.need, ps.needKnown = wr.lull.Needs[id]
		su.pools[id] = ps
	}
	for id, mc := range wr.machines {
		// The list may be older than an order for the machine.
		if mc.State == Up && wr.drains[id] == nil && !wr.evacuatedHalls[mc.Hall] && (wr.lull.Moving[id] || wr.maintenanceOrdered(id)) {
			su.pools[mc.Pool].unavailable++
		}
	}
	for _, ps := range su.pools {
		if ps.needKnown {
			su.free += max(0, ps.spare())
		}
	}
	return su
}

// withoutMoving removes the machines that are being moved. They are taken in their next pool.
func (wr *WaveRunner) withoutMoving(candidates []Machine) []Machine {
	return slices.DeleteFunc(candidates, func(mc Machine) bool { return wr.lull.Moving[mc.ID] })
}

// take counts a machine as unavailable.
func (su *supplies) take(mc Machine, reason Reason) {
	if reason == InEvacuatedHall {
		return
	}
	su.pools[mc.Pool].unavailable++
	if reason == InLull {
		su.free--
	}
}

// reasonFor returns why a machine may be taken while its wave is in time, or an empty reason if it must not be.
func (wr *WaveRunner) reasonFor(mc Machine, su *supplies) Reason {
	ps := su.pools[mc.Pool]
	switch {
	case wr.evacuatedHalls[mc.Hall]:
		return InEvacuatedHall
	case wr.lull.Needs == nil:
		return ""
	case mc.Worker != "" && ps.atDrainShare():
		return ""
	case !ps.needKnown:
		return InTurn
	case ps.spare() > 0 && su.free > 0:
		return InLull
	}
	return ""
}

// drainInLull requests the next drains from the pools that have more machines than they need. The other machines are taken as late as the duration
// of the wave allows.
func (wr *WaveRunner) drainInLull(now time.Time, wv *waveState, candidates []Machine, draining int) []Order {
	su, overdue := wr.supplies(), wr.overdue(now, wv)
	candidates = wr.withoutMoving(candidates)
	var orders []Order
	for limit := max(1, wv.MaxDown) + drainAhead; draining < limit && len(candidates) > 0; draining++ {
		mc := slices.MinFunc(candidates, func(one, other Machine) int { return wr.compareByLull(one, other, su) })
		reason := wr.reasonFor(mc, su)
		if reason == "" && overdue <= 0 {
			break
		}
		candidates = slices.DeleteFunc(candidates, func(other Machine) bool { return other.ID == mc.ID })
		od := wr.requestDrain(now, wv, mc, cmp.Or(reason, Overdue))
		od.Spare, od.Overdue = min(su.pools[mc.Pool].spare(), su.free), overdue
		if !wr.lull.At.IsZero() {
			od.LoadAge = now.Sub(wr.lull.At)
		}
		orders = append(orders, od)
		overdue--
		su.take(mc, reason)
	}
	return append(orders, wv.noteDeferred(len(candidates) > 0 && draining < max(1, wv.MaxDown)+drainAhead, len(candidates))...)
}

// offMachinesAllowed returns a function that reports whether maintenance of one more machine without a worker may start. Such a machine needs no
// drain, but another pool may need it.
func (wr *WaveRunner) offMachinesAllowed(now time.Time, wv *waveState) func(Machine) bool {
	if wr.lull == nil {
		return func(Machine) bool { return true }
	}
	su, overdue := wr.supplies(), wr.overdue(now, wv)
	return func(mc Machine) bool {
		if wr.lull.Moving[mc.ID] {
			return false
		}
		reason := wr.reasonFor(mc, su)
		if reason == "" && overdue <= 0 {
			return false
		}
		overdue--
		su.take(mc, reason)
		return true
	}
}

// compareByLull orders machines by how little their pools need them. Idle machines come first, those of the pool with the smallest share to spare last. An
// overdue machine is taken from a pool of which less than the share drained at once is away, if there is one.
func (wr *WaveRunner) compareByLull(one, other Machine, su *supplies) int {
	rank := func(mc Machine) int {
		return slices.Index([]Reason{InEvacuatedHall, InLull, InTurn, ""}, wr.reasonFor(mc, su))
	}
	beyondShare := func(mc Machine) int {
		if su.pools[mc.Pool].atDrainShare() {
			return 1
		}
		return 0
	}
	busy := func(mc Machine) int {
		if wr.lull.Idle[mc.Worker] {
			return 0
		}
		return 1
	}
	share := func(mc Machine) float64 {
		ps := su.pools[mc.Pool]
		return fraction(ps.spare(), ps.size)
	}
	return cmp.Or(cmp.Compare(rank(one), rank(other)), cmp.Compare(beyondShare(one), beyondShare(other)), cmp.Compare(busy(one), busy(other)), -cmp.Compare(share(one), share(other)), cmp.Compare(one.ID, other.ID))
}

// noteDeferred returns an order to report that the wave begins or ceases to wait for a lull.
func (wv *waveState) noteDeferred(deferred bool, waiting int) []Order {
	if deferred == wv.deferred {
		return nil
	}
	wv.deferred = deferred
	return []Order{ReportDeferral{Wave: wv.Number, Deferred: deferred, Waiting: waiting}}
}

// overdue returns how many machines have to be taken now, whatever their pools need, so that the wave ends in time. It counts the machines that are
// drained or in maintenance as taken.
func (wr *WaveRunner) overdue(now time.Time, wv *waveState) int {
	taken := len(wv.done)
	for _, id := range wv.Machines {
		if _, ordered := wv.maintenance[id]; !wv.done[id] && (ordered || wr.drains[id] != nil) {
			taken++
		}
	}
	return requiredBy(now.Sub(wv.startedAt), wv.Wave) - taken
}

// requiredBy returns how many machines of a wave must have been taken after a time, so that the last one ends within finishShare of the duration,
// and a takeover before the end.
func requiredBy(elapsed time.Duration, wave Wave) int {
	machines := float64(len(wave.Machines))
	end := min(time.Duration(finishShare*float64(wave.Duration)), wave.Duration-takeoverTime) - drainTime - maintenanceTime
	if elapsed >= end {
		return len(wave.Machines)
	}
	even := machines * elapsed.Seconds() / end.Seconds()
	// At most MaxDown machines are in maintenance at once.
	rounds := (end + maintenanceTime - elapsed).Seconds() / maintenanceTime.Seconds()
	return int(math.Ceil(max(even, machines-rounds*float64(max(1, wave.MaxDown)))))
}

// Lull returns the load of the pools as of the last plan, which was made with these loads.
func (sz *Sizer) Lull(now time.Time, loads map[job.PoolID]cell.Load) *Lull {
	ll := &Lull{Needs: sz.needs, Lacking: sz.lacking, Idle: map[cell.WorkerName]bool{}, Moving: map[cell.MachineID]bool{}, At: now}
	for id, mv := range sz.moves {
		// The sizer forgets moves only of machines that it sees, which excludes those in evacuated halls.
		if now.Sub(mv.at) <= moveTimeout {
			ll.Moving[id] = true
		}
	}
	for name := range idleWorkers(loads) {
		ll.Idle[name] = true
	}
	return ll
}

// recordNeeds computes what the pools need and lack. The standby machines of a pool are not part of its need, those for a
// turn to come are. A reserve pool needs none.
func (sz *Sizer) recordNeeds(views []*poolView, loads map[job.PoolID]cell.Load) {
	sz.needs, sz.lacking = map[job.PoolID]int{}, 0
	for _, pv := range views {
		switch {
		case pv.reserve:
			sz.needs[pv.id] = 0
		case pv.loadKnown:
			sz.needs[pv.id] = max(loads[pv.id].MinWorkers, int(math.Ceil(pv.demand*sz.opts.Margin))) + pv.ahead
			sz.lacking += max(0, pv.target-pv.current)
		}
	}
}
