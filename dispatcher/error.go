package dispatcher

// Kind classifies the errors of this package.
type Kind string

// KindInvalid marks a malformed value.
const KindInvalid Kind = "invalid"

// Error reports work that could not be decoded or is incomplete.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "dispatcher: " + e.Op + ": " + e.Text
}

func invalid(op, text string) error {
	return &Error{Op: op, Kind: KindInvalid, Text: text}
}
