package endpoint_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/table"
)

// serveFixedAnswer answers every request on a connection and echoes its attempt id, without allocating.
func serveFixedAnswer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	buf := make([]byte, 4096)
	out := make([]byte, 0, 4096)
	name := []byte("Aspenseam-Attempt: ")
	filled := 0
	for {
		n, err := conn.Read(buf[filled:])
		if err != nil {
			return
		}
		filled += n
		if !bytes.Contains(buf[:filled], []byte("\r\n\r\n")) {
			continue
		}
		start := bytes.Index(buf[:filled], name) + len(name)
		id := buf[start : start+16]
		out = append(out[:0], "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nAspenseam-Attempt: "...)
		out = append(out, id...)
		out = append(out, "\r\n\r\ndone"...)
		if _, err := conn.Write(out); err != nil {
			return
		}
		filled = 0
	}
}

// newFixedAnswerRouter returns a router with a single endpoint that answers without allocating.
func newFixedAnswerRouter(tb testing.TB) *endpoint.Router {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveFixedAnswer(conn)
		}
	}()
	rows := encodeRows(tb, []any{
		table.Service{ID: testService, Slots: 8, Connections: 64, Echo: true},
		table.Instance{ID: "w1", Hall: "hall1", Address: ln.Addr().String(), State: table.InstanceServing, Epoch: 1, Services: []table.ServiceID{testService}},
	})
	sn, _ := table.EmptySnapshot().Merge(rows)
	rt := endpoint.NewRouter(endpoint.WithHall("hall1"))
	rt.Update(sn.WithMembers([]table.Member{{ID: "w1", Role: table.RoleWorker, State: table.MemberLive}}))
	return rt
}

func doOnce(tb testing.TB, rt *endpoint.Router) {
	rs := rt.Do(context.Background(), newCall(10*time.Second))
	if rs.Outcome != endpoint.OutcomeAnswered || string(rs.Answer.Body) != "done" || rs.Answer.Status != http.StatusOK {
		tb.Fatalf("%+v", rs)
	}
	rs.Answer.Release()
}

// maxAllocations limits the allocations of one proxied request, including those of net/http.
const maxAllocations = 95

func TestAllocationsOfAProxiedRequest(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector allocates")
	}
	rt := newFixedAnswerRouter(t)
	got := testing.AllocsPerRun(500, func() { doOnce(t, rt) })
	t.Logf("%.0f allocations", got)
	if got > maxAllocations {
		t.Errorf("%.0f allocations per request, want at most %d", got, maxAllocations)
	}
}

func BenchmarkProxiedRequest(b *testing.B) {
	rt := newFixedAnswerRouter(b)
	b.ReportAllocs()
	for b.Loop() {
		doOnce(b, rt)
	}
}
