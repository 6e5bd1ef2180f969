package balancer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// freshFor is how long a reading counts after the last answer.
	freshFor timekeeper.Millis = 1000
	// reportAge is how long a report of another domain's queue counts.
	reportAge timekeeper.Millis = 2000
	// timeConstant is the age at which a reading has half the weight of a new
	// answer. maxWeight and minWeight bound the weight of one answer.
	timeConstant                    = 500.0
	minWeight, maxWeight, oldWeight = 0.03, 0.2, 0.5
	// oldAfter is the age from which a reading gets oldWeight replaced.
	oldAfter timekeeper.Millis = 5000
	// remotePart is the part of a server's slot time that daemons of other
	// domains may take in any remoteWindow; the rest is certain for its own.
	remotePart                     = 0.6
	remoteWindow timekeeper.Millis = 5000
	// maxLoan is how many times its part a daemon may take of a server whose domain
	// reports that its own work does not wait and that few domains ask, and
	// idleWait the longest wait in milliseconds that counts as none.
	maxLoan, idleWait = 1.5, 2.0
	// maxSlotFactor bounds the slots that a remote server is credited with, as a
	// multiple of the slots of the domain's own servers.
	maxSlotFactor = 2
	// creditLimit is how many milliseconds of unused allowance are kept.
	creditLimit = 100.0
	// primaryFactor is how many times longer a remote primary counts as taking, so
	// that reads leave for replicas first.
	primaryFactor = 1.5
	// failurePenalty is how many times the unloaded time a failed or refused
	// statement counts as.
	failurePenalty = 4.0
	// defaultBase is the assumed time of a statement in milliseconds before any
	// was measured.
	defaultBase = 10.0
)

// Server describes a server of the group.
type Server struct {
	Name   string
	Domain string
	// Own says that the server is in this daemon's failure domain.
	Own bool
	// Primary says that the server is the group's primary, whose time is worth
	// more than that of others.
	Primary bool
	Slots   int
	// Sharers is how many daemons outside the server's domain may send it reads.
	Sharers int
	// Peers is how many of these are in this daemon's domain.
	Peers int
}

// reading is a smoothed answer time.
type reading struct {
	mean float64
	at   timekeeper.Millis
	// answers is the number of answers, up to answersNeeded.
	answers int
}

// answersNeeded is how many answers make a reading.
const answersNeeded = 2

// server is what is known of a server.
type server struct {
	Server
	times [scheduler.NumRanks]reading
	// usable says whether the server may get reads, and oldest is since when it
	// owes an answer; 0 if it owes none.
	usable bool
	oldest timekeeper.Millis
	// credit is how many milliseconds of slot time this daemon may use yet; a
	// remote server gets reads while it is not negative. creditAt is when it was
	// updated.
	credit   float64
	creditAt timekeeper.Millis
	// suits says for which ranks reads may leave for the server.
	suits [scheduler.NumRanks]bool
	// turn orders the remote servers: the lowest gets the next read.
	turn float64
}

// SetServers sets the servers of the group. Known ones keep their readings.
func (b *Balancer) SetServers(list []Server) {
	present := map[string]bool{}
	for i, described := range list {
		present[described.Name] = true
		s := b.servers[described.Name]
		if s == nil {
			s = &server{turn: float64((b.seed>>8+uint64(i)*389)%1024) / 1024}
			b.servers[described.Name] = s
		}
		s.Server = described
	}
	for name := range b.servers {
		if !present[name] {
			delete(b.servers, name)
		}
	}
	b.order = slices.SortedFunc(maps.Values(b.servers), func(x, y *server) int { return cmp.Compare(x.Name, y.Name) })
	ownSlots := 0
	b.hasOwn = false
	for _, s := range b.order {
		if s.Own {
			b.hasOwn, ownSlots = true, max(ownSlots, s.Slots)
		}
	}
	for _, s := range b.order {
		if !s.Own && ownSlots > 0 {
			s.Slots = min(s.Slots, maxSlotFactor*ownSlots)
		}
	}
}

