package decider

import (
	"slices"
	"strings"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// PeerLost reports that another daemon is unreachable. The pending requests that
// were sent to it are sent to a home again if they may run twice, else completed.
// For forwardPeriod, messages to it are sent through another daemon.
func (n *Node) PeerLost(now timekeeper.Millis, name string) []Command {
	n.unreachable[name] = now + forwardPeriod
	for _, p := range n.sortedPending() {
		if p.home == name && (p.waiting || p.open) {
			n.handleHomeLost(now, p)
		}
	}
	return n.takeCommands()
}

func (n *Node) sortedPending() []*pending {
	requests := make([]*pending, 0, len(n.pending))
	for _, p := range n.pending {
		requests = append(requests, p)
	}
	slices.SortFunc(requests, func(a, b *pending) int { return strings.Compare(a.work.ID, b.work.ID) })
	return requests
}

// handleHomeLost completes or resends a request whose home is unreachable, dead
// or did not answer in time.
func (n *Node) handleHomeLost(now timekeeper.Millis, p *pending) {
	retryable := !p.work.Write || p.work.Begin || p.work.Key != ""
	switch {
	case p.open && p.endsTransaction:
		n.reply(p, unknownOutcome("the daemon that ran the transaction was lost while it committed"))
	case p.open && p.waiting:
		n.reply(p, *refusal(dispatcher.CodeRolledBack, "the daemon that ran the transaction was lost and it was rolled back", 0))
	case p.open:
		// The client's next statement is refused with CodeRolledBack.
		p.open = false
	case !retryable:
		n.reply(p, unknownOutcome("the daemon that ran the work was lost before its answer came"))
	case p.resends >= maxResends || now >= p.deadline || !n.withdrawRetry(p.work.Customer):
		n.replyNoHome(p)
	default:
		n.resend(now, p)
	}
}

// resend sends work to the current home under a new id. The old home may still
// run it under the old id, so only work that may run twice or that has a
// request key may be resent.
func (n *Node) resend(now timekeeper.Millis, p *pending) {
	n.removeRequest(p)
	p.resends++
	p.work.MayHaveRun = p.work.Write
	p.work.ID = n.nextID()
	p.work.Timeout = max(1, p.deadline-replyGrace-now)
	n.pending[p.work.ID] = p
	n.requestIDs[p.clientID] = p.work.ID
	n.sendWork(now, p)
}

// replyNoHome completes a request that no home answered: with an unknown outcome
// for a write, which may have run, but with a refusal for a read or for work that
// begins a transaction.
func (n *Node) replyNoHome(p *pending) {
	if p.work.Write && !p.work.Begin {
		n.reply(p, unknownOutcome("no home of the database answered"))
		return
	}
	n.reply(p, *refusal(dispatcher.CodeNoPrimary, "no home of the database answered", 0))
}

func unknownOutcome(text string) dispatcher.Outcome {
	return dispatcher.Outcome{Class: dispatcher.OutcomeUnknown, Code: dispatcher.CodeOutcomeUnknown, Text: text, TxStatus: "I"}
}

// tickPending handles the waiting requests whose deadline has passed or whose
// home is dead.
func (n *Node) tickPending(now timekeeper.Millis) {
	var lost []*pending
	for _, p := range n.pending {
		if p.waiting && (now >= p.deadline || n.homeDead(p)) {
			lost = append(lost, p)
		}
	}
	slices.SortFunc(lost, func(a, b *pending) int { return strings.Compare(a.work.ID, b.work.ID) })
	for _, p := range lost {
		n.handleHomeLost(now, p)
	}
}

// homeDead reports whether the host that the work was sent to is dead or no
// longer a member.
func (n *Node) homeDead(p *pending) bool {
	m, known := n.hosts.Member(p.home)
	return p.home != n.settings.Self.Name && (!known || m.State == "dead")
}
