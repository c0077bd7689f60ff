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
	askAgain = 50 * time.Millisecond
	// ownerTries is how many questions in a row an owner may leave without an answer before it counts as lost; each waits 500 ms by default. Where
	// the machines are busy one may be late, and its caller would be told unknown though the request is answered.
	ownerTries = 3
	// storeFor is how long the result of a claimed request is tried to be stored.
	storeFor = time.Minute
	// outageRetry is when callers may come back after the platform did not answer.
	outageRetry = 2 * time.Second
)

// once runs one unrepeatable request under a claim.
type once struct {
	sv     *Server
	req    *Request
	key    Key
	nonce  Nonce
	stored table.Version
	// over is the version of a released claim that this one replaces.
	over table.Version
	// claimed says that the platform confirmed the claim.
	claimed bool
}

// runOnce claims the request, sends it at most once, and returns the final word.
func (sv *Server) runOnce(ctx context.Context, req *Request) Word {
	oc := &once{sv: sv, req: req, key: req.Key()}
	for {
		if !sv.snapshots.Reached() {
			return oc.blind(errPlatformDown)
		}
		oc.nonce = Nonce(table.NewID())
		rs := sv.router.Do(ctx, oc.call(ctx))
		var held *heldError
		if !errors.As(rs.Err, &held) {
			return oc.conclude(ctx, rs)
		}
		sv.records.release(oc.key, oc.nonce)
		word, free := sv.resolve(ctx, req, held)
		if !free {
			return word
		}
		oc.over = held.row.Version
	}
}

// call returns the endpoint call, which claims before the first byte goes out.
func (oc *once) call(ctx context.Context) *endpoint.Call {
	call := oc.sv.callOf(oc.req)
	call.BeforeSend = func() error { return oc.claim(ctx) }
	call.OnLate = oc.late
	return call
}

// claim writes the claim and waits until the platform has confirmed it.
func (oc *once) claim(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, min(oc.sv.opts.ClaimTimeout, time.Until(oc.req.Deadline)))
	defer cancel()
	version, err := oc.sv.claims.put(ctx, oc.key, oc.sv.claims.of(oc.req, oc.nonce, ClaimClaimed), oc.over)
	if err == nil {
		oc.stored, oc.claimed = version, true
		return nil
	}
	var held *heldError
	if errors.As(err, &held) {
		return err
	}
	oc.sv.opts.Log.Emit(event.ClaimUnresolved, zap.String("key", string(oc.key)), zap.Error(err))
	oc.sv.background(oc.abandon)
	return errPlatformDown
}

// abandon releases a claim that may have been written without an answer, so that it blocks nobody when this entry instance is gone.
func (oc *once) abandon() {
	ctx, cancel := context.WithTimeout(context.Background(), storeFor)
	defer cancel()
	cl := oc.sv.claims.of(oc.req, oc.nonce, ClaimReleased)
	_, err := oc.sv.claims.put(ctx, oc.key, cl, oc.over)
	var held *heldError
	if errors.As(err, &held) && held.claim.Nonce == oc.nonce {
		// Whoever replaces the row first is right; nothing was sent under this claim.
		_, _ = oc.sv.claims.put(ctx, oc.key, cl, held.row.Version)
	}
}

// conclude turns the end of the call into the final word and puts it on the claim.
func (oc *once) conclude(ctx context.Context, rs endpoint.Result) Word {
	word := oc.sv.wordOf(oc.req, rs)
	switch {
	case rs.Outcome == endpoint.OutcomeNotRun:
		oc.sv.records.release(oc.key, oc.nonce)
		if oc.claimed {
			oc.sv.background(func() { oc.settle(ClaimReleased, nil) })
			return word
		}
		return oc.refuse(ctx, word)
	case rs.Outcome == endpoint.OutcomeAnswered:
		kept := copyForStore(rs.Answer)
		oc.sv.background(func() { oc.settle(ClaimAnswered, kept) })
	case !rs.Pending:
		oc.sv.background(func() { oc.settle(ClaimLost, nil) })
	}
	return word
}

// copyForStore returns the answer as the claim's result needs it, apart from the one that is being delivered.
func copyForStore(answer *endpoint.Answer) *endpoint.Answer {
	return &endpoint.Answer{Status: answer.Status, Header: answer.Header.Clone(), Body: answer.Body, Stream: answer.Stream}
}

// late puts the end of an attempt that outlived its caller on the claim.
func (oc *once) late(answer *endpoint.Answer) {
	oc.sv.records.late(oc.key, answer)
	if answer == nil {
		oc.sv.background(func() { oc.settle(ClaimLost, nil) })
		return
	}
	answer.Release()
	oc.sv.background(func() { oc.settle(ClaimAnswered, answer) })
}

