package elector

import (
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// retryInterval is the time before a failed step is retried.
	retryInterval timekeeper.Millis = 300
	// minRemaining is the min remaining duration that is estimated for a change
	// under way, and the delay before its next step is tried.
	minRemaining timekeeper.Millis = 100
)

// group is what this daemon knows of a database group's primary and its primary
// changes. Changes are identified by PrimaryRecord.ChangeNumber; 0 stands for
// none.
type group struct {
	name string
	// initialPrimary is the primary until the group has a primary record: the
	// server that is registered as one.
	initialPrimary string
	// record is the newest known primary record of the group, and recordVersion the
	// version of its row; both are zero if there is none.
	record        PrimaryRecord
	recordVersion int64
	// recordLost is set if the stored record is older, since the store was restored.
	recordLost bool
	// announced is when this daemon first saw the change under way.
	announced timekeeper.Millis
	// releasedChange is the last change for which this daemon released the
	// primary, and rejectedChange the last one that it rejected.
	releasedChange int64
	rejectedChange int64
	// ackedChange is the last change for which the store has this daemon's Ack,
	// and ackPending is set while an Ack is being written.
	ackedChange int64
	ackPending  bool
	// probedChange is the last change for which this daemon probed the primary,
	// and probeFailedChange the last one for which the probe failed.
	probedChange, probeFailedChange int64
	// ackDue is when an Ack may be written again.
	ackDue timekeeper.Millis

	// unregisteredSince is when the primary was first found not to be registered, or no
	// server to be registered as the primary; 0 if one is.
	unregisteredSince timekeeper.Millis

	// change is the change that this daemon coordinates.
	change change
	// ownWrite is the store's revision after this daemon's last write of the
	// record, or zero once the rows read have reached it. lastFinishedChange
	// is the last change that this daemon completed or cancelled.
	ownWrite           Revision
	lastFinishedChange int64
	// cancelBackoffUntil is the time before which this daemon announces no new
	// change after it cancelled one.
	cancelBackoffUntil timekeeper.Millis
	// failingBackoffUntil is the time before which failing statements are no
	// reason for a change.
	failingBackoffUntil timekeeper.Millis
	// handoverBackoffUntil is the time before which a primary that is leaving is not
	// replaced, because it has just been promoted.
	handoverBackoffUntil timekeeper.Millis
	// reason is the last result of reasonFor, and reasonSince is when the result
	// last changed.
	reasonSince timekeeper.Millis
	reason      Reason
}

// primary returns the ID of the group's primary as far as this daemon knows.
func (g *group) primary() string {
	if g.record.Primary != "" {
		return g.record.Primary
	}
	return g.initialPrimary
}

// unknownVersion is the version of a row that has to be decoded again.
const unknownVersion = -1

// setRecord decodes the group's primary record if its version has changed. It keeps a
// known record that is newer, and fails if the row can't be decoded.
func (g *group) setRecord(now timekeeper.Millis, e *Elector, row Row) error {
	if row.Version == g.recordVersion {
		return nil
	}
	record, err := decode[PrimaryRecord](row)
	if err != nil {
		return err
	}
	if record.Before(g.record) {
		g.recordVersion, g.recordLost = row.Version, true
		e.log("the stored record is older", observer.F("group", g.name), observer.F("term", record.Term), observer.F("number", record.ChangeNumber),
			observer.F("have", g.record.ChangeNumber), observer.F("version", row.Version))
		return nil
	}
	if record.ChangeReason != "" && (g.record.ChangeReason == "" || g.record.ChangeNumber != record.ChangeNumber) {
		g.announced = now
	}
	if record.Primary != g.primary() {
		g.unregisteredSince = 0
	}
	g.record, g.recordVersion, g.recordLost = record, row.Version, false
	e.log("reign", observer.F("group", g.name), observer.F("primary", record.Primary), observer.F("term", record.Term),
		observer.F("change", string(record.ChangeReason)), observer.F("number", record.ChangeNumber), observer.F("version", row.Version))
	return nil
}

