package elector

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// stage is the stage of a primary change that this daemon coordinates.
type stage int

const (
	// stageNone means that this daemon coordinates no change.
	stageNone stage = iota
	// stageCheck looks for a possible successor and announces the change.
	stageCheck
	// stageCollect waits until all daemons have released the primary.
	stageCollect
	// stageStepDown asks the old primary to become a replica.
	stageStepDown
	// stageChoose chooses the successor.
	stageChoose
	// stageClaim writes the successor to the primary record.
	stageClaim
	// stagePromote asks the platform for the promotion.
	stagePromote
	// stageConfirm waits until the successor is the primary.
	stageConfirm
)

// change is a primary change that this daemon coordinates.
type change struct {
	stage stage
	// number is the ChangeNumber in the primary record.
	number int64
	reason Reason
	// announced is when the store accepted the announcement, or when this
	// daemon took the change over from another coordinator.
	announced timekeeper.Millis
	// started is when this daemon began to coordinate the change. The change's
	// duration counts from it.
	started timekeeper.Millis
	// finalPosition is the position of the last entry in the old primary's log
	// once it has stepped down; zero if unknown.
	finalPosition sequencer.Position
	// highestPosition is the highest position in the daemons' Acks.
	highestPosition sequencer.Position
	// allSeen is set if every registered daemon has released the primary and reported a
	// position that it has seen. A daemon that has just started may have seen none, although
	// its earlier run passed on acknowledgements.
	allSeen bool
	// holderSeenAt is when a server that may hold acknowledged commits and does not respond
	// was last registered, and waitLogged is set once the wait for it was logged.
	holderSeenAt timekeeper.Millis
	waitLogged   bool
	// poll is the current status poll; late responses to an earlier one are ignored.
	poll *statusPoll
	// due is when the current stage runs next, for the first time or as a retry.
	due timekeeper.Millis
	// successor is the ID of the chosen server.
	successor string
	// claimSentAt is when the accepted claim for the successor was sent.
	claimSentAt timekeeper.Millis
	// confirmSince is when the wait for the promoted successor began.
	confirmSince timekeeper.Millis
}

// reasonFor returns why a group's primary should be changed as far as this
// daemon knows, or "" for no reason.
func (e *Elector) reasonFor(now timekeeper.Millis, g *group) Reason {
	id := g.primary()
	server, registered := e.serversByID[id]
	if registered && server.Leaving && now >= g.handoverBackoffUntil {
		return ReasonHandover
	}
	if _, known := e.synchronous(g); known && !registered && g.unregisteredSince > 0 && now-g.unregisteredSince >= e.settings.UnregisteredTimeout {
		return ReasonFailure
	}
	if id == "" {
		return ""
	}
	health := e.deps.PrimaryHealth(g.name, id)
	if health.FailingSince > 0 && now-health.FailingSince >= e.settings.SuspectTimeout && now >= g.failingBackoffUntil {
		return ReasonHandover
	}
	if health.UnresponsiveSince > 0 && now-health.UnresponsiveSince >= e.settings.SuspectTimeout {
		return ReasonFailure
	}
	return ""
}

// runChange starts a primary change if there is a reason, or runs the next step
// of the one that this daemon coordinates.
func (e *Elector) runChange(now timekeeper.Millis, g *group) {
	if e.leaving || !e.registered() || !e.recovered() || g.recordLost {
		return
	}
	reason := e.reasonFor(now, g)
	if reason != g.reason {
		g.reason, g.reasonSince = reason, now
	}
	// The rows do not contain this daemon's own last write yet.
	rowsStale := g.ownWrite != Revision{}
	if rowsStale && g.change.stage == stageNone || g.record.ChangeReason != "" && g.record.ChangeNumber <= g.lastFinishedChange {
		return
	}
	if g.record.ChangeReason != "" {
		reason = g.record.ChangeReason
	}
	if reason == "" && g.change.stage == stageNone {
		return
	}
	if !e.coordinates() {
		g.change = change{}
		e.acquireCoordinator(now, g)
		return
	}
	if now < g.change.due || now < g.cancelBackoffUntil && g.record.ChangeReason == "" {
		return
	}
	switch {
	case g.change.stage == stageNone && g.record.ChangeReason == "":
		e.checkSuccessor(now, g, reason)
	case g.change.stage == stageNone || g.change.stage == stageCheck && g.record.ChangeReason != "":
		// The record has a change that this daemon does not coordinate yet.
		g.change = change{stage: stageCollect, number: g.record.ChangeNumber, reason: g.record.ChangeReason, announced: now, started: now}
	case g.record.ChangeReason == "" && g.change.stage > stageCheck && !rowsStale:
		// The record no longer has the change.
		g.change = change{}
	case g.change.stage == stageCollect:
		e.collectAcks(now, g)
	case g.change.stage == stageStepDown:
		e.stepDown(now, g)
	case g.change.stage == stageChoose:
		e.chooseSuccessor(now, g)
	case g.change.stage == stageClaim:
		e.claimSuccessor(now, g)
	case g.change.stage == stagePromote:
		e.promote(now, g)
	case g.change.stage == stageConfirm:
		e.confirmPrimary(now, g)
	}
}