// HasOwn reports whether the domain has a server of the group.
func (b *Balancer) HasOwn() bool {
	return b.hasOwn
}

// SetState records whether a server may get reads, and since when it owes an
// answer; 0 if it owes none.
func (b *Balancer) SetState(name string, usable bool, oldest timekeeper.Millis) {
	if s := b.servers[name]; s != nil {
		s.usable, s.oldest = usable, oldest
	}
}

// RecordAnswer records the time of a successful answer. charged says that Started
// was called for the statement.
func (b *Balancer) RecordAnswer(now timekeeper.Millis, name string, r scheduler.Rank, took timekeeper.Millis, charged bool) {
	s := b.servers[name]
	if s == nil {
		return
	}
	s.record(now, r, float64(took))
	if charged && !s.Own {
		s.credit -= max(0, float64(took)-b.cost(r))
	}
}

// RecordFailure records that a server failed or refused a statement, or did not
// answer it within the given time.
func (b *Balancer) RecordFailure(now timekeeper.Millis, name string, r scheduler.Rank, took timekeeper.Millis) {
	if s := b.servers[name]; s != nil {
		s.record(now, r, max(float64(took), failurePenalty*b.cost(r)))
	}
}

// record adds a time to the reading of a rank.
func (s *server) record(now timekeeper.Millis, r scheduler.Rank, took float64) {
	t := &s.times[r]
	age := now - t.at
	weight := min(max(float64(age)/(float64(age)+timeConstant), minWeight), maxWeight)
	switch {
	case t.answers == 0:
		weight = 1
	case age > oldAfter:
		weight = oldWeight
	case t.answers < answersNeeded:
		weight = 1 / float64(t.answers+1)
	}
	if age > freshFor {
		t.answers = 0
	}
	t.mean += weight * (took - t.mean)
	t.at, t.answers = now, min(t.answers+1, answersNeeded)
}

// fresh reports whether the reading of a rank counts.
func (s *server) fresh(now timekeeper.Millis, r scheduler.Rank) bool {
	t := s.times[r]
	return t.answers >= answersNeeded && now-t.at <= freshFor
}

// cost returns the expected slot time of a statement in milliseconds.
func (b *Balancer) cost(r scheduler.Rank) float64 {
	if base := b.ranks[r].base; base > 0 {
		return base
	}
	return defaultBase
}

// estimate is the expected time of a statement in milliseconds.
type estimate struct {
	time float64
	// found says that there is a server, fresh that a fresh reading supports the
	// time, and reported that the time contains the wait in the queues of the
	// server's own domain.
	found, fresh, reported bool
}

// expected returns the expected time of a statement of a rank at the server.
// Without a fresh reading of any rank it is the unloaded time, but at least the
// age of the oldest unanswered statement.
func (b *Balancer) expected(now timekeeper.Millis, s *server, r scheduler.Rank) estimate {
	e := estimate{time: b.cost(r), found: true}
	if s.fresh(now, r) {
		e.time, e.fresh = s.times[r].mean, true
	} else {
		slowdown := 0.0
		for other := range scheduler.Rank(scheduler.NumRanks) {
			if s.fresh(now, other) && b.ranks[other].base > 0 {
				slowdown = max(slowdown, s.times[other].mean/b.ranks[other].base)
			}
		}
		if slowdown > 0 {
			e.time, e.fresh = e.time*slowdown, true
		}
	}
	if s.oldest > 0 {
		e.time = max(e.time, float64(now-s.oldest))
	}
	if s.Primary && !s.Own {
		e.time *= primaryFactor
	}
	if report, found := b.reports[s.Domain]; found && !s.Own && now-report.at <= reportAge {
		e.time, e.reported = e.time+report.Waits[r], true
	}
	return e
}

// ExpectedTime returns the expected time of a statement of a rank at a server in
// milliseconds, without the wait in this daemon's queue.
func (b *Balancer) ExpectedTime(now timekeeper.Millis, name string, r scheduler.Rank) float64 {
	s := b.servers[name]
	if s == nil {
		return b.cost(r)
	}
	return b.expected(now, s, r).time
}

