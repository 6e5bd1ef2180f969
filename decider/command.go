// Package decider holds all decisions of one daemon: it takes callers' requests,
// finds the home of each database, and is the home of some. It does no I/O:
// inputs are method calls with the present time, outputs are commands. A driver
// that carries out the commands and feeds the answers back makes it a daemon.
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

// Request is a caller's unit of work as the entry takes it.
type Request struct {
	// ClientID names the connection that waits for the reply.
	ClientID   uint64
	Customer   string
	Database   string
	Rank       scheduler.Rank
	Write      bool
	Begin      bool
	RequestKey string
	Digest     string
	MaxAge     timekeeper.Millis
	Timeout    timekeeper.Millis
	Session    sessioner.Session
	Payload    []byte
}

// Command is something the driver is to do.
type Command any

// Reply hands an outcome to a caller.
type Reply struct {
	ClientID uint64
	Outcome  dispatcher.Outcome
}

// ToServer is a command for a database's backend servers: one of the
// dispatcher's OpenConn, CloseConn, Exec, Ask, Watch and Inspect, or the
// promoter's Fence, Promote and Follow.
type ToServer struct {
	Database string
	Command  any
}

// ToPlatform is a command for the platform: the promoter's Claim or Publish.
type ToPlatform struct {
	Database string
	Command  any
}

// ToPeer is a message to another daemon. The driver reports with PeerLost if it
// can't be delivered.
type ToPeer struct {
	To      watcher.Member
	Message Message
}

// GossipPacket is a datagram to another daemon; it may be lost.
type GossipPacket watcher.Envelope

// ReadEdits reads the edits of the lists after a version from the platform.
type ReadEdits struct {
	After int64
}

// CancelClient cancels what a caller of this daemon waits for, if the secret is
// the caller's.
type CancelClient CancelKeyMessage

// ReadHosts reads the platform's list of hosts.
type ReadHosts struct{}

// Message is a message between daemons. One of its fields is set. Fields unknown to
// an older daemon are passed over by it.
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

// StepMessage is a step of a transaction on its way to the home.
type StepMessage struct {
	Database string          `json:"database"`
	Gateway  string          `json:"entry"`
	Step     dispatcher.Step `json:"step"`
}

// CancelMessage tells a home that the caller of some work has gone.
type CancelMessage struct {
	Database string `json:"database"`
	ID       string `json:"id"`
	// Statement cancels the statement only; its caller is still there.
	Statement bool `json:"statement,omitempty"`
}

// CancelKeyMessage is a cancel request on its way to the daemon whose caller it names.
type CancelKeyMessage struct {
	Host     uint16 `json:"host"`
	ClientID uint64 `json:"caller"`
	Secret   uint32 `json:"secret"`
}

// ForwardMessage is mail that travels through a third daemon, because its sender
// can't reach its receiver.
type ForwardMessage struct {
	From    string  `json:"from"`
	To      string  `json:"to"`
	Message Message `json:"mail"`
}

// LeavingSet names the entry hosts that leave, and the backend servers that
// leave by database.
type LeavingSet struct {
	Hosts   map[string]bool            `json:"hosts,omitempty"`
	Servers map[string]map[string]bool `json:"servers,omitempty"`
}

// FetchMessage asks for lists newer than a version.
type FetchMessage struct {
	After int64 `json:"after"`
}

// UnmarshalJSON decodes a message and checks that it holds something.
func (m *Message) UnmarshalJSON(data []byte) error {
	type plain Message
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return &Error{Op: "decode mail", Kind: KindInvalid, Text: err.Error()}
	}
	if p.Step != nil && (p.Step.Database == "" || p.Step.Step.ID == "") {
		return &Error{Op: "decode mail", Kind: KindInvalid, Text: "a step lacks its database or id"}
	}
	*m = Message(p)
	return nil
}

// Settings are all that a daemon's decisions depend on.
type Settings struct {
	Self      watcher.Member
	Peers     []watcher.Member
	Databases map[string]dispatcher.Settings
	Promoter  promoter.Settings
	Hosts     watcher.Settings
	// EditsInterval is the time between two reads of the lists' tail.
	EditsInterval timekeeper.Millis
	// Static makes each daemon the home of all databases, as a baseline for
	// measurements.
	Static bool
	// HostsInterval is the time between two reads of the platform's list of hosts by
	// the daemon that reads it for its domain.
	HostsInterval timekeeper.Millis
}

// Deps are the functions that tests and drivers may set.
type Deps struct {
	// Log writes a line; nil writes none.
	Log func(format string, args ...any)
	// InvariantViolated is told of each check inside the program that failed.
	InvariantViolated func(format string, args ...any)
}
