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
	loadWorkTime  = 20 * time.Millisecond
	loadTimeout   = 400 * time.Millisecond
	loadDuration  = 3 * time.Second
	loadBacklog   = 1000
	// loadCapacity is the number of requests a second that the endpoints can answer.
	loadCapacity = loadEndpoints * 8 * int(time.Second/loadWorkTime)
)

// sender sends one request and reports whether it was answered successfully in time, and how many attempts it took.
type sender func() (good bool, attempts int)

// loadResult is the result of a period of steady load.
type loadResult struct {
	offered, good, attempts int64
	// slowest is the longest time taken by a request without a successful answer.
	slowest time.Duration
}

// generateLoad sends requests at a steady rate, independent of how fast they are answered (open loop).
func generateLoad(rate float64, duration time.Duration, send sender) loadResult {
	var good, attempts, slowest atomic.Int64
	var wg sync.WaitGroup
	offered := int(rate * duration.Seconds())
	interval := time.Duration(float64(time.Second) / rate)
	for range offered {
		wg.Go(func() {
			started := time.Now()
			ok, tries := send()
			attempts.Add(int64(tries))
			if ok {
				good.Add(1)
				return
			}
			for elapsed := int64(time.Since(started)); ; {
				before := slowest.Load()
				if elapsed <= before || slowest.CompareAndSwap(before, elapsed) {
					return
				}
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return loadResult{offered: int64(offered), good: good.Load(), attempts: attempts.Load(), slowest: time.Duration(slowest.Load())}
}

// routerSender sends through the routers in turn.
func routerSender(routers []*endpoint.Router) sender {
	var next atomic.Int64
	return func() (bool, int) {
		rt := routers[int(next.Add(1))%len(routers)]
		rs := rt.Do(context.Background(), newCall(loadTimeout))
		return rs.Outcome == endpoint.OutcomeAnswered && rs.Answer.Status == http.StatusOK, len(rs.AttemptOutcomes)
	}
}

// baselineSender sends to a random endpoint without any limit, in up to four attempts.
func baselineSender(bd *testBed) sender {
	client := &http.Client{Transport: &http.Transport{DialContext: bd.dial, DisableKeepAlives: true}}
	return func() (bool, int) {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		const maxAttempts = 4
		for attempt := 1; ; attempt++ {
			attemptCtx, cancelAttempt := context.WithTimeout(ctx, loadTimeout/maxAttempts)
			rq, _ := http.NewRequestWithContext(attemptCtx, http.MethodGet, "http://"+endpointAddress(bd.random(loadEndpoints)), nil)
			rp, err := client.Do(rq)
			cancelAttempt()
			if err == nil {
				_ = rp.Body.Close()
				if rp.StatusCode == http.StatusOK {
					return true, attempt
				}
			}
			if attempt == maxAttempts || ctx.Err() != nil {
				return false, attempt
			}
		}
	}
}

func endpointAddress(index int) string {
	return []string{"10.0.0.1:80", "10.0.0.2:80"}[index]
}

// measureLoad applies a multiple of the capacity and then half of the capacity, to measure the recovery.
func measureLoad(t *testing.T, factor float64, useRouters bool) (load, recovery loadResult) {
	synctest.Test(t, func(t *testing.T) {
		bd := newTestBed(t, loadEndpoints, loadEntries, loadWorkTime)
		for _, ep := range bd.endpoints {
			ep.Switch(standin.EndpointFaults{WorkMs: int(loadWorkTime.Milliseconds()), Backlog: loadBacklog})
		}
		var routers []*endpoint.Router
		send := baselineSender(bd)
		if useRouters {
			for range loadEntries {
				routers = append(routers, bd.router())
			}
			send = routerSender(routers)
		}
		load = generateLoad(factor*float64(loadCapacity), loadDuration, send)
		recovery = generateLoad(0.5*float64(loadCapacity), time.Second, send)
		time.Sleep(time.Minute) // let background attempts end
		bd.close(routers...)
	})
	return load, recovery
}

func TestOverload(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	t.Logf("capacity %d requests a second, deadline %v, %d entry instances", loadCapacity, loadTimeout, loadEntries)
	for _, factor := range []float64{0.5, 1, 2, 5} {
		routed, routedRecovery := measureLoad(t, factor, true)
		baseline, baselineRecovery := measureLoad(t, factor, false)
		possible := min(float64(routed.offered), float64(loadCapacity)*loadDuration.Seconds())
		share := func(lr loadResult) float64 { return float64(lr.good) / possible }
		t.Logf("%.1f times capacity: successful answers as a share of those possible %.3f, baseline %.3f; attempts per request %.3f, baseline %.3f; longest time to a failure %v; successful answers after the load %d/%d, baseline %d/%d",
			factor, share(routed), share(baseline), attemptsPerRequest(routed), attemptsPerRequest(baseline), routed.slowest, routedRecovery.good, routedRecovery.offered, baselineRecovery.good, baselineRecovery.offered)
		if share(routed) < 0.9 {
			t.Errorf("at %.1f times capacity only %.3f of the possible answers were successful", factor, share(routed))
		}
		if attemptsPerRequest(routed) > 1.11 {
			t.Errorf("at %.1f times capacity %.3f attempts per request", factor, attemptsPerRequest(routed))
		}
		if float64(routedRecovery.good) < 0.98*float64(routedRecovery.offered) {
			t.Errorf("after %.1f times capacity only %d of %d requests were answered successfully", factor, routedRecovery.good, routedRecovery.offered)
		}
	}
}

func attemptsPerRequest(lr loadResult) float64 {
	return float64(lr.attempts) / float64(lr.offered)
}
