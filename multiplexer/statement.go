package multiplexer

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Kind is what a statement does.
type Kind int

// Kinds of statements.
const (
	KindRead Kind = iota
	KindWrite
	KindExecute
	KindBegin
	KindBeginRead
	KindCommit
	KindRollback
	KindSet
	KindPrepare
	KindDeallocate
	// KindReset clears a connection's values and prepared statements.
	KindReset
)

// Statement is one statement of a caller, or one that this program sends itself.
type Statement struct {
	// ID names the caller's request; empty for the program's own statements.
	ID   string
	Kind Kind
	// Name is the session value or prepared statement that is meant.
	Name string
	// Args is the rest of the text, passed on unchanged.
	Args string
	// Writes says of a KindPrepare that the prepared statement writes.
	Writes bool
	// Floor is the position that the server's log must hold; zero asks nothing.
	Floor sequencer.Position
}

// Code tells outcomes apart.
type Code int

// Codes of answers.
const (
	CodeOK Code = iota
	// CodeNotRun: the statement did not run and may be sent again.
	CodeNotRun
	// CodeAborted: the transaction was rolled back.
	CodeAborted
	// CodeLagging: the server's log lacks the floor.
	CodeLagging
	// CodeReadOnly: the server is not, or no longer, the primary.
	CodeReadOnly
	// CodeWrongServer: the address belongs to another server now.
	CodeWrongServer
	// CodeTooMany: the server takes no more connections.
	CodeTooManyConnections
	// CodeFailed: the statement ran and failed.
	CodeFailed
	// CodeTimeout: the statement's time limit passed; it may have run.
	CodeTimeout
	// CodeInDoubt: the statement may or may not have run.
	CodeInDoubt
	// CodeNoDatabase: no database has the name.
	CodeNoDatabase
	// CodeMalformed: the statement does not fit the protocol or the session's state.
	CodeMalformed
	// CodeUndefined: the prepared statement is not known.
	CodeUndefinedStatement
)

var codeNames = [...]string{
	"ok", "not run", "aborted", "lagging", "read only", "wrong server", "too many connections",
	"failed", "timeout", "in doubt", "no database", "malformed", "undefined",
}

// String returns the code's name.
func (c Code) String() string {
	if c < 0 || int(c) >= len(codeNames) {
		return "unknown code"
	}
	return codeNames[c]
}

// State is where a session or server connection stands.
type State int

// States of a session.
const (
	StateIdle State = iota
	StateInTransaction
	StateFailedTransaction
)

// Answer is a server's answer to a statement, or this program's to a caller.
type Answer struct {
	Code Code
	Rows []string
	// Signature proves which server ran the statement; empty where this program
	// answers itself.
	Signature string
	// Text explains an error.
	Text string
	// RetryAfter is when a statement that did not run may be sent again.
	RetryAfter timekeeper.Millis
	State      State
	// Position is the last entry applied by the server; zero where none is told.
	Position sequencer.Position
}

// Command is something that the driver carries out.
type Command interface{ command() }

// Reply hands a caller its answer.
type Reply struct {
	Session uint64
	Answer  Answer
}

// OpenConn opens a connection to a server; Opened, Refused or Lost answers it.
type OpenConn struct {
	Conn   pooler.Conn
	Server cataloger.Server
	// Relayed asks for a connection through another daemon.
	Relayed bool
}

// Send runs statements on a connection in order; Answered or Lost answers it.
type Send struct {
	Conn       pooler.Conn
	Statements []Statement
}

// CloseConn closes a connection.
type CloseConn struct {
	Conn pooler.Conn
}

// CloseSession ends a caller's session that is idle.
type CloseSession struct {
	Session uint64
}

func (Reply) command()        {}
func (OpenConn) command()     {}
func (Send) command()         {}
func (CloseConn) command()    {}
func (CloseSession) command() {}
