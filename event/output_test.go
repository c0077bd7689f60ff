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

// TestSlowReaderBlocksNobody: a pipe that nobody reads is full after some lines; all others are written without waiting, and counted.
func TestSlowReaderBlocksNobody(t *testing.T) {
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
		t.Fatal("the log blocks while nobody reads")
	}
	if ou.dropped.Load() == 0 {
		t.Fatal("nothing was left out, so the pipe was not full")
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
		t.Fatal("the lines that were left out are not counted in the log")
	}
}

// TestEventThatComesTooOftenIsCounted: the others are not held up by it.
func TestEventThatComesTooOftenIsCounted(t *testing.T) {
	bn := &rateLimiter{}
	now := time.Unix(1_700_000_000, 0)
	written := 0
	for range 3 * maxLinesPerSecond {
		if _, ok := bn.allow(JobRefused.ID, now); ok {
			written++
		}
	}
	if written != maxLinesPerSecond {
		t.Fatalf("%d lines in a second", written)
	}
	if _, ok := bn.allow(JobAccepted.ID, now); !ok {
		t.Fatal("another event is held up")
	}
	left, ok := bn.allow(JobRefused.ID, now.Add(time.Second))
	if !ok || left != 2*maxLinesPerSecond {
		t.Fatalf("%d were left out", left)
	}
	if left, _ = bn.allow(JobRefused.ID, now.Add(time.Second)); left != 0 {
		t.Fatal("told twice")
	}
}
