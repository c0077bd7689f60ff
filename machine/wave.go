package machine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// Intervals and limits of waves.
const (
	// drainAhead is how many machines are drained in advance, beyond those that may be down.
	drainAhead = 2
	// orderRetryInterval is the interval before an order without effect is repeated.
	orderRetryInterval = 3 * time.Second
	// maxDrainShare is the maximum share of a pool that is drained or down at once.
	maxDrainShare = 0.34
	// finishShare is the share of a wave's duration within which it is planned to finish. The rest is a margin for failures.
	finishShare = 0.85
	// missingTimeout is how long a machine must be missing from the list before it counts as removed.
	missingTimeout = 3 * time.Second
)

// Drain is a request to empty the worker of a machine.
type Drain struct {
	Machine cell.MachineID
	Worker  cell.WorkerName
	Pool    job.PoolID
	// Wave is the number of the wave that requests it.
	Wave int
	// Since is when this holder first saw the request.
	Since time.Time
	// Empty means that nothing runs on the worker and nothing will start.
	Empty bool
	// Inherited means that an earlier holder made the request and may have given orders for the machine.
	Inherited bool
}

// Order is an action for the caller to execute.
type Order interface{ order() }

// The kinds of orders.
type (
	// RequestDrain asks a cell to empty a worker.
	RequestDrain struct {
		Drain
		Reason Reason
		// Spare is how many machines the pool has beyond its need, and Overdue how many machines the wave has to take whatever the need. They are
		// set only if the load of the pools is considered, and LoadAge only if it is known.
		Spare, Overdue int
		LoadAge        time.Duration
	}
	// StartMaintenance starts the maintenance of a machine.
	StartMaintenance struct {
		Machine cell.MachineID
		Wave    int
	}
	// Release returns a machine to its cell.
	Release struct{ Machine cell.MachineID }
	// RecordProgress saves which machines of a wave have had their maintenance.
	RecordProgress struct {
		Wave int
		Done []cell.MachineID
	}
	// ReportDeferral reports that a wave begins or ceases to wait until pools need fewer machines.
	ReportDeferral struct {
		Wave     int
		Deferred bool
		// Waiting is the number of machines that remain to be drained.
		Waiting int
	}
	// ReportProgress reports the start or the completion of a wave to the operator.
	ReportProgress struct {
		Wave      int
		Completed bool
	}
)

func (RequestDrain) order()     {}
func (StartMaintenance) order() {}
func (Release) order()          {}
func (RecordProgress) order()   {}
func (ReportDeferral) order()   {}
func (ReportProgress) order()   {}

// waveState is the state of a running wave.
type waveState struct {
	Wave
	startedAt   time.Time
	done        map[cell.MachineID]bool
	maintenance map[cell.MachineID]maintenanceOrder
	missing     map[cell.MachineID]time.Time
	announced   bool
	// deferred means that machines wait until their pools need fewer of them.
	deferred bool
	finished bool
	reported bool
}

// maintenanceOrder is an order for maintenance that may have been executed.
type maintenanceOrder struct {
	sentAt    time.Time
	worker    cell.WorkerName
	confirmed bool
	// unanswered is set once an attempt got no answer. After that a refusal does not prove that the machine is up.
	unanswered bool
}

// WaveRunner carries out waves as long as its holder is not superseded.
type WaveRunner struct {
	// inheritDelay is how long after its start the runner gives no orders for machines handled by an earlier holder.
	inheritDelay time.Duration
	started      time.Time
	waves        map[int]*waveState
	machines     map[cell.MachineID]Machine
	listedAt     time.Time
	drains       map[cell.MachineID]*Drain
	superseded   bool
	// evacuatedHalls are the data halls whose workers get no new tasks.
	evacuatedHalls map[job.HallID]bool
	// lull is the load of the pools, nil if waves do not consider it.
	lull *Lull
}

// NewWaveRunner returns a runner that starts now.
func NewWaveRunner(now time.Time, inheritDelay time.Duration) *WaveRunner {
	return &WaveRunner{inheritDelay: inheritDelay, started: now, waves: map[int]*waveState{}, machines: map[cell.MachineID]Machine{}, drains: map[cell.MachineID]*Drain{}}
}

