package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/table"
	"github.com/cespare/xxhash/v2"
)

// PlatformFaults switches what the platform does wrong; the zero value is a healthy one.
type PlatformFaults struct {
	// DelayMs delays every answer.
	DelayMs int `json:"delayMs"`
	// Down answers 503 without effect.
	Down bool `json:"down"`
	// Silent takes calls and never answers, without effect.
	Silent bool `json:"silent"`
	// LoseAnswers is how many of the next commits take effect without an answer.
	LoseAnswers int `json:"loseAnswers"`
	// LateWrites is how many of the next commits lose their answer and take effect only after LateMs.
	LateWrites int `json:"lateWrites"`
	LateMs     int `json:"lateMs"`
	// Table limits LoseAnswers and LateWrites to commits that write this table; empty means any.
	Table table.TableName `json:"table"`
	// StaleMembers freezes the membership as it is now.
	StaleMembers bool `json:"staleMembers"`
	// StaleFeed answers reads of changes as of this version; 0 means the newest.
	StaleFeed table.Version `json:"staleFeed"`
}

// PlatformCounts says how often the platform was asked.
type PlatformCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Leases counts those of the writes that only concern leases.
	Leases    int64         `json:"leases"`
	Rows      int64         `json:"rows"`
	Conflicts int64         `json:"conflicts"`
	Version   table.Version `json:"version"`
	// Actions counts drains, reboots and other side effects by "action instance", however often asked with one step id.
	Actions map[string]int `json:"actions"`
}

// Platform is an in-memory table, object store and membership over HTTP.
type Platform struct {
	mu      sync.Mutex
	version table.Version
	rows    map[table.RowKey]table.Row
	members []table.Member
	usage   []table.Usage
	stale   []table.Member
	objects map[string][]byte
	steps   map[string]bool
	faults  PlatformFaults
	counts  PlatformCounts
	tasks   *Tasks
	// hook is asked, by POST to hook/action/instance, to carry out each action; empty carries out none.
	hook string
}

// NewPlatform returns an empty healthy platform.
func NewPlatform() *Platform {
	return &Platform{rows: map[table.RowKey]table.Row{}, objects: map[string][]byte{}, steps: map[string]bool{}, tasks: NewTasks(), counts: PlatformCounts{Actions: map[string]int{}}}
}

// Seed is what a platform starts with.
type Seed struct {
	Instances []table.Instance `json:"instances"`
	Services  []table.Service  `json:"services"`
	Pools     []table.Pool     `json:"pools"`
	Members   []table.Member   `json:"members"`
}

