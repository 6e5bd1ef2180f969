package elector

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// stage is how far a change of primary is that this daemon leads.
type stage int

const (
	stageNone stage = iota
	stageCheck
	stageCollect
	stageStepDown
	stageChoose
	stageClaim
	stagePromote
	stageConfirm
)

// change is a change of primary that this daemon leads.
type change struct {
	stage  stage
	number int64
	reason Reason
	// announced is when the store had accepted the announcement.
	announced timekeeper.Millis
	started   timekeeper.Millis
	// final is the last entry of the primary that stepped down.
	final sequencer.Position
	// seen is the highest position that any daemon was told of.
	seen     sequencer.Position
	accounts map[string]ServerStatus
	pending  int
	// round counts surveys, so that late answers to an old one are passed over.
	round  int
	due    timekeeper.Millis
	chosen string
	// claimed is when the claim for the chosen server was sent that the store took.
	claimed timekeeper.Millis
	confirm timekeeper.Millis
}

// reasonFor returns why a group's primary should be changed, as this daemon
// sees it.
func (e *Elector) reasonFor(now timekeeper.Millis, g *group) Reason {
	id := g.primary()
	if id == "" {
		return ""
	}
	server, registered := e.byID[id]
	if registered && server.Leaving {
		return ReasonHandover
	}
	signs := e.deps.PrimaryHealth(g.name, id)
	if signs.FailingSince > 0 && now-signs.FailingSince >= e.settings.SuspectTimeout && now >= g.mendedUntil {
		return ReasonHandover
	}
	if signs.UnresponsiveSince > 0 && now-signs.UnresponsiveSince >= e.settings.SuspectTimeout {
		return ReasonFailure
	}
	return ""
}

// lead starts a change of primary where there is a reason, and carries on the
// one that this daemon leads.
func (e *Elector) lead(now timekeeper.Millis, g *group) {
	if e.leaving || !e.registered() {
		return
	}
	reason := e.reasonFor(now, g)
	if reason != g.reason {
		g.reason, g.since = reason, now
	}
	behind := g.written > 0
	if behind && g.change.stage == stageNone || g.reign.ChangeReason != "" && g.reign.ChangeNumber <= g.finished {
		return
	}
	if g.reign.ChangeReason != "" {
		reason = g.reign.ChangeReason
	}
	if reason == "" && g.change.stage == stageNone {
		return
	}
	if e.duty.Holder != e.settings.Self.Name {
		g.change = change{}
		e.seekDuty(now, g)
		return
	}
	if now < g.change.due || now < g.pausedUntil && g.reign.ChangeReason == "" {
		return
	}
	switch {
	case g.change.stage == stageNone && g.reign.ChangeReason == "":
		e.check(now, g, reason)
	case g.change.stage == stageNone || g.change.stage == stageCheck && g.reign.ChangeReason != "":
		g.change = change{stage: stageCollect, number: g.reign.ChangeNumber, reason: g.reign.ChangeReason, announced: now, started: now}
	case g.reign.ChangeReason == "" && g.change.stage > stageCheck && !behind:
		g.change = change{}
	case g.change.stage == stageCollect:
		e.collect(now, g)
	case g.change.stage == stageStepDown:
		e.stepDown(now, g)
	case g.change.stage == stageChoose:
		e.choose(now, g)
	case g.change.stage == stageClaim:
		e.claim(now, g)
	case g.change.stage == stagePromote:
		e.promote(now, g)
	case g.change.stage == stageConfirm:
		e.confirm(now, g)
	}
}

