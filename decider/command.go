// Package decider implements the decisions of one daemon. As the gateway daemon
// of its clients it sends each request to the home of its database, the daemon
// that queues and routes all work of that database; it is itself the home of
// some databases. The package does no I/O: inputs are method calls with the
// current time, outputs are commands. A driver executes the commands and reports
// their results through further calls.
package decider

import (
	"encoding/json"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sessioner"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// Request is a unit of work as the gateway daemon receives it from a client.
type Request struct {
	// ClientID identifies the client connection that waits for the reply.
	ClientID uint64
	Customer string
	Database string
	// Rank is the requested priority rank; one more urgent than the plan's is
	// lowered to the plan's.
	Rank  scheduler.Rank
	Write bool
	// Begin opens a transaction, which Node.Step continues.
	Begin bool
	// RequestKey is the client's request key, or empty; Digest binds the key to
	// this work.
	RequestKey string
	Digest     string
	// MaxAge is the maximum age of the data that a read may return; 0 means no
	// maximum age. In both cases the read covers the session's floor, if known.
	MaxAge timekeeper.Millis
	// Timeout is how long the client waits; 0 means 15 s.
	Timeout timekeeper.Millis
	Session sessioner.Session
	// Payload is passed to the backend server's connection without being
	// decoded.
	Payload []byte
}

// Command is an action for the driver: one of Reply, ToServer, ToPlatform,
// ToPeer, GossipPacket, ReadEdits, ReadHosts and CancelClient.
type Command any

// Reply delivers an outcome to a client.
type Reply struct {
	ClientID uint64
	Outcome  dispatcher.Outcome
}

// ToServer is a command for a database's backend servers: one of the
// dispatcher's OpenConn, CloseConn, Exec, CancelExec, Poll, Watch and
// InspectSession, or the promoter's Fence, Promote and Follow.
type ToServer struct {
	Database string
	Command  any
}

// ToPlatform is a command for the platform: the promoter's Claim or Publish.
type ToPlatform struct {
	Database string
	Command  any
}

// ToPeer is a message to another daemon. The driver calls Node.PeerLost if the
// message can't be delivered.
type ToPeer struct {
	To      watcher.Member
	Message Message
}

// GossipPacket is a datagram to another daemon; it may be lost.
type GossipPacket watcher.Envelope

// ReadEdits reads the edits of the operators' lists that follow version After
// from the platform. The driver reports them with Node.EditsRead.
type ReadEdits struct {
	After int64
}

// CancelClient cancels the statement that a client of this daemon waits for, if
// the secret is that client's.
type CancelClient CancelKeyMessage

// ReadHosts reads the platform's list of hosts. The driver reports it with
// Node.HostsRead.
type ReadHosts struct{}

// Message is a message between daemons. Exactly one of its fields is set. A
// daemon ignores fields that it does not know, so newer daemons may add some.
type Message struct {
	Work      *dispatcher.Work    `json:"work,omitempty"`
	Step      *StepMessage        `json:"step,omitempty"`
	Outcome   *dispatcher.Outcome `json:"outcome,omitempty"`
	Cancel    *CancelMessage      `json:"cancel,omitempty"`
	CancelKey *CancelKeyMessage   `json:"key,omitempty"`
	Forward   *ForwardMessage     `json:"forward,omitempty"`
	Leaving   *LeavingSet         `json:"leaving,omitempty"`
	Fetch     *FetchMessage       `json:"fetch,omitempty"`
	Lists     *planner.File       `json:"lists,omitempty"`
	Edits     []planner.Edit      `json:"edits,omitempty"`
}

// StepMessage sends the next batch of an open transaction to the database's home.
type StepMessage struct {
	Database string          `json:"database"`
	Gateway  string          `json:"entry"`
	Step     dispatcher.Step `json:"step"`
}

// CancelMessage informs a home that the client of a unit of work has
// disconnected, or, with Statement, has cancelled its statement.
type CancelMessage struct {
	Database string `json:"database"`
	ID       string `json:"id"`
	// Statement cancels the statement only; the client is still connected.
	Statement bool `json:"statement,omitempty"`
}

// CancelKeyMessage carries the cancel key of a cancel request to the daemons
// whose HostNumber is Host. Only the daemon that issued the key acts on it.
type CancelKeyMessage struct {
	Host     uint16 `json:"host"`
	ClientID uint64 `json:"caller"`
	Secret   uint32 `json:"secret"`
}

// ForwardMessage is a message that is sent through a third daemon because its
// sender can't reach its receiver.
type ForwardMessage struct {
	From    string  `json:"from"`
	To      string  `json:"to"`
	Message Message `json:"mail"`
}

// LeavingSet is the set of hosts that are leaving, and of backend servers that
// are leaving by database, all by name.
type LeavingSet struct {
	Hosts   map[string]bool            `json:"hosts,omitempty"`
	Servers map[string]map[string]bool `json:"servers,omitempty"`
}

// FetchMessage requests the operators' lists if they are newer than version
// After.
type FetchMessage struct {
	After int64 `json:"after"`
}

// UnmarshalJSON decodes a message. It returns an Error of KindInvalid if the text
// can't be decoded, or if it contains a step without a database or an id.
func (m *Message) UnmarshalJSON(data []byte) error {
	type plain Message
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return &Error{Op: "decode message", Kind: KindInvalid, Text: err.Error()}
	}
	if p.Step != nil && (p.Step.Database == "" || p.Step.Step.ID == "") {
		return &Error{Op: "decode message", Kind: KindInvalid, Text: "a step lacks its database or id"}
	}
	*m = Message(p)
	return nil
}

// Settings configures a Node.
type Settings struct {
	Self      watcher.Member
	Peers     []watcher.Member
	Databases map[string]dispatcher.Settings
	Promoter  promoter.Settings
	Hosts     watcher.Settings
	// EditsInterval is the time between two reads of new edits of the lists.
	EditsInterval timekeeper.Millis
	// Static makes every daemon the home of all databases, as a baseline for
	// measurements.
	Static bool
	// HostsInterval is the time between two reads of the platform's list of hosts
	// by the domain reader, the daemon that reads the platform for its failure
	// domain.
	HostsInterval timekeeper.Millis
}

// Deps holds the functions that a Node needs from outside.
type Deps struct {
	// Log writes a log line; nil disables logging.
	Log func(format string, args ...any)
	// InvariantViolated is called for each failed internal check; nil ignores
	// them.
	InvariantViolated func(format string, args ...any)
}
