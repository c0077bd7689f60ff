package tcp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestCallContinuesWhileResponseArrives checks that a large response over a slow link may take several times the idle timeout.
func TestCallContinuesWhileResponseArrives(t *testing.T) {
	const timeout, chunks = 300 * time.Millisecond, 10
	hang := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		for range chunks {
			_, _ = wr.Write(make([]byte, 100))
			wr.(http.Flusher).Flush()
			time.Sleep(timeout / 3)
		}
		if rq.URL.Path == "/hang" {
			<-hang
		}
	}))
	defer srv.Close()
	defer close(hang)
	client := NewClient()
	read := func(path string) (int, error) {
		ctx, cancel := WithIdleTimeout(t.Context(), timeout)
		defer cancel()
		rq, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		rp, err := client.Do(rq)
		if err != nil {
			return 0, err
		}
		defer rp.Body.Close()
		raw, err := io.ReadAll(rp.Body)
		return len(raw), err
	}
	if got, err := read("/"); got != 100*chunks || err != nil {
		t.Errorf("%d bytes, %v", got, err)
	}
	if _, err := read("/hang"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a stalled response ended with %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	child, done := WithIdleTimeout(ctx, time.Hour)
	defer done()
	cancel()
	<-child.Done()
	if !errors.Is(child.Err(), context.Canceled) {
		t.Errorf("ended with its parent, error %v", child.Err())
	}
}

// Guards against a timeout that expires before the call has its timer, as on a busy machine: its callback raced with the assignment of the timer.
func TestIdleTimeoutThatExpiresAtOnce(t *testing.T) {
	for range 2000 {
		ctx, cancel := WithIdleTimeout(context.Background(), time.Nanosecond)
		<-ctx.Done()
		if err := ctx.Err(); err != context.DeadlineExceeded {
			t.Fatalf("the call ended with %v, want %v", err, context.DeadlineExceeded)
		}
		cancel()
	}
}
