package elector

import (
	"cmp"
	"slices"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// observedHeartbeat is a daemon's latest heartbeat and the time from which its
// age counts; see SetHeartbeats.
type observedHeartbeat struct {
	heartbeat Heartbeat
	seenAt    timekeeper.Millis
	// advanced is set if the heartbeat was seen to change. Otherwise it may be
	// the last one of a daemon that no longer runs.
	advanced bool
}

// HeartbeatsStale reports whether the newest reading of the heartbeats is more
// than two intervals old, so that it is unknown which daemons are live.
func (e *Elector) HeartbeatsStale(now timekeeper.Millis) bool {
	return now-e.heartbeatsAt > 2*e.settings.HeartbeatInterval
}

// SetHeartbeats records a reading of the heartbeats of all daemons by name, which
// is current as of readAt and of an era of the store. A heartbeat that changed counts
// as seen at that time. If the previous reading is stale, all count as seen then, since
// it is unknown when they last changed. The first reading of an era may show older
// heartbeats again: daemons that were live get the time to write another one. Daemons
// whose heartbeat is missing are forgotten once they have been silent for
// HeartbeatTimeout. A reading that is not newer than the previous one is ignored.
func (e *Elector) SetHeartbeats(now, readAt timekeeper.Millis, era int64, heartbeats map[string]Heartbeat) {
	if readAt <= e.heartbeatsAt || era < e.heartbeatsEra {
		return
	}
	stale := readAt-e.heartbeatsAt > 2*e.settings.HeartbeatInterval
	restored := era > e.heartbeatsEra
	if restored && !stale {
		e.keepLive(readAt)
	}
	e.heartbeatsAt, e.heartbeatsEra = min(readAt, now), era
	e.expireDue = 0 // a new reading may show that a daemon is gone
	for name, heartbeat := range heartbeats {
		seen, known := e.heartbeats[name]
		switch {
		case known && restored && !stale:
			seen.heartbeat = heartbeat
			e.heartbeats[name] = seen
		case stale || seen.heartbeat != heartbeat:
			e.heartbeats[name] = observedHeartbeat{heartbeat: heartbeat, seenAt: e.heartbeatsAt, advanced: known && !restored && seen.heartbeat != heartbeat}
		}
	}
	for name, seen := range e.heartbeats {
		if _, present := heartbeats[name]; !present && e.silence(now, seen) >= e.settings.HeartbeatTimeout {
			delete(e.heartbeats, name)
		}
	}
	e.updateReaderClaim(now)
}

// keepLive lets the daemons that are live by the last reading of the heartbeats count as
// live after readAt for one and a half heartbeat intervals.
func (e *Elector) keepLive(readAt timekeeper.Millis) {
	grace := e.settings.HeartbeatInterval + e.settings.HeartbeatInterval/2
	for name, seen := range e.heartbeats {
		if e.heartbeatsAt-seen.seenAt < e.settings.HeartbeatTimeout {
			seen.seenAt = max(seen.seenAt, readAt-e.settings.HeartbeatTimeout+grace)
			e.heartbeats[name] = seen
		}
	}
}

// silence returns for how long a daemon's heartbeat has not changed, as far as
// the readings show. While they are stale, their age is added.
func (e *Elector) silence(now timekeeper.Millis, seen observedHeartbeat) timekeeper.Millis {
	if e.HeartbeatsStale(now) {
		return now - seen.seenAt
	}
	return e.heartbeatsAt - seen.seenAt
}

// live reports whether a daemon's latest heartbeat is younger than
// HeartbeatTimeout.
func (e *Elector) live(now timekeeper.Millis, host string) bool {
	seen, found := e.heartbeats[host]
	return found && e.silence(now, seen) < e.settings.HeartbeatTimeout
}

// HostsKnown reports whether the registrations and the heartbeats of the daemons
// have been read.
func (e *Elector) HostsKnown() bool {
	return e.haveRows && e.heartbeatsAt > 0
}

// LiveHosts returns the daemons that are registered and live, by name. While the
// heartbeats are stale, all daemons of this daemon's failure domain with a known
// heartbeat count as live too: most partitions separate failure domains, so
// these daemons reach the same servers.
func (e *Elector) LiveHosts(now timekeeper.Millis) []Host {
	var out []Host
	stale := e.HeartbeatsStale(now)
	for name, host := range e.hosts {
		_, known := e.heartbeats[name]
		assumedLive := known && stale && host.Domain == e.settings.Self.Domain
		if name == e.settings.Self.Name || e.live(now, name) || assumedLive {
			out = append(out, host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
