package explainer

// Kind tells errors of this package apart.
type Kind string

// KindFile marks a log that can't be read, or an output that can't be written.
const KindFile Kind = "file"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "explainer: " + e.Op + ": " + e.Text
}
