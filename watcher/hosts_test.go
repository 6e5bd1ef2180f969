package watcher_test

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// network simulates a network between hosts in virtual time.
type network struct {
	now   timekeeper.Millis
	rand  *rand.Rand
	hosts map[string]*watcher.Membership
	names []string
	dead  map[string]bool
	// partitioned reports whether messages from a to b are lost.
	partitioned func(a, b string) bool
	sent        int
}

func member(name string, incarnation int64) watcher.Member {
	return watcher.Member{Name: name, Address: name, Domain: "d", State: watcher.StateLive, Incarnation: incarnation}
}

func newNetwork(count int) *network {
	n := &network{
		now: 1000, rand: rand.New(rand.NewSource(1)), hosts: map[string]*watcher.Membership{},
		dead: map[string]bool{}, partitioned: func(string, string) bool { return false },
	}
	var peers []watcher.Member
	for i := range count {
		peers = append(peers, member(fmt.Sprintf("h%03d", i), 1))
	}
	for _, m := range peers {
		n.names = append(n.names, m.Name)
		n.hosts[m.Name] = watcher.New(watcher.DefaultSettings(), m, peers, nil)
	}
	return n
}

// run ticks all running hosts for d of virtual time. Messages arrive at once.
func (n *network) run(d timekeeper.Millis) {
	for end := n.now + d; n.now < end; n.now += 10 {
		for _, name := range n.names {
			if !n.dead[name] {
				n.send(name, n.hosts[name].Tick(n.now))
			}
		}
	}
}

func (n *network) send(from string, messages []watcher.Envelope) {
	for _, m := range messages {
		n.sent++
		to := m.To.Name
		if n.dead[to] || n.partitioned(from, to) {
			continue
		}
		n.send(to, n.hosts[to].HandleMessage(n.now, m.Message))
	}
}

// agree reports whether the host about is in the given state in the list of
// every other running host.
func (n *network) agree(about string, state watcher.State) bool {
	for _, name := range n.names {
		if n.dead[name] || name == about {
			continue
		}
		if m, found := n.hosts[name].Member(about); !found || m.State != state {
			return false
		}
	}
	return true
}

func TestFailureDetection(t *testing.T) {
	n := newNetwork(5)
	n.run(2000)
	home := n.hosts["h000"].Home("db")
	n.dead[home] = true
	n.run(2000)
	if !n.agree(home, watcher.StateDead) {
		t.Fatalf("%s is not dead on all hosts after 2 s", home)
	}
	homes := map[string]bool{}
	for _, name := range n.names {
		if name != home {
			homes[n.hosts[name].Home("db")] = true
		}
	}
	if len(homes) != 1 || homes[home] {
		t.Errorf("homes after the death of %s: %v, want one other", home, homes)
	}
}

// TestReplacedUnderSameName guards against a dead host that stays dead although
// it was restarted with a higher incarnation and knows only one peer.
func TestReplacedUnderSameName(t *testing.T) {
	n := newNetwork(5)
	n.dead["h001"] = true
	n.run(3000)
	n.dead["h001"] = false
	n.hosts["h001"] = watcher.New(watcher.DefaultSettings(), member("h001", 2), []watcher.Member{member("h000", 1)}, nil)
	n.run(3000)
	if !n.agree("h001", watcher.StateLive) {
		t.Error("the replaced host is not live on all hosts")
	}
	if got := len(n.hosts["h001"].Members()); got != 5 {
		t.Errorf("the replaced host, started with one peer, knows %d hosts, want 5", got)
	}
}

// TestOnePartitionedLink guards against a false positive: two hosts can't reach
// each other, but indirect probes show that both are live.
func TestOnePartitionedLink(t *testing.T) {
	n := newNetwork(5)
	n.partitioned = func(a, b string) bool { return a == "h000" && b == "h001" || a == "h001" && b == "h000" }
	for range 100 {
		n.run(100)
		for _, about := range n.names {
			for _, name := range n.names {
				if m, _ := n.hosts[name].Member(about); m.State == watcher.StateDead {
					t.Fatalf("%s counts %s as dead at %d ms, want it live or suspect", name, about, n.now)
				}
			}
		}
	}
}

func TestPartitionAndRecovery(t *testing.T) {
	n := newNetwork(6)
	side := func(name string) bool { return name < "h002" }
	n.partitioned = func(a, b string) bool { return side(a) != side(b) }
	n.run(5000)
	if a, b := n.hosts["h000"].Home("db"), n.hosts["h003"].Home("db"); side(a) != side("h000") || side(b) != side("h003") {
		t.Errorf("homes during the partition: %s and %s, want one on each side", a, b)
	}
	n.partitioned = func(string, string) bool { return false }
	n.run(8000)
	for _, name := range n.names {
		if !n.agree(name, watcher.StateLive) {
			t.Errorf("%s is not live on all hosts after the partition", name)
		}
	}
}

// TestLeavingTakesPrecedence guards against a leaving host that becomes live
// again in the list, or a home, because others still receive its probes and
// acks.
func TestLeavingTakesPrecedence(t *testing.T) {
	n := newNetwork(4)
	n.send("h002", n.hosts["h002"].Leave(n.now))
	n.run(1000)
	if !n.agree("h002", watcher.StateLeaving) {
		t.Fatal("the leaving host is not in state leaving on all hosts")
	}
	for _, db := range []string{"a", "b", "c", "d", "e", "f"} {
		if n.hosts["h000"].Home(db) == "h002" {
			t.Errorf("the leaving host is the home of %s", db)
		}
	}
}

// TestManyHosts checks that the update of a dead host reaches 300 hosts within
// the 4 s that a change of the list may take.
func TestManyHosts(t *testing.T) {
	n := newNetwork(300)
	n.run(500)
	n.dead["h007"] = true
	start := n.now
	for !n.agree("h007", watcher.StateDead) && n.now < start+4000 {
		n.run(50)
	}
	if !n.agree("h007", watcher.StateDead) {
		t.Error("the dead host is not dead on all of 300 hosts after 4 s")
	}
	t.Logf("dead on all hosts after %d ms", n.now-start)
}
