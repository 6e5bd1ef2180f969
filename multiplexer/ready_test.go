package multiplexer

import (
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// TestReadyWithTheFirstLease guards against a daemon that takes clients before it may use
// a primary, so that their first writes are rejected.
func TestReadyWithTheFirstLease(t *testing.T) {
	const now timekeeper.Millis = 1000
	m := New(DefaultSettings("a"), Deps{})
	m.SetCatalog(now, cataloger.New(1, []cataloger.Database{{Name: "d", Group: testGroup, Timeout: 800}}, []cataloger.Group{{Name: testGroup, ConnectionLimit: 16}}))
	m.SetServers(now, []cataloger.Server{{ID: "s0", Group: testGroup, Address: "s0", Domain: "a", Slots: 2, Primary: true}})
	m.SetPrimaryLease(now, testGroup, elector.PrimaryLease{Server: "s0"})
	if m.Ready() {
		t.Error("ready without a primary lease, want not ready")
	}
	m.SetPrimaryLease(now, testGroup, elector.PrimaryLease{Server: "s0", ValidUntil: now + 1000})
	if !m.Ready() {
		t.Error("not ready with a primary lease, want ready")
	}
	m.SetPrimaryLease(now, testGroup, elector.PrimaryLease{Server: "s0"})
	if !m.Ready() {
		t.Error("not ready once the lease has expired, want ready: reads may be served, and all daemons may be in the same state")
	}
}
