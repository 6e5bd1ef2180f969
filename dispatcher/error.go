package dispatcher

// Kind classifies the errors of this package.
type Kind string

// KindInvalid marks a value that is malformed or incomplete.
const KindInvalid Kind = "invalid"

// Error reports work that could not be decoded or is incomplete. Op is the
// failed operation, Text the cause.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the cause.
func (e *Error) Error() string {
	return "dispatcher: " + e.Op + ": " + e.Text
}

func invalid(op, text string) error {
	return &Error{Op: op, Kind: KindInvalid, Text: text}
}