// Superseded reports whether another holder has taken over.
func (wr *WaveRunner) Superseded() bool { return wr.superseded }

// Supersede records that another holder has taken over.
func (wr *WaveRunner) Supersede() { wr.superseded = true }

// SetEvacuatedHalls sets the data halls whose workers get no new tasks. Maintenance that is due there comes first, since it takes no room
// from the pools. The caller must not modify the map afterwards.
func (wr *WaveRunner) SetEvacuatedHalls(halls map[job.HallID]bool) { wr.evacuatedHalls = halls }

// Machines returns the machines of the newest list.
func (wr *WaveRunner) Machines() map[cell.MachineID]Machine { return wr.machines }

// Holds reports whether a machine is being drained for a wave or is in maintenance.
func (wr *WaveRunner) Holds(id cell.MachineID) bool {
	return wr.drains[id] != nil || wr.maintenanceOrdered(id)
}

// DrainOf returns the request to empty the worker of a machine. It reports false if there is none.
func (wr *WaveRunner) DrainOf(id cell.MachineID) (Drain, bool) {
	dr := wr.drains[id]
	if dr == nil {
		return Drain{}, false
	}
	return *dr, true
}

// maintenanceOrdered reports whether a wave in progress has ordered the maintenance of a machine.
func (wr *WaveRunner) maintenanceOrdered(id cell.MachineID) bool {
	for _, wv := range wr.waves {
		if _, ordered := wv.maintenance[id]; ordered && !wv.finished {
			return true
		}
	}
	return false
}

// Active reports whether a wave is in progress, so that the list of machines is needed.
func (wr *WaveRunner) Active() bool {
	for _, wv := range wr.waves {
		if !wv.finished {
			return true
		}
	}
	return len(wr.drains) > 0
}

// Begin adds or updates a wave. done lists the machines finished by an earlier holder.
func (wr *WaveRunner) Begin(now time.Time, wave Wave, done []cell.MachineID, finished bool) {
	wv, known := wr.waves[wave.Number]
	if !known {
		wv = &waveState{startedAt: now, done: map[cell.MachineID]bool{}, maintenance: map[cell.MachineID]maintenanceOrder{}, missing: map[cell.MachineID]time.Time{}}
		wr.waves[wave.Number] = wv
	}
	if !wave.KnownSince.IsZero() && wave.KnownSince.Before(wv.startedAt) {
		wv.startedAt = wave.KnownSince
	}
	wv.Wave = wave
	wv.finished, wv.reported = wv.finished || finished, wv.reported || finished
	for _, id := range done {
		wv.done[id] = true
	}
}

// Adopt adds a drain request found in the store.
func (wr *WaveRunner) Adopt(dr Drain) {
	if old, ok := wr.drains[dr.Machine]; ok {
		old.Empty = old.Empty || dr.Empty && dr.Worker == old.Worker
		return
	}
	wr.drains[dr.Machine] = &dr
}

// List sets the list of machines, as of the time of the request for it.
func (wr *WaveRunner) List(requestedAt time.Time, list []Machine) {
	wr.listedAt = requestedAt
	wr.machines = make(map[cell.MachineID]Machine, len(list))
	for _, mc := range list {
		wr.machines[mc.ID] = mc
	}
}

// MaintenanceResult handles the outcome of an order.
func (wr *WaveRunner) MaintenanceResult(now time.Time, sv StartMaintenance, oc Outcome) {
	wv := wr.waves[sv.Wave]
	if wv == nil {
		return
	}
	mo := wv.maintenance[sv.Machine]
	switch oc {
	case Done:
		// Only a list requested after this answer shows the resulting state of the machine.
		mo.confirmed, mo.sentAt = true, now
		wv.maintenance[sv.Machine] = mo
	case Superseded:
		wr.superseded = true
	case Foreign, Invalid:
		delete(wv.maintenance, sv.Machine)
		wv.done[sv.Machine] = true
	case NoAnswer:
		mo.unanswered = true
		wv.maintenance[sv.Machine] = mo
	case Busy, Refused:
		if !mo.confirmed && !mo.unanswered {
			delete(wv.maintenance, sv.Machine)
		}
	}
}

