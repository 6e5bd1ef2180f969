package multiplexer

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Kind is the kind of a statement.
type Kind int

// Kinds of statements.
const (
	KindRead Kind = iota
	KindWrite
	// KindExecute runs a prepared statement.
	KindExecute
	KindBegin
	// KindBeginRead begins a read-only transaction.
	KindBeginRead
	KindCommit
	KindRollback
	// KindSet sets a session value.
	KindSet
	KindPrepare
	// KindDeallocate removes a prepared statement.
	KindDeallocate
	// KindReset clears a connection's session values and prepared statements.
	KindReset
)

// Statement is one statement of a client, or one that this package sends to a
// server itself, such as a rollback or session setup.
type Statement struct {
	// ID is the client's request id; empty for this package's own statements.
	ID   string
	Kind Kind
	// Name is the name of the session value or prepared statement, if any.
	Name string
	// Args is the rest of the statement's text, passed on unchanged.
	Args string
	// Writes is set in a KindPrepare whose statement writes.
	Writes bool
	// Floor is the log position that the server's log must cover; zero requires
	// none.
	Floor sequencer.Position
}

// Code is the outcome of a statement or of an attempt to connect.
type Code int

// Codes of statements and connection attempts.
const (
	CodeOK Code = iota
	// CodeNotRun: the statement did not run and may be sent again.
	CodeNotRun
	// CodeAborted: the transaction was rolled back.
	CodeAborted
	// CodeLagging: the server's log does not cover the floor.
	CodeLagging
	// CodeReadOnly: the server is not, or no longer, the primary.
	CodeReadOnly
	// CodeWrongServer: the address belongs to another server now.
	CodeWrongServer
	// CodeTooManyConnections: the server accepts no more connections.
	CodeTooManyConnections
	// CodeFailed: the statement ran and failed.
	CodeFailed
	// CodeTimeout: the statement's time limit passed; it may have run.
	CodeTimeout
	// CodeInDoubt: the outcome is unknown, the statement may have run.
	CodeInDoubt
	// CodeNoDatabase: no database has the name.
	CodeNoDatabase
	// CodeMalformed: the statement does not fit the protocol or the session's
	// state.
	CodeMalformed
	// CodeUndefinedStatement: the prepared statement is not known.
	CodeUndefinedStatement
	// CodeDenied: the database is closed to the client, whose key no account has.
	CodeDenied
)

var codeNames = [...]string{
	"ok", "not run", "aborted", "lagging", "read only", "wrong server", "too many connections",
	"failed", "timeout", "in doubt", "no database", "malformed", "undefined", "denied",
}

// String returns the code's name, or "unknown code" for an undefined code.
func (c Code) String() string {
	if c < 0 || int(c) >= len(codeNames) {
		return "unknown code"
	}
	return codeNames[c]
}

// State is the transaction state of a session or server connection.
type State int

// Transaction states.
const (
	StateIdle State = iota
	StateInTransaction
	StateFailedTransaction
)

// Answer is a server's answer to a statement, or one that this package gives a
// client itself.
type Answer struct {
	Code Code
	Rows []string
	// Signature proves which server ran the statement; empty in answers that
	// this package gives itself.
	Signature string
	// Text explains an error.
	Text string
	// RetryAfter is after how many milliseconds a statement that did not run
	// may be sent again.
	RetryAfter timekeeper.Millis
	State      State
	// Position is the last log position that the server has applied; zero if
	// the answer has none.
	Position sequencer.Position
}

// Command is an instruction to the driver: a Reply, OpenConn, Send, CloseConn
// or CloseSession.
type Command interface{ command() }

// Reply sends an answer to the client of a session.
type Reply struct {
	Session uint64
	Answer  Answer
	// StateSize is the size in bytes of the session's values and prepared statements.
	StateSize int64
}

// OpenConn opens a connection to a server. The driver reports the result with
// ConnOpened, ConnRefused or ConnLost.
type OpenConn struct {
	Conn   pooler.Conn
	Server cataloger.Server
	// Account is the client account that the server is told; empty for a connection
	// of the daemon itself.
	Account string
	// Relayed asks for a connection through another daemon.
	Relayed bool
}

// Send runs statements on a connection in order. The driver reports the result
// with AnswersReceived or ConnLost.
type Send struct {
	Conn       pooler.Conn
	Statements []Statement
}

// CloseConn closes a connection to a server that is no longer used.
type CloseConn struct {
	Conn pooler.Conn
}

// CloseSession closes an idle session and disconnects its client.
type CloseSession struct {
	Session uint64
}

func (Reply) command()        {}
func (OpenConn) command()     {}
func (Send) command()         {}
func (CloseConn) command()    {}
func (CloseSession) command() {}
