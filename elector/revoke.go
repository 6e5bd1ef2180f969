package elector

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// observedRevocation is a revoked registration: the version of its row and when
// this daemon first saw that version.
type observedRevocation struct {
	version int64
	seenAt  timekeeper.Millis
}

// expireRegistrations revokes the registrations of daemons whose heartbeats
// have stopped, and deletes them once the daemons' leases have expired. A
// primary change would otherwise wait for each of them. Only the first live
// daemon by name does this, and not while the heartbeats that it has read are
// stale.
func (e *Elector) expireRegistrations(now timekeeper.Millis) {
	if e.leaving || !e.registered() || !e.recovered() || now < e.expireDue || e.HeartbeatsStale(now) || !e.isFirstLive(now) {
		return
	}
	e.expireDue = now + e.settings.HeartbeatInterval/2
	for _, name := range slices.Sorted(maps.Keys(e.registrations)) {
		host, row := e.registrations[name], e.rows[hostPrefix+name]
		if name == e.settings.Self.Name {
			continue
		}
		if row.Version == e.era.deregistered[name] {
			e.log("registration deleted: it was before the store was restored", observer.F("host", name))
			e.write(Transaction{Expect: []Row{{Key: row.Key, Version: row.Version}}, Delete: []string{row.Key}}, func(timekeeper.Millis, Result, Revision) {})
			continue
		}
		if !host.Revoked {
			if seen, found := e.heartbeats[name]; found && e.silence(now, seen) > e.settings.HeartbeatTimeout {
				host.Revoked = true
				e.log("registration marked: no sign of life", observer.F("host", name), observer.F("silent", int64(e.silence(now, seen))))
				e.write(Transaction{Expect: []Row{{Key: row.Key, Version: row.Version}}, Set: []Row{encode(row.Key, host)}}, func(timekeeper.Millis, Result, Revision) {})
			}
			continue
		}
		observed := e.revocations[name]
		if observed.version != row.Version {
			e.revocations[name] = observedRevocation{version: row.Version, seenAt: now}
			continue
		}
		if now-observed.seenAt > e.settings.LeaseDuration+e.settings.ClockSkew {
			e.log("registration deleted", observer.F("host", name))
			delete(e.revocations, name)
			e.write(Transaction{Expect: []Row{{Key: row.Key, Version: row.Version}}, Delete: []string{row.Key}}, func(timekeeper.Millis, Result, Revision) {})
		}
	}
}

// unresponsiveHost returns the name of a registered daemon that is not live, or
// "" if there is none.
func (e *Elector) unresponsiveHost(now timekeeper.Millis) string {
	for _, name := range slices.Sorted(maps.Keys(e.hosts)) {
		if name != e.settings.Self.Name && !e.live(now, name) {
			return name
		}
	}
	return ""
}

// isFirstLive reports whether this daemon is the first live one by name.
func (e *Elector) isFirstLive(now timekeeper.Millis) bool {
	for name := range e.hosts {
		if name < e.settings.Self.Name && e.live(now, name) {
			return false
		}
	}
	return true
}
