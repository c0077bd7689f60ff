// Package proof holds the tests that bring about failures in real processes and count what really ran.
package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/standin"
)

const (
	// patience bounds every wait for a real process; it is long, so that a busy machine does not change a verdict.
	patience  = 60 * time.Second
	pollEvery = 20 * time.Millisecond
	firstPort = 20000
	lastPort  = 32000
	peerKey   = "proof-key-of-the-fleet"
	token     = "proof-token-of-alice"
	service   = "books"
)

var (
	binary   string
	nextPort atomic.Int32
)

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

// build makes the binary that all tests run.
func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "aspenseam")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "aspenseam")
	args := []string{"build", "-o", binary}
	if raceEnabled {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "..")...).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	nextPort.Store(firstPort + int32(os.Getpid()%1000)*10)
	return m.Run()
}

// freeAddress returns an address on which nothing listens, below the ports of outgoing connections.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	for range lastPort {
		port := nextPort.Add(1)
		if port >= lastPort {
			nextPort.Store(firstPort)
			continue
		}
		address := fmt.Sprintf("%s:%d", ip, port)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address
	}
	t.Fatal("no free port")
	return ""
}

// process is one process that the test started.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

func startProcess(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ps := &process{t: t, name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(ps.done)
	}()
	t.Cleanup(func() {
		ps.signal(syscall.SIGCONT)
		ps.kill()
		if t.Failed() {
			ps.printLog()
		}
		_ = log.Close()
	})
	return ps
}

func (ps *process) signal(sg syscall.Signal) {
	select {
	case <-ps.done:
	default:
		_ = ps.cmd.Process.Signal(sg)
	}
}

func (ps *process) kill() {
	ps.signal(syscall.SIGKILL)
	<-ps.done
}

// freeze stops the process and waits until all its threads stand still: the signal alone returns before, and on a busy machine a thread that
// has not seen it yet may go on to answer a request.
func (ps *process) freeze() {
	ps.t.Helper()
	ps.signal(syscall.SIGSTOP)
	eventually(ps.t, ps.name+" stands still", ps.stopped)
}

// stopped reports whether every thread of the process is stopped, or the process has ended.
func (ps *process) stopped() bool {
	select {
	case <-ps.done:
		return true
	default:
	}
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", ps.cmd.Process.Pid))
	if err != nil {
		ps.t.Fatal(err)
	}
	for _, path := range stats {
		raw, err := os.ReadFile(path)
		if err != nil {
			// The thread has ended meanwhile.
			continue
		}
		// The state follows the name, which stands in brackets.
		if rest := string(raw[bytes.LastIndexByte(raw, ')')+1:]); !strings.HasPrefix(rest, " T") {
			return false
		}
	}
	return true
}

func (ps *process) thaw() { ps.signal(syscall.SIGCONT) }

// terminate asks the process to stop and waits until it has.
func (ps *process) terminate() {
	ps.signal(syscall.SIGTERM)
	ps.awaitExit()
}

func (ps *process) awaitExit() {
	ps.t.Helper()
	select {
	case <-ps.done:
	case <-time.After(patience):
		ps.t.Fatalf("%s did not stop", ps.name)
	}
}

func (ps *process) readLog() string {
	raw, err := os.ReadFile(ps.log.Name())
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}

func (ps *process) printLog() {
	lines := strings.Split(ps.readLog(), "\n")
	if len(lines) > 30 {
		lines = lines[len(lines)-30:]
	}
	ps.t.Logf("log of %s:\n%s", ps.name, strings.Join(lines, "\n"))
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("still not: %s", what)
		}
		time.Sleep(pollEvery)
	}
}

// control calls a switch of a stand-in.
func control(t *testing.T, method, address, path string, body, result any) {
	t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	rq, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	rp, err := http.DefaultClient.Do(rq)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rp.Body.Close() }()
	if rp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(rp.Body)
		t.Fatalf("%s %s: %d %s", method, path, rp.StatusCode, text)
	}
	if result == nil {
		return
	}
	if err := json.NewDecoder(rp.Body).Decode(result); err != nil {
		t.Fatal(err)
	}
}

// ask is one request of a caller.
type ask struct {
	method  string
	path    string
	body    string
	headers map[string]string
	// timeout is how long the caller waits; 0 means patience.
	timeout time.Duration
}

// reply is what a caller got.
type reply struct {
	status  int
	outcome string
	session string
	header  http.Header
	body    []byte
	err     error
	took    time.Duration
}

// execution returns what the endpoint said about the request.
func (rp reply) execution(t *testing.T) standin.Execution {
	t.Helper()
	var ex standin.Execution
	if err := json.Unmarshal(rp.body, &ex); err != nil {
		t.Fatalf("answer %d %q is not an execution: %v", rp.status, rp.body, err)
	}
	return ex
}

// problem returns the body of an answer that the system itself gave.
func (rp reply) problem(t *testing.T) caller.Status {
	t.Helper()
	var st caller.Status
	if err := json.Unmarshal(rp.body, &st); err != nil {
		t.Fatalf("answer %d %q is not a status: %v", rp.status, rp.body, err)
	}
	return st
}

var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one request to an address of callers.
func send(address string, ak ask) reply {
	timeout := ak.timeout
	if timeout == 0 {
		timeout = patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, ak.method, "http://"+address+ak.path, strings.NewReader(ak.body))
	if err != nil {
		return reply{err: err}
	}
	rq.Header.Set(caller.HeaderService, service)
	for name, value := range ak.headers {
		rq.Header.Set(name, value)
	}
	began := time.Now()
	rp, err := callerClient.Do(rq)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = rp.Body.Close() }()
	body, err := io.ReadAll(rp.Body)
	return reply{status: rp.StatusCode, outcome: rp.Header.Get(caller.HeaderOutcome), session: rp.Header.Get(caller.HeaderSession), header: rp.Header, body: body, err: err, took: time.Since(began)}
}

// unrepeatable returns a request that may run once.
func unrepeatable(id string) ask {
	return ask{method: http.MethodPost, path: "/reserve", body: `{"boards":12}`, headers: map[string]string{
		caller.HeaderCaller: "clerk7", caller.HeaderRequestID: id, caller.HeaderRepeat: caller.RepeatNo,
	}}
}

// with returns the request with one more header.
func (ak ask) with(name, value string) ask {
	headers := map[string]string{name: value}
	for key, old := range ak.headers {
		if key != name {
			headers[key] = old
		}
	}
	ak.headers = headers
	return ak
}

// deadline returns the header value for a time from now.
func deadline(after time.Duration) string {
	return fmt.Sprint(time.Now().Add(after).UnixMilli())
}
