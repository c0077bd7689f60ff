// Package tcp makes clients whose calls cannot arrive after they were given up, and that notice silent connections.
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

// ErrDeadlinePassed says that the time of a call was over before a byte of it was written.
var ErrDeadlinePassed = errors.New("the time of the call was over before it was written")

// Transport carries calls. A call that ends without a whole answer resets its connection, so that bytes which the network still holds
// are thrown away and not delivered later. It implements http.RoundTripper.
type Transport struct {
	opts  options
	inner *http.Transport
	mu    sync.Mutex // guards open
	// open holds the connections by address.
	conns map[string]map[*conn]bool
}

// NewClient returns a client over a transport of its own.
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

// RoundTrip carries one call. Nothing of it is written after its context's deadline, even if the process stood still meanwhile. Where it
// was given up without an answer, unused connections to the same address that have been as silent are closed: they may be as dead.
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

// CloseIdleConnections closes the connections that no call uses.
func (tr *Transport) CloseIdleConnections() { tr.inner.CloseIdleConnections() }

// dial opens a connection.
func (tr *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dl := &net.Dialer{Timeout: tr.opts.dialTimeout, KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
	inner, err := dl.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tc, ok := inner.(*net.TCPConn); ok {
		// Closing resets: what was not delivered by then never is.
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

// greet greets a new connection.
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

// forget takes a connection that is closed out of the list.
func (tr *Transport) remove(cn *conn) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.conns[cn.address], cn)
	if len(tr.conns[cn.address]) == 0 {
		delete(tr.conns, cn.address)
	}
}

// dropSilent closes the connections to an address that nothing uses and on which nothing was heard since a call began that failed.
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
