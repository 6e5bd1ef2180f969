package commander

// Kind is the class of an Error.
type Kind string

const (
	// KindUsage is returned for wrong arguments, for files and addresses that
	// are invalid or cannot be used, and for a missing environment variable.
	KindUsage Kind = "usage"
	// KindState is returned if the deployment does not answer or answers other
	// than expected, and if the lists have changed since the edited version.
	KindState Kind = "state"
)

// Error is returned by commands for failures found in this package. Errors of
// other packages are returned as they are.
type Error struct {
	// Op is the command or the step that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
