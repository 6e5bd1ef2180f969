package classifier

// Kind is the category of an Error.
type Kind string

// Kinds of errors. A hint with an invalid value returns KindInvalid.
const (
	KindInvalid Kind = "invalid"
)

// Error is returned for a hint with an invalid value. Op is the hint's name, Text
// describes the hint's valid values.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the hint's name and its valid values.
func (e *Error) Error() string {
	return "hint " + e.Op + ": " + e.Text
}

func invalid(op, text string) error {
	return &Error{Op: op, Kind: KindInvalid, Text: text}
}
