package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

// Times of reaching the store.
const (
	// directAgain is how often the direct way is tried while calls go through a peer, and directTimeout bounds the try. It is a read of its
	// own: a feed that tried the direct way was silent for 2.4 s of each 4 s of a cut, and with it the registrations of new workers.
	directProbeInterval = time.Second
	directProbeTimeout  = 400 * time.Millisecond
	// quietAfter is how many calls in a row must fail before the store counts as not to be reached.
	unreachableAfter = 3
)

// callKind names a store call that a peer carries.
type callKind string

const (
	callCommit callKind = "commit"
	callRead   callKind = "read"
	callFeed   callKind = "feed"
	callParts  callKind = "parts"
)

// carried is a store call on its way through a peer.
type storeCall struct {
	Kind  callKind      `json:"kind"`
	Tx    *Tx           `json:"tx,omitempty"`
	Query *Query        `json:"query,omitempty"`
	Table string        `json:"table,omitempty"`
	After int64         `json:"after,omitempty"`
	Wait  time.Duration `json:"wait,omitempty"`
}

// answer is what became of a store call.
type storeResult struct {
	Version  int64     `json:"version,omitempty"`
	Page     *Page     `json:"page,omitempty"`
	Parts    []string  `json:"parts,omitempty"`
	Conflict *Conflict `json:"conflict,omitempty"`
}

// link reaches the store directly, or through a peer while the store turns this entry instance away.
type storeClient struct {
	store   Store
	peers   *peers
	log     *event.Logger
	now     func() time.Time
	metrics fleetMetrics
	mu      sync.Mutex // guards the fields below
	// detour is set while calls go through a peer first.
	viaPeers bool
	failures int
	// answered is when the store was heard of last, in either way.
	lastAnswerAt time.Time
	// answer is the smoothed time that a transaction takes which is answered, vain how many in a row were not.
	latency  time.Duration
	timeouts int
}

// How long a transaction may take before it is tried again.
const (
	commitTimeoutMin    = 500 * time.Millisecond
	commitTimeoutMax    = 1600 * time.Millisecond
	commitTimeoutFactor = 4
	// answerShare is the weight of the newest transaction in the smoothed time.
	latencyWeight = 0.2
	// vainMost bounds how often the wait doubles.
	maxTimeoutDoublings = 2
)

// patience is how long to wait for a transaction: some times what one takes that is answered, and twice as long for each in a row that was
// waited for in vain, since the store may have become slower. Where answers are lost now and then others come between, so that a lost one is
// missed soon.
func (sc *storeClient) commitTimeout() time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return min(commitTimeoutMax, sc.baseTimeout()<<min(sc.timeouts, maxTimeoutDoublings))
}

// haste is how long to wait for a transaction without which a lease ends: not longer because others were waited for in vain.
func (sc *storeClient) leaseCommitTimeout() time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return min(commitTimeoutMax, sc.baseTimeout())
}

// expected is how long most transactions that are answered take at the most. The caller holds the lock.
func (sc *storeClient) baseTimeout() time.Duration {
	return max(commitTimeoutMin, commitTimeoutFactor*sc.latency)
}

// usual is the smoothed time that a transaction takes which is answered. An outage does not count: after it the dead are told as soon as
// before.
func (sc *storeClient) commitLatency() time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.latency
}

// took notes how long a transaction took, or was waited for in vain.
func (sc *storeClient) recordCommit(span time.Duration, answered bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !answered {
		sc.timeouts++
		return
	}
	sc.timeouts = 0
	sc.latency += time.Duration(latencyWeight * float64(span-sc.latency))
}

func newStoreClient(store Store, pr *peers, lg *event.Logger, now func() time.Time, metrics fleetMetrics) *storeClient {
	return &storeClient{store: store, peers: pr, log: lg, now: now, metrics: metrics}
}

// Reachable reports whether the store has answered recently, in one way or the other.
func (sc *storeClient) Reachable() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.failures < unreachableAfter
}

// Commit carries out a transaction.
func (sc *storeClient) Commit(ctx context.Context, tx Tx) (int64, error) {
	sentAt := sc.now()
	sr, err := sc.call(ctx, storeCall{Kind: callCommit, Tx: &tx})
	span := sc.now().Sub(sentAt)
	if !errors.Is(err, ErrRefused) {
		sc.recordCommit(span, !errors.Is(err, ErrNoAnswer))
	}
	sc.tell(tx, span, err)
	return sr.Version, err
}

// Read returns rows.
func (sc *storeClient) Read(ctx context.Context, qu Query) (Page, error) {
	sr, err := sc.call(ctx, storeCall{Kind: callRead, Query: &qu})
	return sr.page(), err
}

// Feed returns changes.
func (sc *storeClient) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	sr, err := sc.call(ctx, storeCall{Kind: callFeed, Table: table, After: after, Wait: wait})
	return sr.page(), err
}

