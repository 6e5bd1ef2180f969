package elector_test

import (
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

var self = elector.Host{Name: "d0", Domain: "a", Incarnation: 7, Address: "10.0.0.1:1"}

// started returns an elector that has read rows, among them its registration.
func started(now timekeeper.Millis, rows ...elector.Row) *elector.Elector {
	e := elector.New(elector.DefaultSettings(self), elector.Deps{Signs: func(string, string) elector.Signs {
		return elector.Signs{Heard: now, Settled: true}
	}})
	e.SetServers(now, []cataloger.Server{{ID: "s0", Group: "g", Primary: true}, {ID: "s1", Group: "g"}})
	rows = append(rows, elector.Row{Key: "host/d0", Version: 2, Value: []byte(`{"name":"d0","domain":"a","incarnation":7,"address":"10.0.0.1:1"}`)})
	e.SetRows(now, now, rows, 10)
	return e
}

func TestLease(t *testing.T) {
	tests := map[string]struct {
		rows []elector.Row
		lead elector.Lead
	}{
		"no reign: the server that says so leads": {nil, elector.Lead{Server: "s0", Until: 15_000}},
		"a reign": {
			[]elector.Row{{Key: "reign/g", Version: 3, Value: []byte(`{"term":4,"primary":"s1","number":1}`)}},
			elector.Lead{Server: "s1", Term: 4, Until: 15_000},
		},
		"a row of another writer is passed over": {
			[]elector.Row{{Key: "reign/g", Version: 3, Value: []byte("\x00")}, {Key: "host/x", Version: 3, Value: []byte("[]")}, {Key: "duty", Version: 3, Value: []byte("7")}},
			elector.Lead{Server: "s0", Until: 15_000},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := started(1000, test.rows...).Leads(1000)["g"]
			if got.Server != test.lead.Server || got.Term != test.lead.Term || got.Until != test.lead.Until || got.Held {
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
			if got := e.Leads(2000)["g"]; got.Until != 0 {
				t.Errorf("may use the primary until %d", got.Until)
			}
		})
	}
}

func TestReleaseEndsTheRight(t *testing.T) {
	e := started(1000)
	commands := e.ChangeRows(2000, []elector.Row{{Key: "reign/g", Version: 12, Value: []byte(`{"term":1,"primary":"s0","number":1,"change":"handover"}`)}}, 12)
	if got := e.Leads(2000)["g"]; !got.Held || got.Until != 0 {
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
	if got := e.Leads(2100)["g"]; !got.Held {
		t.Error("an older reading ended the change")
	}
}

func TestReader(t *testing.T) {
	e := started(1000,
		elector.Row{Key: "host/b9", Version: 3, Value: []byte(`{"name":"b9","domain":"b","incarnation":1,"address":"10.0.1.9:1"}`)},
		elector.Row{Key: "host/c1", Version: 3, Value: []byte(`{"name":"c1","domain":"a","incarnation":1,"address":"10.0.0.9:1"}`)})
	e.SetBeats(1000, map[string]elector.Beat{"b9": {Count: 1}, "c1": {Count: 1}})
	if got := e.Reader(2000); got != "10.0.0.9:1" {
		t.Errorf("reader %q, want the live daemon of the same failure domain", got)
	}
	if got := e.Reader(20_000); got != "" {
		t.Errorf("reader %q after its signs of life ended, want this daemon", got)
	}
	if got := e.Hosts(2000); got != 3 {
		t.Errorf("%d hosts, want 3", got)
	}
}
