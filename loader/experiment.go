// Package loader is the load and experiment tool. It generates load over real
// PostgreSQL connections and runs a fault script meanwhile. The load is open
// loop: requests arrive at random times of a given rate, whether or not earlier
// ones are answered, and latencies count from the time of arrival.
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

// Experiment describes a load, the deployment that it runs against and a fault
// script. It is read from a JSON file.
type Experiment struct {
	Name string `json:"name"`
	// Size names the deployment to emulate: "coop" or "naidu".
	Size string `json:"size"`
	// Targets are the addresses of daemons to load instead of an emulation.
	Targets []string `json:"targets,omitempty"`
	// Policy is the name of a baseline policy: "fifo", "strict", "static",
	// "primary" or "unacknowledged". If it is empty, the daemons' own policy
	// applies.
	Policy string `json:"policy,omitempty"`
	// Seed seeds the random arrival times and row numbers.
	Seed int64 `json:"seed"`
	// WarmUp is the warm-up time before the measured time. Its requests are not
	// counted.
	WarmUp timekeeper.Millis `json:"warm"`
	// Run is the measured time.
	Run timekeeper.Millis `json:"run"`
	// Service, Lag, ShipDelay, Daemons, Slots and Connections replace the values
	// of the emulated size where they are above 0.
	Service     timekeeper.Millis `json:"service,omitempty"`
	Lag         timekeeper.Millis `json:"lag,omitempty"`
	ShipDelay   timekeeper.Millis `json:"ship,omitempty"`
	Daemons     int               `json:"daemons,omitempty"`
	Slots       int               `json:"slots,omitempty"`
	Connections int               `json:"connections,omitempty"`
	// MaxWaits replaces the maximum queue times of the ranks.
	MaxWaits MaxWaits `json:"limits,omitzero"`
	Streams  []Stream `json:"streams"`
	Faults   []Fault  `json:"faults,omitempty"`
	// NoPreempt disables the preemption of browse reads by urgent work, for
	// comparison.
	NoPreempt bool `json:"keep,omitempty"`
	// Decisions logs each routing and placement decision.
	Decisions bool `json:"decisions,omitempty"`
}

// MaxWaits holds the maximum time in the queue by rank; 0 keeps the default.
type MaxWaits struct {
	Urgent   timekeeper.Millis `json:"urgent,omitempty"`
	Standard timekeeper.Millis `json:"standard,omitempty"`
	Browse   timekeeper.Millis `json:"browse,omitempty"`
}

// apply sets the maximum wait of each rank that has a limit above 0.
func (w MaxWaits) apply(policies *scheduler.RankPolicies) {
	for rank, limit := range map[scheduler.Rank]timekeeper.Millis{
		scheduler.RankUrgent:   w.Urgent,
		scheduler.RankStandard: w.Standard,
		scheduler.RankBrowse:   w.Browse,
	} {
		if limit > 0 {
			policies[rank].MaxWait = limit
		}
	}
}

// Work is the operation that each request of a stream performs.
type Work string

const (
	// WorkWrite updates a row with a request key.
	WorkWrite Work = "write"
	// WorkPlain updates a row without a request key.
	WorkPlain Work = "plain"
	// WorkRead reads a row.
	WorkRead Work = "read"
	// WorkAged reads a row that may be stale by up to Stream.MaxAge.
	WorkAged Work = "aged"
	// WorkSession updates a row with a request key, waits for Stream.Think, and
	// reads the row in the same session.
	WorkSession Work = "session"
	// WorkShort runs a statement that reads no table.
	WorkShort Work = "short"
)

// Stream describes a stream of requests that differ only in time and row.
type Stream struct {
	Name     string         `json:"name"`
	Customer string         `json:"customer"`
	Rank     scheduler.Rank `json:"rank"`
	Database string         `json:"database"`
	Work     Work           `json:"work"`
	// Rate is the mean number of requests per second over all sessions. With 0
	// the load is closed loop: each session sends its next request when the last
	// one is answered.
	Rate float64 `json:"rate"`
	// ExtraServiceTime is added to the service time of reads, in milliseconds.
	ExtraServiceTime float64 `json:"extra,omitempty"`
	// Sessions is the number of connections that send the requests.
	Sessions int `json:"sessions"`
	// Think is the time between the write and the read of WorkSession.
	Think timekeeper.Millis `json:"think,omitempty"`
	// MaxAge is the maximum staleness that reads of WorkAged accept.
	MaxAge timekeeper.Millis `json:"age,omitempty"`
	// From and Until bound the stream, as times since the start of the measured
	// time. A From of 0 includes the warm-up; an Until of 0 is the end of the
	// measured time. Streams with a Rate of 0 ignore both.
	From  timekeeper.Millis `json:"from,omitempty"`
	Until timekeeper.Millis `json:"until,omitempty"`
	// Direct sends the requests to the emulation's initial primary, not through
	// a daemon.
	Direct bool `json:"direct,omitempty"`
	// TargetLatency is the maximum latency of a request that counts as good; 0
	// counts every request done as good.
	TargetLatency timekeeper.Millis `json:"target,omitempty"`
}

// Fault is a fault injected during the measured time. The first of Kill, Server
// and Hosts that is set selects its type.
type Fault struct {
	// At is the earliest time of the fault, since the start of the measured time.
	// Faults are injected in the order of the list.
	At timekeeper.Millis `json:"at"`
	// Kill is the name of a backend server to stop.
	Kill string `json:"kill,omitempty"`
	// Server is the name of a backend server, and Set the change of a fault of
	// this server as NAME=VALUE; see faker.Backend.SetFault.
	Server string `json:"server,omitempty"`
	Set    string `json:"set,omitempty"`
	// Hosts replaces the platform's list of hosts.
	Hosts json.RawMessage `json:"hosts,omitempty"`
}

// Read reads an experiment from a JSON file. A file that cannot be read, unknown
// fields and invalid values are Errors of KindInvalid; the error names all
// invalid values.
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

// check returns a text for each invalid value, none for a valid experiment.
func (x Experiment) check() []string {
	var faults []string
	addFault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if x.Size != "coop" && x.Size != "naidu" {
		addFault("size: want coop or naidu")
	}
	if _, known := baselines[x.Policy]; !known {
		addFault("policy: unknown %q", x.Policy)
	}
	if x.Run <= 0 {
		addFault("run: want above 0")
	}
	if len(x.Streams) == 0 {
		addFault("streams: want at least one")
	}
	for i, s := range x.Streams {
		path := fmt.Sprintf("streams[%d]", i)
		if s.Name == "" || s.Customer == "" || s.Database == "" {
			addFault("%s: want name, customer and database", path)
		}
		if s.Sessions < 1 {
			addFault("%s.sessions: want 1 or more", path)
		}
		switch s.Work {
		case WorkWrite, WorkPlain, WorkRead, WorkAged, WorkSession, WorkShort:
		default:
			addFault("%s.work: unknown %q", path, s.Work)
		}
	}
	return faults
}

// size returns the size of the deployment to emulate, with the values that the
// experiment replaces.
func (x Experiment) size() emulator.Size {
	size := emulator.Coop()
	if x.Size == "naidu" {
		size = emulator.Naidu()
	}
	if x.Service > 0 {
		size.ServiceTime = x.Service
	}
	if x.Lag > 0 {
		size.ApplyLag = x.Lag
	}
	if x.ShipDelay > 0 {
		size.ShipDelay = x.ShipDelay
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
