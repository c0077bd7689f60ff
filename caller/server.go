package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

const (
	// ownPrefix begins the paths that entry instances answer themselves.
	ownPrefix = "/.aspenseam/"
	// readyPath is where the platform's balancer asks whether to send callers here.
	readyPath = "/.aspenseam/ready"
	stopRetry = 100 * time.Millisecond
	pollOpen  = 20 * time.Millisecond
	copyBytes = 32 << 10
)

// Server answers callers.
type Server struct {
	opts      Options
	router    Router
	snapshots Snapshots
	peers     Peers
	signer    *Signer
	records   *records
	claims    *claims
	tickets   *tickets
	stopping  atomic.Bool
	open      atomic.Int64
	tasks     sync.WaitGroup
	// Outcomes counts final words by outcome.
	Answered, NotRun, Unknown atomic.Int64
}

// NewServer returns a server that sends through a router and claims at a store.
func NewServer(router Router, snapshots Snapshots, store Store, peers Peers, options ...Option) *Server {
	opts := defaults()
	for _, option := range options {
		option(&opts)
	}
	sv := &Server{opts: opts, router: router, snapshots: snapshots, peers: peers, signer: opts.Signer}
	sv.records = newRecords(&sv.opts)
	sv.claims = newClaims(store, &sv.opts)
	sv.tickets = newTickets(&sv.opts, sv.signer)
	return sv
}

// ServeHTTP takes one request.
func (sv *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	sv.open.Add(1)
	defer sv.open.Add(-1)
	switch {
	case rq.URL.Path == readyPath:
		sv.serveReady(wr)
	case rq.URL.Path == TicketPath:
		sv.serveTicket(wr)
	case strings.HasPrefix(rq.URL.Path, CollectPath):
		sv.collect(wr, rq)
	case strings.HasPrefix(rq.URL.Path, ownPrefix):
		sv.respondFault(wr, &Request{}, &fault{status: http.StatusNotFound, code: CodeBadRequest, findings: []string{"no such path below " + ownPrefix}})
	default:
		sv.serve(wr, rq)
	}
}

func (sv *Server) serveReady(wr http.ResponseWriter) {
	if sv.stopping.Load() || len(sv.snapshots.Snapshot().Services) == 0 {
		http.Error(wr, "not ready", http.StatusServiceUnavailable)
		return
	}
	wr.WriteHeader(http.StatusNoContent)
}

// serve reads a request, runs it and answers.
func (sv *Server) serve(wr http.ResponseWriter, rq *http.Request) {
	req, ft := sv.read(rq)
	if ft != nil {
		sv.respondFault(wr, req, ft)
		return
	}
	body, release, ft := sv.readBody(wr, rq)
	defer release()
	if ft != nil {
		sv.respondFault(wr, req, ft)
		return
	}
	req.Body = body
	sv.respond(wr, req, sv.word(rq.Context(), req))
}

// word returns the final word on a request; tries of the same request share one run.
func (sv *Server) word(ctx context.Context, req *Request) Word {
	if !req.Named {
		return sv.run(ctx, req)
	}
	fl, owner, answer, err := sv.records.join(req.Key(), req.Digest())
	switch {
	case err != nil:
		return Word{Outcome: endpoint.OutcomeNotRun, Cause: err}
	case answer != nil:
		return Word{Outcome: endpoint.OutcomeAnswered, Answer: answer}
	case owner:
		return sv.lead(context.WithoutCancel(ctx), req, fl)
	}
	return sv.follow(ctx, req, fl)
}

// lead runs the request and tells the followers.
func (sv *Server) lead(ctx context.Context, req *Request, fl *flight) Word {
	word := Word{Outcome: endpoint.OutcomeUnknown, Cause: endpoint.ErrConnectionBroken}
	// The followers must hear an end even if the run panics.
	defer func() { sv.records.finish(req.Key(), fl, word) }()
	word = sv.run(ctx, req)
	return word
}

