// Package elector decides which backend server is the primary of each database
// group. The primary record is a row of the store that is written only on the
// condition that it has not changed. A daemon holds a lease on each primary for
// a limited time after its last read of the store, so a primary change needs
// every daemon's release or the expiry of its lease. One daemon at a time, the
// failover coordinator, runs the primary changes. The package does no I/O.
package elector

import (
	"cmp"
	"encoding/json"

	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Row is a row of the store, the platform's row store.
type Row struct {
	Key   string
	Value []byte
	// Version changes with each write; 0 stands for a row that does not exist.
	Version int64
	// Deleted is set for a changed row that no longer exists.
	Deleted bool
}

// Revision is a state of the store. The store numbers its changes. When it is restored
// from an older copy, a new era begins, in which it gives out the numbers after the
// copy's again; so versions can be compared within an era only.
type Revision struct {
	// Era counts the restorations; 0 stands for a store that does not say.
	Era     int64 `json:"era,omitempty"`
	Version int64 `json:"version"`
}

// Before reports whether r is an earlier state than other.
func (r Revision) Before(other Revision) bool {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version)) < 0
}

// Transaction writes and deletes rows if all expected rows have their versions.
type Transaction struct {
	// Expect lists rows by key with the version that each must have.
	Expect []Row
	Set    []Row
	Delete []string
}

// Result is the outcome of a transaction.
type Result int

// Results of a transaction.
const (
	// Applied means that the transaction took effect.
	Applied Result = iota
	// Conflict means that an expected row had another version; nothing was
	// written.
	Conflict
	// Refused means that the store refused the transaction; nothing was
	// written.
	Refused
	// Indeterminate means that no response arrived; the transaction may still
	// take effect.
	Indeterminate
)

var resultNames = [...]string{"applied", "conflict", "refused", "unsure"}

// String returns the name of the result in log lines.
func (r Result) String() string {
	if !r.Valid() {
		return "unknown result"
	}
	return resultNames[r]
}

// Valid reports whether r is one of the results above. Another daemon may send any number.
func (r Result) Valid() bool {
	return r >= 0 && int(r) < len(resultNames)
}

// Row keys. "host/" is followed by the daemon's name, "reign/" by the group's,
// "ack/" by the group's, a slash and the daemon's, and "era/" by the number of an era.
const (
	hostPrefix     = "host/"
	eraPrefix      = "era/"
	recordPrefix   = "reign/"
	ackPrefix      = "ack/"
	coordinatorKey = "duty"
)

// Host is a daemon's registration.
type Host struct {
	Name string `json:"name"`
	// Incarnation differs between runs of a daemon.
	Incarnation int64 `json:"incarnation"`
	// Domain is the daemon's failure domain.
	Domain string `json:"domain"`
	// Address is where the daemon accepts connections of other daemons.
	Address string `json:"address"`
	// Revoked is set after the daemon's heartbeats have stopped. A daemon that
	// is live registers again before it uses a primary.
	Revoked bool `json:"retired,omitempty"`
	// Era is the store's era in which the daemon registered. A daemon registers again
	// in each era.
	Era int64 `json:"era,omitempty"`
	// HeldLease is set if the daemon held a primary lease when that era began.
	HeldLease bool `json:"held,omitempty"`
	// Capacity is how much work the daemon's host can do for other daemons, compared
	// with other hosts; 0 if its settings do not say.
	Capacity int64 `json:"capacity,omitempty"`
}

// Heartbeat is the latest heartbeat of a daemon.
type Heartbeat struct {
	Incarnation int64 `json:"incarnation"`
	// Count changes with each heartbeat.
	Count int64 `json:"count"`
	// Reader is set if the daemon is the domain reader of hosts whose capacities differ.
	// It stays so when others join.
	Reader bool `json:"reader,omitempty"`
	// Shedding is set while the daemon's host is overloaded, so that others are to take
	// its roles.
	Shedding bool `json:"shedding,omitempty"`
}

// Reason is the reason of a primary change.
type Reason string

// Reasons of a primary change.
const (
	// ReasonHandover means that the primary can be reached but should be
	// replaced: it is leaving as planned and still serves, or it fails most
	// statements.
	ReasonHandover Reason = "handover"
	// ReasonFailure means that the primary does not respond.
	ReasonFailure Reason = "failure"
)

// PrimaryRecord is the stored row of a group's primary, its term, and the
// primary change under way.
type PrimaryRecord struct {
	Term    int64             `json:"term"`
	Primary string            `json:"primary"`
	History sequencer.History `json:"history,omitempty"`
	// ChangeNumber counts the announced changes and identifies the last one.
	ChangeNumber int64 `json:"number"`
	// ChangeReason is the reason of the change under way; empty for none.
	ChangeReason Reason `json:"change,omitempty"`
	// Successor is the server that is about to be promoted for the next term.
	// Once it is set, no daemon uses the old primary and the change is not
	// cancelled.
	Successor string `json:"successor,omitempty"`
	// Holders are the servers that may have received commits which the primary has
	// acknowledged, as of the start of the change under way. It is empty for groups without
	// synchronous replicas.
	Holders []LogHolder `json:"holders,omitempty"`
	// LastChangeDuration is how long the last completed change took.
	LastChangeDuration timekeeper.Millis `json:"took,omitempty"`
}

// Ack is a daemon's acknowledgement of an announced change.
type Ack struct {
	Incarnation  int64 `json:"incarnation"`
	ChangeNumber int64 `json:"number"`
	// Rejects is set if the primary still responds to the daemon, which goes on
	// using it; otherwise the daemon has released it.
	Rejects bool `json:"objects,omitempty"`
	// HighestPosition is the highest position that the primary reported to the
	// daemon.
	HighestPosition sequencer.Position `json:"seen"`
	// Complete is set if Absent and the registrations in the store include all daemons
	// that may hold a lease, as far as the daemon can know.
	Complete bool `json:"complete,omitempty"`
	// Absent lists the daemons that registered before the store was restored and whose
	// registrations it has lost.
	Absent []string `json:"absent,omitempty"`
}

// Coordinator names the failover coordinator: the daemon that runs primary
// changes, failovers and handovers, for all groups.
type Coordinator struct {
	Holder string `json:"holder"`
	// FencingToken rises with each change of holder and is sent along with each
	// promotion. It is called "fence" in stored rows and log lines. In package
	// promoter a fence is something else: a server's promise of a term.
	FencingToken int64 `json:"fence"`
}

// recovery names the daemon that recovered the rows of an era.
type recovery struct {
	Host string `json:"host"`
}

// decode unmarshals a row's value. It fails with an Error of KindInvalid.
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
