package endpoint

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

const (
	// hedgeDelayFactor times the usual latency without an answer counts as a failure.
	hedgeDelayFactor = 4
	minHedgeDelay    = 30 * time.Millisecond
	// initialHedgeDelay applies while the usual latency is not known.
	initialHedgeDelay = time.Second
)

// execution is the state of one call to Do.
type execution struct {
	rt      *Router
	call    *Call
	ctx     context.Context
	results chan attemptResult
	// outstanding counts attempts whose end has not come in.
	outstanding int
	outcomes    []AttemptOutcome
	tried       []table.InstanceID
	cancels     []context.CancelFunc
	// serverError is the last complete answer with a server error, passed on when nothing better comes.
	serverError *Answer
	cause       error
	lastSlot    slot
	prepared    bool
}

// Do sends the call and returns its end; it returns by the deadline even when an attempt goes on.
func (rt *Router) Do(ctx context.Context, call *Call) Result {
	rt.Calls.Add(1)
	rt.budget.deposit()
	ex := &execution{rt: rt, call: call, ctx: ctx, results: make(chan attemptResult, rt.opts.Retry.MaxAttempts)}
	if !ex.startAttempt() {
		return ex.giveUp()
	}
	return ex.awaitResults()
}

// startAttempt begins another attempt and reports whether it could.
func (ex *execution) startAttempt() bool {
	sl, err := ex.rt.acquire(ex.ctx, ex.call, ex.tried)
	if err != nil {
		ex.recordCause(err)
		return false
	}
	if err := ex.prepare(); err != nil {
		ex.releaseUnused(sl)
		ex.recordCause(err)
		return false
	}
	ex.launch(sl)
	return true
}

// recordCause keeps the first cause of a failure, which says more than what later attempts met.
func (ex *execution) recordCause(err error) {
	if ex.cause == nil {
		ex.cause = err
	}
}

// prepare runs the call's hook once and then looks at the time, which the hook may have taken.
func (ex *execution) prepare() error {
	if !ex.prepared && ex.call.BeforeSend != nil {
		if err := ex.call.BeforeSend(); err != nil {
			return err
		}
	}
	ex.prepared = true
	if !ex.rt.opts.Now().Before(ex.call.Deadline) {
		return ErrDeadline
	}
	return nil
}

func (ex *execution) releaseUnused(sl slot) {
	if sl.probe {
		sl.st.health.cancelProbe()
	}
	sl.release()
}

// launch runs one attempt; it outlives the caller's wait but not the longest request time.
func (ex *execution) launch(sl slot) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ex.ctx), ex.rt.opts.MaxAttemptDuration)
	ex.cancels = append(ex.cancels, cancel)
	ex.tried = append(ex.tried, sl.st.id)
	ex.lastSlot = sl
	ex.outstanding++
	go func() {
		ar := ex.rt.attempt(ctx, cancel, sl, ex.call)
		ex.rt.recordResult(ar, errors.Is(ctx.Err(), context.Canceled))
		if ar.answer == nil || ar.answer.Stream == nil {
			sl.release()
			cancel()
		}
		ex.results <- ar
	}()
}

// awaitResults handles ends of attempts until one settles the call or the time is over.
func (ex *execution) awaitResults() Result {
	deadline := time.NewTimer(ex.call.Deadline.Sub(ex.rt.opts.Now()))
	defer deadline.Stop()
	hedge := time.NewTimer(ex.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case ar := <-ex.results:
			if ex.settledBy(ar) {
				return ex.finish(ar)
			}
			if ex.outstanding == 0 && !ex.retry(ar) {
				return ex.giveUp()
			}
		case <-hedge.C:
			ex.hedge()
		case <-deadline.C:
			ex.recordCause(ErrDeadline)
			return ex.detach()
		case <-ex.ctx.Done():
			ex.recordCause(ex.ctx.Err())
			return ex.detach()
		}
	}
}

// settledBy notes the end of an attempt and reports whether it settles the call.
func (ex *execution) settledBy(ar attemptResult) bool {
	ex.outstanding--
	ex.outcomes = append(ex.outcomes, ar.outcome)
	ex.lastSlot = ar.slot
	if ar.outcome != Answered {
		ex.recordCause(ar.err)
		return false
	}
	if ar.answer.Status < http.StatusInternalServerError || !ex.call.Repeatable || ar.answer.Stream != nil {
		return true
	}
	discard(ex.serverError)
	ex.serverError = ar.answer
	return !ex.canStart(true) && ex.outstanding == 0
}

// retry starts another attempt after one that failed, as far as its end and the budget allow.
func (ex *execution) retry(ar attemptResult) bool {
	retryable := MayRetry(ar.outcome, ex.call.Repeatable) || ar.outcome == Answered
	if !retryable || !ex.canStart(false) || !ex.rt.budget.tryWithdraw() {
		return false
	}
	return ex.startAttempt()
}

