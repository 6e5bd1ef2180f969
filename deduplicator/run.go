// Package deduplicator makes work with a request key run at most once. The key
// is recorded in the ledger, a table in the same database, in the same
// transaction as the work, so that both commit or neither does.
package deduplicator

import (
	"fmt"
	"strings"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// SQLSTATEs that Execution.Next distinguishes.
const (
	codeUniqueViolation = "23505"
	codeUndefinedTable  = "42P01"
)

// maxClaimRetries is how often a claim is retried at most. A claim is retried
// if the transaction that had inserted the key has rolled back in the meantime,
// or after the ledger table was created.
const maxClaimRetries = 3

// Key identifies work that runs at most once.
type Key struct {
	Customer string
	// Request is the request key that the client gave.
	Request string
	// Digest is the hash of the work that the key belongs to. It detects a key
	// that is used again for other work.
	Digest string
	// RecordedAt is the time of the work as formatted by FormatTime, a text
	// that sorts by time; PruneSQL deletes keys by it.
	RecordedAt string
}

// name returns the ledger's primary key. Slashes in the customer's name are
// doubled so that keys of two customers can't collide.
func (k Key) name() string {
	return strings.ReplaceAll(k.Customer, "/", "//") + "/" + k.Request
}

// Action is what the caller of an execution does next.
type Action int

// The actions of a Step.
const (
	// ActionQuery sends Step.SQL to the server.
	ActionQuery Action = iota
	// ActionRunWork sends the messages of the work itself.
	ActionRunWork
	// ActionFinish ends the execution: the work ran now, and either committed
	// or failed with the server's error.
	ActionFinish
	// ActionReplay ends the execution: the work ran before, and Step.Outcome is
	// its stored outcome.
	ActionReplay
	// ActionKeyReused ends the execution: the key belongs to other work.
	ActionKeyReused
	// ActionFail ends the execution without an outcome: the server returned an
	// error to a query on the ledger or to the commit, or the claim was retried
	// too often.
	ActionFail
)

// Step is an action with its arguments: SQL for ActionQuery, Outcome for
// ActionReplay.
type Step struct {
	Action  Action
	SQL     string
	Outcome string
}

// Result is the server's response to a step.
type Result struct {
	// Code is the SQLSTATE of the first error, or empty.
	Code string
	// Rows are the rows returned by a query on the ledger.
	Rows [][]string
	// Outcome is the encoded result of the work, as it is stored in the ledger.
	Outcome string
}

// state is the step whose result Execution.Next expects.
type state int

const (
	// stateClaim: the transaction begins and the key is inserted.
	stateClaim state = iota
	// stateCreate: the ledger table is created.
	stateCreate
	// stateWork: the work runs.
	stateWork
	// stateRecord: the outcome is stored and the transaction commits.
	stateRecord
	// stateRollbackClaim: the claim, which failed because the key exists, is
	// rolled back.
	stateRollbackClaim
	// stateLookup: the row of the existing key is read.
	stateLookup
	// stateRollback: the transaction is rolled back, then the execution ends
	// with afterRollback.
	stateRollback
)

// Execution is the state machine that runs one unit of keyed work in its
// transaction. It does no I/O: the caller executes each Step and passes the
// Result to Next.
type Execution struct {
	key           Key
	state         state
	attempts      int
	afterRollback Step
}

// New returns an execution for a key.
func New(key Key) *Execution {
	return &Execution{key: key}
}

// Start begins an attempt and returns its first step, which claims the key.
func (e *Execution) Start() Step {
	e.state = stateClaim
	e.attempts++
	return query("BEGIN; " + ClaimSQL(e.key))
}

// ClaimSQL returns the statement that inserts a key. It fails with a unique
// violation if the key exists.
func ClaimSQL(key Key) string {
	return "INSERT INTO heatherhall_ledger (key, digest, outcome, made) VALUES (" +
		quote(key.name()) + ", " + quote(key.Digest) + ", '', " + quote(key.RecordedAt) + ")"
}

// RecordOutcomeSQL returns the statement that stores the outcome of a key.
func RecordOutcomeSQL(key Key, outcome string) string {
	return "UPDATE heatherhall_ledger SET outcome = " + quote(outcome) + " WHERE key = " + quote(key.name())
}

// LookupSQL returns the query for the digest and outcome of a key.
func LookupSQL(key Key) string {
	return "SELECT digest, outcome FROM heatherhall_ledger WHERE key = " + quote(key.name())
}

// PruneSQL returns the statement that deletes the keys recorded before a time
// in the format of FormatTime.
func PruneSQL(before string) string {
	return "DELETE FROM heatherhall_ledger WHERE made < " + quote(before)
}

// timeWidth is the number of digits of a formatted time. With a fixed width,
// text order equals time order.
const timeWidth = 15

// FormatTime formats a time in milliseconds as zero-padded digits for the
// ledger.
func FormatTime(at timekeeper.Millis) string {
	return fmt.Sprintf("%0*d", timeWidth, int64(at))
}

// CreateTableSQL returns the statement that creates the ledger table unless it
// exists.
func CreateTableSQL() string {
	return "CREATE TABLE IF NOT EXISTS heatherhall_ledger (key text PRIMARY KEY, digest text, outcome text, made text)"
}

func query(sql string) Step {
	return Step{Action: ActionQuery, SQL: sql}
}

// Next processes the result of the last step and returns the next one.
func (e *Execution) Next(result Result) Step {
	switch e.state {
	case stateClaim:
		return e.handleClaim(result)
	case stateCreate:
		if result.Code != "" {
			return Step{Action: ActionFail}
		}
		return e.Start()
	case stateWork:
		return e.handleWork(result)
	case stateRecord:
		if result.Code != "" {
			return e.rollback(Step{Action: ActionFail})
		}
		return Step{Action: ActionFinish}
	case stateRollbackClaim:
		e.state = stateLookup
		return query(LookupSQL(e.key))
	case stateLookup:
		return e.handleLookup(result)
	}
	return e.afterRollback
}

func (e *Execution) handleClaim(result Result) Step {
	switch result.Code {
	case "":
		e.state = stateWork
		return Step{Action: ActionRunWork}
	case codeUniqueViolation:
		e.state = stateRollbackClaim
		return query("ROLLBACK")
	case codeUndefinedTable:
		if e.attempts > maxClaimRetries {
			return e.rollback(Step{Action: ActionFail})
		}
		e.state = stateCreate
		return query("ROLLBACK; " + CreateTableSQL())
	}
	return e.rollback(Step{Action: ActionFail})
}

func (e *Execution) handleWork(result Result) Step {
	if result.Code != "" {
		return e.rollback(Step{Action: ActionFinish})
	}
	e.state = stateRecord
	return query(RecordOutcomeSQL(e.key, result.Outcome) + "; COMMIT")
}

// rollback returns the step that rolls back. The execution then ends with the
// given step.
func (e *Execution) rollback(next Step) Step {
	e.state = stateRollback
	e.afterRollback = next
	return query("ROLLBACK")
}

func (e *Execution) handleLookup(result Result) Step {
	if result.Code != "" {
		return Step{Action: ActionFail}
	}
	if len(result.Rows) == 0 {
		if e.attempts > maxClaimRetries {
			return Step{Action: ActionFail}
		}
		return e.Start()
	}
	return CompareRow(e.key, result.Rows[0])
}

// CompareRow compares a ledger row of digest and outcome with a key. It returns
// ActionReplay with the outcome if the digests match, otherwise
// ActionKeyReused.
func CompareRow(key Key, row []string) Step {
	if len(row) != 2 || row[0] != key.Digest {
		return Step{Action: ActionKeyReused}
	}
	return Step{Action: ActionReplay, Outcome: row[1]}
}

func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}
