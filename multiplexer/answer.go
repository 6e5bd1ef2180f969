package multiplexer

import (
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// ConnOpened handles a connection that the server has accepted; a.Position is
// the server's position. The connection is closed if it is no longer wanted.
func (m *Multiplexer) ConnOpened(now timekeeper.Millis, id pooler.Conn, a Answer) []Command {
	c := m.conns[id]
	if c == nil {
		m.emit(CloseConn{Conn: id})
		return m.takeCommands()
	}
	s := c.server
	g := m.group(s.Group)
	c.opening = false
	g.recordConnPath(now, c)
	g.markResponsive(now, s)
	s.recordPosition(now, g, a.Position)
	if s.deregistered || !s.pool.MarkOpen(now, id) {
		m.closeConn(now, id)
		return m.takeCommands()
	}
	g.recordConnectTime(now - c.sent)
	g.examine(c.account)
	g.dispatchQueued(now)
	return m.takeCommands()
}

// ConnRefused handles a server's refusal of a connection; a.Code is the reason.
func (m *Multiplexer) ConnRefused(now timekeeper.Millis, id pooler.Conn, a Answer) []Command {
	c := m.conns[id]
	if c == nil {
		return nil
	}
	s := c.server
	g := m.group(s.Group)
	switch {
	case a.Code == CodeTooManyConnections && m.catalog.HasClosed(s.Group):
		s.pool.Refuse(now, id)
	case a.Code == CodeDenied && c.account != "":
		s.pool.Deny(now, id)
	}
	m.removeConn(now, c)
	g.log("connection refused", observer.F("server", s.ID), observer.F("code", a.Code.String()), observer.F("open", s.pool.Size()), observer.F("account", c.account))
	if a.Code == CodeTooManyConnections {
		g.recordConnPath(now, c)
		g.markResponsive(now, s)
	}
	if a.Code == CodeWrongServer {
		g.markUnresponsive(now, s, "another server has the address")
	}
	g.dispatchQueued(now)
	return m.takeCommands()
}

// ConnLost handles a connection that could not be opened, broke or gave no
// answer in time.
func (m *Multiplexer) ConnLost(now timekeeper.Millis, id pooler.Conn) []Command {
	c := m.conns[id]
	if c == nil {
		return nil
	}
	s := c.server
	g := m.group(s.Group)
	m.removeConn(now, c)
	if c.opening && g.recordConnFailure(c) {
		g.markUnresponsive(now, s, "no connection can be opened")
	}
	g.handleConnLoss(now, c)
	g.dispatchQueued(now)
	return m.takeCommands()
}

// closeConn closes a connection that is no longer used.
func (m *Multiplexer) closeConn(now timekeeper.Millis, id pooler.Conn) {
	c := m.conns[id]
	if c != nil {
		m.removeConn(now, c)
	}
	m.emit(CloseConn{Conn: id})
}

// removeConn removes a connection from the multiplexer, its server and the
// pool. Its job and its pinned session still refer to it.
func (m *Multiplexer) removeConn(now timekeeper.Millis, c *conn) {
	delete(m.conns, c.id)
	delete(c.server.conns, c.id)
	c.server.pool.Remove(now, c.id)
	m.group(c.server.Group).examine(c.account)
}

// rollback unpins a connection from its session and rolls its transaction back.
// If the server has not begun the transaction, the connection is idle at once.
func (m *Multiplexer) rollback(now timekeeper.Millis, c *conn) {
	pinnedSession := c.pinnedSession
	c.pinnedSession = nil
	if pinnedSession != nil && pinnedSession.tx != nil && !pinnedSession.tx.begun {
		m.returnConn(now, c)
		return
	}
	c.rollingBack = true
	c.sent = now
	m.emit(Send{Conn: c.id, Statements: []Statement{{Kind: KindRollback}}})
}

// returnConn returns a connection to its pool, or closes it if its server is no
// longer registered.
func (m *Multiplexer) returnConn(now timekeeper.Millis, c *conn) {
	c.pinnedSession = nil
	if _, found := m.catalog.Account(c.account); c.server.deregistered || c.account != "" && !found {
		m.closeConn(now, c.id)
		return
	}
	c.server.pool.Put(now, c.id)
	m.group(c.server.Group).examine(c.account)
}

// AnswersReceived handles the answers to the last Send on a connection, in the
// order of its statements.
func (m *Multiplexer) AnswersReceived(now timekeeper.Millis, id pooler.Conn, answers []Answer) []Command {
	c := m.conns[id]
	if c == nil || len(answers) == 0 {
		return nil
	}
	s := c.server
	g := m.group(s.Group)
	g.markResponsive(now, s)
	last := answers[len(answers)-1]
	s.recordPosition(now, g, last.Position)
	if c.rollingBack {
		c.rollingBack = false
		if last.Code == CodeOK && last.State == StateIdle {
			m.returnConn(now, c)
		} else {
			m.closeConn(now, id)
		}
		g.dispatchQueued(now)
		return m.takeCommands()
	}
	if j := c.job; j != nil {
		g.handleAnswers(now, j, c, answers)
	}
	g.dispatchQueued(now)
	return m.takeCommands()
}

// unassign ends a job's use of its connection and reports the time that it took
// to the queue.
func (g *group) unassign(now timekeeper.Millis, j *job) {
	delete(g.running, j.id)
	if j.conn != nil && j.conn.job == j {
		j.conn.job = nil
	}
	j.server.running--
	took := now - j.arrived
	if j.sent > 0 {
		took = now - j.sent
	}
	if j.item.ID != "" {
		g.queue.Done(j.item, float64(took))
		j.item.ID = ""
	}
}

// handleAnswers handles the answers to a job's current step.
func (g *group) handleAnswers(now timekeeper.Millis, j *job, c *conn, answers []Answer) {
	last := answers[len(answers)-1]
	if j.step == stepSetup || j.step == stepBegin {
		for _, a := range answers {
			if a.Code != CodeOK {
				g.handleSetupError(now, j, c, a)
				return
			}
		}
		if j.step == stepBegin {
			j.session.tx.begun = true
		}
		g.proceed(now, j)
		return
	}
	g.recordAnswer(now, j, c.server, last)
	g.unassign(now, j)
	if last.Code == CodeOK {
		g.handleSuccess(now, j, c, last)
		return
	}
	g.handleError(now, j, c, last)
}

// recordAnswer updates the server's statistics from the answer to a client's
// statement. A successful answer of the primary during its lease and in its
// term also updates the highest position and the position samples, except
// inside a read-only transaction that replicas may run. If the lease has no
// term, it takes the answer's.
func (g *group) recordAnswer(now timekeeper.Millis, j *job, s *server, a Answer) {
	s.recordResult(now, a.Code == CodeFailed)
	g.balance.answered(now, j, s, a.Code)
	if a.Code == CodeOK {
		s.recordLatency(now - j.sent)
		rank := rankOf(j.database)
		g.costs[rank] += smoothing * (float64(now-j.sent) - g.costs[rank])
	}
	if a.Code != CodeOK || a.Position.IsZero() || !g.isPrimary(s) || now >= g.lease.ValidUntil {
		return
	}
	if g.lease.Term == 0 {
		g.lease.Term = a.Position.Term
		g.lease.History = g.lease.History.WithTerm(a.Position.Term, 0)
	}
	if a.Position.Term != g.lease.Term || !j.needsPrimary() && j.session.tx != nil {
		return
	}
	if g.highestPosition.Before(a.Position) {
		g.highestPosition = a.Position
	}
	g.samples.Observe(j.sent, a.Position)
}

// handleSuccess passes a successful answer on, unless the job needs the primary
// and the server is not known to be the primary any more.
func (g *group) handleSuccess(now timekeeper.Millis, j *job, c *conn, a Answer) {
	s := j.session
	if !g.leaseAllows(now, c.server, j) {
		g.log("answer withheld", observer.F("server", c.server.ID), observer.F("until", int64(g.lease.ValidUntil)), observer.F("late", int64(now-g.lease.ValidUntil)))
		g.failUnverified(now, j, c)
		return
	}
	commits := j.statement.Kind == KindCommit
	if (commits || j.hasSideEffects()) && s.floor.Before(a.Position) {
		s.floor = a.Position
	}
	if s.tx != nil && !commits {
		g.mux.reply(now, j, a)
		return
	}
	if commits {
		s.tx = nil
	}
	if a.State != StateIdle {
		g.mux.closeConn(now, c.id)
		c.pinnedSession = nil
	} else {
		g.mux.returnConn(now, c)
	}
	g.mux.reply(now, j, a)
}

// failUnverified completes a job whose answer came after the primary lease of
// its server had expired: another server may be the primary by now, so the
// answer is withheld.
func (g *group) failUnverified(now timekeeper.Millis, j *job, c *conn) {
	g.mux.closeConn(now, c.id)
	c.pinnedSession = nil
	if j.session.tx != nil {
		j.session.tx.conn = nil
	}
	if j.hasSideEffects() {
		g.complete(now, j, Answer{Code: CodeInDoubt, Text: "the server may no longer be the primary"})
		return
	}
	if j.session.tx == nil {
		j.mayHaveRun = true
		g.reject(now, j, g.retryDelay(now), "the server may no longer be the primary")
		return
	}
	g.complete(now, j, Answer{Code: CodeAborted, Text: "the server may no longer be the primary"})
}

// handleSetupError handles an error in a step before the client's statement.
// The job is retried if its transaction has not begun.
func (g *group) handleSetupError(now timekeeper.Millis, j *job, c *conn, a Answer) {
	canRetry := j.session.tx == nil || !j.session.tx.begun
	g.unassign(now, j)
	c.pinnedSession = nil
	if j.session.tx != nil {
		j.session.tx.conn = nil
	}
	if j.step == stepBegin && a.State == StateIdle {
		g.mux.returnConn(now, c)
	} else {
		g.mux.closeConn(now, c.id)
	}
	if !canRetry {
		g.complete(now, j, Answer{Code: CodeAborted, Text: a.Code.String() + ": " + a.Text})
		return
	}
	g.retryOrFail(now, j, c.server, a)
}

// handleError handles an error of the client's statement.
func (g *group) handleError(now timekeeper.Millis, j *job, c *conn, a Answer) {
	if tx := j.session.tx; tx != nil {
		tx.conn = nil
		c.pinnedSession = nil
		if a.State == StateIdle {
			g.mux.returnConn(now, c)
		} else {
			g.mux.rollback(now, c)
		}
		g.complete(now, j, g.transactionError(j, a))
		return
	}
	if a.State == StateIdle {
		g.mux.returnConn(now, c)
	} else {
		g.mux.closeConn(now, c.id)
	}
	g.retryOrFail(now, j, c.server, a)
}

// transactionError returns the client's answer to an error inside a
// transaction. The outcome of a failed commit is unknown, unless the code
// guarantees that the commit did not run.
func (g *group) transactionError(j *job, a Answer) Answer {
	switch a.Code {
	case CodeNotRun, CodeLagging, CodeReadOnly, CodeUndefinedStatement:
		if j.statement.Kind == KindCommit && a.Code == CodeNotRun {
			return Answer{Code: CodeAborted, Text: a.Text, RetryAfter: defaultRetryDelay}
		}
		return Answer{Code: CodeAborted, Text: a.Code.String() + ": " + a.Text, RetryAfter: defaultRetryDelay}
	}
	if j.statement.Kind == KindCommit {
		return Answer{Code: CodeInDoubt, Text: a.Code.String() + ": " + a.Text}
	}
	return Answer{Code: a.Code, Text: a.Text}
}

// retryOrFail retries a job after an error, on another server where possible,
// or completes it with the error. It retries a job only if the job did not run
// or may run twice, and while attempts, time and the group's retry budget are
// left. A retry after CodeLagging does not count against the budget. A job is
// never retried after CodeReadOnly or CodeUndefinedStatement.
func (g *group) retryOrFail(now timekeeper.Millis, j *job, s *server, a Answer) {
	mayHaveRun := a.Code == CodeFailed || a.Code == CodeTimeout || a.Code == CodeInDoubt
	j.mayHaveRun = j.mayHaveRun || mayHaveRun
	if mayHaveRun && (j.hasSideEffects() || !j.retryable()) {
		g.complete(now, j, a)
		return
	}
	switch a.Code {
	case CodeLagging, CodeFailed, CodeTimeout:
		if j.excluded == nil {
			j.excluded = map[string]bool{}
		}
		j.excluded[s.ID] = true
	case CodeNotRun:
		s.backoffUntil = now + s.refusalBackoff()
	case CodeReadOnly:
		g.log("server is not the primary", observer.F("server", s.ID), observer.F("term", g.lease.Term), observer.F("position", a.Position.String()))
	}
	if j.attempts >= attemptLimit || g.retryBudget < 1 || now+timekeeper.Millis(s.serviceTime) >= j.deadline ||
		a.Code == CodeReadOnly || a.Code == CodeUndefinedStatement {
		if mayHaveRun {
			g.complete(now, j, a)
			return
		}
		g.reject(now, j, g.retryDelay(now), a.Code.String()+": "+a.Text)
		return
	}
	if a.Code != CodeLagging {
		g.retryBudget--
	}
	g.mux.deps.Log(Decision{Part: "request", Request: j.statement.ID, Outcome: "tried again", Inputs: []observer.Field{
		observer.F("server", s.ID), observer.F("code", a.Code.String()), observer.F("attempts", j.attempts), observer.F("floor", j.floor.String()),
		observer.F("position", a.Position.String()), observer.F("lag", int64(s.lag)), observer.F("budget", int(g.retryBudget)), observer.F("left", int64(j.deadline-now)),
	}})
	j.conn = nil
	g.enqueue(now, j)
}

// handleConnLoss completes or retries the statement on a lost connection.
func (g *group) handleConnLoss(now timekeeper.Millis, c *conn) {
	s := c.server
	pinnedSession := c.pinnedSession
	c.pinnedSession = nil
	if pinnedSession != nil && pinnedSession.tx != nil && pinnedSession.tx.conn == c {
		pinnedSession.tx.conn = nil
	}
	j := c.job
	if j == nil {
		if pinnedSession != nil {
			g.mux.abort(now, pinnedSession)
		}
		return
	}
	sent := j.step == stepRun
	g.balance.unanswered(now, j, s)
	g.unassign(now, j)
	switch {
	case pinnedSession != nil && sent && j.hasSideEffects():
		g.complete(now, j, Answer{Code: CodeInDoubt, Text: "the connection to the server broke"})
	case pinnedSession != nil && (sent || pinnedSession.tx.begun):
		g.complete(now, j, Answer{Code: CodeAborted, Text: "the connection to the server broke"})
	case sent:
		g.retryOrFail(now, j, s, Answer{Code: CodeInDoubt, Text: "the connection to the server broke"})
	default:
		g.retryOrFail(now, j, s, Answer{Code: CodeNotRun, Text: "the connection to the server broke"})
	}
}
