// Package watcher maintains the list of heatherhall's own hosts with the SWIM
// protocol: direct and indirect probes detect failures, and gossip spreads
// updates. It also chooses the home of each database: the host whose daemon
// queues and routes all work of that database.
package watcher

import (
	"encoding/json"
)

// State is the member state of a host.
type State string

// Member states. A suspect missed its probes and counts as dead unless it
// refutes the suspicion in time. A leaving host shuts down as planned.
const (
	StateLive    State = "live"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeaving State = "leaving"
)

// Member is a host's entry in the list.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   State  `json:"state"`
	// Incarnation rises each time the host starts or refutes an update. Of two
	// entries of a host, the one with the higher incarnation takes precedence.
	Incarnation int64 `json:"incarnation"`
}

// WithState returns a copy of the member with the given state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// supersedes reports whether entry m of a host takes precedence over entry
// other: by incarnation, then by state in the order live, suspect, dead,
// leaving.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return statePrecedence[m.State] > statePrecedence[other.State]
}

var statePrecedence = map[State]int{StateLive: 0, StateSuspect: 1, StateDead: 2, StateLeaving: 3}

// Type is the type of a Message.
type Type string

// Message types.
const (
	// TypePing is a probe; the receiver responds with a TypeAck.
	TypePing Type = "ping"
	TypeAck  Type = "ack"
	// TypePingReq asks the receiver to ping Target and forward the ack.
	TypePingReq Type = "relay"
)

// Message is a gossip message: a probe, a request for one, or an ack.
type Message struct {
	Type Type   `json:"type"`
	From Member `json:"from"`
	// SeqNo is the sequence number of a probe; its ack repeats it.
	SeqNo uint64 `json:"number"`
	// Target is the name of the host to ping, for TypePingReq.
	Target string `json:"target,omitempty"`
	// Updates are entries of other hosts that changed.
	Updates []Member `json:"news,omitempty"`
	// ListsVersion is the version of the operators' lists that the sender has.
	ListsVersion int64 `json:"lists"`
}

// UnmarshalJSON decodes a message. It fails if the type is unknown or a member
// lacks its name or address or has an unknown state.
func (m *Message) UnmarshalJSON(data []byte) error {
	type plain Message
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return invalid("decode message", err.Error())
	}
	if p.Type != TypePing && p.Type != TypeAck && p.Type != TypePingReq {
		return invalid("decode message", "unknown type "+string(p.Type))
	}
	for _, member := range append([]Member{p.From}, p.Updates...) {
		if _, known := statePrecedence[member.State]; !known || member.Name == "" || member.Address == "" {
			return invalid("decode message", "a member lacks its name, address or state")
		}
	}
	*m = Message(p)
	return nil
}
