package placer_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherhall/heatherhall/placer"
)

var (
	small = placer.Resources{Cores: 0.134, LinkMbps: 10, MemoryMB: 136, MaxFDs: 3010}.Capacity()
	large = placer.Resources{Cores: 0.8, LinkMbps: 200, MemoryMB: 536, MaxFDs: 11_180}.Capacity()
)

// mixedFleet returns 133 hosts in three failure domains, of which one in ten is large.
func mixedFleet() []placer.Host {
	out := make([]placer.Host, 133)
	for i := range out {
		out[i] = placer.Host{Name: fmt.Sprintf("h%04d", i), Domain: fmt.Sprintf("d%d", i%3), Capacity: small}
		if i%10 == 0 {
			out[i].Capacity = large
		}
	}
	return out
}

// withCapacity returns the hosts with the capacity set for each index.
func withCapacity(hosts []placer.Host, capacity func(i int) int64) []placer.Host {
	out := slices.Clone(hosts)
	for i := range out {
		out[i].Capacity = capacity(i)
	}
	return out
}

func names(hosts []placer.Host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

// TestCapacity guards against hosts that are weighed by a resource that does not limit
// them, and against a host that counts as equal because a figure is missing.
func TestCapacity(t *testing.T) {
	if small*10 > large || small < 100 {
		t.Errorf("capacities of small and large hosts: got %d and %d, want at least 100 and ten times as much", small, large)
	}
	tests := map[string]struct {
		resources placer.Resources
		low, high int64
	}{
		"no processor":       {placer.Resources{LinkMbps: 10, MemoryMB: 136, MaxFDs: 3010}, 0, 0},
		"processor only":     {placer.Resources{Cores: 0.8}, large, large},
		"slow link":          {placer.Resources{Cores: 0.8, LinkMbps: 1}, 1, small},
		"little memory":      {placer.Resources{Cores: 0.8, MemoryMB: 70}, 1, small},
		"no memory to spare": {placer.Resources{Cores: 0.8, MemoryMB: 20}, 1, 1},
		"few descriptors":    {placer.Resources{Cores: 0.8, MaxFDs: 500}, 1, small},
		"tiny":               {placer.Resources{Cores: 0.01}, 1, small},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.resources.Capacity(); got < test.low || got > test.high {
				t.Errorf("got %d, want %d to %d", got, test.low, test.high)
			}
		})
	}
}

// TestOrderWithoutDifferences guards against work that moves on an update to daemons
// that register capacities: where they are equal, or one is missing, the order is that
// of the hashes.
func TestOrderWithoutDifferences(t *testing.T) {
	hosts := mixedFleet()
	tests := map[string]func(i int) int64{
		"none registered": func(int) int64 { return 0 },
		"all equal":       func(int) int64 { return large },
		"one missing in each domain": func(i int) int64 {
			if i < 3 {
				return 0
			}
			return hosts[i].Capacity
		},
		"equal in each domain": func(i int) int64 { return int64(1 + i%3) },
	}
	for name, capacity := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := withCapacity(hosts, capacity)
			for g := range 20 {
				group := fmt.Sprintf("g%d", g)
				var want []string
				for _, h := range hosts {
					if h.Domain == "d0" {
						want = append(want, h.Name)
					}
				}
				slices.SortFunc(want, func(a, b string) int {
					if xxhash.Sum64String(a+"/"+group) > xxhash.Sum64String(b+"/"+group) {
						return -1
					}
					return 1
				})
				if got := names(placer.New(fleet[0], fleet).Order(group)); !slices.Equal(got, want) {
					t.Fatalf("%s: got %v, want %v", group, got, want)
				}
			}
		})
	}
}

