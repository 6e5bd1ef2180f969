package dispatcher

import (
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/router"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// ewmaWeight is the weight of a new sample in the moving averages. The
	// replication lag uses twice this weight.
	ewmaWeight = 0.1
	// initialServiceTime is the estimated service time in milliseconds before
	// the first sample.
	initialServiceTime = 1.0
	// slowStartInterval is the time in milliseconds after which a recovered
	// server accepts one more concurrent unit of work.
	slowStartInterval timekeeper.Millis = 300
)

// server is the dispatcher's state of one backend server.
type server struct {
	Server
	pool         *pooler.Pool
	report       sequencer.Report
	lastReportAt timekeeper.Millis
	// reported is set once the server has sent a report.
	reported bool
	leaving  bool
	// inFlight is the number of units of work that run on the server.
	inFlight int
	// serviceTime is the average service time, and lag the average replication
	// lag, in milliseconds.
	serviceTime float64
	lag         float64
	// recoveredAt is when the server first reported, or reported again after it
	// had been unresponsive; the slow start counts from it.
	recoveredAt timekeeper.Millis
	// watching and polling are set while a Watch or Poll is outstanding;
	// pollPending is set if another Poll is to follow.
	watching    bool
	polling     bool
	pollPending bool
	// consecutiveFailures counts the requests for a report that failed since
	// the last report, and lastFailureAt is the time of the last failure.
	consecutiveFailures int
	lastFailureAt       timekeeper.Millis
}

// usable reports whether the server gets new work: it has reported within the
// timeout, has not failed maxReportFailures requests in a row and is not
// leaving.
func (s *server) usable(now, timeout timekeeper.Millis) bool {
	return s.reported && !s.leaving && s.consecutiveFailures < maxReportFailures && now-s.lastReportAt <= timeout
}

// maxReportFailures is how many requests for a report may fail in a row before
// a server gets no new work.
const maxReportFailures = 2

// currentSlots returns how many units of work the server may run at once now.
// After a server has recovered, the number rises by one per slowStartInterval
// up to its slots (slow start).
func (s *server) currentSlots(now timekeeper.Millis) int {
	slowStart := 1 + int((now-s.recoveredAt)/slowStartInterval)
	return min(s.Slots, slowStart)
}

// candidate returns the server as a candidate for the router, for work of a
// rank. A server without a free connection for the rank has no available slot.
func (s *server) candidate(now, timeout timekeeper.Millis, primary bool, rank scheduler.Rank) router.Candidate {
	available := s.currentSlots(now) - s.inFlight
	if !s.pool.CanTake(rank) {
		available = 0
	}
	return router.Candidate{
		Name:          s.Name,
		Primary:       primary,
		Usable:        s.usable(now, timeout),
		Available:     available,
		InFlight:      s.inFlight,
		ServiceTime:   s.serviceTime,
		RoundTripTime: s.RoundTripTime,
		Applied:       s.report.Applied,
		Lag:           s.lag,
	}
}

// addServiceTime adds a sample in milliseconds to the average service time.
func (s *server) addServiceTime(ms float64) {
	s.serviceTime += ewmaWeight * (ms - s.serviceTime)
}

// positionTimeline records when each log offset was first seen on the primary.
// The time by which replicas lag is computed from it.
type positionTimeline struct {
	entries []timelineEntry
}

type timelineEntry struct {
	offset int64
	at     timekeeper.Millis
}

// maxTimelineEntries is how many entries are kept; when it is reached, the
// older half is dropped.
const maxTimelineEntries = 512

// add records that the primary has reached offset. Offsets that are not past
// the last entry are ignored.
func (p *positionTimeline) add(offset int64, now timekeeper.Millis) {
	if n := len(p.entries); n > 0 && p.entries[n-1].offset >= offset {
		return
	}
	if len(p.entries) == maxTimelineEntries {
		p.entries = append(p.entries[:0], p.entries[maxTimelineEntries/2:]...)
	}
	p.entries = append(p.entries, timelineEntry{offset: offset, at: now})
}

// firstSeen returns when the primary was first seen at or past offset, or now
// if it has not been.
func (p *positionTimeline) firstSeen(offset int64, now timekeeper.Millis) timekeeper.Millis {
	at := now
	for i := len(p.entries) - 1; i >= 0 && p.entries[i].offset >= offset; i-- {
		at = p.entries[i].at
	}
	return at
}

// reset removes all entries, for a new term.
func (p *positionTimeline) reset() {
	p.entries = p.entries[:0]
}
