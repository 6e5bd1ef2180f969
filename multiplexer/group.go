package multiplexer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/router"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// attemptLimit bounds how often one statement is sent to servers.
	attemptLimit = 4
	// queueTimeDivisor is the part of its time limit, as one in so many, that a statement
	// may wait for a server: a caller that is refused then has time to go elsewhere.
	queueTimeDivisor = 2
	// retryRefill is the part of a retry that each statement adds to the budget.
	retryRefill = 0.2
	// retryBudgetCap is the greatest number of retries saved up.
	retryBudgetCap = 40.0
	// defaultRetryDelay is when work may come back that found no primary or a full
	// server, in milliseconds.
	defaultRetryDelay timekeeper.Millis = 200
)

// group is the state of one database group.
type group struct {
	name            string
	mux             *Multiplexer
	servers         []*server
	byID            map[string]*server
	queue           *scheduler.Queue
	waiting         map[string]*job
	running         map[string]*job
	lease           elector.PrimaryLease
	samples         router.PositionSamples
	highestPosition sequencer.Position
	costs           [scheduler.Ranks]float64
	retryBudget     float64
	candidateBuffer []router.Candidate
	selected        *server
}

func newGroup(name string, m *Multiplexer) *group {
	g := &group{
		name: name, mux: m, byID: map[string]*server{},
		queue:   scheduler.New(m.settings.Classes, m.settings.QueueLimit),
		waiting: map[string]*job{}, running: map[string]*job{}, retryBudget: retryBudgetCap / 2,
	}
	for i := range g.costs {
		g.costs[i] = initialServiceTime
	}
	return g
}

func (g *group) log(outcome string, fields ...observer.Field) {
	g.mux.deps.Log(Decision{Part: "group " + g.name, Outcome: outcome, Inputs: fields})
}

func (g *group) isPrimary(s *server) bool {
	return s.ID == g.lease.Server
}

// usablePrimary returns the primary if new work may start there.
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

// setServers takes the registered servers of the group.
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
		if s == nil {
			s = &server{
				serviceTime: initialServiceTime, lag: initialLag, conns: map[pooler.Conn]*conn{},
				pool: pooler.New(1<<16, g.mux.minIdle(g), g.mux.nextConn).WithIdleLimit(idleLimit),
			}
			s.pool.SetShare(g.mux.share(g))
			s.pool.SetSurplusIdleLimit(g.mux.surplusIdleLimit(g))
			g.byID[registration.ID] = s
			g.log("server registered", observer.F("server", registration.ID), observer.F("address", registration.Address))
		}
		if registration.Leaving && s.leavingSince == 0 {
			s.leavingSince = now
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

// removeServer forgets a server. Statements that run on it go on until they end.
func (g *group) removeServer(now timekeeper.Millis, s *server) {
	s.deregistered = true
	delete(g.byID, s.ID)
	g.servers = slices.DeleteFunc(g.servers, func(other *server) bool { return other == s })
	for _, id := range s.pool.RemoveIdle() {
		g.mux.closeConn(now, id)
	}
}

// setLease takes who leads the group and until when that may be believed.
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

// rejectUnservable refuses waiting work that needs the primary and can't be served
// in time.
func (g *group) rejectUnservable(now timekeeper.Millis) {
	if g.queue.LenByLane(scheduler.LanePrimary) == 0 {
		return
	}
	for _, j := range sortedJobs(g.waiting) {
		if j.lane == scheduler.LanePrimary && g.cannotMeetDeadline(now, j) {
			g.unqueue(j)
			g.reject(now, j, g.retryDelay(now), "no primary can be used")
		}
	}
}

// busyOnPrimary counts what runs on the primary and may need its authority.
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

// submit places a job whose transaction has no connection yet.
func (g *group) submit(now timekeeper.Millis, j *job) {
	g.retryBudget = min(retryBudgetCap, g.retryBudget+retryRefill)
	g.enqueue(now, j)
	g.dispatchQueued(now)
}

// cannotMeetDeadline reports whether a job that needs the primary can't be served in time.
func (g *group) cannotMeetDeadline(now timekeeper.Millis, j *job) bool {
	if g.lease.Paused {
		return g.lease.ResumeAt <= now || g.lease.ResumeAt+timekeeper.Millis(g.costs[rankOf(j.database)]) >= j.deadline
	}
	return g.usablePrimary(now) == nil
}

// retryDelay returns when work that needs the primary should be offered again.
func (g *group) retryDelay(now timekeeper.Millis) timekeeper.Millis {
	if g.lease.Paused && g.lease.ResumeAt > now {
		return g.lease.ResumeAt - now
	}
	return defaultRetryDelay
}

// enqueue queues a job or refuses it.
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
		ID: j.id, Customer: j.session.account, Rank: rankOf(j.database), Lane: j.lane, Cost: cost, Arrived: j.arrived,
		Deadline: j.arrived + j.database.Timeout/queueTimeDivisor,
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
	g.waiting[j.id] = j
}

