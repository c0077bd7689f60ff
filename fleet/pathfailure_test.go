package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/peer"
)

// urgentStart is the users' target for the start of urgent work. A change that is written later than the failure of a path has to be
// known within it.
const urgentStart = 1100 * time.Millisecond

// cutStore is a store that one instance cannot reach from a moment on: calls that are in flight then are not answered either.
type cutStore struct {
	Store
	cut chan struct{}
}

// answered returns the result of a call, or ErrNoAnswer if the store is cut off before.
func answered[T any](ctx context.Context, cs cutStore, call func() (T, error)) (T, error) {
	type outcome struct {
		result T
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		result, err := call()
		done <- outcome{result, err}
	}()
	var none T
	select {
	case <-cs.cut:
		<-ctx.Done()
		return none, ErrNoAnswer
	default:
	}
	select {
	case oc := <-done:
		return oc.result, oc.err
	case <-cs.cut:
		<-ctx.Done()
	case <-ctx.Done():
	}
	return none, ErrNoAnswer
}

func (cs cutStore) Commit(ctx context.Context, tx Tx) (int64, error) {
	return answered(ctx, cs, func() (int64, error) { return cs.Store.Commit(ctx, tx) })
}

func (cs cutStore) Read(ctx context.Context, qu Query) (Page, error) {
	return answered(ctx, cs, func() (Page, error) { return cs.Store.Read(ctx, qu) })
}

func (cs cutStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	return answered(ctx, cs, func() (Page, error) { return cs.Store.Feed(ctx, table, after, wait) })
}

// carrier is a peer that carries store calls, with its own access to the store.
type carrier struct {
	peer.Cells
	sv cellsServer
}

func (cr carrier) Carry(ctx context.Context, rq *peer.CarryRequest) (*peer.CarryResponse, error) {
	rp, err := cr.sv.Carry(ctx, rq)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return rp, err
}

// startBehindCut starts an instance that follows the registrations and sends heartbeats, and its peers. The instance and the first
// peers are cut off from the store together.
func startBehindCut(ctx context.Context, store *serialStore, cut chan struct{}, cutPeers, peers int) *Fleet {
	fl := New(Options{Name: "one", Store: cutStore{store, cut}, Format: testFormat{}})
	fl.background = ctx
	for i := range peers {
		name := fmt.Sprintf("peer%d", i)
		options := Options{Name: name, Store: store, Format: testFormat{}}
		if i < cutPeers {
			options.Store = cutStore{store, cut}
		}
		other := New(options)
		other.background = ctx
		fl.members.nodes[name] = node{Name: name, Address: name}
		fl.peers.clients[name] = carrier{sv: cellsServer{other}}
		go other.heartbeat(ctx)
	}
	fl.registry.idle = nil
	go fl.heartbeat(ctx)
	go fl.registry.run(ctx)
	return fl
}

// TestFeedLeavesAPathThatHasFailed cuts an instance and some of its peers off from the store while a feed call is in flight. What is
// written a second later has to be known within urgentStart: by then other calls have shown that the path has failed.
func TestFeedLeavesAPathThatHasFailed(t *testing.T) {
	for cutPeers := range 3 {
		for cutAt := 5 * time.Second; cutAt < 7*time.Second; cutAt += 100 * time.Millisecond {
			t.Run(fmt.Sprintf("%d of 4 peers cut off, at %v", cutPeers, cutAt), func(t *testing.T) {
				withFakeClock(t, func(ctx context.Context, t *testing.T) { checkChangeBehindCut(ctx, t, cutAt, cutPeers) })
			})
		}
	}
}

// checkChangeBehindCut cuts an instance off at a time, and checks how soon it knows a change that is written a second later.
func checkChangeBehindCut(ctx context.Context, t *testing.T, cutAt time.Duration, cutPeers int) {
	store, cut := newSerialStore(1), make(chan struct{})
	fl := startBehindCut(ctx, store, cut, cutPeers, 4)
	time.Sleep(cutAt)
	close(cut)
	time.Sleep(time.Second)
	if _, err := store.mm.commit(Tx{Write: []Row{{Table: "registry", Key: "late", Value: []byte("{}")}}}); err != nil {
		t.Fatal(err)
	}
	wrote := time.Now()
	for !fl.registry.has(Place{Table: "registry", Key: "late"}) && time.Since(wrote) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(wrote); took > urgentStart {
		t.Errorf("the change is known after %v", took)
	}
}

// TestCancelledCallLeavesOtherCallsOnTheirPath cancels one of two feed calls that a peer carries, as an owner does that loses its cell. That
// says nothing about the peer: the other call must stay there, and so must later ones.
func TestCancelledCallLeavesOtherCallsOnTheirPath(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, t *testing.T) {
		store, cut := newSerialStore(1), make(chan struct{})
		fl := startBehindCut(ctx, store, cut, 0, 4)
		close(cut)
		time.Sleep(5 * time.Second)
		carrier := fl.peers.carrierAddresses()[0]
		lostCtx, lose := context.WithCancel(ctx)
		kept := make(chan error, 1)
		go func() {
			_, err := fl.peers.carry(ctx, storeCall{Kind: callFeed, Table: "kept", After: 1 << 40, Wait: time.Second})
			kept <- err
		}()
		go fl.peers.carry(lostCtx, storeCall{Kind: callFeed, Table: "lost", After: 1 << 40, Wait: time.Second})
		time.Sleep(100 * time.Millisecond)
		lose()
		time.Sleep(100 * time.Millisecond)
		if got := fl.peers.carrierAddresses()[0]; got != carrier {
			t.Errorf("calls go through %s, before through %s", got, carrier)
		}
		select {
		case err := <-kept:
			t.Errorf("the other call has ended: %v", err)
		default:
		}
		if err := <-kept; err != nil {
			t.Error(err)
		}
	})
}

// has reports whether the watch knows a row.
func (wt *tableWatch) has(place Place) bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	_, known := wt.rows[place]
	return known
}
