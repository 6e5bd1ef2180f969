// Package acknowledger decides when a commit may be acknowledged: when a
// majority of the database's backend servers have received it in the term of
// its log entry.
package acknowledger

import (
	"slices"

	"github.com/heatherhall/heatherhall/sequencer"
)

// Commit is a commit that waits to be acknowledged, with the position of its
// log entry.
type Commit struct {
	ID       string
	Position sequencer.Position
}

// Tracker tracks the last positions that the backend servers of one database
// have received, and the commits that wait for a quorum. It is not safe for
// concurrent use.
type Tracker struct {
	quorum    int
	positions map[string]sequencer.Position
	pending   []Commit
}

// New returns a Tracker for a database group of the given number of servers.
// Its quorum is a majority.
func New(servers int) *Tracker {
	return &Tracker{quorum: Majority(servers), positions: map[string]sequencer.Position{}}
}

// WithQuorum returns a new, empty Tracker whose quorum is the given number of
// servers. A quorum of 1 acknowledges commits that only the primary has, so a
// failover can lose acknowledged commits.
func (t *Tracker) WithQuorum(quorum int) *Tracker {
	return &Tracker{quorum: quorum, positions: map[string]sequencer.Position{}}
}

// Majority returns the smallest number of servers that is more than half.
func Majority(servers int) int {
	return servers/2 + 1
}

// Add adds a commit. If the commit has a quorum already, it is not kept and Add
// reports true: it may be acknowledged at once.
func (t *Tracker) Add(commit Commit) bool {
	if t.HasQuorum(commit.Position) {
		return true
	}
	t.pending = append(t.pending, commit)
	return false
}

// UpdatePosition records the last position that a server has received. It
// removes and returns the commits that may now be acknowledged, in the order in
// which they were added.
func (t *Tracker) UpdatePosition(server string, received sequencer.Position) []Commit {
	if t.positions[server] == received {
		return nil
	}
	t.positions[server] = received
	if len(t.pending) == 0 {
		return nil
	}
	var acknowledged []Commit
	remaining := t.pending[:0]
	for _, commit := range t.pending {
		if t.HasQuorum(commit.Position) {
			acknowledged = append(acknowledged, commit)
			continue
		}
		remaining = append(remaining, commit)
	}
	t.pending = remaining
	return acknowledged
}

// HasQuorum reports whether a quorum of servers has received the entry at a
// position. A server counts only if its last entry is of the same term. A
// longer log that ends in an earlier term may lack the entry, and a promotion
// replaces the end of such a log.
func (t *Tracker) HasQuorum(at sequencer.Position) bool {
	count := 0
	for _, received := range t.positions {
		if received.Term == at.Term && received.Offset >= at.Offset {
			count++
		}
	}
	return count >= t.quorum
}

// Remove removes the waiting commit with the given ID, if there is one.
func (t *Tracker) Remove(id string) {
	t.pending = slices.DeleteFunc(t.pending, func(c Commit) bool { return c.ID == id })
}

// StartTerm applies the history of a newer term. Waiting commits that the
// history contains now wait for the first entry of that term: a server that has
// received that entry has received the commits too. The other commits are
// removed and returned, because it is unknown whether they survive.
func (t *Tracker) StartTerm(history sequencer.History) []Commit {
	var unknown []Commit
	remaining := t.pending[:0]
	for _, commit := range t.pending {
		switch {
		case commit.Position.Term >= history.Term():
			remaining = append(remaining, commit)
		case history.Contains(commit.Position):
			commit.Position = TermStart(history)
			remaining = append(remaining, commit)
		default:
			unknown = append(unknown, commit)
		}
	}
	t.pending = remaining
	return unknown
}

// TermStart returns the position of the first entry of the newest term in a
// history.
func TermStart(history sequencer.History) sequencer.Position {
	return sequencer.Position{Term: history.Term(), Offset: history.Start() + 1}
}

// Pending returns the number of waiting commits.
func (t *Tracker) Pending() int {
	return len(t.pending)
}
