package decider

// Kind is the category of an Error.
type Kind string

// Kinds of errors. Decoding a message from another daemon returns KindInvalid.
const (
	KindInvalid Kind = "invalid"
)

// Error is returned for a message that can't be decoded. Op is the failed
// operation, Text the cause.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the cause.
func (e *Error) Error() string {
	return "decider: " + e.Op + ": " + e.Text
}
