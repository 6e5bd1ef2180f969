// Package promoter decides when a database's primary is replaced and runs the
// change in three steps: it claims the next term on the platform, fences a
// majority of the backend servers, and promotes the fenced server with the
// highest received position. Safety depends on the fences alone. The claim only
// keeps two promoters from using the same term.
package promoter

import (
	"encoding/json"

	"github.com/heatherhall/heatherhall/sequencer"
)

// Row is a database's row in the platform's table of primaries.
type Row struct {
	// Term is the newest term claimed.
	Term int64 `json:"term"`
	// Candidate is the host that claimed the term. Attempt differs between its
	// attempts, so that a claim whose response was lost can be recognized.
	Candidate string `json:"candidate"`
	Attempt   string `json:"attempt"`
	// Primary and History are set once the term has a primary.
	Primary string            `json:"primary,omitempty"`
	History sequencer.History `json:"history,omitempty"`
}

// UnmarshalJSON decodes a row. It fails if the term is below 1.
func (r *Row) UnmarshalJSON(data []byte) error {
	type plain Row
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return invalid("decode row", err.Error())
	}
	if p.Term < 1 {
		return invalid("decode row", "term is below 1")
	}
	*r = Row(p)
	return nil
}
