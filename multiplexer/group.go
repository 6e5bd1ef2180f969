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
	"github.com/heatherhall/heatherhall/router"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// attemptLimit is the max number of attempts to run one statement.
	attemptLimit = 4
	// queueTimeDivisor limits how long a statement may wait for a server: its
	// time limit divided by this. The client of a rejected statement then has
	// time left to use another daemon.
	queueTimeDivisor = 2
	// retryRefill is what each new statement adds to the group's retry budget;
	// a retry takes 1 from it.
	retryRefill = 0.2
	// retryBudgetCap is the max retry budget.
	retryBudgetCap = 40.0
	// defaultRetryDelay is after how many milliseconds a client may retry work
	// that found no usable primary or a full server.
	defaultRetryDelay timekeeper.Millis = 200
)

// group is the state of one database group.
type group struct {
	name    string
	mux     *Multiplexer
	servers []*server
	byID    map[string]*server
	queue   *scheduler.Queue
	// waiting holds the queued jobs and running those on a connection, by id.
	waiting  map[string]*job
	running  map[string]*job
	accounts accountConns
	// carrierCount is how many daemons of each failure domain carry the group's
	// work, 0 if each daemon runs its own. carriers are the daemons of this
	// failure domain in the order in which they do so, and sharers is how many
	// daemons send work to the group's servers.
	carrierCount int
	sharers      int
	carriers     []placer.Host
	lease        elector.PrimaryLease
	samples      router.PositionSamples
	// highestPosition is the highest position in the answers of the primary
	// during its leases.
	highestPosition sequencer.Position
	// costs are the expected times of a statement in milliseconds, by rank.
	costs       [scheduler.NumRanks]float64
	retryBudget float64
	// candidateBuffer is the result of the last call of candidates, whose
	// memory the next call reuses.
	candidateBuffer []router.Candidate
	// balance is nil unless reads are balanced between failure domains.
	balance *groupBalance
	// requesters are the failure domains that have asked for load reports, and when.
	requesters map[string]timekeeper.Millis
	// selected is the server that dispatchQueued has chosen for the next job.
	selected *server
}

func newGroup(name string, m *Multiplexer) *group {
	g := &group{
		name: name, mux: m, byID: map[string]*server{},
		queue:   scheduler.New(m.settings.RankPolicies, m.settings.QueueLimit),
		waiting: map[string]*job{}, running: map[string]*job{}, retryBudget: retryBudgetCap / 2, sharers: 1,
		accounts: accountConns{waiting: map[string]int{}, connectTime: initialConnectTime},
	}
	g.updateCarriers()
	for i := range g.costs {
		g.costs[i] = initialServiceTime
	}
	return g
}

func (g *group) log(outcome string, fields ...observer.Field) {
	g.mux.deps.Log(Decision{Part: "group " + g.name, Outcome: outcome, Inputs: fields})
}

// isPrimary reports whether the server is the primary of the current lease.
func (g *group) isPrimary(s *server) bool {
	return s.ID == g.lease.Server
}

// usablePrimary returns the primary if new work may start there, or nil.
func (g *group) usablePrimary(now timekeeper.Millis) *server {
	if g.lease.Paused || now >= g.lease.ValidUntil {
		return nil
	}
	s := g.byID[g.lease.Server]
	if s == nil || !s.usable(now, g.mux.settings.LeavingGrace) {
		return nil
	}
	return s
}

