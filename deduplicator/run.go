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
	// Made is the time of the work as a text that sorts by time; the ledger is
	// trimmed by it.
	Made string
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
	// ActionWork sends the caller's own messages.
	ActionWork
	// ActionFinish ends the run: the work ran now, or failed as the server
	// said in answer to it.
	ActionFinish
	// ActionRepeat ends the run: the work had run before and Step.Outcome is
	// what it returned then.
	ActionRepeat
	// ActionReused ends the run: the key belongs to other work.
	ActionReused
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

// Run leads one piece of keyed work through its transaction. It does no I/O.
type Run struct {
	key      Key
	state    state
	attempts int
	failure  Step
}

// New returns a run for a key.
func New(key Key) *Run {
	return &Run{key: key}
}

// Start returns the first step.
func (r *Run) Start() Step {
	r.state = stateClaim
	r.attempts++
	return query("BEGIN; " + Claim(r.key))
}

// Claim returns the statement that records a key. It fails with a unique
// violation if the key was used before.
func Claim(key Key) string {
	return "INSERT INTO heatherhall_ledger (key, digest, outcome, made) VALUES (" +
		quote(key.name()) + ", " + quote(key.Digest) + ", '', " + quote(key.Made) + ")"
}

// Record returns the statement that keeps an outcome under a key.
func Record(key Key, outcome string) string {
	return "UPDATE heatherhall_ledger SET outcome = " + quote(outcome) + " WHERE key = " + quote(key.name())
}

// Lookup returns the query for the digest and outcome of a key.
func Lookup(key Key) string {
	return "SELECT digest, outcome FROM heatherhall_ledger WHERE key = " + quote(key.name())
}

// Trim returns the statement that forgets the keys made before a time.
func Trim(before string) string {
	return "DELETE FROM heatherhall_ledger WHERE made < " + quote(before)
}

// madeWidth is the number of digits of Made, so that texts sort as times do.
const madeWidth = 15

// Made formats a time of the ledger.
func Made(at timekeeper.Millis) string {
	return fmt.Sprintf("%0*d", madeWidth, int64(at))
}

// Create returns the statement that makes the ledger table.
func Create() string {
	return "CREATE TABLE IF NOT EXISTS heatherhall_ledger (key text PRIMARY KEY, digest text, outcome text, made text)"
}

func query(sql string) Step {
	return Step{Action: ActionQuery, SQL: sql}
}

// Next takes the answer to the last step and returns the next one.
func (r *Run) Next(result Result) Step {
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
		return query(Lookup(r.key))
	case stateLookup:
		return r.lookedUp(result)
	}
	return r.failure
}

func (r *Run) claimed(result Result) Step {
	switch result.Code {
	case "":
		r.state = stateWork
		return Step{Action: ActionWork}
	case codeUnique:
		r.state = stateClear
		return query("ROLLBACK")
	case codeNoTable:
		if r.attempts > attemptLimit {
			return r.undo(Step{Action: ActionFail})
		}
		r.state = stateCreate
		return query("ROLLBACK; " + Create())
	}
	return r.undo(Step{Action: ActionFail})
}

func (r *Run) worked(result Result) Step {
	if result.Code != "" {
		return r.undo(Step{Action: ActionFinish})
	}
	r.state = stateRecord
	return query(Record(r.key, result.Outcome) + "; COMMIT")
}

// undo rolls back and then ends with the given step.
func (r *Run) undo(last Step) Step {
	r.state = stateUndo
	r.failure = last
	return query("ROLLBACK")
}

func (r *Run) lookedUp(result Result) Step {
	if result.Code != "" {
		return Step{Action: ActionFail}
	}
	if len(result.Rows) == 0 {
		if r.attempts > attemptLimit {
			return Step{Action: ActionFail}
		}
		return r.Start()
	}
	return Compare(r.key, result.Rows[0])
}

// Compare tells whether a ledger row, as digest and outcome, is a repeat of the
// work or another use of its key.
func Compare(key Key, row []string) Step {
	if len(row) != 2 || row[0] != key.Digest {
		return Step{Action: ActionReused}
	}
	return Step{Action: ActionRepeat, Outcome: row[1]}
}

func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}
