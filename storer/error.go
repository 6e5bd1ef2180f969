package storer

import (
	"github.com/pkg/errors"
)

// Kind is the class of an Error.
type Kind string

// Kinds of Error, by the result of the request.
const (
	// KindDown: the platform did not answer, or failed; a write may have taken
	// effect.
	KindDown Kind = "down"
	// KindMissing: there is no such record or object.
	KindMissing Kind = "missing"
	// KindConflict: the record does not have the expected version.
	KindConflict Kind = "conflict"
	// KindInvalid: the request is invalid, or the response can't be decoded.
	KindInvalid Kind = "invalid"
)

// Error is a failed request to the platform.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "storer: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Is reports whether err is or wraps an Error of a kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
