package elector

import (
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// renewLeases renews the primary leases from requestedAt, the time when the rows were
// requested. Leases of an earlier era are renewed once the daemon has registered in the
// present one, since the other daemons may not know it before.
func (e *Elector) renewLeases(requestedAt timekeeper.Millis) {
	if _, unregistered := e.era.remembered[e.settings.Self.Name]; !unregistered {
		e.readAt = max(e.readAt, requestedAt)
	}
}

// ConfirmUnchanged renews the primary leases from requestedAt, the time of a
// request that found no row changed.
func (e *Elector) ConfirmUnchanged(now, requestedAt timekeeper.Millis) []Command {
	e.renewLeases(requestedAt)
	e.step(now)
	return e.takeCommands()
}

// holdsLeases reports whether this daemon may hold primary leases: it is registered, or
// was before the store was restored, and knows all changes of primaries of earlier eras.
func (e *Elector) holdsLeases() bool {
	_, remembered := e.era.remembered[e.settings.Self.Name]
	return e.haveRows && !e.leaving && (e.registered() || e.era.heldLease && remembered) && (e.era.heldLease || e.recovered())
}

// PrimaryLeases returns this daemon's lease on the primary of each group, by
// group name.
func (e *Elector) PrimaryLeases(now timekeeper.Millis) map[string]PrimaryLease {
	out := make(map[string]PrimaryLease, len(e.groups))
	for name, g := range e.groups {
		out[name] = e.leaseOf(now, g)
	}
	return out
}

// PrimaryLease permits a daemon to use a group's primary until a time.
type PrimaryLease struct {
	// Server is the ID of the primary as far as known, even without a valid
	// lease.
	Server  string
	Term    int64
	History sequencer.History
	// ValidUntil is when the lease expires, and with it the permission to
	// return results of this term; 0 for no lease.
	ValidUntil timekeeper.Millis
	// Paused is set while a change is under way, unless this daemon has
	// rejected it and no successor is recorded. Statements wait meanwhile.
	Paused bool
	// ResumeAt is when a paused group is expected to have its next primary; 0
	// if unknown.
	ResumeAt timekeeper.Millis
}

// leaseOf returns this daemon's lease on a group's primary.
func (e *Elector) leaseOf(now timekeeper.Millis, g *group) PrimaryLease {
	lease := PrimaryLease{Server: g.primary(), Term: g.record.Term, History: g.record.History}
	if e.holdsLeases() {
		lease.ValidUntil = e.readAt + e.settings.LeaseDuration
	}
	if g.record.ChangeReason == "" || g.rejectedChange == g.record.ChangeNumber && g.record.Successor == "" {
		return lease
	}
	lease.Paused = true
	lease.ResumeAt = e.resumeAt(now, g)
	if g.releasedChange == g.record.ChangeNumber {
		lease.ValidUntil = 0
	}
	return lease
}

// resumeAt returns when the change under way is expected to be over, or 0 for
// no estimate: once the change has taken more than twice the expected time.
func (e *Elector) resumeAt(now timekeeper.Millis, g *group) timekeeper.Millis {
	expected := e.expectedDuration(g)
	if now-g.announced > 2*expected {
		return 0
	}
	return max(g.announced+expected, now+minRemaining)
}

// expectedDuration returns how long a change of the group's primary takes: as
// long as the last one, or InitialChangeDuration.
func (e *Elector) expectedDuration(g *group) timekeeper.Millis {
	if g.record.LastChangeDuration > 0 {
		return g.record.LastChangeDuration
	}
	return e.settings.InitialChangeDuration
}
