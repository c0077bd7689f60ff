package caller

import (
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/cespare/xxhash/v2"
)

const recordShards = 64

// flight is one run of a request through this entry instance. Concurrent tries with the same id wait for its result.
type flight struct {
	done chan struct{}
	// result is set before done is closed.
	result Result
}

// record is the in-memory state of one request id.
type record struct {
	digest Digest
	// flight is the current run of the request; nil if there is none.
	flight *flight
	// answer is the complete answer, kept for collection.
	answer *endpoint.Answer
	// lateAttempts counts attempts still running after their caller's response.
	lateAttempts int
	// releasedClaims holds the nonces of released claims. Nothing was or will be sent under them.
	releasedClaims map[Nonce]bool
	lastUsed       time.Time
	size           int
}

// records holds request records by key, in shards to reduce lock contention.
type records struct {
	shards           [recordShards]recordShard
	maxPerShard      int
	maxBytesPerShard int
	retention        time.Duration
	now              func() time.Time
}

type recordShard struct {
	mu    sync.Mutex
	byKey map[Key]*record
	// order holds the keys in the order in which they were first seen.
	order []Key
	bytes int
}

func newRecords(opts *Options) *records {
	rs := &records{maxPerShard: max(1, opts.MaxKeptAnswers/recordShards), maxBytesPerShard: opts.KeptAnswerBytes / recordShards, retention: opts.AnswerRetention, now: opts.Now}
	for ix := range rs.shards {
		rs.shards[ix].byKey = map[Key]*record{}
	}
	return rs
}

func (rs *records) shard(key Key) *recordShard {
	return &rs.shards[xxhash.Sum64String(string(key))%recordShards]
}

// update calls fn on the record of a key under the shard's lock. It creates the record if necessary.
func (rs *records) update(key Key, fn func(*record)) {
	sd := rs.shard(key)
	sd.mu.Lock()
	defer sd.mu.Unlock()
	rc := sd.byKey[key]
	if rc == nil {
		rc = &record{releasedClaims: map[Nonce]bool{}}
		sd.byKey[key] = rc
		sd.order = append(sd.order, key)
	}
	before := rc.size
	rc.lastUsed = rs.now()
	fn(rc)
	sd.bytes += rc.size - before
	rs.evict(sd)
}

// evict deletes the oldest idle records while the shard exceeds its bounds on number, bytes and age.
func (rs *records) evict(sd *recordShard) {
	for checked := 0; checked < len(sd.order); checked++ {
		key := sd.order[0]
		rc := sd.byKey[key]
		expired := rs.now().Sub(rc.lastUsed) > rs.retention
		if !expired && len(sd.order) <= rs.maxPerShard && sd.bytes <= rs.maxBytesPerShard {
			return
		}
		sd.order = sd.order[1:]
		if rc.flight != nil || rc.lateAttempts > 0 {
			sd.order = append(sd.order, key)
			continue
		}
		delete(sd.byKey, key)
		sd.bytes -= rc.size
	}
}

// join returns the kept answer of a request, or its flight. owner reports that the flight is new and must be run by the calling goroutine.
func (rs *records) join(key Key, digest Digest) (fl *flight, owner bool, answer *endpoint.Answer, err error) {
	rs.update(key, func(rc *record) {
		switch {
		case rc.digest != "" && rc.digest != digest:
			err = errIDConflict
		case rc.answer != nil:
			answer = rc.answer
		case rc.flight != nil:
			fl = rc.flight
		default:
			rc.digest = digest
			rc.flight = &flight{done: make(chan struct{})}
			fl, owner = rc.flight, true
		}
	})
	return fl, owner, answer, err
}

// finish sets the result of a flight, keeps the answer and wakes the waiting tries.
func (rs *records) finish(key Key, fl *flight, result Result) {
	rs.update(key, func(rc *record) {
		rc.flight = nil
		if result.Pending {
			rc.lateAttempts++
		}
		if result.Outcome == endpoint.OutcomeNotRun {
			// Nothing ran, so the id may be used for another request.
			rc.digest = ""
		}
		rc.setAnswer(result.Answer)
	})
	fl.result = result
	close(fl.done)
}

// setAnswer keeps an answer unless it is streamed.
func (rc *record) setAnswer(answer *endpoint.Answer) {
	if answer == nil || answer.Stream != nil {
		return
	}
	rc.answer = &endpoint.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	rc.size = len(answer.Body)
}

// finishLate records the end of an attempt that ended after its caller's response.
func (rs *records) finishLate(key Key, answer *endpoint.Answer) {
	rs.update(key, func(rc *record) {
		rc.lateAttempts--
		rc.setAnswer(answer)
	})
}

// markReleased records that nothing was or will be sent under a claim.
func (rs *records) markReleased(key Key, nonce Nonce) {
	rs.update(key, func(rc *record) { rc.releasedClaims[nonce] = true })
}

// lookup returns the result of the request under a claim, or under any claim if nonce is empty. ok is false if there is no record of it.
func (rs *records) lookup(key Key, nonce Nonce) (result Result, ok bool) {
	sd := rs.shard(key)
	sd.mu.Lock()
	defer sd.mu.Unlock()
	rc := sd.byKey[key]
	if rc == nil {
		return Result{}, false
	}
	switch {
	case rc.answer != nil:
		return Result{Outcome: endpoint.OutcomeAnswered, Answer: rc.answer}, true
	case rc.releasedClaims[nonce]:
		return Result{Outcome: endpoint.OutcomeNotRun}, true
	case rc.flight != nil || rc.lateAttempts > 0:
		return PendingResult(), true
	}
	return Result{}, false
}

// countOpen counts the flights and late attempts that are still running.
func (rs *records) countOpen() int {
	count := 0
	for ix := range rs.shards {
		sd := &rs.shards[ix]
		sd.mu.Lock()
		for _, rc := range sd.byKey {
			if rc.flight != nil {
				count++
			}
			count += rc.lateAttempts
		}
		sd.mu.Unlock()
	}
	return count
}
