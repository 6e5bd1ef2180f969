package decider

import (
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// forwardPeriod is how long messages to an unreachable host are sent through
// another daemon.
const forwardPeriod timekeeper.Millis = 3000

// sendMessage sends a message to a host: through a third daemon if the host was
// unreachable within the last forwardPeriod and there is such a daemon, otherwise
// directly. It returns false if the host is not a member.
func (n *Node) sendMessage(now timekeeper.Millis, host string, m Message) bool {
	member, known := n.hosts.Member(host)
	if !known {
		return false
	}
	if now >= n.unreachable[host] {
		delete(n.unreachable, host)
		n.emit(ToPeer{To: member, Message: m})
		return true
	}
	via, found := n.forwarder(now, host)
	if !found {
		n.emit(ToPeer{To: member, Message: m})
		return true
	}
	n.logf("relayer: forwarding message to %s through %s", host, via.Name)
	n.emit(ToPeer{To: via, Message: Message{Forward: &ForwardMessage{From: n.settings.Self.Name, To: host, Message: m}}})
	return true
}

// forwarder returns a live host other than the given one that is not known to be
// unreachable.
func (n *Node) forwarder(now timekeeper.Millis, host string) (watcher.Member, bool) {
	for _, m := range n.hosts.Members() {
		if m.Name != host && m.Name != n.settings.Self.Name && m.State == watcher.StateLive && now >= n.unreachable[m.Name] {
			return m, true
		}
	}
	return watcher.Member{}, false
}

// forward handles a forwarded message: its receiver processes the message, any
// other daemon sends it directly to the receiver. A message is forwarded only
// once.
func (n *Node) forward(now timekeeper.Millis, f ForwardMessage) {
	if f.To == n.settings.Self.Name {
		n.receive(now, f.From, f.Message)
		return
	}
	if member, known := n.hosts.Member(f.To); known {
		n.emit(ToPeer{To: member, Message: Message{Forward: &f}})
	}
}
