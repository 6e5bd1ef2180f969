package multiplexer

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// directPause is the time between two tries of the own path to a server that is
// reached through another daemon.
const directPause timekeeper.Millis = 1000

// ReachesDirectly reports whether a server answers this daemon on its own path, so that
// another daemon may be connected to it.
func (m *Multiplexer) ReachesDirectly(server cataloger.Server) bool {
	g := m.groups[server.Group]
	if g == nil {
		return false
	}
	s := g.byID[server.ID]
	return s != nil && !s.silent && !s.relayed
}

// relays decides whether the next connection to a server is opened through another
// daemon. Only a primary is worth that: reads go to other replicas. While the
// server is silent both paths are tried by turns.
func (g *group) relays(s *server) bool {
	if !g.isLead(s) || g.mux.hosts < 2 {
		return false
	}
	return s.relayed || s.silent && s.failures%2 == 0
}

// tryDirect opens a connection on the own path to a server that is reached through
// another daemon, from time to time. The pool does not wait for it.
func (g *group) tryDirect(now timekeeper.Millis, s *server) {
	if s.relayed && now >= s.directDue {
		s.directDue = now + directPause
		g.open(now, s, g.mux.nextConn(), false)
	}
}

// open opens a connection.
func (g *group) open(now timekeeper.Millis, s *server, id pooler.Conn, relayed bool) {
	c := &conn{id: id, server: s, values: map[string]string{}, prepared: map[string]bool{}, opening: true, relayed: relayed, sent: now}
	g.mux.conns[id] = c
	s.conns[id] = c
	g.mux.emit(OpenConn{Conn: id, Server: s.Server, Relayed: relayed})
}

// reached notes on which path a server took or refused a connection.
func (g *group) reached(now timekeeper.Millis, c *conn) {
	s := c.server
	s.failures = 0
	if c.relayed == s.relayed {
		return
	}
	s.relayed, s.directDue = c.relayed, now+directPause
	for _, id := range s.pool.RemoveIdle() {
		g.mux.closeConn(now, id)
	}
	g.log("server is reached on another path", observer.F("server", s.ID), observer.F("relayed", s.relayed))
}

// unreached notes that a connection could not be opened. It reports whether the
// server counts as silent for it: not if only the own path to a server failed that
// is reached through another daemon.
func (g *group) unreached(c *conn) bool {
	s := c.server
	if s.relayed && !c.relayed {
		return false
	}
	s.relayed = false
	s.failures++
	return true
}
