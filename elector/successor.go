package elector

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// chooseSuccessor chooses the next primary among the group's servers, see pickSuccessor.
// A server that is already the primary of a newer term is chosen at once.
func (e *Elector) chooseSuccessor(now timekeeper.Millis, g *group) {
	c := &g.change
	c.due = now + 4*retryInterval
	e.pollStatus(g, func(now timekeeper.Millis) {
		if g.change.stage != stageChoose {
			return
		}
		c.due = now + minRemaining
		if newer := c.poll.newerPrimary(g.record.Term); newer != "" {
			c.successor, c.stage, c.confirmSince, c.due = newer, stageConfirm, now, now
			return
		}
		if returned := e.returnedPrimary(g); returned != "" {
			c.successor, c.stage, c.due = returned, stageConfirm, now
			e.finishChange(now, g, returned, c.poll.statuses[returned])
			return
		}
		successor := e.pickSuccessor(now, g)
		if successor == "" {
			if old, registered := e.serversByID[g.record.Primary]; registered {
				e.returnToOldPrimary(now, g, old)
			}
			return
		}
		received := c.poll.statuses[successor].Received
		if c.poll.statuses[successor].Primary {
			// It is the primary of an older term, which the platform would not promote.
			c.due = now + retryInterval
			e.stepDownAsync(g, e.serversByID[successor])
			return
		}
		e.log("chooses a successor", observer.F("group", g.name), observer.F("server", successor), observer.F("received", received.String()),
			observer.F("final", c.finalPosition.String()), observer.F("seen", c.highestPosition.String()), observer.F("loses", max(c.required().Offset-received.Offset, 0)))
		c.successor, c.stage, c.due = successor, stageClaim, now
		e.claimSuccessor(now, g)
	})
}

// claimSuccessor writes the claim: the primary record with the successor that
// this daemon is about to promote. The store accepts it only from the current
// coordinator, and only if the record is the one that this daemon has read,
// since its rows may be stale.
func (e *Elector) claimSuccessor(now timekeeper.Millis, g *group) {
	c := &g.change
	c.due = now + e.settings.HeartbeatTimeout
	if g.record.ChangeReason == "" || g.record.ChangeNumber != c.number {
		c.due = now + minRemaining
		e.commands = append(e.commands, ReloadRows{})
		return
	}
	number, sentAt := c.number, now
	next := g.record
	next.Successor = c.successor
	e.writeRecord(g, next, func(now timekeeper.Millis, result Result) {
		if g.change.number != number || g.change.stage != stageClaim {
			return
		}
		c.due = now
		if result != Applied {
			e.log("the store does not take the successor", observer.F("group", g.name), observer.F("server", c.successor),
				observer.F("number", number), observer.F("result", result.String()))
			c.stage, c.due = stageChoose, now+retryInterval
			e.commands = append(e.commands, ReloadRows{})
			return
		}
		c.claimSentAt, c.stage = sentAt, stagePromote
		e.promote(now, g)
	})
}

// returnToOldPrimary lets the old primary go on while no other server has received all of
// its commits that are known to the daemons: it cancels the change if the old primary has
// not stepped down, and promotes it again if it has and no other server has caught up in
// time.
func (e *Elector) returnToOldPrimary(_ timekeeper.Millis, g *group, old cataloger.Server) {
	c, number := &g.change, g.change.number
	e.inspect(old, InspectRequest{}, func(now timekeeper.Millis, status ServerStatus, err error) {
		if err != nil || c.number != number || c.stage != stageChoose {
			return
		}
		switch {
		case status.Primary && c.reason == ReasonFailure && e.cancellable(g):
			e.cancelChange(now, g, "the primary responds again")
		case !status.Primary && now-c.announced >= e.settings.CatchUpTimeout/4 && !status.Received.Before(c.required()):
			e.log("promotes the old primary again", observer.F("group", g.name), observer.F("server", old.ID),
				observer.F("received", status.Received.String()), observer.F("seen", c.required().String()))
			c.successor, c.stage, c.due = old.ID, stageClaim, now
			e.claimSuccessor(now, g)
		}
	})
}

