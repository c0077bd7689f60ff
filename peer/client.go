package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/table"
	"github.com/rotisserie/eris"
)

const (
	// pushRows is the most rows that are pushed; more are left to Sync.
	pushRows  = 64
	idlePeers = 2
)

// errForgotten says that the peer knows nothing of the request.
var errForgotten = errors.New("peer knows nothing of the request")

// Client calls the other entry instances.
type Client struct {
	opts      Options
	snapshots Snapshots
	http      *http.Client
	mu        sync.Mutex
	clients   map[string]Peer
}

// NewClient returns a client that finds its peers in the snapshot's membership.
func NewClient(snapshots Snapshots, options ...Option) *Client {
	opts := build(options)
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: opts.Timeout}).DialContext
	}
	transport := &http.Transport{DialContext: opts.Dial, TLSClientConfig: opts.TLS, MaxIdleConnsPerHost: idlePeers, IdleConnTimeout: time.Minute}
	return &Client{opts: opts, snapshots: snapshots, http: &http.Client{Transport: keyed{opts.Keys, transport}}, clients: map[string]Peer{}}
}

// peers returns the addresses of the other entry instances by id.
func (cl *Client) peers() []table.Member {
	var others []table.Member
	for _, mb := range cl.snapshots.Snapshot().Entries() {
		if mb.ID != cl.opts.Entry && mb.Address != "" {
			others = append(others, mb)
		}
	}
	return others
}

// scheme returns how other entry instances are called.
func (cl *Client) scheme() string {
	if cl.opts.TLS != nil {
		return "https://"
	}
	return "http://"
}

func (cl *Client) at(address string) Peer {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.clients[address] == nil {
		cl.clients[address] = NewPeerProtobufClient(cl.scheme()+address, cl.http)
	}
	return cl.clients[address]
}

// ClaimStatus returns what the owner of a claim knows about its request. An error means that the owner is not listed or did not answer.
func (cl *Client) ClaimStatus(ctx context.Context, owner table.InstanceID, key caller.Key, nonce caller.Nonce) (caller.Result, error) {
	mb, ok := cl.snapshots.Snapshot().Members[owner]
	if !ok || mb.Address == "" {
		return caller.Result{}, eris.Errorf("entry instance %s is not listed", owner)
	}
	return cl.flight(ctx, mb, key, nonce)
}

func (cl *Client) flight(ctx context.Context, mb table.Member, key caller.Key, nonce caller.Nonce) (caller.Result, error) {
	ctx, cancel := cl.opts.withTimeout(ctx)
	defer cancel()
	rp, err := cl.at(mb.Address).Flight(ctx, &FlightRequest{Key: string(key), Nonce: string(nonce)})
	if err != nil {
		return caller.Result{}, eris.Wrapf(err, "ask %s", mb.ID)
	}
	switch rp.State {
	case FlightState_FLIGHT_ANSWERED:
		return caller.Result{Outcome: endpoint.OutcomeAnswered, Answer: answerIn(rp.Answer)}, nil
	case FlightState_FLIGHT_RELEASED:
		return caller.Result{Outcome: endpoint.OutcomeNotRun}, nil
	case FlightState_FLIGHT_PENDING:
		return caller.PendingResult(), nil
	}
	return caller.Result{}, errForgotten
}

// Collect asks all others for a kept answer; a pending one is the word if none has it.
func (cl *Client) Collect(ctx context.Context, key caller.Key) (caller.Result, error) {
	others := cl.peers()
	words := make(chan caller.Result, len(others))
	for _, mb := range others {
		go func() {
			// A peer that cannot be asked is one that has no answer.
			word, _ := cl.flight(ctx, mb, key, "")
			words <- word
		}()
	}
	best, found := caller.Result{}, false
	for range others {
		word := <-words
		if word.Answer != nil {
			return word, nil
		}
		if word.Pending {
			best, found = word, true
		}
	}
	if !found {
		return best, errForgotten
	}
	return best, nil
}

