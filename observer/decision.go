package observer

// Field is a named value of a structured log line: a string, an integer or a
// bool.
type Field struct {
	Name  string
	Value any
}

// Decision is a log line on a decision: which part decided on which request or
// subject, from which inputs, and what came of it.
type Decision struct {
	// Part is the package or aggregate that decided.
	Part string
	// Request is the caller's request id; empty for decisions on beliefs.
	Request string
	// Outcome is what was decided, in a few words.
	Outcome string
	// Inputs are the values that decided, with their ages or versions.
	Inputs []Field
}

// F returns a field.
func F(name string, value any) Field {
	return Field{Name: name, Value: value}
}
