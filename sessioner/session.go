// Package sessioner keeps what a caller's session must see again: a floor for
// each database, which travels with the caller as a signed token.
package sessioner

import (
	"maps"

	"github.com/heatherhall/heatherhall/sequencer"
)

// Session is a caller's session. Values are immutable; With methods return
// changed copies.
type Session struct {
	floors map[string]sequencer.Position
	// known says that floors holds all that the session wrote and read. A
	// session without a token may have written through another daemon.
	known bool
	// roaming says that the caller named a session it has used elsewhere, but
	// gave no token.
	roaming bool
}

// New returns the session of a caller that gave neither a token nor a name. It
// has written nothing as far as it says, yet its floors count as not known.
func New() Session {
	return Session{}
}

// NewNamed returns the session of a caller that gave its name only: it may have
// written through any daemon.
func NewNamed() Session {
	return Session{roaming: true}
}

// NamedOnly reports whether the caller gave a name only.
func (s Session) NamedOnly() bool {
	return s.roaming
}

// Floor returns the floor in a database and whether it is known.
func (s Session) Floor(database string) (sequencer.Position, bool) {
	floor, found := s.floors[database]
	return floor, found || s.known
}

// WithFloor returns a session that must see position in database from now on.
// Floors never go down.
func (s Session) WithFloor(database string, position sequencer.Position) Session {
	present, found := s.floors[database]
	if found && !present.Before(position) {
		return s
	}
	floors := maps.Clone(s.floors)
	if floors == nil {
		floors = map[string]sequencer.Position{}
	}
	floors[database] = position
	return Session{floors: floors, known: s.known, roaming: s.roaming}
}
