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
	// internalPrefix is the prefix of paths that entry instances serve themselves.
	internalPrefix = "/.aspenseam/"
	// readyPath is the readiness check of the platform's load balancer.
	readyPath = "/.aspenseam/ready"
	// shortRetryDelay is the base delay before callers retry while this entry instance is stopping or overloaded, or their request is pending.
	shortRetryDelay  = 100 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
	copyBufferBytes  = 32 << 10
)

// Server handles the HTTP requests of callers.
type Server struct {
	opts         Options
	router       Router
	snapshots    Snapshots
	peers        Peers
	signer       *Signer
	records      *records
	claims       *claims
	tickets      *tickets
	stopping     atomic.Bool
	openRequests atomic.Int64
	tasks        sync.WaitGroup
	// Answered, NotRun and Unknown count responses by outcome.
	Answered, NotRun, Unknown atomic.Int64
}

// NewServer returns a server that sends requests through a router and writes claims to a store.
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

// ServeHTTP handles one request.
func (sv *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	sv.openRequests.Add(1)
	defer sv.openRequests.Add(-1)
	switch {
	case rq.URL.Path == readyPath:
		sv.serveReady(wr)
	case rq.URL.Path == TicketPath:
		sv.serveTicket(wr)
	case strings.HasPrefix(rq.URL.Path, CollectPath):
		sv.serveCollect(wr, rq)
	case strings.HasPrefix(rq.URL.Path, internalPrefix):
		sv.respondError(wr, &Request{}, &requestError{status: http.StatusNotFound, code: CodeBadRequest, findings: []string{"no such path below " + internalPrefix}})
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

// serve parses a request, runs it and writes the response.
func (sv *Server) serve(wr http.ResponseWriter, rq *http.Request) {
	req, reqErr := sv.parseRequest(rq)
	if reqErr != nil {
		sv.respondError(wr, req, reqErr)
		return
	}
	body, release, reqErr := sv.readBody(wr, rq)
	defer release()
	if reqErr != nil {
		sv.respondError(wr, req, reqErr)
		return
	}
	req.Body = body
	sv.respond(wr, req, sv.runShared(rq.Context(), req))
}

// runShared returns the result of a request. Concurrent tries of the same request share one run.
func (sv *Server) runShared(ctx context.Context, req *Request) Result {
	if !req.IDFromCaller {
		return sv.run(ctx, req)
	}
	fl, owner, answer, err := sv.records.join(req.Key(), req.Digest())
	switch {
	case err != nil:
		return Result{Outcome: endpoint.OutcomeNotRun, Cause: err}
	case answer != nil:
		return Result{Outcome: endpoint.OutcomeAnswered, Answer: answer}
	case owner:
		return sv.runFlight(context.WithoutCancel(ctx), req, fl)
	}
	return sv.waitFlight(ctx, req, fl)
}

// runFlight runs the request and passes its result to the tries that wait for it.
func (sv *Server) runFlight(ctx context.Context, req *Request, fl *flight) Result {
	result := Result{Outcome: endpoint.OutcomeUnknown, Cause: endpoint.ErrConnectionBroken}
	// The waiting tries must get a result even if the run panics.
	defer func() { sv.records.finish(req.Key(), fl, result) }()
	result = sv.run(ctx, req)
	return result
}

// waitFlight waits for the result of another try's run.
func (sv *Server) waitFlight(ctx context.Context, req *Request, fl *flight) Result {
	timer := time.NewTimer(time.Until(req.Deadline))
	defer timer.Stop()
	select {
	case <-fl.done:
	case <-timer.C:
		return Result{Outcome: endpoint.OutcomeUnknown, Cause: errPending, RetryAfter: sv.jitter(outageRetryDelay)}
	case <-ctx.Done():
		return Result{Outcome: endpoint.OutcomeUnknown, Cause: ctx.Err()}
	}
	if fl.result.Answer != nil && fl.result.Answer.Stream != nil {
		return Result{Outcome: endpoint.OutcomeUnknown, Cause: errAnswerNotKept}
	}
	return fl.result
}

// run sends the request according to its delivery mode.
func (sv *Server) run(ctx context.Context, req *Request) Result {
	if cause := sv.rejectionCause(req); cause != nil {
		result := Result{Outcome: endpoint.Fold(req.prior(), nil), Cause: cause, RetryAfter: sv.retryAfterFor(cause)}
		if req.Delivery != DeliveryAtMostOnce {
			return result
		}
		if req.ticket != nil {
			return sv.rejectTicket(req, result)
		}
		return (&claimedRequest{sv: sv, req: req, key: req.Key()}).reject(ctx, result)
	}
	if req.ticket != nil {
		return sv.runTicket(ctx, req)
	}
	if req.Delivery == DeliveryAtMostOnce {
		return sv.runAtMostOnce(ctx, req)
	}
	call := sv.newCall(req)
	call.Repeatable = req.Delivery == DeliveryRepeatable
	if req.IDFromCaller {
		key := req.Key()
		call.OnLate = func(answer *endpoint.Answer) {
			sv.records.finishLate(key, answer)
			answer.Release()
		}
	}
	return sv.resultFrom(req, sv.router.Do(ctx, call))
}

// rejectionCause returns the reason to reject a request before it is processed, nil if there is none.
func (sv *Server) rejectionCause(req *Request) error {
	switch {
	case sv.stopping.Load():
		return errStopping
	case !sv.opts.Now().Before(req.Deadline):
		return errDeadlinePassed
	}
	return nil
}

func (sv *Server) retryAfterFor(cause error) time.Duration {
	if errors.Is(cause, errStopping) {
		return sv.jitter(shortRetryDelay)
	}
	return 0
}

// newCall returns the endpoint call for a request.
func (sv *Server) newCall(req *Request) *endpoint.Call {
	call := &endpoint.Call{Service: req.Service, RequestID: string(req.ID), Method: req.Method, Target: req.Target, Host: req.Host, Header: endpointHeaders(req.Header), Body: req.Body, Deadline: req.Deadline, Pin: req.Session.pin()}
	if req.Session != nil {
		call.SessionID = req.Session.ID
		call.NewSession = call.Pin == nil
	}
	return call
}

// endpointHeaders returns the caller's headers without those meant for entry instances only.
func endpointHeaders(hd http.Header) http.Header {
	out := make(http.Header, len(hd))
	for name, values := range hd {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	return out
}

// resultFrom converts the result of an endpoint call to the result of the request.
func (sv *Server) resultFrom(req *Request, rs endpoint.Result) Result {
	result := Result{Outcome: rs.Outcome, Answer: rs.Answer, Cause: rs.Err, RetryAfter: rs.RetryAfter, Pending: rs.Pending}
	if rs.Answer == nil {
		result.Outcome = endpoint.Fold(req.prior(), rs.AttemptOutcomes)
	}
	result.Session = sv.sessionToken(req, rs)
	return result
}

// sessionToken returns the token for the session's next request, pinned to the endpoint that this one was sent to.
func (sv *Server) sessionToken(req *Request, rs endpoint.Result) string {
	if req.Session == nil || rs.Endpoint == "" || len(rs.AttemptOutcomes) == 0 {
		return ""
	}
	ss := *req.Session
	ss.Pin.Instance, ss.Pin.Epoch = rs.Endpoint, rs.Epoch
	return sv.signer.Token(ss)
}

// jitter returns a random duration between one and two times wait, so that callers do not retry at the same time.
func (sv *Server) jitter(wait time.Duration) time.Duration {
	return wait + rand.N(wait)
}

// background runs work in a goroutine that Stop waits for.
func (sv *Server) background(work func()) {
	sv.tasks.Add(1)
	go func() {
		defer sv.tasks.Done()
		work()
	}()
}

// respond writes the result to the caller.
func (sv *Server) respond(wr http.ResponseWriter, req *Request, result Result) {
	sv.countOutcome(result.Outcome)
	hd := wr.Header()
	if result.Answer != nil {
		for name, values := range result.Answer.Header {
			hd[name] = values
		}
	}
	hd.Set(HeaderOutcome, string(result.Outcome))
	hd.Set(HeaderRequestID, string(req.ID))
	hd.Set(HeaderEntry, string(sv.opts.Entry))
	if result.Session != "" {
		hd.Set(HeaderSession, result.Session)
	}
	if result.Answer != nil {
		sv.writeAnswer(wr, req, result.Answer)
		return
	}
	code, status := codeFor(result.Cause)
	message := "no answer"
	if result.Cause != nil {
		message = rootMessage(result.Cause)
	}
	sv.writeStatus(wr, status, Status{Outcome: result.Outcome, Code: code, Message: message, RequestID: req.ID, RetryAfterMs: result.RetryAfter.Milliseconds()})
}

// rootMessage returns the message of the underlying error, without addresses and other wrapped details.
func rootMessage(err error) string {
	for _, ec := range errorCodes {
		if errors.Is(err, ec.err) {
			return ec.err.Error()
		}
	}
	return "internal error"
}

func (sv *Server) countOutcome(outcome endpoint.Outcome) {
	switch outcome {
	case endpoint.OutcomeAnswered:
		sv.Answered.Add(1)
	case endpoint.OutcomeNotRun:
		sv.NotRun.Add(1)
	default:
		sv.Unknown.Add(1)
	}
}

// writeAnswer writes an endpoint's answer. If a stream breaks, it aborts the caller's connection, so that a truncated answer cannot look complete.
func (sv *Server) writeAnswer(wr http.ResponseWriter, req *Request, answer *endpoint.Answer) {
	defer answer.Release()
	// The deadline keeps slow readers from holding memory indefinitely. An error only means that the writer does not support deadlines.
	_ = http.NewResponseController(wr).SetWriteDeadline(time.Now().Add(sv.opts.MaxRequestDuration))
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
	if _, err := io.CopyBuffer(onlyWriter{wr}, answer.Stream, make([]byte, copyBufferBytes)); err != nil {
		sv.opts.Log.Emit(event.AnswerBroken, zap.String("requestId", string(req.ID)), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// onlyWriter hides ReadFrom and other methods, so that io.CopyBuffer uses the given buffer and memory stays bounded.
type onlyWriter struct {
	io.Writer
}

// respondError rejects a bad request with all its findings, or a request for which there is no buffer memory. Nothing was run.
func (sv *Server) respondError(wr http.ResponseWriter, req *Request, reqErr *requestError) {
	outcome := endpoint.OutcomeNotRun
	if reqErr.code == CodeOverloaded && req.IDFromCaller && req.Try != 1 {
		// The request is valid, so the outcome must cover earlier tries, and one of them may have run.
		outcome = endpoint.OutcomeUnknown
	}
	sv.countOutcome(outcome)
	hd := wr.Header()
	hd.Set(HeaderOutcome, string(outcome))
	hd.Set(HeaderEntry, string(sv.opts.Entry))
	if req.IDFromCaller {
		hd.Set(HeaderRequestID, string(req.ID))
	}
	status := Status{Outcome: outcome, Code: reqErr.code, Message: reqErr.Error(), RequestID: req.ID, Findings: reqErr.findings}
	if reqErr.code == CodeOverloaded {
		status.RetryAfterMs = sv.jitter(shortRetryDelay).Milliseconds()
	}
	sv.writeStatus(wr, reqErr.status, status)
}

func (sv *Server) writeStatus(wr http.ResponseWriter, status int, body Status) {
	hd := wr.Header()
	hd.Set("Content-Type", "application/json")
	if body.RetryAfterMs > 0 {
		seconds := (body.RetryAfterMs + 999) / 1000
		hd.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	wr.WriteHeader(status)
	// A write error means that the caller has disconnected; there is nothing else to do.
	_ = json.NewEncoder(wr).Encode(body)
}

// Stop rejects new requests and waits until open ones have ended and their results are stored, or until the context is done.
func (sv *Server) Stop(ctx context.Context) error {
	sv.stopping.Store(true)
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for sv.openRequests.Load() > 0 || sv.records.countOpen() > 0 {
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

// ClaimStatus returns the result of the request under a claim of this entry instance, for a peer. It returns false if there is no record.
func (sv *Server) ClaimStatus(key Key, nonce Nonce) (Result, bool) {
	return sv.records.lookup(key, nonce)
}
