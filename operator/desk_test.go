package operator_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/platform"
)

// TestTwoConfirmationsNeverOverlookEachOther lets two operators read the same state before either writes.
func TestTwoConfirmationsNeverOverlookEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		wd := newWorld(t, rand.New(rand.NewPCG(1, 1)))
		wd.put(platform.TableService, "s", platform.Service{ID: "s", Asked: 4, Budget: 2, Connections: 64})
		for _, id := range []platform.InstanceID{"w1", "w2", "w3", "w4"} {
			wd.put(platform.TableInstance, string(id), platform.Instance{ID: id, State: platform.InstanceServing, Epoch: 1, Services: []platform.ServiceID{"s"}})
		}
		var wg sync.WaitGroup
		errs := make([]error, 2)
		for ix, why := range []string{"kernel", "firmware"} {
			desk := operator.NewDesk(wd, wd, wd.view(ctx, time.Second), func() operator.Planner { return operator.Planner{} }, time.Now)
			time.Sleep(2 * time.Second)
			pn, err := desk.Propose(ctx, operator.Name(why), operator.Intent{Kind: operator.KindReboot, Instances: []platform.InstanceID{"w1", "w2"}, Why: why})
			if err != nil {
				t.Fatal(err)
			}
			wg.Go(func() {
				time.Sleep(time.Until(time.Date(2000, 1, 1, 0, 1, 0, 0, time.UTC)))
				_, errs[ix] = desk.Confirm(ctx, operator.Name(why), pn.ID)
			})
		}
		wg.Wait()
		var refused *operator.RefusedError
		if (errs[0] == nil) == (errs[1] == nil) || !errors.As(errors.Join(errs...), &refused) || len(refused.Findings) != 2 {
			t.Errorf("one must win and the other be told of both instances: %v, %v", errs[0], errs[1])
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
