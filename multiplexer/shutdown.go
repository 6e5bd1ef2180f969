package multiplexer

import (
	"maps"
	"slices"
)

// Drain makes Ready report false, so that the load balancer sends no new
// sessions.
func (m *Multiplexer) Drain() {
	m.draining = true
}

// BusySessions returns the number of sessions with a statement in progress or
// an open transaction.
func (m *Multiplexer) BusySessions() int {
	busy := 0
	for _, s := range m.sessions {
		if !s.idle() {
			busy++
		}
	}
	return busy
}

// SessionCount returns the number of open sessions.
func (m *Multiplexer) SessionCount() int {
	return len(m.sessions)
}

// InFlight returns the number of queued and running statements.
func (m *Multiplexer) InFlight() int {
	total := len(m.forwards) + len(m.admissions)
	for _, g := range m.groups {
		total += g.queue.Len() + g.balance.lateCount() + len(g.running)
	}
	return total
}

// CloseIdleSessions closes at most limit idle sessions, those with the lowest
// ids first.
func (m *Multiplexer) CloseIdleSessions(limit int) []Command {
	for _, id := range slices.Sorted(maps.Keys(m.sessions)) {
		if limit == 0 {
			break
		}
		if s := m.sessions[id]; s.work == nil && s.idle() && !s.closing {
			s.closing = true
			limit--
			m.emit(CloseSession{Session: id})
		}
	}
	return m.takeCommands()
}