// Load writes the seed's rows and membership.
func (pl *Platform) Load(sd Seed) error {
	var writes []table.Write
	var failed error
	insert := func(name table.TableName, key string, value any) {
		raw, err := table.Encode(value)
		if err != nil {
			failed = err
		}
		writes = append(writes, table.Write{Table: name, Key: key, Value: raw})
	}
	for _, sv := range sd.Services {
		insert(table.TableService, string(sv.ID), sv)
	}
	for _, po := range sd.Pools {
		insert(table.TablePool, string(po.ID), po)
	}
	for _, in := range sd.Instances {
		insert(table.TableInstance, string(in.ID), in)
	}
	if failed != nil {
		return failed
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.members = sd.Members
	pl.apply(table.Tx{Writes: writes})
	return nil
}

// Handler returns the platform's protocol, and its switches below /control/.
func (pl *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table/{table}/{key}", pl.faulty(pl.get))
	mux.HandleFunc("GET /v1/changes", pl.faulty(pl.changes))
	mux.HandleFunc("GET /v1/members", pl.faulty(pl.listMembers))
	mux.HandleFunc("GET /v1/usage", pl.faulty(pl.listUsage))
	mux.HandleFunc("PUT /control/usage", replace(&pl.mu, &pl.usage))
	mux.HandleFunc("POST /v1/tx", pl.faulty(pl.commit))
	mux.HandleFunc("GET /v1/object/{key}", pl.faulty(pl.getObject))
	mux.HandleFunc("PUT /v1/object/{key}", pl.faulty(pl.putObject))
	mux.HandleFunc("DELETE /v1/object/{key}", pl.faulty(pl.deleteObject))
	mux.HandleFunc("POST /v1/instance/{id}/{action}", pl.faulty(pl.act))
	mux.HandleFunc("POST /v1/instance/{id}/tasks", pl.faulty(pl.tasks.start))
	mux.HandleFunc("DELETE /v1/instance/{id}/tasks/{task}/{attempt}", pl.faulty(pl.tasks.stop))
	mux.HandleFunc("GET /v1/tasks", pl.faulty(pl.tasks.report))
	mux.HandleFunc("PUT /control/tasks", replace(&pl.tasks.mu, &pl.tasks.faults))
	mux.HandleFunc("GET /control/tasks", pl.tasks.getCounts)
	mux.HandleFunc("PUT /control/faults", pl.setFaults)
	mux.HandleFunc("PUT /control/members", replace(&pl.mu, &pl.members))
	mux.HandleFunc("GET /control/counts", pl.getCounts)
	mux.HandleFunc("GET /control/table/{table}", pl.dump)
	mux.HandleFunc("POST /control/tx", pl.commitHealthy)
	return mux
}

// faulty applies the faults that concern every call.
func (pl *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		pl.mu.Lock()
		fs := pl.faults
		pl.mu.Unlock()
		if fs.DelayMs > 0 {
			time.Sleep(time.Duration(fs.DelayMs) * time.Millisecond)
		}
		if fs.Silent {
			<-rq.Context().Done()
			abort()
		}
		if fs.Down {
			http.Error(wr, "down", http.StatusServiceUnavailable)
			return
		}
		next(wr, rq)
	}
}

func (pl *Platform) get(wr http.ResponseWriter, rq *http.Request) {
	pl.mu.Lock()
	pl.counts.Reads++
	rw, ok := pl.rows[table.RowKey{Table: table.TableName(rq.PathValue("table")), Key: rq.PathValue("key")}]
	pl.mu.Unlock()
	if !ok || rw.Deleted {
		http.Error(wr, "absent", http.StatusNotFound)
		return
	}
	writeJSON(wr, http.StatusOK, rw)
}

func (pl *Platform) changes(wr http.ResponseWriter, rq *http.Request) {
	since, err := strconv.ParseUint(rq.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(wr, "since must be a version", http.StatusBadRequest)
		return
	}
	limit := 0
	if text := rq.URL.Query().Get("limit"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil {
			http.Error(wr, "limit must be a number", http.StatusBadRequest)
			return
		}
	}
	var tables []table.TableName
	for _, name := range strings.Split(rq.URL.Query().Get("tables"), ",") {
		tables = append(tables, table.TableName(name))
	}
	writeJSON(wr, http.StatusOK, pl.feed(table.Version(since), tables, limit))
}

// feed returns the rows after a version in their order, at most limit of those not deleted if it is not 0.
func (pl *Platform) feed(since table.Version, tables []table.TableName, limit int) table.Changes {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.counts.Reads++
	upTo := pl.version
	if pl.faults.StaleFeed != 0 {
		upTo = pl.faults.StaleFeed
	}
	cs := table.Changes{Version: upTo}
	for key, rw := range pl.rows {
		if rw.Version > since && rw.Version <= upTo && slices.Contains(tables, key.Table) && !(limit > 0 && rw.Deleted) {
			cs.Rows = append(cs.Rows, rw)
		}
	}
	sort.Slice(cs.Rows, func(ix, jx int) bool { return cs.Rows[ix].Version < cs.Rows[jx].Version })
	if limit > 0 && len(cs.Rows) > limit {
		cs.Rows = cs.Rows[:limit]
	}
	return cs
}

