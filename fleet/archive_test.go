package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestEndedJobsAreArchivedPartByPart uses a store without transactions over several parts. It refused all removals of ended
// jobs, and the table of open jobs kept growing.
func TestEndedJobsAreArchivedPartByPart(t *testing.T) {
	cl := newCluster(t, 5*time.Millisecond)
	one := cl.start("one", func(fs *faultyStore) { fs.singlePartTx = true })
	cl.waitOwner(one)
	var ids []job.ID
	for i := range 8 {
		id := job.ID(fmt.Sprintf("a%d", i))
		if result := cl.submit(one, id); result != Accepted {
			t.Fatalf("%s: %v", id, result)
		}
		ids = append(ids, id)
	}
	for _, id := range ids {
		cl.waitCompleted(one, id)
	}
	cl.eventually("an empty table of open jobs", func() bool {
		for _, id := range ids {
			if pg := cl.mem.read(Query{Table: jobTable("pool"), Part: partName(homePart(id)), From: string(id), Limit: 1}); len(pg.Rows) > 0 && pg.Rows[0].Key == string(id) {
				return false
			}
		}
		return true
	})
}
