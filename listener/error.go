package listener

// Kind is the class of an Error.
type Kind string

// Kinds of Error. New returns KindListen; the others arise on client
// connections.
const (
	// KindListen: listening on the address failed.
	KindListen Kind = "listen"
	// KindProtocol: a message of the client is invalid or not supported, or the
	// connection failed.
	KindProtocol Kind = "protocol"
	// KindDenied: the client may not connect, or a setting or session token is
	// refused.
	KindDenied Kind = "denied"
)

// Error is a failure to listen, or an error that is sent to a client: Code is
// its SQLSTATE and Text its message.
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
