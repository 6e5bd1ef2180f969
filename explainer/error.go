package explainer

// Kind classifies the errors of this package.
type Kind string

// KindFile is the kind of an error reading a log or writing the output.
const KindFile Kind = "file"

// Error is returned when a log can't be read or the output can't be written. Op
// is the operation that failed and Text the underlying error's message.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the message, prefixed with "explainer: ".
func (e *Error) Error() string {
	return "explainer: " + e.Op + ": " + e.Text
}
