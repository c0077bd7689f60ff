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
	// maxDiscardBytes bounds how much of a rejected body is read and discarded, so that the caller receives the response.
	maxDiscardBytes = 16 << 20
)

// namePattern matches valid caller names, request ids and service names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@/+=-]*$`)

// requestError rejects a request. It holds the HTTP status, the code and all findings.
type requestError struct {
	status   int
	code     Code
	findings []string
}

// Error returns the findings as one line.
func (re *requestError) Error() string {
	return strings.Join(re.findings, "; ")
}

// headerParser parses the headers of one request and collects its errors as findings.
type headerParser struct {
	rq       *http.Request
	now      time.Time
	opts     *Options
	findings []string
}

func (hp *headerParser) addFinding(format string, args ...any) {
	hp.findings = append(hp.findings, fmt.Sprintf(format, args...))
}

// parseRequest parses an HTTP request into a Request without its body.
func (sv *Server) parseRequest(rq *http.Request) (*Request, *requestError) {
	hp := &headerParser{rq: rq, now: sv.opts.Now(), opts: &sv.opts}
	req := &Request{Method: rq.Method, Target: rq.URL.RequestURI(), Host: rq.Host, Header: rq.Header}
	req.Service = hp.service()
	req.Caller = ID(hp.name(HeaderCaller, string(Anonymous)))
	req.ID = RequestID(hp.name(HeaderRequestID, ""))
	req.IDFromCaller = req.ID != ""
	req.Delivery = hp.deliveryMode(req.IDFromCaller)
	req.ticket = hp.ticket(sv.signer, req)
	req.Try = hp.try()
	req.Deadline = hp.deadline()
	req.Session = hp.session(sv.signer, req.Service)
	if !strings.HasPrefix(req.Target, "/") {
		hp.addFinding("the target must begin with /")
	}
	if len(hp.findings) > 0 {
		return req, &requestError{status: http.StatusBadRequest, code: CodeBadRequest, findings: hp.findings}
	}
	if !req.IDFromCaller {
		req.ID = RequestID(table.NewID())
	}
	return req, nil
}

// service returns the service named in the header, or else the first label of the host name.
func (hp *headerParser) service() table.ServiceID {
	if name := hp.name(HeaderService, ""); name != "" || hp.rq.Header.Get(HeaderService) != "" {
		return table.ServiceID(name)
	}
	host := hp.rq.Host
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	label, _, _ := strings.Cut(host, ".")
	return table.ServiceID(label)
}

// name returns the value of a header that must be a valid name, or the fallback if the header is absent.
func (hp *headerParser) name(header, fallback string) string {
	values := hp.rq.Header.Values(header)
	switch {
	case len(values) == 0:
		return fallback
	case len(values) > 1:
		hp.addFinding("%s stands %d times", header, len(values))
	case len(values[0]) > maxNameLength:
		hp.addFinding("%s is longer than %d characters", header, maxNameLength)
	case !namePattern.MatchString(values[0]):
		hp.addFinding("%s must be letters, digits and ._:@/+=- and begin with a letter or digit", header)
	default:
		return values[0]
	}
	return ""
}

// deliveryMode returns how often the request may run. Without the header, the method decides.
func (hp *headerParser) deliveryMode(named bool) DeliveryMode {
	switch value := hp.rq.Header.Get(HeaderRepeat); value {
	case RepeatYes:
		return DeliveryRepeatable
	case RepeatNo:
		if !named {
			hp.addFinding("%s is required with %s: %s", HeaderRequestID, HeaderRepeat, RepeatNo)
		}
		return DeliveryAtMostOnce
	case "":
	default:
		hp.addFinding("%s must be %s or %s", HeaderRepeat, RepeatYes, RepeatNo)
	}
	switch hp.rq.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return DeliveryRepeatable
	}
	return DeliveryOncePerTry
}

// ticket returns the ticket encoded in the request id, nil for an ordinary id.
func (hp *headerParser) ticket(sg *Signer, req *Request) *ticket {
	tk, err := sg.parseTicket(req.ID)
	if err != nil {
		hp.addFinding("%s begins like a ticket, and the ticket is not of this fleet", HeaderRequestID)
	}
	if tk != nil && req.Delivery != DeliveryAtMostOnce {
		hp.addFinding("a ticket is for a request with %s: %s", HeaderRepeat, RepeatNo)
	}
	return tk
}

func (hp *headerParser) try() int {
	text := hp.rq.Header.Get(HeaderTry)
	if text == "" {
		return 0
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 1 || number > maxTry {
		hp.addFinding("%s must be a whole number from 1 to %d", HeaderTry, maxTry)
	}
	return number
}

// deadline returns the caller's deadline, capped at MaxRequestDuration from now.
func (hp *headerParser) deadline() time.Time {
	text := hp.rq.Header.Get(HeaderDeadline)
	if text == "" {
		return hp.now.Add(hp.opts.DefaultTimeout)
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		hp.addFinding("%s must be milliseconds since 1970 UTC", HeaderDeadline)
		return hp.now
	}
	latest := hp.now.Add(hp.opts.MaxRequestDuration)
	if ms > latest.UnixMilli() {
		return latest
	}
	return time.UnixMilli(ms)
}

func (hp *headerParser) session(sg *Signer, service table.ServiceID) *Session {
	token := hp.rq.Header.Get(HeaderSession)
	switch token {
	case "":
		return nil
	case SessionNew:
		return &Session{ID: table.NewID(), Service: service}
	}
	ss, err := sg.ParseToken(token)
	if err != nil {
		hp.addFinding("%s must be %q or a token that this fleet gave", HeaderSession, SessionNew)
		return nil
	}
	if ss.Service != service {
		hp.addFinding("%s is of service %s", HeaderSession, ss.Service)
	}
	return ss
}

// readBody reads the body up to its size limit. Its memory is reserved from the buffers until release is called.
// A rejected body is read and discarded up to maxDiscardBytes: a caller that is still writing would not receive the response.
func (sv *Server) readBody(wr http.ResponseWriter, rq *http.Request) (body []byte, release func(), reqErr *requestError) {
	release = func() {}
	if rq.ContentLength == 0 {
		return nil, release, nil
	}
	size := rq.ContentLength
	if size < 0 || size > int64(sv.opts.MaxBodyBytes) {
		size = int64(sv.opts.MaxBodyBytes)
	}
	if !sv.opts.Buffers.Reserve(size) {
		discardBody(rq.Body)
		return nil, release, &requestError{status: http.StatusServiceUnavailable, code: CodeOverloaded, findings: []string{errBuffersFull.Error()}}
	}
	body, err := io.ReadAll(io.LimitReader(rq.Body, int64(sv.opts.MaxBodyBytes)+1))
	if err == nil && len(body) <= sv.opts.MaxBodyBytes {
		return body, func() { sv.opts.Buffers.Release(size) }, nil
	}
	sv.opts.Buffers.Release(size)
	if err == nil {
		discardBody(rq.Body)
		return nil, release, &requestError{status: http.StatusRequestEntityTooLarge, code: CodeTooLarge, findings: []string{fmt.Sprintf("the body must be at most %d bytes", sv.opts.MaxBodyBytes)}}
	}
	wr.Header().Set("Connection", "close")
	return nil, release, &requestError{status: http.StatusRequestTimeout, code: CodeBadRequest, findings: []string{"the body did not come in whole and in time"}}
}

// discardBody reads and discards what a caller still sends. The server's read timeout bounds how long this takes.
func discardBody(body io.Reader) {
	// The request is rejected either way, so a read error does not matter.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
}
