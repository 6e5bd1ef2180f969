package multiplexer

import (
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/router"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// maxRequestsExamined is how many requests for connections of each rank are examined
	// after an event.
	maxRequestsExamined = 8
	// accountSkipLimit is how many customers a search examines in a group with closed
	// databases, where many may have idle connections only at a server that is busy.
	accountSkipLimit = 64
	// initialConnectTime is the expected time to open a connection in milliseconds before
	// any was measured.
	initialConnectTime = 12.0
	// openingFactor is how many times the time to open a connection the wait for one of
	// the account's others must exceed, since opening takes a slot of the server too.
	openingFactor = 1.0
	// takeoverDelay is how long a request may wait before it takes an idle connection from
	// an account whose own statements wait for it.
	takeoverDelay timekeeper.Millis = 25
)

// AccountConnCounts counts connections of accounts since the start.
type AccountConnCounts struct {
	// Opened counts the openings, Evicted the idle connections closed to make room for
	// another account, and Reused the statements on connections that had run one before.
	Opened, Evicted, Reused uint64
}

// AccountConnCounts returns what has become of connections of accounts.
func (m *Multiplexer) AccountConnCounts() AccountConnCounts {
	return m.accountConnCounts
}

// accountConns holds what a group's accounts wait for.
type accountConns struct {
	// waiting counts the queued jobs by account, and byLane those of all accounts.
	waiting map[string]int
	byLane  [2]int
	// requests are jobs whose account lacks an idle connection, by rank.
	requests [scheduler.NumRanks][]*job
	// connectTime is the expected time to open a connection in milliseconds.
	connectTime float64
}

// addWaiting records a queued job.
func (g *group) addWaiting(j *job) {
	g.waiting[j.id] = j
	if j.account != "" {
		g.accounts.waiting[j.account]++
		g.accounts.byLane[j.lane]++
		g.queue.Unpark(j.account)
	}
}

// removeWaiting removes a job from the queued ones.
func (g *group) removeWaiting(j *job) {
	delete(g.waiting, j.id)
	if j.account == "" {
		return
	}
	g.accounts.byLane[j.lane]--
	if g.accounts.waiting[j.account]--; g.accounts.waiting[j.account] == 0 {
		delete(g.accounts.waiting, j.account)
	}
	g.queue.Unpark(j.account)
}

// examine lets the next dispatch examine an account's jobs, because a connection of
// the account has become idle or has ended.
func (g *group) examine(account string) {
	if account != "" {
		g.queue.Unpark(account)
	}
}

// requestConn records that a job needs a connection, if a server could run it now on
// one. If the account has no idle connection at any server, the job is not examined
// again before a connection of the account becomes idle or ends, or another of the
// account's jobs comes or goes.
func (g *group) requestConn(now timekeeper.Millis, j *job) {
	if !j.requested {
		if g.selectAmong(now, j, func(*server) bool { return true }, 0) == nil {
			return
		}
		j.requested, j.requestedAt = true, now
		g.accounts.requests[rankOf(j.database)] = append(g.accounts.requests[rankOf(j.database)], j)
	}
	for _, s := range g.servers {
		if s.pool.Idle(j.account) > 0 {
			return
		}
	}
	g.queue.Park()
}

// selectForConn returns the server at which a connection for a job is opened: the one
// that would run the job if all servers had an idle connection of its account.
func (g *group) selectForConn(now timekeeper.Millis, j *job) *server {
	return g.selectAmong(now, j, func(s *server) bool { return s.pool.CanOpenAs(now, rankOf(j.database), j.account) }, 1)
}

// openRequested opens connections for accounts, those for urgent work first. If takeover
// is set, it considers only requests older than takeoverDelay, for which it also evicts
// connections of accounts whose statements wait.
func (g *group) openRequested(now timekeeper.Millis, takeover bool) {
	for rank, requests := range g.accounts.requests {
		for range min(len(requests), maxRequestsExamined) {
			j := requests[0]
			requests = requests[1:]
			tooEarly := takeover && now-j.requestedAt < takeoverDelay
			if g.waiting[j.id] != j || !tooEarly && g.openFor(now, j, takeover) {
				j.requested = false
				continue
			}
			requests = append(requests, j)
		}
		g.accounts.requests[rank] = requests
	}
}

// openFor opens connections for a job's account, each at the server that would run the
// job, as long as that is worth more than the wait for the account's others. It returns
// true if as many are being opened as jobs of the account wait.
func (g *group) openFor(now timekeeper.Millis, j *job, takeover bool) bool {
	keep := func(account string) bool { return !takeover && g.accounts.waiting[account] > 0 }
	for g.opening(j.account) < g.accounts.waiting[j.account] {
		if !g.worthOpening(now, j) {
			return false
		}
		s := g.selectForConn(now, j)
		if s == nil {
			return false
		}
		id, evicted, found := s.pool.OpenAs(now, rankOf(j.database), j.account, keep)
		if !found {
			return false
		}
		if evicted.Conn != 0 {
			g.mux.accountConnCounts.Evicted++
			g.log("connection taken from another account", observer.F("server", s.ID), observer.F("from", evicted.Account), observer.F("account", j.account), observer.F("idle", int64(evicted.Idle)))
			g.mux.closeConn(now, evicted.Conn)
		}
		g.mux.accountConnCounts.Opened++
		g.openConn(now, s, id, j.account, g.useRelay(s))
	}
	return true
}

// worthOpening reports whether the last of an account's waiting jobs is served earlier by
// one more connection than by those that the account has. Connections with an open
// transaction don't count, since it is unknown when they become idle, nor those to
// servers that can't run the job. A job that has waited for as long as it takes to open
// a connection waits no longer.
func (g *group) worthOpening(now timekeeper.Millis, j *job) bool {
	limit := openingFactor * g.accounts.connectTime
	if float64(now-j.requestedAt) > limit {
		return true
	}
	usable := 0
	floor, known := g.readFloor(now, j)
	requirement := router.ReadRequirement{Floor: floor, History: g.lease.History}
	for i, c := range g.candidates(now, rankOf(j.database)) {
		eligible := c.Usable && (c.Primary || j.lane == scheduler.LaneAny && known && !j.excluded[c.Name] && requirement.Covers(c))
		s := g.servers[i]
		if open := s.pool.Open(j.account); open > 0 && eligible {
			usable += open
			for _, c := range s.conns {
				if c.account == j.account && c.pinnedSession != nil {
					usable--
				}
			}
		}
	}
	wait := float64(g.accounts.waiting[j.account]) * g.costs[rankOf(j.database)]
	return usable <= 0 || wait > limit*float64(usable)
}

// recordConnectTime updates the expected time to open a connection.
func (g *group) recordConnectTime(took timekeeper.Millis) {
	g.accounts.connectTime += smoothing * (float64(took) - g.accounts.connectTime)
}

// opening returns how many connections of an account are being opened.
func (g *group) opening(account string) int {
	total := 0
	for _, s := range g.servers {
		total += s.pool.Opening(account)
	}
	return total
}

// closeRemovedAccounts closes the idle connections of accounts that the catalog no
// longer has.
func (m *Multiplexer) closeRemovedAccounts(now timekeeper.Millis) {
	for _, g := range m.groups {
		for _, s := range g.servers {
			removed := s.pool.RemoveIdleIf(func(account string) bool {
				_, found := m.catalog.Account(account)
				return !found
			})
			for _, id := range removed {
				m.closeConn(now, id)
			}
		}
	}
}
