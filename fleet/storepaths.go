package fleet

import (
	"context"
	"sync"
)

// directPath is the path of the calls that this instance makes itself. The other paths to the store are the addresses of the peers
// that carry calls.
const directPath = ""

// storePaths ends the repeatable calls in flight on a path to the store once another call has shown that the path has failed. A feed
// call that stayed there would leave its table silent until its own timeout.
type storePaths struct {
	mu sync.Mutex // guards the fields below
	// alive holds a context for each path with calls, which ends when the path fails.
	alive  map[string]context.Context
	cancel map[string]context.CancelFunc
}

func newStorePaths() *storePaths {
	return &storePaths{alive: map[string]context.Context{}, cancel: map[string]context.CancelFunc{}}
}

// join returns a context for a call on a path. It ends with the given context, or when the path fails.
func (sp *storePaths) join(ctx context.Context, path string) (context.Context, context.CancelFunc) {
	sp.mu.Lock()
	alive, known := sp.alive[path]
	if !known {
		alive, sp.cancel[path] = context.WithCancel(context.Background())
		sp.alive[path] = alive
	}
	sp.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(alive, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// fail ends the calls in flight on a path. Later calls may use the path again.
func (sp *storePaths) fail(path string) {
	sp.mu.Lock()
	cancel, known := sp.cancel[path]
	delete(sp.alive, path)
	delete(sp.cancel, path)
	sp.mu.Unlock()
	if known {
		cancel()
	}
}