// coordinates reports whether this daemon is the failover coordinator of the present
// era.
func (e *Elector) coordinates() bool {
	return e.coordinator.Holder == e.settings.Self.Name && e.coordinator.FencingToken > numberFloor(e.revision.Era)
}

// synchronous reports whether the group's primary acknowledges a commit only once a
// replica has received it, and whether that is known: the catalog in force has the group.
func (e *Elector) synchronous(g *group) (synchronous, known bool) {
	if e.deps.SynchronousReplicas == nil {
		return false, true
	}
	replicas, known := e.deps.SynchronousReplicas(g.name)
	return replicas > 0, known
}

// checkSuccessor polls the servers for a successor and announces the change if
// there is one. Statements are paused only after the announcement.
func (e *Elector) checkSuccessor(now timekeeper.Millis, g *group, reason Reason) {
	c := &g.change
	if unresponsive := e.unresponsiveHost(now); unresponsive != "" && reason == ReasonHandover {
		// The unresponsive daemon would not acknowledge the handover in
		// time, so collectAcks would cancel it after handoverAckTimeout, before a
		// successor is recorded. Until then the daemons that have released the
		// primary would not use it, although it still serves. expireRegistrations
		// deletes the unresponsive daemon's registration before long, and the
		// handover is tried again.
		e.log("postpones a handover: a daemon is unresponsive", observer.F("group", g.name), observer.F("host", unresponsive))
		g.change = change{due: now + e.settings.SuspectTimeout}
		return
	}
	*c = change{stage: stageCheck, reason: reason, started: now, due: now + 4*retryInterval}
	e.pollStatus(g, func(now timekeeper.Millis) {
		if g.change.stage != stageCheck {
			return
		}
		synchronous, known := e.synchronous(g)
		best := c.poll.mostAdvanced(reason == ReasonFailure)
		health, received := e.deps.PrimaryHealth(g.name, g.primary()), c.poll.statuses[best].Received
		lagging := reason == ReasonHandover && (received.Offset+maxHandoverLag < health.HighestPosition.Offset || synchronous && received.Offset < g.record.History.Start())
		if !known || best == "" || lagging && (synchronous || now-g.reasonSince < e.settings.CatchUpTimeout/2) {
			e.log("no server can succeed the primary yet", observer.F("group", g.name), observer.F("reason", string(reason)),
				observer.F("best", best), observer.F("received", received.String()), observer.F("seen", health.HighestPosition.String()))
			g.change = change{due: now + retryInterval}
			return
		}
		e.announce(now, g, reason)
	})
}

// handoverAckTimeout is how long a handover waits until all daemons have
// released the primary. The primary still serves, so it is better to cancel the
// handover, go on using the primary and retry later.
const handoverAckTimeout timekeeper.Millis = 1000

// maxHandoverLag is how many log entries a successor may lack when a handover
// is announced. It receives them while statements are paused.
const maxHandoverLag = 20

