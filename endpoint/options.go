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
	Hall           string
	DialTimeout    time.Duration
	LongestRequest time.Duration
	AnswerBytes    int
	Buffers        *Buffers
	QueueLength    int
	EntriesMax     int
	Retry          RetryPolicy
	Eject          EjectPolicy
	GoneAfter      time.Duration
	Log            *event.Logger
	Dial           DialFunc
	Now            func() time.Time
	Random         func(n int) int
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// RetryPolicy bounds retries as a share of traffic.
type RetryPolicy struct {
	// Share is the number of retries that each request earns.
	Share float64
	// Burst is how many earned retries can be saved up.
	Burst int
	// Most is the largest number of attempts for one request.
	Most int
}

// EjectPolicy says when an endpoint is taken out of routing.
type EjectPolicy struct {
	// After is the number of failures in a row.
	After int
	// For is the first time out; it doubles with each failed trial up to ForMax.
	For    time.Duration
	ForMax time.Duration
	// ShareMax is the share of endpoints beyond which ejections are disregarded.
	ShareMax float64
}

// Option changes one of the options.
type Option func(*Options)

func defaults() Options {
	return Options{
		DialTimeout:    250 * time.Millisecond,
		LongestRequest: 30 * time.Second,
		AnswerBytes:    256 << 10,
		Buffers:        NewBuffers(12 << 20),
		QueueLength:    256,
		EntriesMax:     9,
		Retry:          RetryPolicy{Share: 0.1, Burst: 20, Most: 3},
		Eject:          EjectPolicy{After: 5, For: time.Second, ForMax: 10 * time.Second, ShareMax: 0.5},
		GoneAfter:      3 * time.Second,
		Log:            event.Nop(),
		Now:            time.Now,
		Random:         rand.IntN,
	}
}

// WithHall names the router's own data hall.
func WithHall(hall string) Option { return func(op *Options) { op.Hall = hall } }

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(timeout time.Duration) Option {
	return func(op *Options) { op.DialTimeout = timeout }
}

// WithLongestRequest bounds the time of any attempt.
func WithLongestRequest(longest time.Duration) Option {
	return func(op *Options) { op.LongestRequest = longest }
}

// WithAnswerBytes sets the size above which answers stream.
func WithAnswerBytes(size int) Option { return func(op *Options) { op.AnswerBytes = size } }

// WithBuffers sets the memory that answers are held in until they are whole.
func WithBuffers(bf *Buffers) Option { return func(op *Options) { op.Buffers = bf } }

// WithQueueLength bounds the requests of one service that wait.
func WithQueueLength(length int) Option { return func(op *Options) { op.QueueLength = length } }

// WithEntriesMax sets by how many entry instances an endpoint's connections are shared.
func WithEntriesMax(entries int) Option { return func(op *Options) { op.EntriesMax = entries } }

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
