// Package fleet runs cells of jobs on an entry instance. It stores jobs in the platform's store, divides the cells among the
// entry instances, and carries out the orders of the cells' cores.
package fleet

import (
	"context"
	"hash/fnv"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/clock"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
	"github.com/aspenseam/aspenseam/table"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Tables of the store that belong to the fleet.
const (
	// tableControl holds the owners of cells, the entry instances, the machines to be drained and the paused queues. All entry
	// instances follow it.
	tableControl = "control"
	// tableHome holds a row with the cell of each accepted job until the job's retention period is over.
	tableHome = "home"
	// tableProgress holds the progress of jobs, in one part for each cell.
	tableProgress = "progress"
	// tablePayload holds the payloads of open jobs. They are separate from the jobs because owners read the jobs but seldom
	// need the payloads.
	tablePayload = "payload"
	// tableAccount holds a row for each organisation with a maximum, with the part of the maximum that each cell holds. Owners
	// follow it.
	tableAccount = "account"
	// tableUsed holds the workers on which the owners of each cell may have started tasks, in one part for each cell.
	tableUsed = "used"
	// tableCooldown holds the machines that the next leader of the machine controller must not send orders for yet.
	tableCooldown = "cooldown"
	// tableWithdrawal holds a row for each job that was cancelled before the store had it, so that its row among the home rows is found and deleted.
	tableWithdrawal = "withdrawal"
	// tableJob is the prefix of the tables of open jobs. Each cell uses one table, and several cells may share it.
	tableJob = "job"
)

// Partitioning of the store.
const (
	// homePartCount is the number of parts that jobs are spread over. A part serializes its transactions: a fast store commits
	// about 300 a second in one part, and a slow one proportionally fewer. All instances use the same parts, so that a repeated
	// submission finds the first one wherever it arrives. With this many parts a store that is sixty times slower still accepts
	// 320 jobs a second.
	homePartCount = 64
	// jobTableCount bounds the number of tables of open jobs, whatever the number of cells.
	jobTableCount = 16
)

// Options configure a fleet node.
type Options struct {
	// Name is the name of the entry instance.
	Name string
	Hall job.HallID
	// Halls are all data halls.
	Halls []job.HallID
	// Address is the IP and port under which other entry instances reach this one.
	Address     string
	Incarnation string
	// Power is the instance's share of a CPU core.
	Power float64
	Seeds []string
	Store Store
	// SinglePartTx means that the store does not support transactions over several parts.
	SinglePartTx bool
	// MaxRowBytes is the maximum number of bytes of a row's value, 0 for the default.
	MaxRowBytes int
	Workers     Workers
	Adviser     Adviser
	Machines    Machines
	// MachineOrderRate is how many orders for machines the platform takes a second from all instances, 0 if it states none.
	MachineOrderRate float64
	Format           Format
	Cell             cell.Options
	Sizes            machine.SizeOptions
	Functions        Functions
	Log              *event.Logger
	Registry         metrics.Registry
	// Bytes counts the bytes that the instance's connections transfer, nil if they are not counted.
	Traffic *Traffic
	Now     func() time.Time
	// WallClock returns the time of day, which the due times of jobs refer to.
	WallClock func() time.Time
}

// Functions says for which configurations the optional functions of a fleet are used.
type Functions struct {
	// Admission accepts a job while machines are short only if it can end while its result is useful.
	Admission job.Condition
	// Forecast learns the turns of the pools' demand and moves machines before a turn begins.
	Forecast job.Condition
	// PackLateJobs makes late jobs use only as many machines as their pool may keep while pools lack some.
	PackLateJobs job.Condition
	// LullMaintenance lets a wave take the machines that their pools do not need at the moment, and the others as late as its duration allows. Tasks
	// with checkpoints leave its machines and continue elsewhere.
	LullMaintenance job.Condition
}

// Fleet is the part of one entry instance in running the jobs.
type Fleet struct {
	opts   Options
	store  *storeClient
	peers  *peers
	config atomic.Pointer[job.Configuration]
	// control, operator and registry follow the tables of these names.
	control  *tableWatch
	operator *tableWatch
	registry *tableWatch
	// accounts follows the parts of organisations' maxima that cells hold.
	accounts    *tableWatch
	members     *members
	mu          sync.Mutex // guards owners and claiming
	owners      map[string]*owner
	claiming    map[string]bool
	workerCache *workerCache
	intakes     [homePartCount]*intake
	pending     pendingCounts
	homes       homeCache
	payloads    *payloadCache
	fullQueues  fullQueueSet
	admission   *admission
	stopping    atomic.Bool
	// separatePayloads is set while all live instances can read payloads that are stored separately from jobs.
	separatePayloads atomic.Bool
	controller       *machineController
	partition        *partitionDetector
	relay            *relay
	// readers is the pool of goroutines that read the parts of tables.
	readers pond.Pool
	// paused holds the queues that an operator has paused. The map is replaced, never changed.
	paused      atomic.Pointer[map[job.QueueID]bool]
	evacuations evacuationSet
	// relayIDs numbers the orders that are relayed to peers.
	relayIDs atomic.Uint64
	// withdrawals limits the cancellations of jobs that the store does not have.
	withdrawals *rate.Limiter
	// background is the context of Run, for work that outlives a call.
	background context.Context
	metrics    fleetMetrics
}

// New returns a fleet node.
func New(options Options) *Fleet {
	options.Cell = options.Cell.WithDefaults()
	if options.MaxRowBytes == 0 {
		options.MaxRowBytes = defaultMaxRowBytes
	}
	if options.Sizes == (machine.SizeOptions{}) {
		options.Sizes = machine.DefaultSizes()
	}
	if options.WallClock == nil {
		options.WallClock = time.Now
		if options.Now != nil {
			options.WallClock = options.Now
		}
	}
	if options.Now == nil {
		options.Now = clock.Now
	}
	if options.Log == nil {
		options.Log = event.Nop()
	}
	if options.Registry == nil {
		options.Registry = metrics.NewRegistry()
	}
	if options.Incarnation == "" {
		options.Incarnation = table.NewID()
	}
	options.Workers = &adaptiveWorkers{Workers: options.Workers}
	fl := &Fleet{background: context.Background(), opts: options, owners: map[string]*owner{}, claiming: map[string]bool{}, workerCache: newWorkerCache(), payloads: newPayloadCache(), readers: pond.NewPool(parallelReads), withdrawals: newWithdrawalLimiter()}
	fl.metrics = newFleetMetrics(options.Registry)
	fl.peers = newPeers(fl)
	fl.admission = newAdmission(fl)
	fl.store = newStoreClient(options.Store, fl.peers, options.Log, options.Now, fl.metrics)
	fl.members = newMembers(options.Now, options.Log)
	fl.control = newTableWatch(fl, tableControl, fl.controlPollInterval, controlWait, fl.applyControlRows)
	fl.operator = newTableWatch(fl, options.Format.OperatorTable(), fixedInterval(operatorInterval), feedWait, fl.applyOperatorRows)
	fl.registry = newTableWatch(fl, options.Format.RegistryTable(), fixedInterval(registryInterval), feedWait, fl.applyRegistrations)
	fl.registry.idle, fl.registry.onIdle = fl.ownsNoCells, fl.workerCache.reset
	fl.accounts = newTableWatch(fl, tableAccount, fixedInterval(accountFeedInterval), feedWait, fl.applyAccountRows)
	fl.accounts.idle, fl.accounts.onIdle = fl.accountsUnused, func() {}
	for part := range fl.intakes {
		fl.intakes[part] = newIntake(fl, part)
	}
	fl.controller = newMachineController(fl)
	fl.partition = &partitionDetector{fl: fl}
	fl.relay = newRelay(fl)
	fl.registerWaitGauges(options.Registry)
	return fl
}

// Run runs the node until the context ends.
func (fl *Fleet) Run(ctx context.Context) {
	fl.background = ctx
	var wg sync.WaitGroup
	for _, wt := range []*tableWatch{fl.control, fl.operator, fl.registry, fl.accounts} {
		wg.Go(func() { wt.run(ctx) })
	}
	for _, in := range fl.intakes {
		wg.Go(func() { in.run(ctx) })
	}
	wg.Go(func() { fl.heartbeat(ctx) })
	wg.Go(func() { fl.logTraffic(ctx) })
	wg.Go(func() { fl.runOwnership(ctx) })
	wg.Go(func() { fl.partition.run(ctx) })
	wg.Wait()
}

// HandOver releases all cells, so that other instances claim them at once. The instance continues to accept jobs and to answer
// calls.
func (fl *Fleet) HandOver(ctx context.Context) {
	fl.stopping.Store(true)
	fl.releaseAll(ctx)
}

// Ready reports whether the instance can serve: it has a configuration, knows the owners of cells, and is not cut off from the
// store and the other data halls. Callers of an instance that is cut off are better served by another data hall.
func (fl *Fleet) Ready() bool {
	return !fl.stopping.Load() && !fl.CutOff() && fl.config.Load() != nil && fl.control.loaded()
}

// Configuration returns the current configuration, nil before the first one was read.
func (fl *Fleet) Configuration() *job.Configuration { return fl.config.Load() }

// applyOperatorRows applies changes of the operator table.
func (fl *Fleet) applyOperatorRows(rows []Row, _ time.Time) {
	for _, rw := range rows {
		fl.applyOperatorRow(rw)
	}
}

func (fl *Fleet) applyOperatorRow(rw Row) {
	cf, err := fl.opts.Format.Configuration(rw)
	if err != nil {
		fl.opts.Log.Emit(event.OperatorRowRejected, zap.String("key", rw.Key), zap.Error(err))
		return
	}
	if cf != nil {
		fl.applyConfiguration(cf)
		return
	}
	if fl.applyOperatorEvacuation(rw) {
		return
	}
	wv, err := fl.opts.Format.Wave(rw)
	if err != nil {
		fl.opts.Log.Emit(event.OperatorRowRejected, zap.String("key", rw.Key), zap.Error(err))
		return
	}
	if wv != nil {
		fl.controller.applyWave(*wv, rw.Deleted)
	}
}

// applyConfiguration replaces the configuration unless the current one is newer.
func (fl *Fleet) applyConfiguration(cf *job.Configuration) {
	for {
		old := fl.config.Load()
		if old != nil && old.Version >= cf.Version {
			return
		}
		if old != nil {
			fl.pending.addMoves(old, cf)
		}
		if fl.config.CompareAndSwap(old, cf) {
			break
		}
	}
	fl.opts.Log.Emit(event.QueuesInForce, zap.Int64("version", cf.Version), zap.Int("queues", len(cf.Queues)), zap.Int("pools", len(cf.Pools)), zap.Int("organisations", len(cf.Organisations.List())))
	fl.logSharedKeys(cf)
	for _, ow := range fl.allOwners() {
		ow.post(func(cr *cell.Core, _ time.Time) { fl.configureCore(cr, cf) })
	}
	fl.accounts.wake()
}

func (fl *Fleet) allOwners() []*owner {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	list := make([]*owner, 0, len(fl.owners))
	for _, ow := range fl.owners {
		list = append(list, ow)
	}
	return list
}

func (fl *Fleet) ownerOf(name string) *owner {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.owners[name]
}

// cellName returns the cell of a pool. If large pools are ever divided into several cells, their jobs will be spread by id.
func cellName(pool job.PoolID) string { return string(pool) }

func hash(text string) uint32 {
	sum := fnv.New32a()
	// Writing to a hash cannot fail.
	_, _ = sum.Write([]byte(text))
	return sum.Sum32()
}

// homePart returns the part of a job's rows. It is the same for every attempt at every entry instance.
func homePart(id job.ID) int { return int(hash(string(id)) % homePartCount) }

func partName(part int) string { return "p" + strconv.Itoa(part) }

// jobTable returns the table of a cell's open jobs.
func jobTable(name string) string {
	return tableJob + string(rune('a'+hash(name)%jobTableCount))
}

// cancelSuffix is appended to a job's key to form the key of its cancellation.
const cancelSuffix = "/c"
