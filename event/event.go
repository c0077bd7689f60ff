// Package event writes numbered log events and holds their catalogue.
package event

import (
	"fmt"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ID is the stable number of an event; numbers are never used again for another meaning.
type ID int

// Kind describes one sort of event.
type Kind struct {
	// ID is the number by which an operator looks the event up.
	ID ID
	// Message is the fixed text of the log line.
	Message string
	// Level is the severity at which it is logged.
	Level zapcore.Level
	// Action tells the operator what to do.
	Action string
}

// Logger writes events through zap.
type Logger struct {
	zl *zap.Logger
	// limiter is nil where nothing is left out.
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

// NewProduction returns a logger that writes JSON lines to standard error, each with the name of the process.
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

// Emit writes one event with its number and fields.
func (lg *Logger) Emit(kd Kind, fields ...zap.Field) {
	ce := lg.zl.Check(kd.Level, kd.Message)
	if ce == nil {
		return
	}
	if lg.limiter != nil {
		left, ok := lg.limiter.allow(kd.ID, ce.Time)
		if left > 0 {
			lg.zl.Warn(LinesDropped.Message, zap.Int64("lines", left), zap.Int("of", int(kd.ID)), zap.Int("event", int(LinesDropped.ID)))
		}
		if !ok {
			return
		}
	}
	ce.Write(append(fields, zap.Int("event", int(kd.ID)))...)
}

// Sync flushes buffered lines.
func (lg *Logger) Sync() {
	// Standard error cannot always be synced, and nothing is lost when it cannot.
	_ = lg.zl.Sync()
}

// Markdown returns the catalogue as the page docs/EVENTS.md.
func Markdown() string {
	var sb strings.Builder
	sb.WriteString("# Log events\n\nGenerated from package `event` by `go test ./event -update`. Every log line carries its number in the field `event`.\n\n")
	sb.WriteString("| event | level | message | what to do |\n| --- | --- | --- | --- |\n")
	for _, kd := range Catalogue {
		fmt.Fprintf(&sb, "| %d | %s | %s | %s |\n", kd.ID, kd.Level, kd.Message, kd.Action)
	}
	return sb.String()
}
