package proxier

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// registrationGrace keeps backend servers for a grace period after their
// registrations disappear. Registrations expire while the store is unavailable, and
// live servers register again once it is back.
type registrationGrace struct {
	servers map[string]cataloger.Server
	// missingSince is when each missing registration was first found missing.
	missingSince map[string]timekeeper.Millis
}

// merge returns the registrations that were read and the earlier ones that have been
// missing for less than grace.
func (g *registrationGrace) merge(now timekeeper.Millis, registrations []cataloger.Server, grace timekeeper.Millis) []cataloger.Server {
	kept := make(map[string]cataloger.Server, len(registrations))
	out := make([]cataloger.Server, 0, len(registrations))
	for _, s := range registrations {
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
	return out
}