// announce writes the start of a primary change to the group's primary record.
// The first record of a group contains the current primary and its term.
func (e *Elector) announce(now timekeeper.Millis, g *group, reason Reason) {
	next := g.record
	next.Primary = g.primary()
	next.ChangeNumber = max(next.ChangeNumber, numberFloor(e.revision.Era)) + 1
	next.ChangeReason = reason
	if synchronous, _ := e.synchronous(g); synchronous {
		next.Holders = e.logHolders(g)
	}
	if next.Term == 0 {
		next.Term = e.deps.PrimaryHealth(g.name, next.Primary).Term
	}
	if next.Term == 0 {
		for _, status := range g.change.poll.statuses {
			next.Term = max(next.Term, status.Term)
		}
	}
	if len(next.History) == 0 {
		next.History = next.History.WithTerm(next.Term, 0)
	}
	g.change.due = now + e.settings.HeartbeatTimeout
	e.log("announces a primary change", observer.F("group", g.name), observer.F("reason", string(reason)),
		observer.F("primary", next.Primary), observer.F("term", next.Term), observer.F("number", next.ChangeNumber), observer.F("fence", e.coordinator.FencingToken))
	e.writeRecord(g, next, func(now timekeeper.Millis, result Result) {
		if result != Applied {
			g.change = change{due: now + 3*retryInterval}
			e.commands = append(e.commands, ReloadRows{})
			return
		}
		if g.change.stage == stageCheck {
			g.change.stage, g.change.number, g.change.announced, g.change.due = stageCollect, next.ChangeNumber, now, 0
		}
		e.commands = append(e.commands, ReloadRows{})
	})
}

// writeRecord replaces a group's primary record if neither the record nor the
// coordinator has changed since this daemon read them.
func (e *Elector) writeRecord(g *group, next PrimaryRecord, done func(timekeeper.Millis, Result)) {
	e.write(Transaction{
		Expect: []Row{{Key: recordPrefix + g.name, Version: max(g.recordVersion, g.ownWrite.Version)}, {Key: coordinatorKey, Version: e.rows[coordinatorKey].Version}},
		Set:    []Row{encode(recordPrefix+g.name, next)},
	}, func(now timekeeper.Millis, result Result, revision Revision) {
		g.ownWrite = Revision{}
		if result == Applied {
			g.ownWrite = revision
		}
		if result == Applied && next.ChangeReason == "" {
			g.lastFinishedChange = next.ChangeNumber
		}
		done(now, result)
	})
}

// collectAcks waits until every registered daemon has released the primary, or
// until the leases of the others have expired. A rejection cancels the change if it
// can be cancelled; otherwise the change waits for the rejecting daemon's lease to
// expire. After the store was restored, the change also waits for the daemons whose
// registrations were lost, which other daemons may remember.
func (e *Elector) collectAcks(now timekeeper.Millis, g *group) {
	c := &g.change
	leasesExpired := now >= c.announced+e.settings.LeaseDuration+e.settings.ClockSkew
	var missing []string
	complete, allSeen := e.knowsHosts(now), true
	absent := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(e.hosts)) {
		ack, found := e.acks[g.name][name]
		if !found || ack.ChangeNumber != c.number || ack.Incarnation != e.hosts[name].Incarnation {
			missing = append(missing, name)
			continue
		}
		complete = complete || ack.Complete
		for _, other := range ack.Absent {
			absent[other] = true
		}
		if ack.Rejects && e.cancellable(g) {
			e.cancelChange(now, g, "the primary responds to a daemon: "+name)
			return
		}
		if ack.Rejects {
			missing = append(missing, name)
			continue
		}
		c.highestPosition = sequencer.Max(c.highestPosition, ack.HighestPosition)
		allSeen = allSeen && !ack.HighestPosition.IsZero()
	}
	missing = append(missing, e.forgottenHosts(now, absent, missing)...)
	if !complete {
		missing = append(missing, "daemons of an earlier era")
	}
	if len(missing) > 0 && !leasesExpired {
		if c.reason == ReasonHandover && e.cancellable(g) && now-c.announced > handoverAckTimeout {
			e.cancelChange(now, g, "a daemon does not acknowledge: "+missing[0])
			g.cancelBackoffUntil = now + e.settings.HeartbeatTimeout
		}
		return
	}
	e.log("the primary is released", observer.F("group", g.name), observer.F("number", c.number), observer.F("lapsed", len(missing)),
		observer.F("took", int64(now-c.announced)), observer.F("seen", c.highestPosition.String()))
	if len(missing) > 0 {
		e.deleteExpired(g, missing)
	}
	c.allSeen = len(missing) == 0 && allSeen
	c.stage = stageStepDown
	e.stepDown(now, g)
}

