package watcher

import (
	"github.com/cespare/xxhash/v2"
)

// eligible reports whether a host may be a home or a domain reader.
func (h *Membership) eligible(m Member) bool {
	return (m.State == StateLive || m.State == StateSuspect) && !h.leaving[m.Name]
}

// Home returns the name of the host whose daemon is the home of a database,
// that is, queues and routes all its work. It is chosen among the eligible
// hosts by rendezvous hashing; without an eligible host it is this one.
func (h *Membership) Home(database string) string {
	if home, found := h.homeCache[database]; found {
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
	h.homeCache[database] = home
	return home
}

// DomainReader returns the name of the host whose daemon reads the platform's
// change feed for all hosts of a failure domain: the first eligible one by
// name, or "" if there is none.
func (h *Membership) DomainReader(domain string) string {
	reader := ""
	for _, m := range h.members {
		if m.Domain == domain && h.eligible(m) && (reader == "" || m.Name < reader) {
			reader = m.Name
		}
	}
	return reader
}
