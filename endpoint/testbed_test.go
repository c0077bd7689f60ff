package endpoint_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/standin"
	"github.com/aspenseam/aspenseam/table"
)

// testBed runs routers and endpoints in one process over in-memory connections, so that tests can use a synthetic clock.
type testBed struct {
	t         testing.TB
	listeners map[string]*pipeListener
	servers   []*http.Server
	endpoints []*standin.Endpoint
	snapshot  *table.Snapshot
	random    func(int) int
}

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-pl.conns:
		return conn, nil
	case <-pl.done:
		return nil, net.ErrClosed
	}
}

func (pl *pipeListener) Close() error {
	pl.once.Do(func() { close(pl.done) })
	return nil
}

func (pl *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

const testService table.ServiceID = "books"

// newTestBed returns a test bed with the given number of endpoints with eight slots each, all in one hall.
// Its membership has the given number of live entry instances, one for each router that the test creates.
func newTestBed(t testing.TB, endpoints, entries int, workTime time.Duration) *testBed {
	t.Helper()
	bd := &testBed{t: t, listeners: map[string]*pipeListener{}, random: newSeededRandom()}
	seed := []any{table.Service{ID: testService, Slots: 8, Connections: 64, Echo: true, Asked: endpoints, Budget: 1}}
	var members []table.Member
	for ix := range endpoints {
		id := table.InstanceID(fmt.Sprintf("w%d", ix+1))
		address := fmt.Sprintf("10.0.0.%d:80", ix+1)
		ep := standin.NewEndpoint(id, 0, workTime)
		ln := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		srv := &http.Server{Handler: ep.Handler()}
		go func() { _ = srv.Serve(ln) }()
		bd.listeners[address] = ln
		bd.servers, bd.endpoints = append(bd.servers, srv), append(bd.endpoints, ep)
		seed = append(seed, table.Instance{ID: id, Hall: "hall1", Address: address, State: table.InstanceServing, Epoch: 1, Services: []table.ServiceID{testService}})
		members = append(members, table.Member{ID: id, Role: table.RoleWorker, State: table.MemberLive})
	}
	for ix := range entries {
		members = append(members, table.Member{ID: table.InstanceID(fmt.Sprintf("e%d", ix+1)), Role: table.RoleEntry, State: table.MemberLive, Hall: "hall1"})
	}
	bd.snapshot, _ = table.EmptySnapshot().Merge(encodeRows(t, seed))
	bd.snapshot = bd.snapshot.WithMembers(members)
	return bd
}

// newSeededRandom returns a random source that yields the same numbers in every run.
func newSeededRandom() func(int) int {
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(1, 2))
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(n)
	}
}

func encodeRows(t testing.TB, values []any) []table.Row {
	t.Helper()
	var rows []table.Row
	for ix, value := range values {
		raw, err := table.Encode(value)
		if err != nil {
			t.Fatal(err)
		}
		rw := table.Row{Version: table.Version(ix + 1), Value: raw}
		switch vl := value.(type) {
		case table.Service:
			rw.Table, rw.Key = table.TableService, string(vl.ID)
		case table.Instance:
			rw.Table, rw.Key = table.TableInstance, string(vl.ID)
		}
		rows = append(rows, rw)
	}
	return rows
}

// dial opens an in-memory connection to an endpoint.
func (bd *testBed) dial(ctx context.Context, _, address string) (net.Conn, error) {
	ln := bd.listeners[address]
	if ln == nil {
		return nil, errors.New("no such address")
	}
	client, server := net.Pipe()
	select {
	case ln.conns <- server:
		return client, nil
	case <-ln.done:
		return nil, &net.OpError{Op: "dial", Err: errors.New("closed")}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// router returns a router to the test bed's endpoints.
func (bd *testBed) router(options ...endpoint.Option) *endpoint.Router {
	options = append([]endpoint.Option{endpoint.WithHall("hall1"), endpoint.WithDial(bd.dial), endpoint.WithRandom(bd.random)}, options...)
	rt := endpoint.NewRouter(options...)
	rt.Update(bd.snapshot)
	return rt
}

// close closes all connections.
func (bd *testBed) close(routers ...*endpoint.Router) {
	for _, rt := range routers {
		rt.Update(table.EmptySnapshot())
	}
	for _, srv := range bd.servers {
		_ = srv.Close()
	}
}

// newCall returns a repeatable call whose deadline is the timeout from now.
func newCall(timeout time.Duration) *endpoint.Call {
	return &endpoint.Call{Service: testService, RequestID: "r", Method: http.MethodGet, Target: "/", Header: http.Header{}, Repeatable: true, Deadline: time.Now().Add(timeout)}
}
