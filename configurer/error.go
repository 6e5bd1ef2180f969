package configurer

import (
	"strings"
)

// Kind is the class of an Error.
type Kind string

const (
	// KindInvalid is returned for settings that cannot be decoded or that fail
	// a check.
	KindInvalid Kind = "invalid"
	// KindFile is returned for a settings file or a secret that cannot be read,
	// including a secret whose environment variable is not set.
	KindFile Kind = "file"
)

// Error is returned by Read, Parse and Secret.Resolve.
type Error struct {
	// Op is the step that failed: read, decode, check or secret.
	Op   string
	Kind Kind
	// Faults holds one text per fault. The check step reports all faults at
	// once; the other steps report one.
	Faults []string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "settings: " + e.Op + ": " + strings.Join(e.Faults, "\n")
}
