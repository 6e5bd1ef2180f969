package loader

// Kind is the class of an Error.
type Kind string

const (
	// KindInvalid is returned for an experiment or a saved report that cannot be
	// read or decoded or that is not valid, and for a fault script without an
	// emulation.
	KindInvalid Kind = "invalid"
	// KindRun is returned if connecting or creating the tables fails, and if a
	// report cannot be saved or plotted.
	KindRun Kind = "run"
)

// Error is returned for failures found in this package. Errors of the emulation
// are returned as they are.
type Error struct {
	// Op is the step that failed, for files followed by the path.
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "loader: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
