package watcher

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Settings are the times of the probes.
type Settings struct {
	// Period is the time between two probes that a host sends.
	Period timekeeper.Millis
	// Timeout is how long an answer to a probe may take, first directly and
	// then through other hosts.
	Timeout timekeeper.Millis
	// Refute is how long a suspected host has to speak up.
	Refute timekeeper.Millis
}

// DefaultSettings returns the times that settings start from.
func DefaultSettings() Settings {
	return Settings{Period: 150, Timeout: 250, Refute: 300}
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

// Send is a message to be sent to a host.
type Send struct {
	To      Member
	Message Message
}

// probe is a ping whose answer is out.
type probe struct {
	target string
	due    timekeeper.Millis
	// relayed says that other hosts have been asked too.
	relayed bool
	// origin and number name the host that asked for the probe, if any.
	origin string
	number uint64
}

// Hosts is the list of hosts as one of them knows it. It is not safe for
// concurrent use.
type Hosts struct {
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
	// Lists is the version of the operators' lists that messages carry.
	Lists int64
}

// New returns a list that holds the host itself and the hosts it was told of.
// log may be nil.
func New(settings Settings, self Member, peers []Member, log func(string, ...any)) *Hosts {
	if log == nil {
		log = func(string, ...any) {}
	}
	h := &Hosts{
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
func (h *Hosts) Self() Member {
	return h.self
}

// Version rises with each change of the list of live hosts.
func (h *Hosts) Version() uint64 {
	return h.version
}

// Member returns a host's entry.
func (h *Hosts) Member(name string) (Member, bool) {
	m, found := h.members[name]
	return m, found
}

// Members returns all hosts, sorted by name.
func (h *Hosts) Members() []Member {
	out := make([]Member, 0, len(h.members))
	for _, m := range h.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// eligible reports whether a host may be a home.
func (h *Hosts) eligible(m Member) bool {
	return (m.State == StateLive || m.State == StateSuspect) && !h.leaving[m.Name]
}

// Home returns the host that is the home of a database: the first in the
// rendezvous order among the hosts that are live.
func (h *Hosts) Home(database string) string {
	if home, found := h.homes[database]; found {
		return home
	}
	home := ""
	best := uint64(0)
	for _, m := range h.members {
		if !h.eligible(m) {
			continue
		}
		weight := xxhash.Sum64String(m.Name + "/" + database)
		if home == "" || weight > best || weight == best && m.Name < home {
			home = m.Name
			best = weight
		}
	}
	if home == "" {
		home = h.self.Name
	}
	h.homes[database] = home
	return home
}

// Speaker returns the host of a domain that does for all of it what one has to
// do, such as reading the platform's tail.
func (h *Hosts) Speaker(domain string) string {
	speaker := ""
	for _, m := range h.members {
		if m.Domain == domain && h.eligible(m) && (speaker == "" || m.Name < speaker) {
			speaker = m.Name
		}
	}
	return speaker
}

// Leave marks the host itself as leaving and tells all live hosts at once.
func (h *Hosts) Leave(now timekeeper.Millis) []Send {
	h.set(h.self.WithState(StateLeaving))
	var out []Send
	for _, m := range h.Members() {
		if m.Name != h.self.Name && m.State == StateLive {
			out = append(out, h.ping(now, m))
		}
	}
	return out
}

// Listed takes the platform's list of hosts and those of them that leave. The
// list lags: it adds hosts, and nothing overrules its word that one is leaving,
// but it does not bring back a host that does not answer.
func (h *Hosts) Listed(hosts []Member, leaving map[string]bool) {
	h.leaving = leaving
	h.changed()
	for _, m := range hosts {
		if _, known := h.members[m.Name]; !known && m.Name != h.self.Name {
			h.log("watcher: %s at %s is new on the platform's list", m.Name, m.Address)
			h.set(m.WithState(StateLive))
		}
	}
}

func (h *Hosts) changed() {
	h.version++
	clear(h.homes)
}

// set takes an account of a host over and spreads it.
func (h *Hosts) set(m Member) {
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

// Tick sends the probes that are due and judges those that got no answer.
func (h *Hosts) Tick(now timekeeper.Millis) []Send {
	out := h.overdue(now)
	for _, name := range h.sortedSuspects() {
		if now >= h.suspects[name] {
			h.log("watcher: %s answered neither this host nor others and counts as dead", name)
			h.set(h.members[name].WithState(StateDead))
		}
	}
	if now >= h.next {
		h.next = now + h.settings.Period
		if target, found := h.target(); found {
			out = append(out, h.ping(now, target))
		}
	}
	return out
}

func (h *Hosts) sortedSuspects() []string {
	names := make([]string, 0, len(h.suspects))
	for name := range h.suspects {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// overdue handles probes without an answer: first others are asked to probe the
// host too, then it is suspected.
func (h *Hosts) overdue(now timekeeper.Millis) []Send {
	var late []uint64
	for number, p := range h.probes {
		if now >= p.due {
			late = append(late, number)
		}
	}
	slices.Sort(late)
	var out []Send
	for _, number := range late {
		p := h.probes[number]
		if p.origin != "" {
			delete(h.probes, number)
			continue
		}
		if !p.relayed {
			p.relayed = true
			p.due = now + h.settings.Timeout
			h.probes[number] = p
			out = append(out, h.askOthers(p.target, number)...)
			continue
		}
		delete(h.probes, number)
		h.suspect(now, p.target)
	}
	return out
}

func (h *Hosts) askOthers(target string, number uint64) []Send {
	var out []Send
	for _, m := range h.Members() {
		if len(out) == relays {
			break
		}
		if m.Name != h.self.Name && m.Name != target && m.State == StateLive {
			out = append(out, Send{To: m, Message: h.message(TypeRelay, number, target)})
		}
	}
	return out
}

func (h *Hosts) suspect(now timekeeper.Millis, name string) {
	m, found := h.members[name]
	if !found || m.State != StateLive {
		return
	}
	h.log("watcher: %s is suspected, it has %d ms to answer", name, h.settings.Refute)
	h.set(m.WithState(StateSuspect))
	h.suspects[name] = now + h.settings.Refute
}

// target returns the next host to probe, in rounds over all hosts in an order
// drawn anew for each round. Dead hosts are probed too, to see them return.
func (h *Hosts) target() (Member, bool) {
	for range 2 {
		for len(h.order) > 0 {
			name := h.order[0]
			h.order = h.order[1:]
			if m, found := h.members[name]; found && m.State != StateLeaving {
				return m, true
			}
		}
		h.order = h.shuffled()
	}
	return Member{}, false
}

func (h *Hosts) shuffled() []string {
	var names []string
	for _, m := range h.Members() {
		if m.Name != h.self.Name {
			names = append(names, m.Name)
		}
	}
	for i := len(names) - 1; i > 0; i-- {
		h.seed = h.seed*6364136223846793005 + 1442695040888963407
		j := int(h.seed>>33) % (i + 1)
		names[i], names[j] = names[j], names[i]
	}
	return names
}

func (h *Hosts) ping(now timekeeper.Millis, to Member) Send {
	h.number++
	h.probes[h.number] = probe{target: to.Name, due: now + h.settings.Timeout}
	return Send{To: to, Message: h.message(TypePing, h.number, "")}
}

// message makes a message that carries the news sent least often so far.
func (h *Hosts) message(t Type, number uint64, target string) Message {
	m := Message{Type: t, From: h.self, Number: number, Target: target, Lists: h.Lists}
	names := make([]string, 0, len(h.news))
	for name := range h.news {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if c := cmp.Compare(h.news[b], h.news[a]); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	for _, name := range names {
		if len(m.News) == newsLimit {
			break
		}
		m.News = append(m.News, h.members[name])
		h.news[name]--
		if h.news[name] <= 0 {
			delete(h.news, name)
		}
	}
	return m
}

// Received takes a message from another host.
func (h *Hosts) Received(now timekeeper.Millis, m Message) []Send {
	h.hear(m.From)
	for _, member := range m.News {
		h.learn(now, member)
	}
	switch m.Type {
	case TypePing:
		return []Send{{To: h.members[m.From.Name], Message: h.message(TypeAck, m.Number, "")}}
	case TypeRelay:
		target, found := h.members[m.Target]
		if !found {
			return nil
		}
		send := h.ping(now, target)
		p := h.probes[h.number]
		p.origin = m.From.Name
		p.number = m.Number
		h.probes[h.number] = p
		return []Send{send}
	}
	return h.acknowledged(m)
}

// acknowledged takes an answer to a probe, and passes it on if another host
// asked for the probe.
func (h *Hosts) acknowledged(m Message) []Send {
	p, found := h.probes[m.Number]
	if !found {
		return nil
	}
	delete(h.probes, m.Number)
	if p.origin == "" {
		return nil
	}
	origin, found := h.members[p.origin]
	if !found {
		return nil
	}
	forward := h.message(TypeAck, p.number, "")
	forward.News = append([]Member{m.From}, forward.News...)
	return []Send{{To: origin, Message: forward}}
}

// hear takes a host's word about itself, which holds against any rumour of its
// death.
func (h *Hosts) hear(m Member) {
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
func (h *Hosts) learn(now timekeeper.Millis, m Member) {
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
		h.suspects[m.Name] = now + h.settings.Refute
	}
}

// refute answers a rumour about the host itself with a higher incarnation.
func (h *Hosts) refute(rumour Member) {
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
