package multiplexer

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// ConnOpened tells that a connection was opened.
func (m *Multiplexer) ConnOpened(now timekeeper.Millis, id pooler.Conn, a Answer) []Command {
	c := m.conns[id]
	if c == nil {
		m.emit(CloseConn{Conn: id})
		return m.take()
	}
	s := c.server
	g := m.group(s.Group)
	c.opening = false
	g.reached(now, c)
	g.revive(now, s)
	s.learn(now, g, a.Position)
	if s.gone || !s.pool.MarkOpen(now, id) {
		m.closeConn(now, id)
		return m.take()
	}
	g.pump(now)
	return m.take()
}

// ConnRefused tells that a server refused a connection.
func (m *Multiplexer) ConnRefused(now timekeeper.Millis, id pooler.Conn, a Answer) []Command {
	c := m.conns[id]
	if c == nil {
		return nil
	}
	s := c.server
	g := m.group(s.Group)
	m.forget(now, c)
	g.log("connection refused", observer.F("server", s.ID), observer.F("code", a.Code.String()), observer.F("open", s.pool.Size()))
	if a.Code == CodeTooManyConnections {
		g.reached(now, c)
		g.revive(now, s)
	}
	if a.Code == CodeWrongServer {
		g.silence(now, s, "another server has the address")
	}
	g.pump(now)
	return m.take()
}

// ConnLost tells that a connection could not be opened, broke or gave no answer in
// time.
func (m *Multiplexer) ConnLost(now timekeeper.Millis, id pooler.Conn) []Command {
	c := m.conns[id]
	if c == nil {
		return nil
	}
	s := c.server
	g := m.group(s.Group)
	m.forget(now, c)
	if c.opening && g.unreached(c) {
		g.silence(now, s, "no connection can be opened")
	}
	g.broken(now, c)
	g.pump(now)
	return m.take()
}

// closeConn closes a connection that this program no longer wants.
func (m *Multiplexer) closeConn(now timekeeper.Millis, id pooler.Conn) {
	c := m.conns[id]
	if c != nil {
		m.forget(now, c)
	}
	m.emit(CloseConn{Conn: id})
}

// forget drops a connection from all books but those of its job and holder.
func (m *Multiplexer) forget(now timekeeper.Millis, c *conn) {
	delete(m.conns, c.id)
	delete(c.server.conns, c.id)
	c.server.pool.Remove(now, c.id)
}

// rollback ends the transaction that is open on a connection and frees it.
func (m *Multiplexer) rollback(now timekeeper.Millis, c *conn) {
	holder := c.holder
	c.holder = nil
	if holder != nil && holder.tx != nil && !holder.tx.begun {
		m.free(now, c)
		return
	}
	c.cleaning = true
	c.sent = now
	m.emit(Send{Conn: c.id, Statements: []Statement{{Kind: KindRollback}}})
}

// free gives a connection back to its pool.
func (m *Multiplexer) free(now timekeeper.Millis, c *conn) {
	c.holder = nil
	if c.server.gone {
		m.closeConn(now, c.id)
		return
	}
	c.server.pool.Put(now, c.id)
}

// AnswersReceived takes the answers to what was sent last on a connection.
func (m *Multiplexer) AnswersReceived(now timekeeper.Millis, id pooler.Conn, answers []Answer) []Command {
	c := m.conns[id]
	if c == nil || len(answers) == 0 {
		return nil
	}
	s := c.server
	g := m.group(s.Group)
	g.revive(now, s)
	last := answers[len(answers)-1]
	s.learn(now, g, last.Position)
	if c.cleaning {
		c.cleaning = false
		if last.Code == CodeOK && last.State == StateIdle {
			m.free(now, c)
		} else {
			m.closeConn(now, id)
		}
		g.pump(now)
		return m.take()
	}
	if j := c.job; j != nil {
		g.answered(now, j, c, answers)
	}
	g.pump(now)
	return m.take()
}

