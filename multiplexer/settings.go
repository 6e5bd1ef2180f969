package multiplexer

import (
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Settings steer a multiplexer.
type Settings struct {
	// Domain is the daemon's failure domain; its servers are nearer.
	Domain  string
	Classes scheduler.RankPolicies
	// QueueLimit is the greatest number of waiting statements of one group.
	QueueLimit int
	// ReservedConnections is how many of a server's connections are left to control traffic.
	ReservedConnections int
	// MinAnswerTimeout is the least time before the answer to a read counts as lost.
	MinAnswerTimeout timekeeper.Millis
	// ProbeInterval is how long a server that was found silent is left out between two
	// attempts to connect to it.
	ProbeInterval timekeeper.Millis
	// LeavingGrace is how long a leaving server may still get new work that no other
	// server can take.
	LeavingGrace timekeeper.Millis
	// StalenessMargin is taken off the age that reads may have, for clocks and scheduling.
	StalenessMargin timekeeper.Millis
}

// DefaultSettings returns settings for a failure domain.
func DefaultSettings(domain string) Settings {
	return Settings{
		Domain:              domain,
		Classes:             scheduler.DefaultRankPolicies(),
		QueueLimit:          4096,
		ReservedConnections: 2,
		MinAnswerTimeout:    150,
		ProbeInterval:       300,
		LeavingGrace:        5000,
		StalenessMargin:     50,
	}
}

// Decision is a structured log line on a request or a belief.
type Decision = observer.Decision

// Deps are what a multiplexer needs of its daemon. All fields are seams.
type Deps struct {
	// Log writes a decision's line; nil writes none.
	Log func(Decision)
	// Count adds an outcome to the metrics; nil counts nothing.
	Count func(code Code, rank scheduler.Rank, took timekeeper.Millis)
}
