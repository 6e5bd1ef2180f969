package multiplexer

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/router"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// initialServiceTime is the expected time of a statement in milliseconds
	// before any was measured.
	initialServiceTime = 10.0
	// smoothing is the weight of a new measurement in moving averages.
	smoothing = 0.1
	// queueFactor limits the less urgent statements that all daemons together
	// run on a server to this multiple of its slots. Twice the slots keeps them
	// busy between answers.
	queueFactor = 2
	// unresponsiveFactor is how many times MinAnswerTimeout a server may give
	// no response while answers are outstanding, before it counts as
	// unresponsive.
	unresponsiveFactor = 3
	// initialLag is a replica's expected lag before any was measured.
	initialLag timekeeper.Millis = 30
	// lagHalfLife is the age at which a measured lag has half its weight. The
	// decay is hyperbolic: an age of three times lagHalfLife leaves a quarter.
	lagHalfLife timekeeper.Millis = 1000
	// lagLimit bounds the measured lag of a replica.
	lagLimit timekeeper.Millis = 10_000
	// sameDomainRTT and crossDomainRTT are the round-trip times in milliseconds
	// to a server in the same and in another failure domain.
	sameDomainRTT, crossDomainRTT = 0.4, 1.2
	// timeoutFactor is how many times the server's expected service time must
	// pass before an answer counts as lost.
	timeoutFactor = 8
	// degradedErrorRate is the rate of failed statements above which a replica
	// gets no reads for errorBackoff after each failure.
	degradedErrorRate                   = 0.15
	errorBackoff      timekeeper.Millis = 1000
	// failingErrorRate is the rate of failed statements from which a server
	// counts as failing.
	failingErrorRate = 0.5
	// fullBackoff is how long a server whose queue is full gets no more work: a
	// replica gets no reads, and the primary no work of scheduler.LanePrimary.
	fullBackoff timekeeper.Millis = 25
)

// conn is a connection to a backend server.
type conn struct {
	id     pooler.Conn
	server *server
	// account is the client account that the connection belongs to; empty if it serves
	// open databases.
	account string
	// values and prepared are the session values that were set and the
	// statements that were prepared on the connection.
	values   map[string]string
	prepared map[string]bool
	// opening says that the server has not accepted the connection yet.
	opening bool
	// used says that a statement has run on the connection.
	used bool
	// relayed says that the connection goes through another daemon.
	relayed bool
	// job is the statement in progress; rollingBack says that a rollback is in
	// progress.
	job         *job
	rollingBack bool
	// pinnedSession is the session whose transaction is open on the connection.
	pinnedSession *session
	sent          timekeeper.Millis
}

// server is what this daemon knows about a backend server and its connections
// to it.
type server struct {
	cataloger.Server
	pool *pooler.Pool
	// deregistered says that the server is no longer registered.
	deregistered bool
	// leavingSince is when the server began to leave, or the earliest time at which it may
	// have begun; 0 if it is not leaving.
	leavingSince timekeeper.Millis
	// running is how many statements this daemon runs on the server.
	running int
	conns   map[pooler.Conn]*conn
	// serviceTime is the expected time of a statement in milliseconds.
	serviceTime float64
	applied     sequencer.Position
	lag         timekeeper.Millis
	// lagMeasuredAt is when lag was last updated.
	lagMeasuredAt timekeeper.Millis
	// lastResponse is when the server last answered anything.
	lastResponse timekeeper.Millis
	// nextProbe is when the next connection to an unresponsive server is tried.
	nextProbe         timekeeper.Millis
	unresponsive      bool
	unresponsiveSince timekeeper.Millis
	// relayed says that the server is reached through another daemon,
	// nextDirectProbe when the direct path is tried next, and connectFailures
	// how many attempts to connect in a row failed.
	relayed         bool
	nextDirectProbe timekeeper.Millis
	connectFailures int
	// backoffUntil is when the current fullBackoff or errorBackoff ends.
	backoffUntil timekeeper.Millis
	// errorRate is the recent rate of failed statements, and failingSince when
	// it reached failingErrorRate; 0 if it is lower.
	errorRate    float64
	failingSince timekeeper.Millis
	trust
}

// oldestUnanswered returns when the oldest outstanding answer was requested,
// among those requested after the server's last response; 0 if there is none.
func (s *server) oldestUnanswered() timekeeper.Millis {
	var oldest timekeeper.Millis
	for _, c := range s.conns {
		if c.job == nil && !c.rollingBack {
			continue
		}
		if c.sent > s.lastResponse && (oldest == 0 || c.sent < oldest) {
			oldest = c.sent
		}
	}
	return oldest
}

