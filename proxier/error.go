package proxier

// Kind tells errors of this package apart.
type Kind string

// KindOld marks a reading that is too old to be shared.
const KindOld Kind = "old"

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
