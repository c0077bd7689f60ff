package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// maximumFormat has two pools with a queue each, and an organisation with a maximum of three cores over both pools.
type maximumFormat struct{ testFormat }

var otherQueue = job.Queue{ID: "q2", Host: "h", PathPrefix: "/q2/", Pool: "pool2", MaxAttempts: 2, Stretch: 2, Slack: time.Second}

func (maximumFormat) Configuration(rw Row) (*job.Configuration, error) {
	cf, err := testFormat{}.Configuration(rw)
	if cf == nil || err != nil {
		return cf, err
	}
	cf.Queues, cf.Pools = append(cf.Queues, otherQueue), append(cf.Pools, job.Pool{ID: "pool2"})
	cf.Organisations = job.NewDirectory([]job.Organisation{{ID: "mill", Keys: []job.Key{job.NewKey("k")}, Maximum: job.Size{CPUMillis: 3000}}})
	return cf, nil
}

func (maximumFormat) Worker(rw Row) (cell.Worker, error) {
	wk, err := testFormat{}.Worker(rw)
	if strings.HasPrefix(rw.Key, "v") {
		wk.Pool = "pool2"
	}
	return wk, err
}

// TestMaximumAcrossPools runs jobs of an organisation in two pools, whose owners run on several instances. One instance stops
// without a handover. The running tasks must stay within the maximum, and all jobs must complete.
func TestMaximumAcrossPools(t *testing.T) {
	cl := newCluster(t, 150*time.Millisecond)
	cl.format = maximumFormat{}
	for _, id := range []string{"v0", "v1"} {
		cl.write(Row{Table: "registry", Key: id, Value: []byte("{}")})
	}
	nodes := []*testNode{cl.start("one"), cl.start("two"), cl.start("three")}
	cl.waitOwner(nodes...)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	submit := func(from, to int) (ids []job.ID) {
		for i := from; i < to; i++ {
			sp := testSpec(job.ID(fmt.Sprintf("m%d", i)))
			sp.Organisation = "mill"
			if i%2 == 1 {
				sp.Queue, sp.Pool = otherQueue.ID, otherQueue.Pool
			}
			cl.eventually("the acceptance of "+string(sp.ID), func() bool {
				result, _ := nodes[0].Submit(ctx, sp)
				return result == Accepted
			})
			ids = append(ids, sp.ID)
		}
		return ids
	}
	ids := submit(0, 8)
	time.Sleep(300 * time.Millisecond)
	var stopped *testNode
	for _, nd := range nodes[1:] {
		if nd.ownerOf("pool") != nil || nd.ownerOf("pool2") != nil {
			stopped = nd
		}
	}
	if stopped != nil {
		stopped.stop()
		<-stopped.done
		_ = stopped.srv.Close()
	}
	for _, id := range append(ids, submit(8, 12)...) {
		cl.eventually("completion of "+string(id), func() bool {
			state, err := nodes[0].State(ctx, "mill", &testQueue, id)
			return err == nil && state == job.Completed
		})
	}
	if most := cl.workers.peakRunning(); most > 3 || most == 0 {
		t.Errorf("%d tasks of one core each ran at the same time, the maximum is 3", most)
	}
}

// TestUnreadableAccountIsIgnored checks that a row which cannot be decoded does not change the known accounts.
func TestUnreadableAccountIsIgnored(t *testing.T) {
	cl := newCluster(t, 20*time.Millisecond)
	cl.format = maximumFormat{}
	one := cl.start("one")
	cl.waitOwner(one)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	sp := testSpec("r1")
	sp.Organisation = "mill"
	if result, _ := one.Submit(ctx, sp); result != Accepted {
		t.Fatal(result)
	}
	cl.eventually("completion of the job", func() bool {
		state, err := one.State(ctx, "mill", &testQueue, "r1")
		return err == nil && state == job.Completed
	})
	for _, value := range []string{"", "{", "[]", `{"pool":3}`, `{"pool":{"epoch":"x"}}`, "\xff"} {
		if _, ok := one.parseAccount(Row{Table: tableAccount, Part: accountPart, Key: "mill", Value: []byte(value), Version: 1 << 40}); ok {
			t.Errorf("%q was accepted", value)
		}
	}
}

// TestOrganisationsReport checks that the report shows an organisation's maximum, what it holds and runs, and the jobs that
// wait because it has reached the maximum.
func TestOrganisationsReport(t *testing.T) {
	cl := newCluster(t, 2*time.Second)
	cl.format = maximumFormat{}
	one := cl.start("one")
	cl.waitOwner(one)
	for _, id := range []job.ID{"o1", "o2", "o3"} {
		sp := testSpec(id)
		sp.Organisation = "mill"
		cl.eventually("acceptance", func() bool {
			result, _ := one.Submit(t.Context(), sp)
			return result == Accepted
		})
	}
	var og OrganisationStatus
	cl.eventually("a job waits at the maximum", func() bool {
		rp, err := ReadOrganisations(t.Context(), one.faultyStore, maximumFormat{})
		if err != nil || len(rp.Organisations) != 1 || len(rp.Unreachable) > 0 {
			return false
		}
		og = rp.Organisations[0]
		return og.Waiting > 0 && len(og.AtLimit) > 0 && og.Running.CPUMillis > 0
	})
	if og.ID != "mill" || og.Maximum.CPUMillis != 3000 || og.Running.CPUMillis > 3000 || og.Held.CPUMillis > 3000 || og.AtLimit[0] != "pool" || og.Oldest <= 0 {
		t.Errorf("%+v", og)
	}
	if len(og.Keys) != 1 || og.Keys[0] != job.NewKey("k").Fingerprint() {
		t.Errorf("keys: %v", og.Keys)
	}
}
