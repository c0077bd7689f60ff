package proof

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay stands before a listener and can cut off some of those who connect to it.
type relay struct {
	target string
	listen string
	ln     net.Listener
	mu     sync.Mutex
	// cut holds the source IPs that are cut off; "" cuts all.
	cut map[string]bool
	// bytes counts what went through, both ways.
	bytes atomic.Int64
	conns map[net.Conn]string
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	rl := &relay{target: target, listen: freeAddress(t, "127.0.0.1"), cut: map[string]bool{}, conns: map[net.Conn]string{}}
	rl.open(t)
	t.Cleanup(func() {
		rl.close()
		rl.set("", true)
	})
	return rl
}

// open accepts connections, again if it was closed.
func (rl *relay) open(t *testing.T) {
	t.Helper()
	ln, err := net.Listen("tcp", rl.listen)
	if err != nil {
		t.Fatal(err)
	}
	rl.ln = ln
	go rl.run(ln)
}

// close refuses connections, as the port of a dead process does.
func (rl *relay) close() { _ = rl.ln.Close() }

func (rl *relay) address() string { return rl.listen }

func (rl *relay) run(ln net.Listener) {
	for {
		conn, err := ln.Accept()
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
		_, _ = io.Copy(to, counted{from, &rl.bytes})
		_ = to.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(from, counted{to, &rl.bytes})
}

// counted counts what is read.
type counted struct {
	io.Reader
	bytes *atomic.Int64
}

func (ct counted) Read(buf []byte) (int, error) {
	n, err := ct.Reader.Read(buf)
	ct.bytes.Add(int64(n))
	return n, err
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
