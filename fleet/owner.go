package fleet

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// Intervals, timeouts and batch sizes of a cell owner.
const (
	// writeTimeout bounds one attempt at a write. A slow store takes about 400 ms.
	writeTimeout = 1500 * time.Millisecond
	// writeRetryDelay is the delay before a failed write is retried.
	writeRetryDelay = 200 * time.Millisecond
	// quiesceTimeout bounds how long a handover waits until the latest progress is saved.
	quiesceTimeout = 1500 * time.Millisecond
	// loadPollInterval is how often a new owner checks whether the tables that it needs have been read.
	loadPollInterval = 10 * time.Millisecond
	// planPauseFactor is the pause after a plan as a multiple of its duration, and maxPlanPause its upper bound.
	planPauseFactor = 2
	maxPlanPause    = 20 * time.Millisecond
	// archiveInterval is how often the rows of ended jobs are removed from the table of open jobs.
	archiveInterval = 3 * time.Second
	// archiveBacklogInterval is the delay before the next round while ended jobs remain in the table of open jobs. A new owner
	// has to read all of them.
	archiveBacklogInterval = 300 * time.Millisecond
	// archiveBatchSize is how many jobs are removed at once. At three rows each they stay below the limit of 100 entries per
	// transaction.
	archiveBatchSize = 32
	// archivePartsPerRound is how many parts a round removes rows from if each part needs its own transaction, since
	// transactions are expensive.
	archivePartsPerRound = 4
)

// owner runs the core of one cell: it passes events to the core, carries out the core's orders and stores its progress.
type owner struct {
	fl    *Fleet
	name  string
	epoch job.Epoch
	// silencesSince is the epoch from which on all owners have known the records of silent workers.
	silencesSince job.Epoch
	// rowVersion is the version of the cell's row. Each write of progress is conditional on it.
	rowVersion atomic.Int64
	lost       atomic.Bool
	// savingStopped is set once the store has refused a transaction that it will never take.
	savingStopped  atomic.Bool
	cancel         context.CancelFunc
	done           chan struct{}
	wakeup         chan struct{}
	writeQueue     *writeQueue
	jobs           *tableWatch
	mu             sync.Mutex // guards the fields below
	core           *cell.Core
	events         []func(*cell.Core, time.Time)
	storedProgress map[job.ID]Row
	// storedParts holds the rows that the first row of a job's progress names, as far as the job was not read yet.
	storedParts map[job.ID][][]byte
	orderQueues map[cell.WorkerID]*orderQueue
	relays      *relays
	quiescing   bool
	// partCounts is the number of such rows that the store has. Only the goroutine that writes uses it.
	partCounts map[job.ID]int
	// used is what the store holds of the workers in use. Only the goroutine that writes them uses it until writers is done.
	used    *usedWorkers
	writers sync.WaitGroup
	// claimedAt is when the cell was claimed.
	claimedAt time.Time
	// takenOver is set once the core knows the state that the previous owner left.
	takenOver bool
	// planned is set once the core has planned for the first time.
	planned bool
	pace    paceLog
}

// newOwner returns an owner whose core knows no jobs yet.
func newOwner(fl *Fleet, name string, row ownerRow, cancel context.CancelFunc) *owner {
	ow := &owner{
		fl: fl, name: name, epoch: row.epoch(), silencesSince: row.SilencesSince, cancel: cancel, done: make(chan struct{}), wakeup: make(chan struct{}, 1),
		writeQueue: newWriteQueue(), storedProgress: map[job.ID]Row{}, storedParts: map[job.ID][][]byte{}, partCounts: map[job.ID]int{}, orderQueues: map[cell.WorkerID]*orderQueue{},
		claimedAt: fl.opts.Now(), used: newUsedWorkers(name),
	}
	ow.relays = newRelays(ow)
	ow.rowVersion.Store(row.version)
	ow.core = cell.New(job.PoolID(name), ow.epoch, ow.cellOptions())
	ow.jobs = newTableWatch(fl, jobTable(name), fixedInterval(jobsInterval), jobsWait, ow.applyJobRows)
	return ow
}

