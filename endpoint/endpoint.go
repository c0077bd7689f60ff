// Package endpoint speaks HTTP to endpoints and decides which one gets a request, how often, and what its end means.
package endpoint

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// Headers that endpoints see or may return.
const (
	// HeaderRequestID carries the caller's request id.
	HeaderRequestID = "Aspenseam-Request-Id"
	// HeaderAttempt carries the id of one attempt; an endpoint of a service with echo returns it.
	HeaderAttempt = "Aspenseam-Attempt"
	// HeaderSession carries the stable id of the session.
	HeaderSession = "Aspenseam-Session"
	// HeaderDeadline carries the time after which nobody waits, in milliseconds since 1970 UTC.
	HeaderDeadline = "Aspenseam-Deadline"
	// HeaderNotRun is an endpoint's word, with status 503, that it refused before it started: full or leaving.
	HeaderNotRun = "Aspenseam-Not-Run"
	headerPrefix = "Aspenseam-"
)

// Words of HeaderNotRun.
const (
	RefusedFull    = "full"
	RefusedLeaving = "leaving"
)

// Why a request was given up.
var (
	// ErrOverload says that no slot would have come free in time.
	ErrOverload = errors.New("overloaded")
	// ErrNoEndpoint says that the service has no endpoint that may get work.
	ErrNoEndpoint = errors.New("no endpoint")
	// ErrUnknownService says that the snapshot does not hold the service.
	ErrUnknownService = errors.New("unknown service")
	// ErrDeadline says that the deadline passed.
	ErrDeadline = errors.New("deadline passed")
	// ErrSessionMoving says that the session's endpoint is gone and its successor is not agreed yet.
	ErrSessionMoving = errors.New("session is moving")
	// ErrConnectionBroken says that an attempt broke off.
	ErrConnectionBroken = errors.New("connection to the endpoint broke")
	// ErrAttemptMismatch says that an answer belonged to another attempt.
	ErrAttemptMismatch = errors.New("answer of another attempt")
	// ErrUnknownLength says that an answer's length cannot be known to be complete.
	ErrUnknownLength = errors.New("answer without a length")
	// ErrRefused says that the endpoint refused before it started.
	ErrRefused = errors.New("refused by the endpoint")
)

// Call is one request on its way to an endpoint.
type Call struct {
	Service   table.ServiceID
	RequestID string
	Method    string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Repeatable allows a second attempt after one that perhaps ran.
	Repeatable bool
	// SessionID is the stable id passed to the endpoint; empty without a session.
	SessionID string
	// NewSession keeps the call away from endpoints that take no new sessions.
	NewSession bool
	// Pin returns the endpoint that the session is bound to; nil without a session.
	Pin func(*table.Snapshot) (table.InstanceID, error)
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// BeforeSend must succeed once before the first byte goes out.
	BeforeSend func() error
	// OnLate is told the end of an attempt that outlived Do, with its answer if it got one.
	OnLate func(*Answer)
}

// Answer is a complete answer, or one whose rest still streams.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream reads what follows Body; nil when Body is all of it. The reader must be closed.
	Stream *AnswerStream
	// release gives the body's memory back.
	release  func()
	released atomic.Bool
}

// Result is the end of a call.
type Result struct {
	Outcome         Outcome
	Answer          *Answer
	AttemptOutcomes []AttemptOutcome
	Endpoint        table.InstanceID
	// Epoch is the endpoint's epoch when it was picked.
	Epoch table.Epoch
	// Err is why there is no answer.
	Err error
	// RetryAfter is when coming back helps; 0 if it does not.
	RetryAfter time.Duration
	// Pending says that an attempt still runs and OnLate will be told.
	Pending bool
}
