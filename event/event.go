// Package event defines the catalogue of numbered log events and writes them.
package event

import (
	"fmt"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ID is the stable number of an event. A number is never reused for another meaning.
type ID int

// Kind describes one type of event.
type Kind struct {
	// ID is the number under which operators look up the event.
	ID ID
	// Message is the fixed text of the log line.
	Message string
	// Level is the severity of the log line.
	Level zapcore.Level
	// Action is the advice for operators.
	Action string
}

// Logger writes events through zap.
type Logger struct {
	zl *zap.Logger
	// limiter limits the lines of each event; nil disables the limit.
	limiter *rateLimiter
}

// New returns a logger that writes through zl.
func New(zl *zap.Logger) *Logger {
	return &Logger{zl: zl}
}

// Nop returns a logger that drops every event.
func Nop() *Logger {
	return New(zap.NewNop())
}

// NewProduction returns a logger that writes JSON lines to standard error. Each line carries the process name.
func NewProduction(name string) (*Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	zl, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("build logger: %w", err)
	}
	return New(zl.With(zap.String("process", name))), nil
}

// Emit writes an event with its number and fields. The first line after a rate-limited second is preceded by the number of dropped lines.
func (lg *Logger) Emit(kd Kind, fields ...zap.Field) {
	ce := lg.zl.Check(kd.Level, kd.Message)
	if ce == nil {
		return
	}
	if lg.limiter != nil {
		dropped, ok := lg.limiter.allow(kd.ID, ce.Time)
		if dropped > 0 {
			lg.zl.Warn(LinesDropped.Message, zap.Int64("lines", dropped), zap.Int("of", int(kd.ID)), zap.Int("event", int(LinesDropped.ID)))
		}
		if !ok {
			return
		}
	}
	ce.Write(append(fields, zap.Int("event", int(kd.ID)))...)
}

// Sync flushes buffered lines.
func (lg *Logger) Sync() {
	// Standard error does not always support Sync. Nothing is lost if it fails, so the error is ignored.
	_ = lg.zl.Sync()
}

// Markdown renders the catalogue as docs/EVENTS.md.
func Markdown() string {
	var sb strings.Builder
	sb.WriteString("# Log events\n\nGenerated from package `event` by `go test ./event -update`. Every log line carries its number in the field `event`.\n\n")
	sb.WriteString("| event | level | message | what to do |\n| --- | --- | --- | --- |\n")
	for _, kd := range Catalogue {
		fmt.Fprintf(&sb, "| %d | %s | %s | %s |\n", kd.ID, kd.Level, kd.Message, kd.Action)
	}
	return sb.String()
}
