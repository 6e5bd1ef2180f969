package multiplexer

import (
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// dispatchQueued starts queued jobs while servers are free, and opens
// connections for the rest.
func (g *group) dispatchQueued(now timekeeper.Millis) {
	g.openRequested(now, true)
	for g.queue.Len() > 0 {
		if g.balance.startLate(now, maxYielded) {
			continue
		}
		item, found := g.queue.Pop([2]bool{true, true}, func(item scheduler.Item) bool {
			j := g.waiting[item.ID]
			if j == nil {
				return false
			}
			g.selected = g.selectServer(now, j)
			if g.selected == nil && j.account != "" {
				g.requestConn(now, j)
			}
			return g.selected != nil
		})
		if !found {
			break
		}
		j := g.waiting[item.ID]
		g.removeWaiting(j)
		g.start(now, j, g.selected)
	}
	for g.balance.startLate(now, 0) {
	}
	g.adjustConns(now)
}

// adjustConns opens the connections that queued jobs need and closes surplus
// ones. It probes an unresponsive server once its nextProbe has come.
func (g *group) adjustConns(now timekeeper.Millis) {
	for _, s := range g.servers {
		if !s.usable(now, g.mux.settings.LeavingGrace) && !(s.unresponsive && now >= s.nextProbe) {
			continue
		}
		g.probeDirect(now, s)
		toOpen, toClose := s.pool.Plan(now, g.demand(s))
		for _, id := range toOpen {
			g.openConn(now, s, id, "", g.useRelay(s))
		}
		for _, id := range toClose {
			g.mux.closeConn(now, id)
		}
	}
	g.openRequested(now, false)
}

// idleLimit is how long idle connections beyond the minimum stay open. After a
// daemon loses power, a server counts its connections for some seconds more,
// and the server's limit must have room for the restarted daemon's new
// connections too.
const idleLimit timekeeper.Millis = 2000

// demand returns how many idle connections without an account a server should have. An
// unresponsive server gets one, as a probe.
func (g *group) demand(s *server) int {
	if s.unresponsive {
		return 1
	}
	demand := g.mux.minIdle(g) + g.queue.LenByLane(scheduler.LaneAny) - g.accounts.byLane[scheduler.LaneAny]
	if g.isPrimary(s) {
		demand += g.queue.LenByLane(scheduler.LanePrimary) - g.accounts.byLane[scheduler.LanePrimary]
	}
	return demand
}

// start runs the job on an idle connection to the server, or queues the job
// again if there is none.
func (g *group) start(now timekeeper.Millis, j *job, s *server) {
	id, ready := s.pool.TakeAs(now, rankOf(j.database), j.account)
	if !ready {
		g.queue.Done(j.item, 0)
		g.enqueue(now, j)
		return
	}
	g.balance.started(now, j, s)
	c := g.mux.conns[id]
	if c.account != "" && c.used {
		g.mux.accountConnCounts.Reused++
	}
	c.used = true
	if tx := j.session.tx; tx != nil {
		tx.conn = c
		c.pinnedSession = j.session
	}
	g.assign(now, j, c)
}

// runPinned runs a transaction's statement on its pinned connection, or aborts
// the transaction if the lease does not allow it.
func (g *group) runPinned(now timekeeper.Millis, j *job) {
	c := j.session.tx.conn
	if !g.leaseAllows(now, c.server, j) {
		g.complete(now, j, Answer{Code: CodeAborted, Text: "the primary is being changed", RetryAfter: g.retryDelay(now)})
		return
	}
	g.assign(now, j, c)
}

// assign assigns a job to a connection. It sends session setup, or the job's
// next step if the connection needs no setup.
func (g *group) assign(now timekeeper.Millis, j *job, c *conn) {
	s := c.server
	j.conn, j.server = c, s
	j.attempts++
	if j.started == 0 {
		j.started = now
	}
	c.job = j
	s.running++
	g.running[j.id] = j
	if setup := j.sessionSetup(); len(setup) > 0 {
		j.step = stepSetup
		g.send(now, c, setup)
		return
	}
	g.proceed(now, j)
}

// proceed sends a job's next step: BEGIN if the server has not begun the
// transaction, and the client's statement otherwise.
func (g *group) proceed(now timekeeper.Millis, j *job) {
	c := j.conn
	if j.step != stepBegin && c.pinnedSession != nil && j.session.tx != nil && !j.session.tx.begun {
		j.step = stepBegin
		begin := Statement{Kind: KindBegin}
		if j.session.tx.readOnly {
			begin = Statement{Kind: KindBeginRead, Floor: j.floor}
		}
		g.send(now, c, []Statement{begin})
		return
	}
	j.step = stepRun
	j.sent = now
	g.mux.charge(now, j)
	g.send(now, c, []Statement{j.serverStatement()})
}

// send sends statements on a connection and records the time.
func (g *group) send(now timekeeper.Millis, c *conn, statements []Statement) {
	c.sent = now
	g.mux.emit(Send{Conn: c.id, Statements: statements})
}

// leaseAllows reports whether the server's answer to a job may be passed on
// now. A job that needs the primary needs a valid lease of that server.
func (g *group) leaseAllows(now timekeeper.Millis, s *server, j *job) bool {
	if !j.needsPrimary() {
		return true
	}
	return g.isPrimary(s) && now < g.lease.ValidUntil
}
