package tcp

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/aspenseam/aspenseam/clock"
	"golang.org/x/sys/unix"
)

// Timeouts after which a connection counts as dead. A peer's kernel acknowledges TCP segments within milliseconds even if its responses are
// slow, so a slow store causes no false alarms.
const (
	// keepAliveIdle is how long a connection may be without traffic before it is probed, keepAliveInterval the interval between two probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveProbes is how many probes may remain unanswered. An idle connection is thus detected as dead after about three seconds.
	keepAliveProbes = 2
	// userTimeout is how long written data may remain unacknowledged.
	userTimeout = 3 * time.Second
)

var (
	keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
	// processStart is the origin of a monotonic clock that also advances while the process or the machine is suspended.
	processStart = clock.Now()
)

func sinceStart() time.Duration { return clock.Now().Sub(processStart) }

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// conn is a connection that writes nothing after the deadline of its current call.
type conn struct {
	net.Conn
	tr      *Transport
	address string
	// deadline is the current call's deadline, 0 for none. lastReadAt is when data was last read. Both are durations since processStart.
	deadline, lastReadAt atomic.Int64
	// kind is the kind of the current call, for the meter.
	kind atomic.Pointer[string]
	// idleCtx is the current call's context, nil if the call has no idle timeout.
	idleCtx atomic.Pointer[idleContext]
	// responseStarted is set when the response to the current call has begun.
	responseStarted atomic.Bool
	closeOnce       sync.Once
}

// assign assigns the connection to a call.
func (cn *conn) assign(ctx context.Context) {
	if cn == nil {
		return
	}
	deadlineNanos := int64(0)
	if deadline, ok := ctx.Deadline(); ok {
		deadlineNanos = int64(sinceStart() + time.Until(deadline))
	}
	idleCtx, _ := ctx.Value(idleContextKey{}).(*idleContext)
	cn.idleCtx.Store(idleCtx)
	cn.responseStarted.Store(false)
	cn.deadline.Store(deadlineNanos)
}

// idle reports whether no call waits for a response on the connection.
func (cn *conn) idle() bool { return cn.responseStarted.Load() }

// Write writes data of the current call. It returns ErrDeadlinePassed after the call's deadline.
func (cn *conn) Write(data []byte) (int, error) {
	if deadline := cn.deadline.Load(); deadline != 0 && int64(sinceStart()) > deadline {
		return 0, ErrDeadlinePassed
	}
	count, err := cn.Conn.Write(data)
	cn.countBytes(count, 0)
	return count, err
}

// Read reads data of a response.
func (cn *conn) Read(buf []byte) (int, error) {
	count, err := cn.Conn.Read(buf)
	if count > 0 {
		cn.countBytes(0, count)
		if idleCtx := cn.idleCtx.Load(); idleCtx != nil {
			idleCtx.extend()
		}
		cn.lastReadAt.Store(int64(sinceStart()))
		cn.responseStarted.Store(true)
	}
	return count, err
}

// Close closes the connection with a reset.
func (cn *conn) Close() error {
	cn.closeOnce.Do(func() { cn.tr.remove(cn) })
	return cn.Conn.Close()
}
