package proof

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/caller"
)

func TestBadInputGetsOneClearErrorAndRunsNothing(t *testing.T) {
	sp := shape{halls: 1, entries: 1, endpoints: 1, settings: map[string]map[string]any{"caller": {"headerTimeout": "1s", "bodyBytes": 10000}}}
	fl := newFleet(t, sp)
	en := fl.entries[0]
	post := ask{method: http.MethodPost, path: "/x", body: "b"}
	for name, td := range map[string]struct {
		ak       ask
		status   int
		code     caller.Code
		findings int
	}{
		"unknown service":            {post.with(caller.HeaderService, "nowhere"), http.StatusNotFound, caller.CodeUnknownService, 0},
		"missing id":                 {post.with(caller.HeaderRepeat, caller.RepeatNo), http.StatusBadRequest, caller.CodeBadRequest, 1},
		"bad id":                     {post.with(caller.HeaderRequestID, "a b"), http.StatusBadRequest, caller.CodeBadRequest, 1},
		"long id":                    {post.with(caller.HeaderRequestID, strings.Repeat("a", 200)), http.StatusBadRequest, caller.CodeBadRequest, 1},
		"deadline in the past":       {post.with(caller.HeaderDeadline, "1000"), http.StatusBadRequest, caller.CodeDeadlinePassed, 0},
		"deadline that is no time":   {post.with(caller.HeaderDeadline, "soon"), http.StatusBadRequest, caller.CodeBadRequest, 1},
		"bad repeat":                 {post.with(caller.HeaderRepeat, "maybe"), http.StatusBadRequest, caller.CodeBadRequest, 1},
		"everything wrong at once":   {post.with(caller.HeaderRepeat, "maybe").with(caller.HeaderTry, "0").with(caller.HeaderDeadline, "x"), http.StatusBadRequest, caller.CodeBadRequest, 3},
		"body too large":             {ask{method: http.MethodPost, path: "/x", body: strings.Repeat("b", 20000)}, http.StatusRequestEntityTooLarge, caller.CodeTooLarge, 1},
		"deadline past, once":        {unrepeatable("past").with(caller.HeaderDeadline, "1000"), http.StatusBadRequest, caller.CodeDeadlinePassed, 0},
		"own path that is none":      {ask{method: http.MethodGet, path: "/.aspenseam/nothing"}, http.StatusNotFound, caller.CodeBadRequest, 1},
		"answer to an id never sent": {ask{method: http.MethodGet, path: caller.CollectPath + "nothing"}, http.StatusNotFound, caller.CodeNoAnswer, 0},
	} {
		rp := send(en.callers, td.ak)
		if rp.err != nil {
			t.Errorf("%s: %v", name, rp.err)
			continue
		}
		st := rp.problem(t)
		if rp.status != td.status || st.Code != td.code || len(st.Findings) != td.findings || st.Message == "" {
			t.Errorf("%s: %d %s", name, rp.status, rp.body)
		}
		if want := "notRun"; rp.outcome != want && td.code != caller.CodeNoAnswer {
			t.Errorf("%s: outcome %s", name, rp.outcome)
		}
	}
	if received := fl.endpoints[0].counts().Received; received != 0 {
		t.Errorf("the endpoint received %d requests", received)
	}
	wantOutcome(t, send(en.callers, post), "answered")
}

