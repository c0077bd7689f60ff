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
	directAgain   = time.Second
	directTimeout = 400 * time.Millisecond
	// quietAfter is how many calls in a row must fail before the store counts as not to be reached.
	quietAfter = 3
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
type carried struct {
	Kind  callKind      `json:"kind"`
	Tx    *Tx           `json:"tx,omitempty"`
	Query *Query        `json:"query,omitempty"`
	Table string        `json:"table,omitempty"`
	After int64         `json:"after,omitempty"`
	Wait  time.Duration `json:"wait,omitempty"`
}

// answer is what became of a store call.
type answer struct {
	Version  int64     `json:"version,omitempty"`
	Page     *Page     `json:"page,omitempty"`
	Parts    []string  `json:"parts,omitempty"`
	Conflict *Conflict `json:"conflict,omitempty"`
}

// link reaches the store directly, or through a peer while the store turns this entry instance away.
type link struct {
	store Store
	peers *peers
	log   *event.Logger
	now   func() time.Time
	fig   figures
	mu    sync.Mutex // guards what follows
	// detour is set while calls go through a peer first.
	detour bool
	fails  int
	// answered is when the store was heard of last, in either way.
	answered time.Time
	// answer is the smoothed time that a transaction takes which is answered, vain how many in a row were not.
	answer time.Duration
	vain   int
}

// How long a transaction may take before it is tried again.
const (
	patienceLeast = 500 * time.Millisecond
	patienceMost  = 1600 * time.Millisecond
	patienceTimes = 4
	// answerShare is the weight of the newest transaction in the smoothed time.
	answerShare = 0.2
	// vainMost bounds how often the wait doubles.
	vainMost = 2
)

// patience is how long to wait for a transaction: some times what one takes that is answered, and twice as long for each in a row that was
// waited for in vain, since the store may have become slower. Where answers are lost now and then others come between, so that a lost one is
// missed soon.
func (ln *link) patience() time.Duration {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return min(patienceMost, ln.expected()<<min(ln.vain, vainMost))
}

// haste is how long to wait for a transaction without which a lease ends: not longer because others were waited for in vain.
func (ln *link) haste() time.Duration {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return min(patienceMost, ln.expected())
}

// expected is how long most transactions that are answered take at the most. The caller holds the lock.
func (ln *link) expected() time.Duration { return max(patienceLeast, patienceTimes*ln.answer) }

// usual is the smoothed time that a transaction takes which is answered. An outage does not count: after it the dead are told as soon as
// before.
func (ln *link) usual() time.Duration {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.answer
}

// took notes how long a transaction took, or was waited for in vain.
func (ln *link) took(span time.Duration, answered bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if !answered {
		ln.vain++
		return
	}
	ln.vain = 0
	ln.answer += time.Duration(answerShare * float64(span-ln.answer))
}

func newLink(store Store, pr *peers, lg *event.Logger, now func() time.Time, fig figures) *link {
	return &link{store: store, peers: pr, log: lg, now: now, fig: fig}
}

// Reachable reports whether the store has answered recently, in one way or the other.
func (ln *link) Reachable() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.fails < quietAfter
}

// Commit carries out a transaction.
func (ln *link) Commit(ctx context.Context, tx Tx) (int64, error) {
	asked := ln.now()
	an, err := ln.call(ctx, carried{Kind: callCommit, Tx: &tx})
	span := ln.now().Sub(asked)
	if !errors.Is(err, ErrRefused) {
		ln.took(span, !errors.Is(err, ErrSilent))
	}
	ln.tell(tx, span, err)
	return an.Version, err
}

// Read returns rows.
func (ln *link) Read(ctx context.Context, qu Query) (Page, error) {
	an, err := ln.call(ctx, carried{Kind: callRead, Query: &qu})
	return an.page(), err
}

// Feed returns changes.
func (ln *link) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	an, err := ln.call(ctx, carried{Kind: callFeed, Table: table, After: after, Wait: wait})
	return an.page(), err
}

// Parts lists the parts of a table.
func (ln *link) Parts(ctx context.Context, table string) ([]string, error) {
	an, err := ln.call(ctx, carried{Kind: callParts, Table: table})
	return an.Parts, err
}

func (an answer) page() Page {
	if an.Page == nil {
		return Page{}
	}
	return *an.Page
}

