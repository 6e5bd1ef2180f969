package elector

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// retirement is a marked registration as this daemon saw it.
type retirement struct {
	version int64
	at      timekeeper.Millis
}

// retire marks the registrations of daemons that give no sign of life, and
// deletes them once they can't use any primary any more. A change of primary
// would have to wait for each of them otherwise. The first live daemon by name
// does so, unless it could not read the signs of life of late.
func (e *Elector) retire(now timekeeper.Millis) {
	if e.leaving || !e.registered() || now < e.retireDue || e.blind(now) || !e.firstLive(now) {
		return
	}
	e.retireDue = now + e.settings.HeartbeatInterval/2
	for _, name := range slices.Sorted(maps.Keys(e.hosts)) {
		host, row := e.hosts[name], e.rows[hostPrefix+name]
		if name == e.settings.Self.Name {
			continue
		}
		if !host.Revoked {
			if seen, found := e.beats[name]; found && now-seen.at > e.settings.HeartbeatTimeout {
				host.Revoked = true
				e.log("registration marked: no sign of life", observer.F("host", name), observer.F("silent", int64(now-seen.at)))
				e.write(Transaction{Expect: []Row{{Key: row.Key, Version: row.Version}}, Set: []Row{encode(row.Key, host)}}, func(timekeeper.Millis, Result, int64) {})
			}
			continue
		}
		marked := e.retired[name]
		if marked.version != row.Version {
			e.retired[name] = retirement{version: row.Version, at: now}
			continue
		}
		if now-marked.at > e.settings.LeaseDuration+e.settings.ClockSkew {
			e.log("registration deleted", observer.F("host", name))
			delete(e.retired, name)
			e.write(Transaction{Expect: []Row{{Key: row.Key, Version: row.Version}}, Delete: []string{row.Key}}, func(timekeeper.Millis, Result, int64) {})
		}
	}
}

// lostMember returns a registered daemon that gives no sign of life, or an empty
// text.
func (e *Elector) lostMember(now timekeeper.Millis) string {
	for _, name := range slices.Sorted(maps.Keys(e.hosts)) {
		if name != e.settings.Self.Name && !e.live(now, name) {
			return name
		}
	}
	return ""
}

// firstLive reports whether no live daemon comes before this one by name.
func (e *Elector) firstLive(now timekeeper.Millis) bool {
	for name := range e.hosts {
		if name < e.settings.Self.Name && e.live(now, name) {
			return false
		}
	}
	return true
}