// Push hands rows that were just read from the platform or committed to all others, without waiting; leases can wait for the next poll.
func (cl *Client) Push(ctx context.Context, rows []table.Row) {
	rows = slices.DeleteFunc(slices.Clone(rows), func(rw table.Row) bool { return rw.Table == table.TableLease })
	if len(rows) == 0 || len(rows) > pushRows {
		return
	}
	rq := &PushRequest{Entry: string(cl.opts.Entry), Rows: rowsOut(rows)}
	for _, mb := range cl.peers() {
		go func() {
			ctx, cancel := cl.opts.withTimeout(ctx)
			defer cancel()
			// A lost push costs time until the next poll or sync.
			_, _ = cl.at(mb.Address).Push(ctx, rq)
		}()
	}
}

// Run compares snapshots with one random peer at each interval until the context ends.
func (cl *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(cl.opts.SyncInterval)
	defer ticker.Stop()
	for {
		if others := cl.peers(); len(others) > 0 {
			cl.sync(ctx, others[rand.IntN(len(others))].Address)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sync takes what one peer has and this entry instance lacks.
func (cl *Client) sync(ctx context.Context, address string) {
	ctx, cancel := cl.opts.withTimeout(ctx)
	defer cancel()
	sn := cl.snapshots.Snapshot()
	rp, err := cl.at(address).Sync(ctx, &SyncRequest{Entry: string(cl.opts.Entry), Version: uint64(sn.Version), Digest: sn.Digest()})
	if err != nil || rp.Digest == sn.Digest() {
		return
	}
	cl.snapshots.Merge(rowsIn(rp.Rows), table.Version(rp.Version))
}

// Start takes the snapshots of all seeds that answer, so that the newest rows of any are known, and reports whether one did.
func (cl *Client) Start(ctx context.Context) bool {
	var found atomic.Bool
	var wg sync.WaitGroup
	for _, address := range cl.opts.Seeds {
		wg.Go(func() {
			if cl.startFrom(ctx, address) {
				found.Store(true)
			}
		})
	}
	wg.Wait()
	return found.Load()
}

func (cl *Client) startFrom(ctx context.Context, address string) bool {
	ctx, cancel := cl.opts.withTimeout(ctx)
	defer cancel()
	rp, err := cl.at(address).Sync(ctx, &SyncRequest{Entry: string(cl.opts.Entry), All: true})
	if err != nil || len(rp.Rows) == 0 {
		return false
	}
	cl.snapshots.SeedMembers(membersIn(rp.Members))
	cl.snapshots.Merge(rowsIn(rp.Rows), table.Version(rp.Version))
	return true
}

// Leaving asks every entry instance listed what it has for an instance that leaves, this one among them.
func (cl *Client) Leaving(ctx context.Context, entries []table.Member, pn table.Pin) []operator.Ack {
	acks := make([]operator.Ack, len(entries))
	var wg sync.WaitGroup
	for ix, mb := range entries {
		wg.Go(func() { acks[ix] = cl.leaving(ctx, mb, pn) })
	}
	wg.Wait()
	return acks
}

func (cl *Client) leaving(ctx context.Context, mb table.Member, pn table.Pin) operator.Ack {
	ctx, cancel := cl.opts.withTimeout(ctx)
	defer cancel()
	rp, err := cl.at(mb.Address).Leaving(ctx, &LeavingRequest{Instance: string(pn.Instance), Epoch: uint64(pn.Epoch)})
	if err != nil {
		return operator.Ack{Entry: mb.ID}
	}
	return operator.Ack{Entry: mb.ID, Reachable: true, Seen: rp.Seen, InFlight: int(rp.InFlight), Queued: int(rp.Queued)}
}

// InForce asks every entry instance listed which configuration it runs, this one among them.
func (cl *Client) InForce(ctx context.Context, entries []table.Member) []operator.ActiveVersion {
	versions := make([]operator.ActiveVersion, len(entries))
	var wg sync.WaitGroup
	for ix, mb := range entries {
		wg.Go(func() { versions[ix] = cl.inForce(ctx, mb) })
	}
	wg.Wait()
	return versions
}

func (cl *Client) inForce(ctx context.Context, mb table.Member) operator.ActiveVersion {
	ctx, cancel := cl.opts.withTimeout(ctx)
	defer cancel()
	rp, err := cl.at(mb.Address).InForce(ctx, &InForceRequest{})
	if err != nil {
		return operator.ActiveVersion{Entry: mb.ID}
	}
	return operator.ActiveVersion{Entry: mb.ID, Version: table.Version(rp.Version), Reachable: true}
}
