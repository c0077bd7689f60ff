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
	"github.com/aspenseam/aspenseam/table"
)

// TestConcurrentConfirmationsOfTheSameInstancesConflict guards against two plans that hold the same instances. Two operators confirm overlapping
// plans at the same time, and both confirmations read the table before either writes.
func TestConcurrentConfirmationsOfTheSameInstancesConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fp := newFakePlatform(t, rand.New(rand.NewPCG(1, 1)))
		fp.put(table.TableService, "s", table.Service{ID: "s", Asked: 4, Budget: 2, Connections: 64})
		for _, id := range []table.InstanceID{"w1", "w2", "w3", "w4"} {
			fp.put(table.TableInstance, string(id), table.Instance{ID: id, State: table.InstanceServing, Epoch: 1, Services: []table.ServiceID{"s"}})
		}
		var wg sync.WaitGroup
		errs := make([]error, 2)
		for ix, why := range []string{"kernel", "firmware"} {
			manager := operator.NewManager(fp, fp, fp.startWatcher(ctx, time.Second), func() operator.Planner { return operator.Planner{} }, time.Now)
			time.Sleep(2 * time.Second)
			pn, err := manager.Propose(ctx, operator.Name(why), operator.Intent{Kind: operator.KindReboot, Instances: []table.InstanceID{"w1", "w2"}, Why: why})
			if err != nil {
				t.Fatal(err)
			}
			wg.Go(func() {
				time.Sleep(time.Until(time.Date(2000, 1, 1, 0, 1, 0, 0, time.UTC)))
				_, errs[ix] = manager.Confirm(ctx, operator.Name(why), pn.ID)
			})
		}
		wg.Wait()
		var refused *operator.RefusedError
		if (errs[0] == nil) == (errs[1] == nil) || !errors.As(errors.Join(errs...), &refused) || len(refused.Findings) != 2 {
			t.Errorf("one confirmation must succeed and the other must be refused with a finding for each instance: %v, %v", errs[0], errs[1])
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// maxCommits is the maximum number of transactions per rebooted instance: closing, leaving, drained, stopped and serving.
const maxCommits = 5

func TestCommitsPerInstanceOfAReboot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fp := newFakePlatform(t, rand.New(rand.NewPCG(1, 1)))
		fp.put(table.TableService, "s", table.Service{ID: "s", Asked: 6, Budget: 2, Connections: 64})
		for _, id := range []table.InstanceID{"w1", "w2", "w3", "w4", "w5", "w6"} {
			fp.put(table.TableInstance, string(id), table.Instance{ID: id, Address: string(id), State: table.InstanceServing, Epoch: 1, Services: []table.ServiceID{"s"}})
			fp.usage[id] = map[table.ServiceID]int{"s": 2}
		}
		view := fp.startWatcher(ctx, time.Second)
		manager := operator.NewManager(fp, fp, view, func() operator.Planner { return operator.Planner{} }, time.Now)
		ex := operator.NewExecutor(fp, fp, view, fp, fp, operator.ExecutorOptions{Entry: "e1", Incarnation: "i", LeaseDuration: time.Hour})
		time.Sleep(2 * time.Second)
		pn, err := manager.Propose(ctx, "alice", operator.Intent{Kind: operator.KindReboot, Instances: []table.InstanceID{"w1", "w2", "w3"}, Why: "kernel"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := manager.Confirm(ctx, "alice", pn.ID); err != nil {
			t.Fatal(err)
		}
		before := fp.commits
		go ex.Run(ctx)
		time.Sleep(10 * time.Minute)
		const ends = 2 // the plan's own end, and the lease with and without a reason to wait
		steps := fp.commits - before - ends
		t.Logf("%d transactions for 3 instances, %d sessions moved of 6", steps, fp.moved)
		if steps > 3*maxCommits+6 || fp.moved != 6 || len(fp.violations) > 0 {
			t.Errorf("%d transactions, %d sessions moved, %v", steps, fp.moved, fp.violations)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
