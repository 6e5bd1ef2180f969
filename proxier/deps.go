package proxier

import (
	"context"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Table identifies a table of the store. The numbers are sent to other daemons, so
// their order must not change.
type Table int

// Tables that the daemons read or write.
const (
	// TableCatalog holds the newest catalog from the operators.
	TableCatalog Table = iota
	// TableServers holds the registrations of the backend servers.
	TableServers
	// TableCoordination holds the elector's rows, such as the registrations of daemons
	// and the primary records. Only daemons write them.
	TableCoordination
	// TableHeartbeats holds the heartbeats of the daemons.
	TableHeartbeats
)

// Rows holds rows of a table as of one revision of the store: all rows, or those that
// changed.
type Rows struct {
	Rows []elector.Row
	elector.Revision
}

// Deps holds the functions that a daemon needs from outside. They must be safe for
// concurrent use.
type Deps struct {
	// Connect opens a connection to a backend server.
	Connect detourer.ConnectFunc
	// Scan reads all rows of a table.
	Scan func(ctx context.Context, table Table) (Rows, error)
	// Feed is a long poll for the rows of a table that changed after a version; wait
	// limits its duration. It returns an error if the store no longer has the changes.
	// The daemon reads the whole table again after any error.
	Feed func(ctx context.Context, table Table, after int64, wait timekeeper.Millis) (Rows, error)
	// Transact changes rows of a table if the conditions in tx hold. It also returns
	// the revision of the store after the transaction, or the zero revision if unknown.
	Transact func(ctx context.Context, table Table, tx elector.Transaction) (elector.Result, elector.Revision)
	// DecodeCatalog decodes a row of TableCatalog.
	DecodeCatalog func(row elector.Row) (cataloger.Catalog, error)
	// DecodeServer decodes a row of TableServers.
	DecodeServer func(row elector.Row) (cataloger.Server, error)
	// Inspect asks a backend server to perform the request's action, if any, and
	// returns the server's status report about its log.
	Inspect func(ctx context.Context, server cataloger.Server, request elector.InspectRequest) (elector.ServerStatus, error)
	// Promote requests that a backend server becomes the primary of its group.
	Promote func(ctx context.Context, promotion elector.Promotion) error
	// Hold reserves n bytes for a purpose that name names in the log. It reports false if
	// they are not free; release returns them. Nil sets no limit.
	Hold func(name string, n int64) (release func(), held bool)
}
