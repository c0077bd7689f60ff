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
	// TicketPath is where callers get tickets.
	TicketPath = "/.aspenseam/tickets"
	// ticketPrefix begins request ids that are tickets.
	ticketPrefix = "t1."
	// ticketValidity is how long a ticket may be used, and how long its use is remembered.
	ticketValidity = 24 * time.Hour
	// maxTickets bounds the tickets of one entry instance that are valid at a time, and so the memory for them.
	maxTickets  = 10000
	ticketParts = 5
	// forwardBytes is the largest answer that one entry instance passes to another.
	maxForwardBytes = 2 << 20
)

var (
	errInvalidTicket  = errors.New("ticket is not of this fleet")
	errTicketSpent    = errors.New("ticket was used, or its entry instance is gone")
	errTooManyTickets = errors.New("too many tickets are out")
)

// ticket lets an unrepeatable request run without a claim: only the run of the entry instance that issued it honours it, from memory.
type ticket struct {
	entry       table.InstanceID
	incarnation table.Incarnation
	nonce       Nonce
	expires     time.Time
}

// TicketAnswer is the answer to a caller that asks for a ticket.
type TicketResponse struct {
	// Ticket is to be used as the request id of one unrepeatable request.
	Ticket string `json:"ticket"`
	// ExpiresMs is until when, in milliseconds since 1970 UTC.
	ExpiresMs int64 `json:"expiresMs"`
}

// tickets remembers what this run of the entry instance issued and which of it was used.
type tickets struct {
	opts   *Options
	signer *Signer
	mu     sync.Mutex
	// issued holds the expiry of each ticket that is out, the earliest first.
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

// forget drops what has expired; the lock is held.
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

// spend uses a ticket and reports whether it was unused and valid.
func (ts *tickets) spend(tk *ticket) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if _, spent := ts.spent[tk.nonce]; spent || !ts.opts.Now().Before(tk.expires) {
		return false
	}
	ts.spent[tk.nonce] = tk.expires
	return true
}

// restore makes a ticket usable again when nothing was sent under it.
func (ts *tickets) restore(tk *ticket) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	delete(ts.spent, tk.nonce)
}

// ticketID returns a ticket as a request id.
func (sg *Signer) ticketID(tk ticket) string {
	payload := strings.Join([]string{string(tk.entry), string(tk.incarnation), string(tk.nonce), strconv.FormatInt(tk.expires.UnixMilli(), 36)}, ".")
	return ticketPrefix + payload + "." + sg.sign(ticketPrefix+payload)
}

// openTicket returns the ticket of a request id, nil if the id is an ordinary one.
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

// serveTicket gives a caller a ticket.
func (sv *Server) serveTicket(wr http.ResponseWriter) {
	answer, err := sv.tickets.issue()
	if err != nil || sv.stopping.Load() {
		sv.writeStatus(wr, http.StatusServiceUnavailable, Status{Outcome: endpoint.OutcomeNotRun, Code: CodeOverloaded, Message: errTooManyTickets.Error(), RetryAfterMs: sv.jitter(outageRetryDelay).Milliseconds()})
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(wr).Encode(answer)
}

// runTicket runs a request under its ticket, here or at the entry instance that issued it.
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

// refuseTicket returns the word on a ticket's request that is refused here: only its issuer knows of earlier tries.
func (sv *Server) rejectTicket(req *Request, result Result) Result {
	if req.Try == 1 {
		return result
	}
	return Result{Outcome: endpoint.OutcomeUnknown, Cause: result.Cause, RetryAfter: result.RetryAfter}
}

// ticketUnknown is the word on a ticket that this run does not honour: an earlier try may have run.
func (sv *Server) invalidTicketResult(req *Request) Result {
	if result, known := sv.records.lookup(req.Key(), ""); known && result.Answer != nil {
		return result
	}
	return Result{Outcome: endpoint.OutcomeUnknown, Cause: errTicketSpent}
}

// forward lets the issuer of the request's ticket run it.
func (sv *Server) forward(ctx context.Context, req *Request) Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	result, err := sv.peers.Forward(ctx, req.ticket.entry, req)
	if err == nil {
		return result
	}
	// Whether the issuer ran it, now or at an earlier try, cannot be known here.
	return Result{Outcome: endpoint.OutcomeUnknown, Cause: errOwnerLost, RetryAfter: sv.jitter(outageRetryDelay)}
}

// Forwarded runs a request that another entry instance passed on, whose ticket is of this one.
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

// wholeWord reads an answer that streams to its end, so that it can be passed on.
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

// Code returns the code of a word without an answer.
func (rs Result) Code() Code {
	code, _ := codeFor(rs.Cause)
	return code
}

// CauseOf returns the cause that a code stands for.
func CauseForCode(code Code) error {
	for _, ec := range errorCodes {
		if ec.code == code {
			return ec.err
		}
	}
	return errOwnerLost
}

// SessionOf returns the session of a token that another entry instance passed on, nil without one.
func (sv *Server) ParseSession(token string) (*Session, error) {
	if token == "" {
		return nil, nil
	}
	return sv.signer.ParseToken(token)
}
