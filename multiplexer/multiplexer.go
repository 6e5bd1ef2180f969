// Package multiplexer runs clients' sessions over a small number of connections
// to backend servers. It keeps each session's state, decides which server runs
// a statement and when, and builds the answers to the client. It does no I/O:
// its methods take the current time and an input, and return the commands that
// the driver executes.
package multiplexer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Multiplexer holds one daemon's sessions, database groups and connections to
// backend servers. It is not safe for concurrent use.
type Multiplexer struct {
	settings Settings
	deps     Deps
	// out collects commands until takeCommands returns them.
	out []Command

	catalog       cataloger.Catalog
	catalogLoaded bool
	// catalogReadAt is as of when the catalog is known to be the newest.
	catalogReadAt timekeeper.Millis
	// denials counts the refusals of keys since the last log line, and denialLoggedAt is
	// when that was written.
	denials        int
	denialLoggedAt timekeeper.Millis
	sessions       map[uint64]*session
	groups         map[string]*group
	conns          map[pooler.Conn]*conn
	placement      placer.Placement
	// placedAt is when the first placement was set, and membershipSettled is set
	// once it is membershipSettleTime ago.
	placedAt          timekeeper.Millis
	membershipSettled bool
	lastConn          pooler.Conn
	jobCount          uint64
	draining          bool
	// leaseHeld is set with the first primary lease.
	leaseHeld bool
	// forwards are the jobs that carriers owe answers to, by work number, and
	// paths the paths to carriers, by name.
	forwards  map[uint64]*job
	workCount uint64
	// admissions are the jobs that wait for a token, by id.
	admissions map[string]*job
	paths      map[string]*carrierPath
	// forwarded are the sessions that stand for other daemons' clients.
	// finished are the numbers of ended work with the time of the end, and
	// finishedDue is when the old ones are forgotten next.
	forwarded      map[forwardedWork]*session
	forwardedCount uint64
	finished       map[forwardedWork]timekeeper.Millis
	finishedDue    timekeeper.Millis
	lastTick       timekeeper.Millis
	// storeUnreachable says that the store does not answer this daemon.
	// isolatedSince is since when most primaries do not answer it either; 0 if
	// the daemon is not isolated.
	storeUnreachable bool
	isolatedSince    timekeeper.Millis
	// accountConnCounts counts connections of accounts for the metrics.
	accountConnCounts AccountConnCounts
}

// New returns a Multiplexer without a catalog, sessions or servers.
func New(settings Settings, deps Deps) *Multiplexer {
	if deps.Log == nil {
		deps.Log = func(Decision) {}
	}
	return &Multiplexer{
		settings:   settings,
		deps:       deps,
		sessions:   map[uint64]*session{},
		groups:     map[string]*group{},
		conns:      map[pooler.Conn]*conn{},
		forwards:   map[uint64]*job{},
		admissions: map[string]*job{},
		paths:      map[string]*carrierPath{},
		forwarded:  map[forwardedWork]*session{},
		finished:   map[forwardedWork]timekeeper.Millis{},
	}
}

// takeCommands returns the collected commands and clears them.
func (m *Multiplexer) takeCommands() []Command {
	out := m.out
	m.out = nil
	return out
}

// emit adds a command for the driver.
func (m *Multiplexer) emit(c Command) {
	m.out = append(m.out, c)
}

// nextConn returns a new connection id.
func (m *Multiplexer) nextConn() pooler.Conn {
	m.lastConn++
	return m.lastConn
}

// Ready reports whether the daemon can serve clients: a catalog is loaded, some
// group has a registered server, the daemon has held a primary lease, and it
// neither drains nor is isolated.
func (m *Multiplexer) Ready() bool {
	if !m.catalogLoaded || !m.leaseHeld || m.draining || m.isolatedSince > 0 {
		return false
	}
	for _, g := range m.groups {
		if len(g.servers) > 0 {
			return true
		}
	}
	return false
}

// CatalogVersion returns the version of the current catalog; 0 before the
// first.
func (m *Multiplexer) CatalogVersion() int64 {
	return m.catalog.Version
}

// SetCatalog makes c the current catalog. It ignores c if its version is not
// higher than that of the current one.
func (m *Multiplexer) SetCatalog(now timekeeper.Millis, c cataloger.Catalog) []Command {
	if m.catalogLoaded && c.Version <= m.catalog.Version {
		return nil
	}
	m.deps.Log(Decision{Part: "catalog", Outcome: "version in force", Inputs: []observer.Field{
		observer.F("version", c.Version), observer.F("before", m.catalog.Version), observer.F("databases", c.DatabaseCount()),
	}})
	m.catalog = c
	m.catalogLoaded = true
	for name := range c.Groups() {
		m.group(name)
	}
	m.updatePoolLimits()
	m.closeRemovedAccounts(now)
	m.applyAccounts(now)
	m.dispatchAll(now)
	return m.takeCommands()
}

