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
	"github.com/aspenseam/aspenseam/standin"
	"github.com/aspenseam/aspenseam/table"
)

// fakeRouter answers every call after a delay.
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
	return endpoint.Result{Outcome: endpoint.OutcomeAnswered, AttemptOutcomes: []endpoint.AttemptOutcome{endpoint.Answered}, Answer: &endpoint.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("done")}}
}

// fakeSnapshots always reports the platform as reachable.
type fakeSnapshots struct{}

func (fakeSnapshots) Snapshot() *table.Snapshot { return table.EmptySnapshot() }
func (fakeSnapshots) Reached() bool             { return true }

// noPeers fails every query.
type noPeers struct{}

func (noPeers) ClaimStatus(context.Context, table.InstanceID, caller.Key, caller.Nonce) (caller.Result, error) {
	return caller.Result{}, errors.New("no peer")
}

func (noPeers) Collect(context.Context, caller.Key) (caller.Result, error) {
	return caller.Result{}, errors.New("no peer")
}

func (noPeers) Forward(context.Context, table.InstanceID, *caller.Request) (caller.Result, error) {
	return caller.Result{}, errors.New("no peer")
}

// unresponsivePeers fails the first queries and then returns an answer.
type unresponsivePeers struct {
	noPeers
	mu       sync.Mutex
	failures int
	queries  int
}

func (up *unresponsivePeers) ClaimStatus(context.Context, table.InstanceID, caller.Key, caller.Nonce) (caller.Result, error) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.queries++
	if up.queries <= up.failures {
		return caller.Result{}, errors.New("no answer in time")
	}
	return caller.Result{Outcome: endpoint.OutcomeAnswered, Answer: &endpoint.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("done")}}, nil
}

func newServer(fr *fakeRouter, mm *standin.Memory, options ...caller.Option) *caller.Server {
	options = append([]caller.Option{caller.WithSigner(caller.NewSigner("0123456789abcdef")), caller.WithEntry("e1", "i1")}, options...)
	return caller.NewServer(fr, fakeSnapshots{}, mm, noPeers{}, options...)
}

// post passes an unrepeatable request directly to the server.
func post(sv *caller.Server, id string) *httptest.ResponseRecorder {
	rq := httptest.NewRequest(http.MethodPost, "/reserve", strings.NewReader("x"))
	rq.Header.Set(caller.HeaderService, "books")
	rq.Header.Set(caller.HeaderRequestID, id)
	rq.Header.Set(caller.HeaderRepeat, caller.RepeatNo)
	wr := httptest.NewRecorder()
	sv.ServeHTTP(wr, rq)
	return wr
}
