package promoter

import (
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// ServerView is what the home knows of one backend server.
type ServerView struct {
	Name       string
	Report     sequencer.Report
	LastReport timekeeper.Millis
	Reported   bool
	Leaving    bool
	// Responsive is false once several questions over new connections stayed
	// unanswered.
	Responsive bool
}

// link returns how long the server has not heard from its primary, or -1 if it
// follows none.
func (v ServerView) link(now timekeeper.Millis) timekeeper.Millis {
	if v.Report.UpstreamIdleMillis < 0 {
		return -1
	}
	return timekeeper.Millis(v.Report.UpstreamIdleMillis) + now - v.LastReport
}

// Settings are the promoter's times.
type Settings struct {
	// ReplicationTimeout is how long a replica's stream may be silent before the replica
	// bears witness against its primary.
	ReplicationTimeout timekeeper.Millis
	// ConfirmDuration is how long the evidence must last.
	ConfirmDuration timekeeper.Millis
	// NoPrimaryTimeout is how long a database may be without a primary before a change
	// that another daemon began counts as abandoned.
	NoPrimaryTimeout timekeeper.Millis
	// FencedTimeout is how long a server may be fenced beyond the present term before
	// a new term takes it in again.
	FencedTimeout timekeeper.Millis
	// StepTimeout is how long the platform or a server may take for one step.
	StepTimeout timekeeper.Millis
	// RetryBackoff is the time between two attempts.
	RetryBackoff timekeeper.Millis
	// DrainTimeout is how long a planned change waits for open transactions.
	DrainTimeout timekeeper.Millis
}

// DefaultSettings returns the times that settings start from.
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

// Commands of a promoter. Attempt numbers come back with the answers.
type (
	// Command is something the daemon is to do.
	Command any
	// Claim writes the row if the platform's row is of a lower term.
	Claim struct {
		Attempt int
		Row     Row
	}
	// Fence asks a server to promise a term.
	Fence struct {
		Attempt int
		Server  string
		Term    int64
	}
	// Promote makes a fenced server the primary.
	Promote struct {
		Attempt int
		Server  string
		Term    int64
	}
	// Follow makes a server a replica of the primary.
	Follow struct {
		Server  string
		Term    int64
		Primary string
	}
	// Publish writes the row of a finished change.
	Publish struct {
		Row Row
	}
)
