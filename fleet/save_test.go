package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestEndedJobsAreArchivedPartByPart: a store that takes no transaction over several parts refused them all, and the table of open jobs grew.
func TestEndedJobsAreArchivedPartByPart(t *testing.T) {
	st := newSite(t, 5*time.Millisecond)
	one := st.start("one", func(sw *storeWay) { sw.onePart = true })
	st.owner(one)
	var ids []job.ID
	for at := range 8 {
		id := job.ID(fmt.Sprintf("a%d", at))
		if vd := st.submit(one, id); vd != Accepted {
			t.Fatalf("%s: %v", id, vd)
		}
		ids = append(ids, id)
	}
	for _, id := range ids {
		st.completed(one, id)
	}
	st.eventually("an empty table of open jobs", func() bool {
		for _, id := range ids {
			if pg := st.mm.read(Query{Table: jobTable("pool"), Part: partName(homePart(id)), From: string(id), Limit: 1}); len(pg.Rows) > 0 && pg.Rows[0].Key == string(id) {
				return false
			}
		}
		return true
	})
}
