package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
	"github.com/aspenseam/aspenseam/peer"
	"go.uber.org/zap"
)

// Intervals and timeouts of pool sizing.
const (
	// sizeInterval is how often the controller's leader evaluates the loads.
	sizeInterval = 250 * time.Millisecond
	// machineListMaxAge is the maximum age of the machine list used for sizing.
	machineListMaxAge = 600 * time.Millisecond
	// reserveTimeout bounds a request for idle workers. A machine that was given up must be moved soon, before its cell may
	// change owners.
	reserveTimeout = 300 * time.Millisecond
)

// loads collects the loads of all cells from their owners; cells whose owners do not answer are missing. Instances that own no
// cell are called only to notify them of full queues, since calls to all of them in each round would grow with the number of
// instances.
func (fl *Fleet) loads(ctx context.Context, targets poolTargets, full []*peer.FullQueue, notifyAll bool) map[job.PoolID]cell.Load {
	fl.fullQueues.update(fl.opts.Now(), full)
	found := map[job.PoolID]cell.Load{}
	var mu sync.Mutex
	add := func(ld cell.Load) {
		mu.Lock()
		defer mu.Unlock()
		found[ld.Pool] = ld
	}
	for _, ow := range fl.allOwners() {
		if ld, ok := ow.load(targets); ok {
			add(ld)
		}
	}
	request := &peer.LoadsRequest{Full: full, Firm: targets.firm, Limits: poolLimits(targets.limits), Sizes: poolLimits(targets.sizes)}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, nd := range fl.members.cellOwners(fl.opts.Name, notifyAll) {
		wg.Go(func() {
			rp, err := fl.peers.clientFor(nd.Address).Loads(ctx, request)
			if err != nil {
				return
			}
			for _, raw := range rp.Loads {
				var ld cell.Load
				if json.Unmarshal(raw, &ld) == nil {
					add(ld)
				}
			}
		})
	}
	wg.Wait()
	return found
}

// poolTargets is what the leader of the machine controller plans for pools.
type poolTargets struct {
	// limits are the machines that pools are to have while there are too few for all; firm limits hold for all jobs but long-running ones.
	limits map[job.PoolID]int
	firm   bool
	// sizes are the machines that pools have or that are on their way there.
	sizes map[job.PoolID]int
}

// poolLimits returns numbers of machines by pool as a message has them.
func poolLimits(machines map[job.PoolID]int) []*peer.PoolLimit {
	var list []*peer.PoolLimit
	for pool, count := range machines {
		list = append(list, &peer.PoolLimit{Pool: string(pool), Machines: int32(count)})
	}
	return list
}

// machinesByPool is the reverse of poolLimits.
func machinesByPool(list []*peer.PoolLimit) map[job.PoolID]int {
	machines := map[job.PoolID]int{}
	for _, limit := range list {
		machines[job.PoolID(limit.Pool)] = int(limit.Machines)
	}
	return machines
}

// load returns the load of the cell once the owner has begun to plan. The targets may tell the cell to plan with fewer machines
// than its pool has.
func (ow *owner) load(targets poolTargets) (cell.Load, bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.planned || ow.lost.Load() {
		return cell.Load{}, false
	}
	now := ow.fl.opts.Now()
	ow.core.PackLate(ow.fl.opts.Functions.PackLateJobs.Holds(ow.fl.config.Load()))
	if machines, limited := targets.limits[ow.pool()]; limited {
		ow.core.LimitMachines(now, machines, targets.firm)
	}
	if machines, known := targets.sizes[ow.pool()]; known {
		ow.core.SetPoolSize(now, machines)
	}
	ld := ow.core.Load(now)
	ld.Drained = ow.drainedWorkers(now)
	return ld, true
}

// Loads returns the loads of the cells that are owned here.
func (sv cellsServer) Loads(_ context.Context, rq *peer.LoadsRequest) (*peer.LoadsResponse, error) {
	sv.fl.fullQueues.update(sv.fl.opts.Now(), rq.Full)
	rp := &peer.LoadsResponse{}
	targets := poolTargets{limits: machinesByPool(rq.Limits), firm: rq.Firm, sizes: machinesByPool(rq.Sizes)}
	for _, ow := range sv.fl.allOwners() {
		ld, ok := ow.load(targets)
		if !ok {
			continue
		}
		if raw, err := json.Marshal(ld); err == nil {
			rp.Loads = append(rp.Loads, raw)
		}
	}
	return rp, nil
}

// Grab reserves idle workers of a cell that is owned here.
func (sv cellsServer) Grab(_ context.Context, rq *peer.GrabRequest) (*peer.GrabResponse, error) {
	ids := make([]cell.WorkerName, len(rq.Workers))
	for i, id := range rq.Workers {
		ids[i] = cell.WorkerName(id)
	}
	rp := &peer.GrabResponse{}
	for _, id := range sv.fl.reserveLocal(rq.Cell, ids) {
		rp.Granted = append(rp.Granted, string(id))
	}
	return rp, nil
}

