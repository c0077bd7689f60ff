package fleet

import (
	"context"
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

// Limits of the tests; they end as soon as what they wait for is there.
const (
	longWait = 60 * time.Second
	pollGap  = 10 * time.Millisecond
)

// memory is a store in memory, shared by all nodes of a test.
type memory struct {
	mu      sync.Mutex
	version int64
	rows    map[Place]Row
	history []Row
	changed chan struct{}
}

func newMemory() *memory {
	return &memory{version: 1, rows: map[Place]Row{}, changed: make(chan struct{})}
}

func (mm *memory) commit(tx Tx) (int64, error) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	var cf Conflict
	clash := false
	for _, ex := range tx.Expect {
		rw := mm.rows[ex.Place]
		clash = clash || rw.Version != ex.Version
		rw.Table, rw.Part, rw.Key = ex.Place.Table, ex.Place.Part, ex.Place.Key
		cf.Rows = append(cf.Rows, rw)
	}
	if clash {
		return 0, &cf
	}
	if entries := len(tx.Expect) + len(tx.Write) + len(tx.Remove); entries > 100 {
		return 0, ErrRefused
	}
	mm.version++
	for _, rw := range tx.Write {
		rw.Version = mm.version
		mm.rows[rw.Place()] = rw
		mm.history = append(mm.history, rw)
	}
	for _, at := range tx.Remove {
		if _, there := mm.rows[at]; there {
			delete(mm.rows, at)
			mm.history = append(mm.history, Row{Table: at.Table, Part: at.Part, Key: at.Key, Version: mm.version, Deleted: true})
		}
	}
	close(mm.changed)
	mm.changed = make(chan struct{})
	return mm.version, nil
}

func (mm *memory) read(qu Query) Page {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	pg := Page{Version: mm.version}
	for at, rw := range mm.rows {
		if at.Table == qu.Table && at.Part == qu.Part && at.Key >= qu.From && (qu.To == "" || at.Key < qu.To) {
			pg.Rows = append(pg.Rows, rw)
		}
	}
	slices.SortFunc(pg.Rows, func(one, other Row) int { return strings.Compare(one.Key, other.Key) })
	if qu.Limit > 0 && len(pg.Rows) > qu.Limit {
		pg.Rows, pg.More = pg.Rows[:qu.Limit], true
	}
	return pg
}

func (mm *memory) feed(ctx context.Context, table string, after int64, wait time.Duration) Page {
	timer := time.After(wait)
	for {
		mm.mu.Lock()
		pg, changed := Page{Version: mm.version}, mm.changed
		for _, rw := range mm.history {
			if rw.Table == table && rw.Version > after {
				pg.Rows = append(pg.Rows, rw)
			}
		}
		mm.mu.Unlock()
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

// storeWay is one node's way to the store, with its faults.
type storeWay struct {
	mm *memory
	mu sync.Mutex
	// refuse makes every call refused, silent unanswered without effect.
	refuse, silent bool
	// hang tells which tables' feeds never answer.
	hang func(table string) bool
	// onePart has transactions over several parts refused.
	onePart bool
	// lose tells which transactions are done and not answered.
	lose func(Tx) bool
	// feeds counts the calls for each table's changes, reads those for rows of each table.
	feeds, reads map[string]int
}

// readOf is how often rows of a table were read this way.
func (sw *storeWay) readOf(table string) int {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.reads[table]
}

// fed is how often a table's changes were asked for this way.
func (sw *storeWay) fed(table string) int {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.feeds[table]
}

func (sw *storeWay) set(change func(*storeWay)) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	change(sw)
}

// fault returns the error that a call meets, after the time that it takes to find out.
func (sw *storeWay) fault(ctx context.Context) error {
	sw.mu.Lock()
	refuse, silent := sw.refuse, sw.silent
	sw.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ErrSilent
	}
	if refuse {
		return ErrRefused
	}
	return nil
}

func (sw *storeWay) Commit(ctx context.Context, tx Tx) (int64, error) {
	if err := sw.fault(ctx); err != nil {
		return 0, err
	}
	sw.mu.Lock()
	refused := sw.onePart && tx.parts() > 1
	sw.mu.Unlock()
	if refused {
		return 0, ErrRefused
	}
	version, err := sw.mm.commit(tx)
	sw.mu.Lock()
	lost := sw.lose != nil && sw.lose(tx)
	sw.mu.Unlock()
	if lost {
		return 0, ErrSilent
	}
	return version, err
}

