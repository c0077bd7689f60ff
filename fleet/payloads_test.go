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
type payloadLog struct {
	*fakeWorkers
	mu   sync.Mutex
	seen map[job.Task]string
}

func (pl *payloadLog) Order(ctx context.Context, od cell.Order) cell.Ordered {
	if st, ok := od.(cell.Start); ok {
		pl.mu.Lock()
		pl.seen[st.Task] = st.Payload
		pl.mu.Unlock()
	}
	return pl.fakeWorkers.Order(ctx, od)
}

// TestPayloadLiesApartFromItsJob: what owners read and are told of a job holds no payload, and its tasks are started with it all the same,
// also when the instance that accepted it is gone.
func TestPayloadLiesApartFromItsJob(t *testing.T) {
	st := newSite(t, 30*time.Millisecond)
	log := &payloadLog{fakeWorkers: st.workers, seen: map[job.Task]string{}}
	st.workersAt = func(string) Workers { return log }
	one, two := st.start("one"), st.start("two")
	owner := st.owner(one, two)
	other := one
	if owner == one {
		other = two
	}
	st.eventually("all read the new layout", func() bool { return one.apart.Load() && two.apart.Load() && other.Ready() })
	for at, gone := range []bool{false, true} {
		sp := spec(job.ID(fmt.Sprintf("%016x", at)))
		sp.Payload = fmt.Sprintf("payload %d", at)
		if gone {
			// Its instance remembers nothing, as one that was started anew.
			other.payloads = newPayloads()
			sp.FirstDue, sp.Repeats = time.Now().Add(500*time.Millisecond), 1
		}
		if vd, _ := other.Submit(t.Context(), sp); vd != Accepted {
			t.Fatalf("verdict %d", vd)
		}
		if gone {
			other.payloads = newPayloads()
		}
		st.completed(owner, sp.ID)
		st.once(sp.ID)
		log.mu.Lock()
		for tk, text := range log.seen {
			if tk.Job == sp.ID && text != sp.Payload {
				t.Errorf("%v was started with %q", tk, text)
			}
		}
		log.mu.Unlock()
	}
	st.mm.mu.Lock()
	defer st.mm.mu.Unlock()
	for at, rw := range st.mm.rows {
		if strings.HasPrefix(at.Table, tableJob) && bytes.Contains(rw.Value, []byte("payload 0")) {
			t.Error("the job's row holds its payload")
		}
	}
}

// TestPayloadStaysWithItsJobForOlderInstances: an instance that reads only the former layout would start its tasks without it.
func TestPayloadStaysWithItsJobForOlderInstances(t *testing.T) {
	st := newSite(t, time.Hour)
	fl := st.start("one").Fleet
	fl.updateLayout(map[string]node{"one": {Layout: layoutSeparatePayloads}, "old": {}})
	sp := spec("a")
	sp.Payload = "text"
	if kept := fl.kept(sp); kept.Payload != "text" || kept.Acceptor != "" {
		t.Errorf("kept as %+v beside an older instance", kept)
	}
	fl.updateLayout(map[string]node{"one": {Layout: layoutSeparatePayloads}})
	if kept := fl.kept(sp); kept.Payload != "" || kept.Acceptor == "" || sp.Payload != "text" {
		t.Errorf("kept as %+v", kept)
	}
}

// TestPayloadsAreBounded: the oldest ones are forgotten.
func TestPayloadsAreBounded(t *testing.T) {
	ps := newPayloads()
	text := strings.Repeat("x", job.MaxPayloadBytes)
	const many = 2 * payloadBytes / job.MaxPayloadBytes
	for at := range many {
		ps.put(job.ID(fmt.Sprint(at)), text)
	}
	if ps.bytes > payloadBytes || len(ps.texts) != len(ps.order) {
		t.Errorf("%d bytes, %d of %d payloads in order", ps.bytes, len(ps.order), len(ps.texts))
	}
	if _, known := ps.get(job.ID(fmt.Sprint(many - 1))); !known {
		t.Error("the newest is forgotten")
	}
}

// TestMorePeersShareStartsThatQueue: whatever makes them queue, and fewer once they do not.
func TestMorePeersShareStartsThatQueue(t *testing.T) {
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
func TestQueueThatIsFullIsRefusedEverywhere(t *testing.T) {
	st := newSite(t, time.Hour)
	nd := st.start("one")
	st.owner(nd)
	if _, err := (cellsServer{nd.Fleet}).Loads(t.Context(), &peer.LoadsRequest{Full: []*peer.FullQueue{{Queue: "q", ComeBackMillis: 4000}}}); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if got := nd.full.comeBack(now, "other"); got != 0 {
		t.Errorf("another queue: %v", got)
	}
	if got := nd.full.comeBack(now.Add(2*fullFor), "q"); got != 0 {
		t.Errorf("%v by an old word", got)
	}
	if vd, wait := nd.Submit(t.Context(), spec("a")); vd != Refused || wait != 4*time.Second {
		t.Errorf("verdict %d, come back after %v", vd, wait)
	}
	for at := range nd.way.mm.rows {
		if at.Table == tableHome {
			t.Error("the refused job is kept")
		}
	}
}
