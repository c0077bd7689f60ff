package fleet

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
	"github.com/aspenseam/aspenseam/tcp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Intervals and timeouts of the machine controller.
const (
	// machinePlanInterval is how often the controller plans maintenance waves.
	machinePlanInterval = 200 * time.Millisecond
	// machineListInterval is how often the list of machines is read while a wave is in progress.
	machineListInterval = 700 * time.Millisecond
	// machineCooldown is how long a new leader sends no orders for a machine that the previous leader may just have sent an order
	// for.
	machineCooldown = 3200 * time.Millisecond
	// machineTimeout bounds one call of the machine API, and the wait for each page of a list.
	machineTimeout = 1500 * time.Millisecond
	// tokenShift is the number of low bits of a machine fencing token that are left for a counter; the bits above hold the lease
	// epoch.
	tokenShift = 14
)

// Machines lists machines and sends orders for them.
type Machines interface {
	List(ctx context.Context) ([]machine.Machine, error)
	StartMaintenance(ctx context.Context, id cell.MachineID, wave int, holder string, token cell.Token) machine.Outcome
	Move(ctx context.Context, id cell.MachineID, to job.PoolID, holder string, token cell.Token) machine.Outcome
}

// machineController runs maintenance waves and moves machines between pools while this instance holds the machine lease. It keeps
// track of the waves while it does not, so that it can take over.
type machineController struct {
	fl    *Fleet
	mu    sync.Mutex // guards the fields below
	waves map[int]machine.Wave
	// records holds the stored rows of each wave's progress by key. savedDone is what this leader last wrote to them.
	records    map[int]map[string]waveRecord
	savedDone  map[string][]cell.MachineID
	waveRunner *machine.WaveRunner
	sizer      *machine.Sizer
	// forecast is what this leader has learned of the pools' demand, forecastRaw the newest stored row of it.
	forecast    forecastState
	forecastRaw []byte
	// inherited holds the cooldowns that the previous leader left, as read at inheritedAt.
	inherited   cooldownChange
	inheritedAt time.Time
	cancel      context.CancelFunc
	// renewing serializes renewals of the lease.
	renewing sync.Mutex
	// tasks tracks the goroutines of the current term of leadership.
	tasks *sync.WaitGroup
	row   ownerRow
	lease machineLease
	token cell.Token
	// orderLimiter keeps orders for machines within the platform's rate.
	orderLimiter *rate.Limiter
	// drained holds the cordoned workers that were empty when their cells' owners last reported.
	drained map[cell.WorkerName]bool
	// pendingRows are written by the next renewal; rowsPending signals that rows were added.
	pendingRows []*pendingRow
	rowsPending chan struct{}
}

func newMachineController(fl *Fleet) *machineController {
	return &machineController{fl: fl, waves: map[int]machine.Wave{}, records: map[int]map[string]waveRecord{}, rowsPending: make(chan struct{}, 1), orderLimiter: newOrderLimiter(fl.opts.MachineOrderRate)}
}

// applyWave adds or removes a wave that the operator has requested.
func (ct *machineController) applyWave(wv machine.Wave, deleted bool) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if deleted {
		delete(ct.waves, wv.Number)
		return
	}
	if old, known := ct.waves[wv.Number]; known {
		wv.KnownSince = old.KnownSince
	} else {
		// The newest answer of the store that did not contain the wave. An instance that has just started takes the wave for an old one.
		_, wv.KnownSince = ct.fl.operator.healthyPeriod()
	}
	ct.waves[wv.Number] = wv
}

// startMachineController starts the controller after this instance has claimed the machine lease.
func (fl *Fleet) startMachineController(ctx context.Context, row ownerRow) {
	// The previous leader writes no more cooldowns, since its lease is over.
	inherited := fl.readCooldowns(ctx, row.version)
	ctx, cancel := context.WithCancel(ctx)
	ct := fl.controller
	ct.mu.Lock()
	if ct.cancel != nil {
		ct.cancel()
	}
	ct.waveRunner, ct.cancel, ct.row = fl.newWaveRunner(), cancel, row
	ct.sizer, ct.inherited, ct.inheritedAt = machine.NewSizer(fl.opts.Sizes), inherited, fl.opts.Now()
	ct.forecast = forecastState{}
	ct.token = cell.Token(row.epoch()) << tokenShift
	// Rows that an earlier term of leadership did not write are decided again.
	ct.pendingRows, ct.drained, ct.savedDone = nil, nil, map[string][]cell.MachineID{}
	// Cooldowns inherited from the previous leader also apply to the next one.
	ct.lease = machineLease{version: row.version, ordered: map[cell.MachineID]*machineOrders{}, published: inherited}
	for _, cooldowns := range inherited {
		for id, remaining := range cooldowns {
			ct.lease.ordersFor(id).lastDone = ct.inheritedAt.Add(remaining - machineCooldown)
		}
	}
	tasks := &sync.WaitGroup{}
	ct.tasks = tasks
	ct.mu.Unlock()
	tasks.Go(func() { ct.renewLoop(ctx) })
	tasks.Go(func() { ct.run(ctx) })
	tasks.Go(func() { ct.sizePools(ctx) })
	tasks.Go(func() { fl.sweepWithdrawals(ctx) })
}

