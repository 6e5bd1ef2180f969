package proxier

// Kind tells errors of this package apart.
type Kind string

// Kinds of errors.
const (
	// KindStale marks a reading that is too old to be shared.
	KindStale Kind = "old"
	// KindUnresponsive marks a backend server that does not answer.
	KindUnresponsive Kind = "silent"
	// KindUnconfirmed marks a change that the store did not confirm.
	KindUnconfirmed Kind = "store"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "proxier: " + e.Op + ": " + e.Text
}