// follow waits for the run of another try.
func (sv *Server) follow(ctx context.Context, req *Request, fl *flight) Word {
	timer := time.NewTimer(time.Until(req.Deadline))
	defer timer.Stop()
	select {
	case <-fl.done:
	case <-timer.C:
		return Word{Outcome: endpoint.OutcomeUnknown, Cause: errPending, RetryAfter: sv.spread(outageRetry)}
	case <-ctx.Done():
		return Word{Outcome: endpoint.OutcomeUnknown, Cause: ctx.Err()}
	}
	if fl.word.Answer != nil && fl.word.Answer.Stream != nil {
		return Word{Outcome: endpoint.OutcomeUnknown, Cause: errNotKept}
	}
	return fl.word
}

// run sends the request as its mark allows.
func (sv *Server) run(ctx context.Context, req *Request) Word {
	if cause := sv.refusal(req); cause != nil {
		word := Word{Outcome: endpoint.Fold(req.prior(), nil), Cause: cause, RetryAfter: sv.retryOf(cause)}
		if req.Mark != MarkUnrepeatable {
			return word
		}
		if req.ticket != nil {
			return sv.refuseTicket(req, word)
		}
		return (&once{sv: sv, req: req, key: req.Key()}).refuse(ctx, word)
	}
	if req.ticket != nil {
		return sv.runTicket(ctx, req)
	}
	if req.Mark == MarkUnrepeatable {
		return sv.runOnce(ctx, req)
	}
	call := sv.callOf(req)
	call.Repeatable = req.Mark == MarkRepeatable
	if req.Named {
		key := req.Key()
		call.OnLate = func(answer *endpoint.Answer) {
			sv.records.late(key, answer)
			answer.Release()
		}
	}
	return sv.wordOf(req, sv.router.Do(ctx, call))
}

// refusal returns why a request is refused before anything is done for it.
func (sv *Server) refusal(req *Request) error {
	switch {
	case sv.stopping.Load():
		return errStopping
	case !sv.opts.Now().Before(req.Deadline):
		return errPast
	}
	return nil
}

func (sv *Server) retryOf(cause error) time.Duration {
	if errors.Is(cause, errStopping) {
		return sv.spread(stopRetry)
	}
	return 0
}

// callOf returns the endpoint call of a request.
func (sv *Server) callOf(req *Request) *endpoint.Call {
	call := &endpoint.Call{Service: req.Service, RequestID: string(req.ID), Method: req.Method, Target: req.Target, Host: req.Host, Header: forwarded(req.Header), Body: req.Body, Deadline: req.Deadline, Pin: req.Session.pin()}
	if req.Session != nil {
		call.SessionID = req.Session.ID
		call.NewSession = call.Pin == nil
	}
	return call
}

