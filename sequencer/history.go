package sequencer

import "encoding/json"

// Segment says that the entries after offset Start, up to the next segment's
// Start, were written in Term.
type Segment struct {
	Term  int64 `json:"term"`
	Start int64 `json:"start"`
}

// History is the chain of terms that one log went through, oldest first, as in
// the timeline history files of PostgreSQL. A term whose primary never passed
// its entries on to the next one is not in the chain. Start offsets alone
// can't tell that: an entry (2, 5) of an abandoned term 2 would seem to live on
// in a term 3 that starts at 5, although term 3 came from a log of term 1.
type History []Segment

// Term returns the newest term of the chain, or 0 for an empty one.
func (h History) Term() int64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Term
}

// Start returns the offset after which the newest term began.
func (h History) Start() int64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Start
}

// WithTerm returns a chain that goes on with a new term after the given offset.
// Terms that would begin after that offset are left out, since none of their
// entries is in the log that the new term continues.
func (h History) WithTerm(term, start int64) History {
	next := make(History, 0, len(h)+1)
	for _, s := range h {
		if s.Start < start {
			next = append(next, s)
		}
	}
	return append(next, Segment{Term: term, Start: start})
}

// Contains reports whether the entry at p is part of this chain. The newest
// term has no end: its entries are contained wherever they stand. The zero
// position is part of every chain.
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

// Clamp returns the last entry of this chain that is not after p. An entry that
// a majority held is on every later chain, so clamping a floor drops only
// entries that were never acknowledged. A chain older than p proves nothing
// about p, which is then returned unchanged.
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

// Covers reports whether a log whose last entry is at holds the entry at floor.
// Positions of one term are always comparable, since a term has one primary;
// positions of different terms only when both are on this chain.
func (h History) Covers(at, floor Position) bool {
	if floor.IsZero() {
		return true
	}
	if at.Term == floor.Term {
		return at.Offset >= floor.Offset
	}
	return h.Contains(at) && h.Contains(floor) && at.Offset >= floor.Offset
}

// UnmarshalJSON decodes a chain and checks that its terms rise and its starts
// do not fall.
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
