package decider

import (
	"maps"
	"slices"
	"strconv"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/limiter"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// Node makes the decisions of one daemon. It is not safe for concurrent use.
type Node struct {
	settings Settings
	deps     Deps
	commands []Command

	hosts *watcher.Membership
	lists planner.Lists
	// listsKnown reports whether the lists have been received once, from the
	// platform or a peer.
	listsKnown bool
	// recentEdits are the last edits, oldest first.
	recentEdits []planner.Edit
	homes       map[string]*home
	pending     map[string]*pending
	// requestIDs holds the id of each client's pending request.
	requestIDs map[uint64]string
	buckets    map[string]*limiter.Bucket
	// retryBudgets is the number of retries left by customer.
	retryBudgets map[string]float64
	// refusals is the refusal cache: the time until which this daemon refuses
	// work for the queue of a home without sending it there.
	refusals map[refusalKey]timekeeper.Millis
	leaving  LeavingSet
	// unreachable is the time until which messages to a host are sent through
	// another one.
	unreachable map[string]timekeeper.Millis

	lastConn    pooler.Conn
	lastRequest uint64
	// homesVersion is one more than the version of the list of hosts at the last
	// openHomes; 0 before the first.
	homesVersion uint64
	// nextEditsRead is when ReadEdits is due.
	nextEditsRead timekeeper.Millis
	// lastHostsRead is when ReadHosts was last emitted; hostListKnown reports
	// whether the list has been read once.
	lastHostsRead timekeeper.Millis
	hostListKnown bool
	draining      bool
}

// New returns the node of a daemon that has just started. The incarnation in
// settings.Self must be higher than that of any earlier daemon of the same name.
func New(settings Settings, deps Deps) *Node {
	n := &Node{
		settings:     settings,
		deps:         deps,
		lists:        planner.Empty(),
		homes:        map[string]*home{},
		pending:      map[string]*pending{},
		requestIDs:   map[uint64]string{},
		buckets:      map[string]*limiter.Bucket{},
		retryBudgets: map[string]float64{},
		refusals:     map[refusalKey]timekeeper.Millis{},
		unreachable:  map[string]timekeeper.Millis{},
	}
	n.hosts = watcher.New(settings.Hosts, settings.Self, settings.Peers, deps.Log)
	return n
}

// takeCommands returns the emitted commands and removes them from the node.
func (n *Node) takeCommands() []Command {
	commands := n.commands
	n.commands = nil
	return commands
}

func (n *Node) emit(c Command) {
	n.commands = append(n.commands, c)
}

func (n *Node) logf(format string, args ...any) {
	if n.deps.Log != nil {
		n.deps.Log(format, args...)
	}
}

// nextConn returns a connection id that is unused on this daemon.
func (n *Node) nextConn() pooler.Conn {
	n.lastConn++
	return n.lastConn
}

// nextID returns an id for work that is unique among all daemons and their
// incarnations.
func (n *Node) nextID() string {
	n.lastRequest++
	return n.settings.Self.Name + "-" + strconv.FormatInt(n.settings.Self.Incarnation, 36) + "-" + strconv.FormatUint(n.lastRequest, 36)
}

// Hosts returns this daemon's view of the list of hosts.
func (n *Node) Hosts() *watcher.Membership {
	return n.hosts
}

// Lists returns the operators' lists in the newest version known to this daemon.
func (n *Node) Lists() planner.Lists {
	return n.lists
}

// Ready reports whether the daemon accepts clients: it knows the operators' lists
// and is not draining.
func (n *Node) Ready() bool {
	return n.listsKnown && !n.draining
}

// Busy reports whether requests, homes' work or primary changes are in progress,
// or the daemon drains. A daemon that is not busy may be ticked less often.
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

// Load returns the number of pending requests and open transactions of this
// daemon's clients.
func (n *Node) Load() int {
	return len(n.pending)
}

// TimeWithoutPrimary returns the total time, in milliseconds, that the databases
// hosted by this host had no usable primary while it was their home.
func (n *Node) TimeWithoutPrimary() timekeeper.Millis {
	total := timekeeper.Millis(0)
	for _, h := range n.homes {
		total += h.withoutPrimary
	}
	return total
}

// Tick runs everything that is due: gossip, reads from the platform, the homes'
// work and the timeouts of requests. Drivers call it every 10 to 50 ms.
func (n *Node) Tick(now timekeeper.Millis) []Command {
	for _, envelope := range n.hosts.Tick(now) {
		n.emit(GossipPacket(envelope))
	}
	n.readPlatform(now)
	n.tickHomes(now)
	n.tickPending(now)
	n.tickLimits(now)
	return n.takeCommands()
}

// readPlatform emits the reads from the platform that are due. Once a daemon
// knows the lists, it reads their edits only as the domain reader; the others
// get them from peers.
func (n *Node) readPlatform(now timekeeper.Millis) {
	n.readHosts(now)
	if now < n.nextEditsRead {
		return
	}
	n.nextEditsRead = now + n.settings.EditsInterval
	if !n.listsKnown || n.isDomainReader() {
		n.emit(ReadEdits{After: n.lists.Version()})
	}
}

// tickHomes opens homes for the databases that this host is the home of, ticks
// all homes, and closes those that are idle.
func (n *Node) tickHomes(now timekeeper.Millis) {
	n.openHomes(now)
	for _, name := range slices.Sorted(maps.Keys(n.homes)) {
		h := n.homes[name]
		h.setIsHome(now, n.homeOf(name) == n.settings.Self.Name && !n.draining, n)
		h.tick(now, n)
		if h.idle(now) {
			delete(n.homes, name)
			n.logf("watcher: this host no longer hosts %s", name)
			n.closeHome(h)
		}
	}
}

// openHomes opens homes for the databases that this host is the home of. It
// checks all databases, but only after the list of live hosts has changed.
func (n *Node) openHomes(now timekeeper.Millis) {
	if n.homesVersion == n.hosts.Version()+1 || n.draining {
		return
	}
	n.homesVersion = n.hosts.Version() + 1
	for _, name := range slices.Sorted(maps.Keys(n.settings.Databases)) {
		if n.homeOf(name) == n.settings.Self.Name {
			n.openHome(now, name)
		}
	}
}

// openHome returns the home of a database on this host and creates it if needed.
func (n *Node) openHome(now timekeeper.Millis, database string) *home {
	h := n.homes[database]
	if h != nil {
		return h
	}
	h = newHome(now, database, n)
	n.homes[database] = h
	n.executeDispatcherCommands(now, h, h.dispatcher.SetLeaving(now, n.leaving.Servers[database]))
	return h
}

func (n *Node) closeHome(h *home) {
	for _, conn := range h.dispatcher.Connections() {
		n.emit(ToServer{Database: h.database, Command: dispatcher.CloseConn{Conn: conn}})
	}
}

// Drain starts the daemon's shutdown: it hands its homes to other hosts and is no
// longer ready for new clients. Work in progress continues; see Drained.
func (n *Node) Drain(now timekeeper.Millis) []Command {
	if n.draining {
		return nil
	}
	n.draining = true
	n.logf("drainer: this host leaves, %d requests and %d homes in progress", len(n.pending), len(n.homes))
	for _, envelope := range n.hosts.Leave(now) {
		n.emit(GossipPacket(envelope))
	}
	return n.takeCommands()
}

// Drained reports whether the daemon drains and has no work in progress.
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