func (pl *Platform) listMembers(wr http.ResponseWriter, rq *http.Request) {
	pl.mu.Lock()
	pl.counts.Reads++
	members := pl.members
	if pl.faults.StaleMembers {
		members = pl.stale
	}
	pl.mu.Unlock()
	raw, err := json.Marshal(members)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(raw), 36))
	wr.Header().Set("Etag", tag)
	if rq.Header.Get("If-None-Match") == tag {
		wr.WriteHeader(http.StatusNotModified)
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	// The other side may be gone; there is nobody else to tell.
	_, _ = wr.Write(raw)
}

func (pl *Platform) listUsage(wr http.ResponseWriter, rq *http.Request) {
	wanted := strings.Split(rq.URL.Query().Get("instances"), ",")
	pl.mu.Lock()
	pl.counts.Reads++
	usage := []table.Usage{}
	for _, us := range pl.usage {
		if wanted[0] == "" || slices.Contains(wanted, string(us.Instance)) {
			usage = append(usage, us)
		}
	}
	pl.mu.Unlock()
	writeJSON(wr, http.StatusOK, usage)
}

func (pl *Platform) commit(wr http.ResponseWriter, rq *http.Request) {
	var tx table.Tx
	if !readJSON(wr, rq, &tx) {
		return
	}
	pl.mu.Lock()
	pl.counts.Writes++
	pl.counts.Rows += int64(len(tx.Writes))
	if only(tx, table.TableLease) {
		pl.counts.Leases++
	}
	hit := pl.faults.Table == "" || slices.ContainsFunc(tx.Writes, func(wt table.Write) bool { return wt.Table == pl.faults.Table })
	late, lost := hit && pl.faults.LateWrites > 0, hit && pl.faults.LoseAnswers > 0
	if late {
		pl.faults.LateWrites--
		delay := time.Duration(pl.faults.LateMs) * time.Millisecond
		pl.mu.Unlock()
		time.AfterFunc(delay, func() {
			pl.mu.Lock()
			defer pl.mu.Unlock()
			pl.apply(tx)
		})
		abort()
	}
	status, result := pl.apply(tx)
	if lost {
		pl.faults.LoseAnswers--
	}
	pl.mu.Unlock()
	if lost {
		abort()
	}
	writeJSON(wr, status, result)
}

// only reports whether a transaction concerns one table alone.
func only(tx table.Tx, name table.TableName) bool {
	return !slices.ContainsFunc(tx.Writes, func(wt table.Write) bool { return wt.Table != name })
}

// commitHealthy changes rows whatever faults are switched on, for tests that prepare a case.
func (pl *Platform) commitHealthy(wr http.ResponseWriter, rq *http.Request) {
	var tx table.Tx
	if !readJSON(wr, rq, &tx) {
		return
	}
	pl.mu.Lock()
	status, result := pl.apply(tx)
	pl.mu.Unlock()
	writeJSON(wr, status, result)
}

// apply checks every condition and writes all rows or none; the lock is held.
func (pl *Platform) apply(tx table.Tx) (int, table.Changes) {
	var conflicts []table.Row
	for _, wt := range tx.Writes {
		key := table.RowKey{Table: wt.Table, Key: wt.Key}
		rw := pl.rows[key]
		version := rw.Version
		if rw.Deleted && wt.IfVersion == 0 {
			version = 0
		}
		if version != wt.IfVersion {
			rw.Table, rw.Key = wt.Table, wt.Key
			conflicts = append(conflicts, rw)
		}
	}
	if len(conflicts) > 0 {
		pl.counts.Conflicts++
		return http.StatusConflict, table.Changes{Version: pl.version, Rows: conflicts}
	}
	pl.version++
	for _, wt := range tx.Writes {
		if wt.Check {
			continue
		}
		rw := table.Row{Table: wt.Table, Key: wt.Key, Version: pl.version, Value: wt.Value, Deleted: wt.Delete}
		pl.rows[table.RowKey{Table: wt.Table, Key: wt.Key}] = rw
	}
	return http.StatusOK, table.Changes{Version: pl.version}
}

