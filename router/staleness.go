package router

import (
	"slices"

	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// boundLimit is the max number of commit bounds kept.
	boundLimit = 256
	// boundSpacing is the min time between two kept commit bounds.
	boundSpacing timekeeper.Millis = 20
)

// CommitBound says that every commit acknowledged before At is at or before
// Position.
type CommitBound struct {
	At       timekeeper.Millis
	Position sequencer.Position
}

// pollResponse is a server's answer to a status poll: the poll's number, when
// the poll was sent, and the log position that the server had received.
type pollResponse struct {
	number    uint64
	requested timekeeper.Millis
	received  sequencer.Position
}

// StalenessTracker bounds how old the data of a server is, by this daemon's
// clock alone. A write is acknowledged only after a majority of the group's
// servers has received it. So the highest position among the responses of a
// majority, all requested after some moment, is at or past every write
// acknowledged before that moment. The primary's response alone guarantees
// nothing: another primary may have replaced it.
type StalenessTracker struct {
	majority int
	latest   map[string]pollResponse
	bounds   []CommitBound
}

// NewStalenessTracker returns a tracker without responses for a group of the
// given number of servers.
func NewStalenessTracker(servers int) *StalenessTracker {
	return &StalenessTracker{majority: acknowledger.Majority(servers), latest: map[string]pollResponse{}}
}

// Observe records the position that a server had received when it answered the
// status poll with the given number, sent at the time requested. Poll numbers
// rise with each poll of any server. An answer to an earlier poll than the
// server's last recorded one is ignored.
func (t *StalenessTracker) Observe(server string, number uint64, requested timekeeper.Millis, received sequencer.Position) {
	if previous, found := t.latest[server]; found && previous.number > number {
		return
	}
	t.latest[server] = pollResponse{number: number, requested: requested, received: received}
	if bound, found := t.newestBound(); found {
		t.addBound(bound)
	}
}

// newestBound returns the commit bound for the latest time after which a
// majority was polled and answered. It returns false if no majority has
// answered.
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

// newestFirst returns the servers' last responses, the highest poll number
// first.
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

// addBound adds a bound, unless the last one is less than boundSpacing older. It
// drops the oldest quarter when boundLimit is reached.
func (t *StalenessTracker) addBound(bound CommitBound) {
	if n := len(t.bounds); n > 0 && bound.At < t.bounds[n-1].At+boundSpacing {
		return
	}
	if len(t.bounds) == boundLimit {
		t.bounds = slices.Delete(t.bounds, 0, boundLimit/4)
	}
	t.bounds = append(t.bounds, bound)
}

// Barrier returns a position at or past every write acknowledged before the
// poll with the given number was sent. It returns false until a majority has
// answered later polls.
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
// age milliseconds old at now. It returns false if no commit bound is that
// recent.
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
