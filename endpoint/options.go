package endpoint

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/aspenseam/aspenseam/event"
)

// Options holds what a router can be built with.
type Options struct {
	Hall               string
	DialTimeout        time.Duration
	MaxAttemptDuration time.Duration
	MaxBufferedAnswer  int
	Buffers            *Buffers
	QueueLength        int
	MaxEntries         int
	Retry              RetryPolicy
	Eject              EjectPolicy
	GoneAfter          time.Duration
	Log                *event.Logger
	Dial               DialFunc
	Now                func() time.Time
	Random             func(n int) int
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// RetryPolicy bounds retries as a share of traffic.
type RetryPolicy struct {
	// Share is the number of retries that each request earns.
	Share float64
	// Burst is how many earned retries can be saved up.
	Burst int
	// MaxAttempts is the largest number of attempts for one request.
	MaxAttempts int
}

// EjectPolicy says when an endpoint is taken out of routing.
type EjectPolicy struct {
	// ConsecutiveFailures is the number of failures in a row.
	ConsecutiveFailures int
	// BaseDuration is the first time out; it doubles with each failed trial up to ForMax.
	BaseDuration time.Duration
	MaxDuration  time.Duration
	// MaxShare is the share of endpoints beyond which ejections are disregarded.
	MaxShare float64
}

// Option changes one of the options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{
		DialTimeout:        250 * time.Millisecond,
		MaxAttemptDuration: 30 * time.Second,
		MaxBufferedAnswer:  256 << 10,
		Buffers:            NewBuffers(12 << 20),
		QueueLength:        256,
		MaxEntries:         9,
		Retry:              RetryPolicy{Share: 0.1, Burst: 20, MaxAttempts: 3},
		Eject:              EjectPolicy{ConsecutiveFailures: 5, BaseDuration: time.Second, MaxDuration: 10 * time.Second, MaxShare: 0.5},
		GoneAfter:          3 * time.Second,
		Log:                event.Nop(),
		Now:                time.Now,
		Random:             rand.IntN,
	}
}

// WithHall names the router's own data hall.
func WithHall(hall string) Option { return func(op *Options) { op.Hall = hall } }

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(timeout time.Duration) Option {
	return func(op *Options) { op.DialTimeout = timeout }
}

// WithMaxAttemptDuration bounds the time of any attempt.
func WithMaxAttemptDuration(longest time.Duration) Option {
	return func(op *Options) { op.MaxAttemptDuration = longest }
}

// WithMaxBufferedAnswer sets the size above which answers stream.
func WithMaxBufferedAnswer(size int) Option { return func(op *Options) { op.MaxBufferedAnswer = size } }

// WithBuffers sets the memory that answers are held in until they are whole.
func WithBuffers(bf *Buffers) Option { return func(op *Options) { op.Buffers = bf } }

// WithQueueLength bounds the requests of one service that wait.
func WithQueueLength(length int) Option { return func(op *Options) { op.QueueLength = length } }

// WithMaxEntries sets by how many entry instances an endpoint's connections are shared.
func WithMaxEntries(entries int) Option { return func(op *Options) { op.MaxEntries = entries } }

// WithRetry sets the retry policy.
func WithRetry(policy RetryPolicy) Option { return func(op *Options) { op.Retry = policy } }

// WithEject sets the ejection policy.
func WithEject(policy EjectPolicy) Option { return func(op *Options) { op.Eject = policy } }

// WithGoneAfter sets for how long connections must be refused before sessions move.
func WithGoneAfter(after time.Duration) Option { return func(op *Options) { op.GoneAfter = after } }

// WithLog sets the logger.
func WithLog(lg *event.Logger) Option { return func(op *Options) { op.Log = lg } }

// WithDial replaces the dialer.
func WithDial(dial DialFunc) Option { return func(op *Options) { op.Dial = dial } }

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(op *Options) { op.Now = now } }

// WithRandom replaces the random source; it returns a number below n.
func WithRandom(random func(n int) int) Option { return func(op *Options) { op.Random = random } }
