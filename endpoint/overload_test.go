package endpoint_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/standin"
)

const (
	loadEndpoints = 2
	loadEntries   = 3
	loadWork      = 20 * time.Millisecond
	loadWithin    = 400 * time.Millisecond
	loadTime      = 3 * time.Second
	loadBacklog   = 1000
	// loadCapacity is how many requests a second the endpoints can answer.
	loadCapacity = loadEndpoints * 8 * int(time.Second/loadWork)
)

// sender sends one request and reports whether a good answer came in time.
type sender func() (good bool, attempts int)

// burst is what became of a time of steady arrivals.
type burst struct {
	offered, good, attempts int64
	// slowest is the longest time that a request without a good answer took.
	slowest time.Duration
}

// arrive sends requests at a steady rate, however slowly they are answered.
func arrive(rate float64, long time.Duration, send sender) burst {
	var good, attempts, slowest atomic.Int64
	var wg sync.WaitGroup
	offered := int(rate * long.Seconds())
	gap := time.Duration(float64(time.Second) / rate)
	for range offered {
		wg.Go(func() {
			began := time.Now()
			ok, tries := send()
			attempts.Add(int64(tries))
			if ok {
				good.Add(1)
				return
			}
			for took := int64(time.Since(began)); ; {
				before := slowest.Load()
				if took <= before || slowest.CompareAndSwap(before, took) {
					return
				}
			}
		})
		time.Sleep(gap)
	}
	wg.Wait()
	return burst{offered: int64(offered), good: good.Load(), attempts: attempts.Load(), slowest: time.Duration(slowest.Load())}
}

// managed sends through the routers in turn.
func managed(routers []*endpoint.Router) sender {
	var next atomic.Int64
	return func() (bool, int) {
		rt := routers[int(next.Add(1))%len(routers)]
		rs := rt.Do(context.Background(), call(loadWithin))
		return rs.Outcome == endpoint.OutcomeAnswered && rs.Answer.Status == http.StatusOK, len(rs.Ends)
	}
}

// naive sends to a random endpoint without any limit and tries again up to three times.
func naive(bd *bed) sender {
	client := &http.Client{Transport: &http.Transport{DialContext: bd.dial, DisableKeepAlives: true}}
	return func() (bool, int) {
		ctx, cancel := context.WithTimeout(context.Background(), loadWithin)
		defer cancel()
		const most = 4
		for attempt := 1; ; attempt++ {
			one, cancelOne := context.WithTimeout(ctx, loadWithin/most)
			rq, _ := http.NewRequestWithContext(one, http.MethodGet, "http://"+addressOf(bd.random(loadEndpoints)), nil)
			rp, err := client.Do(rq)
			cancelOne()
			if err == nil {
				_ = rp.Body.Close()
				if rp.StatusCode == http.StatusOK {
					return true, attempt
				}
			}
			if attempt == most || ctx.Err() != nil {
				return false, attempt
			}
		}
	}
}

func addressOf(index int) string {
	return []string{"10.0.0.1:80", "10.0.0.2:80"}[index]
}

// measure runs one load and then half of the capacity, to see the recovery.
func measure(t *testing.T, factor float64, isManaged bool) (load, after burst) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, loadEndpoints, loadEntries, loadWork)
		for _, ep := range bd.endpoints {
			ep.Switch(standin.EndpointFaults{WorkMs: int(loadWork.Milliseconds()), Backlog: loadBacklog})
		}
		var routers []*endpoint.Router
		send := naive(bd)
		if isManaged {
			for range loadEntries {
				routers = append(routers, bd.router())
			}
			send = managed(routers)
		}
		load = arrive(factor*float64(loadCapacity), loadTime, send)
		after = arrive(0.5*float64(loadCapacity), time.Second, send)
		time.Sleep(time.Minute) // what goes on in the background ends
		bd.close(routers...)
	})
	return load, after
}

func TestOverload(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	t.Logf("capacity %d requests a second, deadline %v, %d entry instances", loadCapacity, loadWithin, loadEntries)
	for _, factor := range []float64{0.5, 1, 2, 5} {
		ours, oursAfter := measure(t, factor, true)
		base, baseAfter := measure(t, factor, false)
		possible := min(float64(ours.offered), float64(loadCapacity)*loadTime.Seconds())
		share := func(bs burst) float64 { return float64(bs.good) / possible }
		t.Logf("%.1f times capacity: good answers of those possible %.3f, baseline %.3f; attempts a request %.3f, baseline %.3f; longest wait for a refusal %v; good after the overload %d/%d, baseline %d/%d",
			factor, share(ours), share(base), perRequest(ours), perRequest(base), ours.slowest, oursAfter.good, oursAfter.offered, baseAfter.good, baseAfter.offered)
		if share(ours) < 0.9 {
			t.Errorf("at %.1f times capacity only %.3f of the possible answers were good", factor, share(ours))
		}
		if perRequest(ours) > 1.11 {
			t.Errorf("at %.1f times capacity %.3f attempts a request", factor, perRequest(ours))
		}
		if float64(oursAfter.good) < 0.98*float64(oursAfter.offered) {
			t.Errorf("after %.1f times capacity only %d of %d good answers", factor, oursAfter.good, oursAfter.offered)
		}
	}
}

func perRequest(bs burst) float64 {
	return float64(bs.attempts) / float64(bs.offered)
}
