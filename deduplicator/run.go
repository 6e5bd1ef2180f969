// Package deduplicator makes work with a request key run at most once. The key
// is recorded in a ledger table of the same database, in the same transaction
// as the work, so that the record and the work are kept or lost together.
package deduplicator

import (
	"fmt"
	"strings"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// SQLSTATEs that the steps tell apart.
const (
	codeUnique  = "23505"
	codeNoTable = "42P01"
)

// attemptLimit bounds how often a claim is tried again when the transaction
// that held the key rolled back meanwhile.
const attemptLimit = 3

// Key identifies work that runs at most once.
type Key struct {
	Customer string
	Request  string
	// Digest binds the key to one piece of work.
	Digest string
	// RecordedAt is the time of the work as a text that sorts by time; the ledger is
	// trimmed by it.
	RecordedAt string
}

// name is the ledger's primary key. Doubled slashes in the customer's name keep
// the keys of two customers apart.
func (k Key) name() string {
	return strings.ReplaceAll(k.Customer, "/", "//") + "/" + k.Request
}

// Action is what the caller of a run does next.
type Action int

// The actions.
const (
	// ActionQuery sends Step.SQL to the server.
	ActionQuery Action = iota
	// ActionRunWork sends the caller's own messages.
	ActionRunWork
	// ActionFinish ends the run: the work ran now, or failed as the server
	// said in answer to it.
	ActionFinish
	// ActionReplay ends the run: the work had run before and Step.Outcome is
	// what it returned then.
	ActionReplay
	// ActionKeyReused ends the run: the key belongs to other work.
	ActionKeyReused
	// ActionFail ends the run with the server's error to a query of the ledger.
	ActionFail
)

// Step is what to do next.
type Step struct {
	Action  Action
	SQL     string
	Outcome string
}

// Result is the server's answer to a step.
type Result struct {
	// Code is the SQLSTATE of the first error, or empty.
	Code string
	// Rows are the values of the rows returned to a query of the ledger.
	Rows [][]string
	// Outcome is the encoded answer to the work, to be kept in the ledger.
	Outcome string
}

type state int

const (
	stateClaim state = iota
	stateCreate
	stateWork
	stateRecord
	stateClear
	stateLookup
	stateUndo
)

// Execution leads one piece of keyed work through its transaction. It does no I/O.
type Execution struct {
	key      Key
	state    state
	attempts int
	failure  Step
}

// New returns a run for a key.
func New(key Key) *Execution {
	return &Execution{key: key}
}

// Start returns the first step.
func (r *Execution) Start() Step {
	r.state = stateClaim
	r.attempts++
	return query("BEGIN; " + ClaimSQL(r.key))
}

// ClaimSQL returns the statement that records a key. It fails with a unique
// violation if the key was used before.
func ClaimSQL(key Key) string {
	return "INSERT INTO heatherhall_ledger (key, digest, outcome, made) VALUES (" +
		quote(key.name()) + ", " + quote(key.Digest) + ", '', " + quote(key.RecordedAt) + ")"
}

// RecordOutcomeSQL returns the statement that keeps an outcome under a key.
func RecordOutcomeSQL(key Key, outcome string) string {
	return "UPDATE heatherhall_ledger SET outcome = " + quote(outcome) + " WHERE key = " + quote(key.name())
}

// LookupSQL returns the query for the digest and outcome of a key.
func LookupSQL(key Key) string {
	return "SELECT digest, outcome FROM heatherhall_ledger WHERE key = " + quote(key.name())
}

// PruneSQL returns the statement that forgets the keys made before a time.
func PruneSQL(before string) string {
	return "DELETE FROM heatherhall_ledger WHERE made < " + quote(before)
}

// madeWidth is the number of digits of Made, so that texts sort as times do.
const madeWidth = 15

// FormatTime formats a time of the ledger.
func FormatTime(at timekeeper.Millis) string {
	return fmt.Sprintf("%0*d", madeWidth, int64(at))
}

// CreateTableSQL returns the statement that makes the ledger table.
func CreateTableSQL() string {
	return "CREATE TABLE IF NOT EXISTS heatherhall_ledger (key text PRIMARY KEY, digest text, outcome text, made text)"
}

func query(sql string) Step {
	return Step{Action: ActionQuery, SQL: sql}
}

// Next takes the answer to the last step and returns the next one.
func (r *Execution) Next(result Result) Step {
	switch r.state {
	case stateClaim:
		return r.claimed(result)
	case stateCreate:
		if result.Code != "" {
			return Step{Action: ActionFail}
		}
		return r.Start()
	case stateWork:
		return r.worked(result)
	case stateRecord:
		if result.Code != "" {
			return r.undo(Step{Action: ActionFail})
		}
		return Step{Action: ActionFinish}
	case stateClear:
		r.state = stateLookup
		return query(LookupSQL(r.key))
	case stateLookup:
		return r.lookedUp(result)
	}
	return r.failure
}

func (r *Execution) claimed(result Result) Step {
	switch result.Code {
	case "":
		r.state = stateWork
		return Step{Action: ActionRunWork}
	case codeUnique:
		r.state = stateClear
		return query("ROLLBACK")
	case codeNoTable:
		if r.attempts > attemptLimit {
			return r.undo(Step{Action: ActionFail})
		}
		r.state = stateCreate
		return query("ROLLBACK; " + CreateTableSQL())
	}
	return r.undo(Step{Action: ActionFail})
}

func (r *Execution) worked(result Result) Step {
	if result.Code != "" {
		return r.undo(Step{Action: ActionFinish})
	}
	r.state = stateRecord
	return query(RecordOutcomeSQL(r.key, result.Outcome) + "; COMMIT")
}

// undo rolls back and then ends with the given step.
func (r *Execution) undo(last Step) Step {
	r.state = stateUndo
	r.failure = last
	return query("ROLLBACK")
}

func (r *Execution) lookedUp(result Result) Step {
	if result.Code != "" {
		return Step{Action: ActionFail}
	}
	if len(result.Rows) == 0 {
		if r.attempts > attemptLimit {
			return Step{Action: ActionFail}
		}
		return r.Start()
	}
	return CompareRow(r.key, result.Rows[0])
}

// CompareRow tells whether a ledger row, as digest and outcome, is a repeat of the
// work or another use of its key.
func CompareRow(key Key, row []string) Step {
	if len(row) != 2 || row[0] != key.Digest {
		return Step{Action: ActionKeyReused}
	}
	return Step{Action: ActionReplay, Outcome: row[1]}
}

func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}