// release ends a job's use of its connection.
func (g *group) release(now timekeeper.Millis, j *job) {
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

// answered takes the answers to a job's present step.
func (g *group) answered(now timekeeper.Millis, j *job, c *conn, answers []Answer) {
	last := answers[len(answers)-1]
	if j.step == stepPrepare || j.step == stepBegin {
		for _, a := range answers {
			if a.Code != CodeOK {
				g.failedEarly(now, j, c, a)
				return
			}
		}
		if j.step == stepBegin {
			j.session.tx.begun = true
		}
		g.proceed(now, j)
		return
	}
	g.observe(now, j, c.server, last)
	g.release(now, j)
	if last.Code == CodeOK {
		g.succeeded(now, j, c, last)
		return
	}
	g.failed(now, j, c, last)
}

// observe learns from the answer to a statement that the primary may have run.
func (g *group) observe(now timekeeper.Millis, j *job, s *server, a Answer) {
	s.judge(now, a.Code == CodeFailed)
	if a.Code == CodeOK {
		s.measure(now - j.sent)
		rank := rankOf(j.database)
		g.costs[rank] += smoothing * (float64(now-j.sent) - g.costs[rank])
	}
	if a.Code != CodeOK || a.Position.IsZero() || !g.isLead(s) || now >= g.lead.ValidUntil {
		return
	}
	if g.lead.Term == 0 {
		g.lead.Term = a.Position.Term
		g.lead.History = g.lead.History.WithTerm(a.Position.Term, 0)
	}
	if a.Position.Term != g.lead.Term || !j.needsLead() && j.session.tx != nil {
		return
	}
	if g.highest.Before(a.Position) {
		g.highest = a.Position
	}
	g.samples.Observe(j.sent, a.Position)
}

// succeeded passes a server's success on, if it may be believed.
func (g *group) succeeded(now timekeeper.Millis, j *job, c *conn, a Answer) {
	s := j.session
	if !g.mayAnswer(now, c.server, j) {
		g.log("answer withheld", observer.F("server", c.server.ID), observer.F("until", int64(g.lead.ValidUntil)), observer.F("late", int64(now-g.lead.ValidUntil)))
		g.doubt(now, j, c)
		return
	}
	commits := j.statement.Kind == KindCommit
	if (commits || j.changes()) && s.floor.Before(a.Position) {
		s.floor = a.Position
	}
	if s.tx != nil && !commits {
		g.mux.finish(now, j, a)
		return
	}
	if commits {
		s.tx = nil
	}
	if a.State != StateIdle {
		g.mux.closeConn(now, c.id)
		c.holder = nil
	} else {
		g.mux.free(now, c)
	}
	g.mux.finish(now, j, a)
}

// doubt ends a job whose answer must not be passed on.
func (g *group) doubt(now timekeeper.Millis, j *job, c *conn) {
	g.mux.closeConn(now, c.id)
	c.holder = nil
	if j.session.tx != nil {
		j.session.tx.conn = nil
	}
	if j.changes() {
		g.end(now, j, Answer{Code: CodeInDoubt, Text: "the server may no longer be the primary"})
		return
	}
	if j.session.tx == nil {
		j.ran = true
		g.refuse(now, j, g.comeBack(now), "the server may no longer be the primary")
		return
	}
	g.end(now, j, Answer{Code: CodeAborted, Text: "the server may no longer be the primary"})
}

// failedEarly handles an error before the caller's statement itself was sent.
func (g *group) failedEarly(now timekeeper.Millis, j *job, c *conn, a Answer) {
	fresh := j.session.tx == nil || !j.session.tx.begun
	g.release(now, j)
	c.holder = nil
	if j.session.tx != nil {
		j.session.tx.conn = nil
	}
	if j.step == stepBegin && a.State == StateIdle {
		g.mux.free(now, c)
	} else {
		g.mux.closeConn(now, c.id)
	}
	if !fresh {
		g.end(now, j, Answer{Code: CodeAborted, Text: a.Code.String() + ": " + a.Text})
		return
	}
	g.again(now, j, c.server, a)
}

// failed handles an error of the caller's statement.
func (g *group) failed(now timekeeper.Millis, j *job, c *conn, a Answer) {
	if tx := j.session.tx; tx != nil {
		tx.conn = nil
		c.holder = nil
		if a.State == StateIdle {
			g.mux.free(now, c)
		} else {
			g.mux.rollback(now, c)
		}
		g.end(now, j, g.told(j, a))
		return
	}
	if a.State == StateIdle {
		g.mux.free(now, c)
	} else {
		g.mux.closeConn(now, c.id)
	}
	g.again(now, j, c.server, a)
}

// told is what a caller is told of an error inside its transaction.
func (g *group) told(j *job, a Answer) Answer {
	switch a.Code {
	case CodeNotRun, CodeLagging, CodeReadOnly, CodeUndefinedStatement:
		if j.statement.Kind == KindCommit && a.Code == CodeNotRun {
			return Answer{Code: CodeAborted, Text: a.Text, RetryAfter: retryShort}
		}
		return Answer{Code: CodeAborted, Text: a.Code.String() + ": " + a.Text, RetryAfter: retryShort}
	}
	if j.statement.Kind == KindCommit {
		return Answer{Code: CodeInDoubt, Text: a.Code.String() + ": " + a.Text}
	}
	return Answer{Code: a.Code, Text: a.Text}
}

// again sends a job that did not run, or that may run twice, to another server
// where that can help, and tells its caller otherwise.
func (g *group) again(now timekeeper.Millis, j *job, s *server, a Answer) {
	ran := a.Code == CodeFailed || a.Code == CodeTimeout || a.Code == CodeInDoubt
	j.ran = j.ran || ran
	if ran && (j.changes() || !j.repeatable()) {
		g.end(now, j, a)
		return
	}
	switch a.Code {
	case CodeLagging, CodeFailed, CodeTimeout:
		if j.avoided == nil {
			j.avoided = map[string]bool{}
		}
		j.avoided[s.ID] = true
	case CodeNotRun:
		s.fullUntil = now + fullPause
	case CodeReadOnly:
		g.log("server is not the primary", observer.F("server", s.ID), observer.F("term", g.lead.Term), observer.F("position", a.Position.String()))
	}
	if j.attempts >= attemptLimit || g.budget < 1 || now+timekeeper.Millis(s.service) >= j.due ||
		a.Code == CodeReadOnly || a.Code == CodeUndefinedStatement {
		if ran {
			g.end(now, j, a)
			return
		}
		g.refuse(now, j, g.comeBack(now), a.Code.String()+": "+a.Text)
		return
	}
	if a.Code != CodeLagging {
		g.budget--
	}
	g.mux.deps.Log(Decision{Part: "request", Request: j.statement.ID, Outcome: "tried again", Inputs: []observer.Field{
		observer.F("server", s.ID), observer.F("code", a.Code.String()), observer.F("attempts", j.attempts), observer.F("floor", j.floor.String()),
		observer.F("position", a.Position.String()), observer.F("lag", int64(s.lag)), observer.F("budget", int(g.budget)), observer.F("left", int64(j.due-now)),
	}})
	j.conn = nil
	g.place(now, j)
}

// broken ends what ran on a connection that was lost.
func (g *group) broken(now timekeeper.Millis, c *conn) {
	s := c.server
	holder := c.holder
	c.holder = nil
	if holder != nil && holder.tx != nil && holder.tx.conn == c {
		holder.tx.conn = nil
	}
	j := c.job
	if j == nil {
		if holder != nil {
			g.mux.abort(now, holder)
		}
		return
	}
	sent := j.step == stepRun
	g.release(now, j)
	switch {
	case holder != nil && sent && j.changes():
		g.end(now, j, Answer{Code: CodeInDoubt, Text: "the connection to the server broke"})
	case holder != nil && (sent || holder.tx.begun):
		g.end(now, j, Answer{Code: CodeAborted, Text: "the connection to the server broke"})
	case sent:
		g.again(now, j, s, Answer{Code: CodeInDoubt, Text: "the connection to the server broke"})
	default:
		g.again(now, j, s, Answer{Code: CodeNotRun, Text: "the connection to the server broke"})
	}
}

// revive notes a sign of life of a server.
func (g *group) revive(now timekeeper.Millis, s *server) {
	s.heard = now
	if s.silent {
		s.silent, s.silentSince = false, 0
		g.log("server answers again", observer.F("server", s.ID))
	}
}

// silence leaves a server out that does not answer. Its idle connections are
// closed, since the path they use is in doubt. Another daemon is tried at once, the
// own path later.
func (g *group) silence(now timekeeper.Millis, s *server, why string) {
	found := !s.silent
	if found {
		s.silent, s.silentSince = true, now
	}
	s.silentUntil = now
	if s.failures > 0 || !g.relays(s) {
		s.silentUntil += g.mux.settings.ProbeInterval
	}
	for _, id := range s.pool.RemoveIdle() {
		g.mux.closeConn(now, id)
	}
	if !found {
		return
	}
	g.log("server is silent: "+why, observer.F("server", s.ID), observer.F("heard", int64(now-s.heard)))
	g.refuseHopeless(now)
}

// tick ends what is late and looks for silent servers.
func (g *group) tick(now timekeeper.Millis) {
	for _, item := range g.queue.Expire(now) {
		j := g.waiting[item.ID]
		delete(g.waiting, item.ID)
		g.refuse(now, j, retryShort, "no server was free in time")
	}
	for _, j := range sortedJobs(g.running) {
		g.overdue(now, j)
	}
	g.refuseHopeless(now)
	for _, s := range g.servers {
		if since := s.waiting(); since > 0 && now-since > silentFactor*g.mux.settings.MinAnswerTimeout && !s.silent {
			g.silence(now, s, "answers are outstanding")
		}
	}
	g.pump(now)
}

// overdue ends a job whose time is up. A read whose answer does not come is sent
// to another server, and a transaction whose statement gets no answer is rolled
// back, so that the caller can repeat it in time. A change has to wait: whether
// it took effect can't be told.
func (g *group) overdue(now timekeeper.Millis, j *job) {
	c := j.conn
	late := now-c.sent > max(g.mux.settings.MinAnswerTimeout, timekeeper.Millis(overdueFactor*c.server.service))
	if now < j.due && (!late || j.changes() || j.attempts >= attemptLimit) {
		return
	}
	g.log("answer overdue", observer.F("server", c.server.ID), observer.F("request", j.statement.ID), observer.F("sent", int64(now-c.sent)),
		observer.F("heard", int64(now-c.server.heard)))
	begun := j.session.tx != nil && j.session.tx.begun
	j.session.detach(c)
	g.release(now, j)
	c.holder = nil
	g.mux.closeConn(now, c.id)
	if late && c.sent > c.server.heard {
		g.silence(now, c.server, "an answer is overdue")
	}
	switch {
	case j.step == stepRun && j.changes():
		g.end(now, j, Answer{Code: CodeInDoubt, Text: "the time limit passed"})
	case begun || j.session.tx != nil && j.step == stepRun:
		g.end(now, j, Answer{Code: CodeAborted, Text: "the server did not answer in time", RetryAfter: retryShort})
	case now < j.due:
		g.again(now, j, c.server, Answer{Code: CodeTimeout, Text: "the server did not answer"})
	case j.step != stepRun:
		g.refuse(now, j, retryShort, "the server did not answer in time")
	default:
		g.end(now, j, Answer{Code: CodeTimeout, Text: "the time limit passed"})
	}
}

// detach parts a session's transaction from a connection.
func (s *session) detach(c *conn) {
	if s.tx != nil && s.tx.conn == c {
		s.tx.conn = nil
	}
}

// ReleasePrimary ends everything that runs on a group's primary, so that this daemon
// passes none of its answers on any more.
func (m *Multiplexer) ReleasePrimary(now timekeeper.Millis, name string) []Command {
	g := m.group(name)
	s := g.byID[g.lead.Server]
	if s == nil {
		return m.take()
	}
	for _, id := range slices.Sorted(maps.Keys(s.conns)) {
		c := s.conns[id]
		if c.holder == nil && (c.job == nil || !c.job.needsLead()) {
			continue
		}
		m.forget(now, c)
		m.emit(CloseConn{Conn: id})
		g.broken(now, c)
	}
	g.pump(now)
	return m.take()
}

func sortedJobs(jobs map[string]*job) []*job {
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
