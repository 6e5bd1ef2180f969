package decider

import (
	"github.com/cespare/xxhash/v2"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Disconnect tells that a caller has gone. Its queued work is dropped and its open
// transaction rolled back.
func (n *Node) Disconnect(now timekeeper.Millis, caller uint64) []Command {
	p := n.pending[n.callers[caller]]
	if p == nil {
		return nil
	}
	n.drop(p)
	if p.home == n.settings.Self.Name {
		return n.withHome(now, p.work.Database, func(h *home) []dispatcher.Command {
			return h.dispatcher.Abandon(now, p.work.ID)
		})
	}
	n.mail(now, p.home, Message{Cancel: &CancelMessage{Database: p.work.Database, ID: p.work.ID}})
	return n.take()
}

// Cancel cancels what a caller waits for.
func (n *Node) Cancel(now timekeeper.Millis, caller uint64) []Command {
	p := n.pending[n.callers[caller]]
	if p == nil || !p.waits {
		return nil
	}
	if p.home == n.settings.Self.Name {
		return n.withHome(now, p.work.Database, func(h *home) []dispatcher.Command {
			return h.dispatcher.CancelStatement(now, p.work.ID)
		})
	}
	n.mail(now, p.home, Message{Cancel: &CancelMessage{Database: p.work.Database, ID: p.work.ID, Statement: true}})
	return n.take()
}

// HostNumber returns the number of a host in cancel keys. Two hosts may share a
// number; a key then reaches both, and its secret tells whose it is.
func HostNumber(name string) uint16 {
	return uint16(xxhash.Sum64String(name) & hostNumberMask)
}

const hostNumberMask = 1<<12 - 1

// CancelRequest takes a cancel request, which callers may send to any daemon, and
// passes it on to the daemon whose caller it names.
func (n *Node) CancelRequest(key CancelKeyMessage) []Command {
	for _, m := range n.hosts.Members() {
		switch {
		case HostNumber(m.Name) != key.Host:
		case m.Name == n.settings.Self.Name:
			n.emit(CancelClient(key))
		default:
			n.emit(ToPeer{To: m, Message: Message{CancelKey: &key}})
		}
	}
	return n.take()
}
