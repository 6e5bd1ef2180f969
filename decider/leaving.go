package decider

import (
	"reflect"

	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// nonReaderFactor multiplies the interval at which daemons other than the domain
// reader read the platform's list of hosts: they read it once for every 60 reads
// of the domain reader.
const nonReaderFactor = 60

// isDomainReader reports whether this daemon is the domain reader, which reads
// the platform for its failure domain.
func (n *Node) isDomainReader() bool {
	return n.hosts.DomainReader(n.settings.Self.Domain) == n.settings.Self.Name
}

// readHosts emits ReadHosts when the next read is due. The domain reader reads
// the list often and sends changes to the other daemons of its domain.
func (n *Node) readHosts(now timekeeper.Millis) {
	interval := n.settings.HostsInterval
	if n.hostListKnown && !n.isDomainReader() {
		interval *= nonReaderFactor
	}
	if n.lastHostsRead > 0 && now < n.lastHostsRead+interval {
		return
	}
	n.lastHostsRead = now
	n.emit(ReadHosts{})
}

// HostsRead reports the platform's list of hosts and the hosts and backend
// servers that are leaving.
func (n *Node) HostsRead(now timekeeper.Millis, hosts []watcher.Member, leaving LeavingSet) []Command {
	n.hosts.ApplyHostList(hosts, leaving.Hosts)
	if n.hostListKnown && n.isDomainReader() && !reflect.DeepEqual(leaving, n.leaving) {
		n.broadcastLeaving(now, leaving)
	}
	n.hostListKnown = true
	n.setLeaving(now, leaving)
	return n.takeCommands()
}

// broadcastLeaving sends a changed leaving set to the live daemons of the domain.
func (n *Node) broadcastLeaving(now timekeeper.Millis, leaving LeavingSet) {
	for _, m := range n.hosts.Members() {
		if m.Domain == n.settings.Self.Domain && m.Name != n.settings.Self.Name && m.State == watcher.StateLive {
			n.sendMessage(now, m.Name, Message{Leaving: &leaving})
		}
	}
}

// setLeaving applies a leaving set to the members and to the homes on this host.
func (n *Node) setLeaving(now timekeeper.Millis, leaving LeavingSet) {
	n.leaving = leaving
	n.hosts.ApplyHostList(nil, leaving.Hosts)
	for name, h := range n.homes {
		n.executeDispatcherCommands(now, h, h.dispatcher.SetLeaving(now, leaving.Servers[name]))
	}
}
