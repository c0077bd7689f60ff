package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// shortWait ends calls that cannot succeed, longWait those that must.
	shortWait = 300 * time.Millisecond
	longWait  = 60 * time.Second
)

// get calls an address and returns the error.
func get(client *http.Client, url string, span time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	rp, err := client.Do(rq)
	if err != nil {
		return err
	}
	defer rp.Body.Close()
	_, err = io.Copy(io.Discard, rp.Body)
	return err
}

// TestCallThatIsGivenUpDoesNotArrive: the peer reads only after the call was given up, as behind a cut that heals. What the network
// still held by then is thrown away.
func TestCallThatIsGivenUpDoesNotArrive(t *testing.T) {
	// The body fits into this side's buffer, not into the peer's.
	const size, window = 256 << 10, 4 << 10
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window); err != nil {
				t.Error(err)
			}
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	healed := make(chan struct{})
	arrived := make(chan int64, 1)
	go func() {
		peer, err := ln.Accept()
		if err != nil {
			return
		}
		defer peer.Close()
		<-healed
		count, _ := io.Copy(io.Discard, peer)
		arrived <- count
	}()
	ctx, cancel := context.WithTimeout(context.Background(), shortWait)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ln.Addr().String(), strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewClient().Do(rq); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v, want that the time is over", err)
	}
	close(healed)
	if count := <-arrived; count >= size {
		t.Fatalf("all %d bytes arrived after the call was given up", count)
	}
}

// TestNothingIsWrittenAfterTheDeadline: the process stood still between the choice of the connection and the first byte.
func TestNothingIsWrittenAfterTheDeadline(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	cn := &conn{Conn: ours, tr: NewTransport(), address: "peer"}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Millisecond))
	defer cancel()
	cn.take(ctx)
	arrived := make(chan []byte, 1)
	go func() {
		// What arrives before the other side closes.
		raw, _ := io.ReadAll(theirs)
		arrived <- raw
	}()
	if _, err := cn.Write([]byte("order")); !errors.Is(err, ErrDeadlinePassed) {
		t.Errorf("error %v, want ErrLate", err)
	}
	cn.Close()
	if raw := <-arrived; len(raw) > 0 {
		t.Errorf("%q was written", raw)
	}
}

// silencer forwards connections to a server until it falls silent for those that are open; new ones work.
type silencer struct {
	ln     net.Listener
	server string
	mu     sync.Mutex
	silent []*atomic.Bool
	opened int
}

func newSilencer(t *testing.T, server string) *silencer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sl := &silencer{ln: ln, server: server}
	t.Cleanup(func() { ln.Close() })
	go sl.run()
	return sl
}

func (sl *silencer) run() {
	for {
		near, err := sl.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", sl.server)
		if err != nil {
			near.Close()
			return
		}
		quiet := &atomic.Bool{}
		sl.mu.Lock()
		sl.silent = append(sl.silent, quiet)
		sl.opened++
		sl.mu.Unlock()
		go pump(far, near, quiet)
		go pump(near, far, quiet)
	}
}

// pump copies one way, and throws away what comes once the connection is silent.
func pump(to, from net.Conn, quiet *atomic.Bool) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		count, err := from.Read(buf)
		if err != nil {
			return
		}
		if quiet.Load() {
			continue
		}
		if _, err := to.Write(buf[:count]); err != nil {
			return
		}
	}
}

func (sl *silencer) fallSilent() {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	for _, quiet := range sl.silent {
		quiet.Store(true)
	}
}

// TestOneCallTellsThatUnusedConnectionsAreSilent: many open connections fall silent at once; one call is lost, not one for each.
func TestOneCallTellsThatUnusedConnectionsAreSilent(t *testing.T) {
	const connections = 6
	gate := make(chan struct{})
	var inside atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path != "/gate" {
			return
		}
		if inside.Add(1) == connections {
			close(gate)
		}
		<-gate
	}))
	defer server.Close()
	sl := newSilencer(t, server.Listener.Addr().String())
	client := NewClient(MaxConnections(connections))
	url := "http://" + sl.ln.Addr().String()
	var wg sync.WaitGroup
	for range connections {
		wg.Go(func() {
			if err := get(client, url+"/gate", longWait); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	sl.fallSilent()
	if err := get(client, url, shortWait); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v on a silent connection", err)
	}
	if err := get(client, url, longWait); err != nil {
		t.Fatalf("the next call met another silent connection: %v", err)
	}
	if sl.opened != connections+1 {
		t.Fatalf("%d connections were opened, want %d", sl.opened, connections+1)
	}
}

// TestWaitingCallIsLeftAlone: another call to a slow peer is given up; one that still waits for its answer gets it.
func TestWaitingCallIsLeftAlone(t *testing.T) {
	release := make(chan struct{})
	waiting := make(chan struct{}, 2)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		waiting <- struct{}{}
		<-release
	}))
	defer server.Close()
	client := NewClient(MaxConnections(2))
	answer := make(chan error, 1)
	go func() { answer <- get(client, server.URL, longWait) }()
	<-waiting
	if err := get(client, server.URL, shortWait); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v, want that the time is over", err)
	}
	close(release)
	if err := <-answer; err != nil {
		t.Fatalf("the waiting call was cut: %v", err)
	}
}

// TestConnectionsAreProbed: the bounds within which the system notices that a connection is dead are in force.
func TestConnectionsAreProbed(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	tr := NewTransport()
	opened, err := tr.dial(context.Background(), "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	raw, err := opened.(*conn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	want := map[int]int{unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: probeMost, unix.TCP_USER_TIMEOUT: int(unackedMost.Milliseconds())}
	if err := raw.Control(func(fd uintptr) {
		for option, value := range want {
			if got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option); err != nil || got != value {
				t.Errorf("option %d is %d (%v), want %d", option, got, err, value)
			}
		}
	}); err != nil {
		t.Fatal(err)
	}
}
