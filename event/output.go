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

// maxQueuedLines is how many lines wait at most for a slow reader; some 2 MB.
const maxQueuedLines = 8192

// Output hands lines to a writer from a goroutine of its own, so that a slow reader never holds a request up.
// Lines that find no room are counted, and the count is written once there is room again.
type Output struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	closed  chan struct{}
}

// NewOutput returns an output to a writer.
func NewOutput(wr io.Writer) *Output {
	ou := &Output{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), closed: make(chan struct{})}
	go ou.run(wr)
	return ou
}

// Write takes a line, or counts it as dropped.
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

// writeLine writes a line; a writer that fails leaves nobody to tell.
func (ou *Output) writeLine(wr io.Writer, line []byte) {
	if dropped := ou.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(wr, `{"event":%d,"level":"warn","msg":%q,"lines":%d}`+"\n", LinesDropped.ID, LinesDropped.Message, dropped)
	}
	_, _ = wr.Write(line)
}

// Close writes what waits.
func (ou *Output) Close() {
	close(ou.stop)
	<-ou.closed
}

// NewStreamLogger returns a logger that writes JSON lines to an output, each with the name of the process.
func NewStreamLogger(name string, ou *Output, level zapcore.Level) *Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.AddSync(ou), level)
	return &Logger{zl: zap.New(core).With(zap.String("process", name)), limiter: &rateLimiter{}}
}

// Bounds of the log.
const (
	// maxLinesPerSecond is how many lines of one event are written in a second; at some 300 bytes a line that is 120 KB.
	maxLinesPerSecond = 400
	// eventIDLimit is above every event's number.
	eventIDLimit = 1000
)

// rateLimiter counts the lines of each event in the second under way.
type rateLimiter struct {
	mu     sync.Mutex // guards what follows
	second [eventIDLimit]int64
	lines  [eventIDLimit]int64
	dropped   [eventIDLimit]int64
}

// allow reports whether a line may be written, and how many of the event were left out in the seconds before.
func (bn *rateLimiter) allow(id ID, now time.Time) (left int64, ok bool) {
	bn.mu.Lock()
	defer bn.mu.Unlock()
	if second := now.Unix(); second != bn.second[id] {
		left, bn.dropped[id] = bn.dropped[id], 0
		bn.second[id], bn.lines[id] = second, 0
	}
	if bn.lines[id] >= maxLinesPerSecond {
		bn.dropped[id]++
		return left, false
	}
	bn.lines[id]++
	return left, true
}
