package multiplexer

import (
	"maps"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// prepared is a client's prepared statement; shape is its text as the client
// sent it.
type prepared struct {
	writes bool
	shape  string
}

// serverName is the name that the statement has on every server connection. It
// depends on the content alone, so that sessions share prepared statements.
func (p prepared) serverName() string {
	kind := "r"
	if p.writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(xxhash.Sum64String(p.shape), 36)
}

// transaction is a client's open transaction.
type transaction struct {
	readOnly bool
	database cataloger.Database
	// account is the client account that the transaction runs for; empty if the database
	// is open.
	account string
	// conn is the server connection that the transaction is pinned to; nil
	// until its first statement.
	conn *conn
	// begun says that the server has begun the transaction.
	begun bool
	// work is the number under which a carrier has the transaction, and carrier
	// that daemon; 0 if this daemon runs it.
	work       uint64
	carrier    placer.Host
	lastActive timekeeper.Millis
	// aborted says that the transaction was rolled back before the client ended
	// it.
	aborted bool
}

// session is a client's open session.
type session struct {
	id       uint64
	database string
	// account distinguishes the clients of open databases.
	account string
	// key is the digest of the client's key. In a session that stands for another
	// daemon's client, catalog is the version of that daemon's catalog.
	key      cataloger.KeyDigest
	catalog  int64
	values   map[string]string
	prepared map[string]prepared
	// stateSize is the size of values and prepared in bytes.
	stateSize int64
	floor     sequencer.Position
	tx        *transaction
	job       *job
	// pipelined are statements that arrived while another one was in progress.
	pipelined []Statement
	// closed says that the client has disconnected, and closing that the driver
	// was asked to disconnect it with CloseSession.
	closed  bool
	closing bool
	// work is set in a session that stands for another daemon's client.
	work *forwardedWork
}

// idle reports whether the session has no statement in progress and no open
// transaction.
func (s *session) idle() bool {
	return s.job == nil && s.tx == nil && len(s.pipelined) == 0
}

func (s *session) state() State {
	switch {
	case s.tx == nil:
		return StateIdle
	case s.tx.aborted:
		return StateFailedTransaction
	}
	return StateInTransaction
}

// Connect opens a session on a database for the client with a key, which is any
// word if the database is open. The answer's code is CodeOK if the session is open,
// CodeNotRun if the catalog is not known well enough, CodeNoDatabase if it lacks the
// database, and CodeDenied if no account has the key.
func (m *Multiplexer) Connect(now timekeeper.Millis, id uint64, database, key string) Answer {
	if !m.catalogLoaded {
		return Answer{Code: CodeNotRun, Text: "the catalog is not known yet", RetryAfter: 500}
	}
	d, found := m.catalog.Database(database)
	if !found {
		m.deps.Log(Decision{Part: "session", Outcome: "refused: unknown database", Inputs: []observer.Field{
			observer.F("database", database), observer.F("catalog", m.catalog.Version),
		}})
		return Answer{Code: CodeNoDatabase, Text: database}
	}
	s := &session{
		id: id, database: database, account: key, key: cataloger.DigestKey(key),
		values: map[string]string{}, prepared: map[string]prepared{},
	}
	if m.catalog.AccountCount() > 0 {
		s.account = string(s.key) // keys stay in the session that they open
	}
	if _, denial := m.resolveAccount(now, s, d); denial.Code != CodeOK {
		return denial
	}
	m.sessions[id] = s
	return Answer{}
}

// Disconnect ends a session. It rolls back an open transaction and removes a
// queued statement.
func (m *Multiplexer) Disconnect(now timekeeper.Millis, id uint64) []Command {
	s := m.sessions[id]
	if s == nil {
		return nil
	}
	delete(m.sessions, id)
	s.closed = true
	s.pipelined = nil
	switch j := s.job; {
	case j == nil:
	case j.step == stepAdmission:
		m.cancelAdmission(j)
		s.job = nil
	case j.conn == nil && j.step != stepForwarded:
		j.group.cancelWaiting(j)
	}
	if s.job == nil && s.tx != nil {
		m.endTransactionForward(s)
		if s.tx.conn != nil {
			m.rollback(now, s.tx.conn)
			s.tx.conn = nil
		}
	}
	return m.takeCommands()
}

// Run runs a client's statement after the session's earlier ones. The answer is
// a Reply command. Statements of an unknown session are ignored.
func (m *Multiplexer) Run(now timekeeper.Millis, id uint64, st Statement) []Command {
	s := m.sessions[id]
	if s == nil {
		return nil
	}
	if s.job != nil {
		s.pipelined = append(s.pipelined, st)
		return nil
	}
	m.run(now, s, st)
	return m.takeCommands()
}

// run answers a statement from the session's state, or queues it for a server.
func (m *Multiplexer) run(now timekeeper.Millis, s *session, st Statement) {
	if s.tx != nil {
		s.tx.lastActive = now
		if s.tx.aborted && st.Kind != KindRollback && st.Kind != KindCommit {
			m.answer(s, Answer{Code: CodeMalformed, Text: "the transaction was rolled back"})
			return
		}
	}
	switch st.Kind {
	case KindSet:
		old, found := s.values[st.Name]
		if !m.resizeState(s, stateCost(found, st.Name, old), stateCost(true, st.Name, st.Args)) {
			return
		}
		s.values = maps.Clone(s.values)
		s.values[st.Name] = st.Args
		m.answer(s, Answer{})
	case KindPrepare:
		old, found := s.prepared[st.Name]
		if !m.resizeState(s, stateCost(found, st.Name, old.shape), stateCost(true, st.Name, st.Args)) {
			return
		}
		s.prepared[st.Name] = prepared{writes: st.Writes, shape: st.Args}
		m.answer(s, Answer{})
	case KindDeallocate:
		old, found := s.prepared[st.Name]
		s.stateSize -= stateCost(found, st.Name, old.shape)
		delete(s.prepared, st.Name)
		m.answer(s, Answer{})
	case KindBegin, KindBeginRead:
		m.begin(now, s, st)
	case KindRollback:
		m.rollbackSession(now, s)
	case KindRead, KindWrite, KindExecute, KindCommit:
		m.execute(now, s, st)
	default:
		m.answer(s, Answer{Code: CodeMalformed, Text: "not a caller's statement"})
	}
}

// answer replies to the client and adds the session's transaction state.
func (m *Multiplexer) answer(s *session, a Answer) {
	a.State = s.state()
	if s.work != nil {
		m.answerForwarded(s, a)
		return
	}
	if !s.closed {
		m.emit(Reply{Session: s.id, Answer: a, StateSize: s.stateSize})
	}
}

// entryCost is the size in bytes of an entry of a session's state besides its texts.
const entryCost = 128

// stateCost returns the size of an entry of a session's state, 0 if there is none.
func stateCost(found bool, name, text string) int64 {
	if !found {
		return 0
	}
	return int64(len(name)+len(text)) + entryCost
}

// resizeState changes the size of a session's state from that with an old entry to that
// with a new one. It answers the statement and reports false if the state would be
// larger than the limit.
func (m *Multiplexer) resizeState(s *session, before, after int64) bool {
	size, limit := s.stateSize-before+after, m.settings.SessionState
	if limit > 0 && size > limit && after > before {
		m.answer(s, Answer{Code: CodeFailed, Text: "the session's values and prepared statements are larger than the limit of " + strconv.FormatInt(limit, 10) + " bytes"})
		return false
	}
	s.stateSize = size
	return true
}

// begin opens a transaction in the session. The server begins it with its first
// statement.
func (m *Multiplexer) begin(now timekeeper.Millis, s *session, st Statement) {
	if s.tx != nil {
		m.answer(s, Answer{Code: CodeMalformed, Text: "a transaction is open"})
		return
	}
	database, found := m.catalog.Database(s.database)
	if !found {
		m.answer(s, Answer{Code: CodeNoDatabase, Text: s.database})
		return
	}
	account, denial := m.resolveAccount(now, s, database)
	if denial.Code != CodeOK {
		m.answer(s, denial)
		return
	}
	s.tx = &transaction{readOnly: st.Kind == KindBeginRead, database: database, account: account, lastActive: now}
	m.answer(s, Answer{})
}

// rollbackSession ends the session's transaction on the client's request.
func (m *Multiplexer) rollbackSession(now timekeeper.Millis, s *session) {
	if s.tx == nil {
		m.answer(s, Answer{Code: CodeMalformed, Text: "no transaction is open"})
		return
	}
	m.endTransactionForward(s)
	if s.tx.conn != nil {
		m.rollback(now, s.tx.conn)
	}
	s.tx = nil
	m.answer(s, Answer{})
}

// execute creates a job for a statement that a server must run.
func (m *Multiplexer) execute(now timekeeper.Millis, s *session, st Statement) {
	if st.Kind == KindCommit && s.tx == nil {
		m.answer(s, Answer{Code: CodeMalformed, Text: "no transaction is open"})
		return
	}
	if s.tx != nil && s.tx.aborted {
		s.tx = nil
		m.answer(s, Answer{Code: CodeAborted, Text: "the transaction was rolled back"})
		return
	}
	writes := st.Kind == KindWrite
	if st.Kind == KindExecute {
		p, found := s.prepared[st.Name]
		if !found {
			m.abort(now, s)
			m.answer(s, Answer{Code: CodeUndefinedStatement, Text: st.Name})
			return
		}
		writes = p.writes
	}
	database, found := m.catalog.Database(s.database)
	if s.tx != nil {
		database, found = s.tx.database, true
	}
	if !found {
		m.answer(s, Answer{Code: CodeNoDatabase, Text: s.database})
		return
	}
	account, denial := m.resolveAccount(now, s, database)
	if denial.Code == CodeOK && s.tx != nil && s.tx.account != account {
		denial = Answer{Code: CodeAborted, Text: "the key belongs to another account now"}
	}
	if denial.Code != CodeOK {
		m.abort(now, s)
		if st.Kind == KindCommit {
			s.tx = nil
		}
		m.answer(s, denial)
		return
	}
	j := m.newJob(now, s, st, writes, database)
	j.account = account
	m.startJob(now, j)
}

// newJob returns a job for a session's statement with the database's time
// limit.
func (m *Multiplexer) newJob(now timekeeper.Millis, s *session, st Statement, writes bool, database cataloger.Database) *job {
	m.jobCount++
	return &job{
		id: strconv.FormatUint(m.jobCount, 36), session: s, statement: st, writes: writes, database: database,
		group: m.group(database.Group), arrived: now, deadline: now + database.Timeout,
	}
}

// abort rolls an open transaction back at the server. The session stays in a
// failed transaction until the client ends it.
func (m *Multiplexer) abort(now timekeeper.Millis, s *session) {
	if s.tx == nil {
		return
	}
	m.endTransactionForward(s)
	if s.tx.conn != nil {
		m.rollback(now, s.tx.conn)
		s.tx.conn = nil
	}
	s.tx.aborted = true
}

// reply answers a job's client and runs the session's next pipelined statement.
func (m *Multiplexer) reply(now timekeeper.Millis, j *job, a Answer) {
	s := j.session
	if s.job != j {
		return
	}
	s.job = nil
	if s.tx != nil {
		s.tx.lastActive = now
	}
	m.refund(now, j, a)
	m.logOutcome(now, j, a)
	m.answer(s, a)
	if s.closed {
		m.abort(now, s)
		return
	}
	if len(s.pipelined) > 0 {
		next := s.pipelined[0]
		s.pipelined = s.pipelined[1:]
		m.run(now, s, next)
	}
}

// logOutcome counts and logs the answer to a job.
func (m *Multiplexer) logOutcome(now timekeeper.Millis, j *job, a Answer) {
	if m.deps.Count != nil && j.session.work == nil {
		m.deps.Count(a.Code, j.database.Rank, now-j.arrived)
	}
	server := ""
	if j.server != nil {
		server = j.server.ID
	}
	if j.step == stepForwarded {
		server = "carrier " + j.carrier.Name
	}
	m.deps.Log(Decision{Part: "request", Request: j.statement.ID, Outcome: a.Code.String(), Inputs: []observer.Field{
		observer.F("database", j.database.Name), observer.F("account", j.account), observer.F("server", server), observer.F("rank", int(j.database.Rank)),
		observer.F("attempts", j.attempts), observer.F("took", int64(now-j.arrived)), observer.F("queued", int64(j.queueTime(now))),
		observer.F("floor", j.floor.String()), observer.F("position", a.Position.String()),
		observer.F("primary", j.group.lease.Server), observer.F("term", j.group.lease.Term), observer.F("authority", int64(j.group.lease.ValidUntil-now)),
		observer.F("catalog", m.catalog.Version), observer.F("retry", int64(a.RetryAfter)), observer.F("text", a.Text),
	}})
}

// tickSessions rolls back transactions that have been idle for too long.
func (m *Multiplexer) tickSessions(now timekeeper.Millis) {
	limit := m.catalog.IdleTransactionTimeout
	if limit <= 0 {
		return
	}
	for _, c := range m.conns {
		s := c.pinnedSession
		if s == nil || s.tx == nil || s.tx.conn != c || s.job != nil || now-s.tx.lastActive <= limit {
			continue
		}
		m.deps.Log(Decision{Part: "session", Outcome: "idle transaction rolled back", Inputs: []observer.Field{
			observer.F("database", s.database), observer.F("server", c.server.ID), observer.F("idle", int64(now-s.tx.lastActive)),
		}})
		m.abort(now, s)
		m.dropAborted(s)
	}
}

// rankOf clamps a database's rank to the ranks of the queue.
func rankOf(d cataloger.Database) scheduler.Rank {
	return min(max(d.Rank, 0), scheduler.NumRanks-1)
}

// Reject answers a message that is not a statement with CodeMalformed and a
// text. It aborts an open transaction.
func (m *Multiplexer) Reject(now timekeeper.Millis, id uint64, text string) []Command {
	s := m.sessions[id]
	if s == nil {
		return nil
	}
	m.abort(now, s)
	m.answer(s, Answer{Code: CodeMalformed, Text: text})
	return m.takeCommands()
}

// Refuse answers a statement that the driver did not pass on, and so did not run, with
// a. If that ends an open transaction, the code is CodeAborted.
func (m *Multiplexer) Refuse(now timekeeper.Millis, id uint64, a Answer) []Command {
	s := m.sessions[id]
	if s == nil {
		return nil
	}
	if s.tx != nil {
		m.abort(now, s)
		a.Code = CodeAborted
	}
	m.answer(s, a)
	return m.takeCommands()
}
