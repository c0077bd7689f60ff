package table

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// slowFeed answers each read after a while, with an error if it has one.
type slowFeed struct {
	takes time.Duration
	err   error
}

func (sf *slowFeed) Changes(ctx context.Context, _ Version, _ []TableName) (Changes, error) {
	select {
	case <-time.After(sf.takes):
	case <-ctx.Done():
	}
	return Changes{}, sf.err
}

func (sf *slowFeed) Members(context.Context) ([]Member, error) { return nil, sf.err }

// An instance that has its snapshot from a peer serves before its own first read of the platform has ended. It told callers of unrepeatable
// requests that the platform does not answer, 29 ms before the platform did: nothing is known against it until a read fails.
func TestPlatformIsNotCalledDownBeforeAReadHasFailed(t *testing.T) {
	for _, failure := range []error{nil, errors.New("no answer")} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			wt := NewWatcher(&slowFeed{takes: time.Second, err: failure})
			go wt.Run(ctx)
			time.Sleep(500 * time.Millisecond)
			if !wt.Reached() || wt.Heard() {
				t.Errorf("before the first read has ended: reached %t, heard %t", wt.Reached(), wt.Heard())
			}
			time.Sleep(time.Second)
			if want := failure == nil; wt.Reached() != want || wt.Heard() != want {
				t.Errorf("after a read with %v: reached %t, heard %t", failure, wt.Reached(), wt.Heard())
			}
			cancel()
			synctest.Wait()
		})
	}
}
