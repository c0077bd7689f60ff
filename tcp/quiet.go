package tcp

import (
	"context"
	"sync"
	"time"
)

// quietMost bounds a call that goes on receiving, in multiples of the time for which it may receive nothing: 500 KB take 2.1 s on a link of
// 250 KB/s that nothing else uses.
const quietMost = 6

type quietKey struct{}

// quiet is a context that ends once nothing has been received for a while. It implements context.Context.
type quiet struct {
	context.Context
	span  time.Duration
	until time.Time
	done  chan struct{}
	timer *time.Timer
	mu    sync.Mutex // guards err
	err   error
}

// WithIdleTimeout returns a context for a call that is given up once nothing of its answer has come for the span, instead of at a fixed time: a
// large answer on a narrow link takes long, and asking for it again would take as long once more.
func WithIdleTimeout(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) {
	qt := &quiet{Context: ctx, span: span, until: time.Now().Add(quietMost * span), done: make(chan struct{})}
	qt.timer = time.AfterFunc(span, func() { qt.end(context.DeadlineExceeded) })
	stop := context.AfterFunc(ctx, func() { qt.end(ctx.Err()) })
	return qt, func() {
		stop()
		qt.end(context.Canceled)
	}
}

// end ends the context.
func (qt *quiet) end(err error) {
	qt.timer.Stop()
	qt.mu.Lock()
	defer qt.mu.Unlock()
	if qt.err == nil {
		qt.err = err
		close(qt.done)
	}
}

// heard notes that something was received.
func (qt *quiet) heard() {
	left := min(qt.span, time.Until(qt.until))
	qt.mu.Lock()
	defer qt.mu.Unlock()
	if qt.err == nil && left > 0 {
		qt.timer.Reset(left)
	}
}

// Deadline implements context.Context.
func (qt *quiet) Deadline() (time.Time, bool) { return qt.Context.Deadline() }

// Done implements context.Context.
func (qt *quiet) Done() <-chan struct{} { return qt.done }

// Err implements context.Context.
func (qt *quiet) Err() error {
	qt.mu.Lock()
	defer qt.mu.Unlock()
	return qt.err
}

// Value implements context.Context.
func (qt *quiet) Value(key any) any {
	if key == (quietKey{}) {
		return qt
	}
	return qt.Context.Value(key)
}