// Plan returns the orders that are due.
func (wr *WaveRunner) Plan(now time.Time) []Order {
	if wr.superseded || wr.listedAt.IsZero() {
		return nil
	}
	wr.expireLull(now)
	var orders []Order
	for _, number := range slices.Sorted(maps.Keys(wr.waves)) {
		wv := wr.waves[number]
		if wv.finished {
			continue
		}
		if !wv.announced {
			wv.announced = true
			orders = append(orders, ReportProgress{Wave: number})
		}
		orders = append(orders, wr.reconcile(now, wv)...)
		orders = append(orders, wr.startMaintenance(now, wv)...)
		orders = append(orders, wr.requestDrains(now, wv)...)
		if len(wv.done) == len(wv.Machines) {
			wv.finished = true
			orders = append(orders, ReportProgress{Wave: number, Completed: true})
		}
	}
	return append(orders, wr.releaseUnused()...)
}

// reconcile compares the orders with the list of machines, and marks machines as done that are back or removed.
func (wr *WaveRunner) reconcile(now time.Time, wv *waveState) []Order {
	changed := false
	var orders []Order
	for _, id := range wv.Machines {
		if wv.done[id] {
			continue
		}
		mc, listed := wr.machines[id]
		if !listed {
			if wv.missing[id].IsZero() {
				wv.missing[id] = now
			}
			if now.Sub(wv.missing[id]) > missingTimeout && wr.listedAt.After(wv.missing[id]) {
				wv.done[id], changed = true, true
			}
			continue
		}
		delete(wv.missing, id)
		mo, ordered := wv.maintenance[id]
		if !ordered || !wr.listedAt.After(mo.sentAt) {
			continue
		}
		if mc.State != Up {
			continue
		}
		// A machine goes down as soon as its order is answered. If it is up in a later list, it is back or already had its maintenance under
		// an earlier holder.
		if !mo.confirmed {
			if mc.Worker != mo.worker {
				// Another incarnation of the worker runs there and the order was not answered. The worker may have crashed instead, so the
				// machine is drained and ordered again.
				delete(wv.maintenance, id)
			}
			continue
		}
		delete(wv.maintenance, id)
		wv.done[id], changed = true, true
		if wr.drains[id] != nil {
			delete(wr.drains, id)
			orders = append(orders, Release{id})
		}
	}
	if changed {
		orders = append(orders, RecordProgress{Wave: wv.Number, Done: slices.Sorted(maps.Keys(wv.done))})
	}
	return orders
}

// startMaintenance orders the maintenance of empty machines, up to the maximum number of machines down.
func (wr *WaveRunner) startMaintenance(now time.Time, wv *waveState) []Order {
	down := len(wv.maintenance)
	for _, id := range wv.Machines {
		if _, ordered := wv.maintenance[id]; !ordered && !wv.done[id] && wr.machines[id].State == Maintenance {
			// The order of an earlier holder is being executed.
			wv.maintenance[id] = maintenanceOrder{sentAt: now, worker: wr.machines[id].Worker, confirmed: true}
			down++
		}
	}
	allowed := wr.offMachinesAllowed(now, wv)
	var orders []Order
	for _, id := range wv.Machines {
		mc, listed := wr.machines[id]
		if wv.done[id] || !listed || mc.State != Up || mc.CoolingDown {
			continue
		}
		mo, ordered := wv.maintenance[id]
		if ordered && (mo.confirmed || now.Sub(mo.sentAt) < orderRetryInterval) {
			continue
		}
		dr := wr.drains[id]
		if mc.Worker != "" && (dr == nil || !dr.Empty || dr.Worker != mc.Worker) {
			continue
		}
		if dr != nil && dr.Inherited && now.Sub(wr.started) < wr.inheritDelay {
			continue
		}
		if !ordered {
			if down >= max(1, wv.MaxDown) || mc.Worker == "" && dr == nil && !allowed(mc) {
				continue
			}
			down++
		}
		wv.maintenance[id] = maintenanceOrder{sentAt: now, worker: mc.Worker, unanswered: mo.unanswered}
		orders = append(orders, StartMaintenance{Machine: id, Wave: wv.Number})
	}
	return orders
}

// requestDrains requests the next drains.
func (wr *WaveRunner) requestDrains(now time.Time, wv *waveState) []Order {
	candidates, draining := wr.drainCandidates(wv)
	if wr.lull != nil {
		return wr.drainInLull(now, wv, candidates, draining)
	}
	return wr.drainEvenly(now, wv, candidates, draining)
}

