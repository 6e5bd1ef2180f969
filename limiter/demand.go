package limiter

import (
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Demand handles a message of another domain's coordinator or a ping of the deputy.
func (c *Coordinator) Demand(now timekeeper.Millis, r DemandRequest) DemandAnswer {
	if r.Shard >= len(c.shards) {
		return DemandAnswer{}
	}
	s := c.shards[r.Shard]
	s.updateGranting(now)
	if r.Domain == c.placement.Self().Domain {
		return s.pinged(now, r)
	}
	p := s.peers[r.Domain]
	if p == nil || s.role != roleFirst {
		return DemandAnswer{}
	}
	if r.From != p.from || r.Epoch != p.epoch {
		if r.From != p.host.Name && p.from == p.host.Name && now-p.heardAt < silenceLimit {
			return DemandAnswer{} // the coordinator in this daemon's order is live
		}
		p.from, p.epoch, p.heard, p.confirms = r.From, r.Epoch, 0, 0
	}
	if r.Number <= p.heard {
		return DemandAnswer{}
	}
	p.heard, p.heardAt = r.Number, now
	defer func() {
		if !p.lowered || s.alone() {
			p.lowered, p.confirms = false, p.heard
		}
	}()
	if r.HeardEpoch == c.epoch {
		p.confirmed = max(p.confirmed, min(r.Heard, p.sent))
	}
	s.applyEntries(now, r, p)
	return DemandAnswer{}
}

// applyEntries takes over what another domain says about the accounts. Accounts that it
// leaves out have no demand there and nothing passes from it.
func (s *shard) applyEntries(now timekeeper.Millis, r DemandRequest, p *peer) {
	named, touched := map[string]bool{}, map[string]bool{}
	for _, e := range r.Entries {
		t := s.tally(now, e.Account)
		if t == nil {
			continue
		}
		named[e.Account], touched[e.Account] = true, true
		g := t.gift(r.Domain)
		s.refill(now, t)
		if e.Gift < g.held {
			p.lowered, s.dirty = true, true
		}
		g.demand, g.held = e.Demand, e.Gift
		g.charged = max(g.charged, e.Uses)
		if g.charged > g.given && g.loweredIn == 0 {
			g.loweredIn = p.sent + 1
		}
	}
	for name, t := range s.accounts {
		g := t.gifts[r.Domain]
		if g == nil {
			continue
		}
		if !named[name] && (g.held > 0 || g.demand > 0) {
			s.refill(now, t)
			if g.held > 0 {
				p.lowered, s.dirty = true, true
			}
			g.held, g.demand = 0, 0
			touched[name] = true
		}
		if g.charged > g.given && g.loweredIn > 0 && p.confirmed >= g.loweredIn {
			s.refill(now, t)
			g.charged, g.loweredIn = g.given, 0
			touched[name] = true
		}
	}
	for _, name := range sortedBy(touched) {
		s.rebalance(now, s.accounts[name])
	}
}

// messages returns the messages to other domains that are due.
func (s *shard) messages(now timekeeper.Millis) []Message {
	if s.role != roleFirst || len(s.accounts) == 0 {
		return nil
	}
	var out []Message
	for _, domain := range sortedBy(s.peers) {
		p := s.peers[domain]
		due := now >= p.nextSend || p.changed && now >= p.sentAt+minDemandPeriod
		if !due || p.host.Name == "" {
			continue
		}
		entries := s.entries(now, domain)
		p.sentAt, p.nextSend, p.changed = now, now+min(demandPeriod*timekeeper.Millis(1+len(entries)/entriesPerPeriod), maxDemandPeriod), false
		if len(entries) == 0 && !p.toldEntries {
			continue
		}
		p.toldEntries = len(entries) > 0
		p.sent++
		r := DemandRequest{
			From: s.coord.placement.Self().Name, Domain: s.coord.placement.Self().Domain, Shard: s.number, Epoch: s.coord.epoch,
			Number: p.sent, Heard: p.confirms, HeardEpoch: p.epoch, Entries: entries,
		}
		out = append(out, Message{To: p.host, Demand: &r})
	}
	return out
}

// entries returns what another domain is told about the accounts.
func (s *shard) entries(now timekeeper.Millis, domain string) []DemandEntry {
	var out []DemandEntry
	for _, name := range sortedBy(s.accounts) {
		t := s.accounts[name]
		g := t.gift(domain)
		e := DemandEntry{Account: name, Demand: t.demandNow(now), Gift: g.given, Uses: g.held}
		if e.Demand < minDemand {
			e.Demand = 0
		}
		if e.Demand > 0 || e.Gift > 0 || e.Uses > 0 || g.charged > 0 {
			out = append(out, e)
		}
	}
	return out
}

// tickDemand ends the demand of accounts without operations and forgets idle ones.
func (s *shard) tickDemand(now timekeeper.Millis) {
	for _, name := range sortedBy(s.accounts) {
		t := s.accounts[name]
		before := t.demand
		t.count(now, 0)
		if t.demand < minDemand {
			t.demand = 0
		}
		if t.demand != before {
			s.refill(now, t)
			s.rebalance(now, t)
			if t.demand > 2*before || before > 2*t.demand {
				for _, p := range s.peers {
					p.changed = p.changed || t.demand+before > 1
				}
			}
		}
	}
}

// sweep forgets accounts that have been idle for long.
func (s *shard) sweep(now timekeeper.Millis) {
	for name, t := range s.accounts {
		idle := t.demand == 0 && now-t.usedAt > idleRetention
		for _, g := range t.gifts {
			idle = idle && g.charged == 0 && g.held == 0 && g.demand == 0
		}
		if idle {
			delete(s.accounts, name)
		}
	}
}
