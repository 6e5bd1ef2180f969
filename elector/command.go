package elector

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/sequencer"
)

// Action is what an InspectRequest asks of a backend server along with its
// status.
type Action int

// Actions of an InspectRequest.
const (
	// ActionNone requests only the status.
	ActionNone Action = iota
	// ActionStepDown turns the server into a replica if it is the primary of a
	// term below InspectRequest.Term.
	ActionStepDown
)

// InspectRequest requests the status of a backend server, and an action.
type InspectRequest struct {
	Action Action
	// Term is the next term, for ActionStepDown.
	Term int64
}

// ServerStatus is the status of a backend server's log as the server reports it
// in response to an Inspect. sequencer.Report is the status report of the
// servers that heatherhall fences and promotes itself, see package promoter.
type ServerStatus struct {
	// Primary is set if the server is the primary of Term.
	Primary bool
	Term    int64
	// Received is the position of the last entry in the server's log, applied
	// or not.
	Received sequencer.Position
}

// Promotion asks the platform to make a server its group's primary.
type Promotion struct {
	Group  string
	Server string
	// Holder and FencingToken identify the coordinator that asks; see
	// Coordinator.
	Holder       string
	FencingToken int64
}

// Command is a request that the driver executes.
type Command interface{ command() }

// Write runs a transaction on the store. The driver reports the result to
// Elector.WriteFinished.
type Write struct {
	ID uint64
	Tx Transaction
}

// Inspect requests a server's status. The driver reports the result to
// Elector.InspectFinished.
type Inspect struct {
	ID      uint64
	Server  cataloger.Server
	Request InspectRequest
}

// Promote asks the platform for a promotion. The driver reports the result to
// Elector.PromotionFinished.
type Promote struct {
	ID        uint64
	Promotion Promotion
}

// ReloadRows asks for a full read of the rows at once.
type ReloadRows struct{}

// ReleasePrimary ends all statements that run on a group's primary.
type ReleasePrimary struct {
	Group string
}

func (Write) command()          {}
func (Inspect) command()        {}
func (Promote) command()        {}
func (ReloadRows) command()     {}
func (ReleasePrimary) command() {}
