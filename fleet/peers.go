package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
	"github.com/aspenseam/aspenseam/tcp"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Timeouts and limits of calls to peers.
const (
	peerDialTimeout = 300 * time.Millisecond
	peerTimeout     = 500 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to a peer is kept.
	peerIdleTimeout = 20 * time.Second
	// peerIdleConnections is the number of unused connections kept per peer.
	peerIdleConnections = 4
	// maxPeerRequestBytes bounds the size of a request from a peer.
	maxPeerRequestBytes = 4 << 20
	// carryAttempts is the number of peers that are asked to carry out a store call.
	carryAttempts = 4
	// carryNowTimeout bounds a feed call that does not wait for changes, through one peer. A slow store takes some 300 ms.
	carryNowTimeout = 500 * time.Millisecond
	// carryBackoff is how long a peer that could not carry out a store call is not used.
	carryBackoff = time.Second
)

// peers makes calls to the other entry instances.
type peers struct {
	fl     *Fleet
	client *http.Client
	// paths holds the repeatable store calls in flight.
	paths        *storePaths
	mu           sync.Mutex // guards the fields below
	clients      map[string]peer.Cells
	backoffUntil map[string]time.Time
	rotation     int
}

func newPeers(fl *Fleet) *peers {
	options := []tcp.Option{tcp.DialTimeout(peerDialTimeout), tcp.MaxIdleConnections(peerIdleConnections), tcp.IdleTimeout(peerIdleTimeout)}
	if fl.opts.Traffic != nil {
		options = append(options, tcp.WithMeter(fl.opts.Traffic, PeerCall))
	}
	return &peers{
		fl:      fl,
		client:  tcp.NewClient(options...),
		paths:   newStorePaths(),
		clients: map[string]peer.Cells{}, backoffUntil: map[string]time.Time{},
	}
}

func (pr *peers) clientFor(address string) peer.Cells {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	cl, ok := pr.clients[address]
	if !ok {
		cl = peer.NewCellsProtobufClient("http://"+address, pr.client)
		pr.clients[address] = cl
	}
	return cl
}

// ownerClient returns the client of the peer that owns a cell, according to the rows known here.
func (pr *peers) ownerClient(name string) (peer.Cells, bool) {
	or := pr.fl.members.owner(name)
	nd, ok := pr.fl.members.node(or.Holder)
	if !ok || nd.Name == pr.fl.opts.Name || nd.Incarnation != or.Incarnation {
		return nil, false
	}
	return pr.clientFor(nd.Address), true
}