// promote asks the platform to promote the successor. A claim older than
// maxClaimAge is written again first.
func (e *Elector) promote(now timekeeper.Millis, g *group) {
	c := &g.change
	if now-c.claimSentAt > maxClaimAge {
		c.stage, c.due = stageClaim, now
		return
	}
	c.due = now + 2*e.settings.SuspectTimeout
	number := c.number
	e.lastCommandID++
	e.pendingPromotions[e.lastCommandID] = func(now timekeeper.Millis, err error) {
		if g.change.number != number || g.change.stage != stagePromote {
			return
		}
		e.log("promotion asked for", observer.F("group", g.name), observer.F("server", c.successor), observer.F("fence", e.coordinator.FencingToken),
			observer.F("error", errorText(err)))
		if err != nil {
			c.due = now + retryInterval
			c.stage = stageChoose
			return
		}
		c.stage, c.confirmSince, c.due = stageConfirm, now, now+minRemaining
	}
	e.commands = append(e.commands, Promote{ID: e.lastCommandID, Promotion: Promotion{
		Group: g.name, Server: c.successor, Holder: e.settings.Self.Name, FencingToken: e.coordinator.FencingToken,
	}})
}

// maxClaimAge is how old a claim may be when the promotion is requested.
// Without it, a daemon that was suspended in between could promote a server
// although it is no longer the coordinator.
const maxClaimAge timekeeper.Millis = 4500

// confirmPrimary polls the successor until it reports that it is the primary of
// a newer term, and then writes it to the primary record, which ends the
// change. If that takes too long, a successor is chosen anew.
func (e *Elector) confirmPrimary(now timekeeper.Millis, g *group) {
	c := &g.change
	server, registered := e.serversByID[c.successor]
	if !registered || now-c.confirmSince > 4*e.settings.SuspectTimeout {
		c.stage, c.due = stageChoose, now
		return
	}
	c.due = now + 2*e.settings.SuspectTimeout
	number := c.number
	e.inspect(server, InspectRequest{}, func(now timekeeper.Millis, status ServerStatus, err error) {
		if g.change.number != number || g.change.stage != stageConfirm {
			return
		}
		c.due = now + confirmInterval
		if err != nil || !status.Primary || status.Term <= g.record.Term {
			return
		}
		e.finishChange(now, g, c.successor, status)
	})
}

// finishChange writes the server that leads the group to the primary record, which ends
// the change. It is the primary of a new term, or that of the recorded one under another
// ID.
func (e *Elector) finishChange(now timekeeper.Millis, g *group, id string, status ServerStatus) {
	c := &g.change
	next := PrimaryRecord{Term: status.Term, Primary: id, ChangeNumber: c.number, LastChangeDuration: now - c.started, History: g.record.History}
	if status.Term > g.record.Term {
		next.History = next.History.WithTerm(status.Term, status.Received.Offset)
	}
	c.due = now + e.settings.SuspectTimeout
	e.log("the successor leads", observer.F("group", g.name), observer.F("server", id), observer.F("term", status.Term), observer.F("before", g.record.Term),
		observer.F("start", next.History.Start()), observer.F("took", int64(next.LastChangeDuration)))
	e.writeRecord(g, next, func(now timekeeper.Millis, result Result) {
		c.due = now + minRemaining
		if result == Applied {
			g.change = change{}
			g.failingBackoffUntil, g.handoverBackoffUntil = now+failingBackoff, now+minTermDuration
		}
		e.commands = append(e.commands, ReloadRows{})
	})
}

// failingBackoff is how long failing statements are no reason for another
// change after a primary change. If the new primary fails statements too, the
// server is not the cause.
const failingBackoff timekeeper.Millis = 20_000

// minTermDuration is how long a new primary that is leaving stays the primary at least.
// Statements that a change has held could time out in a second one right after it, and
// the replicas need up to a second to follow the new primary.
const minTermDuration timekeeper.Millis = 3000

// confirmInterval is the time between two status polls of a promoted successor.
const confirmInterval timekeeper.Millis = 40
