// Package loader is the load and experiment tool: open-loop callers over real
// PostgreSQL connections, with latencies measured from the time at which each
// request was due, and a fault script.
package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/heatherhall/heatherhall/emulator"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Experiment is a load with its deployment, as a file describes it.
type Experiment struct {
	Name string `json:"name"`
	// Size is "coop" or "naidu", the deployment that is emulated.
	Size string `json:"size"`
	// Targets are daemons' addresses to load instead of an emulation.
	Targets []string `json:"targets,omitempty"`
	// Policy is empty, or the baseline "fifo", "strict", "static", "primary" or
	// "unacknowledged".
	Policy string `json:"policy,omitempty"`
	Seed   int64  `json:"seed"`
	// Warm is left out of the figures, Run is measured.
	Warm timekeeper.Millis `json:"warm"`
	Run  timekeeper.Millis `json:"run"`
	// Service and Lag replace those of the size where they are above 0.
	Service timekeeper.Millis `json:"service,omitempty"`
	Lag     timekeeper.Millis `json:"lag,omitempty"`
	Ship    timekeeper.Millis `json:"ship,omitempty"`
	// Daemons, Slots and Connections replace those of the size likewise.
	Daemons     int `json:"daemons,omitempty"`
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	// Limits replace the ranks' targets.
	Limits  Limits   `json:"limits,omitzero"`
	Streams []Stream `json:"streams"`
	Faults  []Fault  `json:"faults,omitempty"`
	// Keep leaves running browse reads alone, for comparison.
	Keep bool `json:"keep,omitempty"`
	// Decisions logs each routing and placement decision.
	Decisions bool `json:"decisions,omitempty"`
}

// Limits are targets of ranks; 0 keeps the default.
type Limits struct {
	Urgent   timekeeper.Millis `json:"urgent,omitempty"`
	Standard timekeeper.Millis `json:"standard,omitempty"`
	Browse   timekeeper.Millis `json:"browse,omitempty"`
}

// apply sets the limits that are given.
func (l Limits) apply(classes *scheduler.RankPolicies) {
	for rank, limit := range map[scheduler.Rank]timekeeper.Millis{
		scheduler.RankUrgent:   l.Urgent,
		scheduler.RankStandard: l.Standard,
		scheduler.RankBrowse:   l.Browse,
	} {
		if limit > 0 {
			classes[rank].MaxWait = limit
		}
	}
}

// Work is what a stream's requests do.
type Work string

// Kinds of work.
const (
	// WorkWrite updates a row with a request key.
	WorkWrite Work = "write"
	// WorkPlain updates a row without a key.
	WorkPlain Work = "plain"
	// WorkRead reads a row.
	WorkRead Work = "read"
	// WorkAged reads a row of a stated age.
	WorkAged Work = "aged"
	// WorkSession writes a row, thinks, and reads it back.
	WorkSession Work = "session"
	// WorkShort is a statement that touches no table.
	WorkShort Work = "short"
)

// Stream is a stream of like requests.
type Stream struct {
	Name     string         `json:"name"`
	Customer string         `json:"customer"`
	Rank     scheduler.Rank `json:"rank"`
	Database string         `json:"database"`
	Work     Work           `json:"work"`
	// Rate is the number of requests a second; 0 sends each session's next
	// request when the last one is answered.
	Rate float64 `json:"rate"`
	// Extra is added to the service time of reads, in milliseconds.
	Extra    float64 `json:"extra,omitempty"`
	Sessions int     `json:"sessions"`
	// Think is the time between a session's write and its read.
	Think timekeeper.Millis `json:"think,omitempty"`
	// Age is the stated age of aged reads.
	Age timekeeper.Millis `json:"age,omitempty"`
	// From and Until bound the stream within the measured time; an Until of 0
	// is its end.
	From  timekeeper.Millis `json:"from,omitempty"`
	Until timekeeper.Millis `json:"until,omitempty"`
	// Direct sends the requests to the primary without a daemon.
	Direct bool `json:"direct,omitempty"`
	// Target is the time within which an answer counts as good.
	Target timekeeper.Millis `json:"target,omitempty"`
}

// Fault is something that happens during the run.
type Fault struct {
	// At is the time after the beginning of the measured part.
	At timekeeper.Millis `json:"at"`
	// Kill stops a server; Server and Set change one of its conditions.
	Kill   string `json:"kill,omitempty"`
	Server string `json:"server,omitempty"`
	Set    string `json:"set,omitempty"`
	// Hosts replaces the platform's list of hosts.
	Hosts json.RawMessage `json:"hosts,omitempty"`
}

// Read reads and checks an experiment's file.
func Read(path string) (Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, &Error{Op: "read", Kind: KindInvalid, Err: err}
	}
	var x Experiment
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&x); err != nil {
		return x, &Error{Op: "read " + path, Kind: KindInvalid, Err: err}
	}
	if faults := x.check(); len(faults) > 0 {
		return x, &Error{Op: "read " + path, Kind: KindInvalid, Err: fmt.Errorf("%s", strings.Join(faults, "; "))}
	}
	return x, nil
}

func (x Experiment) check() []string {
	var faults []string
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if x.Size != "coop" && x.Size != "naidu" {
		add("size: want coop or naidu")
	}
	if _, known := policies[x.Policy]; !known {
		add("policy: unknown %q", x.Policy)
	}
	if x.Run <= 0 {
		add("run: want above 0")
	}
	if len(x.Streams) == 0 {
		add("streams: want at least one")
	}
	for i, s := range x.Streams {
		place := fmt.Sprintf("streams[%d]", i)
		if s.Name == "" || s.Customer == "" || s.Database == "" {
			add("%s: want name, customer and database", place)
		}
		if s.Sessions < 1 {
			add("%s.sessions: want 1 or more", place)
		}
		switch s.Work {
		case WorkWrite, WorkPlain, WorkRead, WorkAged, WorkSession, WorkShort:
		default:
			add("%s.work: unknown %q", place, s.Work)
		}
	}
	return faults
}

// size returns the emulated deployment's size.
func (x Experiment) size() emulator.Size {
	size := emulator.Coop()
	if x.Size == "naidu" {
		size = emulator.Naidu()
	}
	if x.Service > 0 {
		size.Service = x.Service
	}
	if x.Lag > 0 {
		size.Lag = x.Lag
	}
	if x.Ship > 0 {
		size.Ship = x.Ship
	}
	if x.Daemons > 0 {
		size.Daemons = x.Daemons
	}
	if x.Slots > 0 {
		size.Slots = x.Slots
	}
	if x.Connections > 0 {
		size.Connections = x.Connections
	}
	return size
}
