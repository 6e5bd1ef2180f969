package decider

import (
	"maps"
	"slices"
	"strconv"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// Node is the whole of one daemon's decisions. It is not safe for concurrent
// use.
type Node struct {
	settings Settings
	seams    Deps
	out      []Command

	hosts *watcher.Membership
	lists planner.Lists
	heard bool
	// recent are the last edits, oldest first.
	recent  []planner.Edit
	homes   map[string]*home
	pending map[string]*pending
	callers map[uint64]string
	buckets map[string]*bucket
	// retries is what is left of each customer's retry budget.
	retries map[string]float64
	blocked map[blockKey]timekeeper.Millis
	leaving LeavingSet
	// unreachable holds until when mail to a host takes a detour.
	unreachable map[string]timekeeper.Millis

	conn   pooler.Conn
	number uint64
	// found is one more than the version of the list of hosts for which homes
	// were looked for last.
	found   uint64
	tailDue timekeeper.Millis
	// hostsRead is when the list of hosts was asked for last.
	hostsRead timekeeper.Millis
	started   bool
	draining  bool
}

// New returns a node that has just started. Its incarnation must be higher than
// that of any earlier daemon of the same name.
func New(settings Settings, seams Deps) *Node {
	n := &Node{
		settings:    settings,
		seams:       seams,
		lists:       planner.Empty(),
		homes:       map[string]*home{},
		pending:     map[string]*pending{},
		callers:     map[uint64]string{},
		buckets:     map[string]*bucket{},
		retries:     map[string]float64{},
		blocked:     map[blockKey]timekeeper.Millis{},
		unreachable: map[string]timekeeper.Millis{},
	}
	n.hosts = watcher.New(settings.Hosts, settings.Self, settings.Peers, seams.Log)
	return n
}

func (n *Node) take() []Command {
	out := n.out
	n.out = nil
	return out
}

func (n *Node) emit(c Command) {
	n.out = append(n.out, c)
}

func (n *Node) logf(format string, args ...any) {
	if n.seams.Log != nil {
		n.seams.Log(format, args...)
	}
}

func (n *Node) nextConn() pooler.Conn {
	n.conn++
	return n.conn
}

// nextID returns an id that no other daemon gives, and this one never again.
func (n *Node) nextID() string {
	n.number++
	return n.settings.Self.Name + "-" + strconv.FormatInt(n.settings.Self.Incarnation, 36) + "-" + strconv.FormatUint(n.number, 36)
}

// Hosts returns the list of hosts.
func (n *Node) Hosts() *watcher.Membership {
	return n.hosts
}

// Lists returns the operators' lists in force.
func (n *Node) Lists() planner.Lists {
	return n.lists
}

// Ready reports whether the daemon knows the lists and so may take callers.
func (n *Node) Ready() bool {
	return n.heard && !n.draining
}

// Busy reports whether work is in progress here. A daemon that is not busy may be
// ticked less often.
func (n *Node) Busy() bool {
	if len(n.pending) > 0 || n.draining {
		return true
	}
	for _, h := range n.homes {
		if h.dispatcher.PendingWork() > 0 || h.promoter.Busy() {
			return true
		}
	}
	return false
}

// Load returns the number of requests that wait for an outcome here.
func (n *Node) Load() int {
	return len(n.pending)
}

// TimeWithoutPrimary returns how long the databases kept here have been without a primary, in
// all.
func (n *Node) TimeWithoutPrimary() timekeeper.Millis {
	total := timekeeper.Millis(0)
	for _, h := range n.homes {
		total += h.vacant
	}
	return total
}

// Tick does what is due by now. Drivers call it every 10 to 50 ms.
func (n *Node) Tick(now timekeeper.Millis) []Command {
	for _, send := range n.hosts.Tick(now) {
		n.emit(GossipPacket(send))
	}
	n.readPlatform(now)
	n.tickHomes(now)
	n.tickPending(now)
	n.tickLimits(now)
	return n.take()
}

func (n *Node) readPlatform(now timekeeper.Millis) {
	n.readHosts(now)
	if now < n.tailDue {
		return
	}
	n.tailDue = now + n.settings.EditsInterval
	if !n.heard || n.speaks() {
		n.emit(ReadEdits{After: n.lists.Version()})
	}
}

// tickHomes opens the homes that this host is to keep, closes those it is not,
// and lets each do what is due.
func (n *Node) tickHomes(now timekeeper.Millis) {
	n.findHomes(now)
	for _, name := range slices.Sorted(maps.Keys(n.homes)) {
		h := n.homes[name]
		h.setMine(now, n.homeOf(name) == n.settings.Self.Name && !n.draining, n)
		h.tick(now, n)
		if h.idle(now) {
			delete(n.homes, name)
			n.logf("watcher: this host no longer keeps %s", name)
			n.closeHome(h)
		}
	}
}

// findHomes opens the homes that this host is to keep. It looks at all databases
// only after the list of live hosts has changed.
func (n *Node) findHomes(now timekeeper.Millis) {
	if n.found == n.hosts.Version()+1 || n.draining {
		return
	}
	n.found = n.hosts.Version() + 1
	for _, name := range slices.Sorted(maps.Keys(n.settings.Databases)) {
		if n.homeOf(name) == n.settings.Self.Name {
			n.open(now, name)
		}
	}
}

// open makes the home of a database on this host.
func (n *Node) open(now timekeeper.Millis, database string) *home {
	h := n.homes[database]
	if h != nil {
		return h
	}
	h = newHome(now, database, n)
	n.homes[database] = h
	n.serverCommands(now, h, h.dispatcher.SetLeaving(now, n.leaving.Servers[database]))
	return h
}

func (n *Node) closeHome(h *home) {
	for _, conn := range h.dispatcher.Connections() {
		n.emit(ToServer{Database: h.database, Command: dispatcher.CloseConn{Conn: conn}})
	}
}

// Drain makes the daemon leave: it gives its homes up to other hosts and takes
// no new callers. Work in progress goes on.
func (n *Node) Drain(now timekeeper.Millis) []Command {
	if n.draining {
		return nil
	}
	n.draining = true
	n.logf("drainer: this host leaves with %d requests and %d homes", len(n.pending), len(n.homes))
	for _, send := range n.hosts.Leave(now) {
		n.emit(GossipPacket(send))
	}
	return n.take()
}

// Drained reports whether nothing is in progress any more.
func (n *Node) Drained() bool {
	if !n.draining || len(n.pending) > 0 {
		return false
	}
	for _, h := range n.homes {
		if h.dispatcher.PendingWork() > 0 || h.promoter.Busy() {
			return false
		}
	}
	return true
}
