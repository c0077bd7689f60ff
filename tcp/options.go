package tcp

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Option sets one property of a transport.
type Option func(*options)

type options struct {
	dialTimeout, idleTimeout           time.Duration
	maxConnections, maxIdleConnections int
	// meter counts bytes by the kind of call; nil for none.
	meter    Meter
	callKind func(*http.Request) string
	// handshake is called with each new connection before its first call; nil for none.
	handshake HandshakeFunc
}

// HandshakeFunc performs a handshake on a new connection before its first call. The context carries the values of that call's context.
// An error closes the connection; the call is not sent and returns the error.
type HandshakeFunc func(ctx context.Context, cn net.Conn) error

// Defaults of the options.
const (
	// defaultDialTimeout limits opening a connection. The latency between data halls is a few milliseconds.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection is kept open.
	defaultIdleTimeout = 90 * time.Second
	// defaultMaxIdleConnections is how many idle connections to an address are kept open.
	defaultMaxIdleConnections = 2
)

func newOptions(opts []Option) options {
	op := options{dialTimeout: defaultDialTimeout, idleTimeout: defaultIdleTimeout, maxIdleConnections: defaultMaxIdleConnections}
	for _, set := range opts {
		set(&op)
	}
	return op
}

// DialTimeout limits the time to open a connection.
func DialTimeout(timeout time.Duration) Option { return func(op *options) { op.dialTimeout = timeout } }

// IdleTimeout sets how long an idle connection is kept open.
func IdleTimeout(timeout time.Duration) Option { return func(op *options) { op.idleTimeout = timeout } }

// MaxConnections limits the number of open connections to an address.
func MaxConnections(count int) Option {
	return func(op *options) { op.maxConnections, op.maxIdleConnections = count, count }
}

// MaxIdleConnections limits the number of idle connections to an address.
func MaxIdleConnections(count int) Option { return func(op *options) { op.maxIdleConnections = count } }

// Handshake performs a handshake on each new connection. It is limited by the dial timeout.
func Handshake(handshake HandshakeFunc) Option { return func(op *options) { op.handshake = handshake } }
