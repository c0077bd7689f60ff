// Package peer speaks twirp to other entry instances; what it exchanges are hints that can cost time but never a promise.
package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/settings"
	"github.com/aspenseam/aspenseam/table"
	"go.uber.org/zap"
)

// headerKey carries the fleet's key.
const headerKey = "Aspenseam-Peer-Key"

// Flights tells what became of claimed requests here.
type Flights interface {
	ClaimStatus(key caller.Key, nonce caller.Nonce) (caller.Result, bool)
	HandleForwarded(ctx context.Context, req *caller.Request) caller.Result
	ParseSession(token string) (*caller.Session, error)
}

// Snapshots holds the snapshot that peers exchange.
type Snapshots interface {
	Snapshot() *table.Snapshot
	Merge(rows []table.Row, complete table.Version)
	SeedMembers(members []table.Member)
}

// Endpoints tells whether anything here still goes to an instance.
type Endpoints interface {
	InFlight(id table.InstanceID) (open, queued int)
	Routable(id table.InstanceID) bool
}

// Configurations tells which configuration runs here.
type Configurations interface {
	InForce() (table.Version, *settings.Fleet)
}

// Options holds what servers and clients can be built with.
type Options struct {
	Entry        table.InstanceID
	Incarnation  table.Incarnation
	Keys         *Keys
	Seeds        []string
	Timeout      time.Duration
	SyncInterval time.Duration
	Signer       *caller.Signer
	TLS          *tls.Config
	Log          *event.Logger
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
}

// Option changes one of the options.
type Option func(*Options)

func build(options []Option) Options {
	opts := Options{Keys: NewKeys(), Timeout: 500 * time.Millisecond, SyncInterval: time.Second, Log: event.Nop()}
	for _, option := range options {
		option(&opts)
	}
	return opts
}

// WithEntry names the entry instance and this run of it.
func WithEntry(id table.InstanceID, inc table.Incarnation) Option {
	return func(op *Options) { op.Entry, op.Incarnation = id, inc }
}

// WithKeys sets the fleet's keys; the first is sent, all are accepted.
func WithKeys(keys *Keys) Option { return func(op *Options) { op.Keys = keys } }

// WithSigner sets what signs the sessions that are passed on.
func WithSigner(sg *caller.Signer) Option { return func(op *Options) { op.Signer = sg } }

// WithTLS sets how other entry instances are called; nil calls them without TLS.
func WithTLS(config *tls.Config) Option { return func(op *Options) { op.TLS = config } }

// Keys is the fleet's keys, which can be replaced while calls go on.
type Keys struct {
	list atomic.Pointer[[]string]
}

// NewKeys returns keys, newest first.
func NewKeys(keys ...string) *Keys {
	ks := &Keys{}
	ks.Set(keys...)
	return ks
}

// Set replaces the keys.
func (ks *Keys) Set(keys ...string) {
	ks.list.Store(&keys)
}

// first returns the key that is sent.
func (ks *Keys) first() string {
	list := *ks.list.Load()
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// known reports whether a key is one of them, in a time that does not depend on them.
func (ks *Keys) known(got string) bool {
	found := 0
	for _, key := range *ks.list.Load() {
		found |= subtle.ConstantTimeCompare([]byte(key), []byte(got))
	}
	return found == 1
}

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
		if !opts.Keys.known(rq.Header.Get(headerKey)) {
			opts.Log.Emit(event.PeerRejected, zap.String("from", rq.RemoteAddr))
			http.Error(wr, "unknown key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(wr, rq)
	})
}

// keyed adds the fleet's key to each call.
type keyed struct {
	keys *Keys
	next http.RoundTripper
}

// RoundTrip sends the call.
func (kd keyed) RoundTrip(rq *http.Request) (*http.Response, error) {
	rq = rq.Clone(rq.Context())
	rq.Header.Set(headerKey, kd.keys.first())
	return kd.next.RoundTrip(rq)
}

// withTimeout bounds one call.
func (op *Options) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, op.Timeout)
}
