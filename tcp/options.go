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
	// meter is told of bytes by the kind of call; nil if nobody is.
	meter    Meter
	callKind func(*http.Request) string
	// greet is called with each new connection before its first call; nil for none.
	handshake HandshakeFunc
}

// HandshakeFunc speaks on a new connection before its first call, for which the connection was opened and whose values the context has. An error
// closes the connection; the call ends with it and is not sent.
type HandshakeFunc func(ctx context.Context, cn net.Conn) error

// Defaults of the options.
const (
	// defaultDial bounds opening a connection; halls are some milliseconds apart.
	defaultDialTimeout = time.Second
	// defaultIdle is how long an unused connection is kept.
	defaultIdleTimeout = 90 * time.Second
	// defaultIdleConnections is how many unused connections to an address are kept.
	defaultMaxIdleConnections = 2
)

func newOptions(opts []Option) options {
	op := options{dialTimeout: defaultDialTimeout, idleTimeout: defaultIdleTimeout, maxIdleConnections: defaultMaxIdleConnections}
	for _, set := range opts {
		set(&op)
	}
	return op
}

// DialTimeout bounds opening a connection.
func DialTimeout(timeout time.Duration) Option { return func(op *options) { op.dialTimeout = timeout } }

// IdleTimeout is how long an unused connection is kept.
func IdleTimeout(timeout time.Duration) Option { return func(op *options) { op.idleTimeout = timeout } }

// MaxConnections is how many connections to an address may be open at once.
func MaxConnections(count int) Option {
	return func(op *options) { op.maxConnections, op.maxIdleConnections = count, count }
}

// MaxIdleConnections is how many unused connections to an address are kept.
func MaxIdleConnections(count int) Option { return func(op *options) { op.maxIdleConnections = count } }

// Handshake has each new connection greeted, within the time that opening it may take.
func Handshake(handshake HandshakeFunc) Option { return func(op *options) { op.handshake = handshake } }
