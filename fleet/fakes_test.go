package fleet

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
)

// noneEvacuated reports that no data hall is evacuated.
func noneEvacuated(job.HallID) bool { return false }

// testTimeout bounds how long a test waits for a condition, testPollInterval is how often it checks the condition.
const (
	testTimeout      = 60 * time.Second
	testPollInterval = 10 * time.Millisecond
)

// maxRowBytes is the largest row that the store takes. The platform's limit applies to the encoded value, which is a third longer.
const maxRowBytes = 65536 * 3 / 4

// maxTxEncodedBytes is the largest transaction that the store takes, with its values in base64.
const maxTxEncodedBytes = 1_000_000

// tooLarge reports whether the store never takes a transaction.
func (tx Tx) tooLarge() bool {
	encoded := 0
	for _, rw := range tx.Write {
		if len(rw.Value) > maxRowBytes || len(rw.Key) > maxKeyBytes {
			return true
		}
		encoded += base64.StdEncoding.EncodedLen(len(rw.Value)) + len(rw.Table) + len(rw.Part) + len(rw.Key)
	}
	return tx.entryCount() > 100 || encoded > maxTxEncodedBytes
}

// memStore is an in-memory store, shared by all nodes of a test.
type memStore struct {
	mu      sync.Mutex
	version int64
	rows    map[Place]Row
	history []Row
	changed chan struct{}
	// refuses selects the rows that the store never takes. It is nil if there are none.
	refuses func(Row) bool
}

func newMemStore() *memStore {
	return &memStore{version: 1, rows: map[Place]Row{}, changed: make(chan struct{})}
}

func (ms *memStore) commit(tx Tx) (int64, error) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	var cf Conflict
	conflict := false
	for _, ex := range tx.Expect {
		rw := ms.rows[ex.Place]
		conflict = conflict || rw.Version != ex.Version
		rw.Table, rw.Part, rw.Key = ex.Place.Table, ex.Place.Part, ex.Place.Key
		cf.Rows = append(cf.Rows, rw)
	}
	if conflict {
		return 0, &cf
	}
	if tx.tooLarge() || ms.refuses != nil && slices.ContainsFunc(tx.Write, ms.refuses) {
		return 0, ErrInvalid
	}
	ms.version++
	for _, rw := range tx.Write {
		rw.Version = ms.version
		ms.rows[rw.Place()] = rw
		ms.history = append(ms.history, rw)
	}
	for _, place := range tx.Remove {
		if _, exists := ms.rows[place]; exists {
			delete(ms.rows, place)
			ms.history = append(ms.history, Row{Table: place.Table, Part: place.Part, Key: place.Key, Version: ms.version, Deleted: true})
		}
	}
	close(ms.changed)
	ms.changed = make(chan struct{})
	return ms.version, nil
}

func (ms *memStore) read(qu Query) Page {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	pg := Page{Version: ms.version}
	for place, rw := range ms.rows {
		if place.Table == qu.Table && place.Part == qu.Part && place.Key >= qu.From && (qu.To == "" || place.Key < qu.To) {
			pg.Rows = append(pg.Rows, rw)
		}
	}
	slices.SortFunc(pg.Rows, func(one, other Row) int { return strings.Compare(one.Key, other.Key) })
	if qu.Limit > 0 && len(pg.Rows) > qu.Limit {
		pg.Rows, pg.More = pg.Rows[:qu.Limit], true
	}
	return pg
}

// changes returns all changes since the store was created, in their order.
func (ms *memStore) changes() []Row {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return slices.Clone(ms.history)
}

func (ms *memStore) feed(ctx context.Context, table string, after int64, wait time.Duration) Page {
	timer := time.After(wait)
	for {
		ms.mu.Lock()
		pg, changed := Page{Version: ms.version}, ms.changed
		for _, rw := range ms.history {
			if rw.Table == table && rw.Version > after {
				pg.Rows = append(pg.Rows, rw)
			}
		}
		ms.mu.Unlock()
		if len(pg.Rows) > 0 {
			return pg
		}
		select {
		case <-changed:
		case <-timer:
			return pg
		case <-ctx.Done():
			return pg
		}
	}
}

