package faker

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind tells errors of this package apart. Where an error reaches a caller of
// the stand-in, the kind is its SQLSTATE.
type Kind string

// Kinds of errors, as SQLSTATEs.
const (
	KindSyntax      Kind = "42601"
	KindUnsupported Kind = "0A000"
	KindNoTable     Kind = "42P01"
	KindNoColumn    Kind = "42703"
	KindUnique      Kind = "23505"
	KindReadOnly    Kind = "25006"
	KindState       Kind = "55000"
	KindAborted     Kind = "25P02"
	KindDeadlock    Kind = "40P01"
	KindCancelled   Kind = "57014"
	KindConnections Kind = "53300"
	KindInvalid     Kind = "22023"
	KindUnavailable Kind = "unavailable"
	KindConflict    Kind = "conflict"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func fail(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

func refused(op, format string, args ...any) error {
	return fail(op, KindState, format, args...)
}

// kindOf returns the kind of an error, or KindInvalid for foreign ones.
func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInvalid
}
