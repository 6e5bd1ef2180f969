package promoter

import (
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// ServerView is what the database's home, the daemon that queues and routes all
// its work, knows of one backend server.
type ServerView struct {
	Name string
	// Report is the server's last status report, received at LastReport. Both
	// are valid if Reported is set.
	Report     sequencer.Report
	LastReport timekeeper.Millis
	Reported   bool
	// Leaving is set if the server is about to leave the database group as
	// planned.
	Leaving bool
	// Responsive is false once several polls over new connections got no
	// response.
	Responsive bool
}

// upstreamIdle returns the time since the server last received anything from
// its primary, or -1 if it follows none. It is the reported time plus the age
// of the report.
func (v ServerView) upstreamIdle(now timekeeper.Millis) timekeeper.Millis {
	if v.Report.UpstreamIdleMillis < 0 {
		return -1
	}
	return timekeeper.Millis(v.Report.UpstreamIdleMillis) + now - v.LastReport
}

// Settings configures a Promoter.
type Settings struct {
	// ReplicationTimeout is how long a replica's replication stream may be idle
	// before the replica counts as one that lost its primary.
	ReplicationTimeout timekeeper.Millis
	// ConfirmDuration is how long an unresponsive primary's failure condition
	// must last before it is replaced.
	ConfirmDuration timekeeper.Millis
	// NoPrimaryTimeout is how long a database may be without a primary before a
	// change that another daemon began counts as abandoned.
	NoPrimaryTimeout timekeeper.Millis
	// FencedTimeout is how long a server may be fenced for a term beyond the
	// current one before a new, higher term is started, in which the server can
	// follow the primary again.
	FencedTimeout timekeeper.Millis
	// StepTimeout is how long the platform or a server may take for one step.
	StepTimeout timekeeper.Millis
	// RetryBackoff is the time between two attempts; after failures it is
	// multiplied by their number, up to 5.
	RetryBackoff timekeeper.Millis
	// DrainTimeout is how long a planned change waits for open transactions.
	DrainTimeout timekeeper.Millis
}

// DefaultSettings returns the default timeouts.
func DefaultSettings() Settings {
	return Settings{
		ReplicationTimeout: 500,
		ConfirmDuration:    100,
		NoPrimaryTimeout:   800,
		FencedTimeout:      3000,
		StepTimeout:        400,
		RetryBackoff:       400,
		DrainTimeout:       2000,
	}
}

// Commands of a Promoter. The daemon passes Attempt back with the response.
type (
	// Command is a request that the daemon executes: one of the types below.
	Command any
	// Claim writes the row if the platform's row is of a lower term. The result
	// goes to Promoter.ClaimFinished.
	Claim struct {
		Attempt int
		Row     Row
	}
	// Fence asks a server to promise that it accepts no more entries of terms
	// below Term. It is not related to elector.Coordinator.FencingToken. The
	// response goes to Promoter.FenceFinished.
	Fence struct {
		Attempt int
		Server  string
		Term    int64
	}
	// Promote makes a fenced server the primary of Term. The response goes to
	// Promoter.PromotionFinished.
	Promote struct {
		Attempt int
		Server  string
		Term    int64
	}
	// Follow makes a server a replica of the primary of Term. No response is
	// expected.
	Follow struct {
		Server  string
		Term    int64
		Primary string
	}
	// Publish writes the row of a completed change. No response is expected.
	Publish struct {
		Row Row
	}
)
