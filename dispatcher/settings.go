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
	// Distance is the expected network time there and back in milliseconds.
	Distance float64
}

// Settings steer the dispatcher of one database.
type Settings struct {
	Database string
	Servers  []Server
	Classes  scheduler.Classes
	// Queue is the greatest number of waiting items.
	Queue int
	// Need is how many servers must hold a commit before it is acknowledged;
	// 0 stands for a majority.
	Need int
	// CatchUp is how long a read waits for a replica about to catch up.
	CatchUp timekeeper.Millis
	// Hold is how long work waits while there is no primary.
	Hold timekeeper.Millis
	// Ack is how long a commit waits for a majority before its outcome is
	// reported as unknown.
	Ack timekeeper.Millis
	// Overdue is how long an answer may take before the server is asked whether
	// the statement still runs.
	Overdue timekeeper.Millis
	// Idle is how long a transaction may stay open without a statement, by
	// rank.
	Idle [scheduler.Ranks]timekeeper.Millis
	// Silence is how long a server may be silent before it gets no new work.
	Silence timekeeper.Millis
	// Keep is how long the ledger keeps the keys of work.
	Keep timekeeper.Millis
	// Fifo serves all work in the order of its arrival, as a baseline for
	// measurements.
	Fifo bool
	// Preempt cancels running browse reads for urgent work that waits.
	Preempt bool
	// Primary makes all reads go to the primary, as a baseline for
	// measurements.
	Primary bool
}

// DefaultSettings returns the settings for a database of the given servers.
func DefaultSettings(database string, servers []Server) Settings {
	return Settings{
		Database: database,
		Servers:  servers,
		Classes:  scheduler.DefaultClasses(),
		Queue:    8192,
		CatchUp:  25,
		Hold:     6000,
		Ack:      8000,
		Overdue:  400,
		Idle: [scheduler.Ranks]timekeeper.Millis{
			scheduler.RankUrgent:   30_000,
			scheduler.RankStandard: 15_000,
			scheduler.RankBrowse:   5_000,
		},
		Silence: 900,
		Keep:    86_400_000,
		Preempt: true,
	}
}

// Deps are what a dispatcher needs of its daemon. All fields are seams.
type Deps struct {
	// NextConn numbers new connections.
	NextConn func() pooler.Conn
	// Log writes a decision's line; nil writes none.
	Log func(format string, args ...any)
	// Violated is told of each check inside the program that failed.
	Violated func(format string, args ...any)
}
