package storer

import (
	"github.com/pkg/errors"
)

// Kind tells errors of this package apart.
type Kind string

// Kinds of errors.
const (
	// KindDown: no answer; a write may have taken effect.
	KindDown Kind = "down"
	// KindMissing: there is no such record or object.
	KindMissing Kind = "missing"
	// KindConflict: the record is of another version.
	KindConflict Kind = "conflict"
	// KindInvalid: the answer can't be read.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
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

// Is reports whether err is an error of this package of a kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
