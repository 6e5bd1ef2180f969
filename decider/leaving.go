package decider

import (
	"reflect"

	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// listAgain is how often a daemon that does not speak for its domain reads the
// platform's list of hosts all the same, in reads of the one that does.
const listAgain = 60

// speaks reports whether this daemon reads the platform for its failure domain.
func (n *Node) speaks() bool {
	return n.hosts.DomainReader(n.settings.Self.Domain) == n.settings.Self.Name
}

// readHosts asks for the platform's list of hosts when it is due. One daemon of a
// domain reads it often and tells the others what has changed.
func (n *Node) readHosts(now timekeeper.Millis) {
	interval := n.settings.HostsInterval
	if n.started && !n.speaks() {
		interval *= listAgain
	}
	if n.hostsRead > 0 && now < n.hostsRead+interval {
		return
	}
	n.hostsRead = now
	n.emit(ReadHosts{})
}

// HostsRead takes the platform's list: the entry hosts, and what of the hosts and
// servers is leaving.
func (n *Node) HostsRead(now timekeeper.Millis, hosts []watcher.Member, leaving LeavingSet) []Command {
	n.hosts.ApplyHostList(hosts, leaving.Hosts)
	if n.started && n.speaks() && !reflect.DeepEqual(leaving, n.leaving) {
		n.tellDomain(now, leaving)
	}
	n.started = true
	n.setLeaving(now, leaving)
	return n.take()
}

// tellDomain passes a changed list on to the other daemons of the domain.
func (n *Node) tellDomain(now timekeeper.Millis, leaving LeavingSet) {
	for _, m := range n.hosts.Members() {
		if m.Domain == n.settings.Self.Domain && m.Name != n.settings.Self.Name && m.State == watcher.StateLive {
			n.mail(now, m.Name, Message{Leaving: &leaving})
		}
	}
}

// setLeaving puts what is leaving in force.
func (n *Node) setLeaving(now timekeeper.Millis, leaving LeavingSet) {
	n.leaving = leaving
	n.hosts.ApplyHostList(nil, leaving.Hosts)
	for name, h := range n.homes {
		n.serverCommands(now, h, h.dispatcher.SetLeaving(now, leaving.Servers[name]))
	}
}
