package proof

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/standin"
	"github.com/aspenseam/aspenseam/table"
)

var (
	soakFor  = flag.Duration("soak", 25*time.Second, "how long the soak sends requests under faults")
	soakSeed = flag.Uint64("soakseed", 20261202, "seed of the soak's faults and requests")
)

const (
	soakCallers  = 12
	soakSessions = 6
	soakPatience = 4 * time.Second
	// soakWorkMs is long enough that a kill or a freeze always meets requests that run.
	soakWorkMs = 40
)

// soak is one run of mixed requests under seeded faults.
type soak struct {
	fl     *fleet
	t      *testing.T
	until  time.Time
	counts [9]atomic.Int64
	mu     sync.Mutex
	faults map[string]int
	// notRun holds the requests whose last word was that they did not run.
	notRun map[string]bool
	// lost holds when each endpoint was last killed.
	lost map[table.InstanceID]time.Time
}

// What the soak counts.
const (
	countSent = iota
	countAnswered
	countNotRun
	countUnknown
	countNoWord
	countTries
	countSessionRequests
	countSessionMoves
	countTickets
)

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	sp := shape{halls: 2, entries: 2, endpoints: 3, workMs: soakWorkMs, settings: map[string]map[string]any{"endpoint": {"goneAfter": "700ms"}, "caller": {"longestRequest": "10s", "defaultTimeout": "5s"}}}
	sk := &soak{fl: newFleet(t, sp), t: t, until: time.Now().Add(*soakFor), faults: map[string]int{}, notRun: map[string]bool{}, lost: map[table.InstanceID]time.Time{}}
	var wg sync.WaitGroup
	for number := range soakCallers {
		wg.Go(func() { sk.caller(rand.New(rand.NewPCG(*soakSeed, uint64(number)))) })
	}
	for number := range soakSessions {
		wg.Go(func() { sk.session(rand.New(rand.NewPCG(*soakSeed, uint64(100+number)))) })
	}
	sk.inject(rand.New(rand.NewPCG(*soakSeed, 999)))
	wg.Wait()
	time.Sleep(time.Second) // late attempts end
	sk.check()
}

// caller sends requests one after the other, each until it has a final word or a few tries are over.
func (sk *soak) caller(rnd *rand.Rand) {
	for time.Now().Before(sk.until) {
		sk.counts[countSent].Add(1)
		id := table.NewID()
		if rnd.IntN(4) == 0 {
			id = sk.ticketOr(rnd, id)
		}
		ak := unrepeatable(id)
		ak.timeout = soakPatience
		ak.body = id
		if ak.headers[caller.HeaderRequestID] == id && rnd.IntN(3) == 0 {
			id = table.NewID()
			ak = ask{method: http.MethodGet, path: "/logs", timeout: soakPatience, headers: map[string]string{caller.HeaderRequestID: id, caller.HeaderCaller: "clerk7"}}
			if rnd.IntN(4) == 0 {
				ak.path = "/logs?size=400000"
			}
		}
		sk.untilSettled(rnd, ak, id)
	}
}

// ticketOr returns a ticket for the request if one can be had.
func (sk *soak) ticketOr(rnd *rand.Rand, id string) string {
	rp := send(sk.entry(rnd).callers, ask{method: http.MethodGet, path: caller.TicketPath, timeout: soakPatience})
	var ta caller.TicketResponse
	if rp.err != nil || json.Unmarshal(rp.body, &ta) != nil || ta.Ticket == "" {
		return id
	}
	sk.counts[countTickets].Add(1)
	return ta.Ticket
}