// run plans and executes maintenance orders until the context ends.
func (ct *machineController) run(ctx context.Context) {
	var listedAt time.Time
	for ctx.Err() == nil {
		sleep(ctx, machinePlanInterval)
		now := ct.fl.opts.Now()
		ct.updateWaves(now)
		ct.mu.Lock()
		active := ct.waveRunner.Active()
		ct.mu.Unlock()
		if !active || !ct.leaseValid(now) {
			continue
		}
		if now.Sub(listedAt) >= machineListInterval {
			listedAt = now
			ct.listMachines(ctx, now)
		}
		ct.mu.Lock()
		orders := ct.waveRunner.Plan(now)
		ct.mu.Unlock()
		ct.executeAll(ctx, orders)
	}
}

// executeAll carries out the orders of one plan. Orders that end workers are made known first.
func (ct *machineController) executeAll(ctx context.Context, orders []machine.Order) {
	ct.noteOrders(orders)
	ct.announce(ctx, maintenanceMachines(orders))
	for _, od := range orders {
		ct.execute(ctx, od)
	}
}

// noteOrders has the rows of drained machines say that orders follow which end their workers, so that the owners of the workers do not take that for
// crashes. They are written together with the announcement of the machines.
func (ct *machineController) noteOrders(orders []machine.Order) {
	for _, od := range orders {
		sm, ok := od.(machine.StartMaintenance)
		if !ok {
			continue
		}
		ct.mu.Lock()
		dr, drained := ct.waveRunner.DrainOf(sm.Machine)
		ct.mu.Unlock()
		if drained {
			ct.putRow(drainPrefix+string(dr.Machine), drainRow{Machine: dr.Machine, Worker: dr.Worker, Pool: dr.Pool, Wave: dr.Wave, Orders: ct.nextOrder(dr)})
		}
	}
}

// nextOrder returns the number of the next order for a drained machine.
func (ct *machineController) nextOrder(dr machine.Drain) int {
	ct.fl.members.mu.RLock()
	defer ct.fl.members.mu.RUnlock()
	if row := ct.fl.members.drains[dr.Machine]; row.Worker == dr.Worker {
		return row.Orders + 1
	}
	return 1
}

// maintenanceMachines returns the machines that the orders start maintenance on.
func maintenanceMachines(orders []machine.Order) []cell.MachineID {
	var ids []cell.MachineID
	for _, od := range orders {
		if sm, ok := od.(machine.StartMaintenance); ok {
			ids = append(ids, sm.Machine)
		}
	}
	return ids
}

// updateWaves passes the known waves and drains to the wave runner.
func (ct *machineController) updateWaves(now time.Time) {
	ct.fl.members.mu.RLock()
	drains := maps.Clone(ct.fl.members.drains)
	ct.fl.members.mu.RUnlock()
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for number, wv := range ct.waves {
		rc := ct.waveProgress(number)
		if !ct.fl.maintainsInLull() {
			wv.KnownSince = time.Time{}
		}
		ct.waveRunner.Begin(now, wv, rc.Done, rc.Finished)
	}
	ct.waveRunner.SetEvacuatedHalls(ct.fl.evacuatedHalls())
	for _, dr := range drains {
		ct.waveRunner.Adopt(machine.Drain{Machine: dr.Machine, Worker: dr.Worker, Pool: dr.Pool, Wave: dr.Wave, Since: now, Empty: ct.drained[dr.Worker], Inherited: dr.version < ct.row.version})
	}
}

// listMachines reads the list of machines. It may take as long as the machine service sends pages: a list of thousands of machines
// from a slow service does not fit into the time of one call.
func (fl *Fleet) listMachines(ctx context.Context) ([]machine.Machine, error) {
	ctx, cancel := tcp.WithIdleTimeout(ctx, machineTimeout)
	defer cancel()
	return fl.opts.Machines.List(ctx)
}

func (ct *machineController) listMachines(ctx context.Context, sentAt time.Time) {
	list, err := ct.fl.listMachines(ctx)
	if err != nil {
		ct.fl.opts.Log.Emit(event.MachinesUnlisted, zap.Error(err))
		return
	}
	now := ct.fl.opts.Now()
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for i := range list {
		list[i].CoolingDown = ct.coolingDown(now, list[i].ID)
	}
	ct.waveRunner.List(sentAt, list)
}

