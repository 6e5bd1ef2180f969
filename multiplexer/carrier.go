package multiplexer

import (
	"slices"

	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// spareCarriers is how many daemons after a group's carriers are asked
	// before this daemon runs the work itself.
	spareCarriers = 2
	// carrierPingAfter is how long a carrier that owes an answer may be silent
	// before it is pinged, and carrierPingTimeout how long it may take to answer
	// the ping before it gets no more work.
	carrierPingAfter, carrierPingTimeout timekeeper.Millis = 60, 160
	// carrierBackoff is for how long a carrier gets no work after a failure, and
	// the time to the first ping of one that does not respond; it doubles with each
	// further failure up to maxCarrierBackoff.
	carrierBackoff, maxCarrierBackoff timekeeper.Millis = 150, 4000
	// answerReserve is what a carrier's time limit is shorter than this
	// daemon's, so that its answer arrives in time.
	answerReserve timekeeper.Millis = 8
	// tickGap is the time between two ticks above which this daemon was frozen
	// or slow, so that the silence of others proves nothing.
	tickGap timekeeper.Millis = 120
)

// Forward asks a carrier to run a statement. The driver reports the result with
// ForwardAnswered or ForwardLost.
type Forward struct {
	Carrier placer.Host
	Request ForwardRequest
}

// EndForward tells a carrier that a client has ended the work or has left.
type EndForward struct {
	Carrier placer.Host
	Work    uint64
}

// PingCarrier asks a carrier for a sign of life. The driver reports it with
// CarrierResponded.
type PingCarrier struct {
	Carrier placer.Host
}

// RenewLink makes later requests to a carrier use a new connection. Requests in
// progress on the old one may still be answered.
type RenewLink struct {
	Carrier placer.Host
}

func (Forward) command()     {}
func (EndForward) command()  {}
func (PingCarrier) command() {}
func (RenewLink) command()   {}

// SetPlacement sets which daemons are live, and with it who carries each group
// and this daemon's share of the servers' connections.
func (m *Multiplexer) SetPlacement(now timekeeper.Millis, placement placer.Placement) []Command {
	if placement.Equal(m.placement) {
		return nil
	}
	m.deps.Log(Decision{Part: "pool", Outcome: "share of connections changed", Inputs: []observer.Field{
		observer.F("hosts", placement.HostCount()), observer.F("before", m.placement.HostCount()),
	}})
	m.placement = placement
	if m.placedAt == 0 {
		m.placedAt = now
	}
	m.updatePoolLimits()
	m.dispatchAll(now)
	return m.takeCommands()
}

// updateCarriers determines the carriers of a group from the placement. While that
// is partial, the number of carriers stays, since the other daemons use the
// servers too.
func (g *group) updateCarriers() {
	before, placement := g.carrierCount, g.mux.placement
	config, found := g.mux.catalog.Group(g.name)
	if !found {
		g.carrierCount, g.carriers = 0, nil
		return
	}
	if !placement.Partial() || before == 0 {
		accounts := 0
		if g.mux.catalog.HasClosed(g.name) {
			accounts = g.mux.catalog.AccountCount()
		}
		g.carrierCount = placement.CarriersPerDomain(config.ConnectionLimit, accounts, before > 0)
		sharers := placement.Sharers(g.carrierCount)
		if placement.Partial() && accounts > 0 {
			// The unknown hosts may use the servers too.
			sharers = max(sharers, g.sharers)
		}
		g.sharers = sharers
	}
	if g.carrierCount == 0 {
		g.carriers = nil
	} else {
		g.carriers = g.mux.placement.Order(g.name)
	}
	if before != g.carrierCount {
		g.log("carriers for each failure domain", observer.F("count", g.carrierCount), observer.F("before", before), observer.F("hosts", g.mux.placement.HostCount()))
	}
}

// carries reports whether this daemon runs the group's work over its own
// connections as a rule: it is a carrier, or each daemon is its own.
func (g *group) carries() bool {
	if g.carrierCount == 0 {
		return true
	}
	self := g.mux.placement.Self().Name
	return slices.ContainsFunc(g.carriers[:min(g.carrierCount, len(g.carriers))], func(h placer.Host) bool { return h.Name == self })
}

