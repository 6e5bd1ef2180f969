package elector_test

import (
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

var self = elector.Host{Name: "d0", Domain: "a", Incarnation: 7, Address: "10.0.0.1:1"}

// started returns an elector that has read rows, among them its registration.
func started(now timekeeper.Millis, rows ...elector.Row) *elector.Elector {
	e := elector.New(elector.DefaultSettings(self), elector.Deps{PrimaryHealth: func(string, string) elector.PrimaryHealth {
		return elector.PrimaryHealth{LastResponse: now, Quiesced: true}
	}})
	e.SetServers(now, []cataloger.Server{{ID: "s0", Group: "g", Primary: true}, {ID: "s1", Group: "g"}})
	rows = append(rows, elector.Row{Key: "host/d0", Version: 2, Value: []byte(`{"name":"d0","domain":"a","incarnation":7,"address":"10.0.0.1:1"}`)})
	e.SetRows(now, now, rows, 10)
	return e
}

func TestLease(t *testing.T) {
	tests := map[string]struct {
		rows []elector.Row
		lead elector.PrimaryLease
	}{
		"no reign: the server that says so leads": {nil, elector.PrimaryLease{Server: "s0", ValidUntil: 15_000}},
		"a reign": {
			[]elector.Row{{Key: "reign/g", Version: 3, Value: []byte(`{"term":4,"primary":"s1","number":1}`)}},
			elector.PrimaryLease{Server: "s1", Term: 4, ValidUntil: 15_000},
		},
		"a row of another writer is passed over": {
			[]elector.Row{{Key: "reign/g", Version: 3, Value: []byte("\x00")}, {Key: "host/x", Version: 3, Value: []byte("[]")}, {Key: "duty", Version: 3, Value: []byte("7")}},
			elector.PrimaryLease{Server: "s0", ValidUntil: 15_000},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := started(1000, test.rows...).PrimaryLeases(1000)["g"]
			if got.Server != test.lead.Server || got.Term != test.lead.Term || got.ValidUntil != test.lead.ValidUntil || got.Paused {
				t.Errorf("got %+v, want %+v", got, test.lead)
			}
		})
	}
}

// TestNoLeaseWithoutRegistration is about a daemon that others can't count on: it
// must not use a primary.
func TestNoLeaseWithoutRegistration(t *testing.T) {
	tests := map[string]string{
		"an earlier run's registration": `{"name":"d0","domain":"a","incarnation":6,"address":"10.0.0.1:1"}`,
		"marked as lost":                `{"name":"d0","domain":"a","incarnation":7,"address":"10.0.0.1:1","retired":true}`,
	}
	for name, value := range tests {
		t.Run(name, func(t *testing.T) {
			e := started(1000)
			e.SetRows(2000, 2000, []elector.Row{{Key: "host/d0", Version: 11, Value: []byte(value)}}, 11)
			if got := e.PrimaryLeases(2000)["g"]; got.ValidUntil != 0 {
				t.Errorf("may use the primary until %d", got.ValidUntil)
			}
		})
	}
}

func TestReleaseEndsTheRight(t *testing.T) {
	e := started(1000)
	commands := e.ApplyChanges(2000, []elector.Row{{Key: "reign/g", Version: 12, Value: []byte(`{"term":1,"primary":"s0","number":1,"change":"handover"}`)}}, 12)
	if got := e.PrimaryLeases(2000)["g"]; !got.Paused || got.ValidUntil != 0 {
		t.Errorf("got %+v, want no right after the release", got)
	}
	var acked bool
	for _, command := range commands {
		if write, ok := command.(elector.Write); ok && write.Tx.Set[0].Key == "ack/g/d0" {
			acked = true
		}
	}
	if !acked {
		t.Errorf("got %+v, want an answer among the commands", commands)
	}
	e.SetRows(2100, 2050, nil, 11)
	if got := e.PrimaryLeases(2100)["g"]; !got.Paused {
		t.Error("an older reading ended the change")
	}
}

