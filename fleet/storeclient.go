package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

// Intervals and thresholds of reaching the store.
const (
	// directProbeInterval is how often the direct path to the store is probed while calls go through a peer; directProbeTimeout
	// bounds the probe. The probe is a separate read: a feed call that probed the direct path would leave the feed silent until
	// the call times out, and registrations of new workers would be missed for as long.
	directProbeInterval = time.Second
	directProbeTimeout  = 400 * time.Millisecond
	// unreachableAfter is the number of consecutive failed calls after which the store counts as unreachable.
	unreachableAfter = 3
)

// callKind is the kind of a store call that a peer carries out.
type callKind string

const (
	callCommit callKind = "commit"
	callRead   callKind = "read"
	callFeed   callKind = "feed"
	callParts  callKind = "parts"
)

// storeCall is a store call in the form in which it is sent to a peer.
type storeCall struct {
	Kind  callKind      `json:"kind"`
	Tx    *Tx           `json:"tx,omitempty"`
	Query *Query        `json:"query,omitempty"`
	Table string        `json:"table,omitempty"`
	After int64         `json:"after,omitempty"`
	Wait  time.Duration `json:"wait,omitempty"`
}

// repeatable reports whether a call without an answer may simply be made again.
func (sl storeCall) repeatable() bool { return sl.Kind != callCommit }

// storeResult is the result of a store call.
type storeResult struct {
	Version  int64     `json:"version,omitempty"`
	Page     *Page     `json:"page,omitempty"`
	Parts    []string  `json:"parts,omitempty"`
	Conflict *Conflict `json:"conflict,omitempty"`
}

// storeClient calls the store directly, or through a peer while the store is unreachable or refuses calls from this entry
// instance.
type storeClient struct {
	store   Store
	peers   *peers
	log     *event.Logger
	now     func() time.Time
	metrics fleetMetrics
	paths   *storePaths
	mu      sync.Mutex // guards the fields below
	// viaPeers is set while calls are first tried through a peer.
	viaPeers bool
	// probeFailed is set while viaPeers is set and a probe of the direct path has failed since.
	probeFailed bool
	failures    int
	// lastAnswerAt is when the store last answered, directly or through a peer.
	lastAnswerAt time.Time
	// latency is the smoothed duration of answered transactions; timeouts counts the consecutive transactions without an answer.
	latency  time.Duration
	timeouts int
}

// Bounds of the time after which an unanswered transaction is retried.
const (
	commitTimeoutMin    = 500 * time.Millisecond
	commitTimeoutMax    = 1600 * time.Millisecond
	commitTimeoutFactor = 4
	// latencyWeight is the weight of the newest transaction in the smoothed latency.
	latencyWeight = 0.2
	// maxTimeoutDoublings bounds how often the timeout doubles.
	maxTimeoutDoublings = 2
)

// commitTimeout returns how long to wait for a transaction: a multiple of the smoothed latency. It doubles with each consecutive
// timeout, since the store may have become slower. If only some answers are lost, answered transactions in between reset it, so
// that a lost answer is noticed early.
func (sc *storeClient) commitTimeout() time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return min(commitTimeoutMax, sc.baseTimeout()<<min(sc.timeouts, maxTimeoutDoublings))
}

// leaseCommitTimeout returns how long to wait for a transaction that renews a lease. It does not grow with timeouts, since the
// lease would end meanwhile.
func (sc *storeClient) leaseCommitTimeout() time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return min(commitTimeoutMax, sc.baseTimeout())
}

// baseTimeout returns the time within which most answered transactions complete. The caller holds the lock.
func (sc *storeClient) baseTimeout() time.Duration {
	return max(commitTimeoutMin, commitTimeoutFactor*sc.latency)
}

// commitLatency returns the smoothed duration of answered transactions. Unanswered ones do not count, so that an outage does not
// delay the detection of dead instances afterwards.
func (sc *storeClient) commitLatency() time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.latency
}

// recordCommit records the duration of a transaction, or that it was not answered.
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
	return &storeClient{store: store, peers: pr, log: lg, now: now, metrics: metrics, paths: pr.paths}
}

// Reachable reports whether the store has answered recently, directly or through a peer.
func (sc *storeClient) Reachable() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.failures < unreachableAfter
}

// Commit runs a transaction.
func (sc *storeClient) Commit(ctx context.Context, tx Tx) (int64, error) {
	sentAt := sc.now()
	sr, err := sc.call(ctx, storeCall{Kind: callCommit, Tx: &tx})
	span := sc.now().Sub(sentAt)
	if !errors.Is(err, ErrRefused) {
		sc.recordCommit(span, !errors.Is(err, ErrNoAnswer))
	}
	sc.reportCommit(tx, span, err)
	return sr.Version, err
}

