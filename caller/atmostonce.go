package caller

import (
	"context"
	"errors"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/table"
	"go.uber.org/zap"
)

const (
	// ownerPollInterval is the time between two status queries to a claim's owner while the request runs.
	ownerPollInterval = 50 * time.Millisecond
	// maxOwnerFailures is the number of consecutive failed queries after which an owner counts as lost; each query times out after 500 ms by
	// default. On a busy machine a single response can be late, and the caller would then get outcome unknown for a request that was answered.
	maxOwnerFailures = 3
	// storeTimeout bounds the attempts to store the result of a claimed request.
	storeTimeout = time.Minute
	// outageRetryDelay is the base delay before callers retry after the platform or an entry instance did not answer.
	outageRetryDelay = 2 * time.Second
)

// claimedRequest runs one unrepeatable request under a claim.
type claimedRequest struct {
	sv           *Server
	req          *Request
	key          Key
	nonce        Nonce
	claimVersion table.Version
	// replaces is the version of the released claim that this claim replaces.
	replaces table.Version
	// claimConfirmed is set once the platform has confirmed the claim.
	claimConfirmed bool
}

// runAtMostOnce claims the request, sends it at most once, and returns the final result.
func (sv *Server) runAtMostOnce(ctx context.Context, req *Request) Result {
	cr := &claimedRequest{sv: sv, req: req, key: req.Key()}
	for {
		if !sv.snapshots.Reached() {
			return cr.unreachableResult(errPlatformDown)
		}
		cr.nonce = Nonce(table.NewID())
		rs := sv.router.Do(ctx, cr.call(ctx))
		var conflict *claimConflictError
		if !errors.As(rs.Err, &conflict) {
			return cr.finish(ctx, rs)
		}
		sv.records.markReleased(cr.key, cr.nonce)
		result, released := sv.resolveConflict(ctx, req, conflict)
		if !released {
			return result
		}
		cr.replaces = conflict.row.Version
	}
}

// call returns the endpoint call, which writes the claim before it sends the first byte.
func (cr *claimedRequest) call(ctx context.Context) *endpoint.Call {
	call := cr.sv.newCall(cr.req)
	call.BeforeSend = func() error { return cr.claim(ctx) }
	call.OnLate = cr.finishLate
	return call
}

// claim writes the claim and waits until the platform has confirmed it.
func (cr *claimedRequest) claim(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, min(cr.sv.opts.ClaimTimeout, time.Until(cr.req.Deadline)))
	defer cancel()
	version, err := cr.sv.claims.write(ctx, cr.key, cr.sv.claims.build(cr.req, cr.nonce, ClaimClaimed), cr.replaces)
	if err == nil {
		cr.claimVersion, cr.claimConfirmed = version, true
		return nil
	}
	var conflict *claimConflictError
	if errors.As(err, &conflict) {
		return err
	}
	cr.sv.opts.Log.Emit(event.ClaimUnresolved, zap.String("key", string(cr.key)), zap.Error(err))
	cr.sv.background(cr.releaseUnconfirmed)
	return errPlatformDown
}

// releaseUnconfirmed releases a claim whose write was not confirmed. Otherwise the claim could block later tries after this entry instance stops.
func (cr *claimedRequest) releaseUnconfirmed() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	cl := cr.sv.claims.build(cr.req, cr.nonce, ClaimReleased)
	_, err := cr.sv.claims.write(ctx, cr.key, cl, cr.replaces)
	var conflict *claimConflictError
	if errors.As(err, &conflict) && conflict.claim.Nonce == cr.nonce {
		// A failed write is ignored: another writer may replace the row, since nothing was sent under this claim.
		_, _ = cr.sv.claims.write(ctx, cr.key, cl, conflict.row.Version)
	}
}

// finish returns the final result of the call and stores its outcome with the claim in the background.
func (cr *claimedRequest) finish(ctx context.Context, rs endpoint.Result) Result {
	result := cr.sv.resultFrom(cr.req, rs)
	switch {
	case rs.Outcome == endpoint.OutcomeNotRun:
		cr.sv.records.markReleased(cr.key, cr.nonce)
		if cr.claimConfirmed {
			cr.sv.background(func() { cr.storeOutcome(ClaimReleased, nil) })
			return result
		}
		return cr.reject(ctx, result)
	case rs.Outcome == endpoint.OutcomeAnswered:
		kept := copyForStore(rs.Answer)
		cr.sv.background(func() { cr.storeOutcome(ClaimAnswered, kept) })
	case !rs.Pending:
		cr.sv.background(func() { cr.storeOutcome(ClaimLost, nil) })
	}
	return result
}

// copyForStore copies an answer for storage with the claim, so that storing it does not interfere with writing the answer to the caller.
func copyForStore(answer *endpoint.Answer) *endpoint.Answer {
	return &endpoint.Answer{Status: answer.Status, Header: answer.Header.Clone(), Body: answer.Body, Stream: answer.Stream}
}

// finishLate stores the outcome of an attempt that ended after its caller's response.
func (cr *claimedRequest) finishLate(answer *endpoint.Answer) {
	cr.sv.records.finishLate(cr.key, answer)
	if answer == nil {
		cr.sv.background(func() { cr.storeOutcome(ClaimLost, nil) })
		return
	}
	answer.Release()
	cr.sv.background(func() { cr.storeOutcome(ClaimAnswered, answer) })
}