// forwarded returns the caller's headers without those that are between callers and entry instances.
func forwarded(hd http.Header) http.Header {
	out := make(http.Header, len(hd))
	for name, values := range hd {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	return out
}

// wordOf turns the end of a call into the word on its request.
func (sv *Server) wordOf(req *Request, rs endpoint.Result) Word {
	word := Word{Outcome: rs.Outcome, Answer: rs.Answer, Cause: rs.Err, RetryAfter: rs.RetryAfter, Pending: rs.Pending}
	if rs.Answer == nil {
		word.Outcome = endpoint.Fold(req.prior(), rs.AttemptOutcomes)
	}
	word.Session = sv.sessionToken(req, rs)
	return word
}

// sessionToken returns the token to go on with, bound to the endpoint that the request went to.
func (sv *Server) sessionToken(req *Request, rs endpoint.Result) string {
	if req.Session == nil || rs.Endpoint == "" || len(rs.AttemptOutcomes) == 0 {
		return ""
	}
	ss := *req.Session
	ss.Pin.Instance, ss.Pin.Epoch = rs.Endpoint, rs.Epoch
	return sv.signer.Token(ss)
}

// spread returns a time from one to two times the given one, so that callers do not come back together.
func (sv *Server) spread(wait time.Duration) time.Duration {
	return wait + rand.N(wait)
}

// background runs work that no caller waits for but the stop does.
func (sv *Server) background(work func()) {
	sv.tasks.Add(1)
	go func() {
		defer sv.tasks.Done()
		work()
	}()
}

// respond writes the word to the caller.
func (sv *Server) respond(wr http.ResponseWriter, req *Request, word Word) {
	sv.count(word.Outcome)
	hd := wr.Header()
	if word.Answer != nil {
		for name, values := range word.Answer.Header {
			hd[name] = values
		}
	}
	hd.Set(HeaderOutcome, string(word.Outcome))
	hd.Set(HeaderRequestID, string(req.ID))
	hd.Set(HeaderEntry, string(sv.opts.Entry))
	if word.Session != "" {
		hd.Set(HeaderSession, word.Session)
	}
	if word.Answer != nil {
		sv.deliver(wr, req, word.Answer)
		return
	}
	code, status := verdictOf(word.Cause)
	message := "no answer"
	if word.Cause != nil {
		message = rootMessage(word.Cause)
	}
	sv.writeStatus(wr, status, Status{Outcome: word.Outcome, Code: code, Message: message, RequestID: req.ID, RetryAfterMs: word.RetryAfter.Milliseconds()})
}

// rootMessage returns the cause without the addresses and detail that wrap it.
func rootMessage(err error) string {
	for _, vd := range verdicts {
		if errors.Is(err, vd.err) {
			return vd.err.Error()
		}
	}
	return "internal error"
}

func (sv *Server) count(outcome endpoint.Outcome) {
	switch outcome {
	case endpoint.OutcomeAnswered:
		sv.Answered.Add(1)
	case endpoint.OutcomeNotRun:
		sv.NotRun.Add(1)
	default:
		sv.Unknown.Add(1)
	}
}

// deliver writes an endpoint's answer; a break in a stream cuts the caller's connection, so that a short answer cannot look whole.
func (sv *Server) deliver(wr http.ResponseWriter, req *Request, answer *endpoint.Answer) {
	defer answer.Release()
	// A caller that reads slowly must not hold memory for ever; a failure only means that there is no connection to bound.
	_ = http.NewResponseController(wr).SetWriteDeadline(time.Now().Add(sv.opts.LongestRequest))
	if answer.Stream == nil && req.Method != http.MethodHead {
		wr.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	wr.WriteHeader(answer.Status)
	if _, err := wr.Write(answer.Body); err != nil && answer.Stream == nil {
		return
	}
	if answer.Stream == nil {
		return
	}
	defer func() { _ = answer.Stream.Close() }()
	if _, err := io.CopyBuffer(onlyWriter{wr}, answer.Stream, make([]byte, copyBytes)); err != nil {
		sv.opts.Log.Emit(event.AnswerBroken, zap.String("requestId", string(req.ID)), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// onlyWriter hides other methods, so that the copy's buffer bounds the memory.
type onlyWriter struct {
	io.Writer
}

// respondFault answers a bad request with all its findings, or one that there is no memory for; nothing was run.
func (sv *Server) respondFault(wr http.ResponseWriter, req *Request, ft *fault) {
	outcome := endpoint.OutcomeNotRun
	if ft.code == CodeOverloaded && req.Named && req.Try != 1 {
		// The message is sound, so the word is on the request, of which an earlier try may have run.
		outcome = endpoint.OutcomeUnknown
	}
	sv.count(outcome)
	hd := wr.Header()
	hd.Set(HeaderOutcome, string(outcome))
	hd.Set(HeaderEntry, string(sv.opts.Entry))
	if req.Named {
		hd.Set(HeaderRequestID, string(req.ID))
	}
	status := Status{Outcome: outcome, Code: ft.code, Message: ft.Error(), RequestID: req.ID, Findings: ft.findings}
	if ft.code == CodeOverloaded {
		status.RetryAfterMs = sv.spread(stopRetry).Milliseconds()
	}
	sv.writeStatus(wr, ft.status, status)
}

func (sv *Server) writeStatus(wr http.ResponseWriter, status int, body Status) {
	hd := wr.Header()
	hd.Set("Content-Type", "application/json")
	if body.RetryAfterMs > 0 {
		seconds := (body.RetryAfterMs + 999) / 1000
		hd.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	wr.WriteHeader(status)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(wr).Encode(body)
}

// Stop refuses new requests and waits until open ones have ended and their results are stored, or the context ends.
func (sv *Server) Stop(ctx context.Context) error {
	sv.stopping.Store(true)
	ticker := time.NewTicker(pollOpen)
	defer ticker.Stop()
	for sv.open.Load() > 0 || sv.records.open() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	done := make(chan struct{})
	go func() {
		sv.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Flight answers a peer that asks what became of a claim here.
func (sv *Server) Flight(key Key, nonce Nonce) (Word, bool) {
	return sv.records.ask(key, nonce)
}