// TestWeightedOrderIsFixed guards against an order that depends on the processor type
// or changes with a new version, so that daemons choose different carriers.
func TestWeightedOrderIsFixed(t *testing.T) {
	hosts := withCapacity(mixedFleet(), func(i int) int64 {
		if i%10 == 0 {
			return 4666
		}
		return 226
	})
	want := map[string][]string{
		"g0": {"h0090", "h0120", "h0030", "h0000", "h0060", "h0054"},
		"g1": {"h0000", "h0090", "h0120", "h0060", "h0054", "h0108"},
		"g2": {"h0006", "h0060", "h0018", "h0000", "h0030", "h0087"},
	}
	for group, first := range want {
		if got := names(placer.New(hosts[0], hosts).Order(group)[:len(first)]); !slices.Equal(got, first) {
			t.Errorf("%s: got %v, want %v", group, got, first)
		}
	}
}

// TestOrderFollowsLogarithms guards against an error of the integer logarithm: the order
// must be that of -ln(hash) / capacity as floating-point numbers, unless they are close.
func TestOrderFollowsLogarithms(t *testing.T) {
	hosts := mixedFleet()
	for g := range 200 {
		group, last := fmt.Sprintf("g%d", g), 0.0
		for _, h := range placer.New(hosts[0], hosts).Order(group) {
			hash := xxhash.Sum64String(h.Name + "/" + group)
			distance := -math.Log(float64(hash)/(1<<64)) / float64(h.Capacity)
			if distance < last*(1-1e-9) {
				t.Fatalf("%s: %s is at %g after %g", group, h.Name, distance, last)
			}
			last = distance
		}
	}
}

// carried counts for how many of a number of groups each host of a domain is one of
// the first n in order, as seen by one of the domain's hosts.
func carried(hosts []placer.Host, domain string, groups, n int) map[string]int {
	self := hosts[slices.IndexFunc(hosts, func(h placer.Host) bool { return h.Domain == domain })]
	p, out := placer.New(self, hosts), map[string]int{}
	for g := range groups {
		for _, h := range p.Order(fmt.Sprintf("g%d", g))[:n] {
			out[h.Name]++
		}
	}
	return out
}

// TestLoadByCapacity guards against small hosts that carry as much as large ones. It
// shows the load of both before and after, and of small hosts only, from the placement of
// 8 groups of 1,718 statements a second alone, and tests the shares over many groups.
func TestLoadByCapacity(t *testing.T) {
	const groups, rate = 8, 1718.0
	hosts := mixedFleet()
	equal := func(capacity int64) []placer.Host { return withCapacity(hosts, func(int) int64 { return capacity }) }
	n := placer.New(hosts[0], hosts).CarriersPerDomain(73, 0, true)
	type share struct {
		hosts, roles int
		load, most   float64
	}
	for _, fleet := range []struct {
		name string
		// hosts hold the real capacities and placed what the daemons have registered.
		hosts, placed []placer.Host
	}{{"before", hosts, equal(0)}, {"after", hosts, hosts}, {"small hosts only", equal(small), equal(small)}} {
		shares := map[int64]share{}
		for _, domain := range []string{"d0", "d1", "d2"} {
			byHost := carried(fleet.placed, domain, groups, n)
			for _, h := range fleet.hosts {
				if h.Domain == domain {
					each, s := float64(byHost[h.Name])*rate/3/groups/float64(n), shares[h.Capacity]
					shares[h.Capacity] = share{s.hosts + 1, s.roles + byHost[h.Name], s.load + each, max(s.most, each)}
				}
			}
		}
		for capacity, s := range shares {
			t.Logf("%s: %d hosts of capacity %d: %d roles, %.0f statements a second in all, %.1f on average, at most %.1f (%.0f%% of capacity)",
				fleet.name, s.hosts, capacity, s.roles, s.load, s.load/float64(s.hosts), s.most, 100*s.most/float64(capacity))
		}
	}
	const many = 4000
	byHost, sum := carried(hosts, "d0", many, 1), int64(0)
	for _, h := range hosts {
		if h.Domain == "d0" {
			sum += h.Capacity
		}
	}
	for _, h := range hosts {
		want := float64(many) * float64(h.Capacity) / float64(sum)
		if got := float64(byHost[h.Name]); h.Domain == "d0" && (got < want/2-10 || got > want*1.5+10) {
			t.Errorf("%s carries %.0f groups, want about %.0f", h.Name, got, want)
		}
	}
}

