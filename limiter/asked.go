package limiter

import "github.com/heatherhall/heatherhall/timekeeper"

// asked records that a gateway has asked for tokens.
func (s *shard) asked(now timekeeper.Millis, gateway string) {
	if gateway == "" {
		return
	}
	if s.askedAt == nil {
		s.askedAt, s.askedSince = map[string]timekeeper.Millis{}, map[string]timekeeper.Millis{}
	}
	if now-s.askedAt[gateway] > askedPeriod {
		s.askedSince[gateway] = now
	}
	s.askedAt[gateway] = now
	if s.role == roleSpare && s.spareSince == 0 {
		s.spareSince, s.answeredAt = now, 0
	}
}

// askedPart returns what part of the domain's hosts has asked this daemon of late.
func (s *shard) askedPart(now timekeeper.Millis) float64 {
	asking := 0
	for gateway, at := range s.askedAt {
		switch {
		case now-at > departureHold:
			delete(s.askedAt, gateway)
			delete(s.askedSince, gateway)
		case now-at <= askedPeriod && now-s.askedSince[gateway] >= askedPeriod:
			asking++
		}
	}
	return min(1, float64(asking)/float64(max(s.hosts.count, 1)))
}

// watches reports whether a spare asks the daemons before it for a sign of life.
func (s *shard) watches(now timekeeper.Millis) bool {
	if s.role != roleSpare || s.spareSince == 0 {
		return false
	}
	for _, at := range s.askedAt {
		if now-at < watchTime {
			return true
		}
	}
	s.spareSince = 0
	return false
}
