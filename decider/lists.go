package decider

import (
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// recentLimit is how many of the last edits a daemon keeps for its peers. A peer
// that is further behind gets the lists whole.
const recentLimit = 200

// sendLists sends a peer what it lacks: the edits after its version, or the lists
// whole if those edits are not kept any more.
func (n *Node) sendLists(now timekeeper.Millis, from string, after int64) {
	if n.lists.Version() <= after {
		return
	}
	if edits := n.editsAfter(after); edits != nil {
		n.mail(now, from, Message{Edits: edits})
		return
	}
	file := n.lists.File()
	n.mail(now, from, Message{Lists: &file})
}

// editsAfter returns the kept edits after a version, or nil if they do not reach
// back to it.
func (n *Node) editsAfter(after int64) []planner.Edit {
	for i, e := range n.recent {
		if e.BaseVersion == after {
			return n.recent[i:]
		}
	}
	return nil
}

// adopt takes over lists of a higher version.
func (n *Node) adopt(file planner.File) {
	if file.Version <= n.lists.Version() {
		return
	}
	lists, err := file.Lists()
	if err != nil {
		n.logf("planner: lists of version %d from a peer are refused: %v", file.Version, err)
		return
	}
	n.recent = nil
	n.setLists(lists)
}

func (n *Node) setLists(lists planner.Lists) {
	if lists.Version() < n.lists.Version() && n.seams.InvariantViolated != nil {
		n.seams.InvariantViolated("planner: lists went back from %d to %d", n.lists.Version(), lists.Version())
	}
	n.lists = lists
	n.heard = true
	n.hosts.ListsVersion = lists.Version()
	n.logf("planner: lists of version %d are in force", lists.Version())
}

// EditsRead takes the edits read from the platform after the present version, in
// order, or a snapshot that is newer than them.
func (n *Node) EditsRead(_ timekeeper.Millis, snapshot *planner.File, edits []planner.Edit) []Command {
	n.heard = true
	if snapshot != nil {
		n.adopt(*snapshot)
	}
	n.apply(edits)
	return n.take()
}

// apply puts the edits in force that follow on the present version. The others
// are passed over.
func (n *Node) apply(edits []planner.Edit) {
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
		n.recent = append(n.recent, e)
	}
	if over := len(n.recent) - recentLimit; over > 0 {
		n.recent = append([]planner.Edit(nil), n.recent[over:]...)
	}
	if lists.Version() > n.lists.Version() {
		n.setLists(lists)
	}
}
