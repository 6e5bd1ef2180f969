// Package promoter decides when a database's primary is replaced and leads the
// change: a claim of the next term at the platform, a fence at a majority of the
// backend servers, and the promotion of the fenced server with the longest log.
// Safety rests on the fence alone; the claim keeps promoters apart.
package promoter

import (
	"encoding/json"

	"github.com/heatherhall/heatherhall/sequencer"
)

// Row is a database's row in the platform's table.
type Row struct {
	// Term is the newest term claimed.
	Term int64 `json:"term"`
	// Candidate is the host that claimed the term; Attempt tells its tries
	// apart, so that a claim whose answer was lost is recognised.
	Candidate string `json:"candidate"`
	Attempt   string `json:"attempt"`
	// Primary and History are set once the term has a primary.
	Primary string            `json:"primary,omitempty"`
	History sequencer.History `json:"history,omitempty"`
}

// UnmarshalJSON decodes a row and checks its term.
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
