package relayer

// Kind is the class of an Error.
type Kind string

// Kinds of Error. New returns KindListen; the others arise on connections between
// daemons.
const (
	// KindListen: listening on the address failed.
	KindListen Kind = "listen"
	// KindDial: the peer can't be reached or does not answer.
	KindDial Kind = "dial"
	// KindDenied: the peer refuses this daemon's proof that it knows the secret,
	// or does not prove its own name and that it knows the secret.
	KindDenied Kind = "denied"
	// KindProtocol: the peer uses another protocol version, or a message is too
	// large.
	KindProtocol Kind = "protocol"
)

// Error is a failure to listen, or to connect to a peer, authenticate it or
// exchange messages with it.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "relayer: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
