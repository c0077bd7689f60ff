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

// ended is the end of one attempt.
type ended struct {
	end    End
	answer *Answer
	err    error
	pl     place
	took   time.Duration
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// dropHopHeaders removes what belongs to one connection, and what the connection's own header names.
func dropHopHeaders(hd http.Header) {
	for _, value := range hd.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			hd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		hd.Del(name)
	}
}

// onceBody hides what net/http needs to send a request a second time by itself.
type onceBody struct {
	io.Reader
}

// Close does nothing; the bytes belong to the call.
func (onceBody) Close() error { return nil }

// attempt sends the call once and waits for its end; the slot is released when the answer has been read.
func (rt *Router) attempt(ctx context.Context, cancel context.CancelFunc, pl place, call *Call) ended {
	rt.Attempts.Add(1)
	began := rt.opts.Now()
	id := attemptID()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	rq, err := rt.request(httptrace.WithClientTrace(ctx, trace), pl, call, id)
	if err != nil {
		return ended{end: NotSent, err: err, pl: pl}
	}
	rp, err := rt.via(pl, call).RoundTrip(rq)
	ed := ended{pl: pl}
	switch {
	case err != nil && !sent.Load():
		ed.end, ed.err = NotSent, eris.Wrap(err, "connect")
	case err != nil:
		ed.end, ed.err = PerhapsRun, eris.Wrapf(ErrBroken, "%v", err)
	default:
		ed = rt.receive(cancel, pl, id, rp)
	}
	ed.took = rt.opts.Now().Sub(began)
	return ed
}

// via returns the transport: connections are used again only where answers name their attempt and nothing forbids a second sending.
func (rt *Router) via(pl place, call *Call) http.RoundTripper {
	if call.Repeatable && pl.ro.service.Echo {
		return pl.st.pooled
	}
	return rt.fresh
}

func attemptID() string {
	var raw [8]byte
	number := rand.Uint64()
	for ix := range raw {
		raw[ix] = byte(number >> (8 * ix))
	}
	return hex.EncodeToString(raw[:])
}

