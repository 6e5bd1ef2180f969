package elector

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/sequencer"
)

// Demand is what is asked of a backend server along with its account.
type Demand int

// Demands on a backend server.
const (
	// DemandAccount asks for the account alone.
	DemandAccount Demand = iota
	// DemandStepDown makes a primary of a lower term a replica.
	DemandStepDown
)

// Order is a demand on a server.
type Order struct {
	Demand Demand
	Term   int64
}

// Account is a backend server's own account of its log.
type Account struct {
	Primary bool
	Term    int64
	// Received is the last entry in the server's log, applied or not.
	Received sequencer.Position
}

// Promotion asks that a server becomes its group's primary.
type Promotion struct {
	Group  string
	Server string
	Holder string
	Fence  int64
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
	ID     uint64
	Server cataloger.Server
	Order  Order
}

// Promote carries a promotion out; Promoted answers it.
type Promote struct {
	ID        uint64
	Promotion Promotion
}

// Reread asks for the rows to be read whole at once.
type Reread struct{}

// Expel ends what runs on a group's primary.
type Expel struct {
	Group string
}

func (Write) command()   {}
func (Inspect) command() {}
func (Promote) command() {}
func (Reread) command()  {}
func (Expel) command()   {}
