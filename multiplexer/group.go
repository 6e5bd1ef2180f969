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
	// waitShare is the part of its time limit, as one in so many, that a statement
	// may wait for a server: a caller that is refused then has time to go elsewhere.
	waitShare = 2
	// retryEarned is the part of a retry that each statement adds to the budget.
	retryEarned = 0.2
	// retryLimit is the greatest number of retries saved up.
	retryLimit = 40.0
	// retryShort is when work may come back that found no primary or a full
	// server, in milliseconds.
	retryShort timekeeper.Millis = 200
)

// group is the state of one database group.
type group struct {
	name    string
	mux     *Multiplexer
	servers []*server
	byID    map[string]*server
	queue   *scheduler.Queue
	waiting map[string]*job
	running map[string]*job
	lead    elector.PrimaryLease
	samples router.PositionSamples
	highest sequencer.Position
	costs   [scheduler.Ranks]float64
	budget  float64
	scratch []router.Candidate
	chosen  *server
}

func newGroup(name string, m *Multiplexer) *group {
	g := &group{
		name: name, mux: m, byID: map[string]*server{},
		queue:   scheduler.New(m.settings.Classes, m.settings.QueueLimit),
		waiting: map[string]*job{}, running: map[string]*job{}, budget: retryLimit / 2,
	}
	for i := range g.costs {
		g.costs[i] = serviceGuess
	}
	return g
}

func (g *group) log(outcome string, fields ...observer.Field) {
	g.mux.deps.Log(Decision{Part: "group " + g.name, Outcome: outcome, Inputs: fields})
}

func (g *group) isLead(s *server) bool {
	return s.ID == g.lead.Server
}

// leadServer returns the primary if new work may start there.
func (g *group) leadServer(now timekeeper.Millis) *server {
	if g.lead.Paused || now >= g.lead.ValidUntil {
		return nil
	}
	s := g.byID[g.lead.Server]
	if s == nil || !s.usable(now, g.mux.settings.LeavingGrace) {
		return nil
	}
	return s
}

