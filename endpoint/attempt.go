package endpoint

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome  AttemptOutcome
	answer   *Answer
	err      error
	slot     slot
	duration time.Duration
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// removeHopByHopHeaders removes the headers of a single connection, and the headers that the Connection header lists.
func removeHopByHopHeaders(hd http.Header) {
	for _, value := range hd.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			hd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		hd.Del(name)
	}
}

// singleUseBody hides the reader's type, so that net/http cannot replay the body and send the request a second time on its own.
type singleUseBody struct {
	io.Reader
}

// Close does nothing, because the call owns the bytes.
func (singleUseBody) Close() error { return nil }

// attempt sends the call once and reads the answer. The caller releases the slot, except for a streamed answer, which releases it on Close.
func (rt *Router) attempt(ctx context.Context, cancel context.CancelFunc, sl slot, call *Call) attemptResult {
	rt.Attempts.Add(1)
	started := rt.opts.Now()
	id := newAttemptID()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	rq, err := rt.newRequest(httptrace.WithClientTrace(ctx, trace), sl, call, id)
	if err != nil {
		return attemptResult{outcome: NotSent, err: err, slot: sl}
	}
	rp, err := rt.transportFor(sl, call).RoundTrip(rq)
	ar := attemptResult{slot: sl}
	switch {
	case err != nil && !sent.Load():
		ar.outcome, ar.err = NotSent, eris.Wrap(err, "connect")
	case err != nil:
		ar.outcome, ar.err = MaybeRun, eris.Wrapf(ErrConnectionBroken, "%v", err)
	default:
		ar = rt.receive(cancel, sl, id, rp)
	}
	ar.duration = rt.opts.Now().Sub(started)
	return ar
}

// transportFor returns the transport of an attempt. Connections are reused only for repeatable calls, which may be sent twice,
// to services that echo the attempt id.
func (rt *Router) transportFor(sl slot, call *Call) http.RoundTripper {
	if call.Repeatable && sl.ro.service.Echo {
		return sl.st.pooled
	}
	return rt.unpooled
}

func newAttemptID() string {
	var raw [8]byte
	number := rand.Uint64()
	for ix := range raw {
		raw[ix] = byte(number >> (8 * ix))
	}
	return hex.EncodeToString(raw[:])
}

