package dispatcher

import (
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// ConnOpened adds a newly opened connection to its server's pool, or closes it
// if the pool no longer expects it. It returns the commands to execute.
func (d *Dispatcher) ConnOpened(now timekeeper.Millis, conn pooler.Conn) []Command {
	s := d.serverByConn[conn]
	if s == nil || !s.pool.MarkOpen(now, conn) {
		d.closeConn(now, conn)
	}
	d.dispatchQueued(now)
	return d.takeCommands()
}

// ConnClosed handles a connection that failed to open or that the server closed
// while it was idle. If work has been assigned to the connection meanwhile, the
// work is handled as with ExecStatusConnLost. It returns the commands to execute.
func (d *Dispatcher) ConnClosed(now timekeeper.Millis, conn pooler.Conn) []Command {
	if d.jobByConn[conn] != nil {
		return d.ExecFinished(now, ExecResult{Conn: conn, ExecStatus: ExecStatusConnLost})
	}
	if s := d.serverByConn[conn]; s != nil {
		s.pool.Remove(now, conn)
		delete(d.serverByConn, conn)
	}
	d.dispatchQueued(now)
	return d.takeCommands()
}

// adjustPools opens connections ahead of demand and closes surplus ones.
func (d *Dispatcher) adjustPools(now timekeeper.Millis) {
	if len(d.jobs) == 0 && d.inactive(now) {
		return
	}
	for _, s := range d.servers {
		if !s.usable(now, d.settings.ServerTimeout) {
			continue
		}
		s.pool.SetShare(s.Connections * d.connectionShare / 100)
		demand := min(s.Slots-s.inFlight, d.queue.Len())
		opened, closed := s.pool.Plan(now, max(demand, 0))
		for _, conn := range opened {
			d.serverByConn[conn] = s
			d.emit(OpenConn{Conn: conn, Server: s.Name})
		}
		for _, conn := range closed {
			delete(d.serverByConn, conn)
			d.emit(CloseConn{Conn: conn})
		}
	}
}

// inactive reports whether the dispatcher has no connections and a connection
// share of 0, so that it may not open any.
func (d *Dispatcher) inactive(timekeeper.Millis) bool {
	if d.connectionShare > 0 {
		return false
	}
	for _, s := range d.servers {
		if s.pool.Size() > 0 {
			return false
		}
	}
	return true
}

// SetConnectionShare sets the share of each server's connections, in percent,
// that this daemon may use. A daemon that is not the home keeps a small share
// for work that still reaches it.
func (d *Dispatcher) SetConnectionShare(percent int) {
	d.connectionShare = percent
}

// SessionInspected handles the result of InspectSession: whether the server is
// running a statement for the connection. If the server reports
// maxIdleInspections times in a row that it is not, although no result has
// arrived, the network path behind the connection has failed: the connection
// and all idle connections to the server are closed. It returns the commands to
// execute.
func (d *Dispatcher) SessionInspected(now timekeeper.Millis, conn pooler.Conn, running bool) []Command {
	j := d.jobByConn[conn]
	if j == nil || j.phase != phaseRunning {
		return nil
	}
	if running {
		j.idleInspections = 0
		return nil
	}
	j.idleInspections++
	j.nextInspectAt = now + inspectRetryDelay
	if j.idleInspections < maxIdleInspections {
		return nil
	}
	s := j.server
	d.logf("pooler: %s runs no statement for connection %d, closing it and all idle connections to the server", s.Name, conn)
	for _, other := range s.pool.RemoveIdle() {
		delete(d.serverByConn, other)
		d.emit(CloseConn{Conn: other})
	}
	return d.ExecFinished(now, ExecResult{Conn: conn, ExecStatus: ExecStatusConnLost})
}

const (
	// maxIdleInspections is how many times in a row a server must report that
	// it runs no statement before its connection counts as lost: the first
	// time, the result may still be in transit.
	maxIdleInspections = 2
	// inspectRetryDelay is the time in milliseconds until the next inspection
	// after the server reported that it runs no statement.
	inspectRetryDelay timekeeper.Millis = 100
)
