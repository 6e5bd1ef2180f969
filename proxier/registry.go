package proxier

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// registry keeps backend servers whose registrations are missing for a while:
// registrations lapse while the store is away, and those that live register again
// after its return.
type registry struct {
	servers map[string]cataloger.Server
	// missing is since when registrations have been missing.
	missing map[string]timekeeper.Millis
}

// merge takes the registrations that were read and returns those that hold.
// silence is how long a missing one is kept.
func (r *registry) merge(now timekeeper.Millis, read []cataloger.Server, silence timekeeper.Millis) []cataloger.Server {
	fresh := make(map[string]cataloger.Server, len(read))
	out := make([]cataloger.Server, 0, len(read))
	for _, s := range read {
		fresh[s.ID] = s
		out = append(out, s)
	}
	missing := map[string]timekeeper.Millis{}
	for id, s := range r.servers {
		if _, present := fresh[id]; present {
			continue
		}
		since, known := r.missing[id]
		if !known {
			since = now
		}
		if now-since < silence {
			missing[id], fresh[id] = since, s
			out = append(out, s)
		}
	}
	r.servers, r.missing = fresh, missing
	return out
}
