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

// Times after which a connection counts as dead. Peers answer at the level of TCP within milliseconds even where their answers are slow,
// so a slow store raises no false alarm.
const (
	// probeAfter is how long a connection may be without traffic before it is probed, probeEvery the pause between two probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// probeMost is how many probes may stay unanswered: a connection that nothing uses is dead after some three seconds.
	keepAliveProbes = 2
	// unackedMost is how long what was written may stay without an acknowledgement.
	userTimeout = 3 * time.Second
)

var (
	keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
	// start is the origin of a steady clock that goes on while the process stands still.
	processStart = clock.Now()
)

func sinceStart() time.Duration { return clock.Now().Sub(processStart) }

// setUserTimeout bounds how long bytes may stay unacknowledged.
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

// conn is a connection that writes nothing once the time of its call is over.
type conn struct {
	net.Conn
	tr      *Transport
	address string
	// until is the end of the call's time by the steady clock, 0 for none; heard is when something was read last.
	deadline, lastReadAt atomic.Int64
	// kind names the newest call for the meter.
	kind atomic.Pointer[string]
	// quiet is the newest call's, nil if it has a fixed time.
	idleCtx atomic.Pointer[idleContext]
	// answered is set once the answer of the newest call has begun.
	answered  atomic.Bool
	closeOnce sync.Once
}

// take gives the connection to a call.
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
	cn.answered.Store(false)
	cn.deadline.Store(deadlineNanos)
}

// unused reports whether no call waits for an answer on the connection.
func (cn *conn) idle() bool { return cn.answered.Load() }

// Write sends bytes of a call, unless its time is over.
func (cn *conn) Write(raw []byte) (int, error) {
	if deadline := cn.deadline.Load(); deadline != 0 && int64(sinceStart()) > deadline {
		return 0, ErrDeadlinePassed
	}
	count, err := cn.Conn.Write(raw)
	cn.countBytes(count, 0)
	return count, err
}

// Read takes bytes of an answer.
func (cn *conn) Read(buf []byte) (int, error) {
	count, err := cn.Conn.Read(buf)
	if count > 0 {
		cn.countBytes(0, count)
		if idleCtx := cn.idleCtx.Load(); idleCtx != nil {
			idleCtx.extend()
		}
		cn.lastReadAt.Store(int64(sinceStart()))
		cn.answered.Store(true)
	}
	return count, err
}

// Close resets the connection.
func (cn *conn) Close() error {
	cn.closeOnce.Do(func() { cn.tr.remove(cn) })
	return cn.Conn.Close()
}
