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

// payloadLog notes with which payload tasks are started.
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

// TestPayloadLiesApartFromItsJob: what owners read and are told of a job holds no payload, and its tasks are started with it all the same,
// also when the instance that accepted it is gone.
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
	cl.eventually("all read the new layout", func() bool { return one.separatePayloads.Load() && two.separatePayloads.Load() && other.Ready() })
	for i, gone := range []bool{false, true} {
		sp := testSpec(job.ID(fmt.Sprintf("%016x", i)))
		sp.Payload = fmt.Sprintf("payload %d", i)
		if gone {
			// Its instance remembers nothing, as one that was started anew.
			other.payloads = newPayloadCache()
			sp.FirstDue, sp.Repeats = time.Now().Add(500*time.Millisecond), 1
		}
		if result, _ := other.Submit(t.Context(), sp); result != Accepted {
			t.Fatalf("verdict %d", result)
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
	cl.mm.mu.Lock()
	defer cl.mm.mu.Unlock()
	for at, rw := range cl.mm.rows {
		if strings.HasPrefix(at.Table, tableJob) && bytes.Contains(rw.Value, []byte("payload 0")) {
			t.Error("the job's row holds its payload")
		}
	}
}

// TestPayloadStaysWithItsJobForOlderInstances: an instance that reads only the former layout would start its tasks without it.
func TestPayloadStaysInJobRowForOlderInstances(t *testing.T) {
	cl := newCluster(t, time.Hour)
	fl := cl.start("one").Fleet
	fl.updateLayout(map[string]node{"one": {Layout: layoutSeparatePayloads}, "old": {}})
	sp := testSpec("a")
	sp.Payload = "text"
	if kept := fl.specForRow(sp); kept.Payload != "text" || kept.Acceptor != "" {
		t.Errorf("kept as %+v beside an older instance", kept)
	}
	fl.updateLayout(map[string]node{"one": {Layout: layoutSeparatePayloads}})
	if kept := fl.specForRow(sp); kept.Payload != "" || kept.Acceptor == "" || sp.Payload != "text" {
		t.Errorf("kept as %+v", kept)
	}
}

// TestPayloadsAreBounded: the oldest ones are forgotten.
func TestPayloadCacheIsBounded(t *testing.T) {
	pc := newPayloadCache()
	text := strings.Repeat("x", job.MaxPayloadBytes)
	const many = 2 * payloadCacheBytes / job.MaxPayloadBytes
	for i := range many {
		pc.put(job.ID(fmt.Sprint(i)), text)
	}
	if pc.bytes > payloadCacheBytes || len(pc.texts) != len(pc.order) {
		t.Errorf("%d bytes, %d of %d payloads in order", pc.bytes, len(pc.order), len(pc.texts))
	}
	if _, known := pc.get(job.ID(fmt.Sprint(many - 1))); !known {
		t.Error("the newest is forgotten")
	}
}

// TestMorePeersShareStartsThatQueue: whatever makes them queue, and fewer once they do not.
func TestSlowStartsUseMorePeers(t *testing.T) {
	breadth := 1.0
	for range 3 {
		breadth = nextScale(breadth, 2*slowStart)
	}
	if breadth < 3 {
		t.Errorf("%.1f times as many peers after three slow rounds", breadth)
	}
	if same := nextScale(breadth, (slowStart+fastStart)/2); same != breadth {
		t.Errorf("from %.1f to %.1f without a reason", breadth, same)
	}
	for range 200 {
		breadth = nextScale(breadth, 0)
	}
	if breadth != 1 {
		t.Errorf("%.1f times as many peers after the queue is gone", breadth)
	}
}

// TestQueueThatIsFullIsRefusedEverywhere: each instance refuses its jobs at once, with the time that it was told, until the word is old.
func TestFullQueueIsRefusedByAllInstances(t *testing.T) {
	cl := newCluster(t, time.Hour)
	nd := cl.start("one")
	cl.waitOwner(nd)
	if _, err := (cellsServer{nd.Fleet}).Loads(t.Context(), &peer.LoadsRequest{Full: []*peer.FullQueue{{Queue: "q", ComeBackMillis: 4000}}}); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if got := nd.fullQueues.retryAfter(now, "other"); got != 0 {
		t.Errorf("another queue: %v", got)
	}
	if got := nd.fullQueues.retryAfter(now.Add(2*fullQueueTTL), "q"); got != 0 {
		t.Errorf("%v by an old word", got)
	}
	if result, wait := nd.Submit(t.Context(), testSpec("a")); result != Refused || wait != 4*time.Second {
		t.Errorf("verdict %d, come back after %v", result, wait)
	}
	for at := range nd.faultyStore.mem.rows {
		if at.Table == tableHome {
			t.Error("the refused job is kept")
		}
	}
}
