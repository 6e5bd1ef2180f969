package decider

import (
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// MessageReceived handles a message from the daemon named from.
func (n *Node) MessageReceived(now timekeeper.Millis, from string, m Message) []Command {
	n.receive(now, from, m)
	return n.takeCommands()
}

func (n *Node) receive(now timekeeper.Millis, from string, m Message) {
	switch {
	case m.Forward != nil:
		n.forward(now, *m.Forward)
	case m.Work != nil:
		n.receiveWork(now, *m.Work)
	case m.Step != nil:
		n.receiveStep(now, *m.Step)
	case m.Outcome != nil:
		n.completeRequest(now, *m.Outcome)
	case m.Cancel != nil:
		n.receiveCancel(now, *m.Cancel)
	case m.CancelKey != nil:
		if m.CancelKey.Host == HostNumber(n.settings.Self.Name) {
			n.emit(CancelClient(*m.CancelKey))
		}
	case m.Leaving != nil:
		n.setLeaving(now, *m.Leaving)
	case m.Fetch != nil:
		n.sendLists(now, from, m.Fetch.After)
	case m.Lists != nil:
		n.installSnapshot(*m.Lists)
	case len(m.Edits) > 0:
		n.applyEdits(m.Edits)
	}
}

func (n *Node) receiveCancel(now timekeeper.Millis, c CancelMessage) {
	h := n.homes[c.Database]
	if h == nil {
		return
	}
	if c.Statement {
		n.executeDispatcherCommands(now, h, h.dispatcher.CancelStatement(now, c.ID))
		return
	}
	n.executeDispatcherCommands(now, h, h.dispatcher.Abandon(now, c.ID))
}

// receiveWork submits work that another gateway daemon sent. The work runs even
// if this host is not the database's home: two homes for one database cost speed
// but not correctness.
func (n *Node) receiveWork(now timekeeper.Millis, w dispatcher.Work) {
	if _, known := n.settings.Databases[w.Database]; !known {
		n.sendMessage(now, w.Gateway, Message{Outcome: &dispatcher.Outcome{ID: w.ID, Class: dispatcher.OutcomeRefused, Code: CodeUndefinedDatabase, Text: "the home does not know the database"}})
		return
	}
	h := n.openHome(now, w.Database)
	n.executeDispatcherCommands(now, h, h.dispatcher.Submit(now, w))
}

func (n *Node) receiveStep(now timekeeper.Millis, s StepMessage) {
	if _, known := n.settings.Databases[s.Database]; !known {
		return
	}
	h := n.openHome(now, s.Database)
	n.executeDispatcherCommands(now, h, h.dispatcher.Step(now, s.Gateway, s.Step))
}

// PacketReceived handles a gossip datagram from another daemon. If the sender has
// a higher version of the lists, they are requested from it.
func (n *Node) PacketReceived(now timekeeper.Millis, m watcher.Message) []Command {
	for _, envelope := range n.hosts.HandleMessage(now, m) {
		n.emit(GossipPacket(envelope))
	}
	if m.ListsVersion > n.lists.Version() {
		n.sendMessage(now, m.From.Name, Message{Fetch: &FetchMessage{After: n.lists.Version()}})
	}
	return n.takeCommands()
}
