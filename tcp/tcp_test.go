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
	// shortTimeout is for calls that cannot succeed, longTimeout for calls that must.
	shortTimeout = 300 * time.Millisecond
	longTimeout  = 60 * time.Second
)

// get sends a GET request and returns its error.
func get(client *http.Client, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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

// TestAbandonedCallIsNotDelivered covers a peer that reads only after the call has timed out, as after a temporary network partition.
// Data that is still buffered by then must be discarded.
func TestAbandonedCallIsNotDelivered(t *testing.T) {
	// The body fits into the sender's socket buffer, but not into the peer's.
	const size, receiveBuffer = 256 << 10, 4 << 10
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer); err != nil {
				t.Error(err)
			}
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	resumeRead := make(chan struct{})
	arrived := make(chan int64, 1)
	go func() {
		peer, err := ln.Accept()
		if err != nil {
			return
		}
		defer peer.Close()
		<-resumeRead
		count, _ := io.Copy(io.Discard, peer)
		arrived <- count
	}()
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ln.Addr().String(), strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewClient().Do(rq); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v, want context.DeadlineExceeded", err)
	}
	close(resumeRead)
	if count := <-arrived; count >= size {
		t.Fatalf("all %d bytes arrived after the call had timed out", count)
	}
}

// TestNothingIsWrittenAfterTheDeadline covers a process that is suspended between the choice of the connection and the first write.
func TestNothingIsWrittenAfterTheDeadline(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	cn := &conn{Conn: ours, tr: NewTransport(), address: "peer"}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Millisecond))
	defer cancel()
	cn.assign(ctx)
	arrived := make(chan []byte, 1)
	go func() {
		// Read everything that arrives before the other side closes.
		raw, _ := io.ReadAll(theirs)
		arrived <- raw
	}()
	if _, err := cn.Write([]byte("order")); !errors.Is(err, ErrDeadlinePassed) {
		t.Errorf("error %v, want ErrDeadlinePassed", err)
	}
	cn.Close()
	if raw := <-arrived; len(raw) > 0 {
		t.Errorf("%q was written", raw)
	}
}

// stallingProxy forwards connections to a server. After stall, it drops all data of the connections that are open; new connections work.
type stallingProxy struct {
	ln      net.Listener
	server  string
	mu      sync.Mutex
	stalled []*atomic.Bool
	opened  int
}

func newStallingProxy(t *testing.T, server string) *stallingProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sp := &stallingProxy{ln: ln, server: server}
	t.Cleanup(func() { ln.Close() })
	go sp.run()
	return sp
}

func (sp *stallingProxy) run() {
	for {
		downstream, err := sp.ln.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", sp.server)
		if err != nil {
			downstream.Close()
			return
		}
		stalled := &atomic.Bool{}
		sp.mu.Lock()
		sp.stalled = append(sp.stalled, stalled)
		sp.opened++
		sp.mu.Unlock()
		go forward(upstream, downstream, stalled)
		go forward(downstream, upstream, stalled)
	}
}

// forward copies data in one direction and discards it once the connection is stalled.
func forward(to, from net.Conn, stalled *atomic.Bool) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		count, err := from.Read(buf)
		if err != nil {
			return
		}
		if stalled.Load() {
			continue
		}
		if _, err := to.Write(buf[:count]); err != nil {
			return
		}
	}
}

func (sp *stallingProxy) stall() {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	for _, stalled := range sp.stalled {
		stalled.Store(true)
	}
}

// TestTimeoutClosesStaleIdleConnections covers many open connections that stall at the same time: only one call may time out, not one for each
// connection.
func TestTimeoutClosesStaleIdleConnections(t *testing.T) {
	const connections = 6
	gate := make(chan struct{})
	var inFlight atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path != "/gate" {
			return
		}
		if inFlight.Add(1) == connections {
			close(gate)
		}
		<-gate
	}))
	defer server.Close()
	proxy := newStallingProxy(t, server.Listener.Addr().String())
	client := NewClient(MaxConnections(connections))
	url := "http://" + proxy.ln.Addr().String()
	var wg sync.WaitGroup
	for range connections {
		wg.Go(func() {
			if err := get(client, url+"/gate", longTimeout); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	proxy.stall()
	if err := get(client, url, shortTimeout); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v on a stalled connection", err)
	}
	if err := get(client, url, longTimeout); err != nil {
		t.Fatalf("the next call used another stalled connection: %v", err)
	}
	if proxy.opened != connections+1 {
		t.Fatalf("%d connections were opened, want %d", proxy.opened, connections+1)
	}
}

// TestTimeoutLeavesWaitingCallOpen checks that a call that waits for its response still receives it after another call to the same slow peer
// has timed out.
func TestTimeoutLeavesWaitingCallOpen(t *testing.T) {
	release := make(chan struct{})
	waiting := make(chan struct{}, 2)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		waiting <- struct{}{}
		<-release
	}))
	defer server.Close()
	client := NewClient(MaxConnections(2))
	result := make(chan error, 1)
	go func() { result <- get(client, server.URL, longTimeout) }()
	<-waiting
	if err := get(client, server.URL, shortTimeout); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v, want context.DeadlineExceeded", err)
	}
	close(release)
	if err := <-result; err != nil {
		t.Fatalf("the waiting call failed: %v", err)
	}
}

// TestKeepAliveOptionsAreSet checks the socket options with which the kernel detects dead connections.
func TestKeepAliveOptionsAreSet(t *testing.T) {
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
	want := map[int]int{unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: keepAliveProbes, unix.TCP_USER_TIMEOUT: int(userTimeout.Milliseconds())}
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
