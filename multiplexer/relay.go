package multiplexer

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// directProbeInterval is the time between two tries of the own path to a server that is
// reached through another daemon.
const directProbeInterval timekeeper.Millis = 1000

// ReachesDirectly reports whether a server answers this daemon on its own path, so that
// another daemon may be connected to it.
func (m *Multiplexer) ReachesDirectly(server cataloger.Server) bool {
	g := m.groups[server.Group]
	if g == nil {
		return false
	}
	s := g.byID[server.ID]
	return s != nil && !s.unresponsive && !s.relayed
}

// useRelay decides whether the next connection to a server is opened through another
// daemon. Only a primary is worth that: reads go to other replicas. While the
// server is silent both paths are tried by turns.
func (g *group) useRelay(s *server) bool {
	if !g.isPrimary(s) || g.mux.hosts < 2 {
		return false
	}
	return s.relayed || s.unresponsive && s.connectFailures%2 == 0
}

// probeDirect opens a connection on the own path to a server that is reached through
// another daemon, from time to time. The pool does not wait for it.
func (g *group) probeDirect(now timekeeper.Millis, s *server) {
	if s.relayed && now >= s.nextDirectProbe {
		s.nextDirectProbe = now + directProbeInterval
		g.openConn(now, s, g.mux.nextConn(), false)
	}
}

// openConn opens a connection.
func (g *group) openConn(now timekeeper.Millis, s *server, id pooler.Conn, relayed bool) {
	c := &conn{id: id, server: s, values: map[string]string{}, prepared: map[string]bool{}, opening: true, relayed: relayed, sent: now}
	g.mux.conns[id] = c
	s.conns[id] = c
	g.mux.emit(OpenConn{Conn: id, Server: s.Server, Relayed: relayed})
}

// recordConnPath notes on which path a server took or refused a connection.
func (g *group) recordConnPath(now timekeeper.Millis, c *conn) {
	s := c.server
	s.connectFailures = 0
	if c.relayed == s.relayed {
		return
	}
	s.relayed, s.nextDirectProbe = c.relayed, now+directProbeInterval
	for _, id := range s.pool.RemoveIdle() {
		g.mux.closeConn(now, id)
	}
	g.log("server is reached on another path", observer.F("server", s.ID), observer.F("relayed", s.relayed))
}

// recordConnFailure notes that a connection could not be opened. It reports whether the
// server counts as silent for it: not if only the own path to a server failed that
// is reached through another daemon.
func (g *group) recordConnFailure(c *conn) bool {
	s := c.server
	if s.relayed && !c.relayed {
		return false
	}
	s.relayed = false
	s.connectFailures++
	return true
}
