// Package scheduler decides which queued work of a database starts next. The
// urgent rank goes first, every other rank has a guaranteed share, and
// customers within a rank are treated fairly. Work that would start too late is
// refused early.
package scheduler

import (
	"encoding/json"
	"strconv"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Rank is the priority rank of work. Lower values are more urgent.
type Rank int

// The ranks, most urgent first.
const (
	RankUrgent Rank = iota
	RankStandard
	RankBrowse
	// NumRanks is the number of ranks.
	NumRanks = 3
)

var rankNames = [NumRanks]string{"urgent", "standard", "browse"}

// String returns the rank's name, or "rank N" for an unknown rank.
func (r Rank) String() string {
	if r < 0 || r >= NumRanks {
		return "rank " + strconv.Itoa(int(r))
	}
	return rankNames[r]
}

// ParseRank returns the rank with the given name. It fails with KindInvalid for
// an unknown name.
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

// UnmarshalJSON decodes a rank from its name. It fails with KindInvalid for an
// unknown name or JSON that is not a string.
func (r *Rank) UnmarshalJSON(data []byte) error {
	var name string
	if err := json.Unmarshal(data, &name); err != nil {
		return &Error{Op: "decode rank", Kind: KindInvalid, Text: err.Error()}
	}
	rank, err := ParseRank(name)
	*r = rank
	return err
}

// RankPolicy configures how a rank is served.
type RankPolicy struct {
	// Share is the part of the capacity, in percent, that is guaranteed to the
	// rank while it has work waiting.
	Share int `json:"share"`
	// MaxWait is the maximum time in milliseconds from arrival to start. Work
	// that would wait longer is refused.
	MaxWait timekeeper.Millis `json:"target"`
}

// RankPolicies contains the policy of each rank.
type RankPolicies [NumRanks]RankPolicy

// DefaultRankPolicies returns the policies that apply where the settings give
// none.
func DefaultRankPolicies() RankPolicies {
	return RankPolicies{
		RankUrgent:   {Share: 70, MaxWait: 1000},
		RankStandard: {Share: 20, MaxWait: 2000},
		RankBrowse:   {Share: 10, MaxWait: 3000},
	}
}