// ShortestTime returns the expected time of a statement of a rank at the best
// usable server of this domain, or at one of another domain if a fresh reading
// says that it is faster, in milliseconds.
func (b *Balancer) ShortestTime(now timekeeper.Millis, r scheduler.Rank) float64 {
	own, remote := b.best(now, r, true), b.best(now, r, false)
	switch {
	case own.found && (!remote.fresh || own.time < remote.time):
		return own.time
	case remote.found:
		return remote.time
	}
	return b.cost(r)
}

// best returns the shortest expected time among the usable servers of this or of
// other domains. Servers with a fresh reading go before others.
func (b *Balancer) best(now timekeeper.Millis, r scheduler.Rank, own bool) estimate {
	var best estimate
	for _, s := range b.order {
		if s.Own != own || !s.usable {
			continue
		}
		e := b.expected(now, s, r)
		if !best.found || e.fresh && !best.fresh || e.fresh == best.fresh && e.time < best.time {
			best = e
		}
	}
	return best
}

// allowance returns how many milliseconds of slot time per millisecond this
// daemon may use at a remote server. All daemons outside the server's domain
// have the same part, and up to maxLoan times that while the server's domain says
// that it has room and that not all domains ask. The cost of one statement in each window is subtracted,
// since a statement may start while any credit is left.
func (b *Balancer) allowance(now timekeeper.Millis, s *server) float64 {
	part := remotePart * float64(max(s.Slots, 1)) / float64(max(s.Sharers, 1))
	if report, found := b.reports[s.Domain]; found && now-report.at <= reportAge && report.Requesters > 0 && slices.Max(report.Waits[:]) <= idleWait {
		asking := report.Requesters * max(s.Peers, 1)
		part *= min(max(float64(s.Sharers)/float64(asking), 1), maxLoan)
	}
	largest := 0.0
	for r := range scheduler.Rank(scheduler.NumRanks) {
		largest = max(largest, b.cost(r))
	}
	return max(part/4, part-(largest+part*creditLimit)/float64(remoteWindow))
}

// Admits reports whether a server may get a read now: always if it is in this
// domain, and while its credit lasts otherwise.
func (b *Balancer) Admits(now timekeeper.Millis, name string) bool {
	s := b.servers[name]
	if s == nil || s.Own {
		return true
	}
	rate := b.allowance(now, s)
	s.credit = min(s.credit+rate*float64(now-s.creditAt), rate*creditLimit)
	s.creditAt = now
	return s.credit >= 0
}

// Suits reports whether a read of a rank may leave the domain for a server.
func (b *Balancer) Suits(name string, r scheduler.Rank) bool {
	s := b.servers[name]
	return s != nil && s.suits[r]
}

// Spend charges a remote server's credit with the time of a statement for which
// Started was not called, such as a later one of a transaction.
func (b *Balancer) Spend(name string, took timekeeper.Millis) {
	if s := b.servers[name]; s != nil && !s.Own {
		s.credit -= float64(took)
	}
}

// Turn orders the remote servers for the next read that leaves; the lowest is
// next. Servers get reads in inverse proportion to their expected times.
func (b *Balancer) Turn(name string) float64 {
	if s := b.servers[name]; s != nil {
		return s.turn
	}
	return 0
}

// Started accounts for the start of a read on a server.
func (b *Balancer) Started(now timekeeper.Millis, name string, r scheduler.Rank) {
	state := &b.ranks[r]
	state.started++
	s := b.servers[name]
	if s == nil || s.Own {
		return
	}
	state.left++
	state.due = max(state.due-1, -1)
	s.credit -= b.cost(r)
	expected := b.expected(now, s, r).time
	s.turn += expected
	// A server that was out of use must not get all reads until it has caught
	// up with the others.
	for _, other := range b.order {
		if !other.Own {
			other.turn = max(other.turn, s.turn-2*expected)
		}
	}
}