// startOwner loads the state of a claimed cell and starts the owner's goroutines. previous is the row that the claim replaced.
func (fl *Fleet) startOwner(ctx context.Context, name string, row, previous ownerRow, sentAt time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	ow := newOwner(fl, name, row, cancel)
	claimedAt := fl.opts.Now()
	fl.mu.Lock()
	fl.owners[name] = ow
	fl.mu.Unlock()
	fl.registry.wake()
	fl.accounts.wake()
	if !ow.loadState(ctx) {
		close(ow.done)
		return
	}
	ow.mu.Lock()
	ow.takenOver = true
	used := trustedSilences(ow.used.refs(), ow.silencesSince)
	ow.core.NoteClaims(fl.members.seenClaims(name))
	ow.core.SetTimeOfDay(fl.opts.Now(), fl.opts.WallClock())
	ow.core.TakeOver(claimedAt, sentAt, used, previous.Released)
	ow.core.NoteUnseenLosses(ow.used.head.UnseenLossEpoch)
	if cf := fl.config.Load(); cf != nil {
		fl.configureCore(ow.core, cf)
	}
	for _, wk := range fl.workerCache.inPool(job.PoolID(name)) {
		ow.core.Register(claimedAt, wk)
	}
	ow.core.WorkersRecorded(used)
	ow.core.SetPausedQueues(fl.pausedQueues())
	ow.core.SetEvacuatedHalls(fl.evacuatedHalls())
	for _, ar := range fl.knownAccounts() {
		ow.core.UpdateAccount(ar)
	}
	ow.mu.Unlock()
	go ow.jobs.run(ctx)
	ow.writers.Go(func() { ow.runWrites(ctx) })
	go ow.runAccounts(ctx)
	go ow.runArchive(ctx)
	go ow.checkMachines(ctx)
	go ow.relays.run(ctx)
	go ow.run(ctx)
	fl.cordonWorkers()
}

// configureCore passes a configuration to the core of a cell.
func (fl *Fleet) configureCore(cr *cell.Core, cf *job.Configuration) {
	cr.Configure(cf.Queues)
	cr.SetOrganisations(cf)
	cr.SetLeaveAhead(fl.opts.Functions.LullMaintenance.Holds(cf))
}

// pool returns the pool that the cell serves.
func (ow *owner) pool() job.PoolID { return job.PoolID(ow.name) }

// cellOptions returns the fleet's cell options with a log that names this cell.
func (ow *owner) cellOptions() cell.Options {
	options := ow.fl.opts.Cell
	options.Log = func(dc cell.Decision) { ow.fl.logDecision(ow.name, ow.epoch, dc) }
	return options
}

// loadState reads the stored progress of the cell's jobs and its workers in use. No other owner can write them any more. It
// reports false if the owner was stopped or lost the cell.
func (ow *owner) loadState(ctx context.Context) bool {
	var wg sync.WaitGroup
	wg.Go(func() { ow.retryRead(ctx, ow.loadUsedWorkers) })
	ok := ow.retryRead(ctx, ow.loadProgress)
	wg.Wait()
	return ok && ctx.Err() == nil && !ow.lost.Load()
}

// retryRead retries a read until it succeeds. It reports false if the owner was stopped or lost the cell.
func (ow *owner) retryRead(ctx context.Context, read func(context.Context) error) bool {
	for ctx.Err() == nil && !ow.lost.Load() {
		if err := read(ctx); err == nil {
			return true
		}
		sleep(ctx, writeRetryDelay)
	}
	return false
}

func (ow *owner) loadProgress(ctx context.Context) error {
	rows, err := ow.fl.readPartSince(ctx, tableProgress, ow.name, ow.rowVersion.Load())
	clear(ow.storedParts)
	for _, rw := range rows {
		ow.addStoredProgress(rw)
	}
	return err
}

func (ow *owner) loadUsedWorkers(ctx context.Context) error {
	used, err := ow.fl.readUsedWorkers(ctx, ow.name, ow.rowVersion.Load())
	if err == nil {
		ow.used = used
	}
	return err
}

// applyJobRows applies new jobs and cancellations from the table of open jobs. Several cells may share the table.
func (ow *owner) applyJobRows(rows []Row, _ time.Time) {
	for _, rw := range rows {
		if rw.Deleted {
			continue
		}
		if id, cancelled := strings.CutSuffix(rw.Key, cancelSuffix); cancelled {
			ow.post(func(cr *cell.Core, now time.Time) { cr.Cancel(now, job.ID(id)) })
			continue
		}
		ow.addJob(rw.Value)
	}
}

// addJob decodes a job's row and adds the job if it belongs to this cell.
func (ow *owner) addJob(raw []byte) {
	sp, err := job.DecodeSpec(raw)
	if err != nil {
		ow.fl.opts.Log.Emit(event.JobRowRejected, zap.String("cell", ow.name), zap.Error(err))
		return
	}
	if cellName(sp.Pool) != ow.name {
		return
	}
	ow.post(func(cr *cell.Core, now time.Time) { cr.Add(now, ow.withStoredProgress(sp)) })
}