// seekDuty takes the duty where nobody has it, or its holder gives no sign of
// life while there is a reason for a change.
func (e *Elector) seekDuty(now timekeeper.Millis, g *group) {
	if e.dutyBusy || now < e.dutyDue {
		return
	}
	if e.duty.Holder != "" {
		_, registered := e.hosts[e.duty.Holder]
		started := g.since
		if g.reign.ChangeReason != "" {
			started = g.announced
		}
		if registered && (e.live(now, e.duty.Holder) || now-started < e.settings.HeartbeatTimeout) {
			return
		}
	}
	next := Coordinator{Holder: e.settings.Self.Name, FencingToken: e.duty.FencingToken + 1}
	e.dutyBusy, e.dutyDue = true, now+e.settings.HeartbeatInterval
	e.log("takes the duty of changing primaries", observer.F("holder", e.duty.Holder), observer.F("fence", next.FencingToken),
		observer.F("live", e.live(now, e.duty.Holder)))
	e.write(Transaction{
		Expect: []Row{{Key: dutyKey, Version: e.rows[dutyKey].Version}},
		Set:    []Row{encode(dutyKey, next)},
	}, func(_ timekeeper.Millis, result Result, _ int64) {
		e.dutyBusy = false
		e.log("duty", observer.F("result", result.String()))
		e.out = append(e.out, ReloadRows{})
	})
}

// check looks for a successor before the primary's work is stopped.
func (e *Elector) check(now timekeeper.Millis, g *group, reason Reason) {
	c := &g.change
	if lost := e.lostMember(now); lost != "" && reason == ReasonHandover {
		// Everybody would stop using a primary that serves while the lost daemon's
		// lease lasts. Its registration is deleted before long.
		e.log("puts a handover off: a daemon is lost", observer.F("group", g.name), observer.F("host", lost))
		g.change = change{due: now + e.settings.SuspectTimeout, round: c.round}
		return
	}
	*c = change{stage: stageCheck, reason: reason, started: now, due: now + 4*retryInterval, round: c.round}
	e.survey(g, func(now timekeeper.Millis) {
		if g.change.stage != stageCheck {
			return
		}
		best := bestOf(c.accounts)
		signs := e.deps.PrimaryHealth(g.name, g.primary())
		behind := reason == ReasonHandover && best != "" && c.accounts[best].Received.Offset+handoverGap < signs.HighestPosition.Offset
		if best == "" || behind && now-g.since < e.settings.CatchUpTimeout/2 {
			e.log("no server can succeed the primary now", observer.F("group", g.name), observer.F("reason", string(reason)),
				observer.F("best", best), observer.F("received", c.accounts[best].Received.String()), observer.F("seen", signs.HighestPosition.String()))
			g.change = change{due: now + retryInterval, round: c.round}
			return
		}
		e.announce(now, g, reason)
	})
}

// handoverWait is how long a planned change waits for all releases. The primary
// still serves, so that it is better to go on with it and try again later.
const handoverWait timekeeper.Millis = 1000

// handoverGap is how many entries a successor may lack when a planned change is
// announced; it receives them while work is stopped.
const handoverGap = 20

// announce writes that a change of primary is under way.
func (e *Elector) announce(now timekeeper.Millis, g *group, reason Reason) {
	next := g.reign
	next.Primary = g.primary()
	next.ChangeNumber++
	next.ChangeReason = reason
	if next.Term == 0 {
		next.Term = e.deps.PrimaryHealth(g.name, next.Primary).Term
	}
	if next.Term == 0 {
		for _, account := range g.change.accounts {
			next.Term = max(next.Term, account.Term)
		}
	}
	if len(next.History) == 0 {
		next.History = next.History.WithTerm(next.Term, 0)
	}
	g.change.due = now + e.settings.HeartbeatTimeout
	e.log("announces a change of primary", observer.F("group", g.name), observer.F("reason", string(reason)),
		observer.F("primary", next.Primary), observer.F("term", next.Term), observer.F("number", next.ChangeNumber), observer.F("fence", e.duty.FencingToken))
	e.writeReign(g, next, func(now timekeeper.Millis, result Result) {
		if result != Applied {
			g.change = change{due: now + 3*retryInterval}
			e.out = append(e.out, ReloadRows{})
			return
		}
		if g.change.stage == stageCheck {
			g.change.stage, g.change.number, g.change.announced, g.change.due = stageCollect, next.ChangeNumber, now, 0
		}
		e.out = append(e.out, ReloadRows{})
	})
}

