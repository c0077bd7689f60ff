package endpoint

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

const (
	// hedgeDelayFactor is a multiple of the mean latency. An attempt that is not answered within it counts as a failure.
	hedgeDelayFactor = 4
	minHedgeDelay    = 30 * time.Millisecond
	// initialHedgeDelay applies while the mean latency is unknown.
	initialHedgeDelay = time.Second
)

// execution is the state of one call to Do.
type execution struct {
	rt      *Router
	call    *Call
	ctx     context.Context
	results chan attemptResult
	// outstanding counts the attempts without a result so far.
	outstanding int
	outcomes    []AttemptOutcome
	tried       []table.InstanceID
	cancels     []context.CancelFunc
	// serverError is the last complete answer with a server error. It is returned when no attempt gets a better one.
	serverError *Answer
	cause       error
	lastSlot    slot
	prepared    bool
}

// Do sends the call and returns its result. It returns by the deadline even when an attempt is still running.
func (rt *Router) Do(ctx context.Context, call *Call) Result {
	rt.Calls.Add(1)
	rt.budget.deposit()
	ex := &execution{rt: rt, call: call, ctx: ctx, results: make(chan attemptResult, rt.opts.Retry.MaxAttempts)}
	if !ex.startAttempt() {
		return ex.giveUp()
	}
	return ex.awaitResults()
}

// startAttempt starts an attempt and reports whether it could.
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

// recordCause keeps the first error, which says more about the failure than errors of later attempts.
func (ex *execution) recordCause(err error) {
	if ex.cause == nil {
		ex.cause = err
	}
}

// prepare runs the call's BeforeSend hook once and then checks the deadline, which may have passed while the hook ran.
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

// launch runs one attempt in the background. The attempt may outlive the caller's wait, but not MaxAttemptDuration.
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

// awaitResults handles results of attempts until one settles the call, the deadline passes or the caller goes away.
func (ex *execution) awaitResults() Result {
	deadline := time.NewTimer(ex.call.Deadline.Sub(ex.rt.opts.Now()))
	defer deadline.Stop()
	hedge := time.NewTimer(ex.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case ar := <-ex.results:
			if ex.handleResult(ar) {
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

// handleResult records the result of an attempt and reports whether it settles the call.
func (ex *execution) handleResult(ar attemptResult) bool {
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

// retry starts another attempt after a failed one if its outcome, the attempt limit, the deadline and the retry budget allow it.
func (ex *execution) retry(ar attemptResult) bool {
	retryable := MayRetry(ar.outcome, ex.call.Repeatable) || ar.outcome == Answered
	if !retryable || !ex.canStart(false) || !ex.rt.budget.tryWithdraw() {
		return false
	}
	return ex.startAttempt()
}

// canStart reports whether the attempt limit, the deadline and, if checkBudget is set, the retry budget allow another attempt.
func (ex *execution) canStart(checkBudget bool) bool {
	if checkBudget && ex.rt.budget.balance.Load() < retryUnit {
		return false
	}
	return len(ex.tried) < ex.rt.opts.Retry.MaxAttempts && ex.rt.opts.Now().Before(ex.call.Deadline) && ex.ctx.Err() == nil
}

// hedgeDelay returns how long an attempt may stay unanswered before it counts as a failure and a repeatable request is hedged.
func (ex *execution) hedgeDelay() time.Duration {
	ss := ex.rt.serviceStats(ex.lastSlot.ro)
	if ss.meanLatency == 0 {
		return initialHedgeDelay
	}
	return max(hedgeDelayFactor*ss.meanLatency, ss.tailLatency(), minHedgeDelay)
}

// hedge counts the missing answer as a failure of the endpoint.
// It also sends a repeatable request to another endpoint, unless that would require waiting for a slot.
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

// finish returns the answer that settled the call and cancels the other attempts.
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

// losingCancels returns the cancel functions of the attempts that did not settle the call.
// A streamed answer still needs its own.
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

// discardOutstanding discards the answers of attempts that end after the call was settled.
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

// discard releases the memory and the stream of an answer that nobody will read.
func discard(answer *Answer) {
	answer.Release()
	if answer != nil && answer.Stream != nil {
		// Nobody reads the stream, so an error from Close has no consequence.
		_ = answer.Stream.Close()
	}
}

// giveUp returns the result of a call without outstanding attempts.
func (ex *execution) giveUp() Result {
	if ex.serverError != nil {
		return ex.result(ex.serverError)
	}
	return ex.result(nil)
}

// detach returns while an attempt is still running. Its answer is passed to OnLate.
// The attempt is cancelled if the call has no such hook or if there is a server error to return.
func (ex *execution) detach() Result {
	if ex.outstanding == 0 {
		return ex.giveUp()
	}
	if ex.serverError != nil {
		// A server error is a complete answer and preferred to none.
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

// cancelOutstanding cancels the attempts that are still running.
func (ex *execution) cancelOutstanding() {
	for _, cancel := range ex.cancels {
		cancel()
	}
	ex.discardOutstanding()
}

// awaitLate waits for the attempts that outlived the call and passes the last complete answer to OnLate.
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
