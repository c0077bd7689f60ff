package event

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// TestSlowReaderDoesNotBlock guards against a logger that blocks its callers when the log reader stops reading. The pipe fills up after some
// lines; the remaining lines must be dropped and counted without blocking.
func TestSlowReaderDoesNotBlock(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	ou := NewOutput(writer)
	lg := New(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(ou), zapcore.InfoLevel)))
	const lines = 4 * maxQueuedLines
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			lg.Emit(ProcessStarted, zap.String("text", strings.Repeat("x", 100)))
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("logger blocks while the pipe is not read")
	}
	if ou.dropped.Load() == 0 {
		t.Fatal("no lines were dropped, so the pipe was not full")
	}
	go func() {
		ou.Close()
		writer.Close()
	}()
	text, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(text, []byte(LinesDropped.Message)) {
		t.Fatal("log does not contain the number of dropped lines")
	}
}

// TestRateLimitPerEvent checks that lines of an event above its limit are dropped and counted, that other events are not affected, and that the
// count is reported once.
func TestRateLimitPerEvent(t *testing.T) {
	rl := &rateLimiter{}
	now := time.Unix(1_700_000_000, 0)
	written := 0
	for range 3 * maxLinesPerSecond {
		if _, ok := rl.allow(JobRefused.ID, now); ok {
			written++
		}
	}
	if written != maxLinesPerSecond {
		t.Fatalf("%d lines allowed in one second, want %d", written, maxLinesPerSecond)
	}
	if _, ok := rl.allow(JobAccepted.ID, now); !ok {
		t.Fatal("rate limit of one event blocks another event")
	}
	dropped, ok := rl.allow(JobRefused.ID, now.Add(time.Second))
	if !ok || dropped != 2*maxLinesPerSecond {
		t.Fatalf("%d lines reported as dropped, want %d", dropped, 2*maxLinesPerSecond)
	}
	if dropped, _ = rl.allow(JobRefused.ID, now.Add(time.Second)); dropped != 0 {
		t.Fatal("number of dropped lines reported twice")
	}
}
