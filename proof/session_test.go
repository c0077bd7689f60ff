package proof

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/standin"
	"github.com/aspenseam/aspenseam/table"
)

func inSession(token string) ask {
	return ask{method: http.MethodGet, path: "/intake", headers: map[string]string{caller.HeaderSession: token}}
}

// openSession opens a session and returns its token and the endpoint that it is bound to.
func (fl *fleet) openSession(en *entryProcess) (string, *endpointProcess) {
	fl.t.Helper()
	rp := send(en.callers, inSession(caller.SessionNew))
	wantOutcome(fl.t, rp, "answered")
	if rp.session == "" {
		fl.t.Fatal("no session token")
	}
	return rp.session, fl.endpoint(rp.execution(fl.t).Instance)
}

func TestSessionStaysAtItsEndpointThroughEveryEntry(t *testing.T) {
	fl := newFleet(t, twoHalls)
	token, ep := fl.openSession(fl.entries[0])
	newcomer := fl.planEntry("hall2")
	fl.startEntry(newcomer)
	fl.awaitReady(newcomer)
	before := fl.requestWrites()
	for turn := range 5 {
		for _, en := range fl.entries {
			rp := send(en.callers, inSession(token))
			wantOutcome(t, rp, "answered")
			if ex := rp.execution(t); ex.Instance != ep.id {
				t.Fatalf("turn %d through %s: session of %s served by %s", turn, en.id, ep.id, ex.Instance)
			}
		}
	}
	if after := fl.requestWrites(); after != before {
		t.Errorf("%d platform writes for requests of a session", after-before)
	}
}

func TestSessionOfALostEndpointMovesOnceToOnePlace(t *testing.T) {
	for name, lose := range map[string]func(fl *fleet, ep *endpointProcess){
		"killed and still listed": func(_ *fleet, ep *endpointProcess) { ep.kill() },
		"dropped from membership": func(fl *fleet, ep *endpointProcess) { ep.kill(); fl.list(ep.id) },
	} {
		t.Run(name, func(t *testing.T) {
			sp := shape{halls: 2, entries: 2, endpoints: 3, settings: map[string]map[string]any{"endpoint": {"goneAfter": "500ms"}}}
			fl := newFleet(t, sp)
			token, ep := fl.openSession(fl.entries[0])
			lose(fl, ep)
			var mu sync.Mutex
			places := map[table.InstanceID]bool{}
			var wg sync.WaitGroup
			for _, en := range fl.entries {
				wg.Go(func() {
					eventually(t, "served again through "+en.id, func() bool {
						rp := send(en.callers, inSession(token))
						if rp.outcome != "answered" {
							return false
						}
						mu.Lock()
						places[rp.execution(t).Instance] = true
						mu.Unlock()
						return true
					})
				})
			}
			wg.Wait()
			if len(places) != 1 || places[ep.id] {
				t.Fatalf("session of %s served at %v", ep.id, places)
			}
			fl.wantRows(table.TableMove, 1)
		})
	}
}

// wantRows checks the number of rows in a table.
func (fl *fleet) wantRows(name table.TableName, want int) []table.Row {
	fl.t.Helper()
	var rows []table.Row
	control(fl.t, http.MethodGet, fl.store, "/control/table/"+string(name), nil, &rows)
	if len(rows) != want {
		fl.t.Fatalf("%d rows in %s, want %d: %v", len(rows), name, want, rows)
	}
	return rows
}

func TestSessionOfAFrozenEndpointIsNotMoved(t *testing.T) {
	sp := twoHalls
	sp.settings = map[string]map[string]any{"endpoint": {"goneAfter": "300ms"}}
	fl := newFleet(t, sp)
	token, ep := fl.openSession(fl.entries[0])
	ep.freeze()
	for _, en := range append(fl.entries, fl.entries...) {
		rp := send(en.callers, inSession(token).with(caller.HeaderDeadline, deadline(400*time.Millisecond)))
		if rp.outcome == "answered" {
			t.Fatalf("a session of the frozen endpoint %s was served: %s", ep.id, rp.body)
		}
	}
	ep.thaw()
	eventually(t, "served by its endpoint again", func() bool {
		rp := send(fl.entries[3].callers, inSession(token))
		return rp.outcome == "answered" && rp.execution(t).Instance == ep.id
	})
	fl.wantRows(table.TableMove, 0)
}

