package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store, as the users' pages give them for a small deployment.
const (
	storeRowBytes  = 65536
	storeTxBytes   = 1 << 20
	storeTxEntries = 100
	storePageRows  = 500
	storeTxTime    = 3 * time.Millisecond
	maxFeedWait    = 30 * time.Second
)

// place names a row.
type place struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row as the store sends it.
type row struct {
	place
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// condition is an entry of expected_rev.
type condition struct {
	place
	Version int64 `json:"schema_ver"`
}

// transaction is the body of rows-tx.
type transaction struct {
	Expected []condition `json:"expected_rev"`
	Write    []row       `json:"write"`
	Remove   []place     `json:"remove"`
	Across   bool        `json:"cross_shard"`
}

// store is the platform's metadata store.
type store struct {
	rec     *record
	began   time.Time
	mu      sync.Mutex // guards the fields below
	version int64
	rows    map[place]row
	history map[string][]row
	changed chan struct{}
	parts   map[string]*sync.Mutex
}

func newStore(rec *record) *store {
	return &store{rec: rec, began: time.Now(), version: 1, rows: map[place]row{}, history: map[string][]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}}
}

func (st *store) now() int64 { return time.Since(st.began).Milliseconds() }

// put writes a row as the operator or a worker does.
func (st *store) put(pl place, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.apply(row{place: pl, Value: value, Version: st.version})
	st.wakeFeeds()
}

// drop removes a row as a worker that leaves does.
func (st *store) drop(pl place) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, known := st.rows[pl]; !known {
		return
	}
	st.version++
	st.apply(row{place: pl, Version: st.version, Deleted: true})
	st.wakeFeeds()
}

// apply changes one row. The caller holds the lock.
func (st *store) apply(rw row) {
	if rw.Deleted {
		delete(st.rows, rw.place)
	} else {
		st.rows[rw.place] = rw
	}
	st.history[rw.Table] = append(st.history[rw.Table], rw)
}