// setServers takes the registered servers of the group.
func (g *group) setServers(now timekeeper.Millis, list []cataloger.Server) {
	present := map[string]bool{}
	for _, described := range list {
		present[described.ID] = true
		s := g.byID[described.ID]
		if s != nil && (s.Started != described.Started || s.Address != described.Address) {
			g.log("server started again", observer.F("server", s.ID), observer.F("started", int64(described.Started)))
			g.remove(now, s)
			s = nil
		}
		if s == nil {
			s = &server{
				service: serviceGuess, lag: lagGuess, conns: map[pooler.Conn]*conn{},
				pool: pooler.New(1<<16, g.mux.warm(g), g.mux.nextConn).WithIdleLimit(idleLimit),
			}
			s.pool.SetShare(g.mux.share(g))
			s.pool.SetSurplusIdleLimit(g.mux.spareLimit(g))
			g.byID[described.ID] = s
			g.log("server registered", observer.F("server", described.ID), observer.F("address", described.Address))
		}
		if described.Leaving && s.leavingSince == 0 {
			s.leavingSince = now
			g.log("server is leaving", observer.F("server", described.ID))
		}
		if !described.Leaving {
			s.leavingSince = 0
		}
		s.Server = described
	}
	for id, s := range g.byID {
		if !present[id] {
			g.log("server is no longer registered", observer.F("server", id))
			g.remove(now, s)
		}
	}
	g.servers = slices.SortedFunc(maps.Values(g.byID), func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// remove forgets a server. Statements that run on it go on until they end.
func (g *group) remove(now timekeeper.Millis, s *server) {
	s.gone = true
	delete(g.byID, s.ID)
	g.servers = slices.DeleteFunc(g.servers, func(other *server) bool { return other == s })
	for _, id := range s.pool.RemoveIdle() {
		g.mux.closeConn(now, id)
	}
}

// setLead takes who leads the group and until when that may be believed.
func (g *group) setLead(now timekeeper.Millis, lead elector.PrimaryLease) {
	before := g.lead
	if lead.Term == 0 && lead.Server == before.Server {
		lead.Term, lead.History = before.Term, before.History
	}
	g.lead = lead
	if before.Server == lead.Server && before.Term == lead.Term && before.Paused == lead.Paused {
		return
	}
	g.log("primary", observer.F("server", lead.Server), observer.F("term", lead.Term), observer.F("held", lead.Paused),
		observer.F("before", before.Server), observer.F("until", int64(lead.ValidUntil)))
	if before.Server != lead.Server || before.Term != lead.Term {
		g.samples.Reset()
		for _, s := range g.byID {
			s.fullUntil = 0
		}
	}
	g.refuseHopeless(now)
}

// refuseHopeless refuses waiting work that needs the primary and can't be served
// in time.
func (g *group) refuseHopeless(now timekeeper.Millis) {
	if g.queue.LenByLane(scheduler.LanePrimary) == 0 {
		return
	}
	for _, j := range sortedJobs(g.waiting) {
		if j.lane == scheduler.LanePrimary && g.hopeless(now, j) {
			g.unqueue(j)
			g.refuse(now, j, g.comeBack(now), "no primary can be used")
		}
	}
}

// onLead counts what runs on the primary and may need its authority.
func (g *group) onLead() int {
	s := g.byID[g.lead.Server]
	if s == nil {
		return 0
	}
	busy := 0
	for _, c := range s.conns {
		if c.job != nil && c.job.needsLead() || c.holder != nil {
			busy++
		}
	}
	return busy
}

// submit places a job whose transaction has no connection yet.
func (g *group) submit(now timekeeper.Millis, j *job) {
	g.budget = min(retryLimit, g.budget+retryEarned)
	g.place(now, j)
	g.pump(now)
}

// hopeless reports whether a job that needs the primary can't be served in time.
func (g *group) hopeless(now timekeeper.Millis, j *job) bool {
	if g.lead.Paused {
		return g.lead.ResumeAt <= now || g.lead.ResumeAt+timekeeper.Millis(g.costs[rankOf(j.database)]) >= j.due
	}
	return g.leadServer(now) == nil
}

// comeBack returns when work that needs the primary should be offered again.
func (g *group) comeBack(now timekeeper.Millis) timekeeper.Millis {
	if g.lead.Paused && g.lead.ResumeAt > now {
		return g.lead.ResumeAt - now
	}
	return retryShort
}

// place queues a job or refuses it.
func (g *group) place(now timekeeper.Millis, j *job) {
	j.step = stepQueued
	j.lane = scheduler.LanePrimary
	if !j.needsLead() && g.anyReplica(now, j) {
		j.lane = scheduler.LaneAny
	}
	if j.lane == scheduler.LanePrimary && g.hopeless(now, j) {
		g.refuse(now, j, g.comeBack(now), "no primary can be used")
		return
	}
	cost := g.costs[rankOf(j.database)]
	j.item = scheduler.Item{
		ID: j.id, Customer: j.session.account, Rank: rankOf(j.database), Lane: j.lane, Cost: cost, Arrived: j.arrived,
		Deadline: j.arrived + j.database.Timeout/waitShare,
	}
	g.queue.SetCapacity(j.lane, g.capacity(now, j.lane, j))
	if err := g.queue.Push(now, j.item); err != nil {
		after := retryShort
		if e, ok := err.(*scheduler.Error); ok {
			after = e.RetryAfter
		}
		g.refuse(now, j, after, err.Error())
		return
	}
	g.waiting[j.id] = j
}

// refuse ends a job that can't be served now. Its caller is told that it did not
// run only if no attempt of it may have.
func (g *group) refuse(now timekeeper.Millis, j *job, after timekeeper.Millis, why string) {
	code := CodeNotRun
	if j.ran {
		code = CodeFailed
	}
	g.end(now, j, Answer{Code: code, Text: why, RetryAfter: max(after, 1)})
}

// end finishes a job that no connection runs any more. A transaction in which a
// statement fails is over.
func (g *group) end(now timekeeper.Millis, j *job, a Answer) {
	if a.Code != CodeOK {
		if j.session.tx != nil && j.statement.Kind == KindCommit {
			g.mux.abort(now, j.session)
			j.session.tx = nil
		}
		g.mux.abort(now, j.session)
	}
	g.mux.finish(now, j, a)
}

func (g *group) unqueue(j *job) {
	g.queue.Remove(j.id)
	delete(g.waiting, j.id)
}

// drop forgets a waiting job whose caller has left.
func (g *group) drop(j *job) {
	g.unqueue(j)
	j.session.job = nil
}

// capacity returns how many statements of a rank this daemon can have running at
// once in a lane: what it may send, not the servers' slots, which others fill too.
func (g *group) capacity(now timekeeper.Millis, lane scheduler.Lane, j *job) int {
	total := 0
	for _, s := range g.servers {
		lead := g.isLead(s)
		if !s.usable(now, g.mux.settings.LeavingGrace) || lane == scheduler.LanePrimary && !lead || !lead && s.lagNow(now) > j.database.MaxAge {
			continue
		}
		total += s.limit(g, rankOf(j.database))
	}
	return total
}

// floorOf returns the position that a read must see. It reports false where
// only the primary can tell.
func (g *group) floorOf(now timekeeper.Millis, j *job) (sequencer.Position, bool) {
	floor := g.lead.History.Clamp(j.session.floor)
	if j.database.Consistency == cataloger.ConsistencyPrimary {
		return sequencer.Max(floor, g.samples.Newest().Position), true
	}
	sample, known := g.samples.Floor(now, j.database.MaxAge-g.mux.settings.StalenessMargin)
	return sequencer.Max(floor, sample), known
}

func (g *group) candidates(now timekeeper.Millis, rank scheduler.Rank) []router.Candidate {
	g.scratch = g.scratch[:0]
	lead := g.leadServer(now)
	for _, s := range g.servers {
		c := s.candidate(now, g, rank, g.isLead(s))
		if g.isLead(s) && s != lead {
			c.Usable = false
		}
		g.scratch = append(g.scratch, c)
	}
	return g.scratch
}

// anyReplica reports whether some replica is expected to cover a read's floor.
func (g *group) anyReplica(now timekeeper.Millis, j *job) bool {
	floor, known := g.floorOf(now, j)
	if !known {
		return false
	}
	need := router.ReadRequirement{Floor: floor, History: g.lead.History}
	for _, c := range g.candidates(now, rankOf(j.database)) {
		if c.Usable && !c.Primary && !j.avoided[c.Name] && need.Covers(c) {
			return true
		}
	}
	return false
}

// choose returns the server that would run a job now, or nil.
func (g *group) choose(now timekeeper.Millis, j *job) *server {
	floor, known := g.floorOf(now, j)
	j.floor = floor
	if j.lane == scheduler.LanePrimary {
		s := g.leadServer(now)
		if s == nil || now < s.fullUntil && s.failing < failingLimit || s.free(g, rankOf(j.database)) < 1 || !s.pool.CanTake(rankOf(j.database)) {
			return nil
		}
		return s
	}
	candidates := g.candidates(now, rankOf(j.database))
	for i := range candidates {
		c := &candidates[i]
		if !c.Primary && (!known || j.avoided[c.Name]) || !g.servers[i].pool.CanTake(rankOf(j.database)) {
			c.Usable = false
		}
	}
	if i := router.SelectForRead(candidates, router.ReadRequirement{Floor: floor, History: g.lead.History}); i >= 0 {
		return g.servers[i]
	}
	return nil
}

// pump starts waiting work for as long as servers are free.
func (g *group) pump(now timekeeper.Millis) {
	for g.queue.Total() > 0 {
		item, found := g.queue.Pop([2]bool{true, true}, func(item scheduler.Item) bool {
			j := g.waiting[item.ID]
			if j == nil {
				return false
			}
			g.chosen = g.choose(now, j)
			return g.chosen != nil
		})
		if !found {
			break
		}
		j := g.waiting[item.ID]
		delete(g.waiting, item.ID)
		g.start(now, j, g.chosen)
	}
	g.connect(now)
}

// connect opens the connections that waiting work asks for.
func (g *group) connect(now timekeeper.Millis) {
	for _, s := range g.servers {
		if !s.usable(now, g.mux.settings.LeavingGrace) && !(s.silent && now >= s.silentUntil) {
			continue
		}
		g.tryDirect(now, s)
		opened, closed := s.pool.Plan(now, g.demand(s))
		for _, id := range opened {
			g.open(now, s, id, g.relays(s))
		}
		for _, id := range closed {
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
	if s.silent {
		return 1
	}
	demand := g.mux.warm(g) + g.queue.LenByLane(scheduler.LaneAny)
	if g.isLead(s) {
		demand += g.queue.LenByLane(scheduler.LanePrimary)
	}
	return demand
}

// start gives a job a connection and runs it.
func (g *group) start(now timekeeper.Millis, j *job, s *server) {
	id, ready := s.pool.Take(rankOf(j.database))
	if !ready {
		g.queue.Done(j.item, 0)
		g.place(now, j)
		return
	}
	c := g.mux.conns[id]
	if tx := j.session.tx; tx != nil {
		tx.conn = c
		c.holder = j.session
	}
	g.assign(now, j, c)
}

// runPinned runs a statement of a transaction on its connection.
func (g *group) runPinned(now timekeeper.Millis, j *job) {
	c := j.session.tx.conn
	if !g.mayAnswer(now, c.server, j) {
		g.end(now, j, Answer{Code: CodeAborted, Text: "the primary is being changed", RetryAfter: g.comeBack(now)})
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
	if first := j.preparations(); len(first) > 0 {
		j.step = stepPrepare
		g.send(now, c, first)
		return
	}
	g.proceed(now, j)
}

// proceed takes a job's next step on its connection.
func (g *group) proceed(now timekeeper.Millis, j *job) {
	c := j.conn
	if j.step != stepBegin && c.holder != nil && j.session.tx != nil && !j.session.tx.begun {
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
	g.send(now, c, []Statement{j.text()})
}

func (g *group) send(now timekeeper.Millis, c *conn, statements []Statement) {
	c.sent = now
	g.mux.emit(Send{Conn: c.id, Statements: statements})
}

// mayAnswer reports whether an answer of a server may be passed on: work that
// needs the primary needs the right to use it at the time of the answer.
func (g *group) mayAnswer(now timekeeper.Millis, s *server, j *job) bool {
	if !j.needsLead() {
		return true
	}
	return g.isLead(s) && now < g.lead.ValidUntil
}
