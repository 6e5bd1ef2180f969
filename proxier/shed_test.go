package proxier

import (
	"net"
	"testing"

	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// overload lets a daemon find its timer late for long enough to shed its roles.
func (d *storeDaemon) overload() {
	d.Proxy.mu.Lock()
	defer d.Proxy.mu.Unlock()
	for range 1000 {
		d.shedder.ObserveTimer(10, 200)
	}
	now := d.clock.Now()
	d.shedder.Update(now-10_000, 0, 1)
	d.shedder.Update(now, 0, 1)
}

// carriers returns the names of the daemons in the order in which they carry a group.
func (d *storeDaemon) carriers() []string {
	d.Proxy.mu.Lock()
	defer d.Proxy.mu.Unlock()
	var out []string
	for _, h := range d.placement(d.clock.Now()).Order("g") {
		out = append(out, h.Name)
	}
	return out
}

// TestSheddingReachesOthers guards against an overloaded daemon that stays a carrier or
// the domain reader, because its heartbeats or those that the domain reader writes for it
// do not say that it sheds its roles.
func TestSheddingReachesOthers(t *testing.T) {
	const domainReader, covered = 2, 0
	for name, overloaded := range map[string]int{"the domain reader": domainReader, "a daemon whose heartbeats the domain reader writes": covered} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newMemoryStore()
			store.setCatalog(1)
			var daemons []*storeDaemon
			for i, capacity := range []int64{50, 50, 500} {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				host := elector.Host{Name: []string{"d0", "d1", "d2"}[i], Domain: "a", Incarnation: 1, Address: listener.Addr().String(), Capacity: capacity}
				daemons = append(daemons, startHostDaemon(t, host, listener, store))
			}
			address := func(i int) string { return daemons[i].settings.Host.Address }
			waitFor(t, "the most capable daemon reads the store for the others", func() bool {
				return daemons[0].domainReader() == address(2) && daemons[1].domainReader() == address(2) && daemons[2].domainReader() == "" && len(daemons[0].carriers()) == 3
			})
			daemons[overloaded].overload()
			waitFor(t, "the overloaded daemon is the last carrier for all", func() bool {
				for _, d := range daemons {
					if order := d.carriers(); len(order) != 3 || order[2] != daemons[overloaded].settings.Host.Name {
						return false
					}
				}
				return true
			})
			next := map[int]int{domainReader: 0, covered: domainReader}[overloaded]
			waitFor(t, "all daemons know the domain reader", func() bool {
				for i, d := range daemons {
					want := address(next)
					if i == next {
						want = ""
					}
					if d.domainReader() != want {
						return false
					}
				}
				return true
			})
		})
	}
}

// TestEqualHostsKeepTheirRoles guards against roles that move between equal hosts, which
// are to behave as if they had registered no capacity.
func TestEqualHostsKeepTheirRoles(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	host := elector.Host{Name: "d0", Domain: "a", Incarnation: 1, Address: listener.Addr().String(), Capacity: 50}
	d := startHostDaemon(t, host, listener, newMemoryStore())
	waitFor(t, "the daemon is registered", func() bool { return len(d.carriers()) == 1 })
	d.overload()
	waitFor(t, "the daemon does not shed its roles", func() bool { return !d.ownHeartbeat(d.clock.Now()).Shedding })
}

// TestMedianDelay guards against a host that sheds its roles because few other hosts have
// slow links.
func TestMedianDelay(t *testing.T) {
	tests := map[string]struct {
		delays map[string]timekeeper.Millis
		want   timekeeper.Millis
	}{
		"none":           {nil, 0},
		"too few":        {map[string]timekeeper.Millis{"a": 200, "b": 200}, 0},
		"one slow host":  {map[string]timekeeper.Millis{"a": 200, "b": 1, "c": 2}, 2},
		"all are slow":   {map[string]timekeeper.Millis{"a": 200, "b": 150, "c": 160}, 160},
		"most are quick": {map[string]timekeeper.Millis{"a": 200, "b": 1, "c": 1, "d": 300, "e": 3}, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := medianDelay(test.delays); got != test.want {
				t.Errorf("got %d ms, want %d", got, test.want)
			}
		})
	}
}

// TestLinkDelaysForgetClosedConnections guards against a descriptor and memory for each
// connection that another daemon has closed, and against a measurement that fails.
func TestLinkDelaysForgetClosedConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inner.Close() }()
	var delays linkDelays
	listener := measuredListener{inner, &delays}
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if delay, found := accepted.(*measuredConn).roundTrip(); !found || delay > 100 {
		t.Errorf("round-trip time: got %d ms, %v", delay, found)
	}
	if got := delays.median(); got != 0 {
		t.Errorf("median over one host: got %d, want 0", got)
	}
	if err := accepted.Close(); err != nil {
		t.Fatal(err)
	}
	if len(delays.conns) != 0 {
		t.Errorf("%d connections are known after the only one was closed", len(delays.conns))
	}
}