// Parts lists the parts of a table.
func (sc *storeClient) Parts(ctx context.Context, table string) ([]string, error) {
	sr, err := sc.call(ctx, storeCall{Kind: callParts, Table: table})
	return sr.Parts, err
}

func (sr storeResult) page() Page {
	if sr.Page == nil {
		return Page{}
	}
	return *sr.Page
}

// call tries the direct way, and a peer's if the store did nothing or has been silent of late.
func (sc *storeClient) call(ctx context.Context, cd storeCall) (storeResult, error) {
	if sc.proxying() {
		sr, err := sc.callPeer(ctx, cd)
		if err == nil || !errors.Is(err, ErrRefused) {
			sc.recordResult(err)
			return sr, err
		}
	}
	sr, err := perform(ctx, sc.store, cd)
	if errors.Is(ctx.Err(), context.Canceled) {
		// The caller gave up; that says nothing of the store.
		return sr, err
	}
	if unavailable(err) {
		sc.startProxying(err)
	}
	if errors.Is(err, ErrRefused) && ctx.Err() == nil {
		if peerResult, peerErr := sc.callPeer(ctx, cd); !errors.Is(peerErr, ErrRefused) {
			sr, err = peerResult, peerErr
		}
	}
	sc.recordResult(err)
	return sr, err
}

// unreached reports whether the store itself did not do a call.
func unavailable(err error) bool { return errors.Is(err, ErrRefused) || errors.Is(err, ErrNoAnswer) }

func (sc *storeClient) proxying() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.viaPeers
}

func (sc *storeClient) startProxying(err error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.viaPeers {
		return
	}
	sc.viaPeers = true
	sc.log.Emit(event.StoreDetour, zap.Error(err))
	go sc.probeDirect(sc.peers.fl.background)
}

// tryDirect ends the detour once the store answers directly.
func (sc *storeClient) probeDirect(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, directProbeInterval)
		callCtx, cancel := context.WithTimeout(ctx, directProbeTimeout)
		_, err := sc.store.Read(callCtx, Query{Table: tableControl, Part: machinesCell, Limit: 1})
		cancel()
		if !unavailable(err) {
			sc.mu.Lock()
			sc.viaPeers = false
			sc.mu.Unlock()
			return
		}
	}
}

// note counts calls that failed in both ways.
func (sc *storeClient) recordResult(err error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if unavailable(err) {
		sc.failures++
		sc.metrics.storeFailed.Inc(1)
		return
	}
	sc.failures, sc.lastAnswerAt = 0, sc.now()
}

// heard is when the store was heard of last.
func (sc *storeClient) lastAnswer() time.Time {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.lastAnswerAt
}

// viaPeer has a peer carry the call; ErrRefused if no peer could.
func (sc *storeClient) callPeer(ctx context.Context, call storeCall) (storeResult, error) {
	raw, err := json.Marshal(call)
	if err != nil {
		return storeResult{}, ErrRefused
	}
	return sc.peers.carry(ctx, raw)
}

// perform carries out a call at the store.
func perform(ctx context.Context, st Store, call storeCall) (storeResult, error) {
	switch {
	case call.Kind == callCommit && call.Tx != nil:
		version, err := st.Commit(ctx, *call.Tx)
		return storeResult{Version: version}, err
	case call.Kind == callRead && call.Query != nil:
		pg, err := st.Read(ctx, *call.Query)
		return storeResult{Page: &pg}, err
	case call.Kind == callFeed:
		pg, err := st.Feed(ctx, call.Table, call.After, call.Wait)
		return storeResult{Page: &pg}, err
	case call.Kind == callParts:
		parts, err := st.Parts(ctx, call.Table)
		return storeResult{Parts: parts}, err
	}
	return storeResult{}, ErrRefused
}

// Words for what became of a carried call.
const (
	carryDone             = "done"
	carryConflict         = "conflict"
	carryRefused          = "refused"
	carryNoAnswer         = "silent"
	carryHistoryTruncated = "history"
)

// wordOf names an error for a peer.
func carryOutcome(err error) string {
	var cf *Conflict
	switch {
	case err == nil:
		return carryDone
	case errors.As(err, &cf):
		return carryConflict
	case errors.Is(err, ErrHistoryTruncated):
		return carryHistoryTruncated
	case errors.Is(err, ErrRefused):
		return carryRefused
	}
	return carryNoAnswer
}

// errorOf is the error that a peer's word stands for.
func carryError(outcome string, sr storeResult) error {
	switch outcome {
	case carryDone:
		return nil
	case carryConflict:
		if sr.Conflict != nil {
			return sr.Conflict
		}
		return &Conflict{}
	case carryHistoryTruncated:
		return ErrHistoryTruncated
	case carryRefused:
		return ErrRefused
	}
	return ErrNoAnswer
}

// conflictOf returns the rows that a transaction's conditions met.
func asConflict(err error) *Conflict {
	var cf *Conflict
	if errors.As(err, &cf) {
		return cf
	}
	return nil
}