// execute carries out an order of the wave runner.
func (ct *machineController) execute(ctx context.Context, od machine.Order) {
	switch order := od.(type) {
	case machine.RequestDrain:
		ct.fl.opts.Log.Emit(event.MachineWanted, zap.String("machine", string(order.Machine)), zap.String("worker", string(order.Worker)), zap.Int("wave", order.Wave), zap.String("pool", string(order.Pool)), zap.String("why", string(order.Reason)), zap.Int("spare", order.Spare), zap.Int("overdue", order.Overdue), zap.Duration("loadAge", order.LoadAge))
		ct.fl.metrics.countDrain(order.Reason)
		ct.putRow(drainPrefix+string(order.Machine), drainRow{Machine: order.Machine, Worker: order.Worker, Pool: order.Pool, Wave: order.Wave})
	case machine.StartMaintenance:
		ct.spawn(func() { ct.startMaintenance(ctx, order) })
	case machine.Release:
		ct.deleteRow(drainPrefix + string(order.Machine))
	case machine.RecordProgress:
		ct.saveDone(order.Wave, order.Done)
	case machine.ReportDeferral:
		ct.fl.opts.Log.Emit(event.DrainsDeferred, zap.Int("wave", order.Wave), zap.Bool("deferred", order.Deferred), zap.Int("machines", order.Waiting))
	case machine.ReportProgress:
		ct.reportWave(ctx, order)
	}
}

func (ct *machineController) startMaintenance(ctx context.Context, sm machine.StartMaintenance) {
	// Maintenance goes before moves, which wait until the rate has recovered.
	ct.orderLimiter.ReserveN(ct.fl.opts.Now(), 1)
	oc := ct.sendOrder(ctx, sm.Machine, func(ctx context.Context) machine.Outcome {
		return ct.fl.opts.Machines.StartMaintenance(ctx, sm.Machine, sm.Wave, ct.fl.opts.Name, ct.token)
	})
	ct.fl.opts.Log.Emit(event.MachineServiced, zap.String("machine", string(sm.Machine)), zap.Int("wave", sm.Wave), zap.Int("outcome", int(oc)), zap.Int64("token", int64(ct.token)))
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.waveRunner.MaintenanceResult(ct.fl.opts.Now(), sm, oc)
}

// reportWave writes a wave's state for the operator. Completion is also stored in the controller's own record, so that a later
// leader does not run the wave again.
func (ct *machineController) reportWave(ctx context.Context, rp machine.ReportProgress) {
	rw, err := ct.fl.opts.Format.WaveStatus(rp.Wave, rp.Completed)
	if err != nil {
		ct.fl.opts.Log.Emit(event.ControlRowRejected, zap.Error(err))
		return
	}
	ct.fl.opts.Log.Emit(event.WaveReported, zap.Int("wave", rp.Wave), zap.Bool("completed", rp.Completed))
	tx := Tx{Write: []Row{rw}}
	if !rp.Completed {
		// Requires that no state has been reported yet: a delayed write must not overwrite the report that the wave is complete.
		tx.Expect = []Expect{{rw.Place(), 0}}
	}
	ct.spawn(func() {
		ct.commitUntilDone(ctx, tx)
		if rp.Completed {
			ct.putRow(waveKey(rp.Wave), waveRecord{Finished: true})
		}
	})
}

// commitUntilDone retries a write for the operator until it succeeds, conflicts with another write, or the context ends.
func (ct *machineController) commitUntilDone(ctx context.Context, tx Tx) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := ct.fl.store.Commit(callCtx, tx)
		cancel()
		if errors.Is(err, ErrInvalid) {
			ct.fl.opts.Log.Emit(event.SaveImpossible, zap.String("cell", machinesCell), zap.Int("entries", tx.entryCount()), zap.Error(err))
			return
		}
		if err == nil || asConflict(err) != nil {
			return
		}
		sleep(ctx, writeRetryDelay)
	}
}

// stepDownIfReplaced stops the controller if another instance holds the lease.
func (ct *machineController) stepDownIfReplaced() {
	or := ct.fl.members.owner(machinesCell)
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.cancel == nil {
		return
	}
	if ct.waveRunner.Superseded() || or.version > ct.row.version && or.Incarnation != ct.fl.opts.Incarnation {
		ct.cancel()
		ct.cancel = nil
		ct.fl.opts.Log.Emit(event.CellLost, zap.String("cell", machinesCell), zap.Int64("epoch", int64(ct.row.epoch())))
	}
}

// isLeader reports whether this instance runs the controller.
func (ct *machineController) isLeader() bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.cancel != nil
}

// handOver releases the lease after all orders in flight have ended.
func (ct *machineController) handOver(ctx context.Context) {
	ct.mu.Lock()
	if ct.cancel == nil {
		ct.mu.Unlock()
		return
	}
	ct.cancel()
	ct.cancel = nil
	tasks := ct.tasks
	ct.mu.Unlock()
	tasks.Wait()
	for ctx.Err() == nil {
		ct.mu.Lock()
		changed := ct.lease.all(ct.fl.opts.Now())
		ct.mu.Unlock()
		cf := asConflict(ct.fl.commitRelease(ctx, machinesCell, ct.leaseVersion(), ownerRow{Released: true}, changed))
		if cf == nil || !ct.recoverRenewal(cf) {
			return
		}
	}
}