func (rt *Router) request(ctx context.Context, pl place, call *Call, id string) (*http.Request, error) {
	target, err := url.ParseRequestURI(call.Target)
	if err != nil {
		return nil, eris.Wrap(err, "parse target")
	}
	target.Scheme, target.Host = "http", pl.st.address
	rq := &http.Request{Method: call.Method, URL: target, Host: call.Host, Header: call.Header.Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	rq.ContentLength = int64(len(call.Body))
	rq.Body = onceBody{bytes.NewReader(call.Body)}
	dropHopHeaders(rq.Header)
	rq.Header[HeaderAttempt] = []string{id}
	rq.Header[HeaderRequestID] = []string{call.RequestID}
	rq.Header[HeaderDeadline] = []string{strconv.FormatInt(call.Deadline.UnixMilli(), 10)}
	if call.SessionID != "" {
		rq.Header[HeaderSession] = []string{call.SessionID}
	}
	return rq.WithContext(ctx), nil
}

// receive judges the header of an answer and reads its body.
func (rt *Router) receive(cancel context.CancelFunc, pl place, id string, rp *http.Response) ended {
	if rt.foreign(pl, id, rp) {
		cancel()
		rt.opts.Log.Emit(event.AnswerForeign, zap.String("endpoint", string(pl.st.id)))
		return ended{end: PerhapsRun, err: ErrForeign, pl: pl}
	}
	if word := rp.Header.Get(HeaderNotRun); word != "" && rp.StatusCode == http.StatusServiceUnavailable {
		drain(rp)
		return ended{end: Refused, err: eris.Wrap(ErrRefused, word), pl: pl}
	}
	if !lengthKnown(rp) {
		cancel()
		return ended{end: PerhapsRun, err: ErrNotWhole, pl: pl}
	}
	return rt.read(cancel, pl, rp)
}

// foreign reports whether an answer belongs to another attempt on the same connection.
func (rt *Router) foreign(pl place, id string, rp *http.Response) bool {
	echoed := rp.Header.Get(HeaderAttempt)
	if echoed == "" {
		return pl.ro.service.Echo
	}
	return echoed != id
}

// lengthKnown reports whether the end of the body can be told from a broken connection.
func lengthKnown(rp *http.Response) bool {
	if rp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return rp.ContentLength >= 0 || len(rp.TransferEncoding) > 0 || rp.Body == http.NoBody
}

// drain reads the little that a refusal holds, so that the connection can be used again.
func drain(rp *http.Response) {
	const most = 4 << 10
	// What cannot be read only costs the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(rp.Body, most))
	_ = rp.Body.Close()
}

// read holds the body back until it is whole, or hands it over as a stream when it is too large for the buffers.
func (rt *Router) read(cancel context.CancelFunc, pl place, rp *http.Response) ended {
	answer := &Answer{Status: rp.StatusCode, Header: passedOn(rp.Header)}
	length := bodyLength(rp)
	reserved := rt.reserve(length)
	if reserved < 0 {
		answer.Rest = &Rest{body: rp.Body, cancel: cancel, release: pl.release}
		return ended{end: Answered, answer: answer, pl: pl}
	}
	answer.release = func() { rt.opts.Buffers.Give(reserved) }
	body, err := readUpTo(rp.Body, length, rt.opts.AnswerBytes)
	if err != nil {
		answer.Release()
		cancel()
		return ended{end: PerhapsRun, err: eris.Wrapf(ErrBroken, "answer: %v", err), pl: pl}
	}
	answer.Body = body
	if len(body) > rt.opts.AnswerBytes {
		answer.Rest = &Rest{body: rp.Body, cancel: cancel, release: pl.release}
		return ended{end: Answered, answer: answer, pl: pl}
	}
	// The body was read to its end, so closing it cannot lose anything.
	_ = rp.Body.Close()
	return ended{end: Answered, answer: answer, pl: pl}
}

// bodyLength returns the length of the body that follows, negative if it is not known; what a header says of an answer to HEAD is not one.
func bodyLength(rp *http.Response) int64 {
	if rp.Body == http.NoBody {
		return 0
	}
	return rp.ContentLength
}

// reserve takes memory for an answer of a length, or of an unknown one; it returns -1 when the answer must stream.
func (rt *Router) reserve(length int64) int64 {
	if length > int64(rt.opts.AnswerBytes) {
		return -1
	}
	if length < 0 {
		length = int64(rt.opts.AnswerBytes) + 1
	}
	if !rt.opts.Buffers.Take(length) {
		return -1
	}
	return length
}

// passedOn returns the headers of an answer that callers see.
func passedOn(hd http.Header) http.Header {
	dropHopHeaders(hd)
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

// readUpTo reads a body whole, or one byte more than most.
func readUpTo(body io.Reader, length int64, most int) ([]byte, error) {
	if length >= 0 && length <= int64(most) {
		buf := make([]byte, length)
		_, err := io.ReadFull(body, buf)
		return buf, err
	}
	return io.ReadAll(io.LimitReader(body, int64(most)+1))
}

// Rest is the part of an answer that is still to come.
type Rest struct {
	body    io.ReadCloser
	cancel  context.CancelFunc
	release func()
	closed  atomic.Bool
}

// Read reads on; any error but io.EOF means that the answer is not whole.
func (rs *Rest) Read(buf []byte) (int, error) {
	return rs.body.Read(buf)
}

// Close ends the attempt and frees its slot.
func (rs *Rest) Close() error {
	if rs.closed.Swap(true) {
		return nil
	}
	err := rs.body.Close()
	rs.cancel()
	rs.release()
	return err
}

// learn feeds the end of an attempt to what is known of the endpoint; an attempt that this side ended says nothing.
func (rt *Router) learn(ed ended, canceled bool) {
	st, now := ed.pl.st, rt.opts.Now()
	if canceled && ed.end != Answered {
		st.health.abandonTrial()
		return
	}
	if ed.end == NotSent && errors.Is(ed.err, syscall.ECONNREFUSED) {
		st.refusedSince.CompareAndSwap(0, now.UnixNano())
	} else if ed.end != NotSent {
		st.refusedSince.Store(0)
	}
	switch {
	case ed.end == Refused:
		rt.learnRefusal(ed)
	case ed.end == Answered && ed.answer.Status < http.StatusInternalServerError:
		st.limit.grow(ed.pl.ro.share)
		if st.health.succeed(ed.took) {
			rt.opts.Log.Emit(event.EndpointReturned, zap.String("endpoint", string(st.id)))
		}
	default:
		rt.learnFailure(st, ed.err)
	}
}

func (rt *Router) learnFailure(st *state, cause error) {
	if st.health.fail(rt.opts.Now(), *rt.eject.Load()) {
		rt.opts.Log.Emit(event.EndpointEjected, zap.String("endpoint", string(st.id)), zap.NamedError("cause", cause))
	}
}

func (rt *Router) learnRefusal(ed ended) {
	st := ed.pl.st
	st.health.abandonTrial()
	if !refusedAs(ed.err, RefusedLeaving) {
		st.limit.shrink(ed.pl.ro.share)
		return
	}
	rt.Leave(st.id)
}

// refusedAs reports whether the endpoint's word was this one.
func refusedAs(err error, word string) bool {
	return errors.Is(err, ErrRefused) && len(err.Error()) >= len(word) && err.Error()[:len(word)] == word
}