// reject ends a job that can't be served now. Its caller is told that it did not
// run only if no attempt of it may have.
func (g *group) reject(now timekeeper.Millis, j *job, after timekeeper.Millis, reason string) {
	code := CodeNotRun
	if j.mayHaveRun {
		code = CodeFailed
	}
	g.complete(now, j, Answer{Code: code, Text: reason, RetryAfter: max(after, 1)})
}

// complete finishes a job that no connection runs any more. A transaction in which a
// statement fails is over.
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

func (g *group) unqueue(j *job) {
	g.queue.Remove(j.id)
	delete(g.waiting, j.id)
}

// cancelWaiting forgets a waiting job whose caller has left.
func (g *group) cancelWaiting(j *job) {
	g.unqueue(j)
	j.session.job = nil
}

// capacity returns how many statements of a rank this daemon can have running at
// once in a lane: what it may send, not the servers' slots, which others fill too.
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

// readFloor returns the position that a read must see. It reports false where
// only the primary can tell.
func (g *group) readFloor(now timekeeper.Millis, j *job) (sequencer.Position, bool) {
	floor := g.lease.History.Clamp(j.session.floor)
	if j.database.Consistency == cataloger.ConsistencyPrimary {
		return sequencer.Max(floor, g.samples.Newest().Position), true
	}
	sample, known := g.samples.Floor(now, j.database.MaxAge-g.mux.settings.StalenessMargin)
	return sequencer.Max(floor, sample), known
}

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

// hasEligibleReplica reports whether some replica is expected to cover a read's floor.
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

// selectServer returns the server that would run a job now, or nil.
func (g *group) selectServer(now timekeeper.Millis, j *job) *server {
	floor, known := g.readFloor(now, j)
	j.floor = floor
	if j.lane == scheduler.LanePrimary {
		s := g.usablePrimary(now)
		if s == nil || now < s.backoffUntil && s.errorRate < degradedErrorRate || s.available(g, rankOf(j.database)) < 1 || !s.pool.CanTake(rankOf(j.database)) {
			return nil
		}
		return s
	}
	candidates := g.candidates(now, rankOf(j.database))
	for i := range candidates {
		c := &candidates[i]
		if !c.Primary && (!known || j.excluded[c.Name]) || !g.servers[i].pool.CanTake(rankOf(j.database)) {
			c.Usable = false
		}
	}
	if i := router.SelectForRead(candidates, router.ReadRequirement{Floor: floor, History: g.lease.History}); i >= 0 {
		return g.servers[i]
	}
	return nil
}

// dispatchQueued starts waiting work for as long as servers are free.
func (g *group) dispatchQueued(now timekeeper.Millis) {
	for g.queue.Total() > 0 {
		item, found := g.queue.Pop([2]bool{true, true}, func(item scheduler.Item) bool {
			j := g.waiting[item.ID]
			if j == nil {
				return false
			}
			g.selected = g.selectServer(now, j)
			return g.selected != nil
		})
		if !found {
			break
		}
		j := g.waiting[item.ID]
		delete(g.waiting, item.ID)
		g.start(now, j, g.selected)
	}
	g.adjustConns(now)
}