func TestReader(t *testing.T) {
	e := started(1000,
		elector.Row{Key: "host/b9", Version: 3, Value: []byte(`{"name":"b9","domain":"b","incarnation":1,"address":"10.0.1.9:1"}`)},
		elector.Row{Key: "host/c1", Version: 3, Value: []byte(`{"name":"c1","domain":"a","incarnation":1,"address":"10.0.0.9:1"}`)})
	e.SetHeartbeats(1000, map[string]elector.Heartbeat{"b9": {Count: 1}, "c1": {Count: 1}})
	if got := e.DomainReaderAddress(1500); got != "" {
		t.Errorf("reader %q before its sign of life was seen to change, want this daemon", got)
	}
	e.SetHeartbeats(2000, map[string]elector.Heartbeat{"b9": {Count: 2}, "c1": {Count: 2}})
	if got := e.DomainReaderAddress(2000); got != "10.0.0.9:1" {
		t.Errorf("reader %q, want the live daemon of the same failure domain", got)
	}
	if got := e.DomainReaderAddress(20_000); got != "" {
		t.Errorf("reader %q after its signs of life ended, want this daemon", got)
	}
	if got := e.LiveHosts(2000); got != 3 {
		t.Errorf("%d hosts, want 3", got)
	}
}

// marked returns the registrations that commands mark as lost.
func marked(commands []elector.Command) []string {
	var out []string
	for _, command := range commands {
		write, ok := command.(elector.Write)
		if !ok {
			continue
		}
		for _, row := range write.Tx.Set {
			if strings.Contains(string(row.Value), `"retired":true`) {
				out = append(out, row.Key)
			}
		}
	}
	return out
}

// TestMarksOfLostDaemons is about a daemon that could not read the store for a
// while: it knows nothing of the others' signs of life then.
func TestMarksOfLostDaemons(t *testing.T) {
	other := elector.Row{Key: "host/d1", Version: 3, Value: []byte(`{"name":"d1","domain":"a","incarnation":1,"address":"10.0.0.9:1"}`)}
	tests := map[string]struct {
		// beats are when the signs of life are read, and what d1's counts then.
		beats  map[timekeeper.Millis]int64
		marked bool
	}{
		"no sign of life, though the others' are read":   {beats: map[timekeeper.Millis]int64{1000: 1, 4000: 1, 7000: 1, 10_000: 1}, marked: true},
		"the store is away, and back":                    {beats: map[timekeeper.Millis]int64{1000: 1, 10_500: 3}},
		"the store is away, and the others are not back": {beats: map[timekeeper.Millis]int64{1000: 1, 10_500: 1}},
		"all is well": {beats: map[timekeeper.Millis]int64{1000: 1, 4000: 2, 7000: 3, 10_000: 4}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := started(1000, other)
			var got []string
			for now := timekeeper.Millis(1000); now <= 11_000; now += 100 {
				got = append(got, marked(e.Tick(now))...)
				if count, read := test.beats[now]; read {
					e.SetHeartbeats(now, map[string]elector.Heartbeat{"d1": {Incarnation: 1, Count: count}})
				}
			}
			if len(got) > 0 != test.marked {
				t.Errorf("marked %v, want a mark: %v", got, test.marked)
			}
		})
	}
}

// TestHostsWhileTheStoreIsAway is about the servers' connections, which the
// daemons share by their number: one that can't read the signs of life must not
// take the share of those that reach the same servers.
func TestHostsWhileTheStoreIsAway(t *testing.T) {
	e := started(1000,
		elector.Row{Key: "host/d1", Version: 3, Value: []byte(`{"name":"d1","domain":"a","incarnation":1,"address":"10.0.0.9:1"}`)},
		elector.Row{Key: "host/d2", Version: 3, Value: []byte(`{"name":"d2","domain":"b","incarnation":1,"address":"10.0.1.9:1"}`)})
	e.SetHeartbeats(1000, map[string]elector.Heartbeat{"d1": {Count: 1}, "d2": {Count: 1}})
	if got := e.LiveHosts(2000); got != 3 {
		t.Errorf("%d hosts, want 3", got)
	}
	if got := e.LiveHosts(12_000); got != 2 {
		t.Errorf("%d hosts while nothing can be read, want the 2 of the failure domain", got)
	}
	for now := timekeeper.Millis(12_000); now <= 21_000; now += 3000 {
		e.SetHeartbeats(now, map[string]elector.Heartbeat{"d1": {Count: 1}, "d2": {Count: 1}})
	}
	if got := e.LiveHosts(21_000); got != 1 {
		t.Errorf("%d hosts after the other's signs of life ended, want 1", got)
	}
}