func (rt *Router) newRequest(ctx context.Context, sl slot, call *Call, id string) (*http.Request, error) {
	target, err := url.ParseRequestURI(call.Target)
	if err != nil {
		return nil, eris.Wrap(err, "parse target")
	}
	target.Scheme, target.Host = "http", sl.st.address
	rq := &http.Request{Method: call.Method, URL: target, Host: call.Host, Header: call.Header.Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	rq.ContentLength = int64(len(call.Body))
	rq.Body = singleUseBody{bytes.NewReader(call.Body)}
	removeHopByHopHeaders(rq.Header)
	rq.Header[HeaderAttempt] = []string{id}
	rq.Header[HeaderRequestID] = []string{call.RequestID}
	rq.Header[HeaderDeadline] = []string{strconv.FormatInt(call.Deadline.UnixMilli(), 10)}
	if call.SessionID != "" {
		rq.Header[HeaderSession] = []string{call.SessionID}
	}
	return rq.WithContext(ctx), nil
}

// receive checks the header of an answer and reads its body.
func (rt *Router) receive(cancel context.CancelFunc, sl slot, id string, rp *http.Response) attemptResult {
	if rt.attemptMismatch(sl, id, rp) {
		cancel()
		rt.opts.Log.Emit(event.AnswerForeign, zap.String("endpoint", string(sl.st.id)))
		return attemptResult{outcome: MaybeRun, err: ErrAttemptMismatch, slot: sl}
	}
	if reason := rp.Header.Get(HeaderNotRun); reason != "" && rp.StatusCode == http.StatusServiceUnavailable {
		drain(rp)
		return attemptResult{outcome: Refused, err: eris.Wrap(ErrRefused, reason), slot: sl}
	}
	if !bodyDelimited(rp) {
		cancel()
		return attemptResult{outcome: MaybeRun, err: ErrUnknownLength, slot: sl}
	}
	return rt.readAnswer(cancel, sl, rp)
}

// attemptMismatch reports whether an answer belongs to another attempt on the same connection.
func (rt *Router) attemptMismatch(sl slot, id string, rp *http.Response) bool {
	echoed := rp.Header.Get(HeaderAttempt)
	if echoed == "" {
		return sl.ro.service.Echo
	}
	return echoed != id
}

// bodyDelimited reports whether a complete body can be distinguished from one cut off by a broken connection.
func bodyDelimited(rp *http.Response) bool {
	if rp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return rp.ContentLength >= 0 || len(rp.TransferEncoding) > 0 || rp.Body == http.NoBody
}

// drain reads the short body of a refusal, so that the connection can be reused.
func drain(rp *http.Response) {
	const maxBytes = 4 << 10
	// On an error the connection is not reused; nothing else is lost.
	_, _ = io.Copy(io.Discard, io.LimitReader(rp.Body, maxBytes))
	_ = rp.Body.Close()
}

// readAnswer buffers the body until it is complete. It returns a stream when the body is too large or the buffers are exhausted.
func (rt *Router) readAnswer(cancel context.CancelFunc, sl slot, rp *http.Response) attemptResult {
	answer := &Answer{Status: rp.StatusCode, Header: forwardedHeaders(rp.Header)}
	length := bodyLength(rp)
	reserved := rt.reserveBuffer(length)
	if reserved < 0 {
		answer.Stream = &AnswerStream{body: rp.Body, cancel: cancel, release: sl.release}
		return attemptResult{outcome: Answered, answer: answer, slot: sl}
	}
	answer.release = func() { rt.opts.Buffers.Release(reserved) }
	body, err := readLimited(rp.Body, length, rt.opts.MaxBufferedAnswer)
	if err != nil {
		answer.Release()
		cancel()
		return attemptResult{outcome: MaybeRun, err: eris.Wrapf(ErrConnectionBroken, "answer: %v", err), slot: sl}
	}
	answer.Body = body
	if len(body) > rt.opts.MaxBufferedAnswer {
		answer.Stream = &AnswerStream{body: rp.Body, cancel: cancel, release: sl.release}
		return attemptResult{outcome: Answered, answer: answer, slot: sl}
	}
	// The body has been read completely, so an error from Close loses no data.
	_ = rp.Body.Close()
	return attemptResult{outcome: Answered, answer: answer, slot: sl}
}

// bodyLength returns the length of the body, or a negative number if it is unknown. It is 0 for an answer to HEAD, whatever Content-Length says.
func bodyLength(rp *http.Response) int64 {
	if rp.Body == http.NoBody {
		return 0
	}
	return rp.ContentLength
}

// reserveBuffer reserves memory for an answer of a known length, or of an unknown one if negative.
// It returns -1 when the answer must be streamed.
func (rt *Router) reserveBuffer(length int64) int64 {
	if length > int64(rt.opts.MaxBufferedAnswer) {
		return -1
	}
	if length < 0 {
		length = int64(rt.opts.MaxBufferedAnswer) + 1
	}
	if !rt.opts.Buffers.Reserve(length) {
		return -1
	}
	return length
}

// forwardedHeaders removes hop-by-hop and internal headers and returns the headers that callers see.
func forwardedHeaders(hd http.Header) http.Header {
	removeHopByHopHeaders(hd)
	for name := range hd {
		if strings.HasPrefix(name, headerPrefix) {
			hd.Del(name)
		}
	}
	return hd
}

// Release returns the memory of a delivered answer to the buffers.
func (an *Answer) Release() {
	if an != nil && an.release != nil && !an.released.Swap(true) {
		an.release()
	}
}

// readLimited reads a complete body, or maxLength+1 bytes of a longer one.
func readLimited(body io.Reader, length int64, maxLength int) ([]byte, error) {
	if length >= 0 && length <= int64(maxLength) {
		buf := make([]byte, length)
		_, err := io.ReadFull(body, buf)
		return buf, err
	}
	return io.ReadAll(io.LimitReader(body, int64(maxLength)+1))
}

// AnswerStream reads the part of an answer that follows the buffered bytes.
type AnswerStream struct {
	body    io.ReadCloser
	cancel  context.CancelFunc
	release func()
	closed  atomic.Bool
}

// Read reads the next bytes. Any error other than io.EOF means that the answer is incomplete.
func (as *AnswerStream) Read(buf []byte) (int, error) {
	return as.body.Read(buf)
}

// Close ends the attempt and releases its slot.
func (as *AnswerStream) Close() error {
	if as.closed.Swap(true) {
		return nil
	}
	err := as.body.Close()
	as.cancel()
	as.release()
	return err
}

// recordResult updates the endpoint's health and limit with the result of an attempt. Attempts that were cancelled
// before an answer are ignored, because they say nothing about the endpoint.
func (rt *Router) recordResult(ar attemptResult, canceled bool) {
	st, now := ar.slot.st, rt.opts.Now()
	if canceled && ar.outcome != Answered {
		st.health.cancelProbe()
		return
	}
	if ar.outcome == NotSent && errors.Is(ar.err, syscall.ECONNREFUSED) {
		st.refusedSince.CompareAndSwap(0, now.UnixNano())
	} else if ar.outcome != NotSent {
		st.refusedSince.Store(0)
	}
	switch {
	case ar.outcome == Refused:
		rt.recordRefusal(ar)
	case ar.outcome == Answered && ar.answer.Status < http.StatusInternalServerError:
		st.limit.grow(ar.slot.ro.share)
		if st.health.recordSuccess(ar.duration) {
			rt.opts.Log.Emit(event.EndpointReturned, zap.String("endpoint", string(st.id)))
		}
	default:
		rt.recordFailure(st, ar.err)
	}
}

func (rt *Router) recordFailure(st *endpointState, cause error) {
	if st.health.recordFailure(rt.opts.Now(), *rt.ejectPolicy.Load()) {
		rt.opts.Log.Emit(event.EndpointEjected, zap.String("endpoint", string(st.id)), zap.NamedError("cause", cause))
	}
}

func (rt *Router) recordRefusal(ar attemptResult) {
	st := ar.slot.st
	st.health.cancelProbe()
	if !refusedWith(ar.err, RefusedLeaving) {
		st.limit.shrink(ar.slot.ro.share)
		return
	}
	rt.MarkLeaving(st.id)
}

// refusedWith reports whether the endpoint refused with the given reason.
func refusedWith(err error, reason string) bool {
	return errors.Is(err, ErrRefused) && len(err.Error()) >= len(reason) && err.Error()[:len(reason)] == reason
}
