// Package watcher keeps the list of heatherhall's own hosts: which are live,
// told by direct probes and gossip, and which of them is the home of a database.
package watcher

import (
	"encoding/json"
)

// State is what is known of a host.
type State string

// States of a host.
const (
	StateLive    State = "live"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeaving State = "leaving"
)

// Member is a host of heatherhall.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   State  `json:"state"`
	// Incarnation rises each time the host starts or refutes its death; of two
	// accounts of a host the one with the higher incarnation holds.
	Incarnation int64 `json:"incarnation"`
}

// WithState returns the member in another state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// overrules reports whether account m of a host holds against account other.
// At the same incarnation bad news holds against good, and leaving against all.
func (m Member) overrules(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return severity[m.State] > severity[other.State]
}

var severity = map[State]int{StateLive: 0, StateSuspect: 1, StateDead: 2, StateLeaving: 3}

// Type tells messages apart.
type Type string

// Types of messages.
const (
	TypePing Type = "ping"
	TypeAck  Type = "ack"
	// TypePingReq asks the receiver to ping Target and pass its answer on.
	TypePingReq Type = "relay"
)

// Message is a probe or its answer. Each carries news of hosts and the version
// of the lists that the sender has.
type Message struct {
	Type         Type     `json:"type"`
	From         Member   `json:"from"`
	SeqNo        uint64   `json:"number"`
	Target       string   `json:"target,omitempty"`
	Updates      []Member `json:"news,omitempty"`
	ListsVersion int64    `json:"lists"`
}

// UnmarshalJSON decodes a message and checks its type and members.
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
		if _, known := severity[member.State]; !known || member.Name == "" || member.Address == "" {
			return invalid("decode message", "a member lacks its name, address or state")
		}
	}
	*m = Message(p)
	return nil
}
