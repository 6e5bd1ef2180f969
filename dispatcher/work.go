// Package dispatcher runs the work of one database on its backend servers. It
// queues the work, selects servers, assigns connections, withholds
// acknowledgements until a majority has received a commit, and retries what is
// safe to run again.
//
// The package does no I/O: inputs are method calls with the current time,
// outputs are commands that the daemon executes.
package dispatcher

import (
	"encoding/json"

	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Work is a client's unit of work for one database: a batch of statements that
// commits by itself, or the beginning of a transaction (Begin). A batch that
// begins a transaction and also writes has both Write and Begin set. Times are
// in milliseconds.
type Work struct {
	ID string `json:"id"`
	// Gateway is the daemon that the client is connected to. It receives the
	// outcome.
	Gateway  string         `json:"entry"`
	Customer string         `json:"customer"`
	Database string         `json:"database"`
	Rank     scheduler.Rank `json:"rank"`
	Write    bool           `json:"write,omitempty"`
	Begin    bool           `json:"begin,omitempty"`
	// Key is the client's request key. Work with a key takes effect at most
	// once, so it may be retried.
	Key string `json:"key,omitempty"`
	// Digest is the hash of the work that the key belongs to.
	Digest string `json:"digest,omitempty"`
	// Floor is the lowest log position that may serve a read. A server whose
	// applied position is at or past it covers the floor.
	Floor sequencer.Position `json:"floor"`
	// Barrier raises the floor to cover every write acknowledged before the
	// work arrived. It is for sessions whose floor is not known.
	Barrier bool `json:"barrier,omitempty"`
	// MaxAge sets the floor so that a read sees data of at most this age, but
	// never below Floor; 0 means no maximum age.
	MaxAge timekeeper.Millis `json:"age,omitempty"`
	// Timeout is how long the client waits for an outcome.
	Timeout timekeeper.Millis `json:"within"`
	// MayHaveRun is set if an earlier attempt, sent to another home, may have
	// run. Such a write is never refused as not run.
	MayHaveRun bool `json:"doubtful,omitempty"`
	// ConcurrencyLimit is how many statements of the customer may run at once
	// in this rank; 0 means no limit.
	ConcurrencyLimit int    `json:"limit,omitempty"`
	Payload          []byte `json:"payload"`
	// SQL is a statement of the daemon itself, sent instead of a payload.
	SQL string `json:"sql,omitempty"`
}

// UnmarshalJSON decodes work and validates it. It fails with KindInvalid if the
// JSON is malformed, the id or the database is missing, the timeout is not
// positive, or a key has no digest.
func (w *Work) UnmarshalJSON(data []byte) error {
	type plain Work
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return invalid("decode work", err.Error())
	}
	switch {
	case p.ID == "":
		return invalid("decode work", "id is missing")
	case p.Database == "":
		return invalid("decode work", "database is missing")
	case p.Timeout <= 0:
		return invalid("decode work", "within must be above 0")
	case p.Key != "" && p.Digest == "":
		return invalid("decode work", "a key needs a digest")
	}
	*w = Work(p)
	return nil
}

// lane returns LanePrimary for writes and transactions, LaneAny for reads.
func (w Work) lane() scheduler.Lane {
	if w.Write || w.Begin {
		return scheduler.LanePrimary
	}
	return scheduler.LaneAny
}

// retryable reports whether the work may run again if it is unknown whether it
// ran.
func (w Work) retryable() bool {
	if w.Begin {
		return false
	}
	return !w.Write || w.Key != ""
}

// Step is a further batch of statements of an open transaction.
type Step struct {
	ID string `json:"id"`
	// StepNumber counts the steps of a transaction from 1.
	StepNumber int `json:"number"`
	// Commit is set if the batch ends the transaction, by a commit or a
	// rollback.
	Commit  bool   `json:"commit,omitempty"`
	Payload []byte `json:"payload"`
}

// OutcomeClass says whether a unit of work ran.
type OutcomeClass string

// The classes of outcomes.
const (
	// OutcomeDone: the server answered; the payload contains its messages.
	OutcomeDone OutcomeClass = "done"
	// OutcomeRefused: the work did not run, or its transaction was rolled back.
	OutcomeRefused OutcomeClass = "refused"
	// OutcomeUnknown: the work may or may not have run.
	OutcomeUnknown OutcomeClass = "unknown"
)