func (sk *soak) untilSettled(rnd *rand.Rand, ak ask, id string) {
	counts := rnd.IntN(2) == 0 // half of the callers say which try it is
	for try := range 4 {
		sk.counts[countTries].Add(1)
		if counts {
			ak = ak.with(caller.HeaderTry, fmt.Sprint(try+1))
		}
		rp := send(sk.entry(rnd).callers, ak)
		switch {
		case rp.err != nil:
			sk.counts[countNoWord].Add(1)
		case rp.outcome == "answered":
			sk.counts[countAnswered].Add(1)
			sk.checkAnswer(rp, ak, id)
			return
		case rp.outcome == "notRun":
			sk.counts[countNotRun].Add(1)
			if rnd.IntN(2) == 0 {
				sk.mu.Lock()
				sk.notRun[id] = true
				sk.mu.Unlock()
				return
			}
		case rp.outcome == "unknown":
			sk.counts[countUnknown].Add(1)
		default:
			sk.t.Errorf("request %s: no word in %+v", id, rp)
		}
		time.Sleep(time.Duration(20+rnd.IntN(80)) * time.Millisecond)
	}
}

// checkAnswer wants the whole answer to this very request.
func (sk *soak) checkAnswer(rp reply, ak ask, id string) {
	if rp.status != http.StatusOK {
		sk.t.Errorf("request %s: status %d", id, rp.status)
		return
	}
	var ex standin.Execution
	if err := json.Unmarshal(rp.body, &ex); err != nil {
		sk.t.Errorf("request %s: short answer of %d bytes: %v", id, len(rp.body), err)
		return
	}
	sum := sha256.Sum256([]byte(ak.body))
	if ex.RequestID != id || ex.Sum != hex.EncodeToString(sum[:]) {
		sk.t.Errorf("request %s got the answer of %s", id, ex.RequestID)
	}
}

func (sk *soak) entry(rnd *rand.Rand) *entryProcess {
	return sk.fl.entries[rnd.IntN(len(sk.fl.entries))]
}

// session keeps one session open and wants it at its endpoint until that is killed.
func (sk *soak) session(rnd *rand.Rand) {
	token, at := caller.SessionNew, table.InstanceID("")
	for time.Now().Before(sk.until) {
		ak := inSession(token)
		ak.timeout = soakPatience
		began := time.Now()
		rp := send(sk.entry(rnd).callers, ak)
		if rp.err == nil && rp.outcome == "answered" {
			sk.counts[countSessionRequests].Add(1)
			ex := rp.execution(sk.t)
			sk.checkPlace(at, ex.Instance, began)
			at, token = ex.Instance, rp.session
		}
		time.Sleep(time.Duration(10+rnd.IntN(30)) * time.Millisecond)
	}
}

func (sk *soak) checkPlace(before, now table.InstanceID, began time.Time) {
	if before == "" || before == now {
		return
	}
	sk.counts[countSessionMoves].Add(1)
	sk.mu.Lock()
	defer sk.mu.Unlock()
	if sk.lost[before].IsZero() {
		sk.t.Errorf("session went from %s to %s at %v, and %s was never lost", before, now, began, before)
	}
}

// inject brings about one fault after the other, each healed before the next kind of its sort.
func (sk *soak) inject(rnd *rand.Rand) {
	kinds := []struct {
		name string
		run  func(*rand.Rand)
	}{
		{"entry killed", sk.killEntry},
		{"entry frozen", sk.freezeEntry},
		{"endpoint killed", sk.killEndpoint},
		{"endpoint frozen", sk.freezeEndpoint},
		{"endpoint breaks answers", sk.breakEndpoint},
		{"platform down", func(rnd *rand.Rand) { sk.platformFault(rnd, standin.PlatformFaults{Down: true}) }},
		{"platform silent", func(rnd *rand.Rand) { sk.platformFault(rnd, standin.PlatformFaults{Silent: true}) }},
		{"platform slow", func(rnd *rand.Rand) { sk.platformFault(rnd, standin.PlatformFaults{DelayMs: 300}) }},
		{"platform answers lost", func(rnd *rand.Rand) { sk.platformFault(rnd, standin.PlatformFaults{LoseAnswers: 20}) }},
		{"platform writes late", func(rnd *rand.Rand) { sk.platformFault(rnd, standin.PlatformFaults{LateWrites: 10, LateMs: 200}) }},
		{"hall cut off", sk.cutHall},
		{"membership stale", func(rnd *rand.Rand) { sk.platformFault(rnd, standin.PlatformFaults{StaleMembers: true}) }},
	}
	order := rnd.Perm(len(kinds))
	for turn := 0; time.Now().Before(sk.until); turn++ {
		kind := kinds[order[turn%len(kinds)]]
		sk.faults[kind.name]++
		kind.run(rnd)
		time.Sleep(time.Duration(100+rnd.IntN(200)) * time.Millisecond)
	}
}

