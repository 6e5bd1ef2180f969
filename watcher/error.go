package watcher

// Kind classifies an Error.
type Kind string

// KindInvalid marks a message that can't be decoded or is not well formed.
const KindInvalid Kind = "invalid"

// Error reports a message that can't be decoded. Op names the operation.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "watcher: " + e.Op + ": " + e.Text
}

func invalid(op, text string) error {
	return &Error{Op: op, Kind: KindInvalid, Text: text}
}
