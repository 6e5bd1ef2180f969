// Package cataloger holds what a daemon may serve: the databases that callers
// name, the database groups behind them and their backend servers.
package cataloger

import (
	"maps"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Consistency is what reads of a database are promised.
type Consistency int

// Kinds of consistency.
const (
	// ConsistencyPrimary makes each read see every acknowledged commit.
	ConsistencyPrimary Consistency = iota
	// ConsistencySession makes each read see its own session's commits, and
	// those of others up to a bounded age.
	ConsistencySession
	// ConsistencyBoundedStaleness makes each read see all commits up to a bounded age.
	ConsistencyBoundedStaleness
)

// Database is a name that callers connect to.
type Database struct {
	Name        string
	Group       string
	Consistency Consistency
	// MaxAge bounds how old the data of a read may be.
	MaxAge timekeeper.Millis
	// Timeout limits one statement.
	Timeout timekeeper.Millis
	// LatencyObjective is the latency objective of an operation.
	LatencyObjective timekeeper.Millis
	Rank             scheduler.Rank
}

// Group is a database group: one primary and its replicas.
type Group struct {
	Name string
	// ConnectionLimit is how many connections each server takes from all daemons
	// together.
	ConnectionLimit int
}

// Catalog is one version of the databases and groups. Values are immutable.
type Catalog struct {
	Version   int64
	databases map[string]Database
	groups    map[string]Group
	// IdleTransactionTimeout is how long a transaction may stay open without a statement; 0
	// sets no limit.
	IdleTransactionTimeout timekeeper.Millis
}

// New returns the catalog of a version.
func New(version int64, databases []Database, groups []Group) Catalog {
	c := Catalog{Version: version, databases: make(map[string]Database, len(databases)), groups: make(map[string]Group, len(groups))}
	for _, d := range databases {
		c.databases[d.Name] = d
	}
	for _, g := range groups {
		c.groups[g.Name] = g
	}
	return c
}

// WithIdleTransactionTimeout returns a catalog in which transactions may be idle for d.
func (c Catalog) WithIdleTransactionTimeout(d timekeeper.Millis) Catalog {
	c.IdleTransactionTimeout = d
	return c
}

// Database returns the database of a name.
func (c Catalog) Database(name string) (Database, bool) {
	d, found := c.databases[name]
	return d, found
}

// Group returns the group of a name.
func (c Catalog) Group(name string) (Group, bool) {
	g, found := c.groups[name]
	return g, found
}

// Groups returns all groups by name.
func (c Catalog) Groups() map[string]Group {
	return maps.Clone(c.groups)
}

// DatabaseCount returns the number of databases.
func (c Catalog) DatabaseCount() int {
	return len(c.databases)
}
