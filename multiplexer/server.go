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
	// initialServiceTime is the expected time of a statement in milliseconds before
	// any was measured.
	initialServiceTime = 10.0
	// smoothing is the weight of a new measurement in moving averages.
	smoothing = 0.1
	// queueFactor is how many times a server's slots less urgent work of all
	// daemons together may fill: twice keeps the slots busy between answers.
	queueFactor = 2
	// unresponsiveFactor is how many times Overdue a server may tell nothing while answers
	// are outstanding.
	unresponsiveFactor = 3
	// initialLag is a replica's expected lag before any was measured.
	initialLag timekeeper.Millis = 30
	// lagHalfLife is how long after its measurement half of a lag is still expected.
	lagHalfLife timekeeper.Millis = 1000
	// lagLimit bounds the lag that is expected of a replica.
	lagLimit timekeeper.Millis = 10_000
	// sameDomainRTT and farDistance are network times there and back in
	// milliseconds, inside a failure domain and to another one.
	sameDomainRTT, crossDomainRTT = 0.4, 1.2
	// timeoutFactor is how many times the expected time of a statement must pass
	// before its answer counts as lost.
	timeoutFactor = 8
	// degradedErrorRate is the part of failed statements from which a server gets fewer
	// reads, and failingPause for how long after a failure.
	degradedErrorRate                   = 0.15
	errorBackoff      timekeeper.Millis = 1000
	// failingErrorRate is the part of failed statements from which a server counts as
	// broken.
	failingErrorRate = 0.5
	// fullBackoff is how long a server whose queue is full gets no more reads.
	fullBackoff timekeeper.Millis = 25
)

// conn is a connection to a backend server.
type conn struct {
	id     pooler.Conn
	server *server
	// values and prepared are what the connection has been told.
	values   map[string]string
	prepared map[string]bool
	// opening says that the server has not accepted the connection yet.
	opening bool
	// relayed says that it leads through another daemon.
	relayed bool
	// job is the statement in progress, and cleaning says that a rollback is.
	job         *job
	rollingBack bool
	// pinnedSession is the session whose transaction is open on the connection.
	pinnedSession *session
	sent          timekeeper.Millis
}

// server is a backend server as this daemon sees it.
type server struct {
	cataloger.Server
	pool *pooler.Pool
	// deregistered says that the server is no longer registered.
	deregistered bool
	// leavingSince is when the server was first seen leaving; 0 if it is not.
	leavingSince timekeeper.Millis
	running      int
	conns        map[pooler.Conn]*conn
	serviceTime  float64
	applied      sequencer.Position
	lag          timekeeper.Millis
	// lagMeasuredAt is when lag was measured.
	lagMeasuredAt timekeeper.Millis
	// lastResponse is when the server last answered anything.
	lastResponse timekeeper.Millis
	// nextProbe is until when a server that does not answer is left out.
	nextProbe         timekeeper.Millis
	unresponsive      bool
	unresponsiveSince timekeeper.Millis
	// relayed says that the server is reached through another daemon, directDue when
	// the own path is tried next, and failures how many tries in a row failed.
	relayed         bool
	nextDirectProbe timekeeper.Millis
	connectFailures int
	backoffUntil    timekeeper.Millis
	// errorRate is the part of statements that failed of late, and brokenSince since
	// when it has been most of them; 0 if it is not.
	errorRate    float64
	failingSince timekeeper.Millis
}

// oldestUnanswered returns since when an answer has been outstanding on a server that
// has told nothing since; 0 if none is.
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

// usable reports whether new work may go to the server.
func (s *server) usable(now timekeeper.Millis, leavingGrace timekeeper.Millis) bool {
	if s.deregistered || s.unresponsive {
		return false
	}
	return s.leavingSince == 0 || now < s.leavingSince+leavingGrace
}

// limit is how many statements of a rank this daemon may have running on the
// server. The server's own queue knows no ranks: less urgent work is kept back
// here while it would fill that queue.
func (s *server) limit(g *group, rank scheduler.Rank) int {
	limit := g.mux.share(g)
	if rank > scheduler.RankUrgent {
		limit = min(limit, max(1, (queueFactor*max(s.Slots, 1)+g.mux.hosts-1)/g.mux.hosts))
	}
	return limit
}

// available returns how many more statements of a rank the server takes from this
// daemon.
func (s *server) available(g *group, rank scheduler.Rank) int {
	return s.limit(g, rank) - s.running
}

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

// expectedPosition is the position that the server has applied by now, as far as its
// lag and the primary's positions tell.
func (s *server) expectedPosition(now timekeeper.Millis, g *group) sequencer.Position {
	if g.isPrimary(s) {
		return g.samples.Newest().Position
	}
	return sequencer.Max(s.applied, g.samples.PositionAt(now-s.expectedLag(now)))
}

// expectedLag is the lag that is expected by now. What was measured loses weight with
// time: a server that lagged once would otherwise never be asked again.
func (s *server) expectedLag(now timekeeper.Millis) timekeeper.Millis {
	return s.lag * lagHalfLife / (lagHalfLife + now - s.lagMeasuredAt)
}

// recordPosition takes the position that a replica told of in an answer.
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

// recordResult takes whether a statement failed. A server that fails many gets no reads
// for a while after each failure; the reads it gets in between tell when it is
// well again.
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

func (s *server) recordLatency(took timekeeper.Millis) {
	s.serviceTime += smoothing * (float64(took) - s.serviceTime)
}
