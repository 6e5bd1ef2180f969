package scheduler

import (
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors and where they arise.
const (
	// KindInvalid: the name of a rank is unknown or malformed.
	KindInvalid Kind = "invalid"
	// KindOverload: the queue is full, or the work would start after its
	// deadline.
	KindOverload Kind = "overload"
)

// Error reports an invalid rank or work that the queue refused. Refused work
// did not run.
type Error struct {
	Op   string
	Kind Kind
	Text string
	// RetryAfter is the time in milliseconds after which refused work may be
	// submitted again.
	RetryAfter timekeeper.Millis
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "scheduler: " + e.Op + ": " + e.Text
}
