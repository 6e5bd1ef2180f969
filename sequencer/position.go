// Package sequencer orders positions in the log of a database group, a primary
// and its replicas, and decides which positions survive primary changes.
package sequencer

import (
	"strconv"
	"strings"
)

// Position identifies one entry of a database's log by the term in which it was
// written and its offset. A term rises with each primary change. Offsets count
// up from 1 through all terms. The zero Position is before every entry.
type Position struct {
	Term   int64 `json:"term"`
	Offset int64 `json:"offset"`
}

// Before reports whether p sorts before q, by term and then by offset.
func (p Position) Before(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String formats the position as "term/offset".
func (p Position) String() string {
	return strconv.FormatInt(p.Term, 10) + "/" + strconv.FormatInt(p.Offset, 10)
}

// Max returns the later of two positions.
func Max(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// ParsePosition parses a position in the form "term/offset". It fails unless
// both are whole numbers of at least 0.
func ParsePosition(text string) (Position, error) {
	left, right, found := strings.Cut(text, "/")
	if !found {
		return Position{}, invalid("position", "want term/offset, have "+strconv.Quote(text))
	}
	term, err := strconv.ParseInt(left, 10, 64)
	if err != nil || term < 0 {
		return Position{}, invalid("position", "term is not a whole number: "+strconv.Quote(left))
	}
	offset, err := strconv.ParseInt(right, 10, 64)
	if err != nil || offset < 0 {
		return Position{}, invalid("position", "offset is not a whole number: "+strconv.Quote(right))
	}
	return Position{Term: term, Offset: offset}, nil
}
