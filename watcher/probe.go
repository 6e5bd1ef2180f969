package watcher

import (
	"cmp"
	"slices"
	"strings"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Envelope is a message and the host that it is to be sent to.
type Envelope struct {
	To      Member
	Message Message
}

// probe is a ping without an ack so far.
type probe struct {
	target   string
	deadline timekeeper.Millis
	// indirect is set once other hosts were asked to probe the target too.
	indirect bool
	// requester is the host that asked for the probe with a TypePingReq, and
	// requesterSeqNo that request's sequence number; empty for this host's own.
	requester      string
	requesterSeqNo uint64
}

// Tick returns the probes that are due. It handles probes that timed out, and
// marks suspects as dead whose SuspicionTimeout has passed.
func (h *Membership) Tick(now timekeeper.Millis) []Envelope {
	out := h.expireProbes(now)
	for _, name := range h.sortedSuspects() {
		if now >= h.suspicionDeadlines[name] {
			h.log("watcher: %s responded neither to this host nor to others and counts as dead", name)
			h.setMember(h.members[name].WithState(StateDead))
		}
	}
	if now >= h.nextProbe {
		h.nextProbe = now + h.settings.ProbeInterval
		if target, found := h.nextTarget(); found {
			out = append(out, h.ping(now, target))
		}
	}
	return out
}

func (h *Membership) sortedSuspects() []string {
	names := make([]string, 0, len(h.suspicionDeadlines))
	for name := range h.suspicionDeadlines {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// expireProbes handles the probes that timed out. After a direct probe, other
// hosts are asked to probe the target; after those, it is suspected. A probe
// for another host is dropped.
func (h *Membership) expireProbes(now timekeeper.Millis) []Envelope {
	var expired []uint64
	for seqNo, p := range h.probes {
		if now >= p.deadline {
			expired = append(expired, seqNo)
		}
	}
	slices.Sort(expired)
	var out []Envelope
	for _, seqNo := range expired {
		p := h.probes[seqNo]
		if p.requester != "" {
			delete(h.probes, seqNo)
			continue
		}
		if !p.indirect {
			p.indirect = true
			p.deadline = now + h.settings.ProbeTimeout
			h.probes[seqNo] = p
			out = append(out, h.pingReqs(p.target, seqNo)...)
			continue
		}
		delete(h.probes, seqNo)
		h.suspect(now, p.target)
	}
	return out
}

// pingReqs returns requests to probe target, for up to indirectProbes live
// hosts.
func (h *Membership) pingReqs(target string, seqNo uint64) []Envelope {
	var out []Envelope
	for _, m := range h.Members() {
		if len(out) == indirectProbes {
			break
		}
		if m.Name != h.self.Name && m.Name != target && m.State == StateLive {
			out = append(out, Envelope{To: m, Message: h.message(TypePingReq, seqNo, target)})
		}
	}
	return out
}

// suspect marks a live host as suspected for SuspicionTimeout.
func (h *Membership) suspect(now timekeeper.Millis, name string) {
	m, found := h.members[name]
	if !found || m.State != StateLive {
		return
	}
	h.log("watcher: %s is suspected, it has %d ms to respond", name, h.settings.SuspicionTimeout)
	h.setMember(m.WithState(StateSuspect))
	h.suspicionDeadlines[name] = now + h.settings.SuspicionTimeout
}

// nextTarget returns the next host to probe, or false if there is none. Each
// round probes all hosts that are not leaving, in a newly shuffled order. Dead
// hosts are probed too, to detect that they are live again.
func (h *Membership) nextTarget() (Member, bool) {
	for range 2 {
		for len(h.probeOrder) > 0 {
			name := h.probeOrder[0]
			h.probeOrder = h.probeOrder[1:]
			if m, found := h.members[name]; found && m.State != StateLeaving {
				return m, true
			}
		}
		h.probeOrder = h.shuffledHosts()
	}
	return Member{}, false
}

// shuffledHosts returns the names of all other hosts in a pseudo-random order.
func (h *Membership) shuffledHosts() []string {
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

// ping returns a ping and records it as a probe.
func (h *Membership) ping(now timekeeper.Millis, to Member) Envelope {
	h.lastSeqNo++
	h.probes[h.lastSeqNo] = probe{target: to.Name, deadline: now + h.settings.ProbeTimeout}
	return Envelope{To: to, Message: h.message(TypePing, h.lastSeqNo, "")}
}

// message returns a message with the updates that have most transmissions left,
// and counts one transmission for each.
func (h *Membership) message(t Type, seqNo uint64, target string) Message {
	m := Message{Type: t, From: h.self, SeqNo: seqNo, Target: target, ListsVersion: h.ListsVersion}
	names := make([]string, 0, len(h.transmitsLeft))
	for name := range h.transmitsLeft {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if c := cmp.Compare(h.transmitsLeft[b], h.transmitsLeft[a]); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	for _, name := range names {
		if len(m.Updates) == maxUpdatesPerMessage {
			break
		}
		m.Updates = append(m.Updates, h.members[name])
		h.transmitsLeft[name]--
		if h.transmitsLeft[name] <= 0 {
			delete(h.transmitsLeft, name)
		}
	}
	return m
}

// HandleMessage merges the sender's entry and updates, and returns the messages
// to send in response.
func (h *Membership) HandleMessage(now timekeeper.Millis, m Message) []Envelope {
	h.mergeSelfReport(m.From)
	for _, member := range m.Updates {
		h.mergeUpdate(now, member)
	}
	switch m.Type {
	case TypePing:
		return []Envelope{{To: h.members[m.From.Name], Message: h.message(TypeAck, m.SeqNo, "")}}
	case TypePingReq:
		target, found := h.members[m.Target]
		if !found {
			return nil
		}
		envelope := h.ping(now, target)
		p := h.probes[h.lastSeqNo]
		p.requester = m.From.Name
		p.requesterSeqNo = m.SeqNo
		h.probes[h.lastSeqNo] = p
		return []Envelope{envelope}
	}
	return h.handleAck(m)
}

// handleAck completes a probe, and forwards the ack if another host asked for
// the probe. Acks of unknown probes are ignored.
func (h *Membership) handleAck(m Message) []Envelope {
	p, found := h.probes[m.SeqNo]
	if !found {
		return nil
	}
	delete(h.probes, m.SeqNo)
	if p.requester == "" {
		return nil
	}
	requester, found := h.members[p.requester]
	if !found {
		return nil
	}
	forward := h.message(TypeAck, p.requesterSeqNo, "")
	forward.Updates = append([]Member{m.From}, forward.Updates...)
	return []Envelope{{To: requester, Message: forward}}
}
