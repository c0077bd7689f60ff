package endpoint

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/aspenseam/aspenseam/event"
)

// Options holds the configuration of a router.
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

// RetryPolicy limits retries to a share of the traffic.
type RetryPolicy struct {
	// Share is the number of retries that each request adds to the retry budget.
	Share float64
	// Burst is the largest number of retries that the budget can hold.
	Burst int
	// MaxAttempts is the largest number of attempts for one request.
	MaxAttempts int
}

// EjectPolicy defines when and for how long a failing endpoint is ejected.
type EjectPolicy struct {
	// ConsecutiveFailures is the number of consecutive failures that ejects an endpoint.
	ConsecutiveFailures int
	// BaseDuration is the duration of the first ejection. It doubles with each failed probe up to MaxDuration.
	BaseDuration time.Duration
	MaxDuration  time.Duration
	// MaxShare is the share of ejected endpoints above which ejections are ignored.
	MaxShare float64
}

// Option changes one of the Options.
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

// WithHall sets the router's own data hall.
func WithHall(hall string) Option { return func(op *Options) { op.Hall = hall } }

// WithDialTimeout limits the time to connect to an endpoint.
func WithDialTimeout(timeout time.Duration) Option {
	return func(op *Options) { op.DialTimeout = timeout }
}

// WithMaxAttemptDuration limits the duration of an attempt.
func WithMaxAttemptDuration(longest time.Duration) Option {
	return func(op *Options) { op.MaxAttemptDuration = longest }
}

// WithMaxBufferedAnswer sets the size in bytes above which answers are streamed.
func WithMaxBufferedAnswer(size int) Option { return func(op *Options) { op.MaxBufferedAnswer = size } }

// WithBuffers sets the memory in which answers are buffered until they are complete.
func WithBuffers(bf *Buffers) Option { return func(op *Options) { op.Buffers = bf } }

// WithQueueLength limits the number of waiting requests of one service.
func WithQueueLength(length int) Option { return func(op *Options) { op.QueueLength = length } }

// WithMaxEntries sets the maximum number of entry instances that share an endpoint's connections.
func WithMaxEntries(entries int) Option { return func(op *Options) { op.MaxEntries = entries } }

// WithRetry sets the retry policy.
func WithRetry(policy RetryPolicy) Option { return func(op *Options) { op.Retry = policy } }

// WithEject sets the ejection policy.
func WithEject(policy EjectPolicy) Option { return func(op *Options) { op.Eject = policy } }

// WithGoneAfter sets how long an endpoint must refuse connections before its sessions move.
func WithGoneAfter(after time.Duration) Option { return func(op *Options) { op.GoneAfter = after } }

// WithLog sets the logger.
func WithLog(lg *event.Logger) Option { return func(op *Options) { op.Log = lg } }

// WithDial replaces the dialer.
func WithDial(dial DialFunc) Option { return func(op *Options) { op.Dial = dial } }

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(op *Options) { op.Now = now } }

// WithRandom replaces the random source, which returns a number in [0, n).
func WithRandom(random func(n int) int) Option { return func(op *Options) { op.Random = random } }
