package elector_test

import (
	"encoding/json"
	"testing"

	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// newCapableElector returns an Elector whose daemon has a capacity.
func newCapableElector(capacity int64) *elector.Elector {
	host := self
	host.Capacity = capacity
	return elector.New(elector.DefaultSettings(host), elector.Deps{PrimaryHealth: func(string, string) elector.PrimaryHealth {
		return elector.PrimaryHealth{}
	}})
}

// registrations returns the writes of this daemon's registration.
func registrations(commands []elector.Command) []elector.Write {
	var out []elector.Write
	for _, command := range commands {
		if write, ok := command.(elector.Write); ok && len(write.Tx.Set) == 1 && write.Tx.Set[0].Key == "host/d0" {
			out = append(out, write)
		}
	}
	return out
}

// TestCapacityIsRegisteredOnce guards against a daemon that writes its registration
// again and again because the row that it reads differs from what it wrote, and against
// one that does not register again after an older daemon rewrote the row without the
// capacity, which it only does to revoke it.
func TestCapacityIsRegisteredOnce(t *testing.T) {
	e := newCapableElector(4666)
	now, version := timekeeper.Millis(1000), int64(10)
	read := func(row elector.Row) []elector.Write {
		version++
		row.Version, now = version, now+1000
		out := registrations(e.SetRows(now, now, []elector.Row{row}, elector.Revision{Version: version}))
		return append(out, registrations(e.Tick(now+500))...)
	}
	writes := registrations(e.SetRows(now, now, nil, elector.Revision{Version: version}))
	if len(writes) != 1 {
		t.Fatalf("got %d registrations at the start, want 1", len(writes))
	}
	e.WriteFinished(now, writes[0].ID, elector.Applied, elector.Revision{Version: version + 1})
	row := writes[0].Tx.Set[0]
	for range 3 {
		if got := read(row); len(got) > 0 {
			t.Fatalf("registered again although the store has %s", row.Value)
		}
	}
	var older map[string]any
	if err := json.Unmarshal(row.Value, &older); err != nil {
		t.Fatal(err)
	}
	delete(older, "capacity")
	older["retired"] = true
	value, err := json.Marshal(older)
	if err != nil {
		t.Fatal(err)
	}
	writes = read(elector.Row{Key: row.Key, Value: value})
	if len(writes) != 1 || string(writes[0].Tx.Set[0].Value) != string(row.Value) {
		t.Errorf("got %+v after the registration was revoked, want it written again", writes)
	}
}
