package sequencer

// Kind classifies an Error.
type Kind string

// KindInvalid marks a position, history or report that is not well formed.
const KindInvalid Kind = "invalid"

// Error reports a value that can't be decoded. Op names the kind of value:
// "position", "history" or "report".
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "sequencer: " + e.Op + ": " + e.Text
}

func invalid(op, text string) error {
	return &Error{Op: op, Kind: KindInvalid, Text: text}
}
