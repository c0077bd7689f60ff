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

// TestConcurrentConfirmationsOfOneInstanceConflict lets two operators read the same state before either writes.
func TestConcurrentConfirmationsOfOneInstanceConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		wd := newFakePlatform(t, rand.New(rand.NewPCG(1, 1)))
		wd.put(table.TableService, "s", table.Service{ID: "s", Asked: 4, Budget: 2, Connections: 64})
		for _, id := range []table.InstanceID{"w1", "w2", "w3", "w4"} {
			wd.put(table.TableInstance, string(id), table.Instance{ID: id, State: table.InstanceServing, Epoch: 1, Services: []table.ServiceID{"s"}})
		}
		var wg sync.WaitGroup
		errs := make([]error, 2)
		for ix, why := range []string{"kernel", "firmware"} {
			desk := operator.NewManager(wd, wd, wd.startWatcher(ctx, time.Second), func() operator.Planner { return operator.Planner{} }, time.Now)
			time.Sleep(2 * time.Second)
			pn, err := desk.Propose(ctx, operator.Name(why), operator.Intent{Kind: operator.KindReboot, Instances: []table.InstanceID{"w1", "w2"}, Why: why})
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

// maxCommits bounds the transactions for each instance of a reboot: closing, leaving, drained, stopped, serving.
const maxCommits = 5

func TestCommitsPerInstanceOfAReboot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		wd := newFakePlatform(t, rand.New(rand.NewPCG(1, 1)))
		wd.put(table.TableService, "s", table.Service{ID: "s", Asked: 6, Budget: 2, Connections: 64})
		for _, id := range []table.InstanceID{"w1", "w2", "w3", "w4", "w5", "w6"} {
			wd.put(table.TableInstance, string(id), table.Instance{ID: id, Address: string(id), State: table.InstanceServing, Epoch: 1, Services: []table.ServiceID{"s"}})
			wd.usage[id] = map[table.ServiceID]int{"s": 2}
		}
		view := wd.startWatcher(ctx, time.Second)
		desk := operator.NewManager(wd, wd, view, func() operator.Planner { return operator.Planner{} }, time.Now)
		ex := operator.NewExecutor(wd, wd, view, wd, wd, operator.ExecutorOptions{Entry: "e1", Incarnation: "i", LeaseDuration: time.Hour})
		time.Sleep(2 * time.Second)
		pn, err := desk.Propose(ctx, "alice", operator.Intent{Kind: operator.KindReboot, Instances: []table.InstanceID{"w1", "w2", "w3"}, Why: "kernel"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := desk.Confirm(ctx, "alice", pn.ID); err != nil {
			t.Fatal(err)
		}
		before := wd.commits
		go ex.Run(ctx)
		time.Sleep(10 * time.Minute)
		const ends = 2 // the plan's own end, and the lease with and without a reason to wait
		steps := wd.commits - before - ends
		t.Logf("%d transactions for 3 instances, %d sessions moved of 6", steps, wd.moved)
		if steps > 3*maxCommits+6 || wd.moved != 6 || len(wd.violations) > 0 {
			t.Errorf("%d transactions, %d sessions moved, %v", steps, wd.moved, wd.violations)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
