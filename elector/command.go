package elector

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/sequencer"
)

// Action is what is asked of a backend server along with its account.
type Action int

// Demands on a backend server.
const (
	// ActionNone asks for the account alone.
	ActionNone Action = iota
	// ActionStepDown makes a primary of a lower term a replica.
	ActionStepDown
)

// InspectRequest is a demand on a server.
type InspectRequest struct {
	Action Action
	Term   int64
}

// ServerStatus is a backend server's own account of its log.
type ServerStatus struct {
	Primary bool
	Term    int64
	// Received is the last entry in the server's log, applied or not.
	Received sequencer.Position
}

// Promotion asks that a server becomes its group's primary.
type Promotion struct {
	Group        string
	Server       string
	Holder       string
	FencingToken int64
}

// Command is something that the driver carries out.
type Command interface{ command() }

// Write changes rows; Written answers it.
type Write struct {
	ID uint64
	Tx Transaction
}

// Inspect asks a server for its account; Inspected answers it.
type Inspect struct {
	ID      uint64
	Server  cataloger.Server
	Request InspectRequest
}

// Promote carries a promotion out; Promoted answers it.
type Promote struct {
	ID        uint64
	Promotion Promotion
}

// ReloadRows asks for the rows to be read whole at once.
type ReloadRows struct{}

// ReleasePrimary ends what runs on a group's primary.
type ReleasePrimary struct {
	Group string
}

func (Write) command()          {}
func (Inspect) command()        {}
func (Promote) command()        {}
func (ReloadRows) command()     {}
func (ReleasePrimary) command() {}
