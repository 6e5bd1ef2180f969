package emulator

// Kind classifies an error of this package.
type Kind string

// Kinds of errors. KindStart marks failures to configure or start a deployment,
// or to replace its list of hosts; KindUnknown marks the name of a server that
// the deployment does not have.
const (
	KindStart   Kind = "start"
	KindUnknown Kind = "unknown"
)

// Error carries the operation on a deployment that failed, the kind of the
// failure and its cause. Errors of stand-ins, daemons and the operators' lists
// are returned unchanged.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "emulator: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
