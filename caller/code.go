package caller

import (
	"errors"
	"net/http"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
)

// Code is the reason for a response that an entry instance generates itself.
type Code string

// The codes of generated responses.
const (
	CodeBadRequest     Code = "badRequest"
	CodeTooLarge       Code = "tooLarge"
	CodeUnknownService Code = "unknownService"
	CodeIDConflict     Code = "idConflict"
	CodeDeadlinePassed Code = "deadlinePassed"
	CodeOverloaded     Code = "overloaded"
	CodeNoEndpoint     Code = "noEndpoint"
	CodeSessionMoving  Code = "sessionMoving"
	CodeSessionEnded   Code = "sessionEnded"
	CodeStopping       Code = "stopping"
	CodePlatformDown   Code = "platformDown"
	CodeRefused        Code = "refused"
	CodeBroken         Code = "broken"
	CodeTimeout        Code = "timeout"
	CodePending        Code = "pending"
	CodeOwnerLost      Code = "ownerLost"
	CodeAnswerNotKept  Code = "answerNotKept"
	CodeNoAnswer       Code = "noAnswer"
	CodeTicketSpent    Code = "ticketSpent"
)

// Errors that end a request before it is sent.
var (
	errStopping       = errors.New("entry instance is stopping")
	errPlatformDown   = errors.New("platform does not answer")
	errOwnerLost      = errors.New("the entry instance that claimed the request does not answer")
	errIDConflict     = errors.New("request id was used for another request")
	errPending        = errors.New("request still runs")
	errAnswerNotKept  = errors.New("answer was too large to be kept")
	errSessionEnded   = errors.New("session's endpoint is gone and no other can take it")
	errDeadlinePassed = errors.New("deadline is in the past")
	errNoAnswer       = errors.New("no answer is kept for this request id")
	errBuffersFull    = errors.New("buffers are full")
)

// errorCode maps an error to a code and an HTTP status.
type errorCode struct {
	err    error
	code   Code
	status int
}

// errorCodes maps errors to codes; the first match applies.
var errorCodes = []errorCode{
	{errStopping, CodeStopping, http.StatusServiceUnavailable},
	{errPlatformDown, CodePlatformDown, http.StatusServiceUnavailable},
	{errOwnerLost, CodeOwnerLost, http.StatusBadGateway},
	{errIDConflict, CodeIDConflict, http.StatusConflict},
	{errPending, CodePending, http.StatusGatewayTimeout},
	{errAnswerNotKept, CodeAnswerNotKept, http.StatusBadGateway},
	{errSessionEnded, CodeSessionEnded, http.StatusGone},
	{errDeadlinePassed, CodeDeadlinePassed, http.StatusBadRequest},
	{errNoAnswer, CodeNoAnswer, http.StatusNotFound},
	{errTicketSpent, CodeTicketSpent, http.StatusBadGateway},
	{errInvalidTicket, CodeBadRequest, http.StatusBadRequest},
	{errBuffersFull, CodeOverloaded, http.StatusServiceUnavailable},
	{endpoint.ErrUnknownService, CodeUnknownService, http.StatusNotFound},
	{endpoint.ErrNoEndpoint, CodeNoEndpoint, http.StatusServiceUnavailable},
	{endpoint.ErrOverload, CodeOverloaded, http.StatusServiceUnavailable},
	{endpoint.ErrSessionMoving, CodeSessionMoving, http.StatusServiceUnavailable},
	{endpoint.ErrRefused, CodeRefused, http.StatusServiceUnavailable},
	{endpoint.ErrDeadline, CodeTimeout, http.StatusGatewayTimeout},
	{endpoint.ErrConnectionBroken, CodeBroken, http.StatusBadGateway},
	{endpoint.ErrAttemptMismatch, CodeBroken, http.StatusBadGateway},
	{endpoint.ErrUnknownLength, CodeBroken, http.StatusBadGateway},
}

// codeFor returns the code and HTTP status for an error.
func codeFor(err error) (Code, int) {
	for _, ec := range errorCodes {
		if errors.Is(err, ec.err) {
			return ec.code, ec.status
		}
	}
	return CodeNoEndpoint, http.StatusServiceUnavailable
}

// Result is the final result of a request, or the current state of one that is still pending.
type Result struct {
	Outcome endpoint.Outcome
	// Answer is the endpoint's answer; nil unless the outcome is answered.
	Answer *endpoint.Answer
	// Cause is the reason why there is no answer.
	Cause error
	// RetryAfter is the delay after which a retry may succeed; 0 if a retry does not help.
	RetryAfter time.Duration
	// Pending reports that the request is running or may still be sent.
	Pending bool
	// Session is the token for the next request of the session; empty without a session.
	Session string
}

// Status is the JSON body of a response that an entry instance generates itself.
type Status struct {
	Outcome   endpoint.Outcome `json:"outcome"`
	Code      Code             `json:"code"`
	Message   string           `json:"message"`
	RequestID RequestID        `json:"requestId,omitempty"`
	// RetryAfterMs is the delay in milliseconds after which a retry may succeed; absent if a retry does not help.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Findings lists every error in a bad request.
	Findings []string `json:"findings,omitempty"`
}

// PendingResult returns the result of a request that is still running.
func PendingResult() Result {
	return Result{Outcome: endpoint.OutcomeUnknown, Cause: errPending, Pending: true}
}