func (fl *Fleet) reserveLocal(name string, ids []cell.WorkerName) []cell.WorkerName {
	ow := fl.ownerOf(name)
	if ow == nil {
		return nil
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.lost.Load() || !ow.planned {
		return nil
	}
	return ow.core.ReserveForMove(fl.opts.Now(), ids)
}

// reserve asks the owner of a cell, here or at a peer, to keep idle workers free.
func (fl *Fleet) reserve(ctx context.Context, name string, ids []cell.WorkerName) []cell.WorkerName {
	if fl.ownerOf(name) != nil {
		return fl.reserveLocal(name, ids)
	}
	cl, ok := fl.peers.ownerClient(name)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	rq := &peer.GrabRequest{Cell: name}
	for _, id := range ids {
		rq.Workers = append(rq.Workers, string(id))
	}
	rp, err := cl.Grab(ctx, rq)
	if err != nil {
		fl.logPeerError("grab", name, err)
		return nil
	}
	var granted []cell.WorkerName
	for _, id := range rp.Granted {
		granted = append(granted, cell.WorkerName(id))
	}
	return granted
}

// targets returns what the last plan means for the pools. Only admission uses the sizes.
func (ct *machineController) targets(cf *job.Configuration) poolTargets {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	pt := poolTargets{limits: ct.sizer.Limits(), firm: ct.sizer.BelowMinimum()}
	if ct.fl.opts.Functions.Admission.Holds(cf) {
		pt.sizes = ct.sizer.Sizes()
	}
	return pt
}

// sizePools moves machines between pools according to their loads.
func (ct *machineController) sizePools(ctx context.Context) {
	listedAt := time.Time{}
	var full []*peer.FullQueue
	notified := false
	for ctx.Err() == nil {
		sleep(ctx, sizeInterval)
		now := ct.fl.opts.Now()
		cf := ct.fl.config.Load()
		if cf == nil || !ct.leaseValid(now) {
			continue
		}
		if now.Sub(listedAt) >= machineListMaxAge {
			listedAt = now
			ct.listMachines(ctx, now)
		}
		loads := ct.fl.loads(ctx, ct.targets(cf), full, notified || len(full) > 0)
		// Send one more update after the last queue is no longer full.
		notified = len(full) > 0
		full = collectFullQueues(loads)
		ct.recordDrained(loads)
		for _, ld := range loads {
			ct.fl.opts.Log.Emit(event.PoolLoad, zap.String("pool", string(ld.Pool)), zap.Float64("needed", ld.Demand), zap.Float64("placed", ld.Placed), zap.Float64("lasting", ld.LongRunning), zap.Duration("slack", ld.Slack), zap.Int("workers", len(ld.Workers)), zap.Int("usable", ld.UsableWorkers()), zap.Int("open", ld.OpenJobs))
		}
		ct.mu.Lock()
		machines := ct.fl.outsideEvacuation(ct.waveRunner.Machines())
		forecast := ct.poolForecast(now, cf)
		ct.sizer.UseForecast(forecast)
		moves := ct.sizer.Plan(now, cf.Pools, machines, loads, ct.waveRunner.Holds)
		report := ct.sizer.Report()
		ct.setLull(now, loads)
		ct.mu.Unlock()
		taken := ct.takeMoves(now, moves)
		if forecast != nil {
			ct.logPlan(report)
			ct.saveForecast(now)
		}
		ct.moveMachines(ctx, machines, taken)
	}
}

// moveMachines reserves the workers of the planned moves, and moves the machines whose workers were granted.
func (ct *machineController) moveMachines(ctx context.Context, machines map[cell.MachineID]machine.Machine, moves []machine.Move) {
	requested := map[job.PoolID][]cell.WorkerName{}
	for _, mv := range moves {
		if mv.Worker != "" {
			requested[mv.From] = append(requested[mv.From], mv.Worker)
		}
	}
	granted := map[cell.WorkerName]bool{"": true}
	for pool, ids := range requested {
		for _, id := range ct.fl.reserve(ctx, cellName(pool), ids) {
			granted[id] = true
		}
	}
	var moved []cell.MachineID
	for _, mv := range moves {
		if granted[mv.Worker] {
			moved = append(moved, mv.Machine)
		}
	}
	ct.announce(ctx, moved)
	for _, mv := range moves {
		if !granted[mv.Worker] {
			ct.mu.Lock()
			ct.sizer.CancelMove(mv.Machine)
			ct.mu.Unlock()
			continue
		}
		ct.spawn(func() { ct.moveMachine(ctx, machines[mv.Machine], mv) })
	}
}

func (ct *machineController) moveMachine(ctx context.Context, mc machine.Machine, mv machine.Move) {
	oc := ct.sendOrder(ctx, mv.Machine, func(ctx context.Context) machine.Outcome {
		return ct.fl.opts.Machines.Move(ctx, mv.Machine, mv.To, ct.fl.opts.Name, ct.token)
	})
	ct.fl.opts.Log.Emit(event.MachineMoved, zap.String("machine", string(mv.Machine)), zap.String("worker", string(mv.Worker)), zap.String("from", string(mv.From)), zap.String("to", string(mv.To)), zap.Int("outcome", int(oc)), zap.Int64("token", int64(ct.token)))
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.sizer.MoveResult(mc, mv, oc)
	if oc == machine.Superseded {
		ct.waveRunner.Supersede()
	}
}
