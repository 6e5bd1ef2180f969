package limiter

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// role is a daemon's place in the order of a shard.
type role int

const (
	roleNone role = iota
	// roleFirst is that of the coordinator.
	roleFirst
	// roleSecond is that of the deputy.
	roleSecond
)

const (
	// pingPeriod is the time between two pings of the deputy to the coordinator.
	pingPeriod timekeeper.Millis = 100
	// deputyDelay is the silence after which coordinator and deputy presume that they
	// are cut off from each other. Each then grants half of the rate share, because the
	// other may serve part of the gateways.
	deputyDelay timekeeper.Millis = 300
	// halfPart is what each of them grants then.
	halfPart = 0.5
	// departureHold is how long after a daemon has disappeared from the list of live
	// hosts it may still grant tokens: that long it may use servers without reaching
	// the store.
	departureHold timekeeper.Millis = 20_000
	// joinDelay is how long a coordinator grants nothing that its deputy has never
	// called. A joining host is known to all others within this time.
	joinDelay timekeeper.Millis = 8000
)

// standing is this daemon's role in a shard and what it knows about the other daemon
// that may grant the domain's tokens.
type standing struct {
	role  role
	order []placer.Host
	hosts int
	// since is when the role began. grantsSince is when the daemon began to grant
	// tokens, and takenOver says that another one did before.
	since, grantsSince timekeeper.Millis
	takenOver          bool
	// deputyAt is when the coordinator last heard from the deputy, 0 if never in this
	// role, and deputyGrants and deputyLeaves what that said.
	deputyAt                   timekeeper.Millis
	deputyGrants, deputyLeaves bool
	// answeredAt is when the coordinator last answered the deputy, and firstLeaves what
	// it said.
	answeredAt  timekeeper.Millis
	firstLeaves bool
	nextPing    timekeeper.Millis
	// holdUntil is until when a daemon that has disappeared may grant tokens.
	holdUntil timekeeper.Millis
	granting  bool
	pings     int64
	// handover says that a daemon that was the coordinator has not yet told its
	// successor what passes between the domains. settled says that a successor knows.
	handover, settled bool
}

// part returns which part of the domain's rate share this daemon may grant.
func (s *shard) part(now timekeeper.Millis) float64 {
	switch s.role {
	case roleNone:
		return 0
	case roleSecond:
		if now-max(s.answeredAt, s.since) > deputyDelay {
			return halfPart
		}
		return 0
	case roleFirst:
	}
	switch {
	case now < s.holdUntil:
		return halfPart
	case len(s.order) < 2 || s.deputyLeaves:
		return 1
	case s.deputyAt == 0 && !s.takenOver && now-s.since < joinDelay:
		return 0
	case s.deputyAt == 0, s.deputyGrants, now-s.deputyAt > deputyDelay:
		return halfPart
	}
	return 1
}

// unsettled reports whether a coordinator does not know yet what other domains use of
// its rate share.
func (s *shard) unsettled(now timekeeper.Millis) bool {
	if s.role != roleFirst || s.settled || now-s.grantsSince > silenceLimit {
		return false
	}
	for _, p := range s.peers {
		if p.heardAt < s.grantsSince && p.removedAt == 0 {
			return true
		}
	}
	return false
}

// startTokens returns what the bucket of an account holds that had no operation so far.
func (s *shard) startTokens() float64 {
	if s.takenOver {
		return takeoverTokens
	}
	return initialTokens
}

func (c *Coordinator) setPlacement(now timekeeper.Millis, p placer.Placement, shards int) {
	c.placement = p
	domains := p.Domains()
	own := p.Self().Domain
	if len(c.shards) != shards {
		c.shards = nil
		for i := range shards {
			c.shards = append(c.shards, &shard{coord: c, number: i, accounts: map[string]*tally{}, peers: map[string]*peer{}})
		}
	}
	for _, s := range c.shards {
		s.setOrder(now, p.OrderIn(own, shardKey(s.number)), p.Self().Name)
		s.hosts = domains[own]
		if !p.Partial() {
			s.setPeers(now, p)
		}
	}
}

// setOrder sets the domain's hosts in the shard's order.
func (s *shard) setOrder(now timekeeper.Millis, order []placer.Host, self string) {
	before, roleBefore := s.order, s.role
	next := roleNone
	switch {
	case order[0].Name == self:
		next = roleFirst
	case len(order) > 1 && order[1].Name == self:
		next = roleSecond
	}
	present := func(name string) bool {
		return slices.ContainsFunc(order, func(h placer.Host) bool { return h.Name == name })
	}
	silentFirst := roleBefore == roleSecond && !present(before[0].Name) && now-s.answeredAt > deputyDelay && !s.firstLeaves
	silentSecond := roleBefore == roleFirst && len(before) > 1 && !present(before[1].Name) && now-s.deputyAt > deputyDelay && !s.deputyLeaves
	if silentFirst || silentSecond {
		s.holdUntil = now + departureHold
	}
	secondChanged := len(before) > 1 != (len(order) > 1) || len(before) > 1 && before[1].Name != order[1].Name
	if next != roleBefore || next == roleFirst && secondChanged || next == roleSecond && before[0].Name != order[0].Name {
		s.deputyAt, s.deputyGrants, s.deputyLeaves, s.answeredAt, s.firstLeaves = 0, false, false, 0, false
		s.since = now
		if next == roleFirst && roleBefore == roleFirst {
			s.deputyAt = now // the same daemon goes on, and the deputy is a new one
		}
	}
	s.order, s.role = order, next
	if next == roleBefore {
		return
	}
	s.takenOver = roleBefore != roleNone
	s.handover = next == roleSecond && roleBefore == roleFirst
	if next == roleNone {
		clear(s.accounts)
	}
	s.updateGranting(now)
}

