package caller

import (
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/table"
)

// Options configures a Server.
type Options struct {
	Entry              table.InstanceID
	Incarnation        table.Incarnation
	DefaultTimeout     time.Duration
	MaxRequestDuration time.Duration
	MaxBodyBytes       int
	Buffers            *endpoint.Buffers
	KeptAnswerBytes    int
	ClaimBatchInterval time.Duration
	MaxClaimBatch      int
	ClaimTimeout       time.Duration
	MaxKeptAnswers     int
	AnswerRetention    time.Duration
	Signer             *Signer
	Log                *event.Logger
	Now                func() time.Time
}

// Option sets fields of Options.
type Option func(*Options)

func defaults() Options {
	return Options{
		DefaultTimeout:     10 * time.Second,
		MaxRequestDuration: 30 * time.Second,
		MaxBodyBytes:       1 << 20,
		Buffers:            endpoint.NewBuffers(12 << 20),
		KeptAnswerBytes:    4 << 20,
		ClaimBatchInterval: 20 * time.Millisecond,
		MaxClaimBatch:      128,
		ClaimTimeout:       time.Second,
		MaxKeptAnswers:     4096,
		AnswerRetention:    10 * time.Minute,
		Log:                event.Nop(),
		Now:                time.Now,
	}
}

// WithEntry sets the id of the entry instance and the incarnation of its process.
func WithEntry(id table.InstanceID, inc table.Incarnation) Option {
	return func(op *Options) { op.Entry, op.Incarnation = id, inc }
}

// WithTimeouts sets the timeout of requests without a deadline and the longest timeout of any request.
func WithTimeouts(defaultTimeout, maxDuration time.Duration) Option {
	return func(op *Options) { op.DefaultTimeout, op.MaxRequestDuration = defaultTimeout, maxDuration }
}

// WithBodyLimits sets the maximum size of a request body and the shared buffers for all bodies.
func WithBodyLimits(maxBody int, buffers *endpoint.Buffers) Option {
	return func(op *Options) { op.MaxBodyBytes, op.Buffers = maxBody, buffers }
}

// WithClaimBatching sets the interval between batches of claims under load, the maximum batch size, and the timeout of a claim write.
func WithClaimBatching(interval time.Duration, maxBatch int, timeout time.Duration) Option {
	return func(op *Options) {
		op.ClaimBatchInterval, op.MaxClaimBatch, op.ClaimTimeout = interval, maxBatch, timeout
	}
}

// WithKeptAnswers bounds the answers kept in memory for collection by number, bytes and age.
func WithKeptAnswers(maxAnswers, maxBytes int, retention time.Duration) Option {
	return func(op *Options) {
		op.MaxKeptAnswers, op.KeptAnswerBytes, op.AnswerRetention = maxAnswers, maxBytes, retention
	}
}

// WithSigner sets the signer of session tokens and tickets.
func WithSigner(sg *Signer) Option {
	return func(op *Options) { op.Signer = sg }
}

// WithLog sets the logger.
func WithLog(lg *event.Logger) Option {
	return func(op *Options) { op.Log = lg }
}

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(op *Options) { op.Now = now }
}