// TestChangesMoveOneHostsWork guards against a change of one host that moves work
// between others.
func TestChangesMoveOneHostsWork(t *testing.T) {
	hosts := mixedFleet()
	tests := map[string]struct {
		host   int
		change func(hosts []placer.Host, i int) []placer.Host
	}{
		"a small host leaves": {3, func(hosts []placer.Host, i int) []placer.Host { return slices.Delete(hosts, i, i+1) }},
		"a large host leaves": {30, func(hosts []placer.Host, i int) []placer.Host { return slices.Delete(hosts, i, i+1) }},
		"a large host joins": {133, func(hosts []placer.Host, _ int) []placer.Host {
			return append(hosts, placer.Host{Name: "h0133", Domain: "d0", Capacity: large})
		}},
		"a small host grows": {6, func(hosts []placer.Host, i int) []placer.Host {
			hosts[i].Capacity = large
			return hosts
		}},
		"a large host shrinks": {60, func(hosts []placer.Host, i int) []placer.Host {
			hosts[i].Capacity = small
			return hosts
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			changed := test.change(slices.Clone(hosts), test.host)
			others := func(h string) bool { return h == fmt.Sprintf("h%04d", test.host) }
			for g := range 200 {
				group := fmt.Sprintf("g%d", g)
				before := slices.DeleteFunc(names(placer.New(hosts[0], hosts).Order(group)), others)
				after := slices.DeleteFunc(names(placer.New(changed[0], changed).Order(group)), others)
				if !slices.Equal(before, after) {
					t.Fatalf("%s: order of the other hosts before %v, after %v", group, before, after)
				}
			}
		})
	}
}

// BenchmarkOrder measures the order of a domain of 44 hosts whose capacities differ.
func BenchmarkOrder(b *testing.B) {
	hosts := mixedFleet()
	for name, fleet := range map[string][]placer.Host{"equal": withCapacity(hosts, func(int) int64 { return 1 }), "weighted": hosts} {
		b.Run(name, func(b *testing.B) {
			p := placer.New(fleet[0], fleet)
			for b.Loop() {
				p.Order("g")
			}
		})
	}
}

// TestSheddingHostsComeLast guards against an overloaded host that stays a carrier, and
// against overload that takes the work of a whole failure domain from its hosts.
func TestSheddingHostsComeLast(t *testing.T) {
	hosts := mixedFleet()
	p := placer.New(hosts[0], hosts)
	for g := range 50 {
		group := fmt.Sprintf("g%d", g)
		order := names(p.Order(group))
		sheds := []string{order[0], order[2], "h0001"} // the last one is in another domain
		got := names(p.WithShedding(sheds).Order(group))
		want := append([]string{order[1]}, order[3:]...)
		if !slices.Equal(got[:len(want)], want) || !slices.Equal(got[len(want):], []string{order[0], order[2]}) {
			t.Fatalf("%s: got %v for the order %v without the first and the third", group, got, order)
		}
		if all := names(p.WithShedding(names(hosts)).Order(group)); len(all) != len(order) {
			t.Fatalf("%s: %d hosts if all shed their roles, want %d", group, len(all), len(order))
		}
	}
	all := p.WithShedding(names(hosts))
	first := map[string]bool{}
	for g := range 2000 {
		first[all.Order(fmt.Sprintf("g%d", g))[0].Name] = true
	}
	if len(first) < 25 {
		t.Errorf("%d of 45 hosts carry a group if all are overloaded, want two in three", len(first))
	}
	if p.Equal(all) || !all.Equal(p.WithShedding(names(hosts))) {
		t.Error("placements are compared without the hosts that shed their roles")
	}
	alone := placer.New(hosts[0], hosts[:1]).WithShedding([]string{hosts[0].Name})
	if got := alone.Order("g"); len(got) != 1 {
		t.Errorf("order of a single host that sheds: got %v", got)
	}
}