// updateGranting records whether this daemon grants tokens. One that begins to starts
// with nearly empty buckets.
func (s *shard) updateGranting(now timekeeper.Millis) {
	grants := s.part(now) > 0
	if grants == s.granting {
		return
	}
	s.granting = grants
	if grants {
		s.takenOver = s.takenOver || s.role == roleSecond
		s.startGranting(now)
	}
	if s.role == roleSecond {
		s.coord.deps.Log(observer.Decision{Part: "limits", Outcome: "deputy grants tokens", Inputs: []observer.Field{
			observer.F("shard", s.number), observer.F("granting", grants), observer.F("coordinator", s.order[0].Name), observer.F("answered", int64(now-s.answeredAt)),
		}})
	}
}

// startGranting empties the buckets but for a few tokens.
func (s *shard) startGranting(now timekeeper.Millis) {
	s.grantsSince, s.settled = now, false
	for _, t := range s.accounts {
		t.bucket = bucket{tokens: min(t.bucket.tokens, takeoverTokens), refilledAt: now}
	}
}

// setPeers sets the coordinators of the other domains.
func (s *shard) setPeers(now timekeeper.Millis, p placer.Placement) {
	domains := p.Domains()
	for domain, hosts := range domains {
		if domain == p.Self().Domain {
			continue
		}
		if s.peers[domain] == nil {
			s.peers[domain] = &peer{}
		}
		other := s.peers[domain]
		other.hosts, other.removedAt = hosts, 0
		other.host = p.OrderIn(domain, shardKey(s.number))[0]
	}
	for domain, other := range s.peers {
		if domains[domain] == 0 && other.removedAt == 0 {
			other.removedAt = now
		}
	}
}

// dropDepartedPeers forgets domains whose last host has disappeared long ago. Their rate
// share then goes to the others.
func (s *shard) dropDepartedPeers(now timekeeper.Millis) {
	maps.DeleteFunc(s.peers, func(domain string, p *peer) bool {
		gone := p.removedAt > 0 && now-p.removedAt > departureHold
		if gone {
			s.coord.deps.Log(observer.Decision{Part: "limits", Outcome: "domain has no hosts", Inputs: []observer.Field{observer.F("domain", domain)}})
			for _, t := range s.accounts {
				delete(t.gifts, domain)
			}
		}
		return gone
	})
}

// resume is called when the daemon was frozen: its tokens are stale, and others may
// have granted some in the meantime.
func (c *Coordinator) resume(now timekeeper.Millis) {
	for _, s := range c.shards {
		s.startGranting(now)
		for _, t := range s.accounts {
			for _, g := range t.gifts {
				g.held = 0
			}
		}
	}
}

// tick handles time limits.
func (c *Coordinator) tick(now timekeeper.Millis) {
	for _, s := range c.shards {
		s.dropDepartedPeers(now)
		s.tickDemand(now)
		s.updateGranting(now)
	}
	if now >= c.sweepAt {
		c.sweepAt = now + idleRetention/4
		for _, s := range c.shards {
			s.sweep(now)
		}
	}
}

// requests returns the messages to other coordinators that are due.
func (c *Coordinator) requests(now timekeeper.Millis) []Message {
	var out []Message
	for _, s := range c.shards {
		out = append(out, s.messages(now)...)
		if s.role == roleSecond && now >= s.nextPing {
			s.nextPing = now + pingPeriod
			s.pings++
			ping := DemandRequest{
				From: c.placement.Self().Name, Domain: c.placement.Self().Domain, Shard: s.number, Epoch: c.epoch, Number: s.pings,
				Ping: true, Granting: s.granting, Leaving: c.leaving, Handover: s.handover,
			}
			if s.handover {
				ping.State = s.state()
			}
			out = append(out, Message{To: s.order[0], Demand: &ping})
		}
	}
	return out
}

// pinged handles a ping of the deputy.
func (s *shard) pinged(now timekeeper.Millis, r DemandRequest) DemandAnswer {
	if s.role == roleFirst && len(s.order) > 1 && r.From == s.order[1].Name {
		s.deputyAt, s.deputyGrants, s.deputyLeaves = now, r.Granting, r.Leaving
		s.updateGranting(now)
		if r.Handover && !s.settled && now-s.grantsSince < silenceLimit {
			s.setState(now, r.State)
			s.settled = true
		}
	}
	return DemandAnswer{State: s.state(), Leaving: s.coord.leaving}
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

// shares returns the rate shares that this daemon grants.
func (c *Coordinator) shares(now timekeeper.Millis) map[string]float64 {
	out := map[string]float64{}
	for _, s := range c.shards {
		if s.role == roleNone {
			continue
		}
		for name, t := range s.accounts {
			out[name] = s.share(now, t)
		}
	}
	return out
}
