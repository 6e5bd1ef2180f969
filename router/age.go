package router

import (
	"slices"

	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// boundLimit is how many proofs are kept.
	boundLimit = 256
	// boundSpacing is the least time between two kept proofs.
	boundSpacing timekeeper.Millis = 20
)

// CommitBound says that every write acknowledged before At is at or before Position.
type CommitBound struct {
	At       timekeeper.Millis
	Position sequencer.Position
}

// pollResponse is a server's answer to a question: what it held after it was asked.
type pollResponse struct {
	number    uint64
	requested timekeeper.Millis
	received  sequencer.Position
}

// StalenessTracker proves how old the data of a server is, by this daemon's clock alone. A
// write is acknowledged only when a majority holds it, so the highest position
// among the answers of a majority, each asked after a moment, is at or past
// every write acknowledged before that moment. The primary's word alone proves
// nothing: it may have been superseded.
type StalenessTracker struct {
	majority int
	latest   map[string]pollResponse
	bounds   []CommitBound
}

// NewStalenessTracker returns an empty proof for a group of the given size.
func NewStalenessTracker(servers int) *StalenessTracker {
	return &StalenessTracker{majority: acknowledger.Majority(servers), latest: map[string]pollResponse{}}
}

// Observe takes what a server held, as answer to question number, asked at the
// given time. Numbers rise with each question to any server.
func (t *StalenessTracker) Observe(server string, number uint64, requested timekeeper.Millis, received sequencer.Position) {
	if previous, found := t.latest[server]; found && previous.number > number {
		return
	}
	t.latest[server] = pollResponse{number: number, requested: requested, received: received}
	if bound, found := t.newestBound(); found {
		t.keep(bound)
	}
}

// newestBound returns the proof for the latest moment that a majority answered for.
func (t *StalenessTracker) newestBound() (CommitBound, bool) {
	responses := t.newestFirst()
	if len(responses) < t.majority {
		return CommitBound{}, false
	}
	bound := CommitBound{At: responses[t.majority-1].requested}
	for _, p := range responses[:t.majority] {
		bound.Position = sequencer.Max(bound.Position, p.received)
	}
	return bound, true
}

// newestFirst returns the answers, the latest question first.
func (t *StalenessTracker) newestFirst() []pollResponse {
	responses := make([]pollResponse, 0, len(t.latest))
	for _, p := range t.latest {
		responses = append(responses, p)
	}
	slices.SortFunc(responses, func(x, y pollResponse) int {
		switch {
		case x.number > y.number:
			return -1
		case x.number < y.number:
			return 1
		}
		return 0
	})
	return responses
}

func (t *StalenessTracker) keep(bound CommitBound) {
	if n := len(t.bounds); n > 0 && bound.At < t.bounds[n-1].At+boundSpacing {
		return
	}
	if len(t.bounds) == boundLimit {
		t.bounds = slices.Delete(t.bounds, 0, boundLimit/4)
	}
	t.bounds = append(t.bounds, bound)
}

// Barrier returns a position at or past every write acknowledged before the
// question with the given number was asked, once a majority has answered
// questions after it.
func (t *StalenessTracker) Barrier(number uint64) (sequencer.Position, bool) {
	responses := t.newestFirst()
	if len(responses) < t.majority || responses[t.majority-1].number <= number {
		return sequencer.Position{}, false
	}
	highest := sequencer.Position{}
	for _, p := range responses[:t.majority] {
		highest = sequencer.Max(highest, p.received)
	}
	return highest, true
}

// Floor returns the position that a read must cover so that its data is at most
// age old at now, or false if no proof is that recent.
func (t *StalenessTracker) Floor(now, age timekeeper.Millis) (sequencer.Position, bool) {
	for _, bound := range t.bounds {
		if bound.At >= now-age {
			return bound.Position, true
		}
	}
	if bound, found := t.newestBound(); found && bound.At >= now-age {
		return bound.Position, true
	}
	return sequencer.Position{}, false
}