// settle writes the end of a claim that this entry instance holds.
func (oc *once) settle(state ClaimState, answer *endpoint.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), storeFor)
	defer cancel()
	cl := oc.sv.claims.of(oc.req, oc.nonce, state)
	if answer != nil {
		result, err := oc.sv.claims.resultOf(ctx, oc.key, oc.nonce, answer)
		if err != nil {
			oc.sv.opts.Log.Emit(event.ResultNotStored, zap.String("key", string(oc.key)), zap.Error(err))
			return
		}
		cl.Result = result
	}
	_, err := oc.sv.claims.put(ctx, oc.key, cl, oc.stored)
	var held *heldError
	if err != nil && !errors.As(err, &held) {
		oc.sv.opts.Log.Emit(event.ResultNotStored, zap.String("key", string(oc.key)), zap.Error(err))
	}
}

// refuse returns the word on a request that this entry instance did not claim.
// Whether an earlier try ran is decided by a released claim, which also keeps any try that is still on its way from being sent.
func (oc *once) refuse(ctx context.Context, word Word) Word {
	if oc.req.Try == 1 {
		return word
	}
	if errors.Is(word.Cause, errPlatformDown) || !oc.sv.snapshots.Reached() {
		return oc.blind(word.Cause)
	}
	ctx, cancel := context.WithTimeout(ctx, oc.sv.opts.ClaimTimeout)
	defer cancel()
	nonce := Nonce(table.NewID())
	oc.sv.records.release(oc.key, nonce)
	_, err := oc.sv.claims.put(ctx, oc.key, oc.sv.claims.of(oc.req, nonce, ClaimReleased), oc.over)
	var held *heldError
	switch {
	case err == nil:
		return word
	case !errors.As(err, &held):
		return oc.blind(word.Cause)
	}
	settled, free := oc.sv.resolve(ctx, oc.req, held)
	if free {
		return word
	}
	return settled
}

// blind returns the word when the platform cannot say whether an earlier try ran.
func (oc *once) blind(cause error) Word {
	outcome := endpoint.OutcomeUnknown
	if oc.req.Try == 1 {
		outcome = endpoint.OutcomeNotRun
	}
	return Word{Outcome: outcome, Cause: cause, RetryAfter: oc.sv.spread(outageRetry)}
}

// resolve finds out what became of a claim that another holds; free says that it was released and may be replaced.
func (sv *Server) resolve(ctx context.Context, req *Request, held *heldError) (word Word, free bool) {
	cl := held.claim
	if cl.State == ClaimReleased {
		return Word{}, true
	}
	if cl.Digest != req.Digest() {
		return Word{Outcome: endpoint.OutcomeNotRun, Cause: errIDConflict}, false
	}
	switch cl.State {
	case ClaimAnswered:
		return sv.keptWord(ctx, cl), false
	case ClaimLost:
		return Word{Outcome: endpoint.OutcomeUnknown, Cause: endpoint.ErrConnectionBroken}, false
	}
	return sv.awaitOwner(ctx, req, cl)
}

// keptWord returns the answer kept with a claim as a word.
func (sv *Server) keptWord(ctx context.Context, cl Claim) Word {
	answer, err := sv.claims.answerOf(ctx, cl)
	if err != nil {
		return Word{Outcome: endpoint.OutcomeUnknown, Cause: err, RetryAfter: sv.spread(outageRetry)}
	}
	return Word{Outcome: endpoint.OutcomeAnswered, Answer: answer}
}

// awaitOwner asks the owner of a claim until it knows the end or the caller's time is over.
func (sv *Server) awaitOwner(ctx context.Context, req *Request, cl Claim) (word Word, free bool) {
	for silent := 0; ; {
		word, err := sv.askOwner(ctx, req.Key(), cl)
		if err != nil {
			silent++
			word = Word{Outcome: endpoint.OutcomeUnknown, Cause: errOwnerLost, RetryAfter: sv.spread(outageRetry)}
		} else {
			silent = 0
		}
		switch {
		case err != nil && (silent >= ownerTries || errors.Is(err, errOwnerLost) || time.Until(req.Deadline) < askAgain):
			return word, false
		case err != nil:
			// It is asked again.
		case word.Outcome == endpoint.OutcomeNotRun:
			return Word{}, true
		case !word.Pending:
			return word, false
		case time.Until(req.Deadline) < askAgain:
			word.RetryAfter = sv.spread(outageRetry)
			return word, false
		}
		select {
		case <-time.After(askAgain):
		case <-ctx.Done():
			return word, false
		}
	}
}

// askOwner returns what the owner of a claim says; an owner that has forgotten, or is another run, knows nothing.
func (sv *Server) askOwner(ctx context.Context, key Key, cl Claim) (Word, error) {
	if cl.Owner != sv.opts.Entry {
		return sv.peers.Flight(ctx, cl.Owner, key, cl.Nonce)
	}
	if cl.Incarnation != sv.opts.Incarnation {
		return Word{}, errOwnerLost
	}
	word, ok := sv.records.ask(key, cl.Nonce)
	if !ok {
		return Word{}, errOwnerLost
	}
	return word, nil
}