// storeOutcome writes the final state of a claim that this entry instance holds.
func (cr *claimedRequest) storeOutcome(state ClaimState, answer *endpoint.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	cl := cr.sv.claims.build(cr.req, cr.nonce, state)
	if answer != nil {
		result, err := cr.sv.claims.storeAnswer(ctx, cr.key, cr.nonce, answer)
		if err != nil {
			cr.sv.opts.Log.Emit(event.ResultNotStored, zap.String("key", string(cr.key)), zap.Error(err))
			return
		}
		cl.Result = result
	}
	_, err := cr.sv.claims.write(ctx, cr.key, cl, cr.claimVersion)
	var conflict *claimConflictError
	if err != nil && !errors.As(err, &conflict) {
		cr.sv.opts.Log.Emit(event.ResultNotStored, zap.String("key", string(cr.key)), zap.Error(err))
	}
}

// reject returns the result for a request that this entry instance did not claim.
// It writes a released claim: a conflict shows that an earlier try holds a claim, and the new row prevents tries in flight from being sent.
func (cr *claimedRequest) reject(ctx context.Context, result Result) Result {
	if cr.req.Try == 1 {
		return result
	}
	if errors.Is(result.Cause, errPlatformDown) || !cr.sv.snapshots.Reached() {
		return cr.unreachableResult(result.Cause)
	}
	ctx, cancel := context.WithTimeout(ctx, cr.sv.opts.ClaimTimeout)
	defer cancel()
	nonce := Nonce(table.NewID())
	cr.sv.records.markReleased(cr.key, nonce)
	_, err := cr.sv.claims.write(ctx, cr.key, cr.sv.claims.build(cr.req, nonce, ClaimReleased), cr.replaces)
	var conflict *claimConflictError
	switch {
	case err == nil:
		return result
	case !errors.As(err, &conflict):
		return cr.unreachableResult(result.Cause)
	}
	existing, released := cr.sv.resolveConflict(ctx, cr.req, conflict)
	if released {
		return result
	}
	return existing
}

// unreachableResult returns the result when the platform is unreachable, so that it is unknown whether an earlier try ran.
func (cr *claimedRequest) unreachableResult(cause error) Result {
	outcome := endpoint.OutcomeUnknown
	if cr.req.Try == 1 {
		outcome = endpoint.OutcomeNotRun
	}
	return Result{Outcome: outcome, Cause: cause, RetryAfter: cr.sv.jitter(outageRetryDelay)}
}

// resolveConflict returns the result of the request from an existing claim. released reports that the claim was released and may be replaced.
func (sv *Server) resolveConflict(ctx context.Context, req *Request, conflict *claimConflictError) (result Result, released bool) {
	cl := conflict.claim
	if cl.State == ClaimReleased {
		return Result{}, true
	}
	if cl.Digest != req.Digest() {
		return Result{Outcome: endpoint.OutcomeNotRun, Cause: errIDConflict}, false
	}
	switch cl.State {
	case ClaimAnswered:
		return sv.storedResult(ctx, cl), false
	case ClaimLost:
		return Result{Outcome: endpoint.OutcomeUnknown, Cause: endpoint.ErrConnectionBroken}, false
	}
	return sv.awaitOwner(ctx, req, cl)
}

// storedResult returns the answer stored with a claim as a result.
func (sv *Server) storedResult(ctx context.Context, cl Claim) Result {
	answer, err := sv.claims.loadAnswer(ctx, cl)
	if err != nil {
		return Result{Outcome: endpoint.OutcomeUnknown, Cause: err, RetryAfter: sv.jitter(outageRetryDelay)}
	}
	return Result{Outcome: endpoint.OutcomeAnswered, Answer: answer}
}

// awaitOwner polls the owner of a claim until the request has ended or the caller's deadline passes.
func (sv *Server) awaitOwner(ctx context.Context, req *Request, cl Claim) (result Result, released bool) {
	for failures := 0; ; {
		result, err := sv.askOwner(ctx, req.Key(), cl)
		if err != nil {
			failures++
			result = Result{Outcome: endpoint.OutcomeUnknown, Cause: errOwnerLost, RetryAfter: sv.jitter(outageRetryDelay)}
		} else {
			failures = 0
		}
		switch {
		case err != nil && (failures >= maxOwnerFailures || errors.Is(err, errOwnerLost) || time.Until(req.Deadline) < ownerPollInterval):
			return result, false
		case err != nil:
			// Query the owner again after the poll interval.
		case result.Outcome == endpoint.OutcomeNotRun:
			return Result{}, true
		case !result.Pending:
			return result, false
		case time.Until(req.Deadline) < ownerPollInterval:
			result.RetryAfter = sv.jitter(outageRetryDelay)
			return result, false
		}
		select {
		case <-time.After(ownerPollInterval):
		case <-ctx.Done():
			return result, false
		}
	}
}

// askOwner queries the owner of a claim. It fails if the owner does not respond, has evicted the record, or has restarted since it wrote the claim.
func (sv *Server) askOwner(ctx context.Context, key Key, cl Claim) (Result, error) {
	if cl.Owner != sv.opts.Entry {
		return sv.peers.ClaimStatus(ctx, cl.Owner, key, cl.Nonce)
	}
	if cl.Incarnation != sv.opts.Incarnation {
		return Result{}, errOwnerLost
	}
	result, ok := sv.records.lookup(key, cl.Nonce)
	if !ok {
		return Result{}, errOwnerLost
	}
	return result, nil
}
