package configurer

import (
	"strings"
)

// Kind tells errors of this package apart.
type Kind string

// Kinds of errors.
const (
	KindInvalid Kind = "invalid"
	KindFile    Kind = "file"
)

// Error is the error type of this package. It holds all faults found.
type Error struct {
	Op     string
	Kind   Kind
	Faults []string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "settings: " + e.Op + ": " + strings.Join(e.Faults, "\n")
}
