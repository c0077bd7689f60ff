package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
	"go.uber.org/zap"
)

// Times of looking after machines.
const (
	// dutyEvery is how often a keeper plans.
	machinePlanInterval = 200 * time.Millisecond
	// listEvery is how often the list of machines is read while a wave is under way.
	machineListInterval = 700 * time.Millisecond
	// dutyQuiet is how long a new holder gives no orders for machines that another one may just have dealt with.
	machineCooldown = 3200 * time.Millisecond
	// machineTimeout bounds one call about machines.
	machineTimeout = 1500 * time.Millisecond
	// tokenShift is the room for a counter below the epoch in tokens for machines.
	tokenShift = 14
)

// Machines lists machines and gives orders to them.
type Machines interface {
	List(ctx context.Context) ([]machine.Machine, error)
	Service(ctx context.Context, id cell.MachineID, wave int, holder string, token cell.Token) machine.Outcome
	Move(ctx context.Context, id cell.MachineID, to job.PoolID, holder string, token cell.Token) machine.Outcome
}

// waveRecord is the row of a wave's course.
type waveRecord struct {
	Done     []cell.MachineID `json:"done,omitempty"`
	Finished bool             `json:"finished,omitempty"`
}

// duty looks after machines while this instance holds that duty, and remembers the waves while it does not.
type machineController struct {
	fl         *Fleet
	mu         sync.Mutex // guards what follows
	waves      map[int]machine.Wave
	records    map[int]waveRecord
	waveRunner *machine.Keeper
	sizer      *machine.Sizer
	// before is the row of the holder before.
	previous ownerRow
	cancel   context.CancelFunc
	// renewing is held while the lease is renewed.
	renewing sync.Mutex
	// tasks are the goroutines of the present tenure.
	tasks *sync.WaitGroup
	row   ownerRow
	lease machineLease
	token cell.Token
	// clear are the wanted workers that were empty when their owners were asked last.
	drained map[cell.WorkerName]bool
	// rows wait for a renewal to write them; hurry tells that there are new ones.
	pendingRows []*pendingRow
	rowsPending chan struct{}
}

func newMachineController(fl *Fleet) *machineController {
	return &machineController{fl: fl, waves: map[int]machine.Wave{}, records: map[int]waveRecord{}, rowsPending: make(chan struct{}, 1)}
}

// takeWave takes a wave that the operator has asked for.
func (ct *machineController) applyWave(wv machine.Wave, deleted bool) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if deleted {
		delete(ct.waves, wv.Number)
		return
	}
	ct.waves[wv.Number] = wv
}

