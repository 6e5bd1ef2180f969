package multiplexer

import (
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// maxSuspicion bounds the time without work after a failure: errorBackoff
	// doubles with each suspicion up to this one, to 16 s.
	maxSuspicion = 5
	// suspicionMemory is the time without a failure that halves the suspicion.
	suspicionMemory timekeeper.Millis = 30_000
	// trustedAnswers is how many answers in a row end a suspicion.
	trustedAnswers = 3
	// maxRefusalBackoff bounds the time without work after refusals in a row:
	// fullBackoff doubles with each.
	maxRefusalBackoff timekeeper.Millis = 800
	// warmupSteps is how many statements a daemon runs at once at the end of a
	// server's warm-up; it begins with one.
	warmupSteps = 3
)

// trust is what a daemon has noticed of a replica's failures. It applies only
// while reads are balanced; without that, errorBackoff and fullBackoff alone do.
type trust struct {
	// suspicion counts failures that led to a time without work, the last at
	// suspectedAt. The server gets none until suspendedUntil.
	suspicion      int
	suspectedAt    timekeeper.Millis
	suspendedUntil timekeeper.Millis
	// probing says that the server gets one read at a time, which can be repeated
	// elsewhere, until it has answered trustedAnswers in a row.
	probing  bool
	answers  int
	refusals int
	// warmUntil is when the server is no longer slow after its start.
	warmNoticed bool
	warmUntil   timekeeper.Millis
}

// suspect takes a replica out of use for a while and makes it show afterwards
// that it works. Failures of a server that is out of use already don't count
// again: they come from statements that were sent before.
func (s *server) suspect(now timekeeper.Millis, g *group, reason string) {
	if g.balance == nil || g.isPrimary(s) || now < s.suspendedUntil {
		return
	}
	for ; s.suspicion > 0 && now-s.suspectedAt > suspicionMemory; s.suspectedAt += suspicionMemory {
		s.suspicion /= 2
	}
	s.suspicion = min(s.suspicion+1, maxSuspicion)
	s.suspectedAt = now
	s.suspendedUntil = now + errorBackoff<<(s.suspicion-1)
	s.probing, s.answers = true, 0
	g.log("server is suspected: "+reason, observer.F("server", s.ID), observer.F("count", s.suspicion), observer.F("until", int64(s.suspendedUntil)))
}

// recordTrust updates the trust in a replica from the result of a statement.
func (s *server) recordTrust(now timekeeper.Millis, g *group, code Code) {
	switch code {
	case CodeOK:
		s.refusals = 0
		if s.probing && now >= s.suspendedUntil {
			s.answers++
			if s.answers >= trustedAnswers {
				s.probing = false
				s.errorRate = 0
				g.log("server is trusted again", observer.F("server", s.ID))
			}
		}
	case CodeFailed, CodeTimeout:
		if s.probing || s.errorRate > degradedErrorRate {
			s.suspect(now, g, "statements fail")
		}
	case CodeNotRun:
		s.refusals++
		if s.probing {
			s.suspect(now, g, "it refuses statements")
		}
	}
}

// refusalBackoff returns for how long a server that refused a statement gets no
// more work.
func (s *server) refusalBackoff() timekeeper.Millis {
	if s.refusals < 2 {
		return fullBackoff
	}
	return min(fullBackoff<<min(s.refusals-1, 8), maxRefusalBackoff)
}

// noticeWarmup begins the warm-up of a server that has just been registered.
func (s *server) noticeWarmup(now timekeeper.Millis) {
	if !s.warmNoticed {
		s.warmNoticed, s.warmUntil = true, now+s.Warmup
	}
}

// restricted reports whether the server is out of use or gets only few statements
// at once, so that the other servers must do its work.
func (s *server) restricted(now timekeeper.Millis) bool {
	return now < s.suspendedUntil || s.probing || now < s.warmUntil
}

// trialLimit returns how many statements may run on a replica when it gets the
// job: none on a suspect unless the job can be repeated, and one on a suspect,
// during the first part of the warm-up, and while the last measured lag exceeds
// what the job allows.
func (s *server) trialLimit(now timekeeper.Millis, j *job) int {
	switch {
	case now < s.suspendedUntil, s.probing && !j.retryable():
		return 0
	case s.probing, s.lag > j.database.MaxAge:
		return 1
	case now < s.warmUntil && s.Warmup > 0:
		return 1 + int((s.Warmup-(s.warmUntil-now))*warmupSteps/s.Warmup)
	}
	return 1 << 16
}
