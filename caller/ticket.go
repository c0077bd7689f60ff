package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/table"
)

const (
	// TicketPath is the path at which callers request tickets.
	TicketPath = "/.aspenseam/tickets"
	// ticketPrefix is the prefix of request ids that are tickets.
	ticketPrefix = "t1."
	// ticketValidity is how long a ticket may be used, and how long a used ticket is remembered.
	ticketValidity = 24 * time.Hour
	// maxTickets bounds the number of valid tickets per entry instance, and thereby their memory.
	maxTickets  = 10000
	ticketParts = 5
	// maxForwardBytes is the size of the largest answer that one entry instance passes to another.
	maxForwardBytes = 2 << 20
)

var (
	errInvalidTicket  = errors.New("ticket is not of this fleet")
	errTicketSpent    = errors.New("ticket was used, or its entry instance is gone")
	errTooManyTickets = errors.New("too many tickets are out")
)

// ticket allows an unrepeatable request to run without a claim. Only the process that issued it accepts it and tracks its use in memory.
type ticket struct {
	entry       table.InstanceID
	incarnation table.Incarnation
	nonce       Nonce
	expires     time.Time
}

// TicketResponse is the response to a request for a ticket.
type TicketResponse struct {
	// Ticket is the request id to use for one unrepeatable request.
	Ticket string `json:"ticket"`
	// ExpiresMs is the expiry time in milliseconds since 1970 UTC.
	ExpiresMs int64 `json:"expiresMs"`
}

// tickets tracks the tickets that this process has issued and those that were used.
type tickets struct {
	opts   *Options
	signer *Signer
	mu     sync.Mutex
	// issued holds the expiry times of the issued tickets, the earliest first.
	issued []time.Time
	spent  map[Nonce]time.Time
}

func newTickets(opts *Options, sg *Signer) *tickets {
	return &tickets{opts: opts, signer: sg, spent: map[Nonce]time.Time{}}
}

// issue returns a new ticket.
func (ts *tickets) issue() (TicketResponse, error) {
	now := ts.opts.Now()
	tk := ticket{entry: ts.opts.Entry, incarnation: ts.opts.Incarnation, nonce: Nonce(table.NewID()), expires: now.Add(ticketValidity)}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.evictExpired(now)
	if len(ts.issued) >= maxTickets {
		return TicketResponse{}, errTooManyTickets
	}
	ts.issued = append(ts.issued, tk.expires)
	return TicketResponse{Ticket: ts.signer.ticketID(tk), ExpiresMs: tk.expires.UnixMilli()}, nil
}

// evictExpired removes expired tickets; the caller holds the lock.
func (ts *tickets) evictExpired(now time.Time) {
	for len(ts.issued) > 0 && !now.Before(ts.issued[0]) {
		ts.issued = ts.issued[1:]
	}
	if len(ts.spent) <= maxTickets {
		return
	}
	for nonce, expires := range ts.spent {
		if !now.Before(expires) {
			delete(ts.spent, nonce)
		}
	}
}

// spend marks a ticket as used and reports whether it was unused and valid.
func (ts *tickets) spend(tk *ticket) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if _, spent := ts.spent[tk.nonce]; spent || !ts.opts.Now().Before(tk.expires) {
		return false
	}
	ts.spent[tk.nonce] = tk.expires
	return true
}

// restore makes a ticket usable again after nothing was sent under it.
func (ts *tickets) restore(tk *ticket) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	delete(ts.spent, tk.nonce)
}

// ticketID encodes and signs a ticket as a request id.
func (sg *Signer) ticketID(tk ticket) string {
	payload := strings.Join([]string{string(tk.entry), string(tk.incarnation), string(tk.nonce), strconv.FormatInt(tk.expires.UnixMilli(), 36)}, ".")
	return ticketPrefix + payload + "." + sg.sign(ticketPrefix+payload)
}

// parseTicket verifies and returns the ticket in a request id; nil if the id is an ordinary one.
func (sg *Signer) parseTicket(id RequestID) (*ticket, error) {
	rest, isTicket := strings.CutPrefix(string(id), ticketPrefix)
	if !isTicket {
		return nil, nil
	}
	parts := strings.Split(rest, ".")
	if len(parts) < ticketParts {
		return nil, errInvalidTicket
	}
	last := len(parts) - 1
	if !sg.verify(ticketPrefix+strings.Join(parts[:last], "."), parts[last]) {
		return nil, errInvalidTicket
	}
	expires, err := strconv.ParseInt(parts[last-1], 36, 64)
	if err != nil {
		return nil, errInvalidTicket
	}
	return &ticket{entry: table.InstanceID(strings.Join(parts[:last-3], ".")), incarnation: table.Incarnation(parts[last-3]), nonce: Nonce(parts[last-2]), expires: time.UnixMilli(expires)}, nil
}

