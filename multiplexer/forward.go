package multiplexer

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// TransactionStart says how a forwarded statement relates to a transaction.
type TransactionStart string

// Values of TransactionStart.
const (
	// StartNone: the statement is outside a transaction.
	StartNone TransactionStart = ""
	// StartWrite: the statement is the first of a transaction.
	StartWrite TransactionStart = "write"
	// StartRead: the statement is the first of a read-only transaction.
	StartRead TransactionStart = "read"
	// StartContinue: the carrier has the transaction already.
	StartContinue TransactionStart = "continue"
)

// ForwardRequest asks a carrier to run one statement of another daemon's
// client. What the carrier needs of the client's session comes along.
type ForwardRequest struct {
	// Work identifies a single statement or a transaction. The requester uses no
	// number twice.
	Work      uint64             `json:"work"`
	Start     TransactionStart   `json:"start,omitempty"`
	Statement Statement          `json:"statement"`
	Database  cataloger.Database `json:"database"`
	// Account is the client account that the statement runs for. In an open database
	// it only distinguishes clients.
	Account string `json:"account"`
	// Key is the digest of the client's key, and Catalog the version of the catalog
	// in which the requester found the account.
	Key     cataloger.KeyDigest `json:"key,omitempty"`
	Catalog int64               `json:"catalog,omitempty"`
	// Left is how many milliseconds of the statement's time limit remain.
	Left timekeeper.Millis `json:"left"`
	// Values are the session's values.
	Values map[string]string `json:"values,omitempty"`
	// Shape and Writes describe the prepared statement that the statement
	// executes.
	Shape  string `json:"shape,omitempty"`
	Writes bool   `json:"writes,omitempty"`
	// Floor is the position of the session's last commit.
	Floor sequencer.Position `json:"floor"`
}

// Validate returns an Error of KindInvalid if a carrier can't run the request.
func (r ForwardRequest) Validate() error {
	invalid := func(text string) error {
		return &Error{Op: "decode forwarded statement", Kind: KindInvalid, Text: text}
	}
	switch r.Start {
	case StartNone, StartWrite, StartRead, StartContinue:
	default:
		return invalid("start: unknown value")
	}
	switch r.Statement.Kind {
	case KindRead, KindWrite, KindExecute:
	case KindCommit:
		if r.Start == StartNone {
			return invalid("statement: a commit outside a transaction")
		}
	default:
		return invalid("statement: not run by servers")
	}
	switch {
	case r.Work == 0:
		return invalid("work: is 0")
	case r.Database.Name == "" || r.Database.Group == "":
		return invalid("database: has no name or group")
	case r.Left < 0 || r.Left > maxForwardedTime:
		return invalid("left: out of range")
	}
	return nil
}

// maxForwardedTime bounds how long a carrier keeps a forwarded statement.
const maxForwardedTime timekeeper.Millis = 10 * 60_000

// ForwardAnswer is a carrier's answer to a ForwardRequest.
type ForwardAnswer struct {
	// Unavailable says that the carrier can't run the group's work now. The
	// statement did not run; another daemon should get it.
	Unavailable bool   `json:"unavailable,omitempty"`
	Answer      Answer `json:"answer"`
}

// ForwardReply passes the answer to a forwarded statement to the daemon on a
// link.
type ForwardReply struct {
	Link, Work uint64
	Answer     ForwardAnswer
}

func (ForwardReply) command() {}

// forwardedWork identifies work that another daemon has forwarded over a link.
type forwardedWork struct {
	link, work uint64
}

// forwardedSessionBit is set in the ids of the sessions that stand for other
// daemons' clients.
const forwardedSessionBit = 1 << 63

