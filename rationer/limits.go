package rationer

import (
	"fmt"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Limits are the settings of what clients may use. Zero values stand for defaults,
// which depend on the host.
type Limits struct {
	// Memory is the budget for all clients, and Connection that of one connection, in
	// MiB.
	Memory     int64 `json:"memory,omitempty"`
	Connection int64 `json:"connection,omitempty"`
	// Connections is the max number of connections.
	Connections int `json:"connections,omitempty"`
	// Result is the max size of the rows of one result in MiB.
	Result int64 `json:"result,omitempty"`
	// State is the max size of a session's values and prepared statements in KiB.
	State int64 `json:"state,omitempty"`
	// Startup, Message and Unread limit how long a client may take to start a session,
	// to send the rest of a message that has begun, and to read each part of an answer.
	Startup timekeeper.Millis `json:"startup,omitempty"`
	Message timekeeper.Millis `json:"message,omitempty"`
	Unread  timekeeper.Millis `json:"unread,omitempty"`
	// Patience is how long a connection waits for memory before the biggest holder is
	// stopped.
	Patience timekeeper.Millis `json:"patience,omitempty"`
}

// Host describes what the limits' defaults depend on.
type Host struct {
	// Memory is the memory of the process in MiB, and Descriptors its limit of open
	// descriptors.
	Memory      int64
	Descriptors int
	// MemoryDivisor divides Memory into the default of Limits.Memory. The rest is for
	// the daemon itself, its buffers and garbage.
	MemoryDivisor int64
	// MessageCost is the most bytes that one message of legal size costs.
	MessageCost int64
	// State is the default of Limits.State in KiB, and Result that of Limits.Result in
	// MiB; 0 is an eighth of Limits.Memory.
	State  int64
	Result int64
	// Message is the default of Limits.Message.
	Message timekeeper.Millis
}

const (
	// fileDescriptors is how many descriptors are left for files.
	fileDescriptors = 200
	// connectionCost is the memory in bytes of an idle connection with its session, its
	// goroutine and a message that needs no reservation.
	connectionCost = 24 << 10
	minConnections = 16
	// maxWaitFactor is how much longer than Patience a connection waits before it is
	// refused itself.
	maxWaitFactor = 4
)

// WithDefaults returns the limits with defaults for a host in place of zero values. A
// quarter of the descriptors, apart from those for files, is reserved for servers,
// peers and the store.
func (l Limits) WithDefaults(h Host) Limits {
	defaultTo(&l.Memory, max(h.Memory/h.MemoryDivisor, 1))
	defaultTo(&l.Connection, max(l.Memory/4, (h.MessageCost+h.State<<10)>>20+1))
	defaultTo(&l.Connections, max(min((h.Descriptors-fileDescriptors)*3/4, int(h.Memory<<20/4/connectionCost)), minConnections))
	defaultTo(&l.Result, h.Result)
	defaultTo(&l.Result, max(l.Memory/8, 2))
	defaultTo(&l.State, h.State)
	defaultTo(&l.Startup, 10_000)
	defaultTo(&l.Message, h.Message)
	defaultTo(&l.Message, 20_000)
	defaultTo(&l.Unread, 5000)
	defaultTo(&l.Patience, 2000)
	return l
}

func defaultTo[T comparable](value *T, d T) {
	var zero T
	if *value == zero {
		*value = d
	}
}

// Settings returns the settings of a Rationer.
func (l Limits) Settings() Settings {
	return Settings{
		Memory: l.Memory << 20, ConnMemory: l.Connection << 20, Connections: l.Connections,
		Patience: l.Patience, MaxWait: l.Patience * maxWaitFactor,
	}
}

// Check returns the faults of the limits, each with the name of its setting.
func (l Limits) Check() []string {
	var faults []string
	for _, setting := range []struct {
		name  string
		value int64
	}{
		{"memory", l.Memory},
		{"connection", l.Connection},
		{"connections", int64(l.Connections)},
		{"result", l.Result},
		{"state", l.State},
		{"startup", int64(l.Startup)},
		{"message", int64(l.Message)},
		{"unread", int64(l.Unread)},
		{"patience", int64(l.Patience)},
	} {
		if setting.value < 0 {
			faults = append(faults, fmt.Sprintf("limits.%s: want 0 for the default, or more", setting.name))
		}
	}
	return faults
}
