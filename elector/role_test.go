package elector_test

import (
	"fmt"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// roleHost is a daemon of a failure domain as its rows show it.
type roleHost struct {
	capacity         int64
	reader, shedding bool
	// silent is set if its heartbeat does not change.
	silent bool
}

// newRoleElector returns an Elector of the daemon d1 that has read the registrations and
// two heartbeats of d0 to d9 in a failure domain.
func newRoleElector(hosts map[string]roleHost) (*elector.Elector, timekeeper.Millis) {
	host := elector.Host{Name: "d1", Domain: "a", Incarnation: 7, Address: "d1", Capacity: hosts["d1"].capacity}
	e := elector.New(elector.DefaultSettings(host), elector.Deps{PrimaryHealth: func(string, string) elector.PrimaryHealth {
		return elector.PrimaryHealth{UnresponsiveSince: 1, Quiesced: true}
	}})
	var rows []elector.Row
	for name, h := range hosts {
		value := fmt.Sprintf(`{"name":%q,"domain":"a","incarnation":7,"address":%q,"capacity":%d}`, name, name, h.capacity)
		rows = append(rows, elector.Row{Key: "host/" + name, Version: 2, Value: []byte(value)})
	}
	e.SetRows(1000, 1000, rows, elector.Revision{Version: 10})
	beat(e, 1000, hosts)
	beat(e, 4000, hosts)
	return e, 4000
}

// beat passes a reading of the hosts' heartbeats to the Elector.
func beat(e *elector.Elector, now timekeeper.Millis, hosts map[string]roleHost) {
	heartbeats := map[string]elector.Heartbeat{}
	for name, h := range hosts {
		heartbeat := elector.Heartbeat{Incarnation: 7, Count: int64(now), Reader: h.reader, Shedding: h.shedding}
		if h.silent {
			heartbeat.Count = 1
		}
		if name == "d1" && e.ClaimsReader(now) {
			heartbeat.Reader = true
		}
		heartbeats[name] = heartbeat
	}
	e.SetHeartbeats(now, now, 0, heartbeats)
}

// TestDomainReaderByCapacity guards against a small host that reads the store for a
// failure domain, against a role that moves when a host joins, and against a changed
// choice where capacities are equal or not known.
func TestDomainReaderByCapacity(t *testing.T) {
	tests := map[string]struct {
		hosts map[string]roleHost
		// want is the domain reader; d1 asks and is the choice for "".
		want string
	}{
		"none registered":               {map[string]roleHost{"d0": {}, "d1": {}, "d2": {}}, "d0"},
		"equal":                         {map[string]roleHost{"d0": {capacity: 5}, "d1": {capacity: 5}, "d2": {capacity: 5, reader: true}}, "d0"},
		"one has registered none":       {map[string]roleHost{"d0": {}, "d1": {capacity: 5}, "d2": {capacity: 50}}, "d0"},
		"the most capable":              {map[string]roleHost{"d0": {capacity: 5}, "d1": {capacity: 5}, "d2": {capacity: 50}, "d3": {capacity: 50}}, "d2"},
		"this daemon":                   {map[string]roleHost{"d0": {capacity: 5}, "d1": {capacity: 50}, "d2": {capacity: 5}}, ""},
		"the present reader stays":      {map[string]roleHost{"d0": {capacity: 50}, "d1": {capacity: 50}, "d2": {capacity: 5, reader: true}}, "d2"},
		"the most capable of two":       {map[string]roleHost{"d0": {capacity: 5, reader: true}, "d1": {capacity: 5}, "d2": {capacity: 50, reader: true}}, "d2"},
		"the most capable is not live":  {map[string]roleHost{"d0": {capacity: 5}, "d1": {capacity: 5}, "d2": {capacity: 50, silent: true}}, "d0"},
		"the present reader sheds":      {map[string]roleHost{"d0": {capacity: 5}, "d1": {capacity: 5}, "d2": {capacity: 50, reader: true, shedding: true}}, "d0"},
		"equal hosts, the reader sheds": {map[string]roleHost{"d0": {capacity: 5, shedding: true}, "d1": {capacity: 5}, "d2": {capacity: 5}}, ""},
		"all shed":                      {map[string]roleHost{"d0": {capacity: 5, shedding: true}, "d1": {capacity: 5, shedding: true}, "d2": {capacity: 50, shedding: true}}, "d2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, now := newRoleElector(test.hosts)
			if got := e.DomainReaderAddress(now); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestReaderClaim guards against a daemon that claims the role of the domain reader
// before it knows the present one, and against one that keeps the claim of an earlier run.
func TestReaderClaim(t *testing.T) {
	hosts := map[string]roleHost{"d0": {capacity: 5}, "d1": {capacity: 50}, "d2": {capacity: 5}}
	e, now := newRoleElector(hosts)
	claimedAt := timekeeper.Millis(0)
	for ; now < 40_000 && claimedAt == 0; now += 1500 {
		beat(e, now, hosts)
		if e.ClaimsReader(now) {
			claimedAt = now
		}
	}
	if claimedAt < 14_000 || claimedAt > 20_000 {
		t.Fatalf("claimed at %d ms, want two heartbeat timeouts after the start", claimedAt)
	}
	hosts["d9"] = roleHost{capacity: 500}
	e.SetRows(now, now, []elector.Row{
		{Key: "host/d1", Version: 2, Value: []byte(`{"name":"d1","domain":"a","incarnation":7,"address":"d1","capacity":50}`)},
		{Key: "host/d9", Version: 11, Value: []byte(`{"name":"d9","domain":"a","incarnation":7,"address":"d9","capacity":500}`)},
	}, elector.Revision{Version: 11})
	for range 4 {
		now += 1500
		beat(e, now, hosts)
	}
	if got := e.DomainReaderAddress(now); got != "" || !e.ClaimsReader(now) {
		t.Errorf("reader %q after a more capable host has joined, want the claim to hold", got)
	}
	hosts["d1"] = roleHost{capacity: 50, shedding: true}
	for range 3 {
		now += 1500
		beat(e, now, hosts)
	}
	if got := e.DomainReaderAddress(now); got != "d9" || e.ClaimsReader(now) {
		t.Errorf("reader %q, claim %v while this daemon sheds its roles, want d9 without a claim", got, e.ClaimsReader(now))
	}
}

// coordinatorRequest returns after how many milliseconds d1 asks for the role of failover
// coordinator once a primary does not respond, or -1.
func coordinatorRequest(hosts map[string]roleHost, holder string) timekeeper.Millis {
	e, start := newRoleElector(hosts)
	if holder != "" {
		e.ApplyChanges(start, []elector.Row{{Key: "duty", Version: 11, Value: []byte(`{"holder":"` + holder + `","fence":3}`)}}, elector.Revision{Version: 11})
	}
	commands := e.SetServers(start, []cataloger.Server{{ID: "s0", Group: "g", Primary: true}, {ID: "s1", Group: "g"}})
	for now := start; now < start+1500; now += 50 {
		for _, command := range append(commands, e.Tick(now)...) {
			if write, ok := command.(elector.Write); ok && write.Tx.Set[0].Key == "duty" {
				return now - start
			}
		}
	}
	return -1
}

// TestCoordinatorByCapacity guards against a small or overloaded host that becomes the
// failover coordinator first, against a role that moves from a live holder, and against
// a changed choice where capacities are equal.
func TestCoordinatorByCapacity(t *testing.T) {
	tests := map[string]struct {
		hosts  map[string]roleHost
		holder string
		want   timekeeper.Millis
	}{
		"equal":                          {map[string]roleHost{"d0": {capacity: 5}, "d1": {capacity: 5}}, "", 0},
		"none registered":                {map[string]roleHost{"d0": {}, "d1": {}}, "", 0},
		"the most capable":               {map[string]roleHost{"d0": {capacity: 5}, "d1": {capacity: 50}}, "", 0},
		"nearly as capable":              {map[string]roleHost{"d0": {capacity: 50}, "d1": {capacity: 30}}, "", 0},
		"a small host":                   {map[string]roleHost{"d0": {capacity: 50}, "d1": {capacity: 5}}, "", 250},
		"a host that sheds":              {map[string]roleHost{"d0": {capacity: 50}, "d1": {capacity: 50, shedding: true}}, "", 500},
		"a small holder is live":         {map[string]roleHost{"d0": {capacity: 5}, "d1": {capacity: 50}}, "d0", -1},
		"the holder sheds":               {map[string]roleHost{"d0": {capacity: 5, shedding: true}, "d1": {capacity: 50}}, "d0", 0},
		"the holder sheds and so do all": {map[string]roleHost{"d0": {capacity: 5, shedding: true}, "d1": {capacity: 5, shedding: true}}, "d0", -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := coordinatorRequest(test.hosts, test.holder); got != test.want {
				t.Errorf("asked after %d ms, want %d", got, test.want)
			}
		})
	}
}
