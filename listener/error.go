package listener

// Kind tells errors of this package apart.
type Kind string

// Kinds of errors.
const (
	KindListen   Kind = "listen"
	KindProtocol Kind = "protocol"
	KindDenied   Kind = "denied"
)

// Error is the error type of this package. Code is the SQLSTATE that the caller
// is sent.
type Error struct {
	Op   string
	Kind Kind
	Code string
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "listener: " + e.Op + ": " + e.Text
}
