package dispatcher

import (
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// ConnOpened takes a connection that has been opened.
func (d *Dispatcher) ConnOpened(now timekeeper.Millis, conn pooler.Conn) []Command {
	s := d.owner[conn]
	if s == nil || !s.pool.MarkOpen(now, conn) {
		d.drop(now, conn)
	}
	d.pump(now)
	return d.take()
}

// ConnClosed takes a connection that could not be opened or was closed by the other
// side while idle.
func (d *Dispatcher) ConnClosed(now timekeeper.Millis, conn pooler.Conn) []Command {
	if d.conns[conn] != nil {
		return d.ExecFinished(now, ExecResult{Conn: conn, ExecStatus: ExecStatusConnLost})
	}
	if s := d.owner[conn]; s != nil {
		s.pool.Remove(now, conn)
		delete(d.owner, conn)
	}
	d.pump(now)
	return d.take()
}

// connect opens connections ahead of need and closes those beyond it.
func (d *Dispatcher) connect(now timekeeper.Millis) {
	if len(d.jobs) == 0 && d.unused(now) {
		return
	}
	for _, s := range d.servers {
		if !s.usable(now, d.settings.ServerTimeout) {
			continue
		}
		s.pool.SetShare(s.Connections * d.share / 100)
		demand := min(s.Slots-s.running, d.queue.Total())
		opened, closed := s.pool.Plan(now, max(demand, 0))
		for _, conn := range opened {
			d.owner[conn] = s
			d.emit(OpenConn{Conn: conn, Server: s.Name})
		}
		for _, conn := range closed {
			delete(d.owner, conn)
			d.emit(CloseConn{Conn: conn})
		}
	}
}

// unused reports whether the daemon is not the database's home and has no
// connection that needs care.
func (d *Dispatcher) unused(timekeeper.Millis) bool {
	if d.share > 0 {
		return false
	}
	for _, s := range d.servers {
		if s.pool.Size() > 0 {
			return false
		}
	}
	return true
}

// SetConnectionShare sets the part of each server's connections, in percent, that this
// daemon may use. A daemon that is not the home keeps a small part for work that
// reaches it all the same.
func (d *Dispatcher) SetConnectionShare(percent int) {
	d.share = percent
}

// SessionInspected takes a server's word on the session behind a connection: whether
// it is running a statement. A server that is not, while its answer stays out,
// has lost the path: all connections of the path are retired.
func (d *Dispatcher) SessionInspected(now timekeeper.Millis, conn pooler.Conn, running bool) []Command {
	j := d.conns[conn]
	if j == nil || j.phase != phaseRunning {
		return nil
	}
	if running {
		j.idle = 0
		return nil
	}
	j.idle++
	j.inspect = now + inspectAgain
	if j.idle < inspectLimit {
		return nil
	}
	s := j.server
	d.logf("pooler: %s connection %d is silent, its path is retired", s.Name, conn)
	for _, other := range s.pool.RemoveIdle() {
		delete(d.owner, other)
		d.emit(CloseConn{Conn: other})
	}
	return d.ExecFinished(now, ExecResult{Conn: conn, ExecStatus: ExecStatusConnLost})
}

const (
	// inspectLimit is how many times in a row a server must deny that it runs a
	// statement before its connection counts as silent: the answer may have been
	// under way the first time.
	inspectLimit = 2
	// inspectAgain is the time between two questions.
	inspectAgain timekeeper.Millis = 100
)
