package multiplexer

import (
	"fmt"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// newBalanced returns a harness of a daemon in a failure domain, with balancing on
// and a steady stream of primary reads, which keep the floor of other reads known.
func newBalanced(t *testing.T, service timekeeper.Millis, domain string) *harness {
	settings := DefaultSettings(domain)
	settings.Balance = BalanceOn
	h := newHarnessWith(t, service, settings)
	for _, s := range h.servers {
		s.slots = make([]timekeeper.Millis, 4)
	}
	h.stream("urgent", aRead, 50, 60_000, &counts{})
	h.run(500)
	return h
}

// registerSlots registers the first servers anew with a number of slots, and the
// others no more.
func (h *harness) registerSlots(slots, servers int) {
	var list []cataloger.Server
	for i, domain := range []string{"a", "b", "c"}[:servers] {
		id := fmt.Sprintf("s%d", i)
		list = append(list, cataloger.Server{ID: id, Group: testGroup, Address: id, Domain: domain, Slots: slots, Primary: i == 0})
	}
	h.execute(h.m.SetServers(h.Now(), list))
}

// ranIn runs the harness and returns how many statements each server ran.
func (h *harness) ranIn(length timekeeper.Millis) map[string]int {
	before := map[string]int{}
	for id, s := range h.servers {
		before[id] = s.ran
	}
	h.run(length)
	out := map[string]int{}
	for id, s := range h.servers {
		out[id] = s.ran - before[id]
	}
	return out
}

// TestCalmReadsStay guards against reads that leave the domain although its own
// replica can serve them, or the primary where the domain has no replica.
func TestCalmReadsStay(t *testing.T) {
	for name, test := range map[string]struct {
		domain, own string
		slower      timekeeper.Millis
	}{
		"own replica":                {"b", "s1", 0},
		"own replica is 4 ms slower": {"b", "s1", 4},
		"own primary":                {"a", "s0", 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newBalanced(t, 8, test.domain)
			h.servers[test.own].service += test.slower
			var reads counts
			h.stream("standard", aRead, 10, 5000, &reads)
			ran := h.ranIn(5500)
			for id, n := range ran {
				if id != test.own && id != "s0" && n > 0 {
					t.Errorf("%s ran %d reads, want none outside the domain: %v", id, n, ran)
				}
			}
			if reads.served != 500 || ran[test.own] < 500 {
				t.Errorf("reads: %+v, servers ran %v, want all 500 served by %s", reads, ran, test.own)
			}
		})
	}
}

// TestOverloadedDomain guards against reads that wait for the domain's own replica
// while a server of another domain has room, and that stay abroad after the
// overload.
func TestOverloadedDomain(t *testing.T) {
	for name, test := range map[string]struct {
		servers int
		relief  string
	}{
		"a replica has room":   {3, "s2"},
		"the primary has room": {2, "s0"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newBalanced(t, 16, "b")
			h.registerSlots(4, test.servers)
			hosts := []placer.Host{{Name: "x", Domain: "b"}, {Name: "y", Domain: "c"}, {Name: "z", Domain: "a"}}
			h.execute(h.m.SetPlacement(h.Now(), placer.New(hosts[0], hosts)))
			h.asked = func(c AskLoad) {
				asked := h.Now()
				h.After(2, func() {
					h.m.LoadReported(asked, c, LoadReport{Waits: make([]timekeeper.Millis, scheduler.NumRanks), Requesters: 1})
				})
			}
			var reads, calm counts
			h.stream("standard", aRead, 4, 10_000, &reads)
			h.run(4000)
			ran := h.ranIn(6000)
			if ran[test.relief] < 300 || ran["s1"] < ran[test.relief] {
				t.Errorf("servers ran %v in 6 s, want 300 or more on %s, and most on s1", ran, test.relief)
			}
			h.run(1000)
			if reads.served < 2400 {
				t.Errorf("reads: %+v, want 2400 of 2500 served", reads)
			}
			h.run(5000)
			before := h.ranIn(2000)[test.relief]
			h.stream("standard", aRead, 20, 4000, &calm)
			if ran := h.ranIn(4000); ran[test.relief] > 2*before || calm.served < 199 {
				t.Errorf("after the overload: %+v, servers ran %v, want none of the reads on %s", calm, ran, test.relief)
			}
		})
	}
}

// TestBalanceSwitch guards against balancing that is on without accounts and with
// equal hosts, or off where they ask for it or the setting forces it.
func TestBalanceSwitch(t *testing.T) {
	for name, test := range map[string]struct {
		setting          Balance
		accounts, uneven bool
		want             bool
	}{
		"equal hosts, no accounts": {BalanceAuto, false, false, false},
		"accounts":                 {BalanceAuto, true, false, false},
		"hosts that differ":        {BalanceAuto, false, true, true},
		"forced on":                {BalanceOn, false, false, true},
		"forced off":               {BalanceOff, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			settings := DefaultSettings("a")
			settings.Balance = test.setting
			h := newHarnessWith(t, 8, settings)
			if test.accounts {
				catalog := cataloger.New(2, nil, []cataloger.Group{{Name: testGroup, ConnectionLimit: 16}})
				h.execute(h.m.SetCatalog(h.Now(), catalog.WithAccounts([]cataloger.Account{{Name: "x"}})))
			}
			h.execute(h.m.SetPlacement(h.Now(), placement(1).WithUneven(test.uneven)))
			h.run(50)
			if got := h.m.groups[testGroup].balance != nil; got != test.want {
				t.Errorf("balancing is %v, want %v", got, test.want)
			}
		})
	}
}

