package endpoint

import "sync/atomic"

// retryUnit is one retry in the fixed-point balance, which lets fractions of a retry be counted with atomics.
const retryUnit = 1000

// retryBudget limits retries to a share of the traffic: each request makes a deposit and each retry a withdrawal.
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

// deposit adds the share of one request to the balance.
func (rb *retryBudget) deposit() {
	for {
		before := rb.balance.Load()
		next := min(before+rb.depositPerRequest.Load(), rb.maxBalance)
		if before == next || rb.balance.CompareAndSwap(before, next) {
			return
		}
	}
}

// tryWithdraw withdraws one retry and reports whether the balance covered it.
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
