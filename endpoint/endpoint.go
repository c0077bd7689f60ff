// Package endpoint proxies HTTP requests to endpoints. It balances load, limits concurrency, ejects failing endpoints, retries,
// and classifies the outcome of each request.
package endpoint

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Headers sent to endpoints or returned by them.
const (
	// HeaderRequestID carries the caller's request id.
	HeaderRequestID = "Aspenseam-Request-Id"
	// HeaderAttempt carries the id of an attempt. Endpoints of a service with Echo set return it in the answer.
	HeaderAttempt = "Aspenseam-Attempt"
	// HeaderSession carries the stable id of the session.
	HeaderSession = "Aspenseam-Session"
	// HeaderDeadline carries the time after which the caller no longer waits, in milliseconds since 1970 UTC.
	HeaderDeadline = "Aspenseam-Deadline"
	// HeaderNotRun is set by an endpoint, with status 503, when it refused the request before starting it.
	// Its value is the reason: full or leaving.
	HeaderNotRun = "Aspenseam-Not-Run"
	headerPrefix = "Aspenseam-"
)

// Values of HeaderNotRun.
const (
	RefusedFull    = "full"
	RefusedLeaving = "leaving"
)

// Errors of calls and attempts.
var (
	// ErrOverload means that no slot is free, or that none is expected to become free in time.
	ErrOverload = errors.New("overloaded")
	// ErrNoEndpoint means that the service has no routable endpoint.
	ErrNoEndpoint = errors.New("no endpoint")
	// ErrUnknownService means that the snapshot does not contain the service.
	ErrUnknownService = errors.New("unknown service")
	// ErrDeadline means that the deadline passed.
	ErrDeadline = errors.New("deadline passed")
	// ErrSessionMoving means that the session's endpoint is gone or leaving, and no successor has been agreed yet.
	ErrSessionMoving = errors.New("session is moving")
	// ErrConnectionBroken means that the connection failed during an attempt.
	ErrConnectionBroken = errors.New("connection to the endpoint broke")
	// ErrAttemptMismatch means that an answer belonged to another attempt.
	ErrAttemptMismatch = errors.New("answer of another attempt")
	// ErrUnknownLength means that nothing marks the end of an answer's body, so that a complete answer cannot be distinguished
	// from a truncated one.
	ErrUnknownLength = errors.New("answer without a length")
	// ErrRefused means that the endpoint refused the request before starting it.
	ErrRefused = errors.New("refused by the endpoint")
)

// Call is a request to an endpoint of a service.
type Call struct {
	Service   table.ServiceID
	RequestID string
	Method    string
	// Target holds the path and query as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Repeatable allows another attempt after one that the endpoint may have run.
	Repeatable bool
	// SessionID is the stable session id passed to the endpoint; empty without a session.
	SessionID string
	// NewSession excludes endpoints that accept no new sessions.
	NewSession bool
	// Pin returns the endpoint that the session is bound to; nil without a session.
	Pin func(*table.Snapshot) (table.InstanceID, error)
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// BeforeSend runs once and must succeed before the first byte is sent.
	BeforeSend func() error
	// OnLate is called after the attempts that outlived Do have ended, with the last complete answer or nil.
	OnLate func(*Answer)
}

// Answer is a complete answer, or the beginning of one that is streamed.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream reads what follows Body; nil when Body is complete. It must be closed.
	Stream *AnswerStream
	// release returns the body's memory to the buffers.
	release  func()
	released atomic.Bool
}

// Result is the result of a call.
type Result struct {
	Outcome         Outcome
	Answer          *Answer
	AttemptOutcomes []AttemptOutcome
	Endpoint        table.InstanceID
	// Epoch is the epoch of the endpoint when it was picked.
	Epoch table.Epoch
	// Err is the reason why there is no answer.
	Err error
	// RetryAfter is the delay after which a retry may succeed; 0 if a retry does not help.
	RetryAfter time.Duration
	// Pending means that an attempt is still running and that OnLate will be called.
	Pending bool
}
