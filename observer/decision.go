package observer

// Field is a named value in a structured log line. The value is a string, an
// integer or a bool; other types are encoded as JSON.
type Field struct {
	Name  string
	Value any
}

// Decision is a structured log line about a decision: the part of the daemon
// that decided, the request if there is one, the outcome and the inputs.
type Decision struct {
	// Part is the part of the daemon that decided, such as "elector", "request"
	// or "group NAME".
	Part string
	// Request is the id of the client's request. It is empty if the decision
	// does not belong to one request.
	Request string
	// Outcome is what was decided, in a few words.
	Outcome string
	// Inputs are the values that the decision was made from, with their ages or
	// versions.
	Inputs []Field
}

// F returns a Field with the given name and value.
func F(name string, value any) Field {
	return Field{Name: name, Value: value}
}
