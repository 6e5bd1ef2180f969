package multiplexer

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// directProbeInterval is the time between two attempts to use the direct path
// to a server that is reached through another daemon.
const directProbeInterval timekeeper.Millis = 1000

// ReachesDirectly reports whether a server answers this daemon on the direct
// path, so that this daemon can relay other daemons' connections to it.
func (m *Multiplexer) ReachesDirectly(server cataloger.Server) bool {
	g := m.groups[server.Group]
	if g == nil {
		return false
	}
	s := g.byID[server.ID]
	return s != nil && !s.unresponsive && !s.relayed
}

// useRelay reports whether the next connection to a server is opened through
// another daemon. Only connections to a primary are relayed, since other
// replicas serve the reads. While the primary is unresponsive, both paths are
// tried in turn.
func (g *group) useRelay(s *server) bool {
	if !g.isPrimary(s) || g.mux.placement.HostCount() < 2 {
		return false
	}
	return s.relayed || s.unresponsive && s.connectFailures%2 == 0
}

// probeDirect opens a connection on the direct path to a server that is reached
// through another daemon, once every directProbeInterval. The pool did not ask
// for this connection, so ConnOpened closes it again once it has recorded the
// path.
func (g *group) probeDirect(now timekeeper.Millis, s *server) {
	if s.relayed && now >= s.nextDirectProbe {
		s.nextDirectProbe = now + directProbeInterval
		g.openConn(now, s, g.mux.nextConn(), "", false)
	}
}

// openConn registers a new connection for an account, or without one, and tells the driver to open it.
func (g *group) openConn(now timekeeper.Millis, s *server, id pooler.Conn, account string, relayed bool) {
	c := &conn{id: id, server: s, account: account, values: map[string]string{}, prepared: map[string]bool{}, opening: true, relayed: relayed, sent: now}
	g.mux.conns[id] = c
	s.conns[id] = c
	g.mux.emit(OpenConn{Conn: id, Server: s.Server, Account: account, Relayed: relayed})
}

// recordConnPath records the path on which a server accepted or refused a
// connection. If the path has changed, it closes the idle connections of the
// old one.
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

// recordConnFailure records that a connection could not be opened. It returns
// true if the server counts as unresponsive now. It returns false if only the
// direct path failed while the server is reached through another daemon.
func (g *group) recordConnFailure(c *conn) bool {
	s := c.server
	if s.relayed && !c.relayed {
		return false
	}
	s.relayed = false
	s.connectFailures++
	return true
}