// usable reports whether new work may go to the server. A leaving server is
// usable for leavingGrace.
func (s *server) usable(now timekeeper.Millis, leavingGrace timekeeper.Millis) bool {
	if s.deregistered || s.unresponsive {
		return false
	}
	return s.leavingSince == 0 || now < s.leavingSince+leavingGrace
}

// limit is how many statements this daemon may have running on the server when
// it sends one of the rank. The server's own queue does not distinguish ranks,
// so less urgent work waits here instead of filling that queue.
func (s *server) limit(g *group, rank scheduler.Rank) int {
	limit := g.mux.share(g)
	if rank > scheduler.RankUrgent {
		sharers := g.balance.sharers(g, s)
		limit = min(limit, max(1, (queueFactor*max(s.Slots, 1)+sharers-1)/sharers))
	}
	return limit
}

// available returns how many more statements of a rank this daemon may send to
// the server.
func (s *server) available(g *group, rank scheduler.Rank) int {
	return s.limit(g, rank) - s.running
}

// candidate describes the server to the router. A replica that is leaving or
// backing off is not usable.
func (s *server) candidate(now timekeeper.Millis, g *group, rank scheduler.Rank, primary bool) router.Candidate {
	settings := g.mux.settings
	roundTrip := crossDomainRTT
	if s.Domain == settings.Domain {
		roundTrip = sameDomainRTT
	}
	usable := s.usable(now, settings.LeavingGrace)
	if !primary {
		usable = usable && s.leavingSince == 0 && now >= s.backoffUntil
	}
	return router.Candidate{
		Name:          s.ID,
		Primary:       primary,
		Usable:        usable,
		Available:     s.available(g, rank),
		InFlight:      s.running,
		ServiceTime:   s.serviceTime,
		RoundTripTime: roundTrip,
		Applied:       s.expectedPosition(now, g),
		Lag:           float64(s.lag),
	}
}

// expectedPosition estimates the position that the server has applied by now:
// the newest sample for the primary, and for a replica the position that the
// primary had before the replica's expected lag.
func (s *server) expectedPosition(now timekeeper.Millis, g *group) sequencer.Position {
	if g.isPrimary(s) {
		return g.samples.Newest().Position
	}
	return sequencer.Max(s.applied, g.samples.PositionAt(now-s.expectedLag(now)))
}

// expectedLag returns the replica's expected lag in milliseconds. A measured
// lag loses weight with its age: otherwise a replica that lagged once would get
// no more reads, and its lag would never be measured again.
func (s *server) expectedLag(now timekeeper.Millis) timekeeper.Millis {
	return s.lag * lagHalfLife / (lagHalfLife + now - s.lagMeasuredAt)
}

// recordPosition records the position in a server's answer and updates the
// replica's lag. A higher lag applies at once, a lower one gradually. The lag
// also falls if the replica has applied the newest position sampled from the
// primary.
func (s *server) recordPosition(now timekeeper.Millis, g *group, position sequencer.Position) {
	if position.IsZero() {
		return
	}
	s.applied = position
	if g.isPrimary(s) {
		return
	}
	defer func() { s.lagMeasuredAt = now }()
	s.lag = s.expectedLag(now)
	next := sequencer.Position{Term: position.Term, Offset: position.Offset + 1}
	reachedAt, found := g.samples.TimeReached(next)
	if !found {
		s.lag = max(s.lag*9/10, 1)
		return
	}
	measured := min(now-reachedAt, lagLimit)
	if measured > s.lag {
		s.lag = measured
	} else {
		s.lag += (measured - s.lag) / 8
	}
}

// recordResult updates the error rate from the result of a statement. Above
// degradedErrorRate a replica gets no reads for errorBackoff after each failure;
// the reads between two backoffs show when it has recovered.
func (s *server) recordResult(now timekeeper.Millis, failed bool) {
	s.errorRate -= smoothing * s.errorRate
	if !failed {
		if s.errorRate < failingErrorRate {
			s.failingSince = 0
		}
		return
	}
	s.errorRate += smoothing
	if s.errorRate >= failingErrorRate && s.failingSince == 0 {
		s.failingSince = now
	}
	if s.errorRate > degradedErrorRate {
		s.backoffUntil = now + errorBackoff
	}
}

// recordLatency updates the expected service time from a statement's time.
func (s *server) recordLatency(took timekeeper.Millis) {
	s.serviceTime += smoothing * (float64(took) - s.serviceTime)
}