func (pl *Platform) getObject(wr http.ResponseWriter, rq *http.Request) {
	pl.mu.Lock()
	pl.counts.Reads++
	raw, ok := pl.objects[rq.PathValue("key")]
	pl.mu.Unlock()
	if !ok {
		http.Error(wr, "absent", http.StatusNotFound)
		return
	}
	// The other side may be gone; there is nobody else to tell.
	_, _ = wr.Write(raw)
}

func (pl *Platform) putObject(wr http.ResponseWriter, rq *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(wr, rq.Body, maxBodyBytes))
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	pl.mu.Lock()
	pl.counts.Writes++
	pl.objects[rq.PathValue("key")] = raw
	pl.mu.Unlock()
	wr.WriteHeader(http.StatusNoContent)
}

func (pl *Platform) deleteObject(wr http.ResponseWriter, rq *http.Request) {
	pl.mu.Lock()
	pl.counts.Writes++
	delete(pl.objects, rq.PathValue("key"))
	pl.mu.Unlock()
	wr.WriteHeader(http.StatusNoContent)
}

// act carries out a drain, stop, reboot or start of an instance once for each step id.
func (pl *Platform) act(wr http.ResponseWriter, rq *http.Request) {
	step := rq.URL.Query().Get("step")
	if step == "" {
		http.Error(wr, "step is required", http.StatusBadRequest)
		return
	}
	pl.mu.Lock()
	pl.counts.Writes++
	first := !pl.steps[step]
	if first {
		pl.steps[step] = true
		pl.counts.Actions[rq.PathValue("action")+" "+rq.PathValue("id")]++
	}
	pl.mu.Unlock()
	if first && pl.hook != "" && !pl.carryOut(rq.PathValue("action"), rq.PathValue("id")) {
		http.Error(wr, "hook failed", http.StatusInternalServerError)
		return
	}
	wr.WriteHeader(http.StatusNoContent)
}

// SetHook names the URL that carries actions out.
func (pl *Platform) SetHook(hook string) {
	pl.hook = hook
}

// carryOut asks the hook and waits until it has done the action.
func (pl *Platform) carryOut(action, id string) bool {
	rp, err := http.Post(pl.hook+"/"+action+"/"+id, "text/plain", nil)
	if err != nil {
		return false
	}
	_ = rp.Body.Close()
	return rp.StatusCode < http.StatusBadRequest
}

func (pl *Platform) setFaults(wr http.ResponseWriter, rq *http.Request) {
	var fs PlatformFaults
	if !readJSON(wr, rq, &fs) {
		return
	}
	pl.mu.Lock()
	if fs.StaleMembers && !pl.faults.StaleMembers {
		pl.stale = slices.Clone(pl.members)
	}
	pl.faults = fs
	pl.mu.Unlock()
	wr.WriteHeader(http.StatusNoContent)
}

func (pl *Platform) getCounts(wr http.ResponseWriter, _ *http.Request) {
	pl.mu.Lock()
	counts := pl.counts
	counts.Version = pl.version
	raw, err := json.Marshal(counts)
	pl.mu.Unlock()
	if err != nil {
		http.Error(wr, err.Error(), http.StatusInternalServerError)
		return
	}
	// The other side may be gone; there is nobody else to tell.
	_, _ = wr.Write(raw)
}

// dump returns all rows of a table, deleted ones left out.
func (pl *Platform) dump(wr http.ResponseWriter, rq *http.Request) {
	pl.mu.Lock()
	rows := []table.Row{}
	for key, rw := range pl.rows {
		if string(key.Table) == rq.PathValue("table") && !rw.Deleted {
			rows = append(rows, rw)
		}
	}
	pl.mu.Unlock()
	sort.Slice(rows, func(ix, jx int) bool { return rows[ix].Key < rows[jx].Key })
	writeJSON(wr, http.StatusOK, rows)
}
