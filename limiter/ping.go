package limiter

import (
	"cmp"
	"slices"

	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// requests returns the messages to other coordinators that are due.
func (c *Coordinator) requests(now timekeeper.Millis) []Message {
	var out []Message
	for _, s := range c.shards {
		out = append(out, s.messages(now)...)
		out = append(out, s.loans()...)
		if now < s.nextPing {
			continue
		}
		s.nextPing = now + pingPeriod
		if s.resignedAt > 0 {
			out = append(out, Message{To: s.resignTo, Demand: s.ping(DemandRequest{Ping: true, Resigned: true})})
			if now-s.resignedAt > resignTime {
				s.resignedAt = 0
			}
		}
		switch {
		case s.role == roleSecond:
			ping := s.ping(DemandRequest{Ping: true, Granting: s.granting, Leaving: c.leaving, Handover: s.handover, Want: now >= s.stateAt, Known: s.known})
			if ping.Want {
				s.stateAt = now + statePeriod
			}
			if s.handover {
				ping.State = s.state()
			}
			out = append(out, Message{To: s.order[0], Demand: ping})
		case s.watches(now):
			for _, h := range s.order[:2] {
				out = append(out, Message{To: h, Demand: s.ping(DemandRequest{Watch: true})})
			}
		case s.role == roleFirst && len(s.order) > 1 && now-s.deputies[s.order[1].Name].at > deputyDelay:
			out = append(out, Message{To: s.order[1], Demand: s.ping(DemandRequest{Claim: true, Address: c.placement.Self().Address})})
		}
	}
	return out
}

// ping fills in the sender of a message to a daemon of the same domain.
func (s *shard) ping(r DemandRequest) *DemandRequest {
	s.pings++
	r.From, r.Domain, r.Shard = s.coord.placement.Self().Name, s.coord.placement.Self().Domain, s.number
	r.Epoch, r.Number = s.coord.epoch, s.pings
	return &r
}

// pinged handles a ping of a deputy, or the claim of a coordinator.
func (s *shard) pinged(now timekeeper.Millis, r DemandRequest) DemandAnswer {
	if r.Claim {
		s.claim(now, placer.Host{Name: r.From, Domain: r.Domain, Address: r.Address})
	}
	if r.Ping && s.role == roleFirst {
		s.deputies[r.From] = deputy{at: now, grants: r.Granting, resigns: r.Resigned || r.Leaving, leaves: r.Leaving}
		s.updateGranting(now)
		if r.Handover && !s.settled && now-s.grantsSince < silenceLimit {
			s.setState(now, r.State)
			s.settled = true
		}
	}
	a := DemandAnswer{Leaving: s.coord.leaving}
	if r.Ping && s.role == roleFirst && r.From == s.deputyName() {
		s.stateKnown(now, r.Known)
	}
	if r.Ping && (r.Want || s.dirty) {
		s.stateNumber++
		s.dirty, s.stateHeard = false, map[string]int64{}
		for domain, p := range s.peers {
			s.stateHeard[domain] = p.heard
		}
		a.Full = s.stateNumber
		a.State = s.state()
	}
	if len(s.order) > 0 {
		a.Host, a.Address = s.order[0].Name, s.order[0].Address
	}
	return a
}

// deputyName returns the name of the deputy in this daemon's list.
func (s *shard) deputyName() string {
	if len(s.order) < 2 {
		return ""
	}
	return s.order[1].Name
}

// stateKnown handles the deputy's confirmation of a state: gifts that were in it can be
// announced, and messages that went into it confirmed.
func (s *shard) stateKnown(now timekeeper.Millis, number int64) {
	if number != s.stateNumber || s.stateHeard == nil || !s.deputyInTouch(now) {
		return
	}
	for domain, heard := range s.stateHeard {
		p := s.peers[domain]
		if p == nil {
			continue
		}
		p.changed = p.changed || p.lowered
		p.confirms = max(p.confirms, min(heard, p.heard))
		p.lowered = p.lowered && p.confirms < p.heard
	}
	s.stateHeard = nil
	for _, t := range s.accounts {
		for domain, g := range t.gifts {
			if p := s.peers[domain]; p != nil && min(g.planned, g.told) > g.given {
				s.refill(now, t)
				g.given, p.changed = min(g.planned, g.told), true
				g.charged = max(g.charged, g.given)
			}
		}
	}
}

// state returns what passes between this domain and the others.
func (s *shard) state() []StateEntry {
	var out []StateEntry
	for name, t := range s.accounts {
		for domain, g := range t.gifts {
			g.told = g.planned
			if g.charged > 0 || g.held > 0 {
				out = append(out, StateEntry{Account: name, Domain: domain, Given: max(g.charged, g.planned), Held: g.held, Demand: g.demand})
			}
		}
	}
	slices.SortFunc(out, func(a, b StateEntry) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Domain, b.Domain))
	})
	return out
}

// setState replaces what passes between this domain and the others.
func (s *shard) setState(now timekeeper.Millis, state []StateEntry) {
	for _, t := range s.accounts {
		clear(t.gifts)
	}
	for _, e := range state {
		if t := s.tally(now, e.Account); t != nil {
			*t.gift(e.Domain) = gift{given: e.Given, charged: e.Given, held: e.Held, demand: e.Demand}
		}
	}
}

// pingAnswered handles the coordinator's answer to a ping.
func (c *Coordinator) pingAnswered(now timekeeper.Millis, number int, from string, a DemandAnswer) {
	if number >= len(c.shards) {
		return
	}
	s := c.shards[number]
	if from == s.claimant.Name && a.Host == from && s.claimedAt > 0 {
		s.claimedAt = now
	}
	if a.Host != from {
		s.claim(now, placer.Host{Name: a.Host, Domain: c.placement.Self().Domain, Address: a.Address})
	}
	if s.role == roleSpare && from == s.order[1].Name || s.role == roleSpare && from == s.order[0].Name {
		s.answeredAt = now
		s.updateGranting(now)
		return
	}
	if s.role != roleSecond || from != s.order[0].Name {
		return
	}
	s.answeredAt, s.firstLeaves = now, a.Leaving
	if s.handover {
		s.handover = false
		return
	}
	if a.Full > 0 {
		s.known, s.nextPing = a.Full, now // confirm it at once
		s.setState(now, a.State)
	}
	s.updateGranting(now)
}
