package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

const (
	maxNameLength = 128
	maxTry        = 1000000
	// thrownBytes is how much of a refused body is read, so that the caller hears the refusal.
	thrownBytes = 16 << 20
)

// namePattern is what callers' names, request ids and services look like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@/+=-]*$`)

// fault is a bad request: all its findings, and the status it is answered with.
type fault struct {
	status   int
	code     Code
	findings []string
}

// Error returns the findings in one line.
func (ft *fault) Error() string {
	return strings.Join(ft.findings, "; ")
}

// reader collects the findings of one request's headers.
type reader struct {
	rq       *http.Request
	now      time.Time
	opts     *Options
	findings []string
}

func (rd *reader) add(format string, args ...any) {
	rd.findings = append(rd.findings, fmt.Sprintf(format, args...))
}

// read turns the headers of an HTTP request into a Request without its body.
func (sv *Server) read(rq *http.Request) (*Request, *fault) {
	rd := &reader{rq: rq, now: sv.opts.Now(), opts: &sv.opts}
	req := &Request{Method: rq.Method, Target: rq.URL.RequestURI(), Host: rq.Host, Header: rq.Header}
	req.Service = rd.service()
	req.Caller = ID(rd.name(HeaderCaller, string(Anonymous)))
	req.ID = RequestID(rd.name(HeaderRequestID, ""))
	req.Named = req.ID != ""
	req.Mark = rd.mark(req.Named)
	req.ticket = rd.ticket(sv.signer, req)
	req.Try = rd.try()
	req.Deadline = rd.deadline()
	req.Session = rd.session(sv.signer, req.Service)
	if !strings.HasPrefix(req.Target, "/") {
		rd.add("the target must begin with /")
	}
	if len(rd.findings) > 0 {
		return req, &fault{status: http.StatusBadRequest, code: CodeBadRequest, findings: rd.findings}
	}
	if !req.Named {
		req.ID = RequestID(table.NewID())
	}
	return req, nil
}

// service returns the service by header, or else by the host's first label.
func (rd *reader) service() table.ServiceID {
	if name := rd.name(HeaderService, ""); name != "" || rd.rq.Header.Get(HeaderService) != "" {
		return table.ServiceID(name)
	}
	host := rd.rq.Host
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	label, _, _ := strings.Cut(host, ".")
	return table.ServiceID(label)
}

// name returns a header that must be a name when it is there.
func (rd *reader) name(header, fallback string) string {
	values := rd.rq.Header.Values(header)
	switch {
	case len(values) == 0:
		return fallback
	case len(values) > 1:
		rd.add("%s stands %d times", header, len(values))
	case len(values[0]) > maxNameLength:
		rd.add("%s is longer than %d characters", header, maxNameLength)
	case !namePattern.MatchString(values[0]):
		rd.add("%s must be letters, digits and ._:@/+=- and begin with a letter or digit", header)
	default:
		return values[0]
	}
	return ""
}

// mark returns how often the request may run; without a word of the caller it is the method's.
func (rd *reader) mark(named bool) Mark {
	switch word := rd.rq.Header.Get(HeaderRepeat); word {
	case RepeatYes:
		return MarkRepeatable
	case RepeatNo:
		if !named {
			rd.add("%s is required with %s: %s", HeaderRequestID, HeaderRepeat, RepeatNo)
		}
		return MarkUnrepeatable
	case "":
	default:
		rd.add("%s must be %s or %s", HeaderRepeat, RepeatYes, RepeatNo)
	}
	switch rd.rq.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return MarkRepeatable
	}
	return MarkSingle
}

// ticket returns the ticket that a request id is, nil for an ordinary id.
func (rd *reader) ticket(sg *Signer, req *Request) *ticket {
	tk, err := sg.openTicket(req.ID)
	if err != nil {
		rd.add("%s begins like a ticket, and the ticket is not of this fleet", HeaderRequestID)
	}
	if tk != nil && req.Mark != MarkUnrepeatable {
		rd.add("a ticket is for a request with %s: %s", HeaderRepeat, RepeatNo)
	}
	return tk
}

func (rd *reader) try() int {
	text := rd.rq.Header.Get(HeaderTry)
	if text == "" {
		return 0
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 1 || number > maxTry {
		rd.add("%s must be a whole number from 1 to %d", HeaderTry, maxTry)
	}
	return number
}

// deadline returns when the caller stops waiting, at most the longest request time from now.
func (rd *reader) deadline() time.Time {
	text := rd.rq.Header.Get(HeaderDeadline)
	if text == "" {
		return rd.now.Add(rd.opts.DefaultTimeout)
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		rd.add("%s must be milliseconds since 1970 UTC", HeaderDeadline)
		return rd.now
	}
	latest := rd.now.Add(rd.opts.LongestRequest)
	if ms > latest.UnixMilli() {
		return latest
	}
	return time.UnixMilli(ms)
}

func (rd *reader) session(sg *Signer, service table.ServiceID) *Session {
	token := rd.rq.Header.Get(HeaderSession)
	switch token {
	case "":
		return nil
	case SessionNew:
		return &Session{ID: table.NewID(), Service: service}
	}
	ss, err := sg.Open(token)
	if err != nil {
		rd.add("%s must be %q or a token that this fleet gave", HeaderSession, SessionNew)
		return nil
	}
	if ss.Service != service {
		rd.add("%s is of service %s", HeaderSession, ss.Service)
	}
	return ss
}

// readBody reads the body within its bounds; the memory is taken from the buffers until release is called.
// A body that is refused is read and thrown away, as far as bounds allow: a caller that still writes would not hear the refusal.
func (sv *Server) readBody(wr http.ResponseWriter, rq *http.Request) (body []byte, release func(), ft *fault) {
	release = func() {}
	if rq.ContentLength == 0 {
		return nil, release, nil
	}
	size := rq.ContentLength
	if size < 0 || size > int64(sv.opts.BodyBytes) {
		size = int64(sv.opts.BodyBytes)
	}
	if !sv.opts.Buffers.Reserve(size) {
		throwAway(rq.Body)
		return nil, release, &fault{status: http.StatusServiceUnavailable, code: CodeOverloaded, findings: []string{errBusy.Error()}}
	}
	body, err := io.ReadAll(io.LimitReader(rq.Body, int64(sv.opts.BodyBytes)+1))
	if err == nil && len(body) <= sv.opts.BodyBytes {
		return body, func() { sv.opts.Buffers.Release(size) }, nil
	}
	sv.opts.Buffers.Release(size)
	if err == nil {
		throwAway(rq.Body)
		return nil, release, &fault{status: http.StatusRequestEntityTooLarge, code: CodeTooLarge, findings: []string{fmt.Sprintf("the body must be at most %d bytes", sv.opts.BodyBytes)}}
	}
	wr.Header().Set("Connection", "close")
	return nil, release, &fault{status: http.StatusRequestTimeout, code: CodeBadRequest, findings: []string{"the body did not come in whole and in time"}}
}

// throwAway reads what a caller still sends, without keeping it; the server's time for reading bounds how long.
func throwAway(body io.Reader) {
	// Whether all of it came does not matter any more.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, thrownBytes))
}
