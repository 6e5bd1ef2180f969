package proxier

import (
	"context"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Table is a table of the store.
type Table int

// Tables of the store.
const (
	// TableCatalog holds the operators' newest catalog.
	TableCatalog Table = iota
	// TableServers holds the backend servers' registrations.
	TableServers
	// TableCoordination holds this program's own rows.
	TableCoordination
	// TableHeartbeats holds the daemons' signs of life.
	TableHeartbeats
)

// Rows are rows of a table as of one version of the store.
type Rows struct {
	Rows    []elector.Row
	Version int64
}

// Deps are what a daemon needs of the outside world.
type Deps struct {
	// Connect opens a connection to a backend server.
	Connect detourer.ConnectFunc
	// Scan reads a table whole.
	Scan func(ctx context.Context, table Table) (Rows, error)
	// Feed waits for changes of a table after a version. An error of KindHistory
	// means that the changes are no longer known.
	Feed func(ctx context.Context, table Table, after int64, wait timekeeper.Millis) (Rows, error)
	// Transact changes rows of a table if the conditions hold. With an answer comes
	// the store's version after the transaction.
	Transact func(ctx context.Context, table Table, tx elector.Transaction) (result elector.Result, version int64)
	// DecodeCatalog decodes the operators' catalog.
	DecodeCatalog func(row elector.Row) (cataloger.Catalog, error)
	// DecodeServer decodes a backend server's registration.
	DecodeServer func(row elector.Row) (cataloger.Server, error)
	// Inspect asks a server for its own account of its log, after an order.
	Inspect func(ctx context.Context, server cataloger.Server, order elector.InspectRequest) (elector.ServerStatus, error)
	// Promote makes a server the primary of its group.
	Promote func(ctx context.Context, order elector.Promotion) error
}