// serveTicket issues a ticket to a caller.
func (sv *Server) serveTicket(wr http.ResponseWriter) {
	answer, err := sv.tickets.issue()
	if err != nil || sv.stopping.Load() {
		sv.writeStatus(wr, http.StatusServiceUnavailable, Status{Outcome: endpoint.OutcomeNotRun, Code: CodeOverloaded, Message: errTooManyTickets.Error(), RetryAfterMs: sv.jitter(outageRetryDelay).Milliseconds()})
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected; there is nothing else to do.
	_ = json.NewEncoder(wr).Encode(answer)
}

// runTicket runs a request under its ticket, locally or on the entry instance that issued it.
func (sv *Server) runTicket(ctx context.Context, req *Request) Result {
	tk := req.ticket
	switch {
	case tk.entry != sv.opts.Entry:
		return sv.forward(ctx, req)
	case tk.incarnation != sv.opts.Incarnation || !sv.tickets.spend(tk):
		return sv.invalidTicketResult(req)
	}
	call := sv.newCall(req)
	key := req.Key()
	call.OnLate = func(answer *endpoint.Answer) {
		sv.records.finishLate(key, answer)
		answer.Release()
	}
	rs := sv.router.Do(ctx, call)
	if rs.Outcome == endpoint.OutcomeNotRun {
		sv.tickets.restore(tk)
	}
	return sv.resultFrom(req, rs)
}

// rejectTicket returns the result for a rejected request with a ticket. Only the issuer knows whether an earlier try ran.
func (sv *Server) rejectTicket(req *Request, result Result) Result {
	if req.Try == 1 {
		return result
	}
	return Result{Outcome: endpoint.OutcomeUnknown, Cause: result.Cause, RetryAfter: result.RetryAfter}
}

// invalidTicketResult returns the result for a ticket that this process does not accept. An earlier try may have run.
func (sv *Server) invalidTicketResult(req *Request) Result {
	if result, known := sv.records.lookup(req.Key(), ""); known && result.Answer != nil {
		return result
	}
	return Result{Outcome: endpoint.OutcomeUnknown, Cause: errTicketSpent}
}

// forward passes a request to the issuer of its ticket, which runs it.
func (sv *Server) forward(ctx context.Context, req *Request) Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	result, err := sv.peers.Forward(ctx, req.ticket.entry, req)
	if err == nil {
		return result
	}
	// Without a response it is unknown whether the issuer ran the request, now or in an earlier try.
	return Result{Outcome: endpoint.OutcomeUnknown, Cause: errOwnerLost, RetryAfter: sv.jitter(outageRetryDelay)}
}

// HandleForwarded runs a request forwarded by another entry instance because this one issued its ticket.
func (sv *Server) HandleForwarded(ctx context.Context, req *Request) Result {
	sv.openRequests.Add(1)
	defer sv.openRequests.Add(-1)
	tk, err := sv.signer.parseTicket(req.ID)
	if err != nil || tk == nil || tk.entry != sv.opts.Entry {
		return Result{Outcome: endpoint.OutcomeUnknown, Cause: errInvalidTicket}
	}
	req.ticket, req.IDFromCaller, req.Delivery = tk, true, DeliveryAtMostOnce
	result := sv.runShared(ctx, req)
	return bufferAnswer(result)
}

// bufferAnswer reads a streamed answer into memory, so that it can be passed to another entry instance.
func bufferAnswer(result Result) Result {
	if result.Answer == nil || result.Answer.Stream == nil {
		return result
	}
	rest := result.Answer.Stream
	defer func() { _ = rest.Close() }()
	body, err := io.ReadAll(io.LimitReader(rest, maxForwardBytes+1))
	if err != nil || len(body) > maxForwardBytes {
		return Result{Outcome: endpoint.OutcomeUnknown, Cause: errAnswerNotKept}
	}
	whole := &endpoint.Answer{Status: result.Answer.Status, Header: result.Answer.Header, Body: append(result.Answer.Body, body...)}
	result.Answer = whole
	return result
}

// Code returns the code of a result without an answer.
func (rs Result) Code() Code {
	code, _ := codeFor(rs.Cause)
	return code
}

// CauseForCode returns the error for a code.
func CauseForCode(code Code) error {
	for _, ec := range errorCodes {
		if ec.code == code {
			return ec.err
		}
	}
	return errOwnerLost
}

// ParseSession returns the session of a token in a forwarded request, nil if the token is empty.
func (sv *Server) ParseSession(token string) (*Session, error) {
	if token == "" {
		return nil, nil
	}
	return sv.signer.ParseToken(token)
}
