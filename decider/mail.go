package decider

import (
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// detour is how long mail to a host that could not be reached goes through
// another one.
const detour timekeeper.Millis = 3000

// mail sends a message to a host: directly, or through a third daemon while the
// direct way is known to be cut. It reports whether there is a way.
func (n *Node) mail(now timekeeper.Millis, name string, m Message) bool {
	to, known := n.hosts.Member(name)
	if !known {
		return false
	}
	if now >= n.unreachable[name] {
		delete(n.unreachable, name)
		n.emit(ToPeer{To: to, Message: m})
		return true
	}
	via, found := n.relay(now, name)
	if !found {
		n.emit(ToPeer{To: to, Message: m})
		return true
	}
	n.logf("relayer: mail to %s goes through %s", name, via.Name)
	n.emit(ToPeer{To: via, Message: Message{Forward: &ForwardMessage{From: n.settings.Self.Name, To: name, Message: m}}})
	return true
}

// relay returns a live host through which another one may be reached.
func (n *Node) relay(now timekeeper.Millis, name string) (watcher.Member, bool) {
	for _, m := range n.hosts.Members() {
		if m.Name != name && m.Name != n.settings.Self.Name && m.State == watcher.StateLive && now >= n.unreachable[m.Name] {
			return m, true
		}
	}
	return watcher.Member{}, false
}

// forward passes mail on, or takes it at its end. Mail is passed on once only.
func (n *Node) forward(now timekeeper.Millis, f ForwardMessage) {
	if f.To == n.settings.Self.Name {
		n.receive(now, f.From, f.Message)
		return
	}
	if to, known := n.hosts.Member(f.To); known {
		n.emit(ToPeer{To: to, Message: Message{Forward: &f}})
	}
}