func pause(rnd *rand.Rand) {
	time.Sleep(time.Duration(300+rnd.IntN(900)) * time.Millisecond)
}

func (sk *soak) killEntry(rnd *rand.Rand) {
	en := sk.entry(rnd)
	en.kill()
	pause(rnd)
	sk.fl.startEntry(en)
	sk.fl.awaitReady(en)
}

func (sk *soak) freezeEntry(rnd *rand.Rand) {
	en := sk.entry(rnd)
	en.freeze()
	pause(rnd)
	pause(rnd)
	en.thaw()
}

func (sk *soak) endpoint(rnd *rand.Rand) *endpointProcess {
	return sk.fl.endpoints[rnd.IntN(len(sk.fl.endpoints))]
}

func (sk *soak) killEndpoint(rnd *rand.Rand) {
	ep := sk.endpoint(rnd)
	sk.mu.Lock()
	sk.lost[ep.id] = time.Now()
	sk.mu.Unlock()
	ep.kill()
	pause(rnd)
	sk.fl.restart(ep)
}

func (sk *soak) freezeEndpoint(rnd *rand.Rand) {
	ep := sk.endpoint(rnd)
	ep.freeze()
	pause(rnd)
	ep.thaw()
}

func (sk *soak) breakEndpoint(rnd *rand.Rand) {
	ep := sk.endpoint(rnd)
	ep.fail(standin.EndpointFaults{WorkMs: soakWorkMs, BreakMid: true})
	pause(rnd)
	ep.fail(standin.EndpointFaults{WorkMs: soakWorkMs})
}

func (sk *soak) platformFault(rnd *rand.Rand, fs standin.PlatformFaults) {
	sk.fl.fail(fs)
	pause(rnd)
	sk.fl.fail(standin.PlatformFaults{})
}

// cutHall cuts the first hall's entry instances off from the platform and from the other hall.
func (sk *soak) cutHall(rnd *rand.Rand) {
	sk.setHallCut(true)
	pause(rnd)
	sk.setHallCut(false)
}

func (sk *soak) setHallCut(cut bool) {
	near, far := sk.fl.entries[:2], sk.fl.entries[2:]
	for _, en := range near {
		en.store.set("", cut)
		for _, other := range far {
			other.inbound.set(en.ip, cut)
			en.inbound.set(other.ip, cut)
		}
		for _, ep := range sk.fl.endpoints[3:] {
			ep.inbound.set(en.ip, cut)
		}
	}
}

// check compares the callers' words with what the endpoints noted.
func (sk *soak) check() {
	runs, once := map[string]int{}, map[string]int{}
	unrepeatableRuns := 0
	for _, ex := range sk.fl.journals() {
		runs[ex.RequestID]++
		if ex.Method == http.MethodPost {
			once[ex.RequestID]++
			unrepeatableRuns++
		}
	}
	for id, count := range once {
		if count > 1 {
			sk.t.Errorf("unrepeatable request %s ran %d times", id, count)
		}
	}
	for id := range sk.notRun {
		if runs[id] > 0 {
			sk.t.Errorf("request %s was called not run and ran", id)
		}
	}
	get := func(ix int) int64 { return sk.counts[ix].Load() }
	sk.t.Logf("seed %d, %v: %d requests in %d tries: %d answered, %d not run, %d unknown, %d without a word; %d unrepeatable executions, %d tickets; %d session requests, %d session moves", *soakSeed, *soakFor, get(countSent), get(countTries), get(countAnswered), get(countNotRun), get(countUnknown), get(countNoWord), unrepeatableRuns, get(countTickets), get(countSessionRequests), get(countSessionMoves))
	sk.t.Logf("faults: %s", fmt.Sprint(sk.faults))
	if get(countAnswered) < get(countSent)/2 {
		sk.t.Errorf("only %d of %d requests were answered", get(countAnswered), get(countSent))
	}
}
