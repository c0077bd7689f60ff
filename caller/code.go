package caller

import (
	"errors"
	"net/http"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
)

// Code says why the system itself answered.
type Code string

// The codes.
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

// verdict is a code with the status that it is answered with.
type errorCode struct {
	err    error
	code   Code
	status int
}

// verdicts maps the causes to codes; the first match counts.
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

// verdictOf returns the code and status for a cause.
func codeFor(err error) (Code, int) {
	for _, ec := range errorCodes {
		if errors.Is(err, ec.err) {
			return ec.code, ec.status
		}
	}
	return CodeNoEndpoint, http.StatusServiceUnavailable
}

// Word is the final word on a request, or what is known of it so far.
type Result struct {
	Outcome endpoint.Outcome
	// Answer is the endpoint's; nil unless the outcome is answered.
	Answer *endpoint.Answer
	// Cause is why there is no answer.
	Cause error
	// RetryAfter is when coming back helps; 0 if it does not.
	RetryAfter time.Duration
	// Pending says that the request may still be sent or runs.
	Pending bool
	// Session is the token to go on with; empty without a session.
	Session string
}

// Status is the JSON body of an answer that the system itself gives.
type Status struct {
	Outcome   endpoint.Outcome `json:"outcome"`
	Code      Code             `json:"code"`
	Message   string           `json:"message"`
	RequestID RequestID        `json:"requestId,omitempty"`
	// RetryAfterMs is when coming back helps, in milliseconds; absent if it does not.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Findings lists every fault of a bad request.
	Findings []string `json:"findings,omitempty"`
}

// PendingWord is the word on a request that still runs.
func PendingResult() Result {
	return Result{Outcome: endpoint.OutcomeUnknown, Cause: errPending, Pending: true}
}
