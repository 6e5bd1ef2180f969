package multiplexer

// ErrorKind classifies an Error. Kind is that of a Statement.
type ErrorKind string

// KindInvalid marks a request of another daemon that can't be run.
const KindInvalid ErrorKind = "invalid"

// Error reports a request of another daemon that was rejected. Op names the
// operation.
type Error struct {
	Op   string
	Kind ErrorKind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "multiplexer: " + e.Op + ": " + e.Text
}