// call tries the direct way, and a peer's if the store did nothing or has been silent of late.
func (ln *link) call(ctx context.Context, cd carried) (answer, error) {
	if ln.onDetour() {
		an, err := ln.viaPeer(ctx, cd)
		if err == nil || !errors.Is(err, ErrRefused) {
			ln.note(err)
			return an, err
		}
	}
	an, err := perform(ctx, ln.store, cd)
	if errors.Is(ctx.Err(), context.Canceled) {
		// The caller gave up; that says nothing of the store.
		return an, err
	}
	if unreached(err) {
		ln.startDetour(err)
	}
	if errors.Is(err, ErrRefused) && ctx.Err() == nil {
		if carriedAnswer, peerErr := ln.viaPeer(ctx, cd); !errors.Is(peerErr, ErrRefused) {
			an, err = carriedAnswer, peerErr
		}
	}
	ln.note(err)
	return an, err
}

// unreached reports whether the store itself did not do a call.
func unreached(err error) bool { return errors.Is(err, ErrRefused) || errors.Is(err, ErrSilent) }

func (ln *link) onDetour() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.detour
}

func (ln *link) startDetour(err error) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.detour {
		return
	}
	ln.detour = true
	ln.log.Emit(event.StoreDetour, zap.Error(err))
	go ln.tryDirect(ln.peers.fl.background)
}

// tryDirect ends the detour once the store answers directly.
func (ln *link) tryDirect(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, directAgain)
		callCtx, cancel := context.WithTimeout(ctx, directTimeout)
		_, err := ln.store.Read(callCtx, Query{Table: tableControl, Part: machinesCell, Limit: 1})
		cancel()
		if !unreached(err) {
			ln.mu.Lock()
			ln.detour = false
			ln.mu.Unlock()
			return
		}
	}
}

// note counts calls that failed in both ways.
func (ln *link) note(err error) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if unreached(err) {
		ln.fails++
		ln.fig.storeFailed.Inc(1)
		return
	}
	ln.fails, ln.answered = 0, ln.now()
}

// heard is when the store was heard of last.
func (ln *link) heard() time.Time {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.answered
}

// viaPeer has a peer carry the call; ErrRefused if no peer could.
func (ln *link) viaPeer(ctx context.Context, cd carried) (answer, error) {
	raw, err := json.Marshal(cd)
	if err != nil {
		return answer{}, ErrRefused
	}
	return ln.peers.carry(ctx, raw)
}

// perform carries out a call at the store.
func perform(ctx context.Context, st Store, cd carried) (answer, error) {
	switch {
	case cd.Kind == callCommit && cd.Tx != nil:
		version, err := st.Commit(ctx, *cd.Tx)
		return answer{Version: version}, err
	case cd.Kind == callRead && cd.Query != nil:
		pg, err := st.Read(ctx, *cd.Query)
		return answer{Page: &pg}, err
	case cd.Kind == callFeed:
		pg, err := st.Feed(ctx, cd.Table, cd.After, cd.Wait)
		return answer{Page: &pg}, err
	case cd.Kind == callParts:
		parts, err := st.Parts(ctx, cd.Table)
		return answer{Parts: parts}, err
	}
	return answer{}, ErrRefused
}

// Words for what became of a carried call.
const (
	wordDone     = "done"
	wordConflict = "conflict"
	wordRefused  = "refused"
	wordSilent   = "silent"
	wordHistory  = "history"
)

// wordOf names an error for a peer.
func wordOf(err error) string {
	var cf *Conflict
	switch {
	case err == nil:
		return wordDone
	case errors.As(err, &cf):
		return wordConflict
	case errors.Is(err, ErrHistory):
		return wordHistory
	case errors.Is(err, ErrRefused):
		return wordRefused
	}
	return wordSilent
}

// errorOf is the error that a peer's word stands for.
func errorOf(word string, an answer) error {
	switch word {
	case wordDone:
		return nil
	case wordConflict:
		if an.Conflict != nil {
			return an.Conflict
		}
		return &Conflict{}
	case wordHistory:
		return ErrHistory
	case wordRefused:
		return ErrRefused
	}
	return ErrSilent
}

// conflictOf returns the rows that a transaction's conditions met.
func conflictOf(err error) *Conflict {
	var cf *Conflict
	if errors.As(err, &cf) {
		return cf
	}
	return nil
}
