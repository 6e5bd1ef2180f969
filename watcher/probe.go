package watcher

import (
	"cmp"
	"slices"
	"strings"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Envelope is a message to be sent to a host.
type Envelope struct {
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

// Tick sends the probes that are due and judges those that got no answer.
func (h *Membership) Tick(now timekeeper.Millis) []Envelope {
	out := h.overdue(now)
	for _, name := range h.sortedSuspects() {
		if now >= h.suspects[name] {
			h.log("watcher: %s answered neither this host nor others and counts as dead", name)
			h.set(h.members[name].WithState(StateDead))
		}
	}
	if now >= h.next {
		h.next = now + h.settings.ProbeInterval
		if target, found := h.target(); found {
			out = append(out, h.ping(now, target))
		}
	}
	return out
}

func (h *Membership) sortedSuspects() []string {
	names := make([]string, 0, len(h.suspects))
	for name := range h.suspects {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// overdue handles probes without an answer: first others are asked to probe the
// host too, then it is suspected.
func (h *Membership) overdue(now timekeeper.Millis) []Envelope {
	var late []uint64
	for number, p := range h.probes {
		if now >= p.due {
			late = append(late, number)
		}
	}
	slices.Sort(late)
	var out []Envelope
	for _, number := range late {
		p := h.probes[number]
		if p.origin != "" {
			delete(h.probes, number)
			continue
		}
		if !p.relayed {
			p.relayed = true
			p.due = now + h.settings.ProbeTimeout
			h.probes[number] = p
			out = append(out, h.askOthers(p.target, number)...)
			continue
		}
		delete(h.probes, number)
		h.suspect(now, p.target)
	}
	return out
}

func (h *Membership) askOthers(target string, number uint64) []Envelope {
	var out []Envelope
	for _, m := range h.Members() {
		if len(out) == relays {
			break
		}
		if m.Name != h.self.Name && m.Name != target && m.State == StateLive {
			out = append(out, Envelope{To: m, Message: h.message(TypePingReq, number, target)})
		}
	}
	return out
}

func (h *Membership) suspect(now timekeeper.Millis, name string) {
	m, found := h.members[name]
	if !found || m.State != StateLive {
		return
	}
	h.log("watcher: %s is suspected, it has %d ms to answer", name, h.settings.SuspicionTimeout)
	h.set(m.WithState(StateSuspect))
	h.suspects[name] = now + h.settings.SuspicionTimeout
}

// target returns the next host to probe, in rounds over all hosts in an order
// drawn anew for each round. Dead hosts are probed too, to see them return.
func (h *Membership) target() (Member, bool) {
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

func (h *Membership) shuffled() []string {
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

func (h *Membership) ping(now timekeeper.Millis, to Member) Envelope {
	h.number++
	h.probes[h.number] = probe{target: to.Name, due: now + h.settings.ProbeTimeout}
	return Envelope{To: to, Message: h.message(TypePing, h.number, "")}
}

// message makes a message that carries the news sent least often so far.
func (h *Membership) message(t Type, number uint64, target string) Message {
	m := Message{Type: t, From: h.self, SeqNo: number, Target: target, ListsVersion: h.ListsVersion}
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
		if len(m.Updates) == newsLimit {
			break
		}
		m.Updates = append(m.Updates, h.members[name])
		h.news[name]--
		if h.news[name] <= 0 {
			delete(h.news, name)
		}
	}
	return m
}

// HandleMessage takes a message from another host.
func (h *Membership) HandleMessage(now timekeeper.Millis, m Message) []Envelope {
	h.hear(m.From)
	for _, member := range m.Updates {
		h.learn(now, member)
	}
	switch m.Type {
	case TypePing:
		return []Envelope{{To: h.members[m.From.Name], Message: h.message(TypeAck, m.SeqNo, "")}}
	case TypePingReq:
		target, found := h.members[m.Target]
		if !found {
			return nil
		}
		send := h.ping(now, target)
		p := h.probes[h.number]
		p.origin = m.From.Name
		p.number = m.SeqNo
		h.probes[h.number] = p
		return []Envelope{send}
	}
	return h.acknowledged(m)
}

// acknowledged takes an answer to a probe, and passes it on if another host
// asked for the probe.
func (h *Membership) acknowledged(m Message) []Envelope {
	p, found := h.probes[m.SeqNo]
	if !found {
		return nil
	}
	delete(h.probes, m.SeqNo)
	if p.origin == "" {
		return nil
	}
	origin, found := h.members[p.origin]
	if !found {
		return nil
	}
	forward := h.message(TypeAck, p.number, "")
	forward.Updates = append([]Member{m.From}, forward.Updates...)
	return []Envelope{{To: origin, Message: forward}}
}
