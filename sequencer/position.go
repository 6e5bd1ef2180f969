// Package sequencer orders positions in the log of a database group and tells
// which positions survived changes of primary.
package sequencer

import (
	"strconv"
	"strings"
)

// Position names one entry of a database's log: the term it was written in and
// its offset. Offsets count up from 1 through all terms. The zero Position
// comes before every entry.
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

// IsZero reports whether p comes before every entry.
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

// ParsePosition reads a position in the form "term/offset".
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