// drainCandidates returns the machines of a wave that can be drained, and the number of those that are being drained or in maintenance.
func (wr *WaveRunner) drainCandidates(wv *waveState) (candidates []Machine, draining int) {
	for _, id := range wv.Machines {
		mc, listed := wr.machines[id]
		if wv.done[id] || !listed {
			continue
		}
		if wr.drains[id] != nil {
			if wr.drains[id].Worker != mc.Worker && mc.Worker != "" && wv.maintenance[id].sentAt.IsZero() {
				// The worker has crashed since; its successor has to be drained.
				delete(wr.drains, id)
			} else {
				draining++
				continue
			}
		}
		if mc.State == Up && mc.Worker != "" {
			candidates = append(candidates, mc)
		}
	}
	return candidates, draining
}

// drainEvenly requests the next drains, from the pools with the smallest share of machines missing first.
func (wr *WaveRunner) drainEvenly(now time.Time, wv *waveState, candidates []Machine, draining int) []Order {
	unavailable, size := wr.countByPool()
	var orders []Order
	limit := max(1, wv.MaxDown) + drainAhead
	for draining < limit && len(candidates) > 0 {
		slices.SortStableFunc(candidates, func(one, other Machine) int {
			if wr.evacuatedHalls[one.Hall] != wr.evacuatedHalls[other.Hall] {
				return evacuatedFirst(wr.evacuatedHalls[one.Hall])
			}
			return cmp.Or(cmp.Compare(fraction(unavailable[one.Pool], size[one.Pool]), fraction(unavailable[other.Pool], size[other.Pool])), cmp.Compare(one.ID, other.ID))
		})
		mc := candidates[0]
		candidates = candidates[1:]
		if !wr.evacuatedHalls[mc.Hall] && unavailable[mc.Pool] > 0 && fraction(unavailable[mc.Pool]+1, size[mc.Pool]) > maxDrainShare && !wr.behindSchedule(now, wv) {
			break
		}
		if !wr.evacuatedHalls[mc.Hall] {
			unavailable[mc.Pool]++
		}
		draining++
		orders = append(orders, wr.requestDrain(now, wv, mc, InTurn))
	}
	return orders
}

// requestDrain records a drain and returns the order for it.
func (wr *WaveRunner) requestDrain(now time.Time, wv *waveState, mc Machine, reason Reason) RequestDrain {
	dr := Drain{Machine: mc.ID, Worker: mc.Worker, Pool: mc.Pool, Wave: wv.Number, Since: now}
	wr.drains[mc.ID] = &dr
	return RequestDrain{Drain: dr, Reason: reason}
}

// evacuatedFirst orders a machine before one in a data hall that is not evacuated.
func evacuatedFirst(evacuated bool) int {
	if evacuated {
		return -1
	}
	return 1
}

// behindSchedule reports whether fewer machines are done than finishShare requires at this time.
func (wr *WaveRunner) behindSchedule(now time.Time, wv *waveState) bool {
	elapsed := float64(now.Sub(wv.startedAt)) / float64(wv.Duration)
	done := float64(len(wv.done)) / float64(len(wv.Machines))
	return elapsed > done*finishShare
}

// countByPool counts the machines drained or down, and all machines, by pool.
func (wr *WaveRunner) countByPool() (unavailable, size map[job.PoolID]int) {
	unavailable, size = map[job.PoolID]int{}, map[job.PoolID]int{}
	for _, mc := range wr.machines {
		size[mc.Pool]++
		if wr.drains[mc.ID] != nil || mc.State != Up || wr.evacuatedHalls[mc.Hall] {
			unavailable[mc.Pool]++
		}
	}
	return unavailable, size
}

func fraction(part, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(part) / float64(all)
}

// releaseUnused returns machines that no wave needs any longer.
func (wr *WaveRunner) releaseUnused() []Order {
	var orders []Order
	for id, dr := range wr.drains {
		wv := wr.waves[dr.Wave]
		if wv != nil && (wv.finished || wv.done[id]) {
			delete(wr.drains, id)
			orders = append(orders, Release{id})
		}
	}
	return orders
}
