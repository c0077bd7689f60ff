package proof

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/standin"
)

// metric reads one figure of an entry instance.
func (en *entryProcess) metric(t *testing.T, name string) int64 {
	t.Helper()
	rp := send(en.operator, ask{method: http.MethodGet, path: "/v1/metrics", headers: map[string]string{"Authorization": "Bearer " + token}})
	var all map[string]map[string]int64
	if err := json.Unmarshal(rp.body, &all); err != nil {
		t.Fatalf("metrics: %v in %s", err, rp.body)
	}
	return all[name]["value"]
}

// TestStartFromPeersAndFromThePlatform measures the time until an entry instance serves and its reads of the platform until then.
func TestStartFromPeersAndFromThePlatform(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 3, endpoints: 6})
	faults := []struct {
		name string
		fs   standin.PlatformFaults
	}{{"healthy", standin.PlatformFaults{}}, {"slow by 400 ms", standin.PlatformFaults{DelayMs: 400}}, {"down", standin.PlatformFaults{Down: true}}}
	for _, ft := range faults {
		for _, seeded := range []bool{true, false} {
			fl.entries[0].kill()
			fl.fail(ft.fs)
			fl.noSeeds = !seeded
			began := time.Now()
			fl.startEntry(fl.entries[0])
			ready := fl.becomesReady(fl.entries[0], 4*time.Second)
			took := time.Since(began).Round(10 * time.Millisecond)
			if !ready {
				t.Logf("platform %s, peers asked %t: does not serve", ft.name, seeded)
			} else {
				t.Logf("platform %s, peers asked %t: serves after %v, platform reads sent until then %d", ft.name, seeded, took, fl.entries[0].metric(t, "platform.reads"))
			}
			if want := seeded || !ft.fs.Down; ready != want {
				t.Errorf("platform %s, peers asked %t: serves %t", ft.name, seeded, ready)
			}
		}
	}
}

// becomesReady reports whether an entry instance serves within a time.
func (fl *fleet) becomesReady(en *entryProcess, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for ctx.Err() == nil {
		rp, err := http.Get("http://" + en.callers + "/.aspenseam/ready")
		if err == nil {
			_ = rp.Body.Close()
			if rp.StatusCode == http.StatusNoContent {
				return true
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}