// offer sends accepted jobs to the owner of their cell.
func (pr *peers) offer(name string, specs [][]byte) {
	cl, ok := pr.ownerClient(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(pr.fl.background, peerTimeout)
	defer cancel()
	if _, err := cl.Offer(ctx, &peer.OfferRequest{Cell: name, Specs: specs}); err != nil {
		pr.fl.logPeerError("offer", name, err)
	}
}

func (pr *peers) jobState(ctx context.Context, name string, id job.ID) (jobStatus, bool) {
	cl, ok := pr.ownerClient(name)
	if !ok {
		return jobStatus{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rp, err := cl.JobState(ctx, &peer.JobStateRequest{Cell: name, Job: string(id)})
	if err != nil {
		pr.fl.logPeerError("jobState", name, err)
		return jobStatus{}, false
	}
	return jobStatus{job.State(rp.State), job.OrganisationID(rp.Organisation)}, rp.Owner && rp.Known
}

func (pr *peers) cancelJob(name string, id job.ID) {
	cl, ok := pr.ownerClient(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(pr.fl.background, peerTimeout)
	defer cancel()
	if _, err := cl.CancelJob(ctx, &peer.CancelJobRequest{Cell: name, Job: string(id)}); err != nil {
		pr.fl.logPeerError("cancelJob", name, err)
	}
}

func (pr *peers) pending(ctx context.Context, name string, queue job.QueueID) (int, bool) {
	cl, ok := pr.ownerClient(name)
	if !ok {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rp, err := cl.Pending(ctx, &peer.PendingRequest{Cell: name, Queue: string(queue)})
	if err != nil {
		pr.fl.logPeerError("pending", name, err)
		return 0, false
	}
	return int(rp.Pending), rp.Owner
}

// notifyReleased notifies all peers that a cell has no owner.
func (pr *peers) notifyReleased(rw Row) {
	for _, nd := range pr.fl.members.others(pr.fl.opts.Name) {
		go func() {
			ctx, cancel := context.WithTimeout(pr.fl.background, peerTimeout)
			defer cancel()
			if _, err := pr.clientFor(nd.Address).Released(ctx, &peer.ReleasedRequest{Cell: rw.Part, Version: rw.Version, Row: rw.Value}); err != nil {
				pr.fl.logPeerError("released", rw.Part, err)
			}
		}()
	}
}

// carrierAddresses returns the addresses of the peers to try. Each instance begins with another one, so that those that the store
// turns away together do not share one carrier, and goes on to the next after a failure.
func (pr *peers) carrierAddresses() []string {
	var addresses []string
	for _, nd := range pr.fl.members.others(pr.fl.opts.Name) {
		addresses = append(addresses, nd.Address)
	}
	if len(addresses) == 0 {
		for _, address := range pr.fl.opts.Seeds {
			if address != pr.fl.opts.Address {
				addresses = append(addresses, address)
			}
		}
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	now := pr.fl.opts.Now()
	var list []string
	first := int(xxhash.Sum64String(pr.fl.opts.Name) % uint64(max(1, len(addresses))))
	for i := range addresses {
		address := addresses[(i+first+pr.rotation)%len(addresses)]
		if now.After(pr.backoffUntil[address]) && len(list) < carryAttempts {
			list = append(list, address)
		}
	}
	return list
}

// carry makes a store call through a peer. It returns ErrRefused if no peer can have made the call. A repeatable call that a peer does
// not answer goes to the next one, of which nothing is known, so that it must not wait for changes there.
func (pr *peers) carry(ctx context.Context, call storeCall) (storeResult, error) {
	for _, address := range pr.carrierAddresses() {
		rp, err := pr.carryThrough(ctx, address, call)
		if err != nil && errors.Is(ctx.Err(), context.Canceled) {
			// The caller cancelled the call, which says nothing about the peer.
			return storeResult{}, ErrNoAnswer
		}
		if err != nil {
			pr.backOff(address)
			if call.repeatable() && ctx.Err() == nil {
				call.Wait = 0
				continue
			}
			// The peer may have made the call before it failed.
			return storeResult{}, ErrNoAnswer
		}
		var sr storeResult
		if len(rp.Answer) > 0 {
			if err := json.Unmarshal(rp.Answer, &sr); err != nil {
				return storeResult{}, ErrNoAnswer
			}
		}
		if rp.Outcome != carryRefused {
			return sr, carryError(rp.Outcome, sr)
		}
		pr.backOff(address)
	}
	return storeResult{}, ErrRefused
}

// carryThrough makes a store call through one peer.
func (pr *peers) carryThrough(ctx context.Context, address string, call storeCall) (*peer.CarryResponse, error) {
	raw, err := json.Marshal(call)
	if err != nil {
		return nil, err
	}
	if call.repeatable() {
		pathCtx, leave := pr.paths.join(ctx, address)
		defer leave()
		ctx = pathCtx
	}
	if call.Kind == callFeed && call.Wait == 0 {
		nowCtx, cancel := context.WithTimeout(ctx, carryNowTimeout)
		defer cancel()
		ctx = nowCtx
	}
	return pr.clientFor(address).Carry(ctx, &peer.CarryRequest{Call: raw})
}

// backingOff reports whether a peer is not used at present.
func (pr *peers) backingOff(address string) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.fl.opts.Now().Before(pr.backoffUntil[address])
}

// backOff stops using a peer for a while, and ends the repeatable store calls that it carries.
func (pr *peers) backOff(address string) {
	pr.mu.Lock()
	first := !pr.fl.opts.Now().Before(pr.backoffUntil[address])
	pr.backoffUntil[address] = pr.fl.opts.Now().Add(carryBackoff)
	if first {
		pr.rotation++
	}
	pr.mu.Unlock()
	if first {
		pr.paths.fail(address)
	}
}

// cellsServer serves the calls of other entry instances.
type cellsServer struct{ fl *Fleet }

// Handler returns the HTTP handler for calls of other entry instances.
func (fl *Fleet) Handler() http.Handler {
	twirp := peer.NewCellsServer(cellsServer{fl})
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		rq.Body = http.MaxBytesReader(wr, rq.Body, maxPeerRequestBytes)
		twirp.ServeHTTP(wr, rq)
	})
}

// Offer accepts jobs for a cell that is owned here.
func (sv cellsServer) Offer(_ context.Context, rq *peer.OfferRequest) (*peer.OfferResponse, error) {
	ow := sv.fl.ownerOf(rq.Cell)
	if ow == nil {
		return &peer.OfferResponse{}, nil
	}
	for _, raw := range rq.Specs {
		ow.addJob(raw)
	}
	return &peer.OfferResponse{Owner: true}, nil
}

// JobState returns the state of a job of a cell that is owned here.
func (sv cellsServer) JobState(_ context.Context, rq *peer.JobStateRequest) (*peer.JobStateResponse, error) {
	ow := sv.fl.ownerOf(rq.Cell)
	if ow == nil {
		return &peer.JobStateResponse{}, nil
	}
	js, known := ow.jobStatus(job.ID(rq.Job))
	return &peer.JobStateResponse{Owner: true, Known: known, State: string(js.state), Organisation: string(js.organisation)}, nil
}

// CancelJob stops a job of a cell that is owned here, after the cancellation has been stored.
func (sv cellsServer) CancelJob(_ context.Context, rq *peer.CancelJobRequest) (*peer.CancelJobResponse, error) {
	ow := sv.fl.ownerOf(rq.Cell)
	if ow == nil {
		return &peer.CancelJobResponse{}, nil
	}
	ow.post(func(cr *cell.Core, now time.Time) { cr.Cancel(now, job.ID(rq.Job)) })
	return &peer.CancelJobResponse{Owner: true, Known: true}, nil
}

// Pending counts the waiting jobs of a queue of a cell that is owned here.
func (sv cellsServer) Pending(_ context.Context, rq *peer.PendingRequest) (*peer.PendingResponse, error) {
	ow := sv.fl.ownerOf(rq.Cell)
	if ow == nil {
		return &peer.PendingResponse{}, nil
	}
	count, ok := ow.pending(job.QueueID(rq.Queue))
	return &peer.PendingResponse{Owner: ok, Pending: int64(count)}, nil
}

// Released applies the row of a cell that has no owner any more.
func (sv cellsServer) Released(_ context.Context, rq *peer.ReleasedRequest) (*peer.ReleasedResponse, error) {
	sv.fl.applyOwner(Row{Table: tableControl, Part: rq.Cell, Key: ownerKey, Value: rq.Row, Version: rq.Version})
	return &peer.ReleasedResponse{}, nil
}

// Carry makes a store call for a peer.
func (sv cellsServer) Carry(ctx context.Context, rq *peer.CarryRequest) (*peer.CarryResponse, error) {
	var call storeCall
	if err := json.Unmarshal(rq.Call, &call); err != nil {
		sv.fl.opts.Log.Emit(event.CarryRejected, zap.Error(err))
		return &peer.CarryResponse{Outcome: carryRefused}, nil
	}
	if sv.fl.store.turnedAway() {
		// The caller asks another peer sooner than this instance would know that the store does not answer it.
		return &peer.CarryResponse{Outcome: carryRefused}, nil
	}
	sr, err := perform(ctx, sv.fl.opts.Store, call)
	outcome := carryOutcome(err)
	if outcome == carryConflict {
		sr.Conflict = asConflict(err)
	}
	raw, err := json.Marshal(sr)
	if err != nil {
		return &peer.CarryResponse{Outcome: carryNoAnswer}, nil
	}
	return &peer.CarryResponse{Outcome: outcome, Answer: raw}, nil
}
