package watcher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Settings configures the probes of a Membership.
type Settings struct {
	// ProbeInterval is the time between two probes that a host sends.
	ProbeInterval timekeeper.Millis
	// ProbeTimeout is how long a direct probe waits for its ack, and then again
	// how long the indirect probes wait.
	ProbeTimeout timekeeper.Millis
	// SuspicionTimeout is how long a suspected host has to refute the suspicion
	// before it counts as dead.
	SuspicionTimeout timekeeper.Millis
}

// DefaultSettings returns the default intervals and timeouts.
func DefaultSettings() Settings {
	return Settings{ProbeInterval: 150, ProbeTimeout: 250, SuspicionTimeout: 300}
}

const (
	// maxUpdatesPerMessage is the max number of members in Message.Updates.
	maxUpdatesPerMessage = 6
	// retransmitMult determines how many times one host sends an update:
	// retransmitMult * (1 + floorLog2(number of hosts)) times.
	retransmitMult = 3
	// indirectProbes is how many other hosts are asked to probe an unresponsive
	// one.
	indirectProbes = 2
)

// Membership is one host's view of the list of hosts. It is not safe for
// concurrent use.
type Membership struct {
	settings Settings
	self     Member
	log      func(format string, args ...any)
	members  map[string]Member
	// suspicionDeadlines is when each suspected host counts as dead.
	suspicionDeadlines map[string]timekeeper.Millis
	// probes are the probes without an ack by sequence number.
	probes map[uint64]probe
	// transmitsLeft is how many more times a host's entry is sent as an update.
	transmitsLeft map[string]int
	// probeOrder lists the hosts that the current round has still to probe.
	probeOrder []string
	nextProbe  timekeeper.Millis
	lastSeqNo  uint64
	// seed is the state of the generator that shuffles probeOrder.
	seed    uint64
	version uint64
	// homeCache holds results of Home by database until the list changes.
	homeCache map[string]string
	// leaving holds the hosts that the platform's list marks as leaving.
	leaving map[string]bool
	// ListsVersion is the version of the operators' lists that messages carry.
	ListsVersion int64
}

// New returns a Membership of the host self and the given peers, all of them
// live. log may be nil.
func New(settings Settings, self Member, peers []Member, log func(string, ...any)) *Membership {
	if log == nil {
		log = func(string, ...any) {}
	}
	h := &Membership{
		settings:           settings,
		self:               self.WithState(StateLive),
		log:                log,
		members:            map[string]Member{},
		suspicionDeadlines: map[string]timekeeper.Millis{},
		probes:             map[uint64]probe{},
		transmitsLeft:      map[string]int{},
		homeCache:          map[string]string{},
		leaving:            map[string]bool{},
		seed:               xxhash.Sum64String(self.Name),
	}
	h.members[self.Name] = h.self
	for _, peer := range peers {
		if peer.Name != self.Name {
			h.members[peer.Name] = peer.WithState(StateLive)
		}
	}
	return h
}

// Self returns the host's own entry.
func (h *Membership) Self() Member {
	return h.self
}

// Version returns a number that rises whenever a host is added or the set of
// hosts that may be homes changes.
func (h *Membership) Version() uint64 {
	return h.version
}

// Member returns a host's entry.
func (h *Membership) Member(name string) (Member, bool) {
	m, found := h.members[name]
	return m, found
}

// Members returns all hosts, sorted by name.
func (h *Membership) Members() []Member {
	out := make([]Member, 0, len(h.members))
	for _, m := range h.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Leave marks the host itself as leaving and returns a ping for every live
// host, so that all hosts receive the new state at once.
func (h *Membership) Leave(now timekeeper.Millis) []Envelope {
	h.setMember(h.self.WithState(StateLeaving))
	var out []Envelope
	for _, m := range h.Members() {
		if m.Name != h.self.Name && m.State == StateLive {
			out = append(out, h.ping(now, m))
		}
	}
	return out
}

// ApplyHostList merges the platform's list of hosts, and replaces the set of
// those that the platform marks as leaving. The list lags behind, so it only
// adds unknown hosts and does not mark an unresponsive host as live. That the
// platform marks a host as leaving takes precedence over all updates.
func (h *Membership) ApplyHostList(hosts []Member, leaving map[string]bool) {
	if !maps.Equal(h.leaving, leaving) {
		h.leaving = leaving
		h.listChanged()
	}
	for _, m := range hosts {
		if _, known := h.members[m.Name]; !known && m.Name != h.self.Name {
			h.log("watcher: %s at %s is new on the platform's list", m.Name, m.Address)
			h.setMember(m.WithState(StateLive))
		}
	}
}

// listChanged records a change of the list of hosts that may be homes.
func (h *Membership) listChanged() {
	h.version++
	clear(h.homeCache)
}

// setMember replaces a host's entry and schedules it to be sent as an update.
func (h *Membership) setMember(m Member) {
	before := h.members[m.Name]
	h.members[m.Name] = m
	if m.Name == h.self.Name {
		h.self = m
	}
	if m.State != StateSuspect {
		delete(h.suspicionDeadlines, m.Name)
	}
	h.transmitsLeft[m.Name] = retransmitMult * (1 + floorLog2(len(h.members)))
	if h.eligible(before) != h.eligible(m) || before.Name == "" {
		h.listChanged()
	}
}

// floorLog2 returns the base-2 logarithm of n, rounded down; 0 for n below 1.
func floorLog2(n int) int {
	count := 0
	for n > 1 {
		n /= 2
		count++
	}
	return count
}

// mergeSelfReport merges the entry that a host sent of itself. The entry
// supersedes updates of the same incarnation in which other hosts report the
// host as suspect or dead. An entry of a lower incarnation is ignored, and so is
// one of a host that is known to be leaving in that incarnation.
func (h *Membership) mergeSelfReport(m Member) {
	current, known := h.members[m.Name]
	if m.Name == h.self.Name || known && m.Incarnation < current.Incarnation {
		return
	}
	if known && current == m {
		return
	}
	if current.State == StateLeaving && current.Incarnation == m.Incarnation {
		return
	}
	if known && current.State == StateDead {
		h.log("watcher: %s answers again", m.Name)
	}
	h.setMember(m)
}

// mergeUpdate merges a host's entry sent by another host, if it supersedes the
// known one. An update of this host is refuted instead.
func (h *Membership) mergeUpdate(now timekeeper.Millis, m Member) {
	if m.Name == h.self.Name {
		h.refute(m)
		return
	}
	current, known := h.members[m.Name]
	if known && !m.supersedes(current) {
		return
	}
	h.setMember(m)
	if m.State == StateSuspect {
		h.suspicionDeadlines[m.Name] = now + h.settings.SuspicionTimeout
	}
}

// refute refutes an update that reports this host as not live, by raising this
// host's incarnation above the update's. A leaving host does not refute.
func (h *Membership) refute(update Member) {
	if update.Incarnation < h.self.Incarnation || update.State == h.self.State {
		return
	}
	if h.self.State == StateLeaving || update.State == StateLive {
		return
	}
	self := h.self
	self.Incarnation = update.Incarnation + 1
	h.setMember(self)
}
