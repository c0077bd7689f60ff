package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxQueuedLines is the number of lines that are buffered for a slow reader, about 2 MB.
const maxQueuedLines = 8192

// Output writes lines to a writer in its own goroutine, so that a slow log reader does not block requests.
// When the buffer is full, lines are dropped and counted. The count is written before the next line.
type Output struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	closed  chan struct{}
}

// NewOutput starts an Output that writes to wr.
func NewOutput(wr io.Writer) *Output {
	ou := &Output{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), closed: make(chan struct{})}
	go ou.run(wr)
	return ou
}

// Write queues a copy of the line, or drops and counts it if the buffer is full. It never blocks or fails.
func (ou *Output) Write(line []byte) (int, error) {
	select {
	case ou.lines <- append([]byte(nil), line...):
	default:
		ou.dropped.Add(1)
	}
	return len(line), nil
}

func (ou *Output) run(wr io.Writer) {
	defer close(ou.closed)
	for {
		select {
		case line := <-ou.lines:
			ou.writeLine(wr, line)
		case <-ou.stop:
			for len(ou.lines) > 0 {
				ou.writeLine(wr, <-ou.lines)
			}
			return
		}
	}
}

// writeLine writes the number of dropped lines, if any, and the line. Write errors are ignored, since there is nowhere to report them.
func (ou *Output) writeLine(wr io.Writer, line []byte) {
	if dropped := ou.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(wr, `{"event":%d,"level":"warn","msg":%q,"lines":%d}`+"\n", LinesDropped.ID, LinesDropped.Message, dropped)
	}
	_, _ = wr.Write(line)
}

// Close writes the queued lines and stops the goroutine.
func (ou *Output) Close() {
	close(ou.stop)
	<-ou.closed
}

// NewStreamLogger returns a rate-limited logger that writes JSON lines to ou. Each line carries the process name.
func NewStreamLogger(name string, ou *Output, level zapcore.Level) *Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.AddSync(ou), level)
	return &Logger{zl: zap.New(core).With(zap.String("process", name)), limiter: &rateLimiter{}}
}

// Limits of the log.
const (
	// maxLinesPerSecond limits the lines of one event per second. At about 300 bytes a line, 400 lines are 120 KB.
	maxLinesPerSecond = 400
	// eventIDLimit is greater than every event ID.
	eventIDLimit = 1000
)

// rateLimiter limits the lines of each event per second. Its arrays are indexed by event ID.
type rateLimiter struct {
	mu      sync.Mutex // guards the fields below
	second  [eventIDLimit]int64
	lines   [eventIDLimit]int64
	dropped [eventIDLimit]int64
}

// allow reports whether a line of the event may be written at now. On the first call in a new second, it also returns the number of lines
// dropped since the last report.
func (rl *rateLimiter) allow(id ID, now time.Time) (dropped int64, ok bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if second := now.Unix(); second != rl.second[id] {
		dropped, rl.dropped[id] = rl.dropped[id], 0
		rl.second[id], rl.lines[id] = second, 0
	}
	if rl.lines[id] >= maxLinesPerSecond {
		rl.dropped[id]++
		return dropped, false
	}
	rl.lines[id]++
	return dropped, true
}
