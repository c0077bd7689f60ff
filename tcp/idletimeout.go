package tcp

import (
	"context"
	"sync"
	"time"
)

// maxIdleTimeouts limits the total duration of a call that keeps receiving data, in multiples of its idle timeout. 500 KB take 2.1 s on an
// otherwise unused link of 250 KB/s.
const maxIdleTimeouts = 6

type idleContextKey struct{}

// idleContext is a context that ends when no data has been received for the idle timeout. It implements context.Context.
type idleContext struct {
	context.Context
	timeout  time.Duration
	deadline time.Time
	done     chan struct{}
	mu       sync.Mutex // guards the fields below
	timer    *time.Timer
	err      error
}

// WithIdleTimeout returns a context for a call that is cancelled when no data of its response has arrived for the timeout, instead of at a fixed
// deadline. A large response takes long on a slow link, and a retry would take just as long.
func WithIdleTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ic := &idleContext{Context: ctx, timeout: timeout, deadline: time.Now().Add(maxIdleTimeouts * timeout), done: make(chan struct{})}
	// The timeout may expire before its timer is assigned.
	ic.mu.Lock()
	ic.timer = time.AfterFunc(timeout, func() { ic.finish(context.DeadlineExceeded) })
	ic.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { ic.finish(ctx.Err()) })
	return ic, func() {
		stop()
		ic.finish(context.Canceled)
	}
}

// finish ends the context with the given error, unless it has already ended.
func (ic *idleContext) finish(err error) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.timer.Stop()
	if ic.err == nil {
		ic.err = err
		close(ic.done)
	}
}

// extend restarts the idle timeout after data was received, up to the maximum duration of the call.
func (ic *idleContext) extend() {
	remaining := min(ic.timeout, time.Until(ic.deadline))
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.err == nil && remaining > 0 {
		ic.timer.Reset(remaining)
	}
}

// Deadline implements context.Context.
func (ic *idleContext) Deadline() (time.Time, bool) { return ic.Context.Deadline() }

// Done implements context.Context.
func (ic *idleContext) Done() <-chan struct{} { return ic.done }

// Err implements context.Context.
func (ic *idleContext) Err() error {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.err
}

// Value implements context.Context.
func (ic *idleContext) Value(key any) any {
	if key == (idleContextKey{}) {
		return ic
	}
	return ic.Context.Value(key)
}
