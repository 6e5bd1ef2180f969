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
)

// Host is a live daemon.
type Host struct {
	Name string
	// Domain is the daemon's failure domain.
	Domain string
	// Address is where the daemon accepts connections of other daemons.
	Address string
}

// Placement is a daemon's view of the live daemons. It is immutable.
type Placement struct {
	self  Host
	hosts []Host
	local []Host
	// domains is the number of live hosts by failure domain.
	domains map[string]int
	partial bool
	uneven  bool
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

// WithUneven returns a copy that says whether the capacities of the hosts differ.
func (p Placement) WithUneven(uneven bool) Placement {
	p.uneven = uneven
	return p
}

// Uneven reports whether the capacities of the hosts differ.
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

// Equal reports whether two placements have the same hosts.
func (p Placement) Equal(other Placement) bool {
	return p.self == other.self && p.partial == other.partial && p.uneven == other.uneven && slices.Equal(p.hosts, other.hosts)
}

// CarriersPerDomain returns how many daemons of each failure domain carry a
// group whose servers accept limit connections each. It is 0 if all daemons
// connect to the servers themselves; carried says that they do not so far.
func (p Placement) CarriersPerDomain(limit int, carried bool) int {
	needed := directConns
	if carried {
		needed = directConnsReturn
	}
	if limit >= needed*p.HostCount() {
		return 0
	}
	return max(1, limit/(max(len(p.domains), 1)*connsPerCarrier))
}

// Sharers returns how many daemons share the connections to the servers of a
// group that has the given number of carriers in each failure domain.
func (p Placement) Sharers(carriersPerDomain int) int {
	if carriersPerDomain == 0 {
		return p.HostCount()
	}
	return min(p.HostCount(), carriersPerDomain*max(len(p.domains), 1))
}

// Order returns the daemons of this daemon's failure domain in the order in
// which they are to carry a group, by rendezvous hashing. Daemons that know the
// same hosts get the same order, and the loss of a host moves only the groups
// that it carried.
func (p Placement) Order(group string) []Host {
	return rendezvousOrder(p.local, group)
}

// OrderIn returns the daemons of a failure domain in the order in which they are
// to carry a group.
func (p Placement) OrderIn(domain, group string) []Host {
	var hosts []Host
	for _, h := range p.hosts {
		if h.Domain == domain {
			hosts = append(hosts, h)
		}
	}
	return rendezvousOrder(hosts, group)
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

func rendezvousOrder(hosts []Host, group string) []Host {
	type weighted struct {
		host   Host
		weight uint64
	}
	all := make([]weighted, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, weighted{h, xxhash.Sum64String(h.Name + "/" + group)})
	}
	slices.SortFunc(all, func(a, b weighted) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Compare(a.host.Name, b.host.Name)
	})
	out := make([]Host, len(all))
	for i, w := range all {
		out[i] = w.host
	}
	return out
}
