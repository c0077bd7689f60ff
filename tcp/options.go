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
	dialTimeout, idleTime        time.Duration
	connections, idleConnections int
	// meter is told of bytes by the kind of call; nil if nobody is.
	meter Meter
	kind  func(*http.Request) string
	// greet is called with each new connection before its first call; nil for none.
	greet HandshakeFunc
}

// HandshakeFunc speaks on a new connection before its first call, for which the connection was opened and whose values the context has. An error
// closes the connection; the call ends with it and is not sent.
type HandshakeFunc func(ctx context.Context, cn net.Conn) error

// Defaults of the options.
const (
	// defaultDial bounds opening a connection; halls are some milliseconds apart.
	defaultDial = time.Second
	// defaultIdle is how long an unused connection is kept.
	defaultIdle = 90 * time.Second
	// defaultIdleConnections is how many unused connections to an address are kept.
	defaultIdleConnections = 2
)

func newOptions(opts []Option) options {
	op := options{dialTimeout: defaultDial, idleTime: defaultIdle, idleConnections: defaultIdleConnections}
	for _, set := range opts {
		set(&op)
	}
	return op
}

// DialTimeout bounds opening a connection.
func DialTimeout(span time.Duration) Option { return func(op *options) { op.dialTimeout = span } }

// IdleTimeout is how long an unused connection is kept.
func IdleTimeout(span time.Duration) Option { return func(op *options) { op.idleTime = span } }

// MaxConnections is how many connections to an address may be open at once.
func MaxConnections(most int) Option {
	return func(op *options) { op.connections, op.idleConnections = most, most }
}

// MaxIdleConnections is how many unused connections to an address are kept.
func MaxIdleConnections(most int) Option { return func(op *options) { op.idleConnections = most } }

// Handshake has each new connection greeted, within the time that opening it may take.
func Handshake(greet HandshakeFunc) Option { return func(op *options) { op.greet = greet } }