// SynchronousReplicas returns how many replicas must have received a commit of a group
// before it is acknowledged, and whether the catalog in force has the group.
func (m *Multiplexer) SynchronousReplicas(group string) (int, bool) {
	g, found := m.catalog.Group(group)
	return g.SynchronousReplicas, found
}

// group returns the state of a group and creates it if needed.
func (m *Multiplexer) group(name string) *group {
	g := m.groups[name]
	if g == nil {
		g = newGroup(name, m)
		m.groups[name] = g
	}
	return g
}

// updatePoolLimits sets the carriers of all groups, and the share and the idle
// limits of all servers' pools.
func (m *Multiplexer) updatePoolLimits() {
	for _, g := range m.groups {
		g.updateCarriers()
		if m.catalog.HasClosed(g.name) {
			g.queue.SetSkipLimit(accountSkipLimit)
		}
		for _, s := range g.servers {
			m.setPoolLimits(g, s)
		}
	}
}

func (m *Multiplexer) setPoolLimits(g *group, s *server) {
	s.pool.SetShare(m.share(g))
	s.pool.SetMinIdle(m.minIdle(g))
	s.pool.SetMinOpen(m.minOpen(g))
	s.pool.SetSurplusIdleLimit(m.surplusIdleLimit(g))
}

// restartHeadroom is how many of a server's connections all daemons together leave
// unused in a group with closed databases: a server goes on counting the connections of
// a daemon that lost power for some seconds, and the restarted daemon opens up to
// minShare before membershipSettleTime.
const restartHeadroom = 2 * minShare

// minShare is the smallest share of connections, however many daemons there
// are: other statements need a second connection while an idle transaction pins
// the first.
const minShare = 2

// share returns this daemon's share of the connections to each server of a
// group: the server's limit without the reserved connections, divided by the
// number of daemons that share them, but at least minShare. It is 1 for a group
// that is not in the catalog. A daemon that does not carry the group gets
// minShare, for work that no carrier takes.
func (m *Multiplexer) share(g *group) int {
	config, found := m.catalog.Group(g.name)
	switch {
	case !found:
		return 1
	case !g.carries() || m.placedAt == 0:
		return minShare
	}
	limit := config.ConnectionLimit - m.settings.ReservedConnections
	if m.catalog.HasClosed(g.name) {
		if !m.membershipSettled {
			return minShare
		}
		limit -= restartHeadroom
	}
	return max(minShare, limit/max(g.sharers, 1))
}

// keepsIdle reports whether this daemon keeps idle connections to the servers of a
// group: it carries the group and knows all hosts.
func (m *Multiplexer) keepsIdle(g *group) bool {
	_, found := m.catalog.Group(g.name)
	return found && g.carries() && m.membershipSettled
}

// onlyClosed reports whether a group has closed databases only, whose statements use
// no connections without an account.
func (m *Multiplexer) onlyClosed(g *group) bool {
	return m.catalog.HasClosed(g.name) && !m.catalog.HasOpen(g.name)
}

// minIdle returns how many idle connections without an account are kept open to each
// server of a group: 1, or 0 if this daemon keeps none, or if it carries the group for
// others, see minOpen.
func (m *Multiplexer) minIdle(g *group) int {
	if !m.keepsIdle(g) || g.carrierCount > 0 || m.onlyClosed(g) {
		return 0
	}
	return 1
}

// carrierMinOpen is how many connections a carrier keeps open to each server, busy or
// idle.
const carrierMinOpen = 2

// minOpen returns how many connections without an account are kept open to each server
// of a group.
func (m *Multiplexer) minOpen(g *group) int {
	if !m.keepsIdle(g) || g.carrierCount == 0 || m.onlyClosed(g) {
		return 0
	}
	return min(carrierMinOpen, m.share(g)/2)
}

// membershipSettleTime is how long after the first placement the list of hosts may
// be incomplete, because all daemons may have started together.
const membershipSettleTime timekeeper.Millis = 3000

// shortIdleLimit is how long connections stay idle at a daemon that does not
// carry the group. Servers have too few for all daemons.
const shortIdleLimit timekeeper.Millis = 300

// surplusIdleLimit returns how long connections beyond the first stay idle. If
// it is 0, idleLimit applies to them too.
func (m *Multiplexer) surplusIdleLimit(g *group) timekeeper.Millis {
	if m.keepsIdle(g) {
		return 0
	}
	return shortIdleLimit
}

