// Package observer writes logs and keeps metrics.
package observer

import (
	"io"

	"github.com/phuslu/log"
)

// Logger writes short lines, each with the fixed prefix of the part it comes
// from.
type Logger struct {
	logger *log.Logger
}

// NewLogger returns a logger to a writer at a level: debug, info, warn or
// error.
func NewLogger(out io.Writer, level, host string) *Logger {
	return &Logger{logger: &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("host", host).Value(),
		Writer:     &log.IOWriter{Writer: out},
	}}
}

// Infof writes a line about the normal course of things.
func (l *Logger) Infof(format string, args ...any) {
	l.logger.Info().Msgf(format, args...)
}

// Warnf writes a line about something an operator may want to look at.
func (l *Logger) Warnf(format string, args ...any) {
	l.logger.Warn().Msgf(format, args...)
}

// Errorf writes a line about something that must not happen.
func (l *Logger) Errorf(format string, args ...any) {
	l.logger.Error().Msgf(format, args...)
}

// LogDecision writes the line of a decision.
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
