// Package faker implements the stand-ins that heatherhall is tested against: a
// backend server that speaks the PostgreSQL protocol, with a small SQL engine,
// streaming replication and injected faults, and the platform's HTTP service.
// They imitate only the interfaces and keep all data in memory.
package faker

import (
	"github.com/heatherhall/heatherhall/sequencer"
)

// Entry is a log entry: the changes of one committed transaction and the
// position of the entry. The entry that a promotion appends has no changes.
type Entry struct {
	Position sequencer.Position `json:"at"`
	Changes  []Change           `json:"changes"`
}

// Log is the replicated log of one backend server, with its role and term.
// Fence, Promote and Follow change these; the other methods add, truncate and
// read entries. It does no I/O and is not safe for concurrent use.
type Log struct {
	server string
	role   sequencer.Role
	// promisedTerm is the lowest term that the server accepts entries of.
	promisedTerm int64
	history      sequencer.History
	// entries holds the entry with offset n at index n-1.
	entries []Entry
	// applied is the number of entries that reads see.
	applied int
}

// NewPrimary returns an empty log whose server is the primary in term 1.
func NewPrimary(server string) *Log {
	return &Log{server: server, role: sequencer.RolePrimary, promisedTerm: 1, history: sequencer.History{{Term: 1}}}
}

// NewReplica returns an empty log whose server is a replica in term 1.
func NewReplica(server string) *Log {
	return &Log{server: server, role: sequencer.RoleReplica, promisedTerm: 1, history: sequencer.History{{Term: 1}}}
}

// ReceivedPosition returns the position of the last entry received, or the zero
// position for an empty log.
func (l *Log) ReceivedPosition() sequencer.Position {
	return l.position(len(l.entries))
}

// Applied returns the position of the last entry that reads see, or the zero
// position if there is none.
func (l *Log) Applied() sequencer.Position {
	return l.position(l.applied)
}

// position returns the position of the entry with the offset count, or the zero
// position if count is 0.
func (l *Log) position(count int) sequencer.Position {
	if count == 0 {
		return sequencer.Position{}
	}
	return l.entries[count-1].Position
}

// Report returns the status report of the log. UpstreamIdleMillis is -1; the
// engine, which knows when the replication stream was last active, sets it.
func (l *Log) Report() sequencer.Report {
	return sequencer.Report{
		Server:             l.server,
		Role:               l.role,
		PromisedTerm:       l.promisedTerm,
		Received:           l.ReceivedPosition(),
		Applied:            l.Applied(),
		History:            l.history,
		UpstreamIdleMillis: -1,
	}
}

// Fence promises that the server accepts no more entries of terms below term,
// and makes it a fenced server. It fails if term is not above the promised term:
// a second fence at the same term is rejected, so that at most one of two
// promoters can fence a majority.
func (l *Log) Fence(term int64) error {
	if term <= l.promisedTerm {
		return stateError("fence", "term %d is not above the promised term %d", term, l.promisedTerm)
	}
	l.promisedTerm = term
	l.role = sequencer.RoleFenced
	return nil
}

// Promote makes a fenced server the primary of the term it was fenced at, counts
// all entries as applied and appends the term's first entry, which has no
// changes. On the primary of term it does nothing. It fails if term is not the
// promised term or the server is a replica.
func (l *Log) Promote(term int64) error {
	if l.promisedTerm != term {
		return stateError("promote", "promised term is %d, not %d", l.promisedTerm, term)
	}
	if l.role == sequencer.RolePrimary {
		return nil
	}
	if l.role != sequencer.RoleFenced {
		return stateError("promote", "server is a %s, not fenced", l.role)
	}
	l.role = sequencer.RolePrimary
	l.history = l.history.WithTerm(term, l.ReceivedPosition().Offset)
	l.applied = len(l.entries)
	_, err := l.Append(nil)
	return err
}

// Follow makes the server a replica in term. It fails if term is below the
// promised term or the server is the primary of term.
func (l *Log) Follow(term int64) error {
	if term < l.promisedTerm {
		return stateError("follow", "term %d is below the promised term %d", term, l.promisedTerm)
	}
	if l.role == sequencer.RolePrimary && term == l.promisedTerm {
		return stateError("follow", "server is the primary of term %d", term)
	}
	l.promisedTerm = term
	l.role = sequencer.RoleReplica
	return nil
}

// Append appends an entry with changes to the log of a primary, counts it as
// applied and returns it. It fails on a server that is not a primary.
func (l *Log) Append(changes []Change) (Entry, error) {
	if l.role != sequencer.RolePrimary {
		return Entry{}, stateError("append", "server is not the primary but a %s, promised term %d", l.role, l.promisedTerm)
	}
	entry := Entry{
		Position: sequencer.Position{Term: l.promisedTerm, Offset: l.ReceivedPosition().Offset + 1},
		Changes:  changes,
	}
	l.entries = append(l.entries, entry)
	l.applied = len(l.entries)
	return entry, nil
}

// TruncateToCommon truncates a replica's log after the last entry that it has in
// common with the primary of term and adopts history, the timeline history of
// that primary. It reports whether applied entries were removed; the tables must
// then be rebuilt from the log. It fails on a server that is not a replica in
// term.
func (l *Log) TruncateToCommon(term int64, history sequencer.History) (appliedTruncated bool, err error) {
	if l.role != sequencer.RoleReplica || l.promisedTerm != term {
		return false, stateError("align", "server is a %s in term %d, not a replica in the stream's term", l.role, l.promisedTerm)
	}
	commonOffset := int(history.Clamp(l.ReceivedPosition()).Offset)
	if commonOffset < len(l.entries) {
		l.entries = l.entries[:commonOffset:commonOffset]
	}
	l.history = history
	if l.applied > commonOffset {
		l.applied = commonOffset
		return true, nil
	}
	return false, nil
}

// Receive appends the next entry from the primary of term. It ignores entries
// that were already received. It fails on a server that is not a replica in term
// and on an entry that does not directly follow the last one.
func (l *Log) Receive(term int64, entry Entry) error {
	if l.role != sequencer.RoleReplica || l.promisedTerm != term {
		return stateError("receive", "server is a %s in term %d, not a replica in term %d", l.role, l.promisedTerm, term)
	}
	next := int64(len(l.entries)) + 1
	if entry.Position.Offset < next {
		return nil
	}
	if entry.Position.Offset > next {
		return stateError("receive", "entry %v leaves a gap after offset %d", entry.Position, next-1)
	}
	l.entries = append(l.entries, entry)
	return nil
}

// ApplyNext returns the next entry to apply and counts it as applied. It returns
// false if all entries are applied.
func (l *Log) ApplyNext() (Entry, bool) {
	if l.applied >= len(l.entries) {
		return Entry{}, false
	}
	l.applied++
	return l.entries[l.applied-1], true
}

// EntriesAfter returns the entries after offset. The slice belongs to the log and
// must not be changed.
func (l *Log) EntriesAfter(offset int64) []Entry {
	if offset >= int64(len(l.entries)) {
		return nil
	}
	return l.entries[offset:]
}