// withStoredProgress combines a job with its stored progress. The caller holds the lock.
func (ow *owner) withStoredProgress(sp *job.Spec) cell.StoredJob {
	sj := cell.StoredJob{Spec: sp}
	rw, ok := ow.storedProgress[sp.ID]
	if !ok {
		return sj
	}
	parts := ow.storedParts[sp.ID]
	delete(ow.storedProgress, sp.ID)
	delete(ow.storedParts, sp.ID)
	pg, err := job.DecodeProgressRows(append([][]byte{rw.Value}, parts...))
	if err != nil {
		ow.fl.opts.Log.Emit(event.JobRowRejected, zap.String("cell", ow.name), zap.String("job", string(sp.ID)), zap.Error(err))
		return sj
	}
	sj.Progress, sj.Version = pg, rw.Version
	return sj
}

// post queues an event for the core and wakes the owner.
func (ow *owner) post(ev func(*cell.Core, time.Time)) {
	ow.mu.Lock()
	ow.events = append(ow.events, ev)
	ow.mu.Unlock()
	ow.wake()
}

// wake makes the owner plan without waiting for its timer.
func (ow *owner) wake() {
	select {
	case ow.wakeup <- struct{}{}:
	default:
	}
}

// run passes events to the core and carries out its orders until the context ends.
func (ow *owner) run(ctx context.Context) {
	defer close(ow.done)
	// The core treats a worker without a registration as leaving, so wait for the registrations. Without the operator's rows it
	// would start tasks in data halls that are evacuated.
	for ctx.Err() == nil && !(ow.jobs.loaded() && ow.fl.registry.loaded() && ow.fl.operator.loaded()) {
		sleep(ctx, loadPollInterval)
	}
	ow.fl.opts.Log.Emit(event.CellLoaded, zap.String("cell", ow.name), zap.Int64("epoch", int64(ow.epoch)))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ow.wakeup:
		case <-timer.C:
		}
		began := ow.fl.opts.Now()
		orders, wake := ow.plan()
		planned := ow.fl.opts.Now()
		for _, od := range orders {
			ow.execute(ctx, od)
		}
		sleep(ctx, planPause(planned.Sub(began)))
		timer.Reset(max(time.Millisecond, wake.Sub(ow.fl.opts.Now())))
	}
}

// planPause returns how long an owner waits after a plan that took the given time, so that planning leaves most of the processor to
// the calls that carry out its orders. A plan costs as much for one event as for all that arrive meanwhile.
func planPause(took time.Duration) time.Duration {
	return min(maxPlanPause, planPauseFactor*took)
}

// plan passes the queued events to the core and returns its orders, and when to plan next.
func (ow *owner) plan() ([]cell.Order, time.Time) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	events := ow.events
	ow.events = nil
	now := ow.fl.opts.Now()
	defer ow.logPace(now)
	ow.core.SetTimeOfDay(now, ow.fl.opts.WallClock())
	_, registered := ow.fl.registry.healthyPeriod()
	ow.core.RegistrationsRead(registered)
	_, evacuationsKnown := ow.fl.operator.healthyPeriod()
	ow.core.EvacuationsRead(evacuationsKnown)
	for _, ev := range events {
		ev(ow.core, now)
	}
	if ow.lost.Load() || ow.quiescing {
		return nil, now.Add(time.Second)
	}
	orders := ow.core.Plan(now)
	ow.planned = true
	if ow.core.Superseded() {
		ow.lost.Store(true)
		return nil, now.Add(time.Second)
	}
	return orders, ow.core.Wake()
}

// execute starts to carry out an order. Its result is posted to the core as an event.
func (ow *owner) execute(ctx context.Context, od cell.Order) {
	switch order := od.(type) {
	case cell.Poll:
		ow.fl.metrics.polls.Inc(1)
		if !ow.relays.send(ctx, order.Worker, order) {
			go func() { ow.handlePollResult(ow.fl.opts.Workers.Poll(ctx, order)) }()
		}
	case cell.Start:
		ow.fl.metrics.starts.Inc(1)
		ow.sendOrder(ctx, order.Worker, order)
	case cell.Stop:
		ow.sendOrder(ctx, order.Worker, order)
	case cell.Throttle:
		ow.sendOrder(ctx, order.Worker, order)
	case cell.Save, cell.RecordWorkers:
		ow.writeQueue.add(ow.fl.opts.Now(), od)
	case cell.Advise:
		go ow.requestAdvice(ctx, order)
	}
}

// sendOrder sends an order to a worker, through a peer if a peer relays the orders for this worker.
func (ow *owner) sendOrder(ctx context.Context, id cell.WorkerID, od cell.Order) {
	if ow.relays.send(ctx, id, od) {
		return
	}
	ow.fl.attachPayload(ctx, od, func(od cell.Order) { ow.orderQueue(id).enqueue(ctx, od, ow.handleOrderResult) }, func() {
		now := ow.fl.opts.Now()
		ow.handleOrderResult(cell.OrderResult{Order: od, Outcome: cell.PayloadMissing, Sent: now, Received: now})
	})
}

