package decider

import (
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// maxRecentEdits is how many of the last edits a daemon keeps for its peers. A
// peer that is further behind gets a snapshot of the lists.
const maxRecentEdits = 200

// sendLists sends a peer the edits after its version, or a snapshot of the lists
// if not all of those edits are kept.
func (n *Node) sendLists(now timekeeper.Millis, from string, after int64) {
	if n.lists.Version() <= after {
		return
	}
	if edits := n.editsAfter(after); edits != nil {
		n.sendMessage(now, from, Message{Edits: edits})
		return
	}
	file := n.lists.File()
	n.sendMessage(now, from, Message{Lists: &file})
}

// editsAfter returns the edits that follow a version, or nil if the first of them
// is no longer kept.
func (n *Node) editsAfter(after int64) []planner.Edit {
	for i, e := range n.recentEdits {
		if e.BaseVersion == after {
			return n.recentEdits[i:]
		}
	}
	return nil
}

// installSnapshot replaces the lists by a valid snapshot of a higher version.
// Others are ignored.
func (n *Node) installSnapshot(file planner.File) {
	if file.Version <= n.lists.Version() {
		return
	}
	lists, err := file.Lists()
	if err != nil {
		n.logf("planner: lists of version %d from a peer are refused: %v", file.Version, err)
		return
	}
	n.recentEdits = nil
	n.setLists(lists)
}

func (n *Node) setLists(lists planner.Lists) {
	if lists.Version() < n.lists.Version() && n.deps.InvariantViolated != nil {
		n.deps.InvariantViolated("planner: lists went back from %d to %d", n.lists.Version(), lists.Version())
	}
	n.lists = lists
	n.listsKnown = true
	n.hosts.ListsVersion = lists.Version()
	n.logf("planner: lists of version %d are in force", lists.Version())
}

// EditsRead reports the edits that follow the current version, in order, as read
// from the platform, or a newer snapshot of the lists. Any answer of the
// platform, even an empty one, makes the lists count as known.
func (n *Node) EditsRead(_ timekeeper.Millis, snapshot *planner.File, edits []planner.Edit) []Command {
	n.listsKnown = true
	if snapshot != nil {
		n.installSnapshot(*snapshot)
	}
	n.applyEdits(edits)
	return n.takeCommands()
}

// applyEdits applies the edits that continue the current version and ignores the
// others. An invalid edit changes nothing but the version.
func (n *Node) applyEdits(edits []planner.Edit) {
	lists := n.lists
	for _, e := range edits {
		if e.BaseVersion != lists.Version() {
			continue
		}
		next, err := lists.Apply(e)
		if err != nil {
			n.logf("planner: edit %s is passed over: %v", e.ID, err)
			next = lists.Skip(e)
		}
		lists = next
		n.recentEdits = append(n.recentEdits, e)
	}
	if over := len(n.recentEdits) - maxRecentEdits; over > 0 {
		n.recentEdits = append([]planner.Edit(nil), n.recentEdits[over:]...)
	}
	if lists.Version() > n.lists.Version() {
		n.setLists(lists)
	}
}
