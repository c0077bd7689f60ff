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
	payloadBytes = 4 << 20
	// payloadTimeout bounds asking an instance for one; then the store is asked, which is there when the instance is not.
	payloadTimeout = 300 * time.Millisecond
)

// payloads remembers the payloads of jobs that were accepted here, or tasks of which are started here for an owner. A payload has up to
// 4 KB and goes to the worker with each of a job's tasks, 13 in the mean; an owner that was told of it with the job, read it from its feed and
// handed it to peers with each task would need most of a narrow link for it. So it lies in a table of its own, and whoever starts tasks asks
// the instance that accepted the job, once, or the store if that is gone.
type payloads struct {
	mu    sync.Mutex // guards what follows
	texts map[job.ID]string
	order []job.ID
	bytes int
	// asked holds the questions that are under way.
	asked map[job.ID]*question
}

// question asks for a payload; several orders may wait for its end.
type question struct {
	done  chan struct{}
	text  string
	known bool
}

func newPayloads() *payloads {
	return &payloads{texts: map[job.ID]string{}, asked: map[job.ID]*question{}}
}

// put remembers a payload, and forgets the oldest ones where they are too many.
func (ps *payloads) put(id job.ID, text string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if _, known := ps.texts[id]; known {
		return
	}
	ps.texts[id] = text
	ps.order = append(ps.order, id)
	ps.bytes += len(text)
	for ps.bytes > payloadBytes {
		oldest := ps.order[0]
		ps.order = ps.order[1:]
		ps.bytes -= len(ps.texts[oldest])
		delete(ps.texts, oldest)
	}
}

func (ps *payloads) get(id job.ID) (string, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	text, known := ps.texts[id]
	return text, known
}

// ask returns the question for a payload, and whether the caller is to put it.
func (ps *payloads) ask(id job.ID) (*question, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if qs, open := ps.asked[id]; open {
		return qs, false
	}
	qs := &question{done: make(chan struct{})}
	ps.asked[id] = qs
	return qs, true
}

// answer ends a question.
func (ps *payloads) answer(id job.ID, qs *question, text string, known bool) {
	if known {
		ps.put(id, text)
	}
	ps.mu.Lock()
	delete(ps.asked, id)
	ps.mu.Unlock()
	qs.text, qs.known = text, known
	close(qs.done)
}

// payload returns a job's payload, asking the instance at the address, and then the store, if it is not known here; false if neither had it.
func (fl *Fleet) payload(ctx context.Context, id job.ID, address string) (string, bool) {
	if text, known := fl.payloads.get(id); known {
		return text, true
	}
	qs, first := fl.payloads.ask(id)
	if first {
		text, known := fl.peers.payload(ctx, address, id)
		if !known {
			text, known = fl.storedPayload(ctx, id)
		}
		fl.payloads.answer(id, qs, text, known)
	}
	select {
	case <-qs.done:
	case <-ctx.Done():
		return "", false
	}
	return qs.text, qs.known
}

// storedPayload reads a payload from the store.
func (fl *Fleet) storedPayload(ctx context.Context, id job.ID) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, intakeTimeout)
	defer cancel()
	rw, there, err := fl.readRow(ctx, Place{tablePayload, partName(homePart(id)), string(id)})
	if err != nil || !there {
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
	ctx, cancel := context.WithTimeout(ctx, payloadTimeout)
	defer cancel()
	rp, err := pr.clientFor(address).Payload(ctx, &peer.PayloadRequest{Job: string(id)})
	if err != nil {
		pr.backOff(address)
		pr.fl.logPeer("payload", string(id), err)
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
func (fl *Fleet) complete(ctx context.Context, od cell.Order, send func(cell.Order), absent func()) {
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
