// Package sessioner keeps the state for session consistency: a session must see
// again what it has written and read. It keeps a floor for each database, the
// lowest log position that may serve a read. The floors are given to the client
// as a signed token.
package sessioner

import (
	"maps"

	"github.com/heatherhall/heatherhall/sequencer"
)

// Session holds the floors of a client's session. A Session is immutable;
// WithFloor returns a changed copy.
type Session struct {
	floors map[string]sequencer.Position
	// complete is set if floors covers everything that the session wrote and
	// read. A session without a token may have written through another daemon.
	complete bool
	// namedOnly is set if the client gave the name of a session that it has
	// used elsewhere, but no token.
	namedOnly bool
}

// New returns the session of a client that gave neither a token nor a session
// name. Nothing indicates earlier writes of the session, but the floors still
// count as unknown.
func New() Session {
	return Session{}
}

// NewNamed returns the session of a client that gave only a session name. The
// session may have written through any daemon.
func NewNamed() Session {
	return Session{namedOnly: true}
}

// NamedOnly reports whether the client gave only a session name.
func (s Session) NamedOnly() bool {
	return s.namedOnly
}

// Floor returns the floor of a database and whether it is known. A database
// without a floor has the zero position.
func (s Session) Floor(database string) (sequencer.Position, bool) {
	floor, found := s.floors[database]
	return floor, found || s.complete
}

// WithFloor returns a session whose floor in database is at least position.
// Floors never decrease.
func (s Session) WithFloor(database string, position sequencer.Position) Session {
	current, found := s.floors[database]
	if found && !current.Before(position) {
		return s
	}
	floors := maps.Clone(s.floors)
	if floors == nil {
		floors = map[string]sequencer.Position{}
	}
	floors[database] = position
	return Session{floors: floors, complete: s.complete, namedOnly: s.namedOnly}
}
