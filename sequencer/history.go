package sequencer

import "encoding/json"

// Segment is the part of a log that was written in one term: the entries after
// offset Start, up to and including the next segment's Start.
type Segment struct {
	Term  int64 `json:"term"`
	Start int64 `json:"start"`
}

// History is the timeline history of one log: its terms, oldest first, as in
// the timeline history files of PostgreSQL. An abandoned term, of which the
// next primary had no entries, is not in it. Start offsets alone can't show
// that: an entry (2, 5) of an abandoned term 2 would seem to survive in a term
// 3 that starts at 5, although term 3 continues a log of term 1.
type History []Segment

// Term returns the newest term, or 0 for an empty history.
func (h History) Term() int64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Term
}

// Start returns the offset after which the newest term began, or 0 for an empty
// history.
func (h History) Start() int64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Start
}

// WithTerm returns a copy of the history that continues with a new term after
// the offset start. Terms that begin at or after that offset are left out,
// since the log that the new term continues contains none of their entries.
func (h History) WithTerm(term, start int64) History {
	next := make(History, 0, len(h)+1)
	for _, s := range h {
		if s.Start < start {
			next = append(next, s)
		}
	}
	return append(next, Segment{Term: term, Start: start})
}

// Contains reports whether the entry at p is on this timeline. The newest term
// has no end, so every entry after its start is contained. Every timeline
// contains the zero position.
func (h History) Contains(p Position) bool {
	if p.IsZero() {
		return true
	}
	for i, s := range h {
		if s.Term != p.Term {
			continue
		}
		if p.Offset <= s.Start {
			return false
		}
		return i == len(h)-1 || p.Offset <= h[i+1].Start
	}
	return false
}

// Clamp returns the last entry on this timeline that is not after p. An entry
// that a majority has received is on every later timeline, so clamping a floor
// drops only entries that were never acknowledged. If the newest term is older
// than p's, the history proves nothing about p, which is returned unchanged.
func (h History) Clamp(p Position) Position {
	if h.Contains(p) || h.Term() < p.Term {
		return p
	}
	for i := len(h) - 2; i >= 0; i-- {
		if h[i].Term > p.Term {
			continue
		}
		end := h[i+1].Start
		if h[i].Term == p.Term {
			end = min(end, p.Offset)
		}
		return Position{Term: h[i].Term, Offset: end}
	}
	return Position{}
}

// Covers reports whether a log whose last entry has the position at contains
// the entry at floor, the lowest position that may serve a read. Positions of
// one term are always comparable, since a term has one primary. Positions of
// different terms are comparable only if both are on this timeline.
func (h History) Covers(at, floor Position) bool {
	if floor.IsZero() {
		return true
	}
	if at.Term == floor.Term {
		return at.Offset >= floor.Offset
	}
	return h.Contains(at) && h.Contains(floor) && at.Offset >= floor.Offset
}

// UnmarshalJSON decodes a history. It fails unless terms are at least 1 and
// rise, and starts are at least 0 and do not fall.
func (h *History) UnmarshalJSON(data []byte) error {
	var segments []Segment
	if err := json.Unmarshal(data, &segments); err != nil {
		return invalid("history", err.Error())
	}
	for i := range segments {
		if segments[i].Term < 1 || segments[i].Start < 0 {
			return invalid("history", "a term is below 1 or a start is below 0")
		}
		if i > 0 && (segments[i].Term <= segments[i-1].Term || segments[i].Start < segments[i-1].Start) {
			return invalid("history", "terms must rise and starts must not fall")
		}
	}
	*h = segments
	return nil
}