// adjustConns opens the connections that waiting work asks for.
func (g *group) adjustConns(now timekeeper.Millis) {
	for _, s := range g.servers {
		if !s.usable(now, g.mux.settings.LeavingGrace) && !(s.unresponsive && now >= s.nextProbe) {
			continue
		}
		g.probeDirect(now, s)
		toOpen, toClose := s.pool.Plan(now, g.demand(s))
		for _, id := range toOpen {
			g.openConn(now, s, id, g.useRelay(s))
		}
		for _, id := range toClose {
			g.mux.closeConn(now, id)
		}
	}
}

// idleLimit is how long connections beyond the warm ones stay idle. A server
// counts those of a daemon that lost power for some seconds, and its limit must
// hold the new ones beside them.
const idleLimit timekeeper.Millis = 2000

// demand is how many idle connections a server should have.
func (g *group) demand(s *server) int {
	if s.unresponsive {
		return 1
	}
	demand := g.mux.minIdle(g) + g.queue.LenByLane(scheduler.LaneAny)
	if g.isPrimary(s) {
		demand += g.queue.LenByLane(scheduler.LanePrimary)
	}
	return demand
}

// start gives a job a connection and runs it.
func (g *group) start(now timekeeper.Millis, j *job, s *server) {
	id, ready := s.pool.Take(rankOf(j.database))
	if !ready {
		g.queue.Done(j.item, 0)
		g.enqueue(now, j)
		return
	}
	c := g.mux.conns[id]
	if tx := j.session.tx; tx != nil {
		tx.conn = c
		c.pinnedSession = j.session
	}
	g.assign(now, j, c)
}

// runPinned runs a statement of a transaction on its connection.
func (g *group) runPinned(now timekeeper.Millis, j *job) {
	c := j.session.tx.conn
	if !g.leaseAllows(now, c.server, j) {
		g.complete(now, j, Answer{Code: CodeAborted, Text: "the primary is being changed", RetryAfter: g.retryDelay(now)})
		return
	}
	g.assign(now, j, c)
}

// assign runs a job on a connection, after what the connection has to be told.
func (g *group) assign(now timekeeper.Millis, j *job, c *conn) {
	s := c.server
	j.conn, j.server = c, s
	j.attempts++
	if j.started == 0 {
		j.started = now
	}
	c.job = j
	s.running++
	g.running[j.id] = j
	if setup := j.sessionSetup(); len(setup) > 0 {
		j.step = stepSetup
		g.send(now, c, setup)
		return
	}
	g.proceed(now, j)
}

// proceed takes a job's next step on its connection.
func (g *group) proceed(now timekeeper.Millis, j *job) {
	c := j.conn
	if j.step != stepBegin && c.pinnedSession != nil && j.session.tx != nil && !j.session.tx.begun {
		j.step = stepBegin
		begin := Statement{Kind: KindBegin}
		if j.session.tx.readOnly {
			begin = Statement{Kind: KindBeginRead, Floor: j.floor}
		}
		g.send(now, c, []Statement{begin})
		return
	}
	j.step = stepRun
	j.sent = now
	g.send(now, c, []Statement{j.serverStatement()})
}

func (g *group) send(now timekeeper.Millis, c *conn, statements []Statement) {
	c.sent = now
	g.mux.emit(Send{Conn: c.id, Statements: statements})
}

// leaseAllows reports whether an answer of a server may be passed on: work that
// needs the primary needs the right to use it at the time of the answer.
func (g *group) leaseAllows(now timekeeper.Millis, s *server, j *job) bool {
	if !j.needsPrimary() {
		return true
	}
	return g.isPrimary(s) && now < g.lease.ValidUntil
}