// faultyStore is one node's access to the store. It can inject faults.
type faultyStore struct {
	mem *memStore
	mu  sync.Mutex
	// refuse makes the store refuse every call, unresponsive leaves every call unanswered and without effect.
	refuse, unresponsive bool
	// hangFeed selects the tables whose feed calls are never answered.
	hangFeed func(table string) bool
	// singlePartTx makes the store refuse transactions over several parts.
	singlePartTx bool
	// dropAnswer selects the transactions that are carried out but not answered.
	dropAnswer func(Tx) bool
	// postpone selects the transactions that are not answered and are carried out only when postponed ones are.
	postpone  func(Tx) bool
	postponed []Tx
	// feeds counts the feed calls for each table, reads the reads of each table's rows.
	feeds, reads map[string]int
}

// readCalls returns how often rows of a table were read.
func (fs *faultyStore) readCalls(table string) int {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.reads[table]
}

// feedCalls returns how often the changes of a table were requested.
func (fs *faultyStore) feedCalls(table string) int {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.feeds[table]
}

func (fs *faultyStore) set(change func(*faultyStore)) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	change(fs)
}

// fault returns the error that the injected faults cause. An unresponsive store blocks until the context ends.
func (fs *faultyStore) fault(ctx context.Context) error {
	fs.mu.Lock()
	refuse, unresponsive := fs.refuse, fs.unresponsive
	fs.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return ErrNoAnswer
	}
	if refuse {
		return ErrRefused
	}
	return nil
}

func (fs *faultyStore) Commit(ctx context.Context, tx Tx) (int64, error) {
	if err := fs.fault(ctx); err != nil {
		return 0, err
	}
	fs.mu.Lock()
	refused := fs.singlePartTx && tx.parts() > 1
	late := fs.postpone != nil && fs.postpone(tx)
	if late {
		fs.postponed = append(fs.postponed, tx)
	}
	fs.mu.Unlock()
	switch {
	case refused:
		return 0, ErrRefused
	case late:
		return 0, ErrNoAnswer
	}
	version, err := fs.mem.commit(tx)
	fs.mu.Lock()
	lost := fs.dropAnswer != nil && fs.dropAnswer(tx)
	fs.mu.Unlock()
	if lost {
		return 0, ErrNoAnswer
	}
	return version, err
}

// commitPostponed carries out the postponed transactions whose conditions still hold, and returns how many there were and how many had an effect.
func (fs *faultyStore) commitPostponed() (postponed, done int) {
	fs.mu.Lock()
	list := fs.postponed
	fs.postponed, fs.postpone = nil, nil
	fs.mu.Unlock()
	for _, tx := range list {
		if _, err := fs.mem.commit(tx); err == nil {
			done++
		}
	}
	return len(list), done
}

// parts returns the number of parts that hold the rows of a transaction.
func (tx Tx) parts() int {
	parts := map[string]bool{}
	for _, ex := range tx.Expect {
		parts[ex.Place.Part] = true
	}
	for _, rw := range tx.Write {
		parts[rw.Part] = true
	}
	for _, place := range tx.Remove {
		parts[place.Part] = true
	}
	return len(parts)
}

func (fs *faultyStore) Read(ctx context.Context, qu Query) (Page, error) {
	fs.set(func(fs *faultyStore) {
		if fs.reads == nil {
			fs.reads = map[string]int{}
		}
		fs.reads[qu.Table]++
	})
	if err := fs.fault(ctx); err != nil {
		return Page{}, err
	}
	return fs.mem.read(qu), nil
}

func (fs *faultyStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	fs.set(func(fs *faultyStore) {
		if fs.feeds == nil {
			fs.feeds = map[string]int{}
		}
		fs.feeds[table]++
	})
	if err := fs.fault(ctx); err != nil {
		return Page{}, err
	}
	fs.mu.Lock()
	hangs := fs.hangFeed != nil && fs.hangFeed(table)
	fs.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return Page{}, ErrNoAnswer
	}
	return fs.mem.feed(ctx, table, after, wait), nil
}

