package runner

// Kind is the class of an Error.
type Kind string

const (
	// KindStart means that a TLS certificate can't be loaded, or that a shutdown
	// ended with work still in progress.
	KindStart Kind = "start"
)

// Error is a failure of a daemon to start or to shut down gracefully.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "runner: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
