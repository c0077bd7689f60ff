package endpoint

import "sync/atomic"

// retryUnit is the fixed-point unit of the budget, so that shares of a retry can be counted with atomics.
const retryUnit = 1000

// retryBudget lets retries be a share of traffic; requests earn and retries spend.
type retryBudget struct {
	balance atomic.Int64
	earn    atomic.Int64
	most    int64
}

func newRetryBudget(policy RetryPolicy) *retryBudget {
	rb := &retryBudget{most: int64(policy.Burst) * retryUnit}
	rb.earn.Store(int64(policy.Share * retryUnit))
	rb.balance.Store(rb.most)
	return rb
}

// earned notes one request.
func (rb *retryBudget) earned() {
	for {
		before := rb.balance.Load()
		next := min(before+rb.earn.Load(), rb.most)
		if before == next || rb.balance.CompareAndSwap(before, next) {
			return
		}
	}
}

// spend takes one retry and reports whether there was one.
func (rb *retryBudget) spend() bool {
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
