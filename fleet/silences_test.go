package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
)

// TestRecordOfASilentWorkerIsStoredAndRemoved checks that a change of a worker's record alone is a change of the workers in use, and that an equal record is
// none.
func TestRecordOfASilentWorkerIsStoredAndRemoved(t *testing.T) {
	silent := func(held ...job.ID) []cell.WorkerRef {
		return []cell.WorkerRef{{ID: "w", Address: "w", Silence: &cell.Silence{After: 7, Remaining: time.Second, HeldKnown: true, Held: held}}}
	}
	plain := []cell.WorkerRef{{ID: "w", Address: "w"}}
	uw := newUsedWorkers("pool")
	for at, tc := range []struct {
		list []cell.WorkerRef
		want int
	}{{plain, 1}, {silent("a"), 1}, {silent("a"), 0}, {silent("a", "b"), 1}, {plain, 1}, {plain, 0}} {
		uc := uw.diff(tc.list, 0)
		if len(uc.put) != tc.want {
			t.Errorf("change %d writes %d rows, want %d", at, len(uc.put), tc.want)
		}
		var tx Tx
		if _, err := uw.addTo(&tx, 7, uc); err != nil {
			t.Fatal(err)
		}
		uw.apply(uc, usedHead{}, 1)
		for _, rw := range tx.Write {
			if err := uw.load(rw); err != nil {
				t.Fatal(err)
			}
		}
		if !uw.stored["w"].Equal(tc.list[0]) {
			t.Errorf("change %d reads as %+v", at, uw.stored["w"])
		}
	}
}

// TestRecordsThatAnOwnerDidNotKnowAreNotTrusted checks that records of silent workers are dropped once an owner of an earlier version has had the cell,
// which does not write since when owners know them, and that later owners go on to drop those.
func TestRecordsThatAnOwnerDidNotKnowAreNotTrusted(t *testing.T) {
	var row ownerRow
	claim := func(version int64, knows bool) {
		next := ownerRow{Holder: "one", version: version}
		if knows {
			next.SilencesSince = row.nextSilencesSince()
		}
		row = next
	}
	// trusted returns whether the present owner trusts a record of a worker that an owner had used itself, and one of a worker that it never reached.
	trusted := func(by job.Epoch) string {
		refs := trustedSilences([]cell.WorkerRef{{ID: "a", Silence: &cell.Silence{After: by}}, {ID: "b", Silence: &cell.Silence{After: by - 1}}}, row.SilencesSince)
		return fmt.Sprint(refs[0].Silence != nil, refs[1].Silence != nil)
	}
	claim(5, true)
	claim(8, true)
	if got := trusted(5); got != "true true" {
		t.Errorf("records of the predecessor are trusted: %s", got)
	}
	claim(12, false)
	claim(15, true)
	claim(17, true)
	if got := trusted(8) + trusted(5); got != "false falsefalse false" {
		t.Errorf("records from before an owner that did not know them are trusted: %s", got)
	}
	if got := trusted(15); got != "true true" {
		t.Errorf("records from after it are trusted: %s", got)
	}
}

// TestSeenClaimsAreRemembered checks that each claim of a cell is remembered with the time at which it was first seen, that a release or a renewal is none,
// and that their number is bounded.
func TestSeenClaimsAreRemembered(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	mb := newMembers(func() time.Time { return now }, nil)
	for _, or := range []ownerRow{{Holder: "one", version: 5}, {Holder: "one", Epoch: 5, version: 6}, {version: 7}, {Holder: "two", version: 8}} {
		mb.setOwner("pool", or)
		now = now.Add(time.Second)
	}
	want := fmt.Sprint([]cell.Claim{{Epoch: 5, SeenAt: now.Add(-4 * time.Second)}, {Epoch: 8, SeenAt: now.Add(-time.Second)}})
	if got := fmt.Sprint(mb.seenClaims("pool")); got != want {
		t.Errorf("claims %s, want %s", got, want)
	}
	for version := int64(9); version < 100; version++ {
		mb.setOwner("pool", ownerRow{Holder: "one", version: version})
	}
	claims := mb.seenClaims("pool")
	if len(claims) != maxSeenClaims || claims[len(claims)-1].Epoch != 99 {
		t.Errorf("%d claims, the last %+v", len(claims), claims[len(claims)-1])
	}
}