// rawSend writes text to the callers' listener and returns the first line of what comes back; empty if the connection just ends.
func rawSend(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := conn.Write([]byte(text)); err != nil {
		return ""
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

func TestOversizedHeadersAndSlowSendersAreCutOff(t *testing.T) {
	sp := shape{halls: 1, entries: 1, endpoints: 1, settings: map[string]map[string]any{"caller": {"headerTimeout": "500ms", "headerBytes": 4096}}}
	fl := newFleet(t, sp)
	address := fl.entries[0].callers
	huge := "GET / HTTP/1.1\r\nHost: books\r\nX: " + strings.Repeat("y", 64<<10) + "\r\n\r\n"
	if line := rawSend(t, address, huge); !strings.Contains(line, "431") {
		t.Errorf("oversized header: %q", line)
	}
	if line := rawSend(t, address, "GET / HTTP/1.1\r\nHost: bo"); strings.Contains(line, "200") {
		t.Errorf("half a header: %q", line)
	}
	slow := fmt.Sprintf("POST / HTTP/1.1\r\nHost: %s\r\nContent-Length: 100\r\n\r\nhalf", service)
	if line := rawSend(t, address, slow); !strings.Contains(line, "408") {
		t.Errorf("half a body: %q", line)
	}
	if received := fl.endpoints[0].counts().Received; received != 0 {
		t.Errorf("the endpoint received %d requests", received)
	}
	wantOutcome(t, send(address, get), "answered")
}

func TestCallsWithoutAKnownKeyOrTokenGetNowhere(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 1, endpoints: 1})
	en := fl.entries[0]
	for _, key := range []string{"", "wrong", peerKey + "x", peerKey[:10]} {
		rp := send(en.peers, ask{method: http.MethodPost, path: "/twirp/aspenseam.peer.Peer/Sync", body: "{}", headers: map[string]string{"Content-Type": "application/json", "Aspenseam-Peer-Key": key}})
		if rp.status != http.StatusUnauthorized {
			t.Errorf("peer key %q: %d %s", key, rp.status, rp.body)
		}
	}
	for _, auth := range []string{"", "Bearer ", "Bearer wrong", token, "Bearer " + token + "x"} {
		for _, path := range []string{"/v1/status", "/v1/metrics"} {
			rp := send(en.operator, ask{method: http.MethodGet, path: path, headers: map[string]string{"Authorization": auth}})
			if rp.status != http.StatusUnauthorized {
				t.Errorf("%s with %q: %d %s", path, auth, rp.status, rp.body)
			}
		}
	}
	rp := send(en.operator, ask{method: http.MethodGet, path: "/v1/metrics", headers: map[string]string{"Authorization": "Bearer " + token}})
	if rp.status != http.StatusOK || !strings.Contains(string(rp.body), "requests.answered") {
		t.Errorf("right token: %d %s", rp.status, rp.body)
	}
	for _, secret := range []string{token, peerKey} {
		if strings.Contains(string(rp.body), secret) {
			t.Error("a secret stands in the metrics")
		}
		if strings.Contains(en.readLog(), secret) {
			t.Error("a secret stands in the log")
		}
	}
}

// TestMemoryStaysBoundedUnderManyLargeBodies sends far more at once than the buffers hold; what does not fit is refused, and the process does not grow by it.
func TestMemoryStaysBoundedUnderManyLargeBodies(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector multiplies memory")
	}
	const senders, bodyMB, buffersMB = 120, 1, 4
	sp := shape{halls: 1, entries: 1, endpoints: 4, workMs: 50, settings: map[string]map[string]any{"caller": {"bufferBytes": buffersMB << 20, "bodyBytes": bodyMB << 20}}}
	fl := newFleet(t, sp)
	en := fl.entries[0]
	load(t, en, 20, 2, get)
	before := en.residentMB(t)
	large := ask{method: http.MethodPost, path: "/x", body: strings.Repeat("b", bodyMB<<20)}
	tl := load(t, en, 2*senders, senders, large)
	grown := en.residentMB(t) - before
	t.Logf("%d bodies of %d MB, %d at a time, buffers of %d MB: %d answered, %d refused, the process grew by %.1f MB", 2*senders, bodyMB, senders, buffersMB, tl.answered.Load(), tl.notRun.Load(), grown)
	if tl.notRun.Load() == 0 || tl.answered.Load() == 0 {
		t.Error("the buffers were never full, or always")
	}
	if grown > senders*bodyMB/2 {
		t.Errorf("the process grew by %.1f MB", grown)
	}
}
