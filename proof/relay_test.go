package proof

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay stands before a listener and can cut off some of those who connect to it.
type relay struct {
	target string
	ln     net.Listener
	mu     sync.Mutex
	// cut holds the source IPs that are cut off; "" cuts all.
	cut   map[string]bool
	conns map[net.Conn]string
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", freeAddress(t, "127.0.0.1"))
	if err != nil {
		t.Fatal(err)
	}
	rl := &relay{target: target, ln: ln, cut: map[string]bool{}, conns: map[net.Conn]string{}}
	go rl.run()
	t.Cleanup(func() {
		_ = ln.Close()
		rl.set("", true)
	})
	return rl
}

func (rl *relay) address() string { return rl.ln.Addr().String() }

func (rl *relay) run() {
	for {
		conn, err := rl.ln.Accept()
		if err != nil {
			return
		}
		go rl.pass(conn)
	}
}

func (rl *relay) pass(from net.Conn) {
	defer func() { _ = from.Close() }()
	source, _, _ := net.SplitHostPort(from.RemoteAddr().String())
	if !rl.admit(from, source) {
		return
	}
	defer rl.forget(from)
	to, err := net.Dial("tcp", rl.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(from, to)
}

func (rl *relay) admit(conn net.Conn, source string) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.cut[source] || rl.cut[""] {
		return false
	}
	rl.conns[conn] = source
	return true
}

func (rl *relay) forget(conn net.Conn) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	delete(rl.conns, conn)
}

// set cuts a source off, or lets it through again; open connections of a cut source break.
func (rl *relay) set(source string, cut bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.cut[source] = cut
	if !cut {
		return
	}
	for conn, from := range rl.conns {
		if source == "" || from == source {
			_ = conn.Close()
		}
	}
}
