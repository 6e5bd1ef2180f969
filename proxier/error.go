package proxier

// Kind classifies an Error.
type Kind string

// KindStale, KindUnresponsive and KindDuplicate arise while serving another daemon's request,
// KindUnconfirmed in the heartbeat loop.
const (
	// KindStale is returned when a cached table is too old to be sent to another daemon.
	KindStale Kind = "old"
	// KindUnresponsive is returned when a backend server does not answer this daemon.
	KindUnresponsive Kind = "silent"
	// KindUnconfirmed is returned when the store did not confirm a write.
	KindUnconfirmed Kind = "store"
	// KindDuplicate is returned when a statement arrives while another one of the same
	// work is in progress.
	KindDuplicate Kind = "duplicate"
)

// Error is a failed request of another daemon or an unconfirmed write. Op is the
// operation that failed and Text the reason.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the reason, prefixed with the package name.
func (e *Error) Error() string {
	return "proxier: " + e.Op + ": " + e.Text
}
