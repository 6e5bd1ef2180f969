package decider

// Kind tells errors of this package apart.
type Kind string

// Kinds of errors.
const (
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "decider: " + e.Op + ": " + e.Text
}