// takeRecord takes what is kept of a wave's course.
func (ct *machineController) applyWaveRecord(rw Row) {
	number, err := strconv.Atoi(strings.TrimPrefix(rw.Key, wavePrefix))
	var rc waveRecord
	if err != nil || rw.Deleted || json.Unmarshal(rw.Value, &rc) != nil {
		ct.fl.opts.Log.Emit(event.ControlRowRejected, zap.String("key", rw.Key))
		return
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.records[number] = rc
}

// startDuty begins to look after machines. before is the row that this instance's claim replaced.
func (fl *Fleet) startMachineController(ctx context.Context, row, previous ownerRow) {
	ctx, cancel := context.WithCancel(ctx)
	ct := fl.controller
	ct.mu.Lock()
	if ct.cancel != nil {
		ct.cancel()
	}
	ct.waveRunner, ct.cancel, ct.row = machine.NewKeeper(fl.opts.Now(), machineCooldown), cancel, row
	ct.sizer, ct.previous = machine.NewSizer(fl.opts.Sizes), previous
	ct.token = cell.Token(row.epoch()) << tokenShift
	// What an earlier tenure did not get written is decided anew.
	ct.pendingRows, ct.drained = nil, nil
	// What the one before it rested from, a holder after this one has to as well.
	ct.lease = machineLease{version: row.version, ordered: map[cell.MachineID]*machineOrders{}}
	for id, left := range previous.Ordered {
		ct.lease.ordersFor(id).lastDone = previous.seenAt.Add(left - machineCooldown)
	}
	tasks := &sync.WaitGroup{}
	ct.tasks = tasks
	ct.mu.Unlock()
	tasks.Go(func() { ct.renewLoop(ctx) })
	tasks.Go(func() { ct.run(ctx) })
	tasks.Go(func() { ct.sizePools(ctx) })
}

// run plans until the context ends.
func (ct *machineController) run(ctx context.Context) {
	var listed time.Time
	for ctx.Err() == nil {
		sleep(ctx, machinePlanInterval)
		now := ct.fl.opts.Now()
		ct.updateKeeper(now)
		ct.mu.Lock()
		busy := ct.waveRunner.Busy()
		ct.mu.Unlock()
		if !busy || !ct.leaseValid(now) {
			continue
		}
		if now.Sub(listed) >= machineListInterval {
			listed = now
			ct.listMachines(ctx, now)
		}
		ct.mu.Lock()
		orders := ct.waveRunner.Plan(now)
		ct.mu.Unlock()
		ct.announce(ctx, servicedMachines(orders))
		for _, od := range orders {
			ct.execute(ctx, od)
		}
	}
}

// serviced are the machines whose maintenance is ordered.
func servicedMachines(orders []machine.Order) []cell.MachineID {
	var ids []cell.MachineID
	for _, od := range orders {
		if sv, ok := od.(machine.Service); ok {
			ids = append(ids, sv.Machine)
		}
	}
	return ids
}

// feed hands the keeper what is known of waves and drains.
func (ct *machineController) updateKeeper(now time.Time) {
	ct.fl.members.mu.RLock()
	drains := maps.Clone(ct.fl.members.drains)
	ct.fl.members.mu.RUnlock()
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for number, wv := range ct.waves {
		rc := ct.records[number]
		ct.waveRunner.Begin(now, wv, rc.Done, rc.Finished)
	}
	for _, dr := range drains {
		ct.waveRunner.Adopt(machine.Drain{Machine: dr.Machine, Worker: dr.Worker, Pool: dr.Pool, Wave: dr.Wave, Since: now, Clear: ct.drained[dr.Worker], Before: dr.version < ct.row.version})
	}
}

func (ct *machineController) listMachines(ctx context.Context, sentAt time.Time) {
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	list, err := ct.fl.opts.Machines.List(callCtx)
	if err != nil {
		ct.fl.opts.Log.Emit(event.MachinesUnlisted, zap.Error(err))
		return
	}
	now := ct.fl.opts.Now()
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for at := range list {
		list[at].Resting = ct.coolingDown(now, list[at].ID)
	}
	ct.waveRunner.List(sentAt, list)
}

// carryOut does what the keeper ordered.
func (ct *machineController) execute(ctx context.Context, od machine.Order) {
	switch order := od.(type) {
	case machine.Want:
		ct.fl.opts.Log.Emit(event.MachineWanted, zap.String("machine", string(order.Machine)), zap.String("worker", string(order.Worker)), zap.Int("wave", order.Wave))
		ct.putRow(drainPrefix+string(order.Machine), drainRow{Machine: order.Machine, Worker: order.Worker, Pool: order.Pool, Wave: order.Wave})
	case machine.Service:
		ct.spawn(func() { ct.serviceMachine(ctx, order) })
	case machine.Release:
		ct.deleteRow(drainPrefix + string(order.Machine))
	case machine.Record:
		ct.recordWave(order.Wave, waveRecord{Done: order.Done})
	case machine.Report:
		ct.reportWave(ctx, order)
	}
}

func (ct *machineController) serviceMachine(ctx context.Context, sv machine.Service) {
	oc := ct.sendOrder(ctx, sv.Machine, func(ctx context.Context) machine.Outcome {
		return ct.fl.opts.Machines.Service(ctx, sv.Machine, sv.Wave, ct.fl.opts.Name, ct.token)
	})
	ct.fl.opts.Log.Emit(event.MachineServiced, zap.String("machine", string(sv.Machine)), zap.Int("wave", sv.Wave), zap.Int("outcome", int(oc)), zap.Int64("token", int64(ct.token)))
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.waveRunner.Serviced(ct.fl.opts.Now(), sv, oc)
}

// report writes a wave's state for the operator. An end is kept as well, so that a later holder leaves the wave alone.
func (ct *machineController) reportWave(ctx context.Context, rp machine.Report) {
	rw, err := ct.fl.opts.Format.WaveStatus(rp.Wave, rp.Completed)
	if err != nil {
		ct.fl.opts.Log.Emit(event.ControlRowRejected, zap.Error(err))
		return
	}
	ct.fl.opts.Log.Emit(event.WaveReported, zap.Int("wave", rp.Wave), zap.Bool("completed", rp.Completed))
	tx := Tx{Write: []Row{rw}}
	if !rp.Completed {
		// Under the condition that nothing is told yet: one that is carried out late must not undo the word that the wave is over.
		tx.Expect = []Expect{{rw.Place(), 0}}
	}
	ct.spawn(func() {
		ct.commitUntilDone(ctx, tx)
		if rp.Completed {
			ct.recordWave(rp.Wave, waveRecord{Finished: true})
		}
	})
}

// tellUntil tries a write for the operator until it is done, somebody else has written, or the duty ends.
func (ct *machineController) commitUntilDone(ctx context.Context, tx Tx) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := ct.fl.store.Commit(callCtx, tx)
		cancel()
		if err == nil || asConflict(err) != nil {
			return
		}
		sleep(ctx, writeRetry)
	}
}

func (ct *machineController) recordWave(wave int, rc waveRecord) {
	ct.putRow(wavePrefix+strconv.Itoa(wave), rc)
}

// dropLost ends the duty once another holder was met.
func (ct *machineController) stepDownIfReplaced() {
	or := ct.fl.members.owner(machinesCell)
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.cancel == nil {
		return
	}
	if ct.waveRunner.Lost() || or.version > ct.row.version && or.Incarnation != ct.fl.opts.Incarnation {
		ct.cancel()
		ct.cancel = nil
		ct.fl.opts.Log.Emit(event.CellLost, zap.String("cell", machinesCell), zap.Int64("epoch", int64(ct.row.epoch())))
	}
}

// held reports whether this instance holds the duty.
func (ct *machineController) isLeader() bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.cancel != nil
}

// handOver leaves the duty without a holder, once none of its orders is under way any more.
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
		row := ownerRow{Released: true, Ordered: ct.lease.cooldowns(ct.fl.opts.Now(), 0)}
		ct.mu.Unlock()
		cf := asConflict(ct.fl.vacate(ctx, machinesCell, ct.leaseVersion(), row))
		if cf == nil || !ct.recoverRenewal(cf) {
			return
		}
	}
}
