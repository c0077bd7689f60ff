package proof

import (
	"net/http"
	"testing"
)

func TestRequestIsServedThroughEveryEntry(t *testing.T) {
	fl := newFleet(t, shape{halls: 2, entries: 2, endpoints: 2})
	for _, en := range fl.entries {
		rp := send(en.callers, ask{method: http.MethodGet, path: "/logs/oak?grade=1"})
		if rp.err != nil || rp.status != http.StatusOK || rp.outcome != "answered" {
			t.Fatalf("%s: %+v", en.id, rp)
		}
		ex := rp.execution(t)
		if ex.Path != "/logs/oak?grade=1" {
			t.Errorf("endpoint saw path %q", ex.Path)
		}
		if hall := fl.hallOf(ex.Instance); hall != en.hall {
			t.Errorf("%s of %s was served in %s", en.id, en.hall, hall)
		}
	}
}

func TestRequestMayRunLongerThanItsHeaderMayTake(t *testing.T) {
	sp := shape{halls: 1, entries: 1, endpoints: 2, settings: map[string]map[string]any{"caller": {"headerTimeout": "300ms"}}}
	fl := newFleet(t, sp)
	for _, body := range []string{"", "x"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			rp := send(fl.entries[0].callers, ask{method: method, path: "/tally?workMs=1200", body: body})
			wantOutcome(t, rp, "answered")
		}
	}
}
