package caller

import (
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/cespare/xxhash/v2"
)

const recordShards = 64

// flight is one run of a request through this entry instance; others with the same id wait for its word.
type flight struct {
	done chan struct{}
	// word is set before done is closed.
	result Result
}

// record is what an entry instance remembers of one request id.
type record struct {
	digest Digest
	// current is the flight that runs now; nil if none does.
	flight *flight
	// answer is the complete answer, kept for collection.
	answer *endpoint.Answer
	// open counts attempts that outlived their caller.
	lateAttempts int
	// released holds claims that were given back; nothing was sent under them and nothing ever will be.
	releasedClaims map[Nonce]bool
	lastUsed       time.Time
	size           int
}

// records remembers requests by key, in shards so that no lock is shared by all requests.
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

// with runs a function on the record of a key, made if need be, under the shard's lock.
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

// evict forgets the oldest records that nothing runs for, beyond the bounds of number, bytes and time.
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

// join returns the flight of a request and whether the caller has to run it, or the answer that it had.
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

// finish gives a flight its word and keeps the answer.
func (rs *records) finish(key Key, fl *flight, result Result) {
	rs.update(key, func(rc *record) {
		rc.flight = nil
		if result.Pending {
			rc.lateAttempts++
		}
		if result.Outcome == endpoint.OutcomeNotRun {
			// Nothing ran, so the id is free for another request.
			rc.digest = ""
		}
		rc.setAnswer(result.Answer)
	})
	fl.result = result
	close(fl.done)
}

// keep stores an answer that is complete.
func (rc *record) setAnswer(answer *endpoint.Answer) {
	if answer == nil || answer.Stream != nil {
		return
	}
	rc.answer = &endpoint.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	rc.size = len(answer.Body)
}

// late notes the end of an attempt that outlived its caller.
func (rs *records) finishLate(key Key, answer *endpoint.Answer) {
	rs.update(key, func(rc *record) {
		rc.lateAttempts--
		rc.setAnswer(answer)
	})
}

// release notes that nothing was sent under a claim and nothing will be.
func (rs *records) markReleased(key Key, nonce Nonce) {
	rs.update(key, func(rc *record) { rc.releasedClaims[nonce] = true })
}

// ask returns what became of a claim here, or of any if nonce is empty; ok is false if nothing is known.
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

// open counts the flights and late attempts that still run.
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
