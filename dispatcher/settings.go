package dispatcher

import (
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Server describes a backend server of the database.
type Server struct {
	Name string
	// Domain is the server's failure domain.
	Domain string
	// Slots is how many units of work the server may run at once.
	Slots int
	// Connections is how many connections all daemons together may have to the
	// server.
	Connections int
	// RoundTripTime is the expected network round trip in milliseconds.
	RoundTripTime float64
}

// Settings configures the dispatcher of one database. All times are in
// milliseconds.
type Settings struct {
	Database     string
	Servers      []Server
	RankPolicies scheduler.RankPolicies
	// QueueLimit is the maximum number of queued units of work.
	QueueLimit int
	// CommitQuorum is how many servers must have received a commit before it is
	// acknowledged; 0 means a majority.
	CommitQuorum int
	// MaxCatchUpWait is how long a read waits at most for a replica to catch
	// up. If the expected wait is longer, the read goes to the primary.
	MaxCatchUpWait timekeeper.Millis
	// PrimaryWait is how long work waits for a usable primary while there is
	// none, counted from its arrival. It also applies to retried work.
	PrimaryWait timekeeper.Millis
	// AckTimeout is how long a commit waits for its quorum before its outcome
	// is reported as unknown.
	AckTimeout timekeeper.Millis
	// InspectInterval is how long a statement may run before the server is
	// asked whether it still runs, and the interval of further such requests.
	InspectInterval timekeeper.Millis
	// IdleInTransactionTimeout is how long a transaction may stay open without
	// a running statement, by rank.
	IdleInTransactionTimeout [scheduler.NumRanks]timekeeper.Millis
	// ServerTimeout is how long a server may go without a report before it gets
	// no new work.
	ServerTimeout timekeeper.Millis
	// LedgerRetention is how long the ledger keeps request keys.
	LedgerRetention timekeeper.Millis
	// FIFO runs all work in order of arrival, regardless of rank and customer.
	// It is a baseline for measurements.
	FIFO bool
	// Preempt cancels running browse reads on the primary for queued urgent
	// work.
	Preempt bool
	// ReadsOnPrimary sends all reads to the primary. It is a baseline for
	// measurements.
	ReadsOnPrimary bool
}

// DefaultSettings returns the default settings for a database with the given
// servers.
func DefaultSettings(database string, servers []Server) Settings {
	return Settings{
		Database:        database,
		Servers:         servers,
		RankPolicies:    scheduler.DefaultRankPolicies(),
		QueueLimit:      8192,
		MaxCatchUpWait:  25,
		PrimaryWait:     6000,
		AckTimeout:      8000,
		InspectInterval: 400,
		IdleInTransactionTimeout: [scheduler.NumRanks]timekeeper.Millis{
			scheduler.RankUrgent:   30_000,
			scheduler.RankStandard: 15_000,
			scheduler.RankBrowse:   5_000,
		},
		ServerTimeout:   900,
		LedgerRetention: 86_400_000,
		Preempt:         true,
	}
}

// Deps are the functions that a dispatcher needs from outside.
type Deps struct {
	// NextConn returns the id of a new connection, never used before.
	NextConn func() pooler.Conn
	// Log logs a decision; nil discards it.
	Log func(format string, args ...any)
	// InvariantViolated is called for each failed internal consistency check;
	// nil ignores it.
	InvariantViolated func(format string, args ...any)
}
