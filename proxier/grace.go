package proxier

import (
	"maps"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// registrationGrace keeps backend servers for a grace period after their
// registrations disappear. Registrations expire while the store is unavailable, and
// live servers register again once it is back. A server that is leaving stays so for a
// time if its registration no longer says it: a restored store may show an older one.
type registrationGrace struct {
	servers map[string]cataloger.Server
	// missingSince is when each missing registration was first found missing.
	missingSince map[string]timekeeper.Millis
	// departures holds the servers that were seen leaving, by ID, and contradicted is set
	// if a registration says otherwise and is not believed yet.
	departures   map[string]departure
	contradicted bool
}

// pending reports whether the merged servers change without a new reading.
func (g *registrationGrace) pending() bool {
	return len(g.missingSince) > 0 || g.contradicted
}

// departure is a server that was seen leaving.
type departure struct {
	// started is when the server started.
	started timekeeper.Millis
	// seenAt is when its registration last said that it leaves, and readySince when the
	// registration was first found to say otherwise; 0 if it does not.
	seenAt, readySince timekeeper.Millis
}

const (
	// maxDepartureAge is how long a departure is remembered. It exceeds the age of any
	// copy that a store is restored from.
	maxDepartureAge timekeeper.Millis = 300_000
	// maxContradiction is how long a server counts as leaving although its registration
	// says that it is ready. Servers write theirs again within 2 s of a restore.
	maxContradiction timekeeper.Millis = 5000
)

// keepLeaving sets Leaving if the server was seen leaving since it started, unless its
// registration has said otherwise for maxContradiction.
func (g *registrationGrace) keepLeaving(now timekeeper.Millis, s cataloger.Server) cataloger.Server {
	seen, known := g.departures[s.ID]
	switch {
	case s.Started == 0:
	case s.Leaving:
		if g.departures == nil {
			g.departures = map[string]departure{}
		}
		g.departures[s.ID] = departure{started: s.Started, seenAt: now}
	case known && seen.started == s.Started:
		if seen.readySince == 0 {
			seen.readySince = now
			g.departures[s.ID] = seen
		}
		s.Leaving = now-seen.readySince < maxContradiction
		g.contradicted = g.contradicted || s.Leaving
	}
	return s
}

// merge returns the registrations that were read and the earlier ones that have been
// missing for less than grace.
func (g *registrationGrace) merge(now timekeeper.Millis, registrations []cataloger.Server, grace timekeeper.Millis) []cataloger.Server {
	kept := make(map[string]cataloger.Server, len(registrations))
	out := make([]cataloger.Server, 0, len(registrations))
	g.contradicted = false
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
