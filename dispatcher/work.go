// Package dispatcher runs the work of one database on its backend servers: it
// queues, chooses servers, uses connections, withholds acknowledgements until a
// majority holds a commit, and retries what is safe to run again. It decides
// only: inputs are method calls with the present time, outputs are commands.
package dispatcher

import (
	"encoding/json"

	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Work is a caller's unit of work for one database: a batch of statements that
// commits by itself, or the beginning of a transaction (Begin). A batch that
// begins a transaction and writes as well has both flags.
type Work struct {
	ID       string         `json:"id"`
	Gateway  string         `json:"entry"`
	Customer string         `json:"customer"`
	Database string         `json:"database"`
	Rank     scheduler.Rank `json:"rank"`
	Write    bool           `json:"write,omitempty"`
	Begin    bool           `json:"begin,omitempty"`
	// Key is the caller's request key; work with a key runs at most once and
	// may be retried.
	Key    string `json:"key,omitempty"`
	Digest string `json:"digest,omitempty"`
	// Floor is the position that a read must see.
	Floor sequencer.Position `json:"floor"`
	// Barrier asks for a floor at every write acknowledged before the work
	// arrived, for sessions whose floor is not known.
	Barrier bool `json:"barrier,omitempty"`
	// MaxAge lets a read see data of up to this age instead of its floor.
	MaxAge timekeeper.Millis `json:"age,omitempty"`
	// Timeout is the time that the caller waits for an outcome.
	Timeout timekeeper.Millis `json:"within"`
	// MayHaveRun says that an earlier attempt, given to another home, may have
	// run: the work must not be refused as not run.
	MayHaveRun bool `json:"doubtful,omitempty"`
	// ConcurrencyLimit is how many statements the customer may have running; 0 is any.
	ConcurrencyLimit int    `json:"limit,omitempty"`
	Payload          []byte `json:"payload"`
	// SQL is the daemon's own statement, in place of a payload.
	SQL string `json:"sql,omitempty"`
}

// UnmarshalJSON decodes work and checks that it is complete.
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

// lane tells where the work may run.
func (w Work) lane() scheduler.Lane {
	if w.Write || w.Begin {
		return scheduler.LanePrimary
	}
	return scheduler.LaneAny
}

// repeatable reports whether the work may run again when it is not known
// whether it ran.
func (w Work) repeatable() bool {
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
	// Commit marks the batch that ends the transaction.
	Commit  bool   `json:"commit,omitempty"`
	Payload []byte `json:"payload"`
}

// OutcomeClass tells outcomes apart.
type OutcomeClass string

// The classes of outcomes.
const (
	// ClassDone: the server answered; the payload holds its messages.
	OutcomeDone OutcomeClass = "done"
	// ClassRefused: the work did not run.
	OutcomeRefused OutcomeClass = "refused"
	// ClassUnknown: the work may or may not have run.
	OutcomeUnknown OutcomeClass = "unknown"
)

// Outcome is what became of a unit of work or of a step.
type Outcome struct {
	ID         string       `json:"id"`
	StepNumber int          `json:"number,omitempty"`
	Class      OutcomeClass `json:"class"`
	Code       string       `json:"code,omitempty"`
	Text       string       `json:"text,omitempty"`
	// RetryAfter is the time after which refused work may be offered again.
	RetryAfter timekeeper.Millis `json:"retry,omitempty"`
	// Payload holds the server's messages, up to and without ReadyForQuery.
	Payload []byte `json:"payload,omitempty"`
	// Position is what the session has now written or seen.
	Position sequencer.Position `json:"position"`
	// TxStatus is the transaction state: I, T or E.
	TxStatus string `json:"status,omitempty"`
	Server   string `json:"server,omitempty"`
	Replica  bool   `json:"replica,omitempty"`
	Replayed bool   `json:"repeat,omitempty"`
	// QueueTime is the time from the work's arrival at the home to its start, and
	// Acknowledged the time from its commit to its acknowledgement.
	QueueTime timekeeper.Millis `json:"waited,omitempty"`
	AckDelay  timekeeper.Millis `json:"acknowledged,omitempty"`
}

// InTransaction reports whether a transaction is open after the outcome.
func (o Outcome) InTransaction() bool {
	return o.Class == OutcomeDone && (o.TxStatus == "T" || o.TxStatus == "E")
}

// ExecStatus tells how a connection answered.
type ExecStatus string

// The ways a connection answers.
const (
	// ReplyDone: the answer was read whole.
	ExecStatusComplete ExecStatus = "done"
	// ReplyUnsent: the connection failed before any byte of the work was sent.
	ExecStatusUnsent ExecStatus = "unsent"
	// ReplyLost: the connection failed after that.
	ExecStatusConnLost ExecStatus = "lost"
)

// ExecResult is what a connection returned for a unit of work or a step.
type ExecResult struct {
	Conn       pooler.Conn
	ExecStatus ExecStatus
	// Code is the SQLSTATE of the first error, or empty.
	Code     string
	Payload  []byte
	TxStatus string
	// ReadPosition is the position that the first statement saw, Final the last
	// position the server reported.
	ReadPosition  sequencer.Position
	FinalPosition sequencer.Position
	// Replayed marks the outcome of an earlier run of keyed work, Reused a key
	// that belongs to other work.
	Replayed  bool
	KeyReused bool
	// ServiceTime is the service time in milliseconds.
	ServiceTime float64
}

// Command is something the daemon is to do.
type Command any

// OpenConn opens a connection.
type OpenConn struct {
	Conn   pooler.Conn
	Server string
}

// CloseConn closes a connection.
type CloseConn struct {
	Conn pooler.Conn
}

// Exec sends work or a step over a connection.
type Exec struct {
	Conn     pooler.Conn
	Customer string
	Key      string
	Digest   string
	// RecordedAt is when the work began, as the ledger keeps it.
	RecordedAt string
	Begin      bool
	Commit     bool
	Payload    []byte
	// SQL is the daemon's own statement, in place of a payload.
	SQL string
}

// Poll asks a server for a report at once, over a path of its own.
type Poll struct {
	Server string
	Seq    uint64
}

// InspectSession asks a server whether the session behind a connection is running a
// statement.
type InspectSession struct {
	Server string
	Conn   pooler.Conn
}

// CancelExec asks a server to cancel the statement that runs on a connection.
type CancelExec struct {
	Conn pooler.Conn
}

// DeliverOutcome hands an outcome to the entry that took the work.
type DeliverOutcome struct {
	Gateway string
	Outcome Outcome
}
