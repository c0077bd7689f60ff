package caller_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/standin"
)

// TestClaimsShareTransactions bounds the platform transactions per unrepeatable request, with a platform that takes 5 ms to commit.
func TestClaimsShareTransactions(t *testing.T) {
	// bound is the maximum number of transactions per request, for the claim and the result together.
	for _, td := range []struct {
		inFlight int
		bound    float64
	}{{1, 2}, {10, 0.6}, {100, 0.1}} {
		synctest.Test(t, func(t *testing.T) {
			mm, fr := standin.NewMemory(), &fakeRouter{work: 10 * time.Millisecond, runs: map[string]int{}}
			sv := newServer(fr, mm)
			mm.Delay = 5 * time.Millisecond
			start := time.Now()
			const rounds = 30
			var wg sync.WaitGroup
			for caller := range td.inFlight {
				wg.Go(func() {
					for round := range rounds {
						if wr := post(sv, fmt.Sprintf("r%d.%d", caller, round)); wr.Code != 200 {
							t.Errorf("status %d %s", wr.Code, wr.Body)
						}
					}
				})
			}
			wg.Wait()
			elapsed := time.Since(start)
			if err := sv.Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute) // let the batch writers end
			requests := rounds * td.inFlight
			counts := mm.Counts()
			perRequest := float64(counts.Writes) / float64(requests)
			t.Logf("%d in flight: %d requests, %d transactions (%.3f a request, %.0f a second), %d rows, mean time %v", td.inFlight, requests, counts.Writes, perRequest, float64(counts.Writes)/elapsed.Seconds(), counts.Rows, elapsed/rounds)
			if perRequest > td.bound {
				t.Errorf("%.3f transactions a request, want at most %v", perRequest, td.bound)
			}
			if counts.Reads != 0 {
				t.Errorf("%d reads of the platform for %d requests", counts.Reads, requests)
			}
			for id, runs := range fr.runs {
				if runs != 1 {
					t.Errorf("%s ran %d times", id, runs)
				}
			}
		})
	}
}

// A claim's owner on a busy machine can miss the peers' 500 ms timeout once. Its caller then got outcome unknown although the request was
// answered elsewhere. A single timeout is therefore retried; an owner that is lost fails every query.
func TestClaimOwnerIsQueriedAgain(t *testing.T) {
	for fails, want := range map[int]int{0: 200, 2: 200, 100: 502} {
		synctest.Test(t, func(t *testing.T) {
			mm, fr := standin.NewMemory(), &fakeRouter{work: time.Second, runs: map[string]int{}}
			one := newServer(fr, mm)
			two := caller.NewServer(fr, fakeSnapshots{}, mm, &unresponsivePeers{failures: fails}, caller.WithSigner(caller.NewSigner("0123456789abcdef")), caller.WithEntry("e2", "i2"))
			var wg sync.WaitGroup
			wg.Go(func() { post(one, "r1") })
			time.Sleep(100 * time.Millisecond)
			if wr := post(two, "r1"); wr.Code != want {
				t.Errorf("after %d failed queries: status %d %s, want %d", fails, wr.Code, wr.Body, want)
			}
			wg.Wait()
			for _, sv := range []*caller.Server{one, two} {
				if err := sv.Stop(context.Background()); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Minute)
			if fr.runs["r1"] != 1 {
				t.Errorf("the request ran %d times", fr.runs["r1"])
			}
		})
	}
}
