package promoter

// Kind classifies an Error.
type Kind string

// KindInvalid marks a row that can't be decoded or has no valid term.
const KindInvalid Kind = "invalid"

// Error reports a row that can't be decoded. Op names the operation.
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