// writeReign replaces a group's row while this daemon has the duty.
func (e *Elector) writeReign(g *group, next PrimaryRecord, done func(timekeeper.Millis, Result)) {
	e.write(Transaction{
		Expect: []Row{{Key: reignPrefix + g.name, Version: max(g.reignVersion, g.written)}, {Key: dutyKey, Version: e.rows[dutyKey].Version}},
		Set:    []Row{encode(reignPrefix+g.name, next)},
	}, func(now timekeeper.Millis, result Result, version int64) {
		g.written = 0
		if result == Applied {
			g.written = version
		}
		if result == Applied && next.ChangeReason == "" {
			g.finished = next.ChangeNumber
		}
		done(now, result)
	})
}

// collect waits until every registered daemon has released the primary or may
// no longer use it.
func (e *Elector) collect(now timekeeper.Millis, g *group) {
	c := &g.change
	lapsed := now >= c.announced+e.settings.LeaseDuration+e.settings.ClockSkew
	var missing []string
	for _, name := range slices.Sorted(maps.Keys(e.hosts)) {
		ack, found := e.acks[g.name][name]
		if !found || ack.ChangeNumber != c.number || ack.Incarnation != e.hosts[name].Incarnation {
			missing = append(missing, name)
			continue
		}
		if ack.Rejects && g.reign.Successor == "" {
			e.cancel(now, g, "a daemon reaches the primary: "+name)
			return
		}
		if ack.Rejects {
			missing = append(missing, name)
			continue
		}
		c.seen = sequencer.Max(c.seen, ack.HighestPosition)
	}
	if len(missing) > 0 && !lapsed {
		if c.reason == ReasonHandover && g.reign.Successor == "" && now-c.announced > handoverWait {
			e.cancel(now, g, "a daemon does not answer: "+missing[0])
			g.pausedUntil = now + e.settings.HeartbeatTimeout
		}
		return
	}
	e.log("the primary is released", observer.F("group", g.name), observer.F("number", c.number), observer.F("lapsed", len(missing)),
		observer.F("took", int64(now-c.announced)), observer.F("seen", c.seen.String()))
	if len(missing) > 0 {
		e.dropLapsed(g, missing)
	}
	c.stage = stageStepDown
	e.stepDown(now, g)
}

// dropLapsed deletes the registrations of daemons whose right to use any
// primary has ended; those that live register again.
func (e *Elector) dropLapsed(g *group, names []string) {
	tx := Transaction{Expect: []Row{{Key: reignPrefix + g.name, Version: g.reignVersion}}}
	for _, name := range names {
		if name != e.settings.Self.Name {
			tx.Expect = append(tx.Expect, Row{Key: hostPrefix + name, Version: e.rows[hostPrefix+name].Version})
			tx.Delete = append(tx.Delete, hostPrefix+name)
		}
	}
	e.write(tx, func(_ timekeeper.Millis, result Result, _ int64) {
		e.log("registrations of lapsed daemons deleted", observer.F("result", result.String()))
	})
}

// stepDown makes the old primary a replica where it can be reached, so that no
// caller's write can succeed there.
func (e *Elector) stepDown(now timekeeper.Millis, g *group) {
	c := &g.change
	server, registered := e.byID[g.reign.Primary]
	if !registered {
		c.stage = stageChoose
		e.choose(now, g)
		return
	}
	number := c.number
	c.due = now + e.settings.HeartbeatTimeout
	if c.reason == ReasonFailure {
		e.tryStepDown(g, server)
		c.stage = stageChoose
		e.choose(now, g)
		return
	}
	e.inspect(server, InspectRequest{Action: ActionStepDown, Term: g.reign.Term + 1}, func(now timekeeper.Millis, account ServerStatus, err error) {
		if g.change.stage != stageStepDown || g.change.number != number {
			return
		}
		c.due = now
		if err != nil && now-c.announced < e.settings.CatchUpTimeout/4 {
			c.due = now + retryInterval/3
			return
		}
		if err == nil {
			c.final = account.Received
		}
		e.log("old primary asked to step down", observer.F("group", g.name), observer.F("server", server.ID),
			observer.F("primary", account.Primary), observer.F("received", account.Received.String()), observer.F("error", errorText(err)))
		c.stage = stageChoose
		e.choose(now, g)
	})
}