// carrierFor returns the carrier that runs the job, or false if this daemon
// runs it itself: it is a carrier, or no carrier can be reached. A session's
// work goes to the same carrier as long as that responds, and so does an account's from
// all daemons of the failure domain, so that it shares connections.
func (g *group) carrierFor(now timekeeper.Millis, j *job) (placer.Host, bool) {
	if j.session.work != nil || g.carrierCount == 0 || j.account == "" && g.carries() {
		return placer.Host{}, false
	}
	n, self := min(g.carrierCount, len(g.carriers)), g.mux.placement.Self().Name
	first := int(j.session.id)
	if j.account != "" {
		first = placer.SelectForAccount(g.carriers[:n], g.name, j.account)
	}
	for i := range min(n+spareCarriers, len(g.carriers)) {
		h := g.carriers[i]
		if i < n {
			h = g.carriers[(first+i)%n]
		}
		if h.Name == self {
			return placer.Host{}, false
		}
		if path := g.mux.paths[h.Name]; path == nil || path.usable(now) {
			return h, true
		}
	}
	return placer.Host{}, false
}

// CarrierLoad describes what a daemon does for others and lets others do.
type CarrierLoad struct {
	// Groups is how many groups the daemon carries for its failure domain.
	Groups int
	// Forwarded is how many single statements and transactions of other daemons it
	// runs, and Forwards how many statements carriers owe it answers to.
	Forwarded, Forwards int
	// Unreachable is how many carriers do not respond to it.
	Unreachable int
}

// CarrierLoad returns the daemon's present load as a carrier and as a gateway.
func (m *Multiplexer) CarrierLoad() CarrierLoad {
	load := CarrierLoad{Forwarded: len(m.forwarded), Forwards: len(m.forwards)}
	for _, g := range m.groups {
		if g.carrierCount > 0 && g.carries() {
			load.Groups++
		}
	}
	for _, path := range m.paths {
		if path.unreachable {
			load.Unreachable++
		}
	}
	return load
}

// startJob runs a new job over a pinned connection, at a carrier or from this
// daemon's queue.
func (m *Multiplexer) startJob(now timekeeper.Millis, j *job) {
	s := j.session
	s.job = j
	switch {
	case s.tx != nil && s.tx.conn != nil:
		j.group.runPinned(now, j)
	case s.tx != nil && s.tx.work != 0:
		m.forward(now, j, s.tx.carrier, StartContinue)
	default:
		j.group.retryBudget = min(retryBudgetCap, j.group.retryBudget+retryRefill)
		m.admit(now, j)
	}
}

// place forwards a job to a carrier or queues it here.
func (m *Multiplexer) place(now timekeeper.Millis, j *job) {
	carrier, found := j.group.carrierFor(now, j)
	if !found {
		j.group.enqueue(now, j)
		j.group.dispatchQueued(now)
		return
	}
	start := StartNone
	if tx := j.session.tx; tx != nil {
		start = StartWrite
		if tx.readOnly {
			start = StartRead
		}
	}
	m.forward(now, j, carrier, start)
}

// forward sends a job to a carrier.
func (m *Multiplexer) forward(now timekeeper.Millis, j *job, carrier placer.Host, start TransactionStart) {
	s := j.session
	if start == StartContinue {
		j.work = s.tx.work
	} else {
		m.workCount++
		j.work = m.workCount
		if s.tx != nil {
			s.tx.work, s.tx.carrier = j.work, carrier
		}
	}
	r := ForwardRequest{
		Work: j.work, Start: start, Statement: j.statement, Database: j.database, Account: s.account,
		Key: s.key, Catalog: m.catalog.Version,
		Left: max(j.deadline-now-answerReserve, 1), Values: s.values, Floor: s.floor, Writes: j.writes,
	}
	r.Database.Rank = rankOf(j.database)
	if j.account != "" {
		r.Account = j.account
	}
	if j.statement.Kind == KindExecute {
		r.Shape = s.prepared[j.statement.Name].shape
	}
	m.charge(now, j)
	j.step, j.carrier, j.sent = stepForwarded, carrier, now
	j.attempts++
	if j.started == 0 {
		j.started = now
	}
	path := m.paths[carrier.Name]
	if path == nil || path.host != carrier {
		path = &carrierPath{host: carrier}
		m.paths[carrier.Name] = path
	}
	if path.outstanding == 0 {
		path.silentSince = now
	}
	path.outstanding++
	j.path = path
	m.forwards[j.work] = j
	m.emit(Forward{Carrier: carrier, Request: r})
}

// endForward ends a job's wait for its carrier.
func (m *Multiplexer) endForward(j *job) {
	delete(m.forwards, j.work)
	j.path.outstanding--
}