// RunForwarded runs a statement that another daemon has forwarded over a link.
// The answer is a ForwardReply. An invalid request and a transaction that is
// not open are answered with CodeMalformed and CodeAborted.
func (m *Multiplexer) RunForwarded(now timekeeper.Millis, link uint64, r ForwardRequest) []Command {
	work := forwardedWork{link: link, work: r.Work}
	refuse := func(a ForwardAnswer) []Command {
		m.emit(ForwardReply{Link: link, Work: r.Work, Answer: a})
		return m.takeCommands()
	}
	if err := r.Validate(); err != nil {
		return refuse(ForwardAnswer{Answer: Answer{Code: CodeMalformed, Text: err.Error()}})
	}
	s := m.forwarded[work]
	switch {
	case r.Start == StartContinue && (s == nil || s.tx == nil || s.tx.aborted):
		if s != nil {
			m.forgetForwarded(s)
		}
		return refuse(ForwardAnswer{Answer: Answer{Code: CodeAborted, Text: "the transaction is not open at its carrier"}})
	case s != nil && s.job != nil:
		return refuse(ForwardAnswer{Answer: Answer{Code: CodeMalformed, Text: "a statement is in progress"}})
	case r.Start != StartContinue && (s != nil || m.finished[work] > 0):
		return refuse(ForwardAnswer{Answer: Answer{Code: CodeMalformed, Text: "the work is known already"}})
	case r.Start != StartContinue && !m.canCarry(now, r):
		return refuse(ForwardAnswer{Unavailable: true, Answer: Answer{Code: CodeNotRun, Text: "the carrier can't run the group's work", RetryAfter: defaultRetryDelay}})
	}
	if s == nil {
		m.forwardedCount++
		s = &session{id: forwardedSessionBit | m.forwardedCount, database: r.Database.Name, account: r.Account, key: r.Key, catalog: r.Catalog, prepared: map[string]prepared{}, work: &work}
		account, denial := m.resolveAccount(now, s, r.Database)
		if denial.Code != CodeOK {
			return refuse(ForwardAnswer{Answer: denial})
		}
		if r.Start != StartNone {
			s.tx = &transaction{readOnly: r.Start == StartRead, database: r.Database, account: account, lastActive: now}
		}
		m.sessions[s.id] = s
		m.forwarded[work] = s
	}
	s.floor = sequencer.Max(s.floor, r.Floor)
	s.values = r.Values
	writes := r.Statement.Kind == KindWrite
	if r.Statement.Kind == KindExecute {
		writes = r.Writes
		s.prepared = map[string]prepared{r.Statement.Name: {writes: r.Writes, shape: r.Shape}}
	}
	if s.tx != nil {
		s.tx.lastActive = now
	}
	account, denial := m.resolveAccount(now, s, r.Database)
	if denial.Code == CodeOK && s.tx != nil && s.tx.account != account {
		denial = Answer{Code: CodeAborted, Text: "the key belongs to another account now"}
	}
	if denial.Code != CodeOK {
		m.abort(now, s)
		m.answerForwarded(s, denial)
		return m.takeCommands()
	}
	j := m.newJob(now, s, r.Statement, writes, r.Database)
	j.account, j.deadline = account, now+r.Left
	m.startJob(now, j)
	return m.takeCommands()
}

// canCarry reports whether this daemon can take on a forwarded statement: it
// knows the group's servers, does not drain and, if the statement needs the
// primary, its primary lease has not expired. While the primary is being
// changed it can: the statement may wait for the next primary.
func (m *Multiplexer) canCarry(now timekeeper.Millis, r ForwardRequest) bool {
	g := m.groups[r.Database.Group]
	if m.draining || !m.catalogLoaded || m.isolatedSince > 0 || g == nil || len(g.servers) == 0 {
		return false
	}
	return g.lease.Paused || now < g.lease.ValidUntil
}

// EndForwarded ends the work that another daemon has forwarded over a link:
// its client has left or has ended the transaction. An open transaction is
// rolled back. Unknown work is ignored.
func (m *Multiplexer) EndForwarded(now timekeeper.Millis, link, work uint64) []Command {
	if s := m.forwarded[forwardedWork{link: link, work: work}]; s != nil {
		return m.endForwarded(now, s)
	}
	return nil
}

// EndForwardedLink ends all work that was forwarded over a link, because the
// link has broken.
func (m *Multiplexer) EndForwardedLink(now timekeeper.Millis, link uint64) []Command {
	var out []Command
	for work, s := range m.forwarded {
		if work.link == link {
			out = append(out, m.endForwarded(now, s)...)
		}
	}
	return out
}

func (m *Multiplexer) endForwarded(now timekeeper.Millis, s *session) []Command {
	m.forgetForwarded(s)
	m.sessions[s.id] = s // Disconnect removes it
	return m.Disconnect(now, s.id)
}

// answerForwarded passes an answer to the daemon that forwarded the statement,
// and forgets the work unless its transaction stays open.
func (m *Multiplexer) answerForwarded(s *session, a Answer) {
	if !s.closed {
		m.emit(ForwardReply{Link: s.work.link, Work: s.work.work, Answer: ForwardAnswer{Answer: a}})
	}
	if s.tx == nil || s.tx.aborted {
		m.forgetForwarded(s)
	}
}

// finishedRetention is how long the numbers of finished forwarded work are kept, so
// that a message that arrives twice does not run it again.
const finishedRetention timekeeper.Millis = 10_000

// forgetForwarded removes the session of forwarded work that has ended.
func (m *Multiplexer) forgetForwarded(s *session) {
	delete(m.forwarded, *s.work)
	delete(m.sessions, s.id)
	m.finished[*s.work] = m.lastTick + 1
}

// tickFinished forgets the numbers of forwarded work that ended long ago.
func (m *Multiplexer) tickFinished(now timekeeper.Millis) {
	if now < m.finishedDue {
		return
	}
	m.finishedDue = now + finishedRetention/4
	for work, endedAt := range m.finished {
		if now-endedAt > finishedRetention {
			delete(m.finished, work)
		}
	}
}

// dropAborted forgets forwarded work whose transaction was rolled back between
// two statements.
func (m *Multiplexer) dropAborted(s *session) {
	if s.work != nil && s.job == nil {
		m.forgetForwarded(s)
	}
}
