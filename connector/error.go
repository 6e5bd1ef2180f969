package connector

// Kind is the class of an Error.
type Kind string

// Kinds of Error. Open returns KindConnect; the methods of Control return all of
// them.
const (
	// KindConnect: the connection can't be opened.
	KindConnect Kind = "connect"
	// KindProtocol: the server's response has another form than expected.
	KindProtocol Kind = "protocol"
	// KindServer: the server refused a control statement or did not answer it.
	KindServer Kind = "server"
)

// Error is a failure to open a connection or to run a control statement.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "connector: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
