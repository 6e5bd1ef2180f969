package proxier

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// registry keeps backend servers whose registrations lapsed while the store was
// away, until those that live have had time to register again.
type registry struct {
	servers map[string]cataloger.Server
	// readAt is when the registrations were read last, and returned when they
	// were first read after the store had been away.
	readAt, returned timekeeper.Millis
}

// merge takes the registrations that were read and returns those that hold. gap
// is how long no reading makes the store count as away, and silence how long
// after its return missing ones are kept.
func (r *registry) merge(now timekeeper.Millis, read []cataloger.Server, gap, silence timekeeper.Millis) []cataloger.Server {
	if r.readAt > 0 && now-r.readAt > gap {
		r.returned = now
	}
	r.readAt = now
	fresh := make(map[string]cataloger.Server, len(read))
	for _, s := range read {
		fresh[s.ID] = s
	}
	if r.returned > 0 && now-r.returned < silence {
		for id, s := range r.servers {
			if _, present := fresh[id]; !present {
				fresh[id] = s
			}
		}
	}
	r.servers = fresh
	out := make([]cataloger.Server, 0, len(fresh))
	for _, s := range fresh {
		out = append(out, s)
	}
	return out
}
