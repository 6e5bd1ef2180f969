// Package scheduler decides which waiting work of a database starts next:
// urgent rank first, a guaranteed share for each other rank, fairness between
// customers inside a rank, and early refusal of work that would start too late.
package scheduler

import (
	"encoding/json"
	"strconv"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Rank is the urgency of work. Lower values go first.
type Rank int

// The ranks, most urgent first.
const (
	RankUrgent Rank = iota
	RankStandard
	RankBrowse
	// Ranks is the number of ranks.
	Ranks = 3
)

var rankNames = [Ranks]string{"urgent", "standard", "browse"}

// String returns the rank's name.
func (r Rank) String() string {
	if r < 0 || r >= Ranks {
		return "rank " + strconv.Itoa(int(r))
	}
	return rankNames[r]
}

// ParseRank returns the rank of a name.
func ParseRank(name string) (Rank, error) {
	for i, known := range rankNames {
		if name == known {
			return Rank(i), nil
		}
	}
	return 0, &Error{Op: "parse rank", Kind: KindInvalid, Text: "want urgent, standard or browse, have " + strconv.Quote(name)}
}

// MarshalJSON encodes the rank as its name.
func (r Rank) MarshalJSON() ([]byte, error) {
	return json.Marshal(r.String())
}

// UnmarshalJSON decodes a rank's name.
func (r *Rank) UnmarshalJSON(data []byte) error {
	var name string
	if err := json.Unmarshal(data, &name); err != nil {
		return &Error{Op: "decode rank", Kind: KindInvalid, Text: err.Error()}
	}
	rank, err := ParseRank(name)
	*r = rank
	return err
}

// RankPolicy is what a rank is promised.
type RankPolicy struct {
	// Share is the guaranteed part of the capacity in percent while the rank
	// has work waiting.
	Share int `json:"share"`
	// MaxWait is the longest time from arrival to start. Work that would wait
	// longer is refused.
	MaxWait timekeeper.Millis `json:"target"`
}

// RankPolicies are the promises by rank.
type RankPolicies [Ranks]RankPolicy

// DefaultRankPolicies returns the classes that settings start from.
func DefaultRankPolicies() RankPolicies {
	return RankPolicies{
		RankUrgent:   {Share: 70, MaxWait: 1000},
		RankStandard: {Share: 20, MaxWait: 2000},
		RankBrowse:   {Share: 10, MaxWait: 3000},
	}
}
