// Package placer decides which daemons carry a database group: run the
// statements of their failure domain's other daemons over their own connections
// to the group's servers. Where daemons outnumber a server's connections, a few
// carriers keep connections open and queue the work of many daemons in one
// place.
package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// directConns is how many of a server's connections there must be for each
	// daemon for all daemons to connect to it themselves.
	directConns = 2
	// directConnsReturn takes the place of directConns for a group that is
	// carried, so that a few lost hosts don't move its work back and forth.
	directConnsReturn = 3
	// connsPerCarrier is how many of a server's connections make another
	// carrier in each failure domain worthwhile.
	connsPerCarrier = 8
	// accountConnsPerCarrier takes its place for a group with closed databases, so that
	// a carrier can keep connections of more accounts open.
	accountConnsPerCarrier = 16
	// maxDirectAccounts bounds the accounts for which each daemon would need connections
	// of its own. The others are active too rarely to need one at each daemon.
	maxDirectAccounts = 8
)

// Host is a live daemon.
type Host struct {
	Name string
	// Domain is the daemon's failure domain.
	Domain string
	// Address is where the daemon accepts connections of other daemons.
	Address string
	// Capacity is the weight with which the daemon is chosen as a carrier; 0 if it has
	// registered none.
	Capacity int64
}

// Placement is a daemon's view of the live daemons. It is immutable.
type Placement struct {
	self  Host
	hosts []Host
	local []Host
	// domains holds the number of daemons of each failure domain.
	domains map[string]int
	partial bool
	// shedding holds the names of the daemons that shed their roles, sorted.
	shedding []string
	// uneven says that the capacities of the hosts differ much.
	uneven bool
}

// New returns the placement for the daemon self among the live hosts, which may
// or may not include it.
func New(self Host, hosts []Host) Placement {
	p := Placement{self: self, domains: map[string]int{}}
	add := func(h Host) {
		p.hosts = append(p.hosts, h)
		p.domains[h.Domain]++
		if h.Domain == self.Domain {
			p.local = append(p.local, h)
		}
	}
	add(self)
	for _, h := range hosts {
		if h.Name != self.Name {
			add(h)
		}
	}
	slices.SortFunc(p.hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	p.uneven = unevenCapacities(p.hosts)
	return p
}

// WithPartial returns a copy that says whether the hosts of other failure domains
// are unknown for now.
func (p Placement) WithPartial(partial bool) Placement {
	p.partial = partial
	return p
}

// Partial reports whether the hosts of other failure domains are unknown for now.
func (p Placement) Partial() bool {
	return p.partial
}

// WithShedding returns a copy in which the named daemons shed their roles: they come
// last in the orders of their failure domain.
func (p Placement) WithShedding(names []string) Placement {
	p.shedding = slices.Sorted(slices.Values(names))
	return p
}

// WithUneven returns a copy that says whether the capacities of the hosts differ much.
func (p Placement) WithUneven(uneven bool) Placement {
	p.uneven = uneven
	return p
}

// unevenRatio is how many times the capacity of the smallest host the largest one has in a
// fleet whose capacities differ much.
const unevenRatio = 10

// unevenCapacities reports whether the capacities of the hosts are known and differ much.
func unevenCapacities(hosts []Host) bool {
	least, most := hosts[0].Capacity, int64(0)
	for _, h := range hosts {
		least, most = min(least, h.Capacity), max(most, h.Capacity)
	}
	return least > 0 && most >= unevenRatio*least
}

// Uneven reports whether the capacities of the hosts differ much.
func (p Placement) Uneven() bool {
	return p.uneven
}

// Self returns the daemon whose view this is.
func (p Placement) Self() Host {
	return p.self
}

// HostCount returns the number of live daemons, at least 1.
func (p Placement) HostCount() int {
	return max(len(p.hosts), 1)
}

// Domains returns how many live daemons each failure domain has. It must not be changed.
func (p Placement) Domains() map[string]int {
	return p.domains
}

// Equal reports whether two placements have the same hosts.
func (p Placement) Equal(other Placement) bool {
	return p.self == other.self && p.partial == other.partial && p.uneven == other.uneven && slices.Equal(p.hosts, other.hosts) && slices.Equal(p.shedding, other.shedding)
}

// CarriersPerDomain returns how many daemons of each failure domain carry a
// group whose servers accept limit connections each. It is 0 if all daemons
// connect to the servers themselves; carried says that they do not so far. accounts is
// the number of client accounts that need connections of their own, 0 if none does.
func (p Placement) CarriersPerDomain(limit, accounts int, carried bool) int {
	needed := directConns
	if carried {
		needed = directConnsReturn
	}
	perCarrier := connsPerCarrier
	if accounts > 0 {
		needed *= min(accounts, maxDirectAccounts)
		perCarrier = accountConnsPerCarrier
	}
	if limit >= needed*p.HostCount() {
		return 0
	}
	return max(1, limit/(max(len(p.domains), 1)*perCarrier))
}

// Sharers returns how many daemons share the connections to the servers of a
// group that has the given number of carriers in each failure domain.
func (p Placement) Sharers(carriersPerDomain int) int {
	if carriersPerDomain == 0 {
		return p.HostCount()
	}
	return min(p.HostCount(), carriersPerDomain*max(len(p.domains), 1))
}

// SharersOutside returns how many daemons outside a failure domain send work to
// the servers of a group that has the given number of carriers in each.
func (p Placement) SharersOutside(domain string, carriersPerDomain int) int {
	total := 0
	for name, hosts := range p.domains {
		switch {
		case name == domain:
		case carriersPerDomain == 0:
			total += hosts
		default:
			total += min(hosts, carriersPerDomain)
		}
	}
	return total
}

// SelectForAccount returns the index of the carrier, among those of a group in a failure
// domain, that runs an account's work, by rendezvous hashing.
func SelectForAccount(carriers []Host, group, account string) int {
	best, highest := 0, uint64(0)
	for i, h := range carriers {
		if weight := xxhash.Sum64String(h.Name + "/" + group + "/" + account); weight > highest {
			best, highest = i, weight
		}
	}
	return best
}
