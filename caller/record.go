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
	word Word
}

// record is what an entry instance remembers of one request id.
type record struct {
	digest Digest
	// current is the flight that runs now; nil if none does.
	current *flight
	// answer is the complete answer, kept for collection.
	answer *endpoint.Answer
	// open counts attempts that outlived their caller.
	open int
	// released holds claims that were given back; nothing was sent under them and nothing ever will be.
	released map[Nonce]bool
	touched  time.Time
	size     int
}

// records remembers requests by key, in shards so that no lock is shared by all requests.
type records struct {
	shards    [recordShards]recordShard
	kept      int
	bytes     int
	retention time.Duration
	now       func() time.Time
}

type recordShard struct {
	mu    sync.Mutex
	byKey map[Key]*record
	// order holds the keys in the order in which they were first seen.
	order []Key
	bytes int
}

func newRecords(opts *Options) *records {
	rs := &records{kept: max(1, opts.AnswersKept/recordShards), bytes: opts.KeptBytes / recordShards, retention: opts.AnswerRetention, now: opts.Now}
	for ix := range rs.shards {
		rs.shards[ix].byKey = map[Key]*record{}
	}
	return rs
}

func (rs *records) shard(key Key) *recordShard {
	return &rs.shards[xxhash.Sum64String(string(key))%recordShards]
}

// with runs a function on the record of a key, made if need be, under the shard's lock.
func (rs *records) with(key Key, fn func(*record)) {
	sd := rs.shard(key)
	sd.mu.Lock()
	defer sd.mu.Unlock()
	rc := sd.byKey[key]
	if rc == nil {
		rc = &record{released: map[Nonce]bool{}}
		sd.byKey[key] = rc
		sd.order = append(sd.order, key)
	}
	before := rc.size
	rc.touched = rs.now()
	fn(rc)
	sd.bytes += rc.size - before
	rs.evict(sd)
}

// evict forgets the oldest records that nothing runs for, beyond the bounds of number, bytes and time.
func (rs *records) evict(sd *recordShard) {
	for looked := 0; looked < len(sd.order); looked++ {
		key := sd.order[0]
		rc := sd.byKey[key]
		expired := rs.now().Sub(rc.touched) > rs.retention
		if !expired && len(sd.order) <= rs.kept && sd.bytes <= rs.bytes {
			return
		}
		sd.order = sd.order[1:]
		if rc.current != nil || rc.open > 0 {
			sd.order = append(sd.order, key)
			continue
		}
		delete(sd.byKey, key)
		sd.bytes -= rc.size
	}
}

// join returns the flight of a request and whether the caller has to run it, or the answer that it had.
func (rs *records) join(key Key, digest Digest) (fl *flight, owner bool, answer *endpoint.Answer, err error) {
	rs.with(key, func(rc *record) {
		switch {
		case rc.digest != "" && rc.digest != digest:
			err = errIDConflict
		case rc.answer != nil:
			answer = rc.answer
		case rc.current != nil:
			fl = rc.current
		default:
			rc.digest = digest
			rc.current = &flight{done: make(chan struct{})}
			fl, owner = rc.current, true
		}
	})
	return fl, owner, answer, err
}

// finish gives a flight its word and keeps the answer.
func (rs *records) finish(key Key, fl *flight, word Word) {
	rs.with(key, func(rc *record) {
		rc.current = nil
		if word.Pending {
			rc.open++
		}
		if word.Outcome == endpoint.OutcomeNotRun {
			// Nothing ran, so the id is free for another request.
			rc.digest = ""
		}
		rc.keep(word.Answer)
	})
	fl.word = word
	close(fl.done)
}

// keep stores an answer that is complete.
func (rc *record) keep(answer *endpoint.Answer) {
	if answer == nil || answer.Stream != nil {
		return
	}
	rc.answer = &endpoint.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	rc.size = len(answer.Body)
}

// late notes the end of an attempt that outlived its caller.
func (rs *records) late(key Key, answer *endpoint.Answer) {
	rs.with(key, func(rc *record) {
		rc.open--
		rc.keep(answer)
	})
}

// release notes that nothing was sent under a claim and nothing will be.
func (rs *records) release(key Key, nonce Nonce) {
	rs.with(key, func(rc *record) { rc.released[nonce] = true })
}

// ask returns what became of a claim here, or of any if nonce is empty; ok is false if nothing is known.
func (rs *records) ask(key Key, nonce Nonce) (word Word, ok bool) {
	sd := rs.shard(key)
	sd.mu.Lock()
	defer sd.mu.Unlock()
	rc := sd.byKey[key]
	if rc == nil {
		return Word{}, false
	}
	switch {
	case rc.answer != nil:
		return Word{Outcome: endpoint.OutcomeAnswered, Answer: rc.answer}, true
	case rc.released[nonce]:
		return Word{Outcome: endpoint.OutcomeNotRun}, true
	case rc.current != nil || rc.open > 0:
		return PendingWord(), true
	}
	return Word{}, false
}

// open counts the flights and late attempts that still run.
func (rs *records) open() int {
	count := 0
	for ix := range rs.shards {
		sd := &rs.shards[ix]
		sd.mu.Lock()
		for _, rc := range sd.byKey {
			if rc.current != nil {
				count++
			}
			count += rc.open
		}
		sd.mu.Unlock()
	}
	return count
}
