package decider

import (
	"slices"
	"strings"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// PeerLost tells that another daemon can't be reached. What was given to it is
// given to another home, if it may run again; mail to it takes a detour for a
// time.
func (n *Node) PeerLost(now timekeeper.Millis, name string) []Command {
	n.unreachable[name] = now + detour
	for _, p := range n.sortedPending() {
		if p.home == name && (p.waits || p.open) {
			n.lose(now, p)
		}
	}
	return n.take()
}

func (n *Node) sortedPending() []*pending {
	out := make([]*pending, 0, len(n.pending))
	for _, p := range n.pending {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *pending) int { return strings.Compare(a.work.ID, b.work.ID) })
	return out
}

// lose decides on a request whose home went away.
func (n *Node) lose(now timekeeper.Millis, p *pending) {
	repeatable := !p.work.Write || p.work.Begin || p.work.Key != ""
	switch {
	case p.open && p.commit:
		n.reply(p, unknown("the daemon that ran the transaction was lost while it committed"))
	case p.open && p.waits:
		n.reply(p, *refusal(dispatcher.CodeRolledBack, "the daemon that ran the transaction was lost and it was rolled back", 0))
	case p.open:
		// The caller learns it with its next statement.
		p.open = false
	case !repeatable:
		n.reply(p, unknown("the daemon that ran the work was lost before its answer came"))
	case p.resends >= resendLimit || now >= p.due || !n.spendRetry(p.work.Customer):
		n.giveUp(p)
	default:
		n.resend(now, p)
	}
}

// resend gives work to the present home under a new id: the old one may still
// run it, so only work that may run twice, or that has a key, comes here.
func (n *Node) resend(now timekeeper.Millis, p *pending) {
	n.drop(p)
	p.resends++
	p.work.MayHaveRun = p.work.Write
	p.work.ID = n.nextID()
	p.work.Timeout = max(1, p.due-grace-now)
	n.pending[p.work.ID] = p
	n.callers[p.caller] = p.work.ID
	n.send(now, p)
}

func (n *Node) giveUp(p *pending) {
	if p.work.Write && !p.work.Begin {
		n.reply(p, unknown("no home of the database answered"))
		return
	}
	n.reply(p, *refusal(dispatcher.CodeNoPrimary, "no home of the database answered", 0))
}

func unknown(text string) dispatcher.Outcome {
	return dispatcher.Outcome{Class: dispatcher.OutcomeUnknown, Code: dispatcher.CodeOutcomeUnknown, Text: text, TxStatus: "I"}
}

// tickPending ends requests whose home is silent, and moves those whose home is
// not live any more.
func (n *Node) tickPending(now timekeeper.Millis) {
	var due []*pending
	for _, p := range n.pending {
		if p.waits && (now >= p.due || n.deadHome(p)) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *pending) int { return strings.Compare(a.work.ID, b.work.ID) })
	for _, p := range due {
		n.lose(now, p)
	}
}

// deadHome reports whether the host that was given the work counts as dead.
func (n *Node) deadHome(p *pending) bool {
	m, known := n.hosts.Member(p.home)
	return p.home != n.settings.Self.Name && (!known || m.State == "dead")
}
