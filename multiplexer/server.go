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
	// serviceGuess is the expected time of a statement in milliseconds before
	// any was measured.
	serviceGuess = 10.0
	// smoothing is the weight of a new measurement in moving averages.
	smoothing = 0.1
	// queueFactor is how many times a server's slots less urgent work of all
	// daemons together may fill: twice keeps the slots busy between answers.
	queueFactor = 2
	// silentFactor is how many times Overdue a server may tell nothing while answers
	// are outstanding.
	silentFactor = 3
	// lagGuess is a replica's expected lag before any was measured.
	lagGuess timekeeper.Millis = 30
	// lagHalf is how long after its measurement half of a lag is still expected.
	lagHalf timekeeper.Millis = 1000
	// lagLimit bounds the lag that is expected of a replica.
	lagLimit timekeeper.Millis = 10_000
	// nearDistance and farDistance are network times there and back in
	// milliseconds, inside a failure domain and to another one.
	nearDistance, farDistance = 0.4, 1.2
	// overdueFactor is how many times the expected time of a statement must pass
	// before its answer counts as lost.
	overdueFactor = 8
	// failingLimit is the part of failed statements from which a server gets fewer
	// reads, and failingPause for how long after a failure.
	failingLimit                   = 0.15
	failingPause timekeeper.Millis = 1000
	// brokenLimit is the part of failed statements from which a server counts as
	// broken.
	brokenLimit = 0.5
	// fullPause is how long a server whose queue is full gets no more reads.
	fullPause timekeeper.Millis = 25
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
	job      *job
	cleaning bool
	// holder is the session whose transaction is open on the connection.
	holder *session
	sent   timekeeper.Millis
}

// server is a backend server as this daemon sees it.
type server struct {
	cataloger.Server
	pool *pooler.Pool
	// gone says that the server is no longer registered.
	gone bool
	// leavingSince is when the server was first seen leaving; 0 if it is not.
	leavingSince timekeeper.Millis
	running      int
	conns        map[pooler.Conn]*conn
	service      float64
	applied      sequencer.Position
	lag          timekeeper.Millis
	// learned is when lag was measured.
	learned timekeeper.Millis
	// heard is when the server last answered anything.
	heard timekeeper.Millis
	// silentUntil is until when a server that does not answer is left out.
	silentUntil timekeeper.Millis
	silent      bool
	silentSince timekeeper.Millis
	// relayed says that the server is reached through another daemon, directDue when
	// the own path is tried next, and failures how many tries in a row failed.
	relayed   bool
	directDue timekeeper.Millis
	failures  int
	fullUntil timekeeper.Millis
	// failing is the part of statements that failed of late, and brokenSince since
	// when it has been most of them; 0 if it is not.
	failing     float64
	brokenSince timekeeper.Millis
}

// waiting returns since when an answer has been outstanding on a server that
// has told nothing since; 0 if none is.
func (s *server) waiting() timekeeper.Millis {
	var oldest timekeeper.Millis
	for _, c := range s.conns {
		if c.job == nil && !c.cleaning {
			continue
		}
		if c.sent > s.heard && (oldest == 0 || c.sent < oldest) {
			oldest = c.sent
		}
	}
	return oldest
}

// usable reports whether new work may go to the server.
func (s *server) usable(now timekeeper.Millis, forget timekeeper.Millis) bool {
	if s.gone || s.silent {
		return false
	}
	return s.leavingSince == 0 || now < s.leavingSince+forget
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

// free returns how many more statements of a rank the server takes from this
// daemon.
func (s *server) free(g *group, rank scheduler.Rank) int {
	return s.limit(g, rank) - s.running
}

func (s *server) candidate(now timekeeper.Millis, g *group, rank scheduler.Rank, lead bool) router.Candidate {
	settings := g.mux.settings
	distance := farDistance
	if s.Domain == settings.Domain {
		distance = nearDistance
	}
	usable := s.usable(now, settings.LeavingGrace)
	if !lead {
		usable = usable && s.leavingSince == 0 && now >= s.fullUntil
	}
	return router.Candidate{
		Name:          s.ID,
		Primary:       lead,
		Usable:        usable,
		Available:     s.free(g, rank),
		InFlight:      s.running,
		ServiceTime:   s.service,
		RoundTripTime: distance,
		Applied:       s.expected(now, g),
		Lag:           float64(s.lag),
	}
}

// expected is the position that the server has applied by now, as far as its
// lag and the primary's positions tell.
func (s *server) expected(now timekeeper.Millis, g *group) sequencer.Position {
	if g.isLead(s) {
		return g.samples.Newest().Position
	}
	return sequencer.Max(s.applied, g.samples.PositionAt(now-s.lagNow(now)))
}

// lagNow is the lag that is expected by now. What was measured loses weight with
// time: a server that lagged once would otherwise never be asked again.
func (s *server) lagNow(now timekeeper.Millis) timekeeper.Millis {
	return s.lag * lagHalf / (lagHalf + now - s.learned)
}

// learn takes the position that a replica told of in an answer.
func (s *server) learn(now timekeeper.Millis, g *group, position sequencer.Position) {
	if position.IsZero() {
		return
	}
	s.applied = position
	if g.isLead(s) {
		return
	}
	defer func() { s.learned = now }()
	s.lag = s.lagNow(now)
	next := sequencer.Position{Term: position.Term, Offset: position.Offset + 1}
	passed, found := g.samples.TimeReached(next)
	if !found {
		s.lag = max(s.lag*9/10, 1)
		return
	}
	measured := min(now-passed, lagLimit)
	if measured > s.lag {
		s.lag = measured
	} else {
		s.lag += (measured - s.lag) / 8
	}
}

// judge takes whether a statement failed. A server that fails many gets no reads
// for a while after each failure; the reads it gets in between tell when it is
// well again.
func (s *server) judge(now timekeeper.Millis, failed bool) {
	s.failing -= smoothing * s.failing
	if !failed {
		if s.failing < brokenLimit {
			s.brokenSince = 0
		}
		return
	}
	s.failing += smoothing
	if s.failing >= brokenLimit && s.brokenSince == 0 {
		s.brokenSince = now
	}
	if s.failing > failingLimit {
		s.fullUntil = now + failingPause
	}
}

func (s *server) measure(took timekeeper.Millis) {
	s.service += smoothing * (float64(took) - s.service)
}
