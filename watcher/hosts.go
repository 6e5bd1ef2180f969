package watcher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Settings are the times of the probes.
type Settings struct {
	// ProbeInterval is the time between two probes that a host sends.
	ProbeInterval timekeeper.Millis
	// ProbeTimeout is how long an answer to a probe may take, first directly and
	// then through other hosts.
	ProbeTimeout timekeeper.Millis
	// SuspicionTimeout is how long a suspected host has to speak up.
	SuspicionTimeout timekeeper.Millis
}

// DefaultSettings returns the times that settings start from.
func DefaultSettings() Settings {
	return Settings{ProbeInterval: 150, ProbeTimeout: 250, SuspicionTimeout: 300}
}

const (
	// newsLimit is how many members' news one message carries.
	newsLimit = 6
	// newsRepeats is how often a piece of news is sent on by one host, for each
	// doubling of the number of hosts.
	newsRepeats = 3
	// relays is how many other hosts are asked to probe a silent one.
	relays = 2
)

// Membership is the list of hosts as one of them knows it. It is not safe for
// concurrent use.
type Membership struct {
	settings Settings
	self     Member
	log      func(format string, args ...any)
	members  map[string]Member
	suspects map[string]timekeeper.Millis
	probes   map[uint64]probe
	news     map[string]int
	order    []string
	next     timekeeper.Millis
	number   uint64
	seed     uint64
	version  uint64
	homes    map[string]string
	leaving  map[string]bool
	// ListsVersion is the version of the operators' lists that messages carry.
	ListsVersion int64
}

// New returns a list that holds the host itself and the hosts it was told of.
// log may be nil.
func New(settings Settings, self Member, peers []Member, log func(string, ...any)) *Membership {
	if log == nil {
		log = func(string, ...any) {}
	}
	h := &Membership{
		settings: settings,
		self:     self.WithState(StateLive),
		log:      log,
		members:  map[string]Member{},
		suspects: map[string]timekeeper.Millis{},
		probes:   map[uint64]probe{},
		news:     map[string]int{},
		homes:    map[string]string{},
		leaving:  map[string]bool{},
		seed:     xxhash.Sum64String(self.Name),
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

// Version rises with each change of the list of live hosts.
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

// Leave marks the host itself as leaving and tells all live hosts at once.
func (h *Membership) Leave(now timekeeper.Millis) []Envelope {
	h.set(h.self.WithState(StateLeaving))
	var out []Envelope
	for _, m := range h.Members() {
		if m.Name != h.self.Name && m.State == StateLive {
			out = append(out, h.ping(now, m))
		}
	}
	return out
}

// ApplyHostList takes the platform's list of hosts and those of them that leave. The
// list lags: it adds hosts, and nothing overrules its word that one is leaving,
// but it does not bring back a host that does not answer.
func (h *Membership) ApplyHostList(hosts []Member, leaving map[string]bool) {
	if !maps.Equal(h.leaving, leaving) {
		h.leaving = leaving
		h.changed()
	}
	for _, m := range hosts {
		if _, known := h.members[m.Name]; !known && m.Name != h.self.Name {
			h.log("watcher: %s at %s is new on the platform's list", m.Name, m.Address)
			h.set(m.WithState(StateLive))
		}
	}
}

func (h *Membership) changed() {
	h.version++
	clear(h.homes)
}

// set takes an account of a host over and spreads it.
func (h *Membership) set(m Member) {
	before := h.members[m.Name]
	h.members[m.Name] = m
	if m.Name == h.self.Name {
		h.self = m
	}
	if m.State != StateSuspect {
		delete(h.suspects, m.Name)
	}
	h.news[m.Name] = newsRepeats * (1 + bits(len(h.members)))
	if h.eligible(before) != h.eligible(m) || before.Name == "" {
		h.changed()
	}
}

func bits(n int) int {
	count := 0
	for n > 1 {
		n /= 2
		count++
	}
	return count
}

// hear takes a host's word about itself, which holds against any rumour of its
// death.
func (h *Membership) hear(m Member) {
	present, known := h.members[m.Name]
	if m.Name == h.self.Name || known && m.Incarnation < present.Incarnation {
		return
	}
	if known && present == m {
		return
	}
	if present.State == StateLeaving && present.Incarnation == m.Incarnation {
		return
	}
	if known && present.State == StateDead {
		h.log("watcher: %s answers again", m.Name)
	}
	h.set(m)
}

// learn takes another host's account of a host.
func (h *Membership) learn(now timekeeper.Millis, m Member) {
	if m.Name == h.self.Name {
		h.refute(m)
		return
	}
	present, known := h.members[m.Name]
	if known && !m.overrules(present) {
		return
	}
	h.set(m)
	if m.State == StateSuspect {
		h.suspects[m.Name] = now + h.settings.SuspicionTimeout
	}
}

// refute answers a rumour about the host itself with a higher incarnation.
func (h *Membership) refute(rumour Member) {
	if rumour.Incarnation < h.self.Incarnation || rumour.State == h.self.State {
		return
	}
	if h.self.State == StateLeaving || rumour.State == StateLive {
		return
	}
	self := h.self
	self.Incarnation = rumour.Incarnation + 1
	h.set(self)
}
