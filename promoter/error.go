package promoter

// Kind tells errors of this package apart.
type Kind string

// KindInvalid marks a value that is not well formed.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "promoter: " + e.Op + ": " + e.Text
}

func invalid(op, text string) error {
	return &Error{Op: op, Kind: KindInvalid, Text: text}
}
