package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
	"go.uber.org/zap"
)

const (
	// payloadBytes bounds the payloads that are remembered: some 1,700 jobs of 2.4 KB, those of several seconds at an instance.
	payloadCacheBytes = 4 << 20
	// payloadTimeout bounds asking an instance for one; then the store is asked, which is there when the instance is not.
	payloadFetchTimeout = 300 * time.Millisecond
)

// payloads remembers the payloads of jobs that were accepted here, or tasks of which are started here for an owner. A payload has up to
// 4 KB and goes to the worker with each of a job's tasks, 13 in the mean; an owner that was told of it with the job, read it from its feed and
// handed it to peers with each task would need most of a narrow link for it. So it lies in a table of its own, and whoever starts tasks asks
// the instance that accepted the job, once, or the store if that is gone.
type payloadCache struct {
	mu    sync.Mutex // guards what follows
	texts map[job.ID]string
	order []job.ID
	bytes int
	// asked holds the questions that are under way.
	fetches map[job.ID]*payloadFetch
}

// question asks for a payload; several orders may wait for its end.
type payloadFetch struct {
	done  chan struct{}
	text  string
	known bool
}

func newPayloadCache() *payloadCache {
	return &payloadCache{texts: map[job.ID]string{}, fetches: map[job.ID]*payloadFetch{}}
}

// put remembers a payload, and forgets the oldest ones where they are too many.
func (pc *payloadCache) put(id job.ID, text string) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if _, known := pc.texts[id]; known {
		return
	}
	pc.texts[id] = text
	pc.order = append(pc.order, id)
	pc.bytes += len(text)
	for pc.bytes > payloadCacheBytes {
		oldest := pc.order[0]
		pc.order = pc.order[1:]
		pc.bytes -= len(pc.texts[oldest])
		delete(pc.texts, oldest)
	}
}

func (pc *payloadCache) get(id job.ID) (string, bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	text, known := pc.texts[id]
	return text, known
}

// ask returns the question for a payload, and whether the caller is to put it.
func (pc *payloadCache) startFetch(id job.ID) (*payloadFetch, bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pf, started := pc.fetches[id]; started {
		return pf, false
	}
	pf := &payloadFetch{done: make(chan struct{})}
	pc.fetches[id] = pf
	return pf, true
}

// answer ends a question.
func (pc *payloadCache) finishFetch(id job.ID, pf *payloadFetch, text string, known bool) {
	if known {
		pc.put(id, text)
	}
	pc.mu.Lock()
	delete(pc.fetches, id)
	pc.mu.Unlock()
	pf.text, pf.known = text, known
	close(pf.done)
}

// payload returns a job's payload, asking the instance at the address, and then the store, if it is not known here; false if neither had it.
func (fl *Fleet) payload(ctx context.Context, id job.ID, address string) (string, bool) {
	if text, known := fl.payloads.get(id); known {
		return text, true
	}
	pf, first := fl.payloads.startFetch(id)
	if first {
		text, known := fl.peers.payload(ctx, address, id)
		if !known {
			text, known = fl.storedPayload(ctx, id)
		}
		fl.payloads.finishFetch(id, pf, text, known)
	}
	select {
	case <-pf.done:
	case <-ctx.Done():
		return "", false
	}
	return pf.text, pf.known
}

// storedPayload reads a payload from the store.
func (fl *Fleet) storedPayload(ctx context.Context, id job.ID) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, intakeReadTimeout)
	defer cancel()
	rw, exists, err := fl.readRow(ctx, Place{tablePayload, partName(homePart(id)), string(id)})
	if err != nil || !exists {
		fl.logJob(event.PayloadMissing, id, zap.Bool("storeAnswered", err == nil))
		return "", false
	}
	return string(rw.Value), true
}

// payload asks a peer for the payload of a job that it accepted.
func (pr *peers) payload(ctx context.Context, address string, id job.ID) (string, bool) {
	if address == pr.fl.opts.Address || pr.backingOff(address) {
		// It was accepted by an earlier process here, or its instance has just been silent.
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, payloadFetchTimeout)
	defer cancel()
	rp, err := pr.clientFor(address).Payload(ctx, &peer.PayloadRequest{Job: string(id)})
	if err != nil {
		pr.backOff(address)
		pr.fl.logPeerError("payload", string(id), err)
		return "", false
	}
	return rp.Payload, rp.Known
}

// Payload tells the payload of a job that was accepted here.
func (sv cellsServer) Payload(_ context.Context, rq *peer.PayloadRequest) (*peer.PayloadResponse, error) {
	text, known := sv.fl.payloads.get(job.ID(rq.Job))
	return &peer.PayloadResponse{Known: known, Payload: text}, nil
}

// complete gives an order what it came without, and hands it on; absent is called instead if that is not to be had.
func (fl *Fleet) attachPayload(ctx context.Context, od cell.Order, send func(cell.Order), absent func()) {
	st, ok := od.(cell.Start)
	if !ok || st.PayloadAt == "" {
		send(od)
		return
	}
	if text, known := fl.payloads.get(st.Task.Job); known {
		st.Payload = text
		send(st)
		return
	}
	go func() {
		text, known := fl.payload(ctx, st.Task.Job, st.PayloadAt)
		if !known {
			absent()
			return
		}
		st.Payload = text
		send(st)
	}()
}
