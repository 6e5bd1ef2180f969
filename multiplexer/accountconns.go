package multiplexer

import (
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// maxRequestsExamined is how many requests for connections of each rank are examined
// after an event.
const maxRequestsExamined = 8

// accountConns holds what a group's accounts wait for.
type accountConns struct {
	// waiting counts the queued jobs by account, and byLane those of all accounts.
	waiting map[string]int
	byLane  [2]int
	// requests are jobs whose account lacks an idle connection, by rank.
	requests [scheduler.NumRanks][]*job
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

// examineAll lets the next dispatch examine the jobs of all accounts, because the
// servers that can run them may have changed.
func (g *group) examineAll() {
	for account := range g.accounts.waiting {
		g.queue.Unpark(account)
	}
}

// requestConn records that a job needs a connection, if a server could run it now on
// one. If the account has no idle connection at any server, the job is not examined
// again before that changes.
func (g *group) requestConn(now timekeeper.Millis, j *job) {
	if !j.requested {
		if g.selectAmong(now, j, func(*server) bool { return true }, 0) == nil {
			return
		}
		j.requested = true
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
	return g.selectAmong(now, j, func(s *server) bool { return s.pool.CanOpenAs(now, rankOf(j.database)) }, 1)
}

// openRequested opens connections for accounts, those for urgent work first.
func (g *group) openRequested(now timekeeper.Millis) {
	for rank, requests := range g.accounts.requests {
		for range min(len(requests), maxRequestsExamined) {
			j := requests[0]
			requests = requests[1:]
			if g.waiting[j.id] != j || g.openFor(now, j) {
				j.requested = false
				continue
			}
			requests = append(requests, j)
		}
		g.accounts.requests[rank] = requests
	}
}

// openFor opens connections for a job's account, each at the server that would run the
// job. It returns true if as many are being opened as jobs of the account wait.
func (g *group) openFor(now timekeeper.Millis, j *job) bool {
	for g.opening(j.account) < g.accounts.waiting[j.account] {
		s := g.selectForConn(now, j)
		if s == nil {
			return false
		}
		id, evicted, found := s.pool.OpenAs(now, rankOf(j.database), j.account)
		for _, e := range evicted {
			g.log("connection taken from another account", observer.F("server", s.ID), observer.F("from", e.Account), observer.F("account", j.account), observer.F("idle", int64(e.Idle)))
			g.mux.closeConn(now, e.Conn)
		}
		if !found {
			return false
		}
		g.openConn(now, s, id, j.account, g.useRelay(s))
	}
	return true
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