// Outcome is the result of a unit of work or of a step, as delivered to the
// gateway daemon. Times are in milliseconds.
type Outcome struct {
	ID         string       `json:"id"`
	StepNumber int          `json:"number,omitempty"`
	Class      OutcomeClass `json:"class"`
	Code       string       `json:"code,omitempty"`
	Text       string       `json:"text,omitempty"`
	// RetryAfter is the time after which refused work may be submitted again.
	RetryAfter timekeeper.Millis `json:"retry,omitempty"`
	// Payload contains the server's messages, without the final ReadyForQuery.
	Payload []byte `json:"payload,omitempty"`
	// Position is the last position that the session has written or seen.
	Position sequencer.Position `json:"position"`
	// TxStatus is the transaction status of the protocol's ReadyForQuery: I
	// (idle), T (in a transaction) or E (in a failed transaction).
	TxStatus string `json:"status,omitempty"`
	// Server is the server that ran the work; Replica is set if it is not the
	// primary.
	Server  string `json:"server,omitempty"`
	Replica bool   `json:"replica,omitempty"`
	// Replayed is set if the outcome was stored by an earlier run of keyed
	// work.
	Replayed bool `json:"repeat,omitempty"`
	// QueueTime is the time from the work's arrival at the home to its start,
	// and AckDelay the time from its commit to its acknowledgement.
	QueueTime timekeeper.Millis `json:"waited,omitempty"`
	AckDelay  timekeeper.Millis `json:"acknowledged,omitempty"`
}

// InTransaction reports whether a transaction is open after the outcome.
func (o Outcome) InTransaction() bool {
	return o.Class == OutcomeDone && (o.TxStatus == "T" || o.TxStatus == "E")
}

// ExecStatus says how far an Exec got on its connection.
type ExecStatus string

// The values of ExecStatus.
const (
	// ExecStatusComplete: the result was read completely.
	ExecStatusComplete ExecStatus = "done"
	// ExecStatusUnsent: the connection failed before any byte of the work was
	// sent.
	ExecStatusUnsent ExecStatus = "unsent"
	// ExecStatusConnLost: the connection failed after a part of the work was
	// sent, before the result was read completely.
	ExecStatusConnLost ExecStatus = "lost"
)

// ExecResult is the result of an Exec, as reported to Dispatcher.ExecFinished.
type ExecResult struct {
	Conn       pooler.Conn
	ExecStatus ExecStatus
	// Code is the SQLSTATE of the first error, or empty.
	Code     string
	Payload  []byte
	TxStatus string
	// ReadPosition is the position that the first statement saw, FinalPosition
	// the last position that the server reported.
	ReadPosition  sequencer.Position
	FinalPosition sequencer.Position
	// Replayed is set if the result was stored by an earlier run of keyed work,
	// KeyReused if the key belongs to other work.
	Replayed  bool
	KeyReused bool
	// ServiceTime is the service time in milliseconds.
	ServiceTime float64
}

// Command is an action for the daemon to execute: one of the types below, or
// Watch.
type Command any

// OpenConn opens a connection to a server. The daemon reports it with
// Dispatcher.ConnOpened or Dispatcher.ConnClosed.
type OpenConn struct {
	Conn   pooler.Conn
	Server string
}

// CloseConn closes a connection.
type CloseConn struct {
	Conn pooler.Conn
}

// Exec sends a unit of work or a step over a connection. The daemon reports the
// result with Dispatcher.ExecFinished.
type Exec struct {
	Conn     pooler.Conn
	Customer string
	Key      string
	Digest   string
	// RecordedAt is when the work was sent, in the form that the ledger stores.
	// It is empty for work without a key.
	RecordedAt string
	// Begin and Commit are those of the Work or the Step.
	Begin   bool
	Commit  bool
	Payload []byte
	// SQL is a statement of the daemon itself, sent instead of a payload.
	SQL string
}

// Poll requests an immediate report from a server, over a separate connection.
type Poll struct {
	Server string
	Seq    uint64
}

// InspectSession asks a server whether the session behind a connection is
// running a statement.
type InspectSession struct {
	Server string
	Conn   pooler.Conn
}

// CancelExec asks a server to cancel the statement that runs on a connection.
type CancelExec struct {
	Conn pooler.Conn
}

// DeliverOutcome sends an outcome to the gateway daemon that the client is
// connected to.
type DeliverOutcome struct {
	Gateway string
	Outcome Outcome
}
