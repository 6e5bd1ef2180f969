package promoter

import (
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// View is what the home knows of one backend server.
type View struct {
	Name    string
	Report  sequencer.Report
	Heard   timekeeper.Millis
	Known   bool
	Leaving bool
	// Answering is false once several questions over new connections stayed
	// unanswered.
	Answering bool
}

// link returns how long the server has not heard from its primary, or -1 if it
// follows none.
func (v View) link(now timekeeper.Millis) timekeeper.Millis {
	if v.Report.Upstream < 0 {
		return -1
	}
	return timekeeper.Millis(v.Report.Upstream) + now - v.Heard
}

// Settings are the promoter's times.
type Settings struct {
	// Link is how long a replica's stream may be silent before the replica
	// bears witness against its primary.
	Link timekeeper.Millis
	// Confirm is how long the evidence must last.
	Confirm timekeeper.Millis
	// Vacant is how long a database may be without a primary before a change
	// that another daemon began counts as abandoned.
	Vacant timekeeper.Millis
	// Stuck is how long a server may be fenced beyond the present term before
	// a new term takes it in again.
	Stuck timekeeper.Millis
	// Answer is how long the platform or a server may take for one step.
	Answer timekeeper.Millis
	// Pause is the time between two attempts.
	Pause timekeeper.Millis
	// Drain is how long a planned change waits for open transactions.
	Drain timekeeper.Millis
}

// DefaultSettings returns the times that settings start from.
func DefaultSettings() Settings {
	return Settings{
		Link:    500,
		Confirm: 100,
		Vacant:  800,
		Stuck:   3000,
		Answer:  400,
		Pause:   400,
		Drain:   2000,
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