func (ow *owner) handlePollResult(result cell.PollResult) {
	ow.post(func(cr *cell.Core, now time.Time) { cr.HandlePoll(now, result) })
}

func (ow *owner) handleOrderResult(result cell.OrderResult) {
	ow.fl.metrics.countOutcome(result.Outcome)
	ow.post(func(cr *cell.Core, now time.Time) { cr.HandleOrder(now, result) })
}

// orderQueue returns the queue of a worker that gets its orders directly from this instance.
func (ow *owner) orderQueue(id cell.WorkerID) *orderQueue {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	oq, ok := ow.orderQueues[id]
	if !ok {
		oq = newOrderQueue(ow.fl.opts.Workers, ow.fl.opts.Now, ow.fl.hallEvacuated)
		ow.orderQueues[id] = oq
	}
	return oq
}

func (ow *owner) requestAdvice(ctx context.Context, ad cell.Advise) {
	var tickets []cell.Ticket
	var valid time.Duration
	var err error
	if ow.fl.opts.Adviser != nil {
		tickets, valid, err = ow.fl.opts.Adviser.Advise(ctx, ad)
	}
	if err != nil {
		ow.fl.opts.Log.Emit(event.AdviceFailed, zap.String("job", string(ad.Job)), zap.Error(err))
	}
	ow.post(func(cr *cell.Core, now time.Time) { cr.Advised(now, ad, tickets, valid) })
}

// startLatency returns how long recent starts took, 0 if none was answered.
func (ow *owner) startLatency() time.Duration {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	latency, answered := ow.core.StartLatency()
	if answered == 0 {
		return 0
	}
	return latency
}

// loseOwnership stops planning because another instance may own the cell.
func (ow *owner) loseOwnership(why string) {
	ow.lost.Store(true)
	ow.post(func(cr *cell.Core, _ time.Time) { cr.Supersede(why) })
}

func (ow *owner) isLost() bool { return ow.lost.Load() }

// stop ends the owner's goroutines.
func (ow *owner) stop() { ow.cancel() }

// quiesce stops sending orders and waits until the results that are already known are saved.
func (ow *owner) quiesce(ctx context.Context) {
	until := ow.fl.opts.Now().Add(quiesceTimeout)
	for ctx.Err() == nil && !ow.lost.Load() && ow.fl.opts.Now().Before(until) {
		ow.mu.Lock()
		ow.quiescing = true
		unsaved := ow.core.Saving() || len(ow.events) > 0
		var orders []cell.Order
		if unsaved {
			orders = saveOrders(ow.core.Plan(ow.fl.opts.Now()))
		}
		ow.mu.Unlock()
		if !unsaved {
			return
		}
		for _, od := range orders {
			ow.execute(ctx, od)
		}
		sleep(ctx, 20*time.Millisecond)
	}
}

// saveOrders returns the orders that save progress. The next owner plans the others again.
func saveOrders(orders []cell.Order) []cell.Order {
	var saves []cell.Order
	for _, od := range orders {
		if sv, ok := od.(cell.Save); ok {
			saves = append(saves, sv)
		}
	}
	return saves
}

// handover returns the change that makes the store list the workers on which this owner or an earlier one may have started tasks,
// for the transaction that releases the cell, and whether no other worker can hold a lease then. What does not fit into that
// transaction is stored before. An owner that releases the cell before its takeover is complete leaves the rows as it found them.
// The owner must have been stopped.
func (ow *owner) handover(ctx context.Context) (last usedHandover, complete bool) {
	last = usedHandover{ow: ow}
	ow.writers.Wait()
	ow.mu.Lock()
	if !ow.takenOver {
		ow.mu.Unlock()
		return last, false
	}
	last.change = ow.used.diff(ow.core.Release(ow.fl.opts.Now()), ow.core.UnseenLossEpoch())
	ow.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for last.change.entryCount() > maxHandoverEntries {
		if !ow.commitPart(ctx, nil, &last.change) {
			return usedHandover{ow: ow}, false
		}
	}
	return last, true
}

// canMove reports whether the cell can move to another instance: it has been here for some time, nothing of earlier owners is
// unresolved, the workers with tasks answer, and no job is waiting unless evenIfWaiting is set.
func (ow *owner) canMove(now time.Time, evenIfWaiting bool) bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.planned && ow.core.TakeoverComplete() && !ow.core.HoldsUnreached() && now.Sub(ow.claimedAt) > cellMoveInterval && (evenIfWaiting || !ow.core.HasPending(now))
}