func (fs *faultyStore) Parts(ctx context.Context, table string) ([]string, error) {
	if err := fs.fault(ctx); err != nil {
		return nil, err
	}
	fs.mem.mu.Lock()
	defer fs.mem.mu.Unlock()
	var parts []string
	for place := range fs.mem.rows {
		if place.Table == table && !slices.Contains(parts, place.Part) {
			parts = append(parts, place.Part)
		}
	}
	return parts, nil
}

// fakeWorkers run each task for a fixed time and count the starts of each task.
type fakeWorkers struct {
	mu        sync.Mutex
	startedAt time.Time
	taskTime  time.Duration
	tokens    map[cell.WorkerID]cell.Token
	runs      map[cell.WorkerID]map[job.Task]fakeRun
	ends      map[cell.WorkerID][]cell.End
	lastEnd   map[cell.WorkerID]int64
	starts    map[job.Task]int
	// fails selects the tasks that fail. It is nil if none does.
	fails func(job.Task) bool
	// maxRunning is the greatest number of tasks that ran at the same time.
	maxRunning int
}

type fakeRun struct {
	attempt job.Attempt
	ends    time.Time
}

func newWorkers(taskTime time.Duration) *fakeWorkers {
	return &fakeWorkers{startedAt: time.Now(), taskTime: taskTime, tokens: map[cell.WorkerID]cell.Token{}, runs: map[cell.WorkerID]map[job.Task]fakeRun{}, ends: map[cell.WorkerID][]cell.End{}, lastEnd: map[cell.WorkerID]int64{}, starts: map[job.Task]int{}}
}

// recordRunning updates maxRunning.
func (fw *fakeWorkers) recordRunning() {
	running := 0
	for id := range fw.runs {
		fw.finishDue(id)
		running += len(fw.runs[id])
	}
	fw.maxRunning = max(fw.maxRunning, running)
}

// peakRunning returns the greatest number of tasks that ran at the same time.
func (fw *fakeWorkers) peakRunning() int {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.maxRunning
}

func (fw *fakeWorkers) clock() int64 { return 1000 + time.Since(fw.startedAt).Milliseconds() }

func (fw *fakeWorkers) finishDue(id cell.WorkerID) {
	for tk, run := range fw.runs[id] {
		if time.Now().After(run.ends) {
			delete(fw.runs[id], tk)
			fw.lastEnd[id]++
			reason := cell.EndDone
			if fw.fails != nil && fw.fails(tk) {
				reason = cell.EndFailed
			}
			fw.ends[id] = append(fw.ends[id], cell.End{Number: fw.lastEnd[id], Task: tk, Attempt: run.attempt, Reason: reason})
		}
	}
}

func (fw *fakeWorkers) Poll(ctx context.Context, poll cell.Poll) cell.PollResult {
	sent := time.Now()
	until := sent.Add(poll.Wait)
	for {
		fw.mu.Lock()
		fw.finishDue(poll.Worker)
		if len(fw.ends[poll.Worker]) > 0 || time.Now().After(until) || ctx.Err() != nil {
			break
		}
		fw.mu.Unlock()
		time.Sleep(testPollInterval)
	}
	defer fw.mu.Unlock()
	result := cell.PollResult{Poll: poll, Sent: sent, Received: time.Now(), Clock: fw.clock(), Outcome: cell.Done}
	if poll.Token < fw.tokens[poll.Worker] {
		result.Outcome = cell.Superseded
		return result
	}
	fw.tokens[poll.Worker] = poll.Token
	fw.ends[poll.Worker] = slices.DeleteFunc(fw.ends[poll.Worker], func(en cell.End) bool { return en.Number <= poll.AckedEnd })
	result.Ended = slices.Clone(fw.ends[poll.Worker][:min(len(fw.ends[poll.Worker]), cell.DefaultMaxListedEnds)])
	for tk, run := range fw.runs[poll.Worker] {
		result.Running = append(result.Running, cell.Running{Task: tk, Attempt: run.attempt})
	}
	return result
}

