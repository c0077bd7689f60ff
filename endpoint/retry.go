package endpoint

import "sync/atomic"

// retryUnit is the fixed-point unit of the budget, so that shares of a retry can be counted with atomics.
const retryUnit = 1000

// retryBudget lets retries be a share of traffic; requests earn and retries spend.
type retryBudget struct {
	balance           atomic.Int64
	depositPerRequest atomic.Int64
	maxBalance        int64
}

func newRetryBudget(policy RetryPolicy) *retryBudget {
	rb := &retryBudget{maxBalance: int64(policy.Burst) * retryUnit}
	rb.depositPerRequest.Store(int64(policy.Share * retryUnit))
	rb.balance.Store(rb.maxBalance)
	return rb
}

// deposit notes one request.
func (rb *retryBudget) deposit() {
	for {
		before := rb.balance.Load()
		next := min(before+rb.depositPerRequest.Load(), rb.maxBalance)
		if before == next || rb.balance.CompareAndSwap(before, next) {
			return
		}
	}
}

// tryWithdraw takes one retry and reports whether there was one.
func (rb *retryBudget) tryWithdraw() bool {
	for {
		before := rb.balance.Load()
		if before < retryUnit {
			return false
		}
		if rb.balance.CompareAndSwap(before, before-retryUnit) {
			return true
		}
	}
}