// SetServers replaces the registered backend servers of all groups. Groups
// without a server in the list lose theirs.
func (m *Multiplexer) SetServers(now timekeeper.Millis, servers []cataloger.Server) []Command {
	byGroup := map[string][]cataloger.Server{}
	for _, s := range servers {
		byGroup[s.Group] = append(byGroup[s.Group], s)
	}
	for name, list := range byGroup {
		slices.SortFunc(list, func(a, b cataloger.Server) int { return cmp.Compare(a.ID, b.ID) })
		m.group(name).setServers(now, list)
	}
	for name, g := range m.groups {
		if byGroup[name] == nil {
			g.setServers(now, nil)
		}
	}
	m.dispatchAll(now)
	return m.takeCommands()
}

// SetPrimaryLease sets a group's primary, its term and until when this daemon
// may use it.
func (m *Multiplexer) SetPrimaryLease(now timekeeper.Millis, name string, lease elector.PrimaryLease) []Command {
	g := m.group(name)
	m.leaseHeld = m.leaseHeld || now < lease.ValidUntil
	g.setLease(now, lease)
	g.dispatchQueued(now)
	return m.takeCommands()
}

// PrimaryHealth returns what this daemon has observed of a server as its
// group's primary. For an unknown group only Quiesced is set.
func (m *Multiplexer) PrimaryHealth(group, id string) elector.PrimaryHealth {
	g := m.groups[group]
	if g == nil {
		return elector.PrimaryHealth{Quiesced: true}
	}
	health := elector.PrimaryHealth{Quiesced: g.busyOnPrimary() == 0, HighestPosition: g.highestPosition, Term: g.lease.Term}
	if s := g.byID[id]; s != nil {
		health.LastResponse, health.UnresponsiveSince, health.FailingSince = s.lastResponse, s.unresponsiveSince, s.failingSince
	}
	return health
}

// SetStoreUnreachable records whether the store does not answer this daemon and
// updates whether the daemon is isolated.
func (m *Multiplexer) SetStoreUnreachable(now timekeeper.Millis, unreachable bool) {
	m.storeUnreachable = unreachable
	m.updateIsolation(now)
}

// MostPrimariesUnreachable reports whether more than half of the groups'
// registered primaries do not respond to this daemon.
func (m *Multiplexer) MostPrimariesUnreachable() bool {
	unresponsive, total := 0, 0
	for _, g := range m.groups {
		if s := g.byID[g.lease.Server]; s != nil {
			total++
			if s.unresponsive {
				unresponsive++
			}
		}
	}
	return 2*unresponsive > total
}

// updateIsolation decides whether this daemon is isolated: neither the store
// nor most primaries answer it. Ready then reports false to the load balancer,
// since other daemons can serve clients better.
func (m *Multiplexer) updateIsolation(now timekeeper.Millis) {
	isolated := m.storeUnreachable && m.MostPrimariesUnreachable()
	if isolated == (m.isolatedSince > 0) {
		return
	}
	m.isolatedSince = 0
	if isolated {
		m.isolatedSince = now
	}
	m.deps.Log(Decision{Part: "daemon", Outcome: "cut off", Inputs: []observer.Field{observer.F("isolated", isolated)}})
}

// balancerLag is how long the load balancer still sends sessions to a daemon
// that is not ready: it checks each second and needs two failed checks.
const balancerLag timekeeper.Millis = 2200

// closeUnservableSessions closes idle sessions without a usable primary once
// the daemon has been isolated for balancerLag. Their clients then connect to
// another daemon.
func (m *Multiplexer) closeUnservableSessions(now timekeeper.Millis) {
	if m.isolatedSince == 0 || now-m.isolatedSince < balancerLag {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.sessions)) {
		s := m.sessions[id]
		database, found := m.catalog.Database(s.database)
		if s.work != nil || !found || !s.idle() || s.closing || m.group(database.Group).usablePrimary(now) != nil {
			continue
		}
		s.closing = true
		m.emit(CloseSession{Session: id})
	}
}

// Tick handles timeouts, unresponsive servers, idle transactions and isolation.
// Drivers call it every 10 to 50 ms.
func (m *Multiplexer) Tick(now timekeeper.Millis) []Command {
	for _, name := range slices.Sorted(maps.Keys(m.groups)) {
		m.groups[name].tick(now)
	}
	if !m.membershipSettled && m.placedAt > 0 && now-m.placedAt >= membershipSettleTime {
		m.membershipSettled = true
		m.updatePoolLimits()
	}
	m.tickForwards(now)
	m.tickAdmissions(now)
	m.tickFinished(now)
	m.tickSessions(now)
	m.updateIsolation(now)
	m.closeUnservableSessions(now)
	return m.takeCommands()
}

// dispatchAll dispatches the queued statements of all groups.
func (m *Multiplexer) dispatchAll(now timekeeper.Millis) {
	for _, name := range slices.Sorted(maps.Keys(m.groups)) {
		m.groups[name].dispatchQueued(now)
	}
}
