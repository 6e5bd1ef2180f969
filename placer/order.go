package placer

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidate is a daemon that may carry a group.
type candidate struct {
	host Host
	hash uint64
	// distance is a negative logarithm of hash, see negativeLog.
	distance uint64
	// last is set for a daemon that sheds its roles.
	last bool
}

// maxSheddingDivisor bounds how many daemons of a failure domain come last in its orders
// because they shed their roles: one in three. If more are overloaded, the others would
// be next.
const maxSheddingDivisor = 3

// Order returns the daemons of this daemon's failure domain in the order in
// which they are to carry a group, by rendezvous hashing. Daemons that know the
// same hosts get the same order, and the loss of a host moves only the groups
// that it carried. Where the daemons' capacities differ, a daemon comes first for
// a share of the groups in proportion to its capacity. If a daemon has registered
// no capacity, all capacities count as equal. Daemons that shed their roles come last, as
// far as maxSheddingDivisor allows.
func (p Placement) Order(group string) []Host {
	return p.order(p.local, group)
}

// OrderIn returns the daemons of any failure domain in the order in which they are to
// take a role that is named by key.
func (p Placement) OrderIn(domain, key string) []Host {
	return p.order(p.domainHosts(domain), key)
}

// Rank returns the position of this daemon in its failure domain's order for key.
func (p Placement) Rank(key string) int {
	return slices.IndexFunc(p.Order(key), func(h Host) bool { return h.Name == p.self.Name })
}

// Before reports whether the host a takes a role that is named by key before b, a daemon
// of the same failure domain. The hosts need not be among the live ones.
func (p Placement) Before(key string, a, b Host) bool {
	hosts := p.domainHosts(b.Domain)
	weighted, last := weighted(append(slices.Clone(hosts), a, b)), p.lastHosts(hosts)
	return compareCandidates(newCandidate(a, key, weighted, last), newCandidate(b, key, weighted, last)) < 0
}

// domainHosts returns the live daemons of a failure domain.
func (p Placement) domainHosts(domain string) []Host {
	if domain == p.self.Domain {
		return p.local
	}
	var hosts []Host
	for _, h := range p.hosts {
		if h.Domain == domain {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// order returns the daemons of a failure domain in their order for key.
func (p Placement) order(hosts []Host, key string) []Host {
	weighted, last := weighted(hosts), p.lastHosts(hosts)
	all := make([]candidate, len(hosts))
	for i, h := range hosts {
		all[i] = newCandidate(h, key, weighted, last)
	}
	slices.SortFunc(all, compareCandidates)
	out := make([]Host, len(all))
	for i, c := range all {
		out[i] = c.host
	}
	return out
}

func newCandidate(h Host, key string, weighted bool, last []string) candidate {
	c := candidate{host: h, hash: xxhash.Sum64String(h.Name + "/" + key), last: slices.Contains(last, h.Name)}
	if weighted {
		c.distance = negativeLog(c.hash)
	}
	return c
}

// weighted reports whether the order depends on the capacities of the daemons.
func weighted(hosts []Host) bool {
	differ := false
	for _, h := range hosts {
		if h.Capacity <= 0 {
			return false
		}
		differ = differ || h.Capacity != hosts[0].Capacity
	}
	return differ
}

// lastHosts returns the daemons that come last in the orders of their failure domain:
// the first ones by name that shed their roles.
func (p Placement) lastHosts(hosts []Host) []string {
	var out []string
	for _, h := range hosts {
		if _, sheds := slices.BinarySearch(p.shedding, h.Name); sheds {
			out = append(out, h.Name)
		}
	}
	return out[:min(len(out), MaxShedding(len(hosts)))]
}

// MaxShedding returns how many of a failure domain's daemons may shed their roles at the
// same time. It is at least 1, except that a single daemon has nobody to take its roles.
func MaxShedding(hosts int) int {
	if hosts < 2 {
		return 0
	}
	return max(1, hosts/maxSheddingDivisor)
}

// compareCandidates orders candidates by distance / capacity. Daemons of equal
// capacity, and all daemons if the distances are 0, are ordered by descending hash:
// a daemon that joins does not change the order of the others.
func compareCandidates(a, b candidate) int {
	if a.last != b.last {
		if b.last {
			return -1
		}
		return 1
	}
	// a.distance / a.capacity < b.distance / b.capacity, in exact integers.
	aHigh, aLow := bits.Mul64(a.distance, uint64(b.host.Capacity))
	bHigh, bLow := bits.Mul64(b.distance, uint64(a.host.Capacity))
	return cmp.Or(cmp.Compare(aHigh, bHigh), cmp.Compare(aLow, bLow), cmp.Compare(b.hash, a.hash), cmp.Compare(a.host.Name, b.host.Name))
}

// logBits is the number of fractional bits of negativeLog.
const logBits = 40

// negativeLog returns -log2(hash / 2^64) as a fixed-point number with logBits
// fractional bits. It is at least 1 and does not rise with hash. It computes with
// integers only, since floating-point logarithms may differ between processor types,
// and all daemons must get the same order. Each squaring of the mantissa yields the
// next bit of its logarithm.
func negativeLog(hash uint64) uint64 {
	hash = max(hash, 1)
	exponent := bits.Len64(hash) - 1
	mantissa := hash << (63 - exponent) // in [1, 2) with 63 fractional bits
	log := uint64(exponent)
	for range logBits {
		high, low := bits.Mul64(mantissa, mantissa)
		log <<= 1
		if high>>63 == 1 { // the square is 2 or more
			log |= 1
			mantissa = high
		} else {
			mantissa = high<<1 | low>>63
		}
	}
	return 64<<logBits - log
}
