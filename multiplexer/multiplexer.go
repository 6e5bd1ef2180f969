// Package multiplexer carries callers' sessions over a few connections to
// backend servers: it keeps sessions' state, decides which server runs each
// statement and when, and what a caller is told. It does no I/O; its methods
// take the time and an input and return commands.
package multiplexer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Multiplexer is all decisions of one daemon on callers' statements. It is not
// safe for concurrent use.
type Multiplexer struct {
	settings Settings
	deps     Deps
	out      []Command

	catalog       cataloger.Catalog
	catalogLoaded bool
	sessions      map[uint64]*session
	groups        map[string]*group
	conns         map[pooler.Conn]*conn
	hosts         int
	lastConn      pooler.Conn
	jobCount      uint64
	draining      bool
	// storeUnreachable says that the store does not answer this daemon, and
	// isolatedSince since when the daemon also reaches few primaries; 0 if it
	// does not.
	storeUnreachable bool
	isolatedSince    timekeeper.Millis
}

// New returns a multiplexer that knows no catalog yet.
func New(settings Settings, deps Deps) *Multiplexer {
	if deps.Log == nil {
		deps.Log = func(Decision) {}
	}
	return &Multiplexer{
		settings: settings,
		deps:     deps,
		sessions: map[uint64]*session{},
		groups:   map[string]*group{},
		conns:    map[pooler.Conn]*conn{},
		hosts:    1,
	}
}

func (m *Multiplexer) takeCommands() []Command {
	out := m.out
	m.out = nil
	return out
}

func (m *Multiplexer) emit(c Command) {
	m.out = append(m.out, c)
}

func (m *Multiplexer) nextConn() pooler.Conn {
	m.lastConn++
	return m.lastConn
}

// Ready reports whether the daemon knows enough to serve callers.
func (m *Multiplexer) Ready() bool {
	if !m.catalogLoaded || m.draining || m.isolatedSince > 0 {
		return false
	}
	for _, g := range m.groups {
		if len(g.servers) > 0 {
			return true
		}
	}
	return false
}

// CatalogVersion returns the version of the catalog in force.
func (m *Multiplexer) CatalogVersion() int64 {
	return m.catalog.Version
}

// SetCatalog puts a catalog in force, unless the present one is newer.
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
	m.dispatchAll(now)
	return m.takeCommands()
}

// group returns the state of a group, which is made if needed.
func (m *Multiplexer) group(name string) *group {
	g := m.groups[name]
	if g == nil {
		g = newGroup(name, m)
		m.groups[name] = g
	}
	return g
}

// SetHostCount tells how many daemons share the servers' connections.
func (m *Multiplexer) SetHostCount(now timekeeper.Millis, hosts int) []Command {
	if hosts = max(hosts, 1); hosts == m.hosts {
		return nil
	}
	m.deps.Log(Decision{Part: "pool", Outcome: "share of connections changed", Inputs: []observer.Field{
		observer.F("hosts", hosts), observer.F("before", m.hosts),
	}})
	m.hosts = hosts
	m.updatePoolLimits()
	m.dispatchAll(now)
	return m.takeCommands()
}

func (m *Multiplexer) updatePoolLimits() {
	for _, g := range m.groups {
		for _, s := range g.servers {
			s.pool.SetShare(m.share(g))
			s.pool.SetMinIdle(m.minIdle(g))
			s.pool.SetSurplusIdleLimit(m.surplusIdleLimit(g))
		}
	}
}

// minShare is how many connections a daemon may have to a server however many
// daemons there are: one may be pinned by a transaction that rests. Few daemons
// need both at once, and a server refuses what is beyond its limit unrun.
const minShare = 2

// share is how many connections this daemon may have to each server of a group.
func (m *Multiplexer) share(g *group) int {
	config, found := m.catalog.Group(g.name)
	if !found {
		return 1
	}
	return max(minShare, (config.ConnectionLimit-m.settings.ReservedConnections)/m.hosts)
}

// minIdle is how many idle connections are kept to each server of a group: none
// where those of all daemons would not fit.
func (m *Multiplexer) minIdle(g *group) int {
	config, found := m.catalog.Group(g.name)
	if !found || config.ConnectionLimit < minIdleFactor*m.hosts {
		return 0
	}
	return 1
}

