package multiplexer

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/limiter"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Balance says whether package balancer decides which reads leave the failure
// domain.
type Balance int

// Values of Balance.
const (
	// BalanceAuto balances if the catalog has accounts or the hosts differ.
	BalanceAuto Balance = iota
	BalanceOn
	BalanceOff
)

// Settings configures a Multiplexer.
type Settings struct {
	// Domain is the daemon's failure domain. The network round trip to servers
	// in it is shorter.
	Domain       string
	RankPolicies scheduler.RankPolicies
	// QueueLimit is the max number of queued statements of one group.
	QueueLimit int
	// ReservedConnections is how many of a server's connections are left for
	// control traffic.
	ReservedConnections int
	// MinAnswerTimeout is the min time before an outstanding answer counts as
	// lost.
	MinAnswerTimeout timekeeper.Millis
	// ProbeInterval is the time between two attempts to connect to an
	// unresponsive server.
	ProbeInterval timekeeper.Millis
	// LeavingGrace is how long a leaving server may still get new work that no
	// other server can run.
	LeavingGrace timekeeper.Millis
	// StalenessMargin is subtracted from the max age of reads, to allow for
	// clock error and scheduling delays.
	StalenessMargin timekeeper.Millis
	// Balance switches the balancing of reads between failure domains.
	Balance Balance
	// SessionState is the max size in bytes of a session's values and prepared
	// statements; 0 sets no limit.
	SessionState int64
}

// DefaultSettings returns the default settings of a daemon in a failure domain.
func DefaultSettings(domain string) Settings {
	return Settings{
		Domain:              domain,
		RankPolicies:        scheduler.DefaultRankPolicies(),
		QueueLimit:          4096,
		ReservedConnections: 2,
		MinAnswerTimeout:    150,
		ProbeInterval:       300,
		LeavingGrace:        5000,
		StalenessMargin:     50,
	}
}

// Decision is a structured log entry about a request or a change of the
// daemon's known state.
type Decision = observer.Decision

// Deps holds the functions that a Multiplexer needs from outside. Nil functions
// are skipped.
type Deps struct {
	// Log writes a log entry.
	Log func(Decision)
	// Count adds the outcome of a statement to the metrics; took is the
	// statement's time from arrival to answer.
	Count func(code Code, rank scheduler.Rank, took timekeeper.Millis)
	// Admit asks for a token for a job of an account with a rate limit. The outcome of a
	// job that waits is passed to Admitted, unless CancelAdmission ends the wait.
	Admit           func(now timekeeper.Millis, id string, account cataloger.Account) limiter.Decision
	CancelAdmission func(id, account string)
	// Charge takes a token for a run of a job that may have run before.
	Charge func(now timekeeper.Millis, account cataloger.Account)
	// Refund returns the token that was given to a job at admittedAt and that the job
	// did not use.
	Refund func(now, admittedAt timekeeper.Millis, account cataloger.Account)
}
