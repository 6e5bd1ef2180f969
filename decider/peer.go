package decider

import (
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// MessageReceived takes a message from another daemon.
func (n *Node) MessageReceived(now timekeeper.Millis, from string, m Message) []Command {
	n.receive(now, from, m)
	return n.take()
}

func (n *Node) receive(now timekeeper.Millis, from string, m Message) {
	switch {
	case m.Forward != nil:
		n.forward(now, *m.Forward)
	case m.Work != nil:
		n.mailedWork(now, *m.Work)
	case m.Step != nil:
		n.mailedStep(now, *m.Step)
	case m.Outcome != nil:
		n.settle(now, *m.Outcome)
	case m.Cancel != nil:
		n.mailedCancel(now, *m.Cancel)
	case m.CancelKey != nil:
		if m.CancelKey.Host == HostNumber(n.settings.Self.Name) {
			n.emit(CancelClient(*m.CancelKey))
		}
	case m.Leaving != nil:
		n.setLeaving(now, *m.Leaving)
	case m.Fetch != nil:
		n.sendLists(now, from, m.Fetch.After)
	case m.Lists != nil:
		n.adopt(*m.Lists)
	case len(m.Edits) > 0:
		n.apply(m.Edits)
	}
}

func (n *Node) mailedCancel(now timekeeper.Millis, c CancelMessage) {
	h := n.homes[c.Database]
	if h == nil {
		return
	}
	if c.Statement {
		n.serverCommands(now, h, h.dispatcher.CancelStatement(now, c.ID))
		return
	}
	n.serverCommands(now, h, h.dispatcher.Abandon(now, c.ID))
}

// mailedWork runs work of another entry. Work for a database that this host is
// not the home of is run all the same: two homes are slow, never wrong.
func (n *Node) mailedWork(now timekeeper.Millis, w dispatcher.Work) {
	if _, known := n.settings.Databases[w.Database]; !known {
		n.mail(now, w.Gateway, Message{Outcome: &dispatcher.Outcome{ID: w.ID, Class: dispatcher.OutcomeRefused, Code: CodeUndefinedDatabase, Text: "the home does not know the database"}})
		return
	}
	h := n.open(now, w.Database)
	n.serverCommands(now, h, h.dispatcher.Submit(now, w))
}

func (n *Node) mailedStep(now timekeeper.Millis, s StepMessage) {
	if _, known := n.settings.Databases[s.Database]; !known {
		return
	}
	h := n.open(now, s.Database)
	n.serverCommands(now, h, h.dispatcher.Step(now, s.Gateway, s.Step))
}

// PacketReceived takes a datagram from another daemon. One that carries a higher
// version of the lists is asked for them.
func (n *Node) PacketReceived(now timekeeper.Millis, m watcher.Message) []Command {
	for _, send := range n.hosts.HandleMessage(now, m) {
		n.emit(GossipPacket(send))
	}
	if m.ListsVersion > n.lists.Version() {
		n.mail(now, m.From.Name, Message{Fetch: &FetchMessage{After: n.lists.Version()}})
	}
	return n.take()
}
