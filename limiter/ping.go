package limiter

import (
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
			out = append(out, Message{To: s.resignTo, Demand: s.ping(DemandRequest{Ping: true, Leaving: true})})
			if now-s.resignedAt > resignTime {
				s.resignedAt = 0
			}
		}
		switch {
		case s.role == roleSecond:
			ping := s.ping(DemandRequest{Ping: true, Granting: s.granting, Leaving: c.leaving, Handover: s.handover})
			if s.handover {
				ping.State = s.state()
			}
			out = append(out, Message{To: s.order[0], Demand: ping})
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
		s.deputies[r.From] = deputy{at: now, grants: r.Granting, resigns: r.Leaving}
		s.updateGranting(now)
		if r.Handover && !s.settled && now-s.grantsSince < silenceLimit {
			s.setState(now, r.State)
			s.settled = true
		}
	}
	a := DemandAnswer{Leaving: s.coord.leaving}
	if r.Ping {
		a.State = s.state()
	}
	if len(s.order) > 0 {
		a.Host, a.Address = s.order[0].Name, s.order[0].Address
	}
	return a
}

// state returns what passes between this domain and the others.
func (s *shard) state() []StateEntry {
	var out []StateEntry
	for _, name := range sortedBy(s.accounts) {
		t := s.accounts[name]
		for _, domain := range sortedBy(t.gifts) {
			if g := t.gifts[domain]; g.charged > 0 || g.held > 0 {
				out = append(out, StateEntry{Account: name, Domain: domain, Given: g.charged, Held: g.held, Demand: g.demand})
			}
		}
	}
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
	if s.role != roleSecond || from != s.order[0].Name {
		return
	}
	s.answeredAt, s.firstLeaves = now, a.Leaving
	if s.handover {
		s.handover = false
		return
	}
	s.setState(now, a.State)
	s.updateGranting(now)
}