// setServers updates the group's servers from their registrations. A server
// that has started again or has a new address gets a new state.
func (g *group) setServers(now timekeeper.Millis, list []cataloger.Server) {
	present := map[string]bool{}
	for _, registration := range list {
		present[registration.ID] = true
		s := g.byID[registration.ID]
		if s != nil && (s.Started != registration.Started || s.Address != registration.Address) {
			g.log("server started again", observer.F("server", s.ID), observer.F("started", int64(registration.Started)))
			g.removeServer(now, s)
			s = nil
		}
		added := s == nil
		if added {
			s = &server{
				serviceTime: initialServiceTime, lag: initialLag, conns: map[pooler.Conn]*conn{},
				pool: pooler.New(1<<16, g.mux.minIdle(g), g.mux.nextConn).WithIdleLimit(idleLimit),
			}
			g.mux.setPoolLimits(g, s)
			g.byID[registration.ID] = s
			g.log("server registered", observer.F("server", registration.ID), observer.F("address", registration.Address))
		}
		if registration.Leaving && s.leavingSince == 0 {
			s.leavingSince = now
			if added {
				// It may have been leaving for as long as a leaving server goes on.
				s.leavingSince = max(now-g.mux.settings.LeavingGrace, 1)
			}
			g.log("server is leaving", observer.F("server", registration.ID))
		}
		if !registration.Leaving {
			s.leavingSince = 0
		}
		s.Server = registration
	}
	for id, s := range g.byID {
		if !present[id] {
			g.log("server is no longer registered", observer.F("server", id))
			g.removeServer(now, s)
		}
	}
	g.servers = slices.SortedFunc(maps.Values(g.byID), func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// removeServer removes a server from the group and closes its idle connections.
// Statements that run on it continue.
func (g *group) removeServer(now timekeeper.Millis, s *server) {
	s.deregistered = true
	delete(g.byID, s.ID)
	g.servers = slices.DeleteFunc(g.servers, func(other *server) bool { return other == s })
	for _, id := range s.pool.RemoveIdle() {
		g.mux.closeConn(now, id)
	}
}

// setLease sets the primary lease. If the new lease has no term and the primary
// is the same, the known term stays. A new primary or term resets the position
// samples and the backoff of all servers.
func (g *group) setLease(now timekeeper.Millis, lease elector.PrimaryLease) {
	before := g.lease
	if lease.Term == 0 && lease.Server == before.Server {
		lease.Term, lease.History = before.Term, before.History
	}
	g.lease = lease
	if before.Server == lease.Server && before.Term == lease.Term && before.Paused == lease.Paused {
		return
	}
	g.log("primary", observer.F("server", lease.Server), observer.F("term", lease.Term), observer.F("held", lease.Paused),
		observer.F("before", before.Server), observer.F("until", int64(lease.ValidUntil)))
	if before.Server != lease.Server || before.Term != lease.Term {
		g.samples.Reset()
		for _, s := range g.byID {
			s.backoffUntil = 0
		}
	}
	g.rejectUnservable(now)
}

// rejectUnservable rejects queued jobs that need the primary and can't be
// served in time.
func (g *group) rejectUnservable(now timekeeper.Millis) {
	if g.queue.LenByLane(scheduler.LanePrimary) == 0 && g.balance.lateCount() == 0 {
		return
	}
	for _, j := range sortedJobs(g.waiting) {
		if j.lane == scheduler.LanePrimary && g.cannotMeetDeadline(now, j) {
			g.unqueue(j)
			g.reject(now, j, g.retryDelay(now), "no primary can be used")
		}
	}
}

// busyOnPrimary counts the primary's connections with a transaction or a
// statement that may need the primary lease.
func (g *group) busyOnPrimary() int {
	s := g.byID[g.lease.Server]
	if s == nil {
		return 0
	}
	busy := 0
	for _, c := range s.conns {
		if c.job != nil && c.job.needsPrimary() || c.pinnedSession != nil {
			busy++
		}
	}
	return busy
}

// cannotMeetDeadline reports whether a job that needs the primary can't be
// served in time. During a primary change it compares the expected end of the
// change with the job's deadline. If the change is past its expected end,
// nothing is known about its end, and it returns true.
func (g *group) cannotMeetDeadline(now timekeeper.Millis, j *job) bool {
	if g.lease.Paused {
		return g.lease.ResumeAt <= now || g.lease.ResumeAt+timekeeper.Millis(g.costs[rankOf(j.database)]) >= j.deadline
	}
	return g.usablePrimary(now) == nil
}

// retryDelay returns after how many milliseconds work that needs the primary
// should be sent again.
func (g *group) retryDelay(now timekeeper.Millis) timekeeper.Millis {
	if g.lease.Paused && g.lease.ResumeAt > now {
		return g.lease.ResumeAt - now
	}
	return defaultRetryDelay
}

// enqueue queues a job for the primary or for any server, or rejects it.
func (g *group) enqueue(now timekeeper.Millis, j *job) {
	j.step = stepQueued
	j.lane = scheduler.LanePrimary
	if !j.needsPrimary() && g.hasEligibleReplica(now, j) {
		j.lane = scheduler.LaneAny
	}
	if j.lane == scheduler.LanePrimary && g.cannotMeetDeadline(now, j) {
		g.reject(now, j, g.retryDelay(now), "no primary can be used")
		return
	}
	cost := g.costs[rankOf(j.database)]
	j.item = scheduler.Item{
		ID: j.id, Customer: cmp.Or(j.account, j.session.account), Rank: rankOf(j.database), Lane: j.lane, Cost: cost, Arrived: j.arrived,
		Deadline: j.arrived + j.database.Timeout/queueTimeDivisor,
	}
	if account, found := g.mux.catalog.Account(j.account); found {
		j.item.Weight = accountWeight(account)
	}
	g.queue.SetCapacity(j.lane, g.capacity(now, j.lane, j))
	if err := g.queue.Push(now, j.item); err != nil {
		after := defaultRetryDelay
		if e, ok := err.(*scheduler.Error); ok {
			after = e.RetryAfter
		}
		g.reject(now, j, after, err.Error())
		return
	}
	g.addWaiting(j)
	g.balance.arrived(j)
}

// reject completes a job that can't be served now. The answer is CodeNotRun
// only if no attempt of the job may have run.
func (g *group) reject(now timekeeper.Millis, j *job, after timekeeper.Millis, reason string) {
	code := CodeNotRun
	if j.mayHaveRun {
		code = CodeFailed
	}
	g.complete(now, j, Answer{Code: code, Text: reason, RetryAfter: max(after, 1)})
}

// complete answers a job that no longer runs on a connection. An error aborts
// the job's transaction, and an error of a commit also ends it.
func (g *group) complete(now timekeeper.Millis, j *job, a Answer) {
	if a.Code != CodeOK {
		if j.session.tx != nil && j.statement.Kind == KindCommit {
			g.mux.abort(now, j.session)
			j.session.tx = nil
		}
		g.mux.abort(now, j.session)
	}
	g.mux.reply(now, j, a)
}

// unqueue removes a job from the queue.
func (g *group) unqueue(j *job) {
	g.queue.Remove(j.id)
	g.removeWaiting(j)
}

// cancelWaiting removes a queued job whose client has disconnected.
func (g *group) cancelWaiting(j *job) {
	g.unqueue(j)
	j.session.job = nil
}

// capacity returns how many statements of j's rank this daemon can run at once
// in a lane. It sums this daemon's own limits, not the servers' slots, which
// other daemons fill too.
func (g *group) capacity(now timekeeper.Millis, lane scheduler.Lane, j *job) int {
	total := 0
	for _, s := range g.servers {
		primary := g.isPrimary(s)
		if !s.usable(now, g.mux.settings.LeavingGrace) || lane == scheduler.LanePrimary && !primary || !primary && s.expectedLag(now) > j.database.MaxAge {
			continue
		}
		total += s.limit(g, rankOf(j.database))
	}
	return total
}

// readFloor returns the position that a read must cover. It returns false if no
// sample is recent enough, so that only the primary can serve the read.
func (g *group) readFloor(now timekeeper.Millis, j *job) (sequencer.Position, bool) {
	floor := g.lease.History.Clamp(j.session.floor)
	if j.database.Consistency == cataloger.ConsistencyPrimary {
		return sequencer.Max(floor, g.samples.Newest().Position), true
	}
	sample, known := g.samples.Floor(now, j.database.MaxAge-g.mux.settings.StalenessMargin)
	return sequencer.Max(floor, sample), known
}

// candidates describes all servers of the group, in the order of g.servers. The
// result is valid until the next call.
func (g *group) candidates(now timekeeper.Millis, rank scheduler.Rank) []router.Candidate {
	g.candidateBuffer = g.candidateBuffer[:0]
	primary := g.usablePrimary(now)
	for _, s := range g.servers {
		c := s.candidate(now, g, rank, g.isPrimary(s))
		if g.isPrimary(s) && s != primary {
			c.Usable = false
		}
		g.candidateBuffer = append(g.candidateBuffer, c)
	}
	return g.candidateBuffer
}

// hasEligibleReplica reports whether some replica is expected to cover a read's
// floor.
func (g *group) hasEligibleReplica(now timekeeper.Millis, j *job) bool {
	floor, known := g.readFloor(now, j)
	if !known {
		return false
	}
	requirement := router.ReadRequirement{Floor: floor, History: g.lease.History}
	for _, c := range g.candidates(now, rankOf(j.database)) {
		if c.Usable && !c.Primary && !j.excluded[c.Name] && requirement.Covers(c) {
			return true
		}
	}
	return false
}

// selectServer returns the server that would run a job now on an idle connection, or
// nil. It sets the job's floor.
func (g *group) selectServer(now timekeeper.Millis, j *job) *server {
	return g.selectAmong(now, j, func(s *server) bool { return s.pool.CanTakeAs(rankOf(j.database), j.account) }, 0)
}

// selectAmong returns the best server for a job of those for which hasConn returns
// true, or nil. A connection that is being opened counts like openingWeight
// statements.
func (g *group) selectAmong(now timekeeper.Millis, j *job, hasConn func(*server) bool, openingWeight int) *server {
	floor, known := g.readFloor(now, j)
	j.floor = floor
	if j.lane == scheduler.LanePrimary {
		s := g.usablePrimary(now)
		if s == nil || now < s.backoffUntil && s.errorRate < degradedErrorRate || s.available(g, rankOf(j.database))-openingWeight*s.pool.OpeningAccounts() < 1 || !hasConn(s) {
			return nil
		}
		return s
	}
	requirement := router.ReadRequirement{Floor: floor, History: g.lease.History}
	candidates := g.candidates(now, rankOf(j.database))
	g.balance.restrict(now, j, candidates, requirement, known)
	for i := range candidates {
		c := &candidates[i]
		if !c.Primary && (!known || j.excluded[c.Name]) || !hasConn(g.servers[i]) {
			c.Usable = false
		}
		if opening := openingWeight * g.servers[i].pool.OpeningAccounts(); opening > 0 {
			c.Available -= opening
			c.InFlight += opening
		}
	}
	if i := router.SelectForRead(candidates, requirement); i >= 0 {
		return g.servers[i]
	}
	return nil
}
