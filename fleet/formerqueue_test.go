package fleet

import (
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// changingFormat is testFormat with queues and pools that a test replaces.
type changingFormat struct {
	testFormat
	mu     sync.Mutex // guards the fields below
	queues []job.Queue
	pools  []job.Pool
}

func (cf *changingFormat) Configuration(rw Row) (*job.Configuration, error) {
	if rw.Key != "configuration" {
		return nil, nil
	}
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return &job.Configuration{Version: rw.Version, Queues: cf.queues, Pools: cf.pools}, nil
}

// configure writes a new configuration with a queue, and waits until the nodes have applied it.
func (cf *changingFormat) configure(cl *cluster, qu job.Queue, nodes ...*testNode) {
	cl.t.Helper()
	cf.mu.Lock()
	cf.queues = []job.Queue{qu}
	cf.mu.Unlock()
	cl.write(Row{Table: "operator", Key: "configuration", Value: []byte("{}")})
	for _, nd := range nodes {
		cl.eventually("the new configuration", func() bool {
			got := nd.Configuration().Queue(qu.ID)
			return got != nil && got.Pool == qu.Pool
		})
	}
}

// Guards against the next owner failing a job at its first failed attempt, since the job's queue has got another name.
func TestJobOfARenamedQueueKeepsItsAttemptsAcrossOwners(t *testing.T) {
	patient := testQueue
	patient.MaxAttempts = 4
	format := &changingFormat{queues: []job.Queue{patient}, pools: []job.Pool{{ID: "pool"}}}
	cl := newCluster(t, 300*time.Millisecond)
	cl.format = format
	cl.workers.fails = func(tk job.Task) bool { return cl.workers.starts[tk] < patient.MaxAttempts }
	one := cl.start("one")
	cl.waitOwner(one)
	if result := cl.submit(one, "a"); result != Accepted {
		t.Fatalf("result %d", result)
	}
	renamed := patient
	renamed.ID = "renamed"
	format.configure(cl, renamed, one)
	one.stop()
	<-one.done
	two := cl.start("two")
	cl.waitOwner(two)
	cl.waitCompleted(two, "a")
	for step := range 2 {
		if got := cl.workers.startCount(job.Task{Job: "a", Step: step}); got != patient.MaxAttempts {
			t.Errorf("step %d: %d starts, want %d", step, got, patient.MaxAttempts)
		}
	}
}
