package planner

// Kind is the category of an Error.
type Kind string

// Kinds of errors. Invalid lists, edits and verifiers return KindInvalid;
// Lists.Apply returns KindConflict for an edit with another base version.
const (
	KindInvalid  Kind = "invalid"
	KindConflict Kind = "conflict"
)

// Error is returned for lists, edits and verifiers that are rejected. Op is the
// failed operation, Text the cause.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the cause.
func (e *Error) Error() string {
	return "planner: " + e.Op + ": " + e.Text
}