// tryStepDown asks a primary that does not answer to step down, without waiting
// for it: nobody here uses it any more, and it may be back any time.
func (e *Elector) tryStepDown(g *group, server cataloger.Server) {
	e.inspect(server, InspectRequest{Action: ActionStepDown, Term: g.reign.Term + 1}, func(_ timekeeper.Millis, account ServerStatus, err error) {
		e.log("silent primary asked to step down", observer.F("group", g.name), observer.F("server", server.ID),
			observer.F("primary", account.Primary), observer.F("received", account.Received.String()), observer.F("error", errorText(err)))
	})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// survey asks all servers that may succeed for their accounts.
func (e *Elector) survey(g *group, done func(timekeeper.Millis)) {
	c := &g.change
	c.accounts = map[string]ServerStatus{}
	c.round++
	round, number := c.round, c.number
	var asked []cataloger.Server
	for _, s := range e.members(g.name) {
		if s.ID != g.primary() && !s.Leaving {
			asked = append(asked, s)
		}
	}
	c.pending = len(asked)
	for _, s := range asked {
		e.inspect(s, InspectRequest{}, func(now timekeeper.Millis, account ServerStatus, err error) {
			if c.number != number || c.round != round {
				return
			}
			c.pending--
			if err == nil {
				c.accounts[s.ID] = account
			}
			if c.pending == 0 {
				done(now)
			}
		})
	}
}

// bestOf returns the server that received most, or an empty text.
func bestOf(accounts map[string]ServerStatus) string {
	best := ""
	for _, id := range slices.Sorted(maps.Keys(accounts)) {
		if best == "" || accounts[best].Received.Before(accounts[id].Received) {
			best = id
		}
	}
	return best
}

// choose picks the successor: the server that received most, once it holds all
// that is known to be committed or patience has ended.
func (e *Elector) choose(now timekeeper.Millis, g *group) {
	c := &g.change
	c.due = now + 4*retryInterval
	e.survey(g, func(now timekeeper.Millis) {
		if g.change.stage != stageChoose {
			return
		}
		c.due = now + resumeLeast
		best := bestOf(c.accounts)
		if best == "" {
			return
		}
		account := c.accounts[best]
		if account.Primary && account.Term > g.reign.Term {
			c.chosen, c.stage, c.confirm, c.due = best, stageConfirm, now, now
			return
		}
		wanted := sequencer.Max(c.final, c.seen)
		if account.Received.Before(wanted) && now-c.announced < e.settings.CatchUpTimeout {
			if old, registered := e.byID[g.reign.Primary]; registered && c.reason == ReasonFailure && g.reign.Successor == "" {
				e.revive(now, g, old)
			}
			return
		}
		e.log("chooses a successor", observer.F("group", g.name), observer.F("server", best), observer.F("received", account.Received.String()),
			observer.F("final", c.final.String()), observer.F("seen", c.seen.String()), observer.F("loses", max(wanted.Offset-account.Received.Offset, 0)))
		c.chosen, c.stage, c.due = best, stageClaim, now
		e.claim(now, g)
	})
}

// claim writes whom this daemon is about to promote. The store takes that only
// from the holder of the duty, and only if the change is the one that this daemon
// knows: its readings may be behind.
func (e *Elector) claim(now timekeeper.Millis, g *group) {
	c := &g.change
	c.due = now + e.settings.HeartbeatTimeout
	if g.reign.ChangeReason == "" || g.reign.ChangeNumber != c.number {
		c.due = now + resumeLeast
		e.out = append(e.out, ReloadRows{})
		return
	}
	number, sent := c.number, now
	next := g.reign
	next.Successor = c.chosen
	e.writeReign(g, next, func(now timekeeper.Millis, result Result) {
		if g.change.number != number || g.change.stage != stageClaim {
			return
		}
		c.due = now
		if result != Applied {
			e.log("the store does not take the successor", observer.F("group", g.name), observer.F("server", c.chosen),
				observer.F("number", number), observer.F("result", result.String()))
			c.stage, c.due = stageChoose, now+retryInterval
			e.out = append(e.out, ReloadRows{})
			return
		}
		c.claimed, c.stage = sent, stagePromote
		e.promote(now, g)
	})
}

// revive cancels a change when the old primary is back while no server holds
// all of its commits.
func (e *Elector) revive(_ timekeeper.Millis, g *group, old cataloger.Server) {
	number := g.change.number
	e.inspect(old, InspectRequest{}, func(now timekeeper.Millis, account ServerStatus, err error) {
		if err == nil && account.Primary && g.change.number == number && g.change.stage == stageChoose {
			e.cancel(now, g, "the primary answers again")
		}
	})
}

// promote asks the platform for the change.
func (e *Elector) promote(now timekeeper.Millis, g *group) {
	c := &g.change
	if now-c.claimed > dutyFresh {
		c.stage, c.due = stageClaim, now
		return
	}
	c.due = now + 2*e.settings.SuspectTimeout
	number := c.number
	e.number++
	e.posting[e.number] = func(now timekeeper.Millis, err error) {
		if g.change.number != number || g.change.stage != stagePromote {
			return
		}
		e.log("promotion asked for", observer.F("group", g.name), observer.F("server", c.chosen), observer.F("fence", e.duty.FencingToken),
			observer.F("error", errorText(err)))
		if err != nil {
			c.due = now + retryInterval
			c.stage = stageChoose
			return
		}
		c.stage, c.confirm, c.due = stageConfirm, now, now+resumeLeast
	}
	e.out = append(e.out, Promote{ID: e.number, Promotion: Promotion{
		Group: g.name, Server: c.chosen, Holder: e.settings.Self.Name, FencingToken: e.duty.FencingToken,
	}})
}

// dutyFresh is how recently the claim must have been sent when a promotion is
// asked for, so that a daemon that was suspended does not act on an old duty.
const dutyFresh timekeeper.Millis = 4500

// confirm waits until the successor leads, and then writes so.
func (e *Elector) confirm(now timekeeper.Millis, g *group) {
	c := &g.change
	server, registered := e.byID[c.chosen]
	if !registered || now-c.confirm > 4*e.settings.SuspectTimeout {
		c.stage, c.due = stageChoose, now
		return
	}
	c.due = now + 2*e.settings.SuspectTimeout
	number := c.number
	e.inspect(server, InspectRequest{}, func(now timekeeper.Millis, account ServerStatus, err error) {
		if g.change.number != number || g.change.stage != stageConfirm {
			return
		}
		c.due = now + confirmInterval
		if err != nil || !account.Primary || account.Term <= g.reign.Term {
			return
		}
		next := PrimaryRecord{
			Term: account.Term, Primary: c.chosen, ChangeNumber: number, LastChangeDuration: now - c.started,
			History: g.reign.History.WithTerm(account.Term, account.Received.Offset),
		}
		c.due = now + e.settings.SuspectTimeout
		e.log("the successor leads", observer.F("group", g.name), observer.F("server", c.chosen), observer.F("term", account.Term),
			observer.F("start", account.Received.Offset), observer.F("took", int64(next.LastChangeDuration)))
		e.writeReign(g, next, func(now timekeeper.Millis, result Result) {
			c.due = now + resumeLeast
			if result == Applied {
				g.change = change{}
				g.mendedUntil = now + mendInterval
			}
			e.out = append(e.out, ReloadRows{})
		})
	})
}

// mendInterval is the least time between two changes of a group's primary because
// statements fail: where the next one fails them too, the server is not the cause.
const mendInterval timekeeper.Millis = 20_000

// confirmInterval is the time between two questions whether the successor leads.
const confirmInterval timekeeper.Millis = 40

// cancel ends a change whose primary is still good.
func (e *Elector) cancel(now timekeeper.Millis, g *group, why string) {
	next := g.reign
	next.ChangeReason = ""
	g.pausedUntil = now + e.settings.CancelBackoff
	g.change.due = now + e.settings.SuspectTimeout
	e.log("cancels a change of primary", observer.F("group", g.name), observer.F("number", g.reign.ChangeNumber), observer.F("why", why))
	e.writeReign(g, next, func(now timekeeper.Millis, result Result) {
		g.change.due = now + resumeLeast
		if result == Applied {
			g.change = change{}
		}
		e.out = append(e.out, ReloadRows{})
	})
}
