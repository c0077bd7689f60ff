// Package fleet runs cells of jobs on an entry instance: it keeps jobs in the platform's store, shares cells among the entry instances, and carries out what their cores decide.
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
)

// The tables of the store that are the fleet's own.
const (
	// tableControl holds the owners of cells, the entry instances and the machines that are wanted. All entry instances follow it.
	tableControl = "control"
	// tableHome holds a row for each job that was ever accepted, with its cell, until its retention is over.
	tableHome = "home"
	// tableProgress holds what is kept of the course of jobs, in a part for each cell.
	tableProgress = "progress"
	// tablePayload holds what the tasks of open jobs are given, apart from the jobs, since those are read by owners that seldom need it.
	tablePayload = "payload"
	// tableAccount holds a row for each organisation with a maximum: what each cell has of it. Owners follow it.
	tableAccount = "account"
	// tableJob begins the names of the tables of open jobs; each cell has one, which several may share.
	tableJob = "job"
)

// Shares of the store.
const (
	// homeParts spreads jobs over parts, since each part takes its transactions in turn: some 300 a second, and fewer by as much as a store
	// is slow. Jobs of all instances share the parts, so that a second try finds the first wherever it comes; with this many a store that is
	// sixty times slower still takes 320 jobs a second.
	homePartCount = 64
	// jobTables bounds the number of tables however many cells there are.
	jobTableCount = 16
)

// Options are what a fleet node is built with.
type Options struct {
	// Name is the entry instance's.
	Name string
	Hall string
	// Address is where other entry instances reach it, IP and port.
	Address     string
	Incarnation string
	// Power is the instance's share of a core.
	Power float64
	Seeds []string
	Store Store
	// OnePart means that the store takes no transaction over rows of several parts.
	SinglePartTx bool
	Workers      Workers
	Adviser      Adviser
	Machines     Machines
	Format       Format
	Cell         cell.Options
	Sizes        machine.SizeOptions
	Log          *event.Logger
	Registry     metrics.Registry
	// Bytes counts what the instance's connections move; nil if nothing does.
	Bytes *Traffic
	Now   func() time.Time
	// Day is the time of day, in which jobs have due times.
	WallClock func() time.Time
}

// Fleet is one entry instance's part in running the jobs.
type Fleet struct {
	opts   Options
	store  *storeClient
	peers  *peers
	config atomic.Pointer[job.Configuration]
	// control, operator and registry follow the tables of the same matter.
	control  *tableWatch
	operator *tableWatch
	registry *tableWatch
	// accounts follows what cells hold of organisations' maxima.
	accounts    *tableWatch
	members     *members
	mu          sync.Mutex // guards owners and claiming
	owners      map[string]*owner
	claiming    map[string]bool
	workerCache *workerCache
	intakes     [homePartCount]*intake
	pending     pendingCache
	homes       homeCache
	payloads    *payloadCache
	fullQueues  fullQueueSet
	stopping    atomic.Bool
	// apart is set while all instances that live read payloads apart from jobs.
	separatePayloads atomic.Bool
	controller       *machineController
	partition        *partitionDetector
	relay            *relay
	// readers read the parts of tables.
	readers pond.Pool
	// paused holds the queues that an operator has paused.
	paused atomic.Pointer[map[job.QueueID]bool]
	// errands numbers the orders that peers are given.
	relayIDs atomic.Uint64
	// background ends when the process does.
	background context.Context
	metrics    fleetMetrics
}

