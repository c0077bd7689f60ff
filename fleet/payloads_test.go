package fleet

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
)

// payloadRecorder records the payloads that tasks are started with.
type payloadRecorder struct {
	*fakeWorkers
	mu       sync.Mutex
	payloads map[job.Task]string
}

func (pr *payloadRecorder) Send(ctx context.Context, od cell.Order) cell.OrderResult {
	if st, ok := od.(cell.Start); ok {
		pr.mu.Lock()
		pr.payloads[st.Task] = st.Payload
		pr.mu.Unlock()
	}
	return pr.fakeWorkers.Send(ctx, od)
}

// TestPayloadIsStoredSeparately checks that the job row which owners read has no payload, and that the job's tasks are started
// with the payload even if the instance that accepted the job is gone.
func TestPayloadIsStoredSeparately(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	log := &payloadRecorder{fakeWorkers: cl.workers, payloads: map[job.Task]string{}}
	cl.workersFor = func(string) Workers { return log }
	one, two := cl.start("one"), cl.start("two")
	owner := cl.waitOwner(one, two)
	other := one
	if owner == one {
		other = two
	}
	cl.eventually("all nodes agree on the layout", func() bool { return one.separatePayloads.Load() && two.separatePayloads.Load() && other.Ready() })
	for i, gone := range []bool{false, true} {
		sp := testSpec(job.ID(fmt.Sprintf("%016x", i)))
		sp.Payload = fmt.Sprintf("payload %d", i)
		if gone {
			// The instance has an empty cache, like one that was restarted.
			other.payloads = newPayloadCache()
			sp.FirstDue, sp.Repeats = time.Now().Add(500*time.Millisecond), 1
		}
		if result, _ := other.Submit(t.Context(), sp); result != Accepted {
			t.Fatalf("submit: result %d", result)
		}
		if gone {
			other.payloads = newPayloadCache()
		}
		cl.waitCompleted(owner, sp.ID)
		cl.checkRanOnce(sp.ID)
		log.mu.Lock()
		for tk, text := range log.payloads {
			if tk.Job == sp.ID && text != sp.Payload {
				t.Errorf("%v was started with %q", tk, text)
			}
		}
		log.mu.Unlock()
	}
	cl.mem.mu.Lock()
	defer cl.mem.mu.Unlock()
	for at, rw := range cl.mem.rows {
		if strings.HasPrefix(at.Table, tableJob) && bytes.Contains(rw.Value, []byte("payload 0")) {
			t.Error("the job's row contains its payload")
		}
	}
}

// TestPayloadStaysInJobRowForOlderInstances checks that the payload stays in the job's row while an instance only reads the
// older layout. That instance would start the job's tasks without the payload.
func TestPayloadStaysInJobRowForOlderInstances(t *testing.T) {
	cl := newCluster(t, time.Hour)
	fl := cl.start("one").Fleet
	fl.updateLayout(map[string]node{"one": {Layout: layoutSeparatePayloads}, "old": {}})
	sp := testSpec("a")
	sp.Payload = "text"
	if kept := fl.specForRow(sp); kept.Payload != "text" || kept.Acceptor != "" {
		t.Errorf("row with an older instance in the fleet: %+v", kept)
	}
	fl.updateLayout(map[string]node{"one": {Layout: layoutSeparatePayloads}})
	if kept := fl.specForRow(sp); kept.Payload != "" || kept.Acceptor == "" || sp.Payload != "text" {
		t.Errorf("row: %+v", kept)
	}
}

// TestPayloadCacheIsBounded checks that the payload cache evicts the oldest payloads.
func TestPayloadCacheIsBounded(t *testing.T) {
	pc := newPayloadCache()
	text := strings.Repeat("x", job.MaxPayloadBytes)
	const many = 2 * payloadCacheBytes / job.MaxPayloadBytes
	for i := range many {
		pc.put(job.ID(fmt.Sprint(i)), text)
	}
	if pc.bytes > payloadCacheBytes || len(pc.texts) != len(pc.order) {
		t.Errorf("%d bytes, %d payloads in the eviction order, %d in the cache", pc.bytes, len(pc.order), len(pc.texts))
	}
	if _, known := pc.get(job.ID(fmt.Sprint(many - 1))); !known {
		t.Error("the newest payload was evicted")
	}
}

// TestSlowStartsUseMorePeers checks that more peers share the starts while starts are slow, and fewer once they are fast.
func TestSlowStartsUseMorePeers(t *testing.T) {
	breadth := 1.0
	for range 3 {
		breadth = nextScale(breadth, 2*slowStart)
	}
	if breadth < 3 {
		t.Errorf("breadth %.1f after three slow rounds", breadth)
	}
	if same := nextScale(breadth, (slowStart+fastStart)/2); same != breadth {
		t.Errorf("breadth went from %.1f to %.1f although starts are neither slow nor fast", breadth, same)
	}
	for range 200 {
		breadth = nextScale(breadth, 0)
	}
	if breadth != 1 {
		t.Errorf("breadth %.1f after starts are fast again", breadth)
	}
}

// TestFullQueueIsRefusedByAllInstances checks that an instance refuses the jobs of a full queue at once, with the reported time
// after which to retry, until the report expires.
func TestFullQueueIsRefusedByAllInstances(t *testing.T) {
	cl := newCluster(t, time.Hour)
	nd := cl.start("one")
	cl.waitOwner(nd)
	if _, err := (cellsServer{nd.Fleet}).Loads(t.Context(), &peer.LoadsRequest{Full: []*peer.FullQueue{{Queue: "q", ComeBackMillis: 4000}}}); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if got := nd.fullQueues.retryAfter(now, "other"); got != 0 {
		t.Errorf("retry delay of another queue: %v", got)
	}
	if got := nd.fullQueues.retryAfter(now.Add(2*fullQueueTTL), "q"); got != 0 {
		t.Errorf("retry delay from an expired report: %v", got)
	}
	if result, wait := nd.Submit(t.Context(), testSpec("a")); result != Refused || wait != 4*time.Second {
		t.Errorf("submit: result %d, retry after %v", result, wait)
	}
	for at := range nd.faultyStore.mem.rows {
		if at.Table == tableHome {
			t.Error("the refused job was stored")
		}
	}
}
