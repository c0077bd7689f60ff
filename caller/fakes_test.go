package caller_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/platform"
)

// fakeStore is a table with a delay that counts its transactions.
type fakeStore struct {
	mu      sync.Mutex
	delay   time.Duration
	version platform.Version
	rows    map[string]platform.Row
	commits int
	written int
	objects map[string][]byte
}

func newFakeStore(delay time.Duration) *fakeStore {
	return &fakeStore{delay: delay, rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

func (fs *fakeStore) Commit(_ context.Context, tx platform.Tx) (platform.Version, error) {
	time.Sleep(fs.delay)
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.commits++
	var conflicts []platform.Row
	for _, wt := range tx.Writes {
		if rw := fs.rows[wt.Key]; rw.Version != wt.IfVersion {
			conflicts = append(conflicts, rw)
		}
	}
	if len(conflicts) > 0 {
		return 0, &platform.ConflictError{Rows: conflicts}
	}
	fs.version++
	for _, wt := range tx.Writes {
		fs.written++
		fs.rows[wt.Key] = platform.Row{Table: wt.Table, Key: wt.Key, Version: fs.version, Value: wt.Value}
	}
	return fs.version, nil
}

func (fs *fakeStore) Get(_ context.Context, _ platform.TableName, key string) (platform.Row, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	rw, ok := fs.rows[key]
	if !ok {
		return rw, platform.ErrAbsent
	}
	return rw, nil
}

func (fs *fakeStore) PutObject(_ context.Context, key string, value []byte) error {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.objects[key] = value
	return nil
}

func (fs *fakeStore) GetObject(_ context.Context, key string) ([]byte, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.objects[key], nil
}

// fakeRouter answers every call after a time.
type fakeRouter struct {
	work time.Duration
	mu   sync.Mutex
	runs map[string]int
}

func (fr *fakeRouter) Do(_ context.Context, call *endpoint.Call) endpoint.Result {
	if call.BeforeSend != nil {
		if err := call.BeforeSend(); err != nil {
			return endpoint.Result{Outcome: endpoint.OutcomeNotRun, Err: err}
		}
	}
	time.Sleep(fr.work)
	fr.mu.Lock()
	fr.runs[call.RequestID]++
	fr.mu.Unlock()
	return endpoint.Result{Outcome: endpoint.OutcomeAnswered, Ends: []endpoint.End{endpoint.Answered}, Answer: &endpoint.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("done")}}
}

// fakeSnapshots always has a platform.
type fakeSnapshots struct{}

func (fakeSnapshots) Snapshot() *platform.Snapshot { return platform.EmptySnapshot() }
func (fakeSnapshots) Reached() bool                { return true }

// noPeers knows nobody.
type noPeers struct{}

func (noPeers) Flight(context.Context, platform.InstanceID, caller.Key, caller.Nonce) (caller.Word, error) {
	return caller.Word{}, errors.New("no peer")
}

func (noPeers) Collect(context.Context, caller.Key) (caller.Word, error) {
	return caller.Word{}, errors.New("no peer")
}

func (noPeers) Forward(context.Context, platform.InstanceID, *caller.Request) (caller.Word, error) {
	return caller.Word{}, errors.New("no peer")
}

func newServer(fr *fakeRouter, fs *fakeStore, options ...caller.Option) *caller.Server {
	options = append([]caller.Option{caller.WithKeys("0123456789abcdef"), caller.WithEntry("e1", "i1")}, options...)
	return caller.NewServer(fr, fakeSnapshots{}, fs, noPeers{}, options...)
}

// post sends an unrepeatable request in memory.
func post(sv *caller.Server, id string) *httptest.ResponseRecorder {
	rq := httptest.NewRequest(http.MethodPost, "/reserve", strings.NewReader("x"))
	rq.Header.Set(caller.HeaderService, "books")
	rq.Header.Set(caller.HeaderRequestID, id)
	rq.Header.Set(caller.HeaderRepeat, caller.RepeatNo)
	wr := httptest.NewRecorder()
	sv.ServeHTTP(wr, rq)
	return wr
}
