// Package tcp provides HTTP clients whose requests are never delivered after the call has ended, and that detect dead connections.
package tcp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// ErrDeadlinePassed reports that the deadline of a call passed before the request was written.
var ErrDeadlinePassed = errors.New("deadline passed before the request was written")

// Transport sends requests over TCP. A call that ends without a complete response resets its connection, so that data which is still buffered
// or in flight is discarded instead of being delivered later. It implements http.RoundTripper.
type Transport struct {
	opts  options
	inner *http.Transport
	mu    sync.Mutex // guards conns
	// conns holds the open connections by address.
	conns map[string]map[*conn]bool
}

// NewClient returns a client with its own transport.
func NewClient(opts ...Option) *http.Client { return &http.Client{Transport: NewTransport(opts...)} }

// NewTransport returns a transport.
func NewTransport(opts ...Option) *Transport {
	tr := &Transport{opts: newOptions(opts), conns: map[string]map[*conn]bool{}}
	tr.inner = &http.Transport{
		DialContext: tr.dial, DisableCompression: true, IdleConnTimeout: tr.opts.idleTimeout,
		MaxConnsPerHost: tr.opts.maxConnections, MaxIdleConnsPerHost: tr.opts.maxIdleConnections,
	}
	return tr
}

// RoundTrip performs one call. Nothing is written after the deadline of its context, even if the process was suspended in the meantime. If the
// call times out, idle connections to the same address that have received nothing since it began are closed as well, as they may also be dead.
func (tr *Transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	startedAt := sinceStart()
	var used *conn
	ctx := httptrace.WithClientTrace(rq.Context(), &httptrace.ClientTrace{
		GotConn: func(gi httptrace.GotConnInfo) {
			used, _ = gi.Conn.(*conn)
			used.assign(rq.Context())
			if used != nil && tr.opts.callKind != nil {
				kind := tr.opts.callKind(rq)
				used.kind.Store(&kind)
			}
		},
	})
	rp, err := tr.inner.RoundTrip(rq.WithContext(ctx))
	if err != nil && used != nil && errors.Is(rq.Context().Err(), context.DeadlineExceeded) {
		tr.closeStale(used, startedAt)
	}
	return rp, err
}

// CloseIdleConnections closes the idle connections.
func (tr *Transport) CloseIdleConnections() { tr.inner.CloseIdleConnections() }

// dial opens a connection and performs the handshake.
func (tr *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dl := &net.Dialer{Timeout: tr.opts.dialTimeout, KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
	inner, err := dl.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tc, ok := inner.(*net.TCPConn); ok {
		// Closing the connection resets it, so that undelivered data is discarded.
		if err := tc.SetLinger(0); err != nil {
			inner.Close()
			return nil, err
		}
	}
	cn := &conn{Conn: inner, tr: tr, address: address}
	cn.lastReadAt.Store(int64(sinceStart()))
	if err := tr.handshake(ctx, cn); err != nil {
		cn.Close()
		return nil, err
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.conns[address] == nil {
		tr.conns[address] = map[*conn]bool{}
	}
	tr.conns[address][cn] = true
	return cn, nil
}

// handshake performs the handshake on a new connection, if one is configured.
func (tr *Transport) handshake(ctx context.Context, cn *conn) error {
	if tr.opts.handshake == nil {
		return nil
	}
	if err := cn.SetDeadline(time.Now().Add(tr.opts.dialTimeout)); err != nil {
		return err
	}
	if err := tr.opts.handshake(ctx, cn); err != nil {
		return err
	}
	return cn.SetDeadline(time.Time{})
}

// remove removes a closed connection from the list of open connections.
func (tr *Transport) remove(cn *conn) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.conns[cn.address], cn)
	if len(tr.conns[cn.address]) == 0 {
		delete(tr.conns, cn.address)
	}
}

// closeStale closes the idle connections to an address on which nothing has been read since the timed-out call began.
func (tr *Transport) closeStale(timedOut *conn, since time.Duration) {
	tr.mu.Lock()
	var stale []*conn
	for cn := range tr.conns[timedOut.address] {
		if cn != timedOut && cn.idle() && cn.lastReadAt.Load() < int64(since) {
			stale = append(stale, cn)
		}
	}
	tr.mu.Unlock()
	for _, cn := range stale {
		cn.Close()
	}
}
