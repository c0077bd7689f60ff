package caller_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestClaimsShareWrites measures the platform's writes for each unrepeatable request at a platform that takes 5 ms.
func TestClaimsShareWrites(t *testing.T) {
	// bound is the most transactions for each request, claim and result together.
	for _, td := range []struct {
		inFlight int
		bound    float64
	}{{1, 2}, {10, 0.6}, {100, 0.1}} {
		synctest.Test(t, func(t *testing.T) {
			fs, fr := newFakeStore(5*time.Millisecond), &fakeRouter{work: 10 * time.Millisecond, runs: map[string]int{}}
			sv := newServer(fr, fs)
			began := time.Now()
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
			took := time.Since(began)
			if err := sv.Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute) // the writers end
			requests := rounds * td.inFlight
			perRequest := float64(fs.commits) / float64(requests)
			t.Logf("%d in flight: %d requests, %d transactions (%.3f a request, %.0f a second), %d rows, mean time %v", td.inFlight, requests, fs.commits, perRequest, float64(fs.commits)/took.Seconds(), fs.written, took/rounds)
			if perRequest > td.bound {
				t.Errorf("%.3f transactions a request, want at most %v", perRequest, td.bound)
			}
			for id, runs := range fr.runs {
				if runs != 1 {
					t.Errorf("%s ran %d times", id, runs)
				}
			}
		})
	}
}