// ForwardAnswered handles a carrier's answer to a forwarded statement.
func (m *Multiplexer) ForwardAnswered(now timekeeper.Millis, work uint64, a ForwardAnswer) []Command {
	j := m.forwards[work]
	if j == nil {
		return nil
	}
	m.endForward(j)
	j.path.markResponded(now)
	if a.Unavailable {
		m.avoidCarrier(now, j.path, "unavailable")
		if tx := j.session.tx; tx != nil && tx.begun {
			tx.work = 0
			j.group.complete(now, j, Answer{Code: CodeAborted, Text: "the carrier has dropped the transaction", RetryAfter: defaultRetryDelay})
			return m.takeCommands()
		}
		m.forwardElsewhere(now, j)
		return m.takeCommands()
	}
	j.path.failures = 0
	m.finishForwarded(now, j, a.Answer)
	return m.takeCommands()
}

// finishForwarded passes a carrier's answer on to the client.
func (m *Multiplexer) finishForwarded(now timekeeper.Millis, j *job, a Answer) {
	s := j.session
	if a.Code != CodeOK {
		if s.tx != nil {
			// The carrier has rolled the transaction back.
			s.tx.work = 0
		}
		j.group.complete(now, j, a)
		return
	}
	commits := j.statement.Kind == KindCommit
	if (commits || j.hasSideEffects()) && s.floor.Before(a.Position) {
		s.floor = a.Position
	}
	if commits {
		s.tx = nil
	} else if s.tx != nil {
		s.tx.begun = true
	}
	m.reply(now, j, a)
}

// ForwardLost handles a forwarded statement that gets no answer because the
// link to its carrier broke or could not be opened. sent says that the carrier
// may have received it.
func (m *Multiplexer) ForwardLost(now timekeeper.Millis, work uint64, sent bool) []Command {
	j := m.forwards[work]
	if j == nil {
		return nil
	}
	m.endForward(j)
	m.avoidCarrier(now, j.path, "the link broke")
	j.path.unreachable = true
	m.abandonForward(now, j, sent, "the link to the carrier broke")
	return m.takeCommands()
}

// abandonForward completes or retries a job whose carrier does not answer. Work
// that may have taken effect has an unknown outcome, and a transaction that has
// begun at the carrier is rolled back there.
func (m *Multiplexer) abandonForward(now timekeeper.Millis, j *job, sent bool, reason string) {
	s := j.session
	switch {
	case !sent && (s.tx == nil || !s.tx.begun):
		m.forwardElsewhere(now, j)
	case sent && j.hasSideEffects():
		m.endTransactionForward(s)
		j.group.complete(now, j, Answer{Code: CodeInDoubt, Text: reason})
	case s.tx != nil:
		j.group.complete(now, j, Answer{Code: CodeAborted, Text: reason, RetryAfter: defaultRetryDelay})
	default:
		j.mayHaveRun = true
		j.group.retryBudget--
		if j.group.retryBudget < 0 {
			j.group.retryBudget = 0
			j.group.reject(now, j, defaultRetryDelay, reason)
			return
		}
		m.forwardElsewhere(now, j)
	}
}

// endTransactionForward tells the carrier of a session's transaction that the
// transaction is over.
func (m *Multiplexer) endTransactionForward(s *session) {
	if s.tx != nil && s.tx.work != 0 {
		m.emit(EndForward{Carrier: s.tx.carrier, Work: s.tx.work})
		s.tx.work = 0
	}
}

// forwardElsewhere runs a job at the next carrier or here.
func (m *Multiplexer) forwardElsewhere(now timekeeper.Millis, j *job) {
	if j.session.tx != nil {
		j.session.tx.work = 0
	}
	if now >= j.deadline {
		j.group.reject(now, j, defaultRetryDelay, "no carrier answered in time")
		return
	}
	m.place(now, j)
}

// expireForward ends a job's wait at its time limit.
func (m *Multiplexer) expireForward(now timekeeper.Millis, j *job) {
	m.endForward(j)
	s := j.session
	m.emit(EndForward{Carrier: j.carrier, Work: j.work})
	if s.tx != nil {
		s.tx.work = 0
	}
	switch {
	case j.hasSideEffects():
		j.group.complete(now, j, Answer{Code: CodeInDoubt, Text: "the time limit passed"})
	case s.tx != nil:
		j.group.complete(now, j, Answer{Code: CodeAborted, Text: "the carrier did not answer in time", RetryAfter: defaultRetryDelay})
	default:
		j.group.complete(now, j, Answer{Code: CodeTimeout, Text: "the time limit passed"})
	}
}
