package dispatcher

import (
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Server describes a backend server of the database.
type Server struct {
	Name        string
	Domain      string
	Slots       int
	Connections int
	// RoundTripTime is the expected network time there and back in milliseconds.
	RoundTripTime float64
}

// Settings steer the dispatcher of one database.
type Settings struct {
	Database     string
	Servers      []Server
	RankPolicies scheduler.RankPolicies
	// QueueLimit is the greatest number of waiting items.
	QueueLimit int
	// CommitQuorum is how many servers must hold a commit before it is acknowledged;
	// 0 stands for a majority.
	CommitQuorum int
	// MaxCatchUpWait is how long a read waits for a replica about to catch up.
	MaxCatchUpWait timekeeper.Millis
	// PrimaryWait is how long work waits while there is no primary.
	PrimaryWait timekeeper.Millis
	// AckTimeout is how long a commit waits for a majority before its outcome is
	// reported as unknown.
	AckTimeout timekeeper.Millis
	// InspectInterval is how long an answer may take before the server is asked whether
	// the statement still runs.
	InspectInterval timekeeper.Millis
	// IdleInTransactionTimeout is how long a transaction may stay open without a statement, by
	// rank.
	IdleInTransactionTimeout [scheduler.Ranks]timekeeper.Millis
	// ServerTimeout is how long a server may be silent before it gets no new work.
	ServerTimeout timekeeper.Millis
	// LedgerRetention is how long the ledger keeps the keys of work.
	LedgerRetention timekeeper.Millis
	// FIFO serves all work in the order of its arrival, as a baseline for
	// measurements.
	FIFO bool
	// Preempt cancels running browse reads for urgent work that waits.
	Preempt bool
	// ReadsOnPrimary makes all reads go to the primary, as a baseline for
	// measurements.
	ReadsOnPrimary bool
}

// DefaultSettings returns the settings for a database of the given servers.
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
		IdleInTransactionTimeout: [scheduler.Ranks]timekeeper.Millis{
			scheduler.RankUrgent:   30_000,
			scheduler.RankStandard: 15_000,
			scheduler.RankBrowse:   5_000,
		},
		ServerTimeout:   900,
		LedgerRetention: 86_400_000,
		Preempt:         true,
	}
}

// Deps are what a dispatcher needs of its daemon. All fields are seams.
type Deps struct {
	// NextConn numbers new connections.
	NextConn func() pooler.Conn
	// Log writes a decision's line; nil writes none.
	Log func(format string, args ...any)
	// InvariantViolated is told of each check inside the program that failed.
	InvariantViolated func(format string, args ...any)
}
