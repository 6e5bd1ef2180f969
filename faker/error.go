package faker

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind classifies an error of this package. A kind that is an SQLSTATE is sent
// to the client as the code of the error response.
type Kind string

// Kinds of errors. All but KindUnavailable and KindConflict are SQLSTATEs, which
// statements on a backend server fail with. KindUnavailable means that a
// stand-in can't listen on its address; KindConflict is unused.
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

// Error carries the operation that failed, the kind of the failure and its
// cause. Constructors, statements and changes of a log return it.
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

func newError(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

// stateError returns an error for an operation that the role or term of the
// server does not allow.
func stateError(op, format string, args ...any) error {
	return newError(op, KindState, format, args...)
}

// kindOf returns the kind of an error of this package, or KindInvalid for any
// other error.
func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInvalid
}
