package detourer

// Kind classifies an Error.
type Kind string

// Kinds of errors that arise in calls to other daemons.
const (
	// KindNoPeers is returned when no other daemon is known.
	KindNoPeers Kind = "none"
	// KindConnection is returned when a call to another daemon failed or calls are
	// paused by the backoff.
	KindConnection Kind = "connection"
)

// Error is a failed call to other daemons. Op is the method that was called and Text
// the reason.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the method and the reason, prefixed with the package name.
func (e *Error) Error() string {
	return "detourer: " + e.Op + ": " + e.Text
}