// shortSurplusIdleLimit is how long a second connection stays idle where a server's limit
// holds few for each daemon. A server counts the connections of a daemon that lost
// power for some seconds: what idles then is not there for its return.
const shortSurplusIdleLimit timekeeper.Millis = 300

// surplusIdleLimit is how long connections beyond the first stay idle; 0 for as long as
// the first.
func (m *Multiplexer) surplusIdleLimit(g *group) timekeeper.Millis {
	if m.minIdle(g) > 0 {
		return 0
	}
	return shortSurplusIdleLimit
}

// minIdleFactor is how many connections for each daemon a server's limit must hold
// for one of them to stay open when idle.
const minIdleFactor = 2

// SetServers replaces the list of backend servers.
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

// SetPrimaryLease tells who leads a group.
func (m *Multiplexer) SetPrimaryLease(now timekeeper.Millis, name string, lease elector.PrimaryLease) []Command {
	g := m.group(name)
	g.setLease(now, lease)
	g.dispatchQueued(now)
	return m.takeCommands()
}

// PrimaryHealth returns what is known of a server as its group's primary.
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

// SetStoreUnreachable tells whether the store answers this daemon.
func (m *Multiplexer) SetStoreUnreachable(now timekeeper.Millis, unreachable bool) {
	m.storeUnreachable = unreachable
	m.updateIsolation(now)
}

// MostPrimariesUnreachable reports whether most groups' primaries do not answer this daemon.
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

// updateIsolation decides whether this daemon is cut off. Callers are better
// served by others then: the balancer is told that the daemon is not ready.
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

// balancerLag is how long the balancer goes on sending sessions to a daemon
// that is not ready: two misses of a probe each second.
const balancerLag timekeeper.Millis = 2200

// closeUnservableSessions ends idle sessions that a cut-off daemon can't serve, so that
// their callers connect elsewhere.
func (m *Multiplexer) closeUnservableSessions(now timekeeper.Millis) {
	if m.isolatedSince == 0 || now-m.isolatedSince < balancerLag {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.sessions)) {
		s := m.sessions[id]
		database, found := m.catalog.Database(s.database)
		if !found || !s.idle() || s.closing || m.group(database.Group).usablePrimary(now) != nil {
			continue
		}
		s.closing = true
		m.emit(CloseSession{Session: id})
	}
}

// Tick does what is due by now. Drivers call it every 10 to 50 ms.
func (m *Multiplexer) Tick(now timekeeper.Millis) []Command {
	for _, name := range slices.Sorted(maps.Keys(m.groups)) {
		m.groups[name].tick(now)
	}
	m.tickSessions(now)
	m.updateIsolation(now)
	m.closeUnservableSessions(now)
	return m.takeCommands()
}

func (m *Multiplexer) dispatchAll(now timekeeper.Millis) {
	for _, name := range slices.Sorted(maps.Keys(m.groups)) {
		m.groups[name].dispatchQueued(now)
	}
}

// Drain makes the daemon take no new sessions.
func (m *Multiplexer) Drain() {
	m.draining = true
}

// BusySessions returns the number of sessions with an open statement or transaction.
func (m *Multiplexer) BusySessions() int {
	busy := 0
	for _, s := range m.sessions {
		if !s.idle() {
			busy++
		}
	}
	return busy
}

// SessionCount returns the number of open sessions.
func (m *Multiplexer) SessionCount() int {
	return len(m.sessions)
}

// InFlight returns the number of statements in progress.
func (m *Multiplexer) InFlight() int {
	total := 0
	for _, g := range m.groups {
		total += g.queue.Total() + len(g.running)
	}
	return total
}

// CloseIdleSessions ends idle sessions, at most limit of them.
func (m *Multiplexer) CloseIdleSessions(limit int) []Command {
	for _, id := range slices.Sorted(maps.Keys(m.sessions)) {
		if limit == 0 {
			break
		}
		if s := m.sessions[id]; s.idle() && !s.closing {
			s.closing = true
			limit--
			m.emit(CloseSession{Session: id})
		}
	}
	return m.takeCommands()
}
