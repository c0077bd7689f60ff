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
	// askAgain is how often the owner of a claim is asked while its request runs.
	ownerPollInterval = 50 * time.Millisecond
	// ownerTries is how many questions in a row an owner may leave without an answer before it counts as lost; each waits 500 ms by default. Where
	// the machines are busy one may be late, and its caller would be told unknown though the request is answered.
	maxOwnerFailures = 3
	// storeFor is how long the result of a claimed request is tried to be stored.
	storeTimeout = time.Minute
	// outageRetry is when callers may come back after the platform did not answer.
	outageRetryDelay = 2 * time.Second
)

// once runs one unrepeatable request under a claim.
type claimedRequest struct {
	sv           *Server
	req          *Request
	key          Key
	nonce        Nonce
	claimVersion table.Version
	// over is the version of a released claim that this one replaces.
	replaces table.Version
	// claimed says that the platform confirmed the claim.
	claimConfirmed bool
}

// runOnce claims the request, sends it at most once, and returns the final word.
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

// call returns the endpoint call, which claims before the first byte goes out.
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

// abandon releases a claim that may have been written without an answer, so that it blocks nobody when this entry instance is gone.
func (cr *claimedRequest) releaseUnconfirmed() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	cl := cr.sv.claims.build(cr.req, cr.nonce, ClaimReleased)
	_, err := cr.sv.claims.write(ctx, cr.key, cl, cr.replaces)
	var conflict *claimConflictError
	if errors.As(err, &conflict) && conflict.claim.Nonce == cr.nonce {
		// Whoever replaces the row first is right; nothing was sent under this claim.
		_, _ = cr.sv.claims.write(ctx, cr.key, cl, conflict.row.Version)
	}
}

// conclude turns the end of the call into the final word and puts it on the claim.
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

// copyForStore returns the answer as the claim's result needs it, apart from the one that is being delivered.
func copyForStore(answer *endpoint.Answer) *endpoint.Answer {
	return &endpoint.Answer{Status: answer.Status, Header: answer.Header.Clone(), Body: answer.Body, Stream: answer.Stream}
}

// late puts the end of an attempt that outlived its caller on the claim.
func (cr *claimedRequest) finishLate(answer *endpoint.Answer) {
	cr.sv.records.finishLate(cr.key, answer)
	if answer == nil {
		cr.sv.background(func() { cr.storeOutcome(ClaimLost, nil) })
		return
	}
	answer.Release()
	cr.sv.background(func() { cr.storeOutcome(ClaimAnswered, answer) })
}

// settle writes the end of a claim that this entry instance holds.
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

// refuse returns the word on a request that this entry instance did not claim.
// Whether an earlier try ran is decided by a released claim, which also keeps any try that is still on its way from being sent.
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

// blind returns the word when the platform cannot say whether an earlier try ran.
func (cr *claimedRequest) unreachableResult(cause error) Result {
	outcome := endpoint.OutcomeUnknown
	if cr.req.Try == 1 {
		outcome = endpoint.OutcomeNotRun
	}
	return Result{Outcome: outcome, Cause: cause, RetryAfter: cr.sv.jitter(outageRetryDelay)}
}

// resolve finds out what became of a claim that another holds; free says that it was released and may be replaced.
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

// keptWord returns the answer kept with a claim as a word.
func (sv *Server) storedResult(ctx context.Context, cl Claim) Result {
	answer, err := sv.claims.loadAnswer(ctx, cl)
	if err != nil {
		return Result{Outcome: endpoint.OutcomeUnknown, Cause: err, RetryAfter: sv.jitter(outageRetryDelay)}
	}
	return Result{Outcome: endpoint.OutcomeAnswered, Answer: answer}
}

// awaitOwner asks the owner of a claim until it knows the end or the caller's time is over.
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
			// It is asked again.
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

// askOwner returns what the owner of a claim says; an owner that has forgotten, or is another run, knows nothing.
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