// TestLateWorkGivesWay guards against statements that meet their latency objective
// no more but run before others of their rank that still can. Without precedence,
// all are late once the queue is longer than the objective.
func TestLateWorkGivesWay(t *testing.T) {
	h := newBalanced(t, 16, "a")
	h.servers["s1"].down, h.servers["s2"].down = true, true
	h.execute(h.m.SetCatalog(h.Now(), cataloger.New(2, []cataloger.Database{
		{Name: "urgent", Group: testGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 2000, LatencyObjective: 200},
	}, []cataloger.Group{{Name: testGroup, ConnectionLimit: 16}})))
	inTime, total := 0, 0
	for at := timekeeper.Millis(0); at < 8000; at += 3 {
		h.After(at, func() {
			total++
			h.runStatement("urgent", string(rune('a'+total%20)), aRead, func(a Answer, took timekeeper.Millis) {
				if a.Code == CodeOK && took <= 200 {
					inTime++
				}
			})
		})
	}
	h.run(11_000)
	if inTime < total/2 {
		t.Errorf("%d of %d statements met the objective, want half: the server can run three quarters", inTime, total)
	}
	if g := h.m.groups[testGroup]; len(g.waiting) > 0 || g.balance.lateCount() > 0 {
		t.Errorf("%d statements are left, %d of them late, want none", len(g.waiting), g.balance.lateCount())
	}
}

// TestLoadReport guards against reports that are not those of the group's queue,
// and against invalid ones.
func TestLoadReport(t *testing.T) {
	h := newBalanced(t, 100, "b")
	h.stream("standard", aRead, 2, 1000, &counts{})
	h.run(900)
	report := h.m.LoadReport(h.Now(), testGroup, "a")
	if err := report.Validate(); err != nil || report.Waits[scheduler.RankStandard] < 20 || report.Waits[scheduler.RankUrgent] != 0 || report.Requesters != 1 {
		t.Errorf("report %+v, %v; want a wait of 20 ms or more of standard work alone, and 1 requester", report, err)
	}
	for name, report := range map[string]LoadReport{
		"too few ranks": {Waits: []timekeeper.Millis{1}},
		"negative":      {Waits: []timekeeper.Millis{0, -1, 0}},
		"too many":      {Requesters: maxRequesters + 1},
		"too long":      {Waits: []timekeeper.Millis{0, maxForwardedTime + 1, 0}},
	} {
		if report.Validate() == nil {
			t.Errorf("%s: the report is valid, want an error", name)
		}
	}
	if report := h.m.LoadReport(h.Now(), "unknown", "a"); len(report.Waits) != 0 {
		t.Errorf("report %+v of an unknown group, want an empty one", report)
	}
}

// TestAsksNeighbours guards against questions in calm times, and against none, or
// too many, under overload.
func TestAsksNeighbours(t *testing.T) {
	h := newBalanced(t, 16, "b")
	hosts := []placer.Host{{Name: "x", Domain: "b"}, {Name: "y", Domain: "c"}, {Name: "z", Domain: "a"}}
	h.execute(h.m.SetPlacement(h.Now(), placer.New(hosts[0], hosts)))
	asked := map[string]int{}
	h.asked = func(c AskLoad) { asked[c.Host.Name]++ }
	h.stream("standard", aRead, 20, 3000, &counts{})
	h.run(3000)
	if len(asked) > 0 {
		t.Errorf("asked %v in calm, want none", asked)
	}
	h.stream("standard", aRead, 2, 3000, &counts{})
	h.run(3000)
	if asked["y"] < 2 || asked["y"] > 6 || asked["z"] < 2 || asked["z"] > 6 || asked["x"] > 0 {
		t.Errorf("asked %v in 3 s of overload, want y and z 2 to 6 times each", asked)
	}
}

// TestLateWorkWhenSwitchedOff guards against late statements that are forgotten when
// their client leaves or balancing ends.
func TestLateWorkWhenSwitchedOff(t *testing.T) {
	h := newBalanced(t, 100, "a")
	h.execute(h.m.SetCatalog(h.Now(), cataloger.New(2, []cataloger.Database{
		{Name: "urgent", Group: testGroup, Consistency: cataloger.ConsistencyPrimary, Timeout: 4000, LatencyObjective: 300},
	}, []cataloger.Group{{Name: testGroup, ConnectionLimit: 16}})))
	var results counts
	h.stream("urgent", aRead, 10, 1500, &results)
	h.run(1500)
	g := h.m.groups[testGroup]
	late := g.balance.lateCount()
	if late == 0 {
		t.Fatal("no statement is late under overload")
	}
	h.execute(h.m.Disconnect(h.Now(), g.balance.late[0].session.id))
	if got := g.balance.lateCount(); got != late-1 {
		t.Errorf("%d statements are late after a client has left, want %d", got, late-1)
	}
	h.m.settings.Balance = BalanceOn
	h.run(6000)
	if len(g.waiting) > 0 || results.served+results.rejected != 149 {
		t.Errorf("%+v, %d wait; want 149 served or rejected: one client has left", results, len(g.waiting))
	}
}
