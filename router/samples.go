package router

import (
	"sort"

	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// sampleSpacing is the min time between two kept samples. It bounds memory,
	// but a read's floor may be newer, by up to this time, than the read's max
	// age requires.
	sampleSpacing timekeeper.Millis = 10
	// sampleRetention is how long samples are kept; it exceeds the max ages of
	// databases.
	sampleRetention timekeeper.Millis = 10_000
)

// PositionSamples holds positions of a group's primary over time, by this
// daemon's clock. Each sample is a commit bound: every commit acknowledged
// before At is at or before Position.
type PositionSamples struct {
	// kept are samples at least sampleSpacing apart, the oldest first, and last
	// is the newest sample.
	kept []CommitBound
	last CommitBound
}

// Observe adds the position in the primary's answer to a statement sent at the
// given time. An answer to a statement sent before the newest sample's is
// ignored.
func (s *PositionSamples) Observe(at timekeeper.Millis, position sequencer.Position) {
	if at < s.last.At {
		return
	}
	s.last = CommitBound{At: at, Position: position}
	n := len(s.kept)
	if n > 0 && at < s.kept[n-1].At+sampleSpacing {
		return
	}
	s.kept = append(s.kept, s.last)
	if old := s.countBefore(at - sampleRetention); old > 64 {
		s.kept = append(s.kept[:0], s.kept[old:]...)
	}
}

// countBefore returns how many samples are older than a time.
func (s *PositionSamples) countBefore(at timekeeper.Millis) int {
	return sort.Search(len(s.kept), func(i int) bool { return s.kept[i].At >= at })
}

// Floor returns the position that a read must cover so that its data is at most
// age milliseconds old at now. It returns false if no sample is that recent.
func (s *PositionSamples) Floor(now, age timekeeper.Millis) (sequencer.Position, bool) {
	if i := s.countBefore(now - age); i < len(s.kept) {
		return s.kept[i].Position, true
	}
	return s.last.Position, s.last.At >= now-age && s.last.At > 0
}

// Newest returns the newest sample, or the zero CommitBound.
func (s *PositionSamples) Newest() CommitBound {
	return s.last
}

// PositionAt returns the primary's position in the last sample at or before a
// time, or the zero position if there is none.
func (s *PositionSamples) PositionAt(at timekeeper.Millis) sequencer.Position {
	i := s.countBefore(at + 1)
	if i == 0 {
		return sequencer.Position{}
	}
	return s.kept[i-1].Position
}

// TimeReached returns the time of the first kept sample at or past a position,
// or false if there is none.
func (s *PositionSamples) TimeReached(position sequencer.Position) (timekeeper.Millis, bool) {
	i := sort.Search(len(s.kept), func(i int) bool { return !s.kept[i].Position.Before(position) })
	if i == len(s.kept) {
		return 0, false
	}
	return s.kept[i].At, true
}

// Reset removes all samples.
func (s *PositionSamples) Reset() {
	*s = PositionSamples{}
}