// parts counts the parts in which the rows of a transaction lie.
func (tx Tx) parts() int {
	parts := map[string]bool{}
	for _, ex := range tx.Expect {
		parts[ex.Place.Part] = true
	}
	for _, rw := range tx.Write {
		parts[rw.Part] = true
	}
	for _, at := range tx.Remove {
		parts[at.Part] = true
	}
	return len(parts)
}

func (sw *storeWay) Read(ctx context.Context, qu Query) (Page, error) {
	sw.set(func(sw *storeWay) {
		if sw.reads == nil {
			sw.reads = map[string]int{}
		}
		sw.reads[qu.Table]++
	})
	if err := sw.fault(ctx); err != nil {
		return Page{}, err
	}
	return sw.mm.read(qu), nil
}

func (sw *storeWay) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	sw.set(func(sw *storeWay) {
		if sw.feeds == nil {
			sw.feeds = map[string]int{}
		}
		sw.feeds[table]++
	})
	if err := sw.fault(ctx); err != nil {
		return Page{}, err
	}
	sw.mu.Lock()
	hangs := sw.hang != nil && sw.hang(table)
	sw.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return Page{}, ErrSilent
	}
	return sw.mm.feed(ctx, table, after, wait), nil
}

func (sw *storeWay) Parts(ctx context.Context, table string) ([]string, error) {
	if err := sw.fault(ctx); err != nil {
		return nil, err
	}
	sw.mm.mu.Lock()
	defer sw.mm.mu.Unlock()
	var parts []string
	for at := range sw.mm.rows {
		if at.Table == table && !slices.Contains(parts, at.Part) {
			parts = append(parts, at.Part)
		}
	}
	return parts, nil
}

// fakeWorkers run tasks for a fixed time each, and count the starts of each task.
type fakeWorkers struct {
	mu     sync.Mutex
	began  time.Time
	takes  time.Duration
	tokens map[cell.WorkerID]cell.Token
	runs   map[cell.WorkerID]map[job.Task]fakeRun
	ends   map[cell.WorkerID][]cell.End
	last   map[cell.WorkerID]int64
	starts map[job.Task]int
	// most is how many tasks ran at once at the most.
	most int
}

type fakeRun struct {
	attempt job.Attempt
	ends    time.Time
}

func newWorkers(takes time.Duration) *fakeWorkers {
	return &fakeWorkers{began: time.Now(), takes: takes, tokens: map[cell.WorkerID]cell.Token{}, runs: map[cell.WorkerID]map[job.Task]fakeRun{}, ends: map[cell.WorkerID][]cell.End{}, last: map[cell.WorkerID]int64{}, starts: map[job.Task]int{}}
}

// note keeps how many tasks ran at once at the most.
func (fw *fakeWorkers) note() {
	running := 0
	for id := range fw.runs {
		fw.settle(id)
		running += len(fw.runs[id])
	}
	fw.most = max(fw.most, running)
}

// mostAtOnce is how many tasks ran at once at the most.
func (fw *fakeWorkers) mostAtOnce() int {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.most
}

func (fw *fakeWorkers) clock() int64 { return 1000 + time.Since(fw.began).Milliseconds() }

func (fw *fakeWorkers) settle(id cell.WorkerID) {
	for tk, rn := range fw.runs[id] {
		if time.Now().After(rn.ends) {
			delete(fw.runs[id], tk)
			fw.last[id]++
			fw.ends[id] = append(fw.ends[id], cell.End{Number: fw.last[id], Task: tk, Attempt: rn.attempt, How: cell.EndDone})
		}
	}
}

