package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Guards against pending jobs that are not counted since their queue was moved to another pool, or renamed, after they were accepted.
func TestJobsOfAMovedQueueStayPending(t *testing.T) {
	const waiting = 3
	format := &changingFormat{queues: []job.Queue{testQueue}, pools: []job.Pool{{ID: "pool"}, {ID: "other"}}}
	cl := newCluster(t, time.Hour)
	cl.format = format
	nodes := []*testNode{cl.start("one"), cl.start("two")}
	cl.waitOwner(nodes...)
	for at := range waiting {
		sp := testSpec(job.ID(fmt.Sprintf("j%d", at)))
		sp.Steps[0].Size.CPUMillis = 5000
		if result, _ := nodes[0].Submit(t.Context(), sp); result != Accepted {
			t.Fatalf("result %d", result)
		}
	}
	counted := func(qu job.Queue) {
		t.Helper()
		for _, nd := range nodes {
			cl.eventually(fmt.Sprintf("%s counts the pending jobs of %s in %s", nd.opts.Name, qu.ID, qu.Pool), func() bool {
				count, err := nd.Pending(t.Context(), &qu)
				return err == nil && count == waiting
			})
		}
	}
	counted(testQueue)
	moved, renamed, back := testQueue, testQueue, testQueue
	moved.Pool = "other"
	renamed.ID, renamed.Pool = "renamed", "other"
	back.ID = "renamed"
	for _, qu := range []job.Queue{moved, renamed, back} {
		format.configure(cl, qu, nodes...)
		counted(qu)
		nodes = append(nodes, cl.start("new of "+string(qu.ID)+string(qu.Pool)))
		counted(qu)
	}
}
