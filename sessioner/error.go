package sessioner

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors and where they arise.
const (
	// KindInvalid: a signing key or a token is malformed.
	KindInvalid Kind = "invalid"
	// KindAltered: the signature of a token matches no key, or the token
	// belongs to another customer.
	KindAltered Kind = "altered"
	// KindExpired: the token is older than its lifetime.
	KindExpired Kind = "expired"
)

// Error reports an unusable signing key or a rejected token.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "sessioner: " + e.Op + ": " + e.Text
}
