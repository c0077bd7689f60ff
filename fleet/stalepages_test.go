package fleet

import (
	"context"
	"errors"
	"testing"
	"time"
)

// pagedStore answers reads of a table with pages as of different versions, and feeds with all changes after a version.
type pagedStore struct {
	Store
	pages   []Page
	changes []Row
	reads   int
	after   int64
}

func (ps *pagedStore) Read(context.Context, Query) (Page, error) {
	pg := ps.pages[ps.reads%len(ps.pages)]
	ps.reads++
	return pg, nil
}

func (ps *pagedStore) Feed(_ context.Context, _ string, after int64, _ time.Duration) (Page, error) {
	ps.after = after
	pg := Page{Version: 40}
	for _, rw := range ps.changes {
		if rw.Version > after {
			pg.Rows = append(pg.Rows, rw)
		}
	}
	return pg, nil
}

// TestStalePageLosesNoChange loads a table of two pages, the second of which is older than the first. A row of it that changed in
// between must arrive with the next feed call, and a row that is newer than the page must not be taken for deleted.
func TestStalePageLosesNoChange(t *testing.T) {
	row := func(key, value string, version int64) Row {
		return Row{Table: "registry", Key: key, Value: []byte(value), Version: version}
	}
	store := &pagedStore{
		pages:   []Page{{Rows: []Row{row("a", "1", 3)}, More: true, Version: 30}, {Rows: []Row{row("b", "old", 4)}, Version: 20}},
		changes: []Row{row("b", "new", 25), row("c", "1", 28)},
	}
	fl := New(Options{Store: store, Format: testFormat{}})
	seen := map[string]string{}
	wt := newTableWatch(fl, "registry", fixedInterval(0), 0, func(rows []Row, _ time.Time) {
		for _, rw := range rows {
			seen[rw.Key] = string(rw.Value)
			if rw.Deleted {
				seen[rw.Key] = "deleted"
			}
		}
	})
	wt.merge([]Row{row("c", "1", 28), row("d", "1", 5)}, time.Now())
	if err := wt.load(t.Context()); err != nil {
		t.Fatal(err)
	}
	if seen["c"] != "1" || seen["d"] != "deleted" {
		t.Errorf("after the load: %v", seen)
	}
	if err := wt.fetchChanges(t.Context()); err != nil {
		t.Fatal(err)
	}
	if store.after != 20 || seen["b"] != "new" {
		t.Errorf("the feed continues after %d; rows: %v", store.after, seen)
	}
}

// TestOwnerReadsNothingOlderThanItsClaim checks that a new owner refuses a page from before its claim, which may lack a worker on
// which the former owner started tasks.
func TestOwnerReadsNothingOlderThanItsClaim(t *testing.T) {
	store := &pagedStore{pages: []Page{{Version: 20}, {Version: 30, Rows: []Row{{Table: tableUsed, Key: usedKey("w1"), Value: []byte(`{"id":"w1"}`), Version: 25}}}}}
	fl := New(Options{Store: store, Format: testFormat{}})
	if _, err := fl.readUsedWorkers(t.Context(), "pool", 30); !errors.Is(err, errStaleRead) {
		t.Errorf("a page as of version 20 for a claim of version 30: %v", err)
	}
	uw, err := fl.readUsedWorkers(t.Context(), "pool", 30)
	if err != nil || len(uw.stored) != 1 {
		t.Errorf("the next page: %v, %v", uw, err)
	}
}
