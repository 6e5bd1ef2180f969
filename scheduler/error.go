package scheduler

import (
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Kind tells errors of this package apart.
type Kind string

// Kinds of errors.
const (
	KindInvalid  Kind = "invalid"
	KindOverload Kind = "overload"
)

// Error is the error type of this package. Work refused with it was not run.
type Error struct {
	Op   string
	Kind Kind
	Text string
	// RetryAfter is the time after which the work may be offered again.
	RetryAfter timekeeper.Millis
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "scheduler: " + e.Op + ": " + e.Text
}
