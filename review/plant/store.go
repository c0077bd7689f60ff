package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store, as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// place is where a row lies.
type place struct{ table, part, key string }

func (rw row) place() place { return place{rw.Table, rw.Part, rw.Key} }

// transaction is the body of rows-tx.
type transaction struct {
	Expect    []row `json:"expected_rev"`
	Write     []row `json:"write"`
	Remove    []row `json:"remove"`
	CrossPart bool  `json:"cross_shard"`
}

// page is an answer of the store.
type page struct {
	Rows    []row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	More    bool     `json:"has_more"`
	Version int64    `json:"schema_ver"`
	Now     int64    `json:"now_ms"`
}

// store is a stand-in of the platform's store. Its answers are linearizable.
type store struct {
	mu      sync.Mutex // guards the fields below
	started time.Time
	version int64
	rows    map[place]row
	history []row
	changed chan struct{}
	// lose tells whether the answer of a transaction is lost, and after which time the transaction is then done. Nil loses none.
	lose func(transaction) (time.Duration, bool)
}

const (
	// storeLatency is the time that an answer takes, transactionTime that of a transaction.
	storeLatency    = time.Millisecond
	transactionTime = 3 * time.Millisecond
	// pageRows is the largest number of rows in an answer.
	pageRows = 500
	// maxEntries is the largest number of entries of a transaction.
	maxEntries = 100
)

func newStore() *store {
	return &store{started: time.Now(), version: 1, rows: map[place]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator or a worker does.
func (st *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply([]row{{Table: table, Key: key, Value: raw}}, nil)
}

// remove removes a row.
func (st *store) remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(nil, []row{{Table: table, Key: key}})
}

// apply writes and removes rows under one new version. The caller holds the lock.
func (st *store) apply(write, remove []row) {
	st.version++
	for _, rw := range write {
		rw.Version, rw.Deleted = st.version, false
		st.rows[rw.place()] = rw
		st.history = append(st.history, rw)
	}
	for _, rw := range remove {
		if _, there := st.rows[rw.place()]; !there {
			continue
		}
		delete(st.rows, rw.place())
		st.history = append(st.history, row{Table: rw.Table, Part: rw.Part, Key: rw.Key, Version: st.version, Deleted: true})
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// transact does a transaction if its conditions hold, and returns the status and the answer.
func (st *store) transact(tx transaction) (int, page) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(tx.Expect)+len(tx.Write)+len(tx.Remove) > maxEntries {
		return http.StatusBadRequest, page{}
	}
	var found []row
	holds := true
	for _, ex := range tx.Expect {
		rw, there := st.rows[ex.place()]
		if !there {
			rw = row{Table: ex.Table, Part: ex.Part, Key: ex.Key}
		}
		holds = holds && rw.Version == ex.Version
		found = append(found, rw)
	}
	if !holds {
		return http.StatusPreconditionFailed, page{Rows: found, Version: st.version, Now: st.now()}
	}
	st.apply(tx.Write, tx.Remove)
	return http.StatusOK, page{Version: st.version, Now: st.now()}
}

func (st *store) now() int64 { return time.Since(st.started).Milliseconds() }

// ServeHTTP answers a call of an entry instance.
func (st *store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(storeLatency)
	query := rq.URL.Query()
	switch strings.TrimPrefix(rq.URL.Path, "/aspenseam/") {
	case "rows-tx":
		st.serveTransaction(wr, rq)
	case "rows-get":
		answer(wr, http.StatusOK, st.get(query.Get("table"), query.Get("part"), query.Get("source"), query.Get("target_version"), query.Get("limit")))
	case "rows-parts":
		answer(wr, http.StatusOK, st.parts(query.Get("table"), query.Get("depends_on")))
	case "rows-feed":
		after, _ := strconv.ParseInt(query.Get("depends_on"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		answer(wr, http.StatusOK, st.feed(rq, query.Get("table"), after, time.Duration(wait)*time.Millisecond))
	default:
		http.NotFound(wr, rq)
	}
}

func (st *store) serveTransaction(wr http.ResponseWriter, rq *http.Request) {
	var tx transaction
	if json.NewDecoder(rq.Body).Decode(&tx) != nil {
		answer(wr, http.StatusBadRequest, page{})
		return
	}
	st.mu.Lock()
	lose := st.lose
	st.mu.Unlock()
	if lose != nil {
		if late, lost := lose(tx); lost {
			time.AfterFunc(late, func() { st.transact(tx) })
			// The connection says nothing more.
			<-rq.Context().Done()
			return
		}
	}
	time.Sleep(transactionTime)
	status, pg := st.transact(tx)
	answer(wr, status, pg)
}

// get returns the rows of a range of keys.
func (st *store) get(table, part, from, to, limit string) page {
	most := pageRows
	if number, err := strconv.Atoi(limit); err == nil && number > 0 {
		most = min(most, number)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	pg := page{Version: st.version, Now: st.now(), Rows: []row{}}
	for at, rw := range st.rows {
		if at.table == table && at.part == part && at.key >= from && (to == "" || at.key < to) {
			pg.Rows = append(pg.Rows, rw)
		}
	}
	slices.SortFunc(pg.Rows, func(one, other row) int { return strings.Compare(one.Key, other.Key) })
	if len(pg.Rows) > most {
		pg.Rows, pg.More = pg.Rows[:most], true
	}
	return pg
}

// parts returns the parts of a table.
func (st *store) parts(table, after string) page {
	st.mu.Lock()
	defer st.mu.Unlock()
	pg := page{Version: st.version, Now: st.now(), Rows: []row{}, Parts: []string{}}
	for at := range st.rows {
		if at.table == table && (after == "" || at.part > after) && !slices.Contains(pg.Parts, at.part) {
			pg.Parts = append(pg.Parts, at.part)
		}
	}
	slices.Sort(pg.Parts)
	return pg
}

// feed returns the changes of a table, as soon as there is one.
func (st *store) feed(rq *http.Request, table string, after int64, wait time.Duration) page {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		st.mu.Lock()
		pg := page{Version: st.version, Now: st.now(), Rows: []row{}}
		at, _ := slices.BinarySearchFunc(st.history, after+1, func(rw row, version int64) int { return int(rw.Version - version) })
		for _, rw := range st.history[at:] {
			if rw.Table == table {
				pg.Rows = append(pg.Rows, rw)
			}
		}
		changed := st.changed
		st.mu.Unlock()
		if len(pg.Rows) > 0 {
			return pg
		}
		select {
		case <-changed:
		case <-timer.C:
			return pg
		case <-rq.Context().Done():
			return pg
		}
	}
}

// answer writes an answer in JSON.
func answer(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// A caller that has left needs no answer.
	_ = json.NewEncoder(wr).Encode(body)
}
