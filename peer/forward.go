package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/table"
	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"
)

// Forward lets the issuer of a request's ticket run it; an error says that it cannot be known whether it did.
func (cl *Client) Forward(ctx context.Context, issuer table.InstanceID, req *caller.Request) (caller.Result, error) {
	mb, listed := cl.snapshots.Snapshot().Members[issuer]
	if !listed || mb.Address == "" {
		return caller.Result{}, eris.Errorf("entry instance %s is not listed", issuer)
	}
	out := &ForwardRequest{Caller: string(req.Caller), Id: string(req.ID), Service: string(req.Service), Method: req.Method, Target: req.Target, Host: req.Host, Header: headersOut(req.Header), Body: req.Body, DeadlineMs: req.Deadline.UnixMilli(), Try: int32(req.Try)}
	if req.Session != nil {
		out.Session = cl.opts.Signer.Token(*req.Session)
	}
	rp, err := cl.at(mb.Address).Forward(ctx, out)
	if err != nil {
		return caller.Result{}, eris.Wrapf(err, "forward to %s", issuer)
	}
	word := caller.Result{Outcome: endpoint.Outcome(rp.Outcome), RetryAfter: time.Duration(rp.RetryAfterMs) * time.Millisecond, Session: rp.Session}
	if rp.Answer != nil {
		word.Answer = answerIn(rp.Answer)
		return word, nil
	}
	word.Cause = caller.CauseForCode(caller.Code(rp.Code))
	return word, nil
}

// Forward runs a request whose ticket this entry instance issued.
func (sv *Server) Forward(ctx context.Context, rq *ForwardRequest) (*ForwardResponse, error) {
	session, err := sv.flights.ParseSession(rq.Session)
	if err != nil {
		return nil, twirp.InvalidArgumentError("session", err.Error())
	}
	req := &caller.Request{Caller: caller.ID(rq.Caller), ID: caller.RequestID(rq.Id), Service: table.ServiceID(rq.Service), Method: rq.Method, Target: rq.Target, Host: rq.Host, Header: headersIn(rq.Header), Body: rq.Body, Deadline: time.UnixMilli(rq.DeadlineMs), Try: int(rq.Try), Session: session}
	word := sv.flights.HandleForwarded(ctx, req)
	rp := &ForwardResponse{Outcome: string(word.Outcome), RetryAfterMs: word.RetryAfter.Milliseconds(), Pending: word.Pending, Session: word.Session}
	if word.Answer != nil {
		rp.Answer = answerOut(word.Answer)
		word.Answer.Release()
		return rp, nil
	}
	rp.Code = string(word.Code())
	return rp, nil
}

func headersOut(hd http.Header) []*Header {
	var out []*Header
	for name, values := range hd {
		out = append(out, &Header{Name: name, Values: values})
	}
	return out
}

func headersIn(headers []*Header) http.Header {
	in := make(http.Header, len(headers))
	for _, hd := range headers {
		in[hd.Name] = hd.Values
	}
	return in
}
