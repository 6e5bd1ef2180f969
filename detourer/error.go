package detourer

// Kind tells errors of this package apart.
type Kind string

// Kinds of errors.
const (
	// KindNoPeers says that no other daemon is known.
	KindNoPeers Kind = "none"
	// KindConnection says that no daemon answered.
	KindConnection Kind = "connection"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "detourer: " + e.Op + ": " + e.Text
}
