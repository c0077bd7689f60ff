package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/table"
)

// collect answers a caller that asks for the answer to an earlier request of its own.
func (sv *Server) collect(wr http.ResponseWriter, rq *http.Request) {
	rd := &reader{rq: rq, now: sv.opts.Now(), opts: &sv.opts}
	req := &Request{Caller: ID(rd.name(HeaderCaller, string(Anonymous))), Method: rq.Method, Named: true}
	req.ID = RequestID(strings.TrimPrefix(rq.URL.Path, CollectPath))
	if len(req.ID) > maxNameLength || !namePattern.MatchString(string(req.ID)) {
		rd.add("the path must end in a request id")
	}
	if rq.Method != http.MethodGet {
		rd.add("answers are collected with GET")
	}
	if len(rd.findings) > 0 {
		sv.respondFault(wr, req, &fault{status: http.StatusBadRequest, code: CodeBadRequest, findings: rd.findings})
		return
	}
	ctx, cancel := context.WithTimeout(rq.Context(), sv.opts.DefaultTimeout)
	defer cancel()
	sv.respond(wr, req, sv.find(ctx, req.Key()))
}

// find looks for an answer here, on the claim, and at the other entry instances.
func (sv *Server) find(ctx context.Context, key Key) Word {
	if word, ok := sv.records.ask(key, ""); ok {
		return sv.pendingWord(word)
	}
	_, cl, err := sv.claims.get(ctx, key)
	switch {
	case err == nil:
		return sv.findClaimed(ctx, key, cl)
	case errors.Is(err, table.ErrAbsent):
		err = errNoAnswer
	default:
		err = errPlatformDown
	}
	word, peerErr := sv.peers.Collect(ctx, key)
	if peerErr != nil {
		return Word{Outcome: endpoint.OutcomeUnknown, Cause: err, RetryAfter: sv.spread(outageRetry)}
	}
	return sv.pendingWord(word)
}

func (sv *Server) findClaimed(ctx context.Context, key Key, cl Claim) Word {
	switch cl.State {
	case ClaimAnswered:
		return sv.keptWord(ctx, cl)
	case ClaimReleased:
		return Word{Outcome: endpoint.OutcomeNotRun, Cause: errNoAnswer}
	case ClaimLost:
		return Word{Outcome: endpoint.OutcomeUnknown, Cause: endpoint.ErrConnectionBroken}
	}
	word, err := sv.askOwner(ctx, key, cl)
	if err != nil {
		return Word{Outcome: endpoint.OutcomeUnknown, Cause: errOwnerLost, RetryAfter: sv.spread(outageRetry)}
	}
	if word.Outcome == endpoint.OutcomeNotRun {
		word.Cause = errNoAnswer
	}
	return sv.pendingWord(word)
}

// pendingWord tells when to come back for an answer that is still to come.
func (sv *Server) pendingWord(word Word) Word {
	if word.Pending {
		word.RetryAfter = sv.spread(stopRetry)
	}
	return word
}
