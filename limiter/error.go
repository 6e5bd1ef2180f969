package limiter

// ErrorKind classifies an Error.
type ErrorKind string

// KindInvalid marks a message of another daemon that makes no sense.
const KindInvalid ErrorKind = "invalid"

// Error reports a message of another daemon that was rejected. Op names the
// operation.
type Error struct {
	Op   string
	Kind ErrorKind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "limiter: " + e.Op + ": " + e.Text
}