func (fw *fakeWorkers) Send(_ context.Context, od cell.Order) cell.OrderResult {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	now := time.Now()
	result := cell.OrderResult{Order: od, Sent: now, Received: now, Clock: fw.clock(), Outcome: cell.Done}
	switch order := od.(type) {
	case cell.Start:
		if order.Token < fw.tokens[order.Worker] {
			result.Outcome = cell.Superseded
			return result
		}
		fw.tokens[order.Worker] = order.Token
		if fw.runs[order.Worker] == nil {
			fw.runs[order.Worker] = map[job.Task]fakeRun{}
		}
		fw.runs[order.Worker][order.Task] = fakeRun{order.Attempt, now.Add(fw.taskTime)}
		fw.recordRunning()
		fw.starts[order.Task]++
	case cell.Stop:
		delete(fw.runs[order.Worker], order.Task)
	}
	return result
}

// startCount returns how often a task was started.
func (fw *fakeWorkers) startCount(tk job.Task) int {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.starts[tk]
}

// noMachines lists no machines and refuses to service or move any.
type noMachines struct{}

func (noMachines) List(context.Context) ([]machine.Machine, error) { return nil, nil }
func (noMachines) StartMaintenance(context.Context, cell.MachineID, int, string, cell.Token) machine.Outcome {
	return machine.Refused
}
func (noMachines) Move(context.Context, cell.MachineID, job.PoolID, string, cell.Token) machine.Outcome {
	return machine.Refused
}

// unreadableRegistration is the value of a registration that cannot be decoded.
const unreadableRegistration = "foreign"

// testFormat returns one queue, and a worker for each registration, whatever the rows hold.
type testFormat struct{}

func (testFormat) OperatorTable() string { return "operator" }
func (testFormat) RegistryTable() string { return "registry" }
func (testFormat) Configuration(rw Row) (*job.Configuration, error) {
	if rw.Key != "configuration" {
		return nil, nil
	}
	return &job.Configuration{Version: rw.Version, Queues: []job.Queue{testQueue}, Pools: []job.Pool{{ID: "pool"}}}, nil
}
func (testFormat) Evacuation(rw Row) (job.HallID, error) {
	hall, _ := strings.CutPrefix(rw.Key, "hall/")
	if string(rw.Value) == unreadableRegistration {
		return "", errors.New("evacuation cannot be decoded")
	}
	if hall == rw.Key {
		hall = ""
	}
	return job.HallID(hall), nil
}
func (testFormat) Wave(Row) (*machine.Wave, error) { return nil, nil }
func (testFormat) Worker(rw Row) (cell.Worker, error) {
	if string(rw.Value) == unreadableRegistration {
		return cell.Worker{}, errors.New("registration cannot be decoded")
	}
	return cell.Worker{ID: cell.WorkerID(rw.Key), Pool: "pool", Address: rw.Key, Room: job.Size{CPUMillis: 4000, MemoryMB: 4000}}, nil
}
func (testFormat) WaveStatus(number int, completed bool) (Row, error) {
	return Row{Table: "status", Key: fmt.Sprintf("wave/%d", number), Value: fmt.Appendf(nil, "completed %t", completed)}, nil
}

var testQueue = job.Queue{ID: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 2, Stretch: 2, Slack: time.Second}

// cluster is a group of nodes that share a store and workers.
type cluster struct {
	t       *testing.T
	mem     *memStore
	workers *fakeWorkers
	// workersFor returns the workers as a node calls them. If it is nil, all nodes use the same fake workers.
	workersFor func(name string) Workers
	// format decodes rows, testFormat if it is nil.
	format Format
	// halls are the data halls of nodes. The default is h.
	halls map[string]string
	// retention is the retention period of ended jobs.
	retention time.Duration
}

// testNode is one node of a cluster.
type testNode struct {
	*Fleet
	faultyStore *faultyStore
	srv         *http.Server
	stop        context.CancelFunc
	done        chan struct{}
}

func newCluster(t *testing.T, taskTime time.Duration) *cluster {
	cl := &cluster{t: t, mem: newMemStore(), workers: newWorkers(taskTime), retention: time.Hour}
	cl.write(Row{Table: "operator", Key: "configuration", Value: []byte("{}")})
	for _, id := range []string{"w0", "w1", "w2"} {
		cl.write(Row{Table: "registry", Key: id, Value: []byte("{}")})
	}
	return cl
}