// New returns a fleet node.
func New(options Options) *Fleet {
	options.Cell = options.Cell.WithDefaults()
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
	fl := &Fleet{background: context.Background(), opts: options, owners: map[string]*owner{}, claiming: map[string]bool{}, workerCache: newWorkerCache(), payloads: newPayloadCache(), readers: pond.NewPool(parallelReads)}
	fl.metrics = newFleetMetrics(options.Registry)
	fl.peers = newPeers(fl)
	fl.store = newStoreClient(options.Store, fl.peers, options.Log, options.Now, fl.metrics)
	fl.members = newMembers(options.Now, options.Log)
	fl.control = newTableWatch(fl, tableControl, fl.controlPollInterval, controlWait, fl.applyControlRows)
	fl.operator = newTableWatch(fl, options.Format.OperatorTable(), fixedInterval(operatorInterval), feedWait, fl.operatorChanged)
	fl.registry = newTableWatch(fl, options.Format.RegistryTable(), fixedInterval(registryInterval), feedWait, fl.applyRegistrations)
	fl.registry.idle, fl.registry.onIdle = fl.ownsNoCells, fl.workerCache.reset
	fl.accounts = newTableWatch(fl, tableAccount, fixedInterval(accountFeedInterval), feedWait, fl.accountsChanged)
	fl.accounts.idle, fl.accounts.onIdle = fl.accountsUnused, func() {}
	for part := range fl.intakes {
		fl.intakes[part] = newIntake(fl, part)
	}
	fl.controller = newMachineController(fl)
	fl.partition = &partitionDetector{fl: fl}
	fl.relay = newRelay(fl)
	return fl
}

// Run works until the context ends.
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

// HandOver leaves all cells without an owner, so that others take them at once. The instance goes on accepting and answering.
func (fl *Fleet) HandOver(ctx context.Context) {
	fl.stopping.Store(true)
	fl.releaseAll(ctx)
}

// Ready reports whether the instance can serve: it has a configuration, knows the owners of cells, and is not cut off from the store and
// the other halls, where its callers are served better.
func (fl *Fleet) Ready() bool {
	return !fl.stopping.Load() && !fl.CutOff() && fl.config.Load() != nil && fl.control.loaded()
}

// Configuration returns the configuration in force, nil before the first.
func (fl *Fleet) Configuration() *job.Configuration { return fl.config.Load() }

// operatorChanged takes changes of the operator's rows.
func (fl *Fleet) operatorChanged(rows []Row, _ time.Time) {
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
	wv, err := fl.opts.Format.Wave(rw)
	if err != nil {
		fl.opts.Log.Emit(event.OperatorRowRejected, zap.String("key", rw.Key), zap.Error(err))
		return
	}
	if wv != nil {
		fl.controller.applyWave(*wv, rw.Deleted)
	}
}

// takeConfiguration puts a configuration in force unless a newer one is.
func (fl *Fleet) applyConfiguration(cf *job.Configuration) {
	for {
		old := fl.config.Load()
		if old != nil && old.Version >= cf.Version {
			return
		}
		if fl.config.CompareAndSwap(old, cf) {
			break
		}
	}
	fl.opts.Log.Emit(event.QueuesInForce, zap.Int64("version", cf.Version), zap.Int("queues", len(cf.Queues)), zap.Int("pools", len(cf.Pools)), zap.Int("organisations", len(cf.Organisations.List())))
	fl.logSharedKeys(cf)
	for _, ow := range fl.allOwners() {
		ow.post(func(cr *cell.Core, _ time.Time) { cr.Configure(cf.Queues); cr.SetOrganisations(cf) })
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

// cellName is the cell of a pool. Large pools are to have several; their jobs are then spread by id.
func cellName(pool job.PoolID) string { return string(pool) }

func hash(text string) uint32 {
	sum := fnv.New32a()
	// Writing to a hash cannot fail.
	_, _ = sum.Write([]byte(text))
	return sum.Sum32()
}

// homePart is the part in which a job's rows lie: the same for every try at every entry instance.
func homePart(id job.ID) int { return int(hash(string(id)) % homePartCount) }

func partName(part int) string { return "p" + strconv.Itoa(part) }

// jobTable is the table of a cell's open jobs.
func jobTable(name string) string {
	return tableJob + string(rune('a'+hash(name)%jobTableCount))
}

// cancelSuffix marks the key of a cancellation beside its job's.
const cancelSuffix = "/c"
