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

// attemptResult is the end of one attempt.
type attemptResult struct {
	outcome  AttemptOutcome
	answer   *Answer
	err      error
	slot     slot
	duration time.Duration
}

// hopByHopHeaders belong to one connection and are not passed on.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// removeHopByHopHeaders removes what belongs to one connection, and what the connection's own header names.
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

// singleUseBody hides what net/http needs to send a request a second time by itself.
type singleUseBody struct {
	io.Reader
}

// Close does nothing; the bytes belong to the call.
func (singleUseBody) Close() error { return nil }

// attempt sends the call once and waits for its end; the slot is released when the answer has been read.
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

// transportFor returns the transport: connections are used again only where answers name their attempt and nothing forbids a second sending.
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

// receive judges the header of an answer and reads its body.
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

// bodyDelimited reports whether the end of the body can be told from a broken connection.
func bodyDelimited(rp *http.Response) bool {
	if rp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return rp.ContentLength >= 0 || len(rp.TransferEncoding) > 0 || rp.Body == http.NoBody
}

// drain reads the little that a refusal holds, so that the connection can be used again.
func drain(rp *http.Response) {
	const maxBytes = 4 << 10
	// What cannot be read only costs the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(rp.Body, maxBytes))
	_ = rp.Body.Close()
}

// readAnswer holds the body back until it is whole, or hands it over as a stream when it is too large for the buffers.
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
	// The body was read to its end, so closing it cannot lose anything.
	_ = rp.Body.Close()
	return attemptResult{outcome: Answered, answer: answer, slot: sl}
}

// bodyLength returns the length of the body that follows, negative if it is not known; what a header says of an answer to HEAD is not one.
func bodyLength(rp *http.Response) int64 {
	if rp.Body == http.NoBody {
		return 0
	}
	return rp.ContentLength
}

// reserveBuffer takes memory for an answer of a length, or of an unknown one; it returns -1 when the answer must stream.
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

// forwardedHeaders returns the headers of an answer that callers see.
func forwardedHeaders(hd http.Header) http.Header {
	removeHopByHopHeaders(hd)
	for name := range hd {
		if strings.HasPrefix(name, headerPrefix) {
			hd.Del(name)
		}
	}
	return hd
}

// Release gives back the memory of an answer that has been delivered.
func (an *Answer) Release() {
	if an != nil && an.release != nil && !an.released.Swap(true) {
		an.release()
	}
}

// readLimited reads a body whole, or one byte more than most.
func readLimited(body io.Reader, length int64, maxLength int) ([]byte, error) {
	if length >= 0 && length <= int64(maxLength) {
		buf := make([]byte, length)
		_, err := io.ReadFull(body, buf)
		return buf, err
	}
	return io.ReadAll(io.LimitReader(body, int64(maxLength)+1))
}

// AnswerStream is the part of an answer that is still to come.
type AnswerStream struct {
	body    io.ReadCloser
	cancel  context.CancelFunc
	release func()
	closed  atomic.Bool
}

// Read reads on; any error but io.EOF means that the answer is not whole.
func (as *AnswerStream) Read(buf []byte) (int, error) {
	return as.body.Read(buf)
}

// Close ends the attempt and frees its slot.
func (as *AnswerStream) Close() error {
	if as.closed.Swap(true) {
		return nil
	}
	err := as.body.Close()
	as.cancel()
	as.release()
	return err
}

// recordResult feeds the end of an attempt to what is known of the endpoint; an attempt that this side ended says nothing.
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

// refusedWith reports whether the endpoint's word was this one.
func refusedWith(err error, reason string) bool {
	return errors.Is(err, ErrRefused) && len(err.Error()) >= len(reason) && err.Error()[:len(reason)] == reason
}
