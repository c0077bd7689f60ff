// Package peer speaks twirp to other entry instances; what it exchanges are hints that can cost time but never a promise.
package peer

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/platform"
	"github.com/aspenseam/aspenseam/settings"
	"go.uber.org/zap"
)

// headerKey carries the fleet's key.
const headerKey = "Aspenseam-Peer-Key"

// Flights tells what became of claimed requests here.
type Flights interface {
	Flight(key caller.Key, nonce caller.Nonce) (caller.Word, bool)
	Forwarded(ctx context.Context, req *caller.Request) caller.Word
	SessionOf(token string) (*caller.Session, error)
}

// Snapshots holds the snapshot that peers exchange.
type Snapshots interface {
	Snapshot() *platform.Snapshot
	Merge(rows []platform.Row, complete platform.Version)
	SeedMembers(members []platform.Member)
}

// Endpoints tells whether anything here still goes to an instance.
type Endpoints interface {
	InFlight(id platform.InstanceID) (open, queued int)
	MayGetWork(id platform.InstanceID) bool
}

// Configurations tells which configuration runs here.
type Configurations interface {
	InForce() (platform.Version, *settings.Fleet)
}

// Options holds what servers and clients can be built with.
type Options struct {
	Entry        platform.InstanceID
	Incarnation  platform.Incarnation
	Keys         []string
	Seeds        []string
	Timeout      time.Duration
	SyncInterval time.Duration
	Log          *event.Logger
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
}

// Option changes one of the options.
type Option func(*Options)

func build(options []Option) Options {
	opts := Options{Timeout: 500 * time.Millisecond, SyncInterval: time.Second, Log: event.Nop()}
	for _, option := range options {
		option(&opts)
	}
	return opts
}

// WithEntry names the entry instance and this run of it.
func WithEntry(id platform.InstanceID, inc platform.Incarnation) Option {
	return func(op *Options) { op.Entry, op.Incarnation = id, inc }
}

// WithKeys sets the fleet's keys; the first is sent, all are accepted.
func WithKeys(keys ...string) Option { return func(op *Options) { op.Keys = keys } }

// WithSeeds sets addresses to ask while no membership is known.
func WithSeeds(seeds ...string) Option { return func(op *Options) { op.Seeds = seeds } }

// WithTimeout bounds the wait for one answer.
func WithTimeout(timeout time.Duration) Option { return func(op *Options) { op.Timeout = timeout } }

// WithSyncInterval sets the time between two comparisons with a random peer.
func WithSyncInterval(interval time.Duration) Option {
	return func(op *Options) { op.SyncInterval = interval }
}

// WithDial replaces the dialer.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(op *Options) { op.Dial = dial }
}

// WithLog sets the logger.
func WithLog(lg *event.Logger) Option { return func(op *Options) { op.Log = lg } }

// Guard lets calls with one of the fleet's keys through.
func Guard(next http.Handler, options ...Option) http.Handler {
	opts := build(options)
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if !known(opts.Keys, rq.Header.Get(headerKey)) {
			opts.Log.Emit(event.PeerRejected, zap.String("from", rq.RemoteAddr))
			http.Error(wr, "unknown key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(wr, rq)
	})
}

// known compares in a time that does not depend on the keys.
func known(keys []string, got string) bool {
	found := 0
	for _, key := range keys {
		found |= subtle.ConstantTimeCompare([]byte(key), []byte(got))
	}
	return found == 1
}

// keyed adds the fleet's key to each call.
type keyed struct {
	key  string
	next http.RoundTripper
}

// RoundTrip sends the call.
func (kd keyed) RoundTrip(rq *http.Request) (*http.Response, error) {
	rq = rq.Clone(rq.Context())
	rq.Header.Set(headerKey, kd.key)
	return kd.next.RoundTrip(rq)
}

// withTimeout bounds one call.
func (op *Options) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, op.Timeout)
}
