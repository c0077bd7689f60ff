package fleet

import (
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/machine"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// orderBurst is how many orders for machines may be sent at once, as the time in which the platform takes so many. A burst has to
// end well within the term of the machine lease, since an order that is not answered by then is cancelled.
const orderBurst = 300 * time.Millisecond

// newOrderLimiter returns a limiter of orders for machines; one without a bound if the platform states no rate.
func newOrderLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*orderBurst.Seconds())))
}

// takeMoves returns the first moves, as many as the platform's rate allows now, and drops the others. Moves beyond the rate would
// be refused, or end unanswered with the lease, and keep workers of both pools idle meanwhile. The next round plans them again.
func (ct *machineController) takeMoves(now time.Time, moves []machine.Move) []machine.Move {
	for at := range moves {
		if ct.orderLimiter.AllowN(now, 1) {
			continue
		}
		ct.mu.Lock()
		defer ct.mu.Unlock()
		for _, dropped := range moves[at:] {
			ct.sizer.CancelMove(dropped.Machine)
		}
		ct.fl.opts.Log.Emit(event.MovesDeferred, zap.Int("moves", len(moves)-at))
		return moves[:at]
	}
	return moves
}
