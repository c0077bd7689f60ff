package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
)

// TestOwnerLeavesTheProcessorToItsCalls lets events arrive faster than an owner can plan for each of them. Planning must take no more than
// a third of the owner's time, so that the calls that carry out its orders are not late.
func TestOwnerLeavesTheProcessorToItsCalls(t *testing.T) {
	const planTime, span = 3 * time.Millisecond, 3 * time.Second
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		// The fake clock stands still while the owner plans, so the time that plans take is added to it.
		var planning, plans atomic.Int64
		now := func() time.Time { return time.Now().Add(time.Duration(planning.Load())) }
		fl := New(Options{Name: "one", Store: newSerialStore(1), Machines: noMachines{}, Format: testFormat{}, Now: now})
		fl.background = ctx
		ownerCtx, stop := context.WithCancel(ctx)
		ow := newOwner(fl, "pool", ownerRow{version: 1}, stop)
		for _, wt := range []*tableWatch{ow.jobs, fl.registry, fl.operator} {
			wt.ready.Store(true)
		}
		go ow.run(ownerCtx)
		began := now()
		for now().Sub(began) < span {
			planned := plans.Load()
			ow.post(func(*cell.Core, time.Time) {
				// Only the first event of a plan takes the time of the plan.
				if plans.Load() == planned {
					plans.Add(1)
					planning.Add(int64(planTime))
				}
			})
			time.Sleep(time.Millisecond)
		}
		stop()
		<-ow.done
		share := float64(planning.Load()) / float64(now().Sub(began))
		t.Logf("%d plans, %.2f of the time", plans.Load(), share)
		if share > 1.0/3+0.01 {
			t.Errorf("planning takes %.2f of the owner's time", share)
		}
		if least := int64(span/planTime) / 10; plans.Load() < least {
			t.Errorf("%d plans, fewer than %d", plans.Load(), least)
		}
	})
}
