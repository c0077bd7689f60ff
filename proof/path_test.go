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
