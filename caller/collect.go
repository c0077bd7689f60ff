package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/table"
)

// serveCollect returns the answer to an earlier request of the same caller.
func (sv *Server) serveCollect(wr http.ResponseWriter, rq *http.Request) {
	hp := &headerParser{rq: rq, now: sv.opts.Now(), opts: &sv.opts}
	req := &Request{Caller: ID(hp.name(HeaderCaller, string(Anonymous))), Method: rq.Method, IDFromCaller: true}
	req.ID = RequestID(strings.TrimPrefix(rq.URL.Path, CollectPath))
	if len(req.ID) > maxNameLength || !namePattern.MatchString(string(req.ID)) {
		hp.addFinding("the path must end in a request id")
	}
	if rq.Method != http.MethodGet {
		hp.addFinding("answers are collected with GET")
	}
	if len(hp.findings) > 0 {
		sv.respondError(wr, req, &requestError{status: http.StatusBadRequest, code: CodeBadRequest, findings: hp.findings})
		return
	}
	ctx, cancel := context.WithTimeout(rq.Context(), sv.opts.DefaultTimeout)
	defer cancel()
	sv.respond(wr, req, sv.findAnswer(ctx, req.Key()))
}

// findAnswer looks for an answer in memory, in the claim, and on the other entry instances.
func (sv *Server) findAnswer(ctx context.Context, key Key) Result {
	if result, ok := sv.records.lookup(key, ""); ok {
		return sv.withRetryAfter(result)
	}
	_, cl, err := sv.claims.get(ctx, key)
	switch {
	case err == nil:
		return sv.findClaimedAnswer(ctx, key, cl)
	case errors.Is(err, table.ErrAbsent):
		err = errNoAnswer
	default:
		err = errPlatformDown
	}
	result, peerErr := sv.peers.Collect(ctx, key)
	if peerErr != nil {
		return Result{Outcome: endpoint.OutcomeUnknown, Cause: err, RetryAfter: sv.jitter(outageRetryDelay)}
	}
	return sv.withRetryAfter(result)
}

func (sv *Server) findClaimedAnswer(ctx context.Context, key Key, cl Claim) Result {
	switch cl.State {
	case ClaimAnswered:
		return sv.storedResult(ctx, cl)
	case ClaimReleased:
		return Result{Outcome: endpoint.OutcomeNotRun, Cause: errNoAnswer}
	case ClaimLost:
		return Result{Outcome: endpoint.OutcomeUnknown, Cause: endpoint.ErrConnectionBroken}
	}
	result, err := sv.askOwner(ctx, key, cl)
	if err != nil {
		return Result{Outcome: endpoint.OutcomeUnknown, Cause: errOwnerLost, RetryAfter: sv.jitter(outageRetryDelay)}
	}
	if result.Outcome == endpoint.OutcomeNotRun {
		result.Cause = errNoAnswer
	}
	return sv.withRetryAfter(result)
}

// withRetryAfter sets a retry delay on a pending result.
func (sv *Server) withRetryAfter(result Result) Result {
	if result.Pending {
		result.RetryAfter = sv.jitter(shortRetryDelay)
	}
	return result
}
