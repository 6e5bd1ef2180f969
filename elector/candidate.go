package elector

import (
	"slices"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// statusPoll is the responses of a group's servers, except the recorded primary, to a
// request for their status.
type statusPoll struct {
	// servers are the servers that were asked, sorted by ID.
	servers  []cataloger.Server
	statuses map[string]ServerStatus
	// pending counts the responses that are missing.
	pending int
}

// pollStatus requests the status of every server of a group but the primary, and calls
// done once each has responded or failed. Without such a server, done is not called.
func (e *Elector) pollStatus(g *group, done func(timekeeper.Millis)) {
	c := &g.change
	poll := &statusPoll{statuses: map[string]ServerStatus{}}
	c.poll = poll
	for _, s := range e.members(g.name) {
		if s.ID != g.primary() {
			poll.servers = append(poll.servers, s)
		}
	}
	poll.pending = len(poll.servers)
	for _, s := range poll.servers {
		e.inspect(s, InspectRequest{}, func(now timekeeper.Millis, status ServerStatus, err error) {
			if c.poll != poll {
				return
			}
			poll.pending--
			if err == nil {
				poll.statuses[s.ID] = status
			}
			if poll.pending == 0 {
				done(now)
			}
		})
	}
}

// mostAdvanced returns the ID of the server with the highest received position, or "" if
// no server has responded. Of equal servers it returns one that is not leaving.
func (p *statusPoll) mostAdvanced(includeLeaving bool) string {
	best, bestLeaving := "", false
	for _, s := range p.servers {
		status, responded := p.statuses[s.ID]
		if !responded || s.Leaving && !includeLeaving {
			continue
		}
		have := p.statuses[best].Received
		if best == "" || have.Before(status.Received) || bestLeaving && !s.Leaving && have == status.Received {
			best, bestLeaving = s.ID, s.Leaving
		}
	}
	return best
}

// newerPrimary returns the ID of the server that is the primary of the newest term above
// term, or "" if there is none.
func (p *statusPoll) newerPrimary(term int64) string {
	best := ""
	for _, s := range p.servers {
		if status := p.statuses[s.ID]; status.Primary && status.Term > term {
			best, term = s.ID, status.Term
		}
	}
	return best
}

// returnedPrimary returns the ID of the server that is the primary of the recorded term
// under another ID than the recorded one, or "". A primary that starts again gets another
// ID, and the recorded ID may never have been that of a server. A promotion of it would
// change nothing. If another server may be promoted by an earlier request, the term may
// end at any moment, so the server is left out.
func (e *Elector) returnedPrimary(g *group) string {
	for _, s := range g.change.poll.servers {
		status := g.change.poll.statuses[s.ID]
		_, pending := e.serversByID[g.record.Successor]
		pending = pending && g.record.Successor != s.ID
		if status.Primary && status.Term == g.record.Term && !pending && !status.Received.Before(g.change.required()) && e.holdsAcknowledged(g, s.ID) {
			return s.ID
		}
	}
	return ""
}

// withoutPrimary returns the poll without the servers that are the primary of a term, since
// the platform does not promote a present primary.
func (p *statusPoll) withoutPrimary(term int64) *statusPoll {
	return &statusPoll{statuses: p.statuses, servers: slices.DeleteFunc(slices.Clone(p.servers), func(s cataloger.Server) bool {
		status := p.statuses[s.ID]
		return status.Primary && status.Term == term
	})}
}

// LogHolder is a server whose log may hold commits that no other server has.
type LogHolder struct {
	Server  string            `json:"server"`
	Address string            `json:"address"`
	Started timekeeper.Millis `json:"started,omitempty"`
}

// isAt reports whether a server has the holder's log: it is the same one and has not
// started again without its log, or the log was transferred to it, which happens at the
// holder's address.
func (h LogHolder) isAt(s cataloger.Server) bool {
	if s.ID == h.Server {
		return s.Started == h.Started
	}
	return s.Address == h.Address && s.Address != ""
}

// logHolders returns the servers to which a primary with synchronous replicas may have
// sent commits before it acknowledged them. A leaving server counts until it ends.
func (e *Elector) logHolders(g *group) []LogHolder {
	var out []LogHolder
	for _, s := range e.members(g.name) {
		if s.ID != g.primary() {
			out = append(out, LogHolder{Server: s.ID, Address: s.Address, Started: s.Started})
		}
	}
	return out
}

// required returns the highest position that is known to be in the old primary's log.
func (c *change) required() sequencer.Position {
	return sequencer.Max(c.finalPosition, c.highestPosition)
}

// pickSuccessor returns the server to promote, or "" to wait. It is the most advanced
// server that does not leave, or else one that leaves, if it has received everything that
// is known to be committed. After CatchUpTimeout it is the most advanced server. In a group
// with synchronous replicas it is a server that has every acknowledged commit, whatever
// else the old primary has committed, as long as such a server can return.
func (e *Elector) pickSuccessor(now timekeeper.Millis, g *group) string {
	c := &g.change
	promotable := c.poll.withoutPrimary(g.record.Term)
	best := promotable.mostAdvanced(true)
	if best == "" {
		return ""
	}
	for _, id := range []string{promotable.mostAdvanced(false), best} {
		if id != "" && !c.poll.statuses[id].Received.Before(c.required()) && e.holdsAcknowledged(g, id) {
			return id
		}
	}
	if e.holdsAcknowledged(g, best) && (len(g.record.Holders) > 0 || now-c.announced >= e.settings.CatchUpTimeout) {
		return best
	}
	switch {
	case now-c.announced < e.settings.CatchUpTimeout:
		return ""
	case e.holdersLost(now, g):
		e.log("gives up acknowledged commits: the servers that may hold them are gone", observer.F("group", g.name), observer.F("server", best),
			observer.F("received", c.poll.statuses[best].Received.String()), observer.F("seen", c.required().String()))
		return best
	case !c.waitLogged:
		c.waitLogged = true
		e.log("waits for a server that may hold acknowledged commits", observer.F("group", g.name), observer.F("best", best),
			observer.F("received", c.poll.statuses[best].Received.String()), observer.F("seen", c.required().String()))
	}
	return ""
}

// holdsAcknowledged reports whether a server's log is known to hold every commit that the
// old primary has acknowledged with a synchronous replica. That is so if it has all of the
// log of an old primary that has stepped down, or if all servers that may have received a
// commit have responded and none has more. If some do not respond, the server must have
// what the daemons have seen, and each of them must have seen something.
// Without synchronous replicas, commits may be lost with the primary, and it reports true.
func (e *Elector) holdsAcknowledged(g *group, id string) bool {
	c := &g.change
	received := c.poll.statuses[id].Received
	switch {
	case len(g.record.Holders) == 0:
		return true
	case received.Offset < g.record.History.Start() || received.Before(c.finalPosition):
		return false
	case !c.finalPosition.IsZero() && !c.finalPosition.Before(c.highestPosition):
		return true
	case len(c.poll.unheard(g.record.Holders)) == 0:
		return received == c.poll.statuses[c.poll.mostAdvanced(true)].Received
	}
	return c.allSeen && !received.Before(c.required())
}

// unheard returns the holders whose logs no response shows.
func (p *statusPoll) unheard(holders []LogHolder) []LogHolder {
	return slices.DeleteFunc(slices.Clone(holders), func(h LogHolder) bool {
		return slices.ContainsFunc(p.servers, func(s cataloger.Server) bool {
			_, responded := p.statuses[s.ID]
			return responded && h.isAt(s)
		})
	})
}

// holdersLost reports whether no server that may hold acknowledged commits has been
// registered for LostServerTimeout: the old primary and the holders that do not respond.
func (e *Elector) holdersLost(now timekeeper.Millis, g *group) bool {
	c := &g.change
	_, registered := e.serversByID[g.record.Primary]
	for _, h := range c.poll.unheard(g.record.Holders) {
		registered = registered || slices.ContainsFunc(e.members(g.name), h.isAt)
	}
	if registered {
		c.holderSeenAt = now
	}
	return now-max(c.holderSeenAt, c.announced) >= e.settings.LostServerTimeout
}
