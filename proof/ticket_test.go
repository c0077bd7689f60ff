package proof

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/standin"
)

// ticket gets a ticket from an entry instance.
func (en *entryProcess) ticket(t *testing.T) string {
	t.Helper()
	rp := send(en.callers, ask{method: http.MethodGet, path: caller.TicketPath})
	var ta caller.TicketResponse
	if err := json.Unmarshal(rp.body, &ta); err != nil || ta.Ticket == "" {
		t.Fatalf("ticket: %+v %v", rp, err)
	}
	return ta.Ticket
}

// TestTicketsInAPlatformOutage measures how many unrepeatable requests are served while the platform is down, with tickets and without.
func TestTicketsInAPlatformOutage(t *testing.T) {
	fl := newFleet(t, twoHalls)
	const each = 10
	var tickets []string
	for _, en := range fl.entries {
		for range each {
			tickets = append(tickets, en.ticket(t))
		}
	}
	fl.fail(standin.PlatformFaults{Down: true})
	withTicket, without := 0, 0
	for ix, tk := range tickets {
		// The balancer sends the caller to any entry instance.
		if rp := send(fl.entries[(ix+1)%len(fl.entries)].callers, unrepeatable(tk)); rp.outcome == "answered" {
			withTicket++
		}
		if rp := send(fl.entries[ix%len(fl.entries)].callers, unrepeatable("plain").with(caller.HeaderTry, "1")); rp.outcome == "answered" {
			without++
		}
	}
	t.Logf("platform down: %d of %d served with tickets, %d of %d without; platform writes %d", withTicket, len(tickets), without, len(tickets), fl.requestWrites())
	if withTicket != len(tickets) {
		t.Errorf("only %d of %d requests with tickets were served", withTicket, len(tickets))
	}
	for _, tk := range tickets {
		for _, en := range fl.entries {
			wantOutcome(t, send(en.callers, unrepeatable(tk)), "answered")
		}
		fl.wantRuns(tk, 1)
	}
}

func TestTicketWhoseIssuerIsGoneNeverRunsAgain(t *testing.T) {
	sp := twoHalls
	sp.workMs = 700
	fl := newFleet(t, sp)
	running, unused := fl.entries[0].ticket(t), fl.entries[0].ticket(t)
	go send(fl.entries[1].callers, unrepeatable(running))
	eventually(t, "running", func() bool { return fl.executions(running) == 1 })
	fl.entries[0].kill()
	for _, tk := range []string{running, unused} {
		for _, en := range fl.entries[1:] {
			wantOutcome(t, send(en.callers, unrepeatable(tk)), "unknown")
		}
	}
	// Another run of the same entry instance does not honour them either.
	fl.startEntry(fl.entries[0])
	fl.awaitReady(fl.entries[0])
	for _, tk := range []string{running, unused} {
		wantOutcome(t, send(fl.entries[0].callers, unrepeatable(tk)), "unknown")
		wantOutcome(t, send(fl.entries[2].callers, unrepeatable(tk)), "unknown")
	}
	fl.wantRuns(running, 1)
	fl.wantRuns(unused, 0)
}

func TestForgedTicketIsRefused(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 1, endpoints: 1})
	tk := fl.entries[0].ticket(t)
	rp := send(fl.entries[0].callers, unrepeatable(tk[:len(tk)-2]+"xx"))
	wantOutcome(t, rp, "notRun")
	if rp.status != http.StatusBadRequest {
		t.Errorf("status %d", rp.status)
	}
}
