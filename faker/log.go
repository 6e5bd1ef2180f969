// Package faker holds the stand-ins that heatherhall is tested against: a
// backend server that speaks the PostgreSQL protocol and a platform that speaks
// HTTP and JSON. They are small fakes at the interfaces.
package faker

import (
	"github.com/heatherhall/heatherhall/sequencer"
)

// Entry is one committed transaction in a database's log.
type Entry struct {
	At      sequencer.Position `json:"at"`
	Changes []Change           `json:"changes"`
}

// Log is the replicated log of one backend server, with the rules of terms:
// fence, promote, follow. It does no I/O and is not safe for concurrent use.
type Log struct {
	server   string
	role     sequencer.Role
	promised int64
	history  sequencer.History
	entries  []Entry
	applied  int
}

// NewPrimary returns the empty log of a primary in term 1.
func NewPrimary(server string) *Log {
	return &Log{server: server, role: sequencer.RolePrimary, promised: 1, history: sequencer.History{{Term: 1}}}
}

// NewReplica returns the empty log of a replica in term 1.
func NewReplica(server string) *Log {
	return &Log{server: server, role: sequencer.RoleReplica, promised: 1, history: sequencer.History{{Term: 1}}}
}

// Held returns the position of the last entry.
func (l *Log) Held() sequencer.Position {
	return l.position(len(l.entries))
}

// Applied returns the position of the last entry that reads see.
func (l *Log) Applied() sequencer.Position {
	return l.position(l.applied)
}

func (l *Log) position(count int) sequencer.Position {
	if count == 0 {
		return sequencer.Position{}
	}
	return l.entries[count-1].At
}

// Report returns the log's account of itself. Upstream is left to the caller.
func (l *Log) Report() sequencer.Report {
	return sequencer.Report{
		Server:             l.server,
		Role:               l.role,
		PromisedTerm:       l.promised,
		Received:           l.Held(),
		Applied:            l.Applied(),
		History:            l.history,
		UpstreamIdleMillis: -1,
	}
}

// Fence promises to take no entries below term. A term is promised to one
// caller only: a second fence at the same term is refused, so of two promoters
// at most one can fence a majority.
func (l *Log) Fence(term int64) error {
	if term <= l.promised {
		return refused("fence", "term %d is not above the promised %d", term, l.promised)
	}
	l.promised = term
	l.role = sequencer.RoleFenced
	return nil
}

// Promote makes the fenced server the primary of the term it was fenced at and
// appends the term's first entry. A repeat in the same term changes nothing.
func (l *Log) Promote(term int64) error {
	if l.promised != term {
		return refused("promote", "promised term is %d, not %d", l.promised, term)
	}
	if l.role == sequencer.RolePrimary {
		return nil
	}
	if l.role != sequencer.RoleFenced {
		return refused("promote", "server is a %s", l.role)
	}
	l.role = sequencer.RolePrimary
	l.history = l.history.WithTerm(term, l.Held().Offset)
	l.applied = len(l.entries)
	_, err := l.Append(nil)
	return err
}

// Follow makes the server a replica in term.
func (l *Log) Follow(term int64) error {
	if term < l.promised {
		return refused("follow", "term %d is below the promised %d", term, l.promised)
	}
	if l.role == sequencer.RolePrimary && term == l.promised {
		return refused("follow", "server is the primary of term %d", term)
	}
	l.promised = term
	l.role = sequencer.RoleReplica
	return nil
}

// Append commits changes on the primary and returns their entry.
func (l *Log) Append(changes []Change) (Entry, error) {
	if l.role != sequencer.RolePrimary {
		return Entry{}, refused("append", "server is not the primary but a %s, promised term %d", l.role, l.promised)
	}
	entry := Entry{
		At:      sequencer.Position{Term: l.promised, Offset: l.Held().Offset + 1},
		Changes: changes,
	}
	l.entries = append(l.entries, entry)
	l.applied = len(l.entries)
	return entry, nil
}

// Align cuts a replica's log back to the part it shares with its primary and
// takes over the primary's history. It reports whether applied entries were
// cut, after which the tables must be built anew.
func (l *Log) Align(term int64, history sequencer.History) (rebuilt bool, err error) {
	if l.role != sequencer.RoleReplica || l.promised != term {
		return false, refused("align", "server is a %s in term %d", l.role, l.promised)
	}
	shared := int(history.Clamp(l.Held()).Offset)
	if shared < len(l.entries) {
		l.entries = l.entries[:shared:shared]
	}
	l.history = history
	if l.applied > shared {
		l.applied = shared
		return true, nil
	}
	return false, nil
}

// Receive takes the next entry from the primary of term. Entries already held
// are passed over.
func (l *Log) Receive(term int64, entry Entry) error {
	if l.role != sequencer.RoleReplica || l.promised != term {
		return refused("receive", "server is a %s in term %d, not a replica in term %d", l.role, l.promised, term)
	}
	next := int64(len(l.entries)) + 1
	if entry.At.Offset < next {
		return nil
	}
	if entry.At.Offset > next {
		return refused("receive", "entry %v leaves a gap after offset %d", entry.At, next-1)
	}
	l.entries = append(l.entries, entry)
	return nil
}

// ApplyNext returns the next entry to apply and counts it as applied.
func (l *Log) ApplyNext() (Entry, bool) {
	if l.applied >= len(l.entries) {
		return Entry{}, false
	}
	l.applied++
	return l.entries[l.applied-1], true
}

// Since returns the entries after offset. The slice must not be changed.
func (l *Log) Since(offset int64) []Entry {
	if offset >= int64(len(l.entries)) {
		return nil
	}
	return l.entries[offset:]
}
