package caller

import (
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/table"
)

// Options holds what a server can be built with.
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

// Option changes one of the options.
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

// WithEntry names the entry instance and this run of it.
func WithEntry(id table.InstanceID, inc table.Incarnation) Option {
	return func(op *Options) { op.Entry, op.Incarnation = id, inc }
}

// WithTimes sets the time for requests without a deadline and the longest one for any.
func WithTimeouts(defaultTimeout, maxDuration time.Duration) Option {
	return func(op *Options) { op.DefaultTimeout, op.MaxRequestDuration = defaultTimeout, maxDuration }
}

// WithBytes bounds one body, and sets the memory that all bodies are held in.
func WithBodyLimits(maxBody int, buffers *endpoint.Buffers) Option {
	return func(op *Options) { op.MaxBodyBytes, op.Buffers = maxBody, buffers }
}

// WithClaims sets the time between two writes of claims under load, the most claims in one, and the longest wait for one.
func WithClaimBatching(interval time.Duration, maxBatch int, timeout time.Duration) Option {
	return func(op *Options) {
		op.ClaimBatchInterval, op.MaxClaimBatch, op.ClaimTimeout = interval, maxBatch, timeout
	}
}

// WithAnswers bounds the answers kept in memory for collection by number, bytes and time.
func WithKeptAnswers(maxAnswers, maxBytes int, retention time.Duration) Option {
	return func(op *Options) {
		op.MaxKeptAnswers, op.KeptAnswerBytes, op.AnswerRetention = maxAnswers, maxBytes, retention
	}
}

// WithSigner sets what signs session tokens and tickets.
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
