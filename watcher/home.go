package watcher

import (
	"github.com/cespare/xxhash/v2"
)

// eligible reports whether a host may be a home.
func (h *Membership) eligible(m Member) bool {
	return (m.State == StateLive || m.State == StateSuspect) && !h.leaving[m.Name]
}

// Home returns the host that is the home of a database: the first in the
// rendezvous order among the hosts that are live.
func (h *Membership) Home(database string) string {
	if home, found := h.homes[database]; found {
		return home
	}
	home := ""
	best := uint64(0)
	for _, m := range h.members {
		if !h.eligible(m) {
			continue
		}
		weight := xxhash.Sum64String(m.Name + "/" + database)
		if home == "" || weight > best || weight == best && m.Name < home {
			home = m.Name
			best = weight
		}
	}
	if home == "" {
		home = h.self.Name
	}
	h.homes[database] = home
	return home
}

// DomainReader returns the host of a domain that does for all of it what one has to
// do, such as reading the platform's tail.
func (h *Membership) DomainReader(domain string) string {
	speaker := ""
	for _, m := range h.members {
		if m.Domain == domain && h.eligible(m) && (speaker == "" || m.Name < speaker) {
			speaker = m.Name
		}
	}
	return speaker
}