// forgottenHosts returns the daemons in absent, which Acks remember from earlier eras,
// that have not registered in the present era and whose leases may be valid. Those in
// missing are left out.
func (e *Elector) forgottenHosts(now timekeeper.Millis, absent map[string]bool, missing []string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(absent)) {
		host, known := e.hosts[name]
		if known && host.Era == e.revision.Era || slices.Contains(missing, name) || e.earlierLeasesExpired(now) {
			continue
		}
		out = append(out, name)
	}
	return out
}

// deleteExpired deletes the registrations of the named daemons, whose leases
// have expired. A daemon that still runs registers again.
func (e *Elector) deleteExpired(g *group, names []string) {
	tx := Transaction{Expect: []Row{{Key: recordPrefix + g.name, Version: g.recordVersion}}}
	for _, name := range names {
		if _, stored := e.registrations[name]; stored && name != e.settings.Self.Name {
			tx.Expect = append(tx.Expect, Row{Key: hostPrefix + name, Version: e.rows[hostPrefix+name].Version})
			tx.Delete = append(tx.Delete, hostPrefix+name)
		}
	}
	if len(tx.Delete) == 0 {
		return
	}
	e.write(tx, func(_ timekeeper.Millis, result Result, _ Revision) {
		e.log("expired registrations deleted", observer.F("result", result.String()))
	})
}

// stepDown turns the old primary into a replica if it can be reached, so that
// no client's write can succeed there. A handover retries this for a quarter of
// CatchUpTimeout; a change after a failure does not wait for the response.
func (e *Elector) stepDown(now timekeeper.Millis, g *group) {
	c := &g.change
	server, registered := e.serversByID[g.record.Primary]
	if !registered {
		c.stage = stageChoose
		e.chooseSuccessor(now, g)
		return
	}
	number := c.number
	c.due = now + e.settings.HeartbeatTimeout
	if c.reason == ReasonFailure {
		e.stepDownAsync(g, server)
		c.stage = stageChoose
		e.chooseSuccessor(now, g)
		return
	}
	e.inspect(server, InspectRequest{Action: ActionStepDown, Term: g.record.Term + 1}, func(now timekeeper.Millis, status ServerStatus, err error) {
		if g.change.stage != stageStepDown || g.change.number != number {
			return
		}
		c.due = now
		if err != nil && now-c.announced < e.settings.CatchUpTimeout/4 {
			c.due = now + retryInterval/3
			return
		}
		if err == nil {
			c.finalPosition = status.Received
		}
		e.log("old primary asked to step down", observer.F("group", g.name), observer.F("server", server.ID),
			observer.F("primary", status.Primary), observer.F("received", status.Received.String()), observer.F("error", errorText(err)))
		c.stage = stageChoose
		e.chooseSuccessor(now, g)
	})
}

// stepDownAsync asks an unresponsive primary to step down, without waiting for
// the response. No daemon uses the primary any more, but it may recover at any
// time.
func (e *Elector) stepDownAsync(g *group, server cataloger.Server) {
	e.inspect(server, InspectRequest{Action: ActionStepDown, Term: g.record.Term + 1}, func(_ timekeeper.Millis, status ServerStatus, err error) {
		e.log("unresponsive primary asked to step down", observer.F("group", g.name), observer.F("server", server.ID),
			observer.F("primary", status.Primary), observer.F("received", status.Received.String()), observer.F("error", errorText(err)))
	})
}

// errorText returns the text of err, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// cancelChange ends a change whose old primary remains the primary.
func (e *Elector) cancelChange(now timekeeper.Millis, g *group, cause string) {
	next := g.record
	next.ChangeReason, next.Holders = "", nil
	g.cancelBackoffUntil = now + e.settings.CancelBackoff
	g.change.due = now + e.settings.SuspectTimeout
	e.log("cancels a primary change", observer.F("group", g.name), observer.F("number", g.record.ChangeNumber), observer.F("why", cause))
	e.writeRecord(g, next, func(now timekeeper.Millis, result Result) {
		g.change.due = now + minRemaining
		if result == Applied {
			g.change = change{}
		}
		e.commands = append(e.commands, ReloadRows{})
	})
}