// acknowledge answers an announced change. This daemon releases the primary, or
// rejects the change because the primary still responds to this daemon, and
// writes its Ack.
func (e *Elector) acknowledge(now timekeeper.Millis, g *group) {
	number := g.record.ChangeNumber
	if g.record.ChangeReason == "" || e.leaving {
		return
	}
	health := e.deps.PrimaryHealth(g.name, g.primary())
	mayReject := e.mayReject(g)
	if g.rejectedChange == number && !mayReject {
		g.rejectedChange, g.ackedChange = 0, 0
	}
	if g.releasedChange != number && g.rejectedChange != number {
		if mayReject && e.probePrimary(now, g, health) {
			return
		}
		if mayReject && health.LastResponse > 0 && now-health.LastResponse < e.settings.RejectWindow {
			g.rejectedChange = number
			e.log("rejects a change: the primary responds", observer.F("group", g.name), observer.F("number", number),
				observer.F("heard", int64(now-health.LastResponse)))
		} else if health.Quiesced || g.record.ChangeReason == ReasonFailure || now-g.announced >= e.settings.DrainTimeout {
			g.releasedChange = number
			e.log("releases the primary", observer.F("group", g.name), observer.F("number", number),
				observer.F("settled", health.Quiesced), observer.F("seen", health.HighestPosition.String()))
			e.commands = append(e.commands, ReleasePrimary{Group: g.name})
		} else {
			return
		}
	}
	if g.ackedChange == number || g.ackPending || now < g.ackDue {
		return
	}
	g.ackPending = true
	g.ackDue = now + retryInterval
	ack := Ack{
		Incarnation: e.settings.Self.Incarnation, ChangeNumber: number, Rejects: g.rejectedChange == number, HighestPosition: health.HighestPosition,
		Complete: e.knowsHosts(now), Absent: e.absentHosts(),
	}
	e.write(Transaction{Set: []Row{encode(ackPrefix+g.name+"/"+e.settings.Self.Name, ack)}}, func(_ timekeeper.Millis, result Result, _ Revision) {
		g.ackPending = false
		if result == Applied {
			g.ackedChange = number
		}
	})
}

// mayReject reports whether this daemon may go on using the primary in spite of
// the change under way: the primary counts as failed, the change can still be
// cancelled, and it waits for this daemon because this daemon was registered
// when the change was announced.
func (e *Elector) mayReject(g *group) bool {
	registrationVersion := e.rows[hostPrefix+e.settings.Self.Name].Version
	return g.record.ChangeReason == ReasonFailure && e.cancellable(g) && registrationVersion > 0 && registrationVersion < g.recordVersion
}

// probeTimeout is how long after the announcement this daemon waits for the
// response of a primary that it has sent no requests recently.
const probeTimeout timekeeper.Millis = 400

// probePrimary requests the primary's status if the daemon's own traffic does
// not show whether it responds. It reports whether the response is still
// pending.
func (e *Elector) probePrimary(now timekeeper.Millis, g *group, health PrimaryHealth) bool {
	number := g.record.ChangeNumber
	if health.UnresponsiveSince > 0 || health.LastResponse > 0 && now-health.LastResponse < e.settings.RejectWindow || g.probeFailedChange == number {
		return false
	}
	if g.probedChange == number {
		return now-g.announced < probeTimeout
	}
	server, registered := e.serversByID[g.primary()]
	if !registered {
		return false
	}
	g.probedChange = number
	e.inspect(server, InspectRequest{}, func(now timekeeper.Millis, status ServerStatus, err error) {
		if g.record.ChangeNumber != number || g.releasedChange == number || !e.mayReject(g) {
			return
		}
		if err != nil || !status.Primary {
			g.probeFailedChange = number
		} else {
			g.rejectedChange = number
			e.log("rejects a change: the primary responds to a probe", observer.F("group", g.name), observer.F("number", number))
		}
		e.acknowledge(now, g)
	})
	return true
}
