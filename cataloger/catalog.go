// Package cataloger defines the catalog: the databases that clients connect to,
// the database groups behind them and their backend servers.
package cataloger

import (
	"maps"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Consistency is the guarantee for reads of a database.
type Consistency int

// Guarantees for reads.
const (
	// ConsistencyPrimary: each read sees every acknowledged commit.
	ConsistencyPrimary Consistency = iota
	// ConsistencySession: each read sees its own session's commits, and all
	// other commits that are older than Database.MaxAge.
	ConsistencySession
	// ConsistencyBoundedStaleness: each read sees all commits that are older
	// than Database.MaxAge.
	ConsistencyBoundedStaleness
)

// Database is a database that clients connect to by name, and the rules for its
// statements.
type Database struct {
	Name        string      `json:"name"`
	Group       string      `json:"group"`
	Consistency Consistency `json:"consistency"`
	// MaxAge is how old the data of a read may be.
	MaxAge timekeeper.Millis `json:"age"`
	// Timeout is the time limit of one statement.
	Timeout timekeeper.Millis `json:"limit"`
	// LatencyObjective is the target duration of an operation.
	LatencyObjective timekeeper.Millis `json:"objective"`
	Rank             scheduler.Rank    `json:"rank"`
	// Closed says that only clients of an account of the catalog may use the
	// database.
	Closed bool `json:"closed,omitempty"`
}

// Group is a database group: one primary and its replicas.
type Group struct {
	Name string
	// ConnectionLimit is how many connections each server accepts from all
	// daemons together.
	ConnectionLimit int
	// SynchronousReplicas is how many replicas must have received a commit before the
	// primary acknowledges it.
	SynchronousReplicas int
}

// Catalog is one version of the databases and groups. Catalogs are immutable.
type Catalog struct {
	Version   int64
	databases map[string]Database
	groups    map[string]Group
	// openGroups and closedGroups are the groups that have open and closed databases.
	openGroups, closedGroups map[string]bool
	// accounts are the client accounts by name, and accountsByKey their names by
	// the digests of their keys.
	accounts      map[string]Account
	accountsByKey map[KeyDigest]string
	// IdleTransactionTimeout is how long a transaction may stay open without a
	// statement; 0 sets no limit.
	IdleTransactionTimeout timekeeper.Millis
}

// New returns a catalog with the given version, databases and groups.
func New(version int64, databases []Database, groups []Group) Catalog {
	c := Catalog{
		Version: version, databases: make(map[string]Database, len(databases)), groups: make(map[string]Group, len(groups)),
		openGroups: map[string]bool{}, closedGroups: map[string]bool{},
	}
	for _, d := range databases {
		c.databases[d.Name] = d
		if d.Closed {
			c.closedGroups[d.Group] = true
		} else {
			c.openGroups[d.Group] = true
		}
	}
	for _, g := range groups {
		c.groups[g.Name] = g
	}
	return c
}

// WithIdleTransactionTimeout returns a copy of the catalog in which
// transactions may be idle for d.
func (c Catalog) WithIdleTransactionTimeout(d timekeeper.Millis) Catalog {
	c.IdleTransactionTimeout = d
	return c
}

// Database returns the database with the name, or false if there is none.
func (c Catalog) Database(name string) (Database, bool) {
	d, found := c.databases[name]
	return d, found
}

// Group returns the group with the name, or false if there is none.
func (c Catalog) Group(name string) (Group, bool) {
	g, found := c.groups[name]
	return g, found
}

// Groups returns a copy of all groups by name.
func (c Catalog) Groups() map[string]Group {
	return maps.Clone(c.groups)
}

// HasOpen reports whether a group has an open database.
func (c Catalog) HasOpen(group string) bool {
	return c.openGroups[group]
}

// HasClosed reports whether a group has a closed database.
func (c Catalog) HasClosed(group string) bool {
	return c.closedGroups[group]
}

// DatabaseCount returns the number of databases.
func (c Catalog) DatabaseCount() int {
	return len(c.databases)
}
