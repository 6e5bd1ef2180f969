package elector

// Kind classifies an Error.
type Kind string

// KindInvalid marks a row that is not well formed.
const KindInvalid Kind = "invalid"

// Error reports a row that can't be decoded. Op names the operation and the
// row's key.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "elector: " + e.Op + ": " + e.Text
}
