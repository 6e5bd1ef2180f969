package multiplexer

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// markResponsive records that a server has just responded.
func (g *group) markResponsive(now timekeeper.Millis, s *server) {
	s.lastResponse = now
	if s.unresponsive {
		s.unresponsive, s.unresponsiveSince = false, 0
		g.log("server answers again", observer.F("server", s.ID))
	}
}

// markUnresponsive takes a server out of use until it responds. It closes the
// server's idle connections, since their path may be broken. If it is the
// primary, a connection through another daemon is tried at once; the direct
// path is tried again after ProbeInterval.
func (g *group) markUnresponsive(now timekeeper.Millis, s *server, reason string) {
	newlyUnresponsive := !s.unresponsive
	if newlyUnresponsive {
		s.unresponsive, s.unresponsiveSince = true, now
	}
	s.nextProbe = now
	if s.connectFailures > 0 || !g.useRelay(s) {
		s.nextProbe += g.mux.settings.ProbeInterval
	}
	for _, id := range s.pool.RemoveIdle() {
		g.mux.closeConn(now, id)
	}
	if !newlyUnresponsive {
		return
	}
	g.log("server is silent: "+reason, observer.F("server", s.ID), observer.F("heard", int64(now-s.lastResponse)))
	s.suspect(now, g, "silent")
	g.rejectUnservable(now)
}

// tick rejects queued jobs that waited too long, handles timeouts of running
// ones and marks unresponsive servers.
func (g *group) tick(now timekeeper.Millis) {
	g.tickBalance(now)
	for _, item := range g.queue.Expire(now) {
		j := g.waiting[item.ID]
		g.removeWaiting(j)
		g.reject(now, j, defaultRetryDelay, "no server was free in time")
	}
	for _, j := range sortedJobs(g.running) {
		g.checkTimeout(now, j)
	}
	g.rejectUnservable(now)
	for _, s := range g.servers {
		if since := s.oldestUnanswered(); since > 0 && now-since > unresponsiveFactor*g.mux.settings.MinAnswerTimeout && !s.unresponsive {
			g.markUnresponsive(now, s, "answers are outstanding")
		}
	}
	g.dispatchQueued(now)
}

// checkTimeout ends a running job whose time limit has passed or whose answer
// counts as lost. A read with a lost answer is retried on another server. A
// transaction with a lost answer is rolled back, so that the client has time to
// run it again. A job with side effects waits until its time limit, since its
// outcome is unknown.
func (g *group) checkTimeout(now timekeeper.Millis, j *job) {
	c := j.conn
	late := now-c.sent > max(g.mux.settings.MinAnswerTimeout, timekeeper.Millis(timeoutFactor*c.server.serviceTime))
	if now < j.deadline && (!late || j.hasSideEffects() || j.attempts >= attemptLimit) {
		return
	}
	g.log("answer overdue", observer.F("server", c.server.ID), observer.F("request", j.statement.ID), observer.F("sent", int64(now-c.sent)),
		observer.F("heard", int64(now-c.server.lastResponse)))
	begun := j.session.tx != nil && j.session.tx.begun
	if late {
		g.balance.unanswered(now, j, c.server)
	}
	j.session.detachConn(c)
	g.unassign(now, j)
	c.pinnedSession = nil
	g.mux.closeConn(now, c.id)
	if late && c.sent > c.server.lastResponse {
		g.markUnresponsive(now, c.server, "an answer is overdue")
	}
	switch {
	case j.step == stepRun && j.hasSideEffects():
		g.complete(now, j, Answer{Code: CodeInDoubt, Text: "the time limit passed"})
	case begun || j.session.tx != nil && j.step == stepRun:
		g.complete(now, j, Answer{Code: CodeAborted, Text: "the server did not answer in time", RetryAfter: defaultRetryDelay})
	case now < j.deadline:
		g.retryOrFail(now, j, c.server, Answer{Code: CodeTimeout, Text: "the server did not answer"})
	case j.step != stepRun:
		g.reject(now, j, defaultRetryDelay, "the server did not answer in time")
	default:
		g.complete(now, j, Answer{Code: CodeTimeout, Text: "the time limit passed"})
	}
}

// detachConn unpins the session's transaction from a connection.
func (s *session) detachConn(c *conn) {
	if s.tx != nil && s.tx.conn == c {
		s.tx.conn = nil
	}
}

// ReleasePrimary closes those connections to a group's primary that have an
// open transaction or run a statement that needs the primary. This daemon then
// passes on no more of its answers as the primary. The clients get errors, or
// their statements are retried.
func (m *Multiplexer) ReleasePrimary(now timekeeper.Millis, name string) []Command {
	g := m.group(name)
	s := g.byID[g.lease.Server]
	if s == nil {
		return m.takeCommands()
	}
	for _, id := range slices.Sorted(maps.Keys(s.conns)) {
		c := s.conns[id]
		if c.pinnedSession == nil && (c.job == nil || !c.job.needsPrimary()) {
			continue
		}
		m.removeConn(now, c)
		m.emit(CloseConn{Conn: id})
		g.handleConnLoss(now, c)
	}
	g.dispatchQueued(now)
	return m.takeCommands()
}

// sortedJobs returns jobs in order of arrival.
func sortedJobs[K comparable](jobs map[K]*job) []*job {
	return slices.SortedFunc(maps.Values(jobs), func(a, b *job) int {
		if a.arrived != b.arrived {
			return int(a.arrived - b.arrived)
		}
		if len(a.id) != len(b.id) {
			return len(a.id) - len(b.id)
		}
		return compareText(a.id, b.id)
	})
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func sortedKeys(m map[string]string) []string {
	return slices.Sorted(maps.Keys(m))
}
