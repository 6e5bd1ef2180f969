// Package acknowledger decides when a commit may be acknowledged: when a
// majority of the database's backend servers hold it in the term it was made
// in.
package acknowledger

import (
	"slices"

	"github.com/heatherhall/heatherhall/sequencer"
)

// Commit is a commit that waits to be acknowledged.
type Commit struct {
	ID       string
	Position sequencer.Position
}

// Tracker follows the positions that the backend servers of one database hold.
// It is not safe for concurrent use.
type Tracker struct {
	need    int
	held    map[string]sequencer.Position
	pending []Commit
}

// New returns a tracker for a group of the given size that acknowledges what a
// majority holds.
func New(servers int) *Tracker {
	return &Tracker{need: Majority(servers), held: map[string]sequencer.Position{}}
}

// WithQuorum returns a tracker that acknowledges what need servers hold. A need
// of 1 acknowledges on the primary's commit alone and loses work in a failover.
func (t *Tracker) WithQuorum(need int) *Tracker {
	return &Tracker{need: need, held: map[string]sequencer.Position{}}
}

// Majority returns how many of a number of servers make a majority.
func Majority(servers int) int {
	return servers/2 + 1
}

// Add adds a commit. It reports whether the commit may be acknowledged at
// once.
func (t *Tracker) Add(commit Commit) bool {
	if t.HasQuorum(commit.Position) {
		return true
	}
	t.pending = append(t.pending, commit)
	return false
}

// UpdatePosition takes a server's report of the last entry it holds and returns the
// commits that may now be acknowledged, in the order they were added.
func (t *Tracker) UpdatePosition(server string, held sequencer.Position) []Commit {
	if t.held[server] == held {
		return nil
	}
	t.held[server] = held
	if len(t.pending) == 0 {
		return nil
	}
	var done []Commit
	kept := t.pending[:0]
	for _, commit := range t.pending {
		if t.HasQuorum(commit.Position) {
			done = append(done, commit)
			continue
		}
		kept = append(kept, commit)
	}
	t.pending = kept
	return done
}

// HasQuorum reports whether enough servers hold the entry. A server counts only
// if its last entry is of the same term: the holder of a longer log of an
// earlier term proves nothing, and a promotion overrules it.
func (t *Tracker) HasQuorum(at sequencer.Position) bool {
	holders := 0
	for _, held := range t.held {
		if held.Term == at.Term && held.Offset >= at.Offset {
			holders++
		}
	}
	return holders >= t.need
}

// Remove drops a commit that is no longer waited for.
func (t *Tracker) Remove(id string) {
	t.pending = slices.DeleteFunc(t.pending, func(c Commit) bool { return c.ID == id })
}

// StartTerm takes the history of a newer term. Commits that are part of it wait
// from now on for the first entry of that term, which a majority holds only
// together with them. The others are returned: whether they survive is not
// known.
func (t *Tracker) StartTerm(history sequencer.History) []Commit {
	var lost []Commit
	kept := t.pending[:0]
	for _, commit := range t.pending {
		switch {
		case commit.Position.Term >= history.Term():
			kept = append(kept, commit)
		case history.Contains(commit.Position):
			commit.Position = TermStart(history)
			kept = append(kept, commit)
		default:
			lost = append(lost, commit)
		}
	}
	t.pending = kept
	return lost
}

// TermStart returns the position of the first entry of the newest term.
func TermStart(history sequencer.History) sequencer.Position {
	return sequencer.Position{Term: history.Term(), Offset: history.Start() + 1}
}

// Pending returns the number of commits that wait.
func (t *Tracker) Pending() int {
	return len(t.pending)
}
