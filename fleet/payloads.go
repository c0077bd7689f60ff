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
	// payloadCacheBytes bounds the size of the payload cache. It holds about 1,700 payloads of 2.4 KB, the jobs of several
	// seconds at one instance.
	payloadCacheBytes = 4 << 20
	// payloadFetchTimeout bounds a request to the instance that accepted the job. After that the payload is read from the
	// store, which also has it when the instance is gone.
	payloadFetchTimeout = 300 * time.Millisecond
)

// payloadCache caches the payloads of jobs that were accepted here or whose tasks are started here for an owner. A payload has
// up to 4 KB and is sent to a worker with each task of a job, 13 on average. If an owner received payloads with the jobs, read
// them from its feed and sent them to peers with each task, they would use most of a narrow link. Payloads therefore have a
// table of their own, and an instance that starts tasks requests a payload once, from the instance that accepted the job or
// else from the store.
type payloadCache struct {
	mu    sync.Mutex // guards the fields below
	texts map[job.ID]string
	order []job.ID
	bytes int
	// fetches holds the requests in flight.
	fetches map[job.ID]*payloadFetch
}

// payloadFetch is a request for a payload. Several orders may wait for it.
type payloadFetch struct {
	done  chan struct{}
	text  string
	known bool
}

func newPayloadCache() *payloadCache {
	return &payloadCache{texts: map[job.ID]string{}, fetches: map[job.ID]*payloadFetch{}}
}

// put adds a payload and evicts the oldest ones while the cache is too large.
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

// startFetch returns the request for a payload, and whether the caller has to carry it out.
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

// finishFetch completes a request.
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

// payload returns a job's payload from the cache, the instance at the address or the store. It reports false if none of them
// has it.
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

// payload requests the payload of a job from the peer that accepted it.
func (pr *peers) payload(ctx context.Context, address string, id job.ID) (string, bool) {
	if address == pr.fl.opts.Address || pr.backingOff(address) {
		// An earlier process of this instance accepted the job, or calls to the peer are backing off.
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

// Payload returns the payload of a job that this instance accepted.
func (sv cellsServer) Payload(_ context.Context, rq *peer.PayloadRequest) (*peer.PayloadResponse, error) {
	text, known := sv.fl.payloads.get(job.ID(rq.Job))
	return &peer.PayloadResponse{Known: known, Payload: text}, nil
}

// attachPayload adds the payload to a start order if it is missing, and passes the order to send. It calls absent instead if
// the payload cannot be found.
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
