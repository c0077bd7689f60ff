package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/table"
)

const (
	defaultSlots = 8
)

// EndpointFaults switches what an endpoint does wrong; the zero value is a healthy one.
type EndpointFaults struct {
	// WorkMs is how long each execution takes.
	WorkMs int `json:"workMs"`
	// Status answers every request at once with this status instead of running it; 0 runs.
	Status int `json:"status"`
	// BreakMid runs the request and cuts the connection in the middle of the answer.
	BreakMid bool `json:"breakMid"`
	// BreakBefore runs the request and cuts the connection before the answer.
	BreakBefore bool `json:"breakBefore"`
	// Refuse is the published word with which every request is refused; empty refuses none.
	Refuse string `json:"refuse"`
	// Stale sends the answer of the last request on the connection instead of this one's.
	Stale bool `json:"stale"`
	// NoLength sends answers that end with the connection.
	NoLength bool `json:"noLength"`
	// Backlog is how many requests wait for a slot before others are refused as full.
	Backlog int `json:"backlog"`
}

// Execution is what an endpoint says about a request in its answer.
type Execution struct {
	Instance  table.InstanceID `json:"instance"`
	RequestID string           `json:"requestId"`
	Session   string           `json:"session,omitempty"`
	// Count is how many requests of the session ran here.
	Count  int    `json:"count,omitempty"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Sum is the hex SHA-256 of the request's body.
	Sum string `json:"sum"`
	// Padding fills the answer up to the size that the query asks for.
	Padding string `json:"padding,omitempty"`
}

// EndpointCounts says what ran at an endpoint.
type EndpointCounts struct {
	// Executions counts by request id.
	Executions map[string]int `json:"executions"`
	// Sessions counts requests by session id.
	Sessions map[string]int `json:"sessions"`
	// Received counts requests whose body came in, run or refused.
	Received int `json:"received"`
	// Refused counts requests refused before they started.
	Refused int `json:"refused"`
	// Peak is the largest number of requests that ran at once.
	Peak int `json:"peak"`
	// Connections is the largest number of connections open at once.
	Connections int `json:"connections"`
	// LastMs is when the last execution began, in milliseconds since 1970 UTC.
	LastMs int64 `json:"lastMs"`
	// Open is how many run now.
	Open int `json:"open"`
}

// Endpoint is a service instance that counts what it runs.
type Endpoint struct {
	id    table.InstanceID
	slots chan struct{}
	// waiting counts requests that wait for a slot.
	waiting atomic.Int32
	mu      sync.Mutex
	faults  EndpointFaults
	counts  EndpointCounts
	conns   int
	// last holds what was answered last on each connection.
	last map[string]sent
	// journal gets a line for each execution before it begins, which outlives the process; nil without one.
	journal io.Writer
}

// NewEndpoint returns a healthy endpoint with so many slots; 0 takes the usual eight.
func NewEndpoint(id table.InstanceID, slots int, work time.Duration) *Endpoint {
	if slots == 0 {
		slots = defaultSlots
	}
	ep := &Endpoint{id: id, slots: make(chan struct{}, slots), last: map[string]sent{}}
	ep.faults.WorkMs = int(work.Milliseconds())
	ep.counts = EndpointCounts{Executions: map[string]int{}, Sessions: map[string]int{}}
	return ep
}

// SetJournal names where each execution is noted before it begins, as a line of JSON.
func (ep *Endpoint) SetJournal(journal io.Writer) {
	ep.journal = journal
}

// note writes an execution to the journal.
func (ep *Endpoint) note(ex Execution) {
	if ep.journal == nil {
		return
	}
	raw, err := json.Marshal(ex)
	if err == nil {
		_, err = ep.journal.Write(append(raw, '\n'))
	}
	if err != nil {
		// An execution that cannot be noted must not happen, or the count would be false.
		abort()
	}
}

// Handler returns the service, and its switches below /control/.
func (ep *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control/faults", ep.setFaults)
	mux.HandleFunc("GET /control/counts", ep.getCounts)
	mux.HandleFunc("/", ep.serve)
	return mux
}

// ConnState counts open connections; it belongs into http.Server.ConnState.
func (ep *Endpoint) ConnState(_ net.Conn, cs http.ConnState) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	switch cs {
	case http.StateNew:
		ep.conns++
		ep.counts.Connections = max(ep.counts.Connections, ep.conns)
	case http.StateClosed, http.StateHijacked:
		ep.conns--
	}
}

func (ep *Endpoint) serve(wr http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(wr, rq.Body, maxBodyBytes))
	if err != nil {
		abort()
	}
	ep.mu.Lock()
	fs := ep.faults
	ep.counts.Received++
	ep.mu.Unlock()
	wr.Header().Set(endpoint.HeaderAttempt, rq.Header.Get(endpoint.HeaderAttempt))
	if fs.Refuse != "" {
		ep.refuse(wr, fs.Refuse)
		return
	}
	if fs.Status != 0 {
		http.Error(wr, "failed", fs.Status)
		return
	}
	if !ep.enter(fs) {
		ep.refuse(wr, endpoint.RefusedFull)
		return
	}
	ex := ep.run(rq, body, fs)
	<-ep.slots
	out := ep.reply(rq, fs, ex)
	wr.Header().Set(endpoint.HeaderAttempt, out.attempt)
	ep.answer(wr, rq, fs, out.ex)
}

// enter takes a slot, waiting for one if the backlog has room.
func (ep *Endpoint) enter(fs EndpointFaults) bool {
	select {
	case ep.slots <- struct{}{}:
		return true
	default:
	}
	if int(ep.waiting.Add(1)) > fs.Backlog {
		ep.waiting.Add(-1)
		return false
	}
	ep.slots <- struct{}{}
	ep.waiting.Add(-1)
	return true
}

// sent is what an endpoint answered: the attempt that it was for and what ran.
type sent struct {
	attempt string
	ex      Execution
}

// reply returns what to answer with and notes it; a stale reply is the one before on the connection.
func (ep *Endpoint) reply(rq *http.Request, fs EndpointFaults, ex Execution) sent {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	now := sent{attempt: rq.Header.Get(endpoint.HeaderAttempt), ex: ex}
	before, any := ep.last[rq.RemoteAddr]
	ep.last[rq.RemoteAddr] = now
	if fs.Stale && any {
		return before
	}
	return now
}

func (ep *Endpoint) refuse(wr http.ResponseWriter, word string) {
	ep.mu.Lock()
	ep.counts.Refused++
	ep.mu.Unlock()
	wr.Header().Set(endpoint.HeaderNotRun, word)
	http.Error(wr, word, http.StatusServiceUnavailable)
}

// run executes the request and counts it.
func (ep *Endpoint) run(rq *http.Request, body []byte, fs EndpointFaults) Execution {
	sum := sha256.Sum256(body)
	ex := Execution{Instance: ep.id, RequestID: rq.Header.Get(endpoint.HeaderRequestID), Session: rq.Header.Get(endpoint.HeaderSession), Method: rq.Method, Path: rq.URL.RequestURI(), Sum: hex.EncodeToString(sum[:])}
	ep.mu.Lock()
	ep.counts.Executions[ex.RequestID]++
	ep.counts.LastMs = time.Now().UnixMilli()
	ep.counts.Open++
	ep.counts.Peak = max(ep.counts.Peak, ep.counts.Open)
	if ex.Session != "" {
		ep.counts.Sessions[ex.Session]++
		ex.Count = ep.counts.Sessions[ex.Session]
	}
	ep.mu.Unlock()
	ep.note(ex)
	time.Sleep(workTime(rq, fs))
	ep.mu.Lock()
	ep.counts.Open--
	ep.mu.Unlock()
	ex.Padding = padding(rq)
	return ex
}

// workTime is the query's workMs, or else the switch's.
func workTime(rq *http.Request, fs EndpointFaults) time.Duration {
	if ms, err := strconv.Atoi(rq.URL.Query().Get("workMs")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return time.Duration(fs.WorkMs) * time.Millisecond
}

func padding(rq *http.Request) string {
	size, err := strconv.Atoi(rq.URL.Query().Get("size"))
	if err != nil || size <= 0 || size > maxBodyBytes {
		return ""
	}
	return strings.Repeat("x", size)
}

func (ep *Endpoint) answer(wr http.ResponseWriter, rq *http.Request, fs EndpointFaults, ex Execution) {
	raw, err := json.Marshal(ex)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusInternalServerError)
		return
	}
	if fs.BreakBefore {
		abort()
	}
	if fs.NoLength {
		ep.answerWithoutLength(wr, raw)
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	if rq.URL.Query().Get("chunked") == "" {
		wr.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	}
	if fs.BreakMid || rq.URL.Query().Get("break") == "mid" {
		// The half answer must leave before the cut, or the other side sees no answer at all.
		_, _ = wr.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(wr).Flush()
		abort()
	}
	// The other side may be gone; there is nobody else to tell.
	_, _ = wr.Write(raw)
}

// answerWithoutLength takes the connection over and ends the answer by closing it.
func (ep *Endpoint) answerWithoutLength(wr http.ResponseWriter, raw []byte) {
	conn, buf, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		abort()
	}
	defer func() { _ = conn.Close() }()
	echo := wr.Header().Get(endpoint.HeaderAttempt)
	// The connection is closed next, whatever happens to these bytes.
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n%s", endpoint.HeaderAttempt, echo, raw)
	_ = buf.Flush()
}

// Switch sets the faults.
func (ep *Endpoint) Switch(fs EndpointFaults) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.faults = fs
}

// Counts returns a copy of what ran, without the maps.
func (ep *Endpoint) Counts() EndpointCounts {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	counts := ep.counts
	counts.Executions, counts.Sessions = nil, nil
	return counts
}

func (ep *Endpoint) setFaults(wr http.ResponseWriter, rq *http.Request) {
	var fs EndpointFaults
	if !readJSON(wr, rq, &fs) {
		return
	}
	ep.Switch(fs)
	wr.WriteHeader(http.StatusNoContent)
}

func (ep *Endpoint) getCounts(wr http.ResponseWriter, _ *http.Request) {
	ep.mu.Lock()
	raw, err := json.Marshal(ep.counts)
	ep.mu.Unlock()
	if err != nil {
		http.Error(wr, err.Error(), http.StatusInternalServerError)
		return
	}
	// The other side may be gone; there is nobody else to tell.
	_, _ = wr.Write(raw)
}
