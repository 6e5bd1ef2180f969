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
	// Caller names the connection that waits for the reply.
	Caller   uint64
	Customer string
	Database string
	Rank     scheduler.Rank
	Write    bool
	Begin    bool
	Key      string
	Digest   string
	MaxAge   timekeeper.Millis
	Within   timekeeper.Millis
	Session  sessioner.Session
	Payload  []byte
}

// Command is something the driver is to do.
type Command any

// Reply hands an outcome to a caller.
type Reply struct {
	Caller  uint64
	Outcome dispatcher.Outcome
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
	To   watcher.Member
	Mail Mail
}

// Probe is a datagram to another daemon; it may be lost.
type Probe watcher.Envelope

// ReadTail reads the edits of the lists after a version from the platform.
type ReadTail struct {
	After int64
}

// CancelCaller cancels what a caller of this daemon waits for, if the secret is
// the caller's.
type CancelCaller KeyMail

// ReadHosts reads the platform's list of hosts.
type ReadHosts struct{}

// Mail is a message between daemons. One of its fields is set. Fields unknown to
// an older daemon are passed over by it.
type Mail struct {
	Work    *dispatcher.Work    `json:"work,omitempty"`
	Step    *StepMail           `json:"step,omitempty"`
	Outcome *dispatcher.Outcome `json:"outcome,omitempty"`
	Cancel  *CancelMail         `json:"cancel,omitempty"`
	Key     *KeyMail            `json:"key,omitempty"`
	Forward *ForwardMail        `json:"forward,omitempty"`
	Leaving *LeavingMail        `json:"leaving,omitempty"`
	Fetch   *FetchMail          `json:"fetch,omitempty"`
	Lists   *planner.File       `json:"lists,omitempty"`
	Edits   []planner.Edit      `json:"edits,omitempty"`
}

// StepMail is a step of a transaction on its way to the home.
type StepMail struct {
	Database string          `json:"database"`
	Entry    string          `json:"entry"`
	Step     dispatcher.Step `json:"step"`
}

// CancelMail tells a home that the caller of some work has gone.
type CancelMail struct {
	Database string `json:"database"`
	ID       string `json:"id"`
	// Statement cancels the statement only; its caller is still there.
	Statement bool `json:"statement,omitempty"`
}

// KeyMail is a cancel request on its way to the daemon whose caller it names.
type KeyMail struct {
	Host   uint16 `json:"host"`
	Caller uint64 `json:"caller"`
	Secret uint32 `json:"secret"`
}

// ForwardMail is mail that travels through a third daemon, because its sender
// can't reach its receiver.
type ForwardMail struct {
	From string `json:"from"`
	To   string `json:"to"`
	Mail Mail   `json:"mail"`
}

// LeavingMail names the entry hosts that leave, and the backend servers that
// leave by database.
type LeavingMail struct {
	Hosts   map[string]bool            `json:"hosts,omitempty"`
	Servers map[string]map[string]bool `json:"servers,omitempty"`
}

// FetchMail asks for lists newer than a version.
type FetchMail struct {
	After int64 `json:"after"`
}

// UnmarshalJSON decodes a message and checks that it holds something.
func (m *Mail) UnmarshalJSON(data []byte) error {
	type plain Mail
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return &Error{Op: "decode mail", Kind: KindInvalid, Text: err.Error()}
	}
	if p.Step != nil && (p.Step.Database == "" || p.Step.Step.ID == "") {
		return &Error{Op: "decode mail", Kind: KindInvalid, Text: "a step lacks its database or id"}
	}
	*m = Mail(p)
	return nil
}

// Settings are all that a daemon's decisions depend on.
type Settings struct {
	Self      watcher.Member
	Peers     []watcher.Member
	Databases map[string]dispatcher.Settings
	Promoter  promoter.Settings
	Hosts     watcher.Settings
	// Tail is the time between two reads of the lists' tail.
	Tail timekeeper.Millis
	// Static makes each daemon the home of all databases, as a baseline for
	// measurements.
	Static bool
	// HostList is the time between two reads of the platform's list of hosts by
	// the daemon that reads it for its domain.
	HostList timekeeper.Millis
}

// Seams are the functions that tests and drivers may set.
type Seams struct {
	// Log writes a line; nil writes none.
	Log func(format string, args ...any)
	// Violated is told of each check inside the program that failed.
	Violated func(format string, args ...any)
}
