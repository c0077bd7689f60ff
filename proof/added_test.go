package proof

import (
	"net/http"
	"sort"
	"testing"
	"time"
)

// TestAddedTime reports the added time as a ratio to a direct call in the same run, and wants that repeatable requests cost the platform nothing.
func TestAddedTime(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 1, endpoints: 1})
	const rounds = 200
	direct, through := make([]time.Duration, rounds), make([]time.Duration, rounds)
	writes := fl.requestWrites()
	for ix := range rounds {
		direct[ix] = send(fl.endpoints[0].address, ask{method: http.MethodGet, path: "/"}).took
		rp := send(fl.entries[0].callers, get)
		wantOutcome(t, rp, "answered")
		through[ix] = rp.took
	}
	median := func(times []time.Duration) time.Duration {
		sort.Slice(times, func(ix, jx int) bool { return times[ix] < times[jx] })
		return times[len(times)/2]
	}
	t.Logf("median direct %v, through an entry instance %v, ratio %.2f", median(direct), median(through), float64(median(through))/float64(median(direct)))
	if after := fl.requestWrites(); after != writes {
		t.Errorf("%d platform writes for %d repeatable requests", after-writes, rounds)
	}
}