func (fw *fakeWorkers) Look(ctx context.Context, lk cell.Look) cell.Looked {
	sent := time.Now()
	until := sent.Add(lk.Wait)
	for {
		fw.mu.Lock()
		fw.settle(lk.Worker)
		if len(fw.ends[lk.Worker]) > 0 || time.Now().After(until) || ctx.Err() != nil {
			break
		}
		fw.mu.Unlock()
		time.Sleep(pollGap)
	}
	defer fw.mu.Unlock()
	res := cell.Looked{Look: lk, Sent: sent, Received: time.Now(), Clock: fw.clock(), Outcome: cell.Done}
	if lk.Token < fw.tokens[lk.Worker] {
		res.Outcome = cell.Overtaken
		return res
	}
	fw.tokens[lk.Worker] = lk.Token
	fw.ends[lk.Worker] = slices.DeleteFunc(fw.ends[lk.Worker], func(en cell.End) bool { return en.Number <= lk.Observed })
	res.Ended = slices.Clone(fw.ends[lk.Worker])
	for tk, rn := range fw.runs[lk.Worker] {
		res.Running = append(res.Running, cell.Running{Task: tk, Attempt: rn.attempt})
	}
	return res
}

func (fw *fakeWorkers) Order(_ context.Context, od cell.Order) cell.Ordered {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	now := time.Now()
	res := cell.Ordered{Order: od, Sent: now, Received: now, Clock: fw.clock(), Outcome: cell.Done}
	switch order := od.(type) {
	case cell.Start:
		if order.Token < fw.tokens[order.Worker] {
			res.Outcome = cell.Overtaken
			return res
		}
		fw.tokens[order.Worker] = order.Token
		if fw.runs[order.Worker] == nil {
			fw.runs[order.Worker] = map[job.Task]fakeRun{}
		}
		fw.runs[order.Worker][order.Task] = fakeRun{order.Attempt, now.Add(fw.takes)}
		fw.note()
		fw.starts[order.Task]++
	case cell.Stop:
		delete(fw.runs[order.Worker], order.Task)
	}
	return res
}

// count is how often a task was started.
func (fw *fakeWorkers) count(tk job.Task) int {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.starts[tk]
}

// noMachines lists nothing and moves nothing.
type noMachines struct{}

func (noMachines) List(context.Context) ([]machine.Machine, error) { return nil, nil }
func (noMachines) Service(context.Context, cell.MachineID, int, string, cell.Token) machine.Outcome {
	return machine.Refused
}
func (noMachines) Move(context.Context, cell.MachineID, job.PoolID, string, cell.Token) machine.Outcome {
	return machine.Refused
}

// foreignEntry is a registration that cannot be read.
const foreignEntry = "foreign"

// plainFormat has one queue and three workers, whatever the rows hold.
type plainFormat struct{}

func (plainFormat) OperatorTable() string { return "operator" }
func (plainFormat) RegistryTable() string { return "registry" }
func (plainFormat) Configuration(rw Row) (*job.Configuration, error) {
	if rw.Key != "configuration" {
		return nil, nil
	}
	return &job.Configuration{Version: rw.Version, Queues: []job.Queue{testQueue}, Pools: []job.Pool{{ID: "pool"}}}, nil
}
func (plainFormat) Wave(Row) (*machine.Wave, error) { return nil, nil }
func (plainFormat) Worker(rw Row) (cell.Worker, error) {
	if string(rw.Value) == foreignEntry {
		return cell.Worker{}, errors.New("no registration")
	}
	return cell.Worker{ID: cell.WorkerID(rw.Key), Pool: "pool", Address: rw.Key, Room: job.Size{CPUMillis: 4000, MemoryMB: 4000}}, nil
}
func (plainFormat) WaveStatus(number int, completed bool) (Row, error) {
	return Row{Table: "status", Key: fmt.Sprintf("wave/%d", number), Value: fmt.Appendf(nil, "completed %t", completed)}, nil
}

var testQueue = job.Queue{ID: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 2, Stretch: 2, Slack: time.Second}

// site is a number of nodes over one store and the same workers.
type site struct {
	t       *testing.T
	mm      *memory
	workers *fakeWorkers
	// workersAt are the workers as a node calls them; nil for the same ones everywhere.
	workersAt func(name string) Workers
	// format reads rows; plainFormat if it is nil.
	format Format
	// halls are those of nodes; h unless one is named.
	halls map[string]string
	// retention is how long the state of an ended job is kept.
	retention time.Duration
}

// testNode is one node of a site.
type testNode struct {
	*Fleet
	way  *storeWay
	srv  *http.Server
	stop context.CancelFunc
	done chan struct{}
}

