package proxier

import (
	"maps"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// registrationGrace keeps backend servers for a grace period after their
// registrations disappear. Registrations expire while the store is unavailable, and
// live servers register again once it is back. A server that is leaving stays so until
// it starts again, also if a restored store shows an older registration.
type registrationGrace struct {
	servers map[string]cataloger.Server
	// missingSince is when each missing registration was first found missing.
	missingSince map[string]timekeeper.Millis
	// departures holds the servers that were seen leaving, by ID.
	departures map[string]departure
}

// departure is when a server started that was seen leaving, and when it was last seen so.
type departure struct {
	started timekeeper.Millis
	seenAt  timekeeper.Millis
}

// maxDepartureAge is how long a departure is remembered. It exceeds the age of any copy
// that a store is restored from.
const maxDepartureAge timekeeper.Millis = 300_000

// keepLeaving sets Leaving if the server was seen leaving since it started.
func (g *registrationGrace) keepLeaving(now timekeeper.Millis, s cataloger.Server) cataloger.Server {
	if s.Started == 0 {
		return s
	}
	seen, known := g.departures[s.ID]
	s.Leaving = s.Leaving || known && seen.started == s.Started
	if s.Leaving {
		if g.departures == nil {
			g.departures = map[string]departure{}
		}
		g.departures[s.ID] = departure{started: s.Started, seenAt: now}
	}
	return s
}

// merge returns the registrations that were read and the earlier ones that have been
// missing for less than grace.
func (g *registrationGrace) merge(now timekeeper.Millis, registrations []cataloger.Server, grace timekeeper.Millis) []cataloger.Server {
	kept := make(map[string]cataloger.Server, len(registrations))
	out := make([]cataloger.Server, 0, len(registrations))
	for _, s := range registrations {
		s = g.keepLeaving(now, s)
		kept[s.ID] = s
		out = append(out, s)
	}
	missingSince := map[string]timekeeper.Millis{}
	for id, s := range g.servers {
		if _, present := kept[id]; present {
			continue
		}
		since, known := g.missingSince[id]
		if !known {
			since = now
		}
		if now-since < grace {
			missingSince[id], kept[id] = since, s
			out = append(out, s)
		}
	}
	g.servers, g.missingSince = kept, missingSince
	maps.DeleteFunc(g.departures, func(_ string, d departure) bool { return now-d.seenAt > maxDepartureAge })
	return out
}
