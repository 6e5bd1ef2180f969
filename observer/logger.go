// Package observer provides a daemon's structured log and its metrics.
package observer

import (
	"io"

	"github.com/phuslu/log"
)

// Logger writes log lines as JSON, each with the daemon's host name. Text
// messages start with the fixed prefix of the part that logs them, such as
// "relayer: ".
type Logger struct {
	logger *log.Logger
}

// NewLogger returns a logger that writes to out. Level is the lowest level that
// is written: debug, info, warn or error.
func NewLogger(out io.Writer, level, host string) *Logger {
	return &Logger{logger: &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("host", host).Value(),
		Writer:     &log.IOWriter{Writer: out},
	}}
}

// Infof logs normal operation.
func (l *Logger) Infof(format string, args ...any) {
	l.logger.Info().Msgf(format, args...)
}

// Warnf logs a condition that an operator may want to investigate.
func (l *Logger) Warnf(format string, args ...any) {
	l.logger.Warn().Msgf(format, args...)
}

// Errorf logs a fault that must not occur.
func (l *Logger) Errorf(format string, args ...any) {
	l.logger.Error().Msgf(format, args...)
}

// LogDecision logs a decision at level info.
func (l *Logger) LogDecision(d Decision) {
	entry := l.logger.Info()
	if entry == nil {
		return
	}
	entry = entry.Str("part", d.Part)
	if d.Request != "" {
		entry = entry.Str("request", d.Request)
	}
	entry = entry.Str("outcome", d.Outcome)
	for _, field := range d.Inputs {
		switch value := field.Value.(type) {
		case string:
			entry = entry.Str(field.Name, value)
		case int:
			entry = entry.Int(field.Name, value)
		case int64:
			entry = entry.Int64(field.Name, value)
		case bool:
			entry = entry.Bool(field.Name, value)
		default:
			entry = entry.Any(field.Name, value)
		}
	}
	entry.Msg("")
}