// wakeFeeds ends the waits of feed calls. The caller holds the lock.
func (st *store) wakeFeeds() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the store.
func (st *store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	raw, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	switch rq.Method + " " + rq.URL.Path {
	case "POST /aspenseam/rows-tx":
		st.transact(wr, raw)
	case "GET /aspenseam/rows-get":
		st.get(wr, rq)
	case "GET /aspenseam/rows-parts":
		st.listParts(wr, rq)
	case "GET /aspenseam/rows-feed":
		st.feed(wr, rq)
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

func sendJSON(wr http.ResponseWriter, status int, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(raw)
}

// check returns the status of a transaction that breaks a limit of the store, or 0.
func (tx *transaction) check(bytes int) int {
	if len(tx.Expected)+len(tx.Write)+len(tx.Remove) > storeTxEntries || bytes > storeTxBytes {
		return http.StatusRequestEntityTooLarge
	}
	for _, rw := range tx.Write {
		if len(rw.Value) > storeRowBytes {
			return http.StatusRequestEntityTooLarge
		}
		if rw.Table == "servers" || rw.Table == "op" {
			return http.StatusForbidden
		}
	}
	return 0
}

// lockParts takes the turns of the parts of a transaction and returns what gives them back.
func (st *store) lockParts(tx *transaction) func() {
	names := map[string]bool{}
	for _, ex := range tx.Expected {
		names[ex.Part] = true
	}
	for _, rw := range tx.Write {
		names[rw.Part] = true
	}
	for _, pl := range tx.Remove {
		names[pl.Part] = true
	}
	var sorted []string
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	var locks []*sync.Mutex
	for _, name := range sorted {
		st.mu.Lock()
		if st.parts[name] == nil {
			st.parts[name] = &sync.Mutex{}
		}
		lock := st.parts[name]
		st.mu.Unlock()
		lock.Lock()
		locks = append(locks, lock)
	}
	return func() {
		for _, lock := range locks {
			lock.Unlock()
		}
	}
}

func (st *store) transact(wr http.ResponseWriter, raw []byte) {
	var tx transaction
	if json.Unmarshal(raw, &tx) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := tx.check(len(raw)); status != 0 {
		largest := row{}
		for _, rw := range tx.Write {
			if len(rw.Value) > len(largest.Value) {
				largest = rw
			}
		}
		st.rec.add("store answers %d to a transaction of %d bytes, largest row %s/%s/%s of %d bytes", status, len(raw), largest.Table, largest.Part, largest.Key, len(largest.Value))
		sendJSON(wr, status, map[string]any{"now_ms": st.now()})
		return
	}
	unlock := st.lockParts(&tx)
	time.Sleep(storeTxTime)
	status, body := st.commit(&tx)
	unlock()
	sendJSON(wr, status, body)
}

// commit carries out a transaction, or answers how the rows of its conditions stand.
func (st *store) commit(tx *transaction) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	holds := true
	var found []row
	for _, ex := range tx.Expected {
		rw, known := st.rows[ex.place]
		if !known {
			rw = row{place: ex.place}
		}
		found = append(found, rw)
		holds = holds && rw.Version == ex.Version
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": found, "schema_ver": st.version, "now_ms": st.now()}
	}
	st.version++
	for _, rw := range tx.Write {
		st.apply(row{place: rw.place, Value: rw.Value, Version: st.version})
	}
	for _, pl := range tx.Remove {
		if _, known := st.rows[pl]; known {
			st.apply(row{place: pl, Version: st.version, Deleted: true})
		}
	}
	st.wakeFeeds()
	return http.StatusOK, map[string]any{"schema_ver": st.version, "now_ms": st.now()}
}

func (st *store) get(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	limit := storePageRows
	if asked, err := strconv.Atoi(query.Get("limit")); err == nil && asked > 0 {
		limit = min(limit, asked)
	}
	st.mu.Lock()
	rows := []row{}
	for pl, rw := range st.rows {
		if pl.Table == query.Get("table") && pl.Part == query.Get("part") && pl.Key >= query.Get("source") && (query.Get("target_version") == "" || pl.Key < query.Get("target_version")) {
			rows = append(rows, rw)
		}
	}
	version := st.version
	st.mu.Unlock()
	slices.SortFunc(rows, func(one, other row) int { return strings.Compare(one.Key, other.Key) })
	more, bytes := false, 0
	for at := range rows {
		bytes += len(rows[at].Value)*4/3 + 200
		if at >= limit || at > 0 && bytes > storeTxBytes {
			rows, more = rows[:at], true
			break
		}
	}
	sendJSON(wr, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "schema_ver": version, "now_ms": st.now()})
}

func (st *store) listParts(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	seen := map[string]bool{}
	parts := []string{}
	st.mu.Lock()
	for pl := range st.rows {
		if pl.Table == query.Get("table") && !seen[pl.Part] && pl.Part > query.Get("depends_on") {
			seen[pl.Part] = true
			parts = append(parts, pl.Part)
		}
	}
	version := st.version
	st.mu.Unlock()
	slices.Sort(parts)
	more := len(parts) > 1000
	sendJSON(wr, http.StatusOK, map[string]any{"parts": parts[:min(len(parts), 1000)], "has_more": more, "schema_ver": version, "now_ms": st.now()})
}

func (st *store) feed(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, _ := strconv.ParseInt(query.Get("depends_on"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.NewTimer(min(maxFeedWait, time.Duration(wait)*time.Millisecond))
	defer deadline.Stop()
	for {
		st.mu.Lock()
		rows, version, changed := st.since(query.Get("table"), after), st.version, st.changed
		st.mu.Unlock()
		over := len(rows) > 0
		if !over {
			select {
			case <-changed:
			case <-deadline.C:
				over = true
			case <-rq.Context().Done():
				return
			}
		}
		if over {
			sendJSON(wr, http.StatusOK, map[string]any{"rows": rows, "schema_ver": version, "now_ms": st.now()})
			return
		}
	}
}

// since returns the rows of a table that changed after a version, in order. The caller holds the lock.
func (st *store) since(table string, after int64) []row {
	rows := []row{}
	history := st.history[table]
	at, _ := slices.BinarySearchFunc(history, after+1, func(rw row, version int64) int { return int(rw.Version - version) })
	newest := map[place]int64{}
	for _, rw := range history[at:] {
		newest[rw.place] = rw.Version
	}
	for _, rw := range history[at:] {
		if newest[rw.place] == rw.Version {
			rows = append(rows, rw)
		}
	}
	return rows
}