func TestForeignSessionTokenIsRefused(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 1, endpoints: 1})
	token, _ := fl.openSession(fl.entries[0])
	forged := []byte(token)
	forged[5] ^= 1
	for _, bad := range []string{string(forged), "nonsense", token + "x"} {
		rp := send(fl.entries[0].callers, inSession(bad))
		if rp.status != http.StatusBadRequest || rp.outcome != "notRun" {
			t.Errorf("%q: %d %s", bad, rp.status, rp.outcome)
		}
	}
}

func TestEntryStoppedBySignalCutsNothing(t *testing.T) {
	sp := twoHalls
	sp.workMs = 1000
	fl := newFleet(t, sp)
	stopping := fl.entries[0]
	const open = 6
	replies := make(chan reply, open)
	for ix := range open {
		ak := ask{method: http.MethodGet, path: "/tally"}
		if ix%2 == 0 {
			ak = unrepeatable(table.NewID())
		}
		go func() { replies <- send(stopping.callers, ak) }()
	}
	eventually(t, "all run", func() bool {
		count := 0
		for _, ep := range fl.endpoints {
			count += ep.counts().Open
		}
		return count == open
	})
	stopping.signal(syscall.SIGTERM)
	eventually(t, "new requests refused", func() bool {
		rp := send(stopping.callers, ask{method: http.MethodGet, path: "/tally?workMs=1"})
		return rp.err == nil && rp.outcome == "notRun" && rp.problem(t).Code == caller.CodeStopping
	})
	for range open {
		wantOutcome(t, <-replies, "answered")
	}
	stopping.awaitExit()
	if code := stopping.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	// The results were handed over before the exit.
	for _, rw := range fl.wantRows(table.TableClaim, open/2) {
		cl, err := table.Decode[caller.Claim](rw)
		if err != nil || cl.State != caller.ClaimAnswered {
			t.Errorf("claim %s is %s (%v)", rw.Key, cl.State, err)
		}
	}
}

func TestEntryStartedInAPlatformOutageServesFromAPeersSnapshot(t *testing.T) {
	fl := newFleet(t, twoHalls)
	token, ep := fl.openSession(fl.entries[1])
	fl.entries[0].terminate()
	for name, fs := range map[string]standin.PlatformFaults{"down": {Down: true}, "silent": {Silent: true}} {
		fl.fail(fs)
		reads := fl.platformCounts().Reads
		fl.startEntry(fl.entries[0])
		fl.awaitReady(fl.entries[0])
		wantOutcome(t, send(fl.entries[0].callers, ask{method: http.MethodGet, path: "/logs"}), "answered")
		rp := send(fl.entries[0].callers, inSession(token))
		wantOutcome(t, rp, "answered")
		if ex := rp.execution(t); ex.Instance != ep.id {
			t.Errorf("%s: session of %s served by %s", name, ep.id, ex.Instance)
		}
		if after := fl.platformCounts().Reads; after != reads {
			t.Errorf("%s: the platform answered %d reads", name, after-reads)
		}
		fl.entries[0].kill()
	}
}

func TestHallCutOffFromThePlatformAndTheOtherHallGoesOnServing(t *testing.T) {
	fl := newFleet(t, twoHalls)
	token, ep := fl.openSession(fl.entries[0])
	for _, en := range fl.entries[:2] {
		en.store.set("", true)
		en.inbound.set("", true)
		for _, other := range fl.entries[2:] {
			other.inbound.set(en.ip, true)
		}
		for _, far := range fl.endpoints[2:] {
			far.inbound.set(en.ip, true)
		}
	}
	// One that starts in the cut hall finds its neighbour.
	fl.entries[0].kill()
	fl.entries[1].inbound.set("", false)
	fl.startEntry(fl.entries[0])
	fl.awaitReady(fl.entries[0])
	for _, en := range fl.entries {
		for range 5 {
			rp := send(en.callers, ask{method: http.MethodGet, path: "/logs"})
			wantOutcome(t, rp, "answered")
			if hall := fl.hallOf(rp.execution(t).Instance); hall != en.hall {
				t.Errorf("%s in %s served from %s", en.id, en.hall, hall)
			}
		}
	}
	for _, en := range fl.entries[:2] {
		rp := send(en.callers, inSession(token))
		wantOutcome(t, rp, "answered")
		if ex := rp.execution(t); ex.Instance != ep.id {
			t.Errorf("session of %s served by %s", ep.id, ex.Instance)
		}
		wantOutcome(t, send(en.callers, unrepeatable("cut").with(caller.HeaderTry, "1")), "notRun")
	}
	wantOutcome(t, send(fl.entries[2].callers, unrepeatable("cut")), "answered")
	fl.wantRuns("cut", 1)
}
