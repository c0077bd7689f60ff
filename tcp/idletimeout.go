package tcp

import (
	"context"
	"sync"
	"time"
)

// quietMost bounds a call that goes on receiving, in multiples of the time for which it may receive nothing: 500 KB take 2.1 s on a link of
// 250 KB/s that nothing else uses.
const maxIdleTimeouts = 6

type idleContextKey struct{}

// quiet is a context that ends once nothing has been received for a while. It implements context.Context.
type idleContext struct {
	context.Context
	timeout  time.Duration
	deadline time.Time
	done     chan struct{}
	timer    *time.Timer
	mu       sync.Mutex // guards err
	err      error
}

// WithIdleTimeout returns a context for a call that is given up once nothing of its answer has come for the span, instead of at a fixed time: a
// large answer on a narrow link takes long, and asking for it again would take as long once more.
func WithIdleTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ic := &idleContext{Context: ctx, timeout: timeout, deadline: time.Now().Add(maxIdleTimeouts * timeout), done: make(chan struct{})}
	ic.timer = time.AfterFunc(timeout, func() { ic.finish(context.DeadlineExceeded) })
	stop := context.AfterFunc(ctx, func() { ic.finish(ctx.Err()) })
	return ic, func() {
		stop()
		ic.finish(context.Canceled)
	}
}

// end ends the context.
func (ic *idleContext) finish(err error) {
	ic.timer.Stop()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.err == nil {
		ic.err = err
		close(ic.done)
	}
}

// heard notes that something was received.
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
