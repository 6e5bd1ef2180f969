package dispatcher

import (
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/router"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// smoothing is the weight of a new sample in the running averages.
	smoothing = 0.1
	// serviceGuess is the service time in milliseconds before any was seen.
	serviceGuess = 1.0
	// rampStep is the time after which a server that came back takes one more
	// piece of work at once.
	rampStep timekeeper.Millis = 300
)

// server is a backend server as the dispatcher sees it.
type server struct {
	Server
	pool     *pooler.Pool
	report   sequencer.Report
	heard    timekeeper.Millis
	known    bool
	leaving  bool
	running  int
	service  float64
	lag      float64
	returned timekeeper.Millis
	watching bool
	asking   bool
	again    bool
	misses   int
	// missed is when the server last failed to answer a question.
	missed timekeeper.Millis
}

// usable reports whether the server gets new work.
func (s *server) usable(now, silence timekeeper.Millis) bool {
	return s.known && !s.leaving && s.misses < missLimit && now-s.heard <= silence
}

// missLimit is how many questions in a row may stay unanswered before a server
// gets no new work.
const missLimit = 2

// slots returns how many pieces of work may run at once. A server that came
// back after silence takes its full load step by step.
func (s *server) slots(now timekeeper.Millis) int {
	ramp := 1 + int((now-s.returned)/rampStep)
	return min(s.Slots, ramp)
}

// candidate returns the server as the router sees it, for work of a rank.
func (s *server) candidate(now, silence timekeeper.Millis, primary bool, rank scheduler.Rank) router.Candidate {
	free := s.slots(now) - s.running
	if !s.pool.CanTake(rank) {
		free = 0
	}
	return router.Candidate{
		Name:          s.Name,
		Primary:       primary,
		Usable:        s.usable(now, silence),
		Available:     free,
		InFlight:      s.running,
		ServiceTime:   s.service,
		RoundTripTime: s.RoundTripTime,
		Applied:       s.report.Applied,
		Lag:           s.lag,
	}
}

// took adds a sample of the service time in milliseconds.
func (s *server) took(ms float64) {
	s.service += smoothing * (ms - s.service)
}

// progress records when entries were first seen on the primary, to tell how far
// replicas lag in time.
type progress struct {
	marks []mark
}

type mark struct {
	offset int64
	at     timekeeper.Millis
}

// markLimit is how many marks are kept.
const markLimit = 512

// add notes that the primary was seen at offset.
func (p *progress) add(offset int64, now timekeeper.Millis) {
	if n := len(p.marks); n > 0 && p.marks[n-1].offset >= offset {
		return
	}
	if len(p.marks) == markLimit {
		p.marks = append(p.marks[:0], p.marks[markLimit/2:]...)
	}
	p.marks = append(p.marks, mark{offset: offset, at: now})
}

// seen returns when the entry at offset was first seen on the primary, or now
// for an entry not seen yet.
func (p *progress) seen(offset int64, now timekeeper.Millis) timekeeper.Millis {
	at := now
	for i := len(p.marks) - 1; i >= 0 && p.marks[i].offset >= offset; i-- {
		at = p.marks[i].at
	}
	return at
}

// reset forgets all marks, for a new term.
func (p *progress) reset() {
	p.marks = p.marks[:0]
}