// Read returns the rows that a query selects.
func (sc *storeClient) Read(ctx context.Context, qu Query) (Page, error) {
	sr, err := sc.call(ctx, storeCall{Kind: callRead, Query: &qu})
	return sr.page(), err
}

// Feed returns the changes of a table after a version.
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

// call makes a store call directly, and through a peer if the store refused it. While the direct path fails, the peer is tried
// first.
func (sc *storeClient) call(ctx context.Context, request storeCall) (storeResult, error) {
	if sc.proxying() {
		sr, err := sc.callPeer(ctx, request)
		if err == nil || !errors.Is(err, ErrRefused) {
			sc.recordResult(err)
			return sr, err
		}
	}
	sr, pathFailed, err := sc.performDirect(ctx, request)
	if errors.Is(err, ErrInvalid) {
		// The store answers, and a peer would get the same answer.
		sc.recordResult(nil)
		return sr, err
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		// The caller cancelled the call, which says nothing about the store.
		return sr, err
	}
	if unavailable(err) {
		sc.startProxying(err)
	}
	if (errors.Is(err, ErrRefused) || pathFailed) && ctx.Err() == nil {
		// Nothing is known of the peers' paths yet, so a feed call through them must not wait for changes.
		request.Wait = 0
		if peerResult, peerErr := sc.callPeer(ctx, request); !errors.Is(peerErr, ErrRefused) {
			sr, err = peerResult, peerErr
		}
	}
	sc.recordResult(err)
	return sr, err
}

// performDirect makes a call at the store. pathFailed reports that a repeatable call was ended because other calls have shown that the
// store does not answer this instance.
func (sc *storeClient) performDirect(ctx context.Context, request storeCall) (sr storeResult, pathFailed bool, err error) {
	if !request.repeatable() {
		sr, err = perform(ctx, sc.store, request)
		return sr, false, err
	}
	pathCtx, leave := sc.paths.join(ctx, directPath)
	defer leave()
	sr, err = perform(pathCtx, sc.store, request)
	return sr, err != nil && pathCtx.Err() != nil && ctx.Err() == nil, err
}

// unavailable reports whether a call failed because the store was not reached or did not answer.
func unavailable(err error) bool { return errors.Is(err, ErrRefused) || errors.Is(err, ErrNoAnswer) }

func (sc *storeClient) proxying() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.viaPeers
}

// turnedAway reports whether the store has not answered this instance for longer than a single lost answer explains.
func (sc *storeClient) turnedAway() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.probeFailed
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

// probeDirect probes the direct path, and ends the use of peers once the store answers. The first probe is made at once: it tells a
// lost answer from a path that has failed.
func (sc *storeClient) probeDirect(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, directProbeInterval) {
		callCtx, cancel := context.WithTimeout(ctx, directProbeTimeout)
		_, err := sc.store.Read(callCtx, Query{Table: tableControl, Part: machinesCell, Limit: 1})
		cancel()
		sc.mu.Lock()
		first := !sc.probeFailed
		sc.probeFailed = unavailable(err)
		sc.viaPeers = sc.probeFailed
		sc.mu.Unlock()
		if !unavailable(err) {
			return
		}
		if first {
			sc.paths.fail(directPath)
		}
	}
}

// recordResult counts calls that failed both directly and through peers.
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

// lastAnswer returns when the store last answered.
func (sc *storeClient) lastAnswer() time.Time {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.lastAnswerAt
}

// callPeer makes the call through a peer; ErrRefused if no peer could have made it.
func (sc *storeClient) callPeer(ctx context.Context, call storeCall) (storeResult, error) {
	return sc.peers.carry(ctx, call)
}

// perform makes a call at the store.
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

// Outcomes of a call that was carried out by a peer, as sent between instances.
const (
	carryDone             = "done"
	carryConflict         = "conflict"
	carryRefused          = "refused"
	carryInvalid          = "invalid"
	carryNoAnswer         = "silent"
	carryHistoryTruncated = "history"
)

// carryOutcome returns the outcome that stands for an error.
func carryOutcome(err error) string {
	var cf *Conflict
	switch {
	case err == nil:
		return carryDone
	case errors.As(err, &cf):
		return carryConflict
	case errors.Is(err, ErrHistoryTruncated):
		return carryHistoryTruncated
	case errors.Is(err, ErrInvalid):
		return carryInvalid
	case errors.Is(err, ErrRefused):
		return carryRefused
	}
	return carryNoAnswer
}

// carryError returns the error that an outcome stands for.
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
	case carryInvalid:
		return ErrInvalid
	case carryRefused:
		return ErrRefused
	}
	return ErrNoAnswer
}

// asConflict returns the conflict that err wraps, or nil.
func asConflict(err error) *Conflict {
	var cf *Conflict
	if errors.As(err, &cf) {
		return cf
	}
	return nil
}
