package proof

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/standin"
)

func TestAnswerThatBreaksOffIsNeverPassedOnAsWhole(t *testing.T) {
	fl := newFleet(t, twoHalls)
	fl.failAll(standin.EndpointFaults{BreakMid: true})
	single := ask{method: http.MethodPost, path: "/tally", body: "x"}
	wantOutcome(t, send(fl.entries[0].callers, single), "unknown")
	wantOutcome(t, send(fl.entries[0].callers, ask{method: http.MethodGet, path: "/tally"}), "unknown")
	// One that is too large to be held back has begun to stream, so the caller's connection must break.
	for _, path := range []string{"/tally?size=2000000", "/tally?size=2000000&chunked=1"} {
		if rp := send(fl.entries[0].callers, ask{method: http.MethodGet, path: path}); rp.err == nil && rp.outcome == "answered" {
			t.Fatalf("%s: half an answer of %d bytes looks whole", path, len(rp.body))
		}
	}
}

func TestRepeatableIsTriedElsewhereWhenAnAnswerBreaksOff(t *testing.T) {
	fl := newFleet(t, twoHalls)
	fl.endpoints[0].fail(standin.EndpointFaults{BreakMid: true})
	for range 20 {
		rp := send(fl.entries[0].callers, ask{method: http.MethodGet, path: "/tally"})
		wantOutcome(t, rp, "answered")
		if ex := rp.execution(t); ex.Instance == fl.endpoints[0].id {
			t.Fatalf("answer of the broken endpoint: %+v", ex)
		}
	}
}

func TestLargeAnswerStreamsWhole(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 1, endpoints: 1})
	const size = 3 << 20
	rp := send(fl.entries[0].callers, ask{method: http.MethodGet, path: "/tally?size=3145728"})
	wantOutcome(t, rp, "answered")
	if ex := rp.execution(t); len(ex.Padding) != size || strings.Trim(ex.Padding, "x") != "" {
		t.Errorf("%d bytes of padding", len(ex.Padding))
	}
}

func TestAnswerWithoutALengthIsNotTakenForWhole(t *testing.T) {
	fl := newFleet(t, twoHalls)
	fl.failAll(standin.EndpointFaults{NoLength: true})
	wantOutcome(t, send(fl.entries[0].callers, ask{method: http.MethodPost, path: "/tally"}), "unknown")
}

func TestStaleReplyOnAPooledConnectionIsDropped(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 1, endpoints: 2})
	get := ask{method: http.MethodGet, path: "/tally"}
	for range 10 {
		wantOutcome(t, send(fl.entries[0].callers, get), "answered")
	}
	fl.failAll(standin.EndpointFaults{Stale: true})
	foreign := 0
	for range 30 {
		rp := send(fl.entries[0].callers, get)
		if rp.outcome != "answered" {
			foreign++
			continue
		}
		if ex := rp.execution(t); ex.RequestID != rp.header.Get(caller.HeaderRequestID) {
			t.Fatalf("answer of request %s for request %s", ex.RequestID, rp.header.Get(caller.HeaderRequestID))
		}
	}
	t.Logf("%d of 30 requests met only stale replies", foreign)
	if foreign == 0 && !strings.Contains(fl.entries[0].readLog(), "answer carried the id of another attempt") {
		t.Error("no stale reply was brought about")
	}
}

func TestLateAnswerIsCollectedByItsIDFromAnotherEntry(t *testing.T) {
	sp := twoHalls
	sp.workMs = 800
	fl := newFleet(t, sp)
	collect := func(en *entryProcess, id, from string) reply {
		return send(en.callers, ask{method: http.MethodGet, path: caller.CollectPath + id, headers: map[string]string{caller.HeaderCaller: from}})
	}
	named := map[string]ask{
		"unrepeatable": unrepeatable("collect1"),
		"repeatable":   unrepeatable("collect2").with(caller.HeaderRepeat, caller.RepeatYes),
	}
	for kind, ak := range named {
		id := ak.headers[caller.HeaderRequestID]
		// The deadline passes first, then the caller is gone.
		wantOutcome(t, send(fl.entries[0].callers, ak.with(caller.HeaderDeadline, deadline(200*time.Millisecond))), "unknown")
		for _, en := range fl.entries {
			eventually(t, kind+" collected from "+en.id, func() bool {
				rp := collect(en, id, "clerk7")
				return rp.outcome == "answered" && rp.execution(t).RequestID == id
			})
		}
		if rp := collect(fl.entries[1], id, "clerk8"); rp.outcome == "answered" {
			t.Errorf("%s answer given to another caller: %s", kind, rp.body)
		}
		fl.wantRuns(id, 1)
	}
}

func TestCallerGoneBeforeTheAnswerCollectsIt(t *testing.T) {
	sp := twoHalls
	sp.workMs = 600
	fl := newFleet(t, sp)
	ak := unrepeatable("gone")
	ak.timeout = 150 * time.Millisecond
	if rp := send(fl.entries[0].callers, ak); rp.err == nil {
		t.Fatalf("answered too early: %+v", rp)
	}
	rp := send(fl.entries[3].callers, unrepeatable("gone"))
	wantOutcome(t, rp, "answered")
	if ex := rp.execution(t); ex.RequestID != "gone" {
		t.Errorf("answer of %s", ex.RequestID)
	}
	fl.wantRuns("gone", 1)
}

func TestHeadIsAnsweredWhole(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 1, endpoints: 1})
	rp := send(fl.entries[0].callers, ask{method: http.MethodHead, path: "/tally?size=500"})
	wantOutcome(t, rp, "answered")
	if length := rp.header.Get("Content-Length"); length == "" || length == "0" {
		t.Errorf("length %q", length)
	}
}

func TestRepeatableRefusedAfterAnEarlierTryRanIsNotCalledNotRun(t *testing.T) {
	ak := unrepeatable("again").with(caller.HeaderRepeat, caller.RepeatYes)
	fl := killEntryWhileItRuns(t, ak)
	fl.list("w1", "w2", "w3", "w4")
	eventually(t, "refused", func() bool { return send(fl.entries[1].callers, get).outcome == "notRun" })
	wantOutcome(t, send(fl.entries[1].callers, ak), "unknown")
	wantOutcome(t, send(fl.entries[1].callers, ak.with(caller.HeaderRequestID, "first").with(caller.HeaderTry, "1")), "notRun")
}
