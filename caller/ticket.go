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
	forwardBytes = 2 << 20
)

var (
	errTicket      = errors.New("ticket is not of this fleet")
	errTicketSpent = errors.New("ticket was used, or its entry instance is gone")
	errNoTickets   = errors.New("too many tickets are out")
)

// ticket lets an unrepeatable request run without a claim: only the run of the entry instance that issued it honours it, from memory.
type ticket struct {
	entry       table.InstanceID
	incarnation table.Incarnation
	nonce       Nonce
	expires     time.Time
}

// TicketAnswer is the answer to a caller that asks for a ticket.
type TicketAnswer struct {
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
func (ts *tickets) issue() (TicketAnswer, error) {
	now := ts.opts.Now()
	tk := ticket{entry: ts.opts.Entry, incarnation: ts.opts.Incarnation, nonce: Nonce(table.NewID()), expires: now.Add(ticketValidity)}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.forget(now)
	if len(ts.issued) >= maxTickets {
		return TicketAnswer{}, errNoTickets
	}
	ts.issued = append(ts.issued, tk.expires)
	return TicketAnswer{Ticket: ts.signer.ticketID(tk), ExpiresMs: tk.expires.UnixMilli()}, nil
}

// forget drops what has expired; the lock is held.
func (ts *tickets) forget(now time.Time) {
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
func (sg *Signer) openTicket(id RequestID) (*ticket, error) {
	rest, isTicket := strings.CutPrefix(string(id), ticketPrefix)
	if !isTicket {
		return nil, nil
	}
	parts := strings.Split(rest, ".")
	if len(parts) < ticketParts {
		return nil, errTicket
	}
	last := len(parts) - 1
	if !sg.signed(ticketPrefix+strings.Join(parts[:last], "."), parts[last]) {
		return nil, errTicket
	}
	expires, err := strconv.ParseInt(parts[last-1], 36, 64)
	if err != nil {
		return nil, errTicket
	}
	return &ticket{entry: table.InstanceID(strings.Join(parts[:last-3], ".")), incarnation: table.Incarnation(parts[last-3]), nonce: Nonce(parts[last-2]), expires: time.UnixMilli(expires)}, nil
}

// serveTicket gives a caller a ticket.
func (sv *Server) serveTicket(wr http.ResponseWriter) {
	answer, err := sv.tickets.issue()
	if err != nil || sv.stopping.Load() {
		sv.writeStatus(wr, http.StatusServiceUnavailable, Status{Outcome: endpoint.OutcomeNotRun, Code: CodeOverloaded, Message: errNoTickets.Error(), RetryAfterMs: sv.spread(outageRetry).Milliseconds()})
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(wr).Encode(answer)
}

// runTicket runs a request under its ticket, here or at the entry instance that issued it.
func (sv *Server) runTicket(ctx context.Context, req *Request) Word {
	tk := req.ticket
	switch {
	case tk.entry != sv.opts.Entry:
		return sv.forward(ctx, req)
	case tk.incarnation != sv.opts.Incarnation || !sv.tickets.spend(tk):
		return sv.ticketUnknown(req)
	}
	call := sv.callOf(req)
	key := req.Key()
	call.OnLate = func(answer *endpoint.Answer) {
		sv.records.late(key, answer)
		answer.Release()
	}
	rs := sv.router.Do(ctx, call)
	if rs.Outcome == endpoint.OutcomeNotRun {
		sv.tickets.restore(tk)
	}
	return sv.wordOf(req, rs)
}

// refuseTicket returns the word on a ticket's request that is refused here: only its issuer knows of earlier tries.
func (sv *Server) refuseTicket(req *Request, word Word) Word {
	if req.Try == 1 {
		return word
	}
	return Word{Outcome: endpoint.OutcomeUnknown, Cause: word.Cause, RetryAfter: word.RetryAfter}
}

// ticketUnknown is the word on a ticket that this run does not honour: an earlier try may have run.
func (sv *Server) ticketUnknown(req *Request) Word {
	if word, known := sv.records.ask(req.Key(), ""); known && word.Answer != nil {
		return word
	}
	return Word{Outcome: endpoint.OutcomeUnknown, Cause: errTicketSpent}
}

// forward lets the issuer of the request's ticket run it.
func (sv *Server) forward(ctx context.Context, req *Request) Word {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	word, err := sv.peers.Forward(ctx, req.ticket.entry, req)
	if err == nil {
		return word
	}
	// Whether the issuer ran it, now or at an earlier try, cannot be known here.
	return Word{Outcome: endpoint.OutcomeUnknown, Cause: errOwnerLost, RetryAfter: sv.spread(outageRetry)}
}

// Forwarded runs a request that another entry instance passed on, whose ticket is of this one.
func (sv *Server) Forwarded(ctx context.Context, req *Request) Word {
	sv.open.Add(1)
	defer sv.open.Add(-1)
	tk, err := sv.signer.openTicket(req.ID)
	if err != nil || tk == nil || tk.entry != sv.opts.Entry {
		return Word{Outcome: endpoint.OutcomeUnknown, Cause: errTicket}
	}
	req.ticket, req.Named, req.Mark = tk, true, MarkUnrepeatable
	word := sv.word(ctx, req)
	return wholeWord(word)
}

// wholeWord reads an answer that streams to its end, so that it can be passed on.
func wholeWord(word Word) Word {
	if word.Answer == nil || word.Answer.Stream == nil {
		return word
	}
	rest := word.Answer.Stream
	defer func() { _ = rest.Close() }()
	body, err := io.ReadAll(io.LimitReader(rest, forwardBytes+1))
	if err != nil || len(body) > forwardBytes {
		return Word{Outcome: endpoint.OutcomeUnknown, Cause: errNotKept}
	}
	whole := &endpoint.Answer{Status: word.Answer.Status, Header: word.Answer.Header, Body: append(word.Answer.Body, body...)}
	word.Answer = whole
	return word
}

// Code returns the code of a word without an answer.
func (wd Word) Code() Code {
	code, _ := verdictOf(wd.Cause)
	return code
}

// CauseOf returns the cause that a code stands for.
func CauseOf(code Code) error {
	for _, vd := range verdicts {
		if vd.code == code {
			return vd.err
		}
	}
	return errOwnerLost
}

// SessionOf returns the session of a token that another entry instance passed on, nil without one.
func (sv *Server) SessionOf(token string) (*Session, error) {
	if token == "" {
		return nil, nil
	}
	return sv.signer.Open(token)
}