// canStart reports whether the number of attempts and the time allow another one.
func (ex *execution) canStart(checkBudget bool) bool {
	if checkBudget && ex.rt.budget.balance.Load() < retryUnit {
		return false
	}
	return len(ex.tried) < ex.rt.opts.Retry.MaxAttempts && ex.rt.opts.Now().Before(ex.call.Deadline) && ex.ctx.Err() == nil
}

// hedgeDelay returns after which silence counts against an endpoint and a repeatable request is tried elsewhere.
func (ex *execution) hedgeDelay() time.Duration {
	ss := ex.rt.serviceStats(ex.lastSlot.ro)
	if ss.meanLatency == 0 {
		return initialHedgeDelay
	}
	return max(hedgeDelayFactor*ss.meanLatency, ss.tailLatency(), minHedgeDelay)
}

// hedge counts silence against the endpoint and tries a repeatable request elsewhere, without waiting for a slot.
func (ex *execution) hedge() {
	if ex.outstanding == 0 {
		return
	}
	ex.rt.recordFailure(ex.lastSlot.st, ErrDeadline)
	if !ex.call.Repeatable || ex.call.Pin != nil || !ex.canStart(false) {
		return
	}
	sl, err := ex.rt.tryAcquire(ex.call, ex.tried)
	if err != nil {
		return
	}
	if sl.st == ex.lastSlot.st || !ex.rt.budget.tryWithdraw() {
		ex.releaseUnused(sl)
		return
	}
	ex.launch(sl)
}

// finish returns the answer that settled the call and ends what else goes on.
func (ex *execution) finish(ar attemptResult) Result {
	for _, cancel := range ex.losingCancels(ar) {
		cancel()
	}
	ex.discardOutstanding()
	if ex.serverError != ar.answer {
		discard(ex.serverError)
	}
	return ex.result(ar.answer)
}

// losingCancels returns the cancels of the attempts that did not win; the winner's stream still needs its own.
func (ex *execution) losingCancels(ar attemptResult) []context.CancelFunc {
	if ar.answer.Stream == nil {
		return ex.cancels
	}
	var cancels []context.CancelFunc
	for ix, id := range ex.tried {
		if id != ar.slot.st.id {
			cancels = append(cancels, ex.cancels[ix])
		}
	}
	return cancels
}

// discardOutstanding closes streams of attempts that end after the call was settled.
func (ex *execution) discardOutstanding() {
	if ex.outstanding == 0 {
		return
	}
	go func(count int) {
		for range count {
			discard((<-ex.results).answer)
		}
	}(ex.outstanding)
}

// discard gives back what an answer holds that nobody will read.
func discard(answer *Answer) {
	answer.Release()
	if answer != nil && answer.Stream != nil {
		// Nobody reads the rest, so what closing says does not matter.
		_ = answer.Stream.Close()
	}
}

// giveUp returns the end of a call that has no attempt open.
func (ex *execution) giveUp() Result {
	if ex.serverError != nil {
		return ex.result(ex.serverError)
	}
	return ex.result(nil)
}

// detach returns while an attempt goes on; its late answer is kept if anybody may collect it.
func (ex *execution) detach() Result {
	if ex.outstanding == 0 {
		return ex.giveUp()
	}
	if ex.serverError != nil {
		// A server error is a whole answer too, and better than none.
		ex.cancelOutstanding()
		return ex.result(ex.serverError)
	}
	for range ex.outstanding {
		ex.outcomes = append(ex.outcomes, MaybeRun)
	}
	if ex.call.OnLate == nil {
		ex.cancelOutstanding()
		return ex.result(nil)
	}
	go ex.awaitLate(ex.outstanding)
	rs := ex.result(nil)
	rs.Pending = true
	return rs
}

// cancelOutstanding ends the attempts that still run.
func (ex *execution) cancelOutstanding() {
	for _, cancel := range ex.cancels {
		cancel()
	}
	ex.discardOutstanding()
}

// awaitLate waits for the attempts that outlived the call.
func (ex *execution) awaitLate(count int) {
	var answer *Answer
	for range count {
		ar := <-ex.results
		if ar.outcome == Answered && ar.answer.Stream == nil {
			discard(answer)
			answer = ar.answer
			continue
		}
		discard(ar.answer)
	}
	ex.call.OnLate(answer)
}

func (ex *execution) result(answer *Answer) Result {
	rs := Result{Answer: answer, AttemptOutcomes: ex.outcomes, Err: ex.cause, Outcome: Fold(PriorNone, ex.outcomes)}
	if ex.lastSlot.st != nil {
		rs.Endpoint, rs.Epoch = ex.lastSlot.st.id, ex.lastSlot.epoch
	}
	if answer != nil {
		rs.Outcome, rs.Err = OutcomeAnswered, nil
		return rs
	}
	if errors.Is(rs.Err, ErrUnknownService) {
		return rs
	}
	rs.RetryAfter = ex.rt.retryAfter(ex.call.Service)
	return rs
}
