package elector

// Kind tells errors of this package apart.
type Kind string

// KindInvalid marks a row that is not well formed.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "elector: " + e.Op + ": " + e.Text
}