func (cl *cluster) write(rw Row) {
	cl.t.Helper()
	if _, err := cl.mem.commit(Tx{Write: []Row{rw}}); err != nil {
		cl.t.Fatal(err)
	}
}

// start runs a node until it is stopped or the test ends.
func (cl *cluster) start(name string, faults ...func(*faultyStore)) *testNode {
	cl.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cl.t.Fatal(err)
	}
	store := &faultyStore{mem: cl.mem}
	for _, fault := range faults {
		fault(store)
	}
	var workers Workers = cl.workers
	if cl.workersFor != nil {
		workers = cl.workersFor(name)
	}
	hall := "h"
	if configured, ok := cl.halls[name]; ok {
		hall = configured
	}
	var format Format = testFormat{}
	if cl.format != nil {
		format = cl.format
	}
	fl := New(Options{Name: name, Hall: job.HallID(hall), Address: ln.Addr().String(), Store: store, Workers: workers, Machines: noMachines{}, Format: format, SinglePartTx: store.singlePartTx})
	srv := &http.Server{Handler: fl.Handler()}
	go func() {
		// Serve returns when the test closes the server.
		_ = srv.Serve(ln)
	}()
	fl.opts.Cell.Retention = cl.retention
	ctx, cancel := context.WithCancel(context.Background())
	nd := &testNode{Fleet: fl, faultyStore: store, srv: srv, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(nd.done)
		fl.Run(ctx)
	}()
	cl.t.Cleanup(func() {
		cancel()
		<-nd.done
		_ = srv.Close()
	})
	return nd
}

// eventually waits until a condition holds.
func (cl *cluster) eventually(what string, holds func() bool) {
	cl.t.Helper()
	for until := time.Now().Add(testTimeout); !holds(); time.Sleep(testPollInterval) {
		if time.Now().After(until) {
			cl.t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// waitOwner waits until a node's owner of the cell has planned, and returns the node.
func (cl *cluster) waitOwner(nodes ...*testNode) *testNode {
	cl.t.Helper()
	var found *testNode
	cl.eventually("an owner of the cell", func() bool {
		for _, nd := range nodes {
			if ow := nd.ownerOf("pool"); ow != nil && ow.hasPlanned() {
				found = nd
			}
		}
		return found != nil
	})
	return found
}

func (ow *owner) hasPlanned() bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.planned && !ow.lost.Load()
}

// testSpec returns a job of two steps with two tasks each.
func testSpec(id job.ID) *job.Spec {
	st := job.Step{Count: 2, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}}
	next := st
	next.DependsOn = []int{0}
	return &job.Spec{ID: id, Queue: "q", Pool: "pool", Steps: []job.Step{st, next}, AcceptedAt: time.Now()}
}

func (cl *cluster) submit(nd *testNode, id job.ID) SubmitResult {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	result, _ := nd.Submit(ctx, testSpec(id))
	return result
}

// waitCompleted waits until a node returns that the job is completed.
func (cl *cluster) waitCompleted(nd *testNode, id job.ID) {
	cl.t.Helper()
	cl.eventually("completion of "+string(id), func() bool {
		state, err := nd.State(context.Background(), "", &testQueue, id)
		return err == nil && state == job.Completed
	})
}

// checkRanOnce checks that every task of a job was started exactly once.
func (cl *cluster) checkRanOnce(id job.ID) {
	cl.t.Helper()
	for step := range 2 {
		for index := range 2 {
			tk := job.Task{Job: id, Step: step, Index: index}
			if got := cl.workers.startCount(tk); got != 1 {
				cl.t.Errorf("%v was started %d times, want 1", tk, got)
			}
		}
	}
}

// workerRefs returns workers as a cell's row lists them.
func workerRefs(ids ...cell.WorkerID) []cell.WorkerRef {
	var refs []cell.WorkerRef
	for _, id := range ids {
		refs = append(refs, cell.WorkerRef{ID: id, Address: string(id)})
	}
	return refs
}
