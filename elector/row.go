// Package elector decides who leads each database group. Who leads is a row of
// the store that changes under a condition only. A daemon may use a primary for
// as long as its last reading of the store is fresh, so that a change of primary
// needs each daemon's release or the end of that time. The package does no I/O.
package elector

import (
	"encoding/json"

	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Row is a row of the store.
type Row struct {
	Key   string
	Value []byte
	// Version changes with each write; 0 stands for a row that does not exist.
	Version int64
	// Deleted says of a changed row that it is gone.
	Deleted bool
}

// Transaction changes rows if all conditions hold.
type Transaction struct {
	// Expect are rows with the versions that they must have.
	Expect []Row
	Set    []Row
	Delete []string
}

// Result is what came of a transaction.
type Result int

// Results of a transaction.
const (
	// Applied says that the transaction took effect.
	Applied Result = iota
	// Conflict says that a condition did not hold; nothing was done.
	Conflict
	// Refused says that the store did nothing.
	Refused
	// Indeterminate says that no answer came; the transaction may take effect later.
	Indeterminate
)

var resultNames = [...]string{"applied", "conflict", "refused", "unsure"}

// String returns the result's name.
func (r Result) String() string {
	return resultNames[r]
}

// Keys of rows.
const (
	hostPrefix  = "host/"
	reignPrefix = "reign/"
	ackPrefix   = "ack/"
	dutyKey     = "duty"
)

// Host is a daemon's registration.
type Host struct {
	Name string `json:"name"`
	// Incarnation tells runs of a daemon apart.
	Incarnation int64  `json:"incarnation"`
	Domain      string `json:"domain"`
	// Address takes other daemons.
	Address string `json:"address"`
	// Revoked says that the daemon gives no sign of life. One that lives registers
	// again before it uses a primary.
	Revoked bool `json:"retired,omitempty"`
}

// Heartbeat is a daemon's sign of life.
type Heartbeat struct {
	Incarnation int64 `json:"incarnation"`
	Count       int64 `json:"count"`
}

// Reason is why a primary is changed.
type Reason string

// Reasons for a change of primary.
const (
	// ReasonHandover: the primary leaves as planned and still serves.
	ReasonHandover Reason = "handover"
	// ReasonFailure: the primary does not answer.
	ReasonFailure Reason = "failure"
)

// PrimaryRecord says who leads a group.
type PrimaryRecord struct {
	Term    int64             `json:"term"`
	Primary string            `json:"primary"`
	History sequencer.History `json:"history,omitempty"`
	// ChangeNumber counts the changes that were announced.
	ChangeNumber int64 `json:"number"`
	// ChangeReason is the reason of the change under way; empty for none.
	ChangeReason Reason `json:"change,omitempty"`
	// Successor is the server that is asked to lead the next term. From then on
	// nobody uses the primary any more and the change is not cancelled.
	Successor string `json:"successor,omitempty"`
	// LastChangeDuration is how long the last change took.
	LastChangeDuration timekeeper.Millis `json:"took,omitempty"`
}

// Ack is a daemon's answer to an announced change.
type Ack struct {
	Incarnation  int64 `json:"incarnation"`
	ChangeNumber int64 `json:"number"`
	// Rejects says that the daemon still reaches the primary and goes on using
	// it; otherwise it has released it.
	Rejects bool `json:"objects,omitempty"`
	// HighestPosition is the highest position that the primary told the daemon of.
	HighestPosition sequencer.Position `json:"seen"`
}

// Coordinator names the daemon that leads changes of primary.
type Coordinator struct {
	Holder string `json:"holder"`
	// FencingToken rises with each change of holder.
	FencingToken int64 `json:"fence"`
}

func decode[T any](row Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, &Error{Op: "decode " + row.Key, Kind: KindInvalid, Text: err.Error()}
	}
	return value, nil
}

// encode marshals values of this package's types, which can't fail.
func encode(key string, value any) Row {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return Row{Key: key, Value: data}
}
