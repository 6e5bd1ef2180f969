package placer_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/heatherhall/heatherhall/placer"
)

// fleet returns a number of hosts in five failure domains.
func fleet(hosts int) []placer.Host {
	out := make([]placer.Host, hosts)
	for i := range out {
		out[i] = placer.Host{Name: fmt.Sprintf("h%04d", i), Domain: fmt.Sprintf("d%d", i%5)}
	}
	return out
}

// TestCarrierCount guards against a shape that needs more connections than a server
// accepts: the daemons that share them must each have enough to keep some open.
func TestCarrierCount(t *testing.T) {
	tests := map[string]struct {
		hosts, limit int
		accounts     int
		carried      bool
		want         int
	}{
		"few hosts connect themselves":              {hosts: 4, limit: 33},
		"hosts outnumber the connections":           {hosts: 78, limit: 58, want: 1},
		"a thousand hosts":                          {hosts: 1012, limit: 58, want: 1},
		"many connections bear more carriers":       {hosts: 300, limit: 160, want: 4},
		"fewer connections than failure domains":    {hosts: 300, limit: 3, want: 1},
		"accounts need more":                        {hosts: 32, limit: 78, accounts: 83, want: 1},
		"accounts at few hosts need carriers too":   {hosts: 8, limit: 78, accounts: 83, want: 1},
		"two accounts at four hosts":                {hosts: 4, limit: 78, accounts: 2},
		"just enough for a group not carried":       {hosts: 29, limit: 58},
		"just enough does not move a carried group": {hosts: 29, limit: 58, carried: true, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			hosts := fleet(test.hosts)
			p := placer.New(hosts[0], hosts)
			got := p.CarriersPerDomain(test.limit, test.accounts, test.carried)
			if got != test.want {
				t.Errorf("carriers in each domain: got %d, want %d", got, test.want)
			}
			if sharers := p.Sharers(got); got > 0 && test.limit >= 5 && sharers > test.limit {
				t.Errorf("%d daemons share %d connections", sharers, test.limit)
			}
		})
	}
}

// TestOrder guards against daemons that choose different carriers, and against work
// that moves between live carriers when some other host is lost.
func TestOrder(t *testing.T) {
	hosts := fleet(78)
	reversed := slices.Clone(hosts)
	slices.Reverse(reversed)
	for g := range 20 {
		group := fmt.Sprintf("g%d", g)
		order := placer.New(hosts[0], hosts).Order(group)
		if other := placer.New(hosts[5], reversed).Order(group); !slices.Equal(order, other) {
			t.Errorf("%s: two daemons of a domain have the orders %v and %v", group, order, other)
		}
		for _, h := range order {
			if h.Domain != hosts[0].Domain {
				t.Errorf("%s: carrier %v is in another failure domain", group, h)
			}
		}
		lost := order[3]
		left := slices.DeleteFunc(slices.Clone(hosts), func(h placer.Host) bool { return h == lost })
		want := slices.DeleteFunc(slices.Clone(order), func(h placer.Host) bool { return h == lost })
		if got := placer.New(order[0], left).Order(group); !slices.Equal(got, want) {
			t.Errorf("%s: order after the loss of %s: got %v, want %v", group, lost.Name, got, want)
		}
	}
}

// TestSpread guards against one daemon that carries many groups while others carry
// none.
func TestSpread(t *testing.T) {
	hosts := fleet(78)
	carried := map[string]int{}
	for i := range 5 {
		p := placer.New(hosts[i], hosts)
		for g := range 20 {
			carried[p.Order(fmt.Sprintf("g%d", g))[0].Name]++
		}
	}
	for name, n := range carried {
		if n > 6 {
			t.Errorf("%s carries %d of 100 placements among 78 hosts, want at most 6", name, n)
		}
	}
	if len(carried) < 35 {
		t.Errorf("%d daemons carry 100 placements, want 35 or more of 78", len(carried))
	}
}

// TestSelectForAccount guards against a carrier that gets most accounts, and against
// accounts that move between carriers that stay when another one is lost.
func TestSelectForAccount(t *testing.T) {
	carriers := fleet(4)
	selected := map[string]int{}
	for i := range 400 {
		account := fmt.Sprintf("a%d", i)
		before := carriers[placer.SelectForAccount(carriers, "g", account)]
		selected[before.Name]++
		if before == carriers[3] {
			continue
		}
		if after := carriers[placer.SelectForAccount(carriers[:3], "g", account)]; after != before {
			t.Errorf("%s moves from %s to %s when %s is lost", account, before.Name, after.Name, carriers[3].Name)
		}
	}
	for name, n := range selected {
		if n > 130 {
			t.Errorf("%s gets %d of 400 accounts, want at most 130", name, n)
		}
	}
}

// TestSharersOutside guards against daemons that are counted among those outside
// their own domain, and against more carriers than a domain has hosts.
func TestSharersOutside(t *testing.T) {
	var hosts []placer.Host
	for i, domain := range []string{"a", "a", "a", "b", "b", "c"} {
		hosts = append(hosts, placer.Host{Name: fmt.Sprint(i), Domain: domain})
	}
	p := placer.New(hosts[0], hosts)
	for name, test := range map[string]struct {
		domain         string
		carriers, want int
	}{
		"all connect":                {"a", 0, 3},
		"all connect, small domain":  {"c", 0, 5},
		"two carriers":               {"a", 2, 3},
		"two carriers, small domain": {"c", 2, 4},
		"a domain without hosts":     {"x", 0, 6},
	} {
		if got := p.SharersOutside(test.domain, test.carriers); got != test.want {
			t.Errorf("%s: %d daemons, want %d", name, got, test.want)
		}
	}
	if order := p.OrderIn("a", "g"); len(order) != 3 || !slices.Equal(order, p.Order("g")) {
		t.Errorf("the order in the own domain is %v, want %v", order, p.Order("g"))
	}
}