func newSite(t *testing.T, takes time.Duration) *site {
	st := &site{t: t, mm: newMemory(), workers: newWorkers(takes), retention: time.Hour}
	st.write(Row{Table: "operator", Key: "configuration", Value: []byte("{}")})
	for _, id := range []string{"w0", "w1", "w2"} {
		st.write(Row{Table: "registry", Key: id, Value: []byte("{}")})
	}
	return st
}

func (st *site) write(rw Row) {
	st.t.Helper()
	if _, err := st.mm.commit(Tx{Write: []Row{rw}}); err != nil {
		st.t.Fatal(err)
	}
}

// start runs a node until the test ends or it is stopped.
func (st *site) start(name string, faults ...func(*storeWay)) *testNode {
	st.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		st.t.Fatal(err)
	}
	way := &storeWay{mm: st.mm}
	for _, fault := range faults {
		fault(way)
	}
	var workers Workers = st.workers
	if st.workersAt != nil {
		workers = st.workersAt(name)
	}
	hall := "h"
	if named, ok := st.halls[name]; ok {
		hall = named
	}
	var format Format = plainFormat{}
	if st.format != nil {
		format = st.format
	}
	fl := New(Options{Name: name, Hall: hall, Address: ln.Addr().String(), Store: way, Workers: workers, Machines: noMachines{}, Format: format, OnePart: way.onePart})
	srv := &http.Server{Handler: fl.Handler()}
	go func() {
		// It ends when the test closes it.
		_ = srv.Serve(ln)
	}()
	fl.opts.Cell.Retention = st.retention
	ctx, cancel := context.WithCancel(context.Background())
	nd := &testNode{Fleet: fl, way: way, srv: srv, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(nd.done)
		fl.Run(ctx)
	}()
	st.t.Cleanup(func() {
		cancel()
		<-nd.done
		_ = srv.Close()
	})
	return nd
}

// eventually waits for a condition.
func (st *site) eventually(what string, holds func() bool) {
	st.t.Helper()
	for until := time.Now().Add(longWait); !holds(); time.Sleep(pollGap) {
		if time.Now().After(until) {
			st.t.Fatalf("never: %s", what)
		}
	}
}

// owner waits until a node works on the cell.
func (st *site) owner(nodes ...*testNode) *testNode {
	st.t.Helper()
	var found *testNode
	st.eventually("an owner of the cell", func() bool {
		for _, nd := range nodes {
			if ow := nd.ownerOf("pool"); ow != nil && ow.hasBegun() {
				found = nd
			}
		}
		return found != nil
	})
	return found
}

func (ow *owner) hasBegun() bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.began && !ow.lost.Load()
}

// spec is a job of two steps of two tasks.
func spec(id job.ID) *job.Spec {
	st := job.Step{Count: 2, Size: job.Size{CPUMillis: 1000, MemoryMB: 100}}
	next := st
	next.DependsOn = []int{0}
	return &job.Spec{ID: id, Queue: "q", Pool: "pool", Steps: []job.Step{st, next}, AcceptedAt: time.Now()}
}

func (st *site) submit(nd *testNode, id job.ID) Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	vd, _ := nd.Submit(ctx, spec(id))
	return vd
}

// completed waits for a job's end as a node tells it.
func (st *site) completed(nd *testNode, id job.ID) {
	st.t.Helper()
	st.eventually("the end of "+string(id), func() bool {
		state, err := nd.State(context.Background(), "", &testQueue, id)
		return err == nil && state == job.Completed
	})
}

// once checks that every task of a job was started exactly once.
func (st *site) once(id job.ID) {
	st.t.Helper()
	for step := range 2 {
		for index := range 2 {
			tk := job.Task{Job: id, Step: step, Index: index}
			if got := st.workers.count(tk); got != 1 {
				st.t.Errorf("%v was started %d times", tk, got)
			}
		}
	}
}

// usedBy names workers as a cell's row does.
func usedBy(ids ...cell.WorkerID) []cell.Ref {
	var refs []cell.Ref
	for _, id := range ids {
		refs = append(refs, cell.Ref{ID: id, Address: string(id)})
	}
	return refs
}
