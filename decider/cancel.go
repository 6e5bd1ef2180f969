package decider

import (
	"github.com/cespare/xxhash/v2"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Disconnect reports that a client has disconnected. Its queued work is dropped
// and its open transaction is rolled back.
func (n *Node) Disconnect(now timekeeper.Millis, clientID uint64) []Command {
	p := n.pending[n.requestIDs[clientID]]
	if p == nil {
		return nil
	}
	n.removeRequest(p)
	if p.home == n.settings.Self.Name {
		return n.withHome(now, p.work.Database, func(h *home) []dispatcher.Command {
			return h.dispatcher.Abandon(now, p.work.ID)
		})
	}
	n.sendMessage(now, p.home, Message{Cancel: &CancelMessage{Database: p.work.Database, ID: p.work.ID}})
	return n.takeCommands()
}

// Cancel cancels the statement that a client waits for. It does nothing if the
// client waits for none.
func (n *Node) Cancel(now timekeeper.Millis, clientID uint64) []Command {
	p := n.pending[n.requestIDs[clientID]]
	if p == nil || !p.waiting {
		return nil
	}
	if p.home == n.settings.Self.Name {
		return n.withHome(now, p.work.Database, func(h *home) []dispatcher.Command {
			return h.dispatcher.CancelStatement(now, p.work.ID)
		})
	}
	n.sendMessage(now, p.home, Message{Cancel: &CancelMessage{Database: p.work.Database, ID: p.work.ID, Statement: true}})
	return n.takeCommands()
}

// HostNumber returns the 12-bit number that identifies a host in cancel keys, a
// hash of its name. Two hosts may share a number; a cancel request then reaches
// both, and only the daemon that issued the key's secret acts on it.
func HostNumber(name string) uint16 {
	return uint16(xxhash.Sum64String(name) & hostNumberMask)
}

const hostNumberMask = 1<<12 - 1

// CancelRequest handles a cancel request, which clients may send to any daemon.
// It forwards the request to every host with the key's host number.
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
	return n.takeCommands()
}
