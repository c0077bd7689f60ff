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

// boundFormat has two pools with a queue each, and an organisation that may have three cores on both together.
type boundFormat struct{ plainFormat }

var otherQueue = job.Queue{ID: "q2", Host: "h", PathPrefix: "/q2/", Pool: "pool2", MaxAttempts: 2, Stretch: 2, Slack: time.Second}

func (boundFormat) Configuration(rw Row) (*job.Configuration, error) {
	cf, err := plainFormat{}.Configuration(rw)
	if cf == nil || err != nil {
		return cf, err
	}
	cf.Queues, cf.Pools = append(cf.Queues, otherQueue), append(cf.Pools, job.Pool{ID: "pool2"})
	cf.Organisations = job.NewDirectory([]job.Organisation{{ID: "mill", Keys: []job.Key{job.NewKey("k")}, Maximum: job.Size{CPUMillis: 3000}}})
	return cf, nil
}

func (boundFormat) Worker(rw Row) (cell.Worker, error) {
	wk, err := plainFormat{}.Worker(rw)
	if strings.HasPrefix(rw.Key, "v") {
		wk.Pool = "pool2"
	}
	return wk, err
}

// TestMaximumOverPools: jobs of one organisation in two pools, under owners on several instances, of which one is stopped without a word. What
// runs at once stays within the maximum, and all jobs end.
func TestMaximumOverPools(t *testing.T) {
	st := newSite(t, 150*time.Millisecond)
	st.format = boundFormat{}
	for _, id := range []string{"v0", "v1"} {
		st.write(Row{Table: "registry", Key: id, Value: []byte("{}")})
	}
	nodes := []*testNode{st.start("one"), st.start("two"), st.start("three")}
	st.owner(nodes...)
	ctx, cancel := context.WithTimeout(t.Context(), longWait)
	defer cancel()
	hand := func(from, to int) (ids []job.ID) {
		for at := from; at < to; at++ {
			sp := spec(job.ID(fmt.Sprintf("m%d", at)))
			sp.Organisation = "mill"
			if at%2 == 1 {
				sp.Queue, sp.Pool = otherQueue.ID, otherQueue.Pool
			}
			st.eventually("acceptance of "+string(sp.ID), func() bool {
				vd, _ := nodes[0].Submit(ctx, sp)
				return vd == Accepted
			})
			ids = append(ids, sp.ID)
		}
		return ids
	}
	ids := hand(0, 8)
	time.Sleep(300 * time.Millisecond)
	var gone *testNode
	for _, nd := range nodes[1:] {
		if nd.ownerOf("pool") != nil || nd.ownerOf("pool2") != nil {
			gone = nd
		}
	}
	if gone != nil {
		gone.stop()
		<-gone.done
		_ = gone.srv.Close()
	}
	for _, id := range append(ids, hand(8, 12)...) {
		st.eventually("the end of "+string(id), func() bool {
			state, err := nodes[0].State(ctx, "mill", &testQueue, id)
			return err == nil && state == job.Completed
		})
	}
	if most := st.workers.mostAtOnce(); most > 3 || most == 0 {
		t.Errorf("%d tasks of a core ran at once, 3 are allowed", most)
	}
}

// TestAccountThatCannotBeRead: a foreign writer's row changes nothing of what is known.
func TestAccountThatCannotBeRead(t *testing.T) {
	st := newSite(t, 20*time.Millisecond)
	st.format = boundFormat{}
	one := st.start("one")
	st.owner(one)
	ctx, cancel := context.WithTimeout(t.Context(), longWait)
	defer cancel()
	sp := spec("r1")
	sp.Organisation = "mill"
	if vd, _ := one.Submit(ctx, sp); vd != Accepted {
		t.Fatal(vd)
	}
	st.eventually("the end", func() bool {
		state, err := one.State(ctx, "mill", &testQueue, "r1")
		return err == nil && state == job.Completed
	})
	for _, value := range []string{"", "{", "[]", `{"pool":3}`, `{"pool":{"epoch":"x"}}`, "\xff"} {
		if _, ok := one.accountOf(Row{Table: tableAccount, Part: accountPart, Key: "mill", Value: []byte(value), Version: 1 << 40}); ok {
			t.Errorf("%q was read", value)
		}
	}
}

// TestOrganisationsReport: an operator sees what an organisation may have, has, and waits for, also when it waits at its maximum.
func TestOrganisationsReport(t *testing.T) {
	st := newSite(t, 2*time.Second)
	st.format = boundFormat{}
	one := st.start("one")
	st.owner(one)
	for _, id := range []job.ID{"o1", "o2", "o3"} {
		sp := spec(id)
		sp.Organisation = "mill"
		st.eventually("acceptance", func() bool {
			vd, _ := one.Submit(t.Context(), sp)
			return vd == Accepted
		})
	}
	var og OrganisationStatus
	st.eventually("a job that waits at the maximum", func() bool {
		rp, err := ReadOrganisations(t.Context(), one.way, boundFormat{})
		if err != nil || len(rp.Organisations) != 1 || len(rp.Silent) > 0 {
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
