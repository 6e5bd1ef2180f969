package proxier

import (
	"context"
	"time"

	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// maxAge returns how old a snapshot of a table in another daemon's cache may be.
func maxAge(table Table) timekeeper.Millis {
	switch table {
	case TableCatalog:
		return maxCatalogAge
	case TableServers:
		return maxServersAge
	case TableCoordination, TableHeartbeats:
	}
	return maxSharedAge
}

// reading is a snapshot of a table, or the rows that changed since the last one.
type reading struct {
	Rows
	// readAt is the time as of which the rows are current.
	readAt timekeeper.Millis
	// source is the address of the daemon that the rows come from, or sourceStore.
	source string
}

// sourceStore is the source of readings that do not come from another daemon's cache.
const sourceStore = "store"

// scan reads all rows of a table within CallTimeout: from the cache of the domain
// reader, or from the store if this daemon is the domain reader, none is known or the
// request fails.
func (p *Proxy) scan(ctx context.Context, table Table, name string) (reading, error) {
	call, cancel := p.callContext(ctx)
	defer cancel()
	requestedAt := p.clock.Now()
	if reader := p.domainReader(); reader != "" {
		rows, digest := p.cache.snapshot(table)
		shared, err := p.fetchCached(call, reader, detourer.RowsRequest{Table: int(table), KnownDigest: digest, MaxAge: maxAge(table)})
		readAt := shared.ReadAt(requestedAt)
		if err == nil && shared.Era < p.cache.era(table) {
			err = &Error{Op: "scan", Kind: KindStale, Text: "the domain reader does not know the store's era"}
		}
		switch {
		case err == nil && shared.Unchanged:
			p.cache.confirm(table, readAt)
			return reading{Rows: rows, readAt: readAt, source: reader}, nil
		case err == nil && !shared.TooLarge:
			rows = Rows{Rows: shared.Rows, Revision: shared.Revision}
			p.cache.set(table, rows, readAt)
			return reading{Rows: rows, readAt: readAt, source: reader}, nil
		}
	}
	return p.scanStore(call, table, name)
}

// scanStore reads all rows of a table from the store. They are current as of when the
// store was asked, or for TableCoordination as of the time that the watermarks
// guarantee.
func (p *Proxy) scanStore(ctx context.Context, table Table, name string) (reading, error) {
	readAt := p.clock.Now()
	rows, err := p.scanHedged(ctx, table)
	p.recordDependency(name, err)
	if err != nil {
		return reading{}, err
	}
	p.recordRevision(rows.Revision)
	if table == TableCoordination {
		readAt = p.watermarks.freshAsOf(readAt, rows.Revision)
	}
	p.cache.set(table, rows, readAt)
	return reading{Rows: rows, readAt: readAt, source: sourceStore}, nil
}

// setCatalog passes the catalogs that were read to the multiplexer, and logs where a
// newer one came from. It logs and skips rows that can't be decoded.
func (p *Proxy) setCatalog(r reading) {
	for _, row := range r.Rows.Rows {
		if row.Deleted {
			continue
		}
		catalog, err := p.deps.DecodeCatalog(row)
		if err != nil {
			p.log.LogDecision(observer.Decision{Part: "catalog", Outcome: "row skipped", Inputs: []observer.Field{
				observer.F("key", row.Key), observer.F("error", err.Error()),
			}})
			continue
		}
		if catalog.Version <= 0 {
			continue
		}
		p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command {
			if catalog.Version > p.mux.CatalogVersion() {
				p.log.LogDecision(observer.Decision{Part: "catalog", Outcome: "version read", Inputs: []observer.Field{
					observer.F("version", catalog.Version), observer.F("source", r.source), observer.F("age", int64(now-r.readAt)),
				}})
			}
			return p.mux.SetCatalog(now, catalog)
		})
	}
	p.confirmCatalog(r.readAt)
}

// confirmCatalog records that the catalog was the newest at readAt.
func (p *Proxy) confirmCatalog(readAt timekeeper.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mux.ConfirmCatalog(readAt)
}

// tableWatch configures watchTable for one table.
type tableWatch struct {
	table Table
	// name is the name of the dependency in log lines.
	name string
	// pause is the time between an answer and the next request. Changes in between
	// arrive together.
	pause timekeeper.Millis
	// feedWait and followWait are the maximum times of a long poll at the store and at
	// the domain reader.
	feedWait, followWait timekeeper.Millis
	// onSnapshot is called with all rows.
	onSnapshot func(r reading)
	// onChange is called with rows that changed.
	onChange func(r reading)
	// onUnchanged is called when the rows are unchanged and current as of
	// readAt.
	onUnchanged func(readAt timekeeper.Millis)
}

// watchTable follows a table: through the domain reader if that answers, otherwise by
// a full read and then the store's change feed. After an error of the feed it does a
// full read again, because the store may no longer have the changes or may have been
// restored from a copy.
func (p *Proxy) watchTable(ctx context.Context, watch tableWatch) {
	var revision elector.Revision
	generation := int64(0)
	p.poll(ctx, watch.pause, func() error {
		if next, ok := p.watchCached(ctx, watch, generation); ok {
			revision, generation = elector.Revision{}, next
			return nil
		}
		generation = 0
		if revision.Version == 0 {
			call, cancel := p.callContext(ctx)
			defer cancel()
			snapshot, err := p.scanStore(call, watch.table, watch.name)
			if err != nil {
				return err
			}
			watch.onSnapshot(snapshot)
			revision = snapshot.Revision
			return nil
		}
		rows, err := p.feed(ctx, watch, revision)
		if err != nil {
			revision = elector.Revision{}
			return err
		}
		p.cache.apply(watch.table, rows.Rows, rows.readAt)
		if len(rows.Rows.Rows) > 0 {
			watch.onChange(rows)
		} else {
			watch.onUnchanged(rows.readAt)
		}
		revision.Version = max(revision.Version, rows.Version)
		return nil
	})
}

// feed requests the changes of a table after a revision from the store. It fails if the
// answer is of another era, in which other changes have the same versions. The long poll
// is shorter if the last answer brought changes, so that the snapshot in the cache is
// never much older than feedWait.
func (p *Proxy) feed(ctx context.Context, watch tableWatch, after elector.Revision) (reading, error) {
	requestedAt := p.clock.Now()
	wait := watch.feedWait
	if watch.table != TableCoordination { // the age of its snapshot is that of the last full read
		wait = max(wait-(requestedAt-p.cache.readAt(watch.table)), p.settings.Intervals.MinRetry)
	}
	call, cancel := context.WithTimeout(ctx, (wait + feedTimeoutMargin).Duration())
	defer cancel()
	rows, err := p.deps.Feed(call, watch.table, after.Version, wait)
	p.recordDependency(watch.name+" feed", err)
	p.recordRevision(rows.Revision)
	if err == nil && rows.Era != after.Era {
		err = &Error{Op: "feed", Kind: KindStale, Text: "the store was restored"}
	}
	readAt := requestedAt
	if len(rows.Rows) == 0 && p.clock.Now()-requestedAt >= wait {
		readAt += wait // the store waited for so long and found no change
	}
	return reading{Rows: rows, readAt: readAt, source: sourceStore}, err
}

// watchCached waits until the domain reader has other rows than those of the given
// generation, and returns the generation of its rows. It reports false if there is no
// domain reader or a request fails.
func (p *Proxy) watchCached(ctx context.Context, watch tableWatch, generation int64) (int64, bool) {
	reader := p.domainReader()
	if reader == "" {
		return 0, false
	}
	requestedAt := p.clock.Now()
	_, digest := p.cache.snapshot(watch.table)
	shared, err := p.fetchCached(ctx, reader, detourer.RowsRequest{Table: int(watch.table), KnownGeneration: generation, KnownDigest: digest, MaxWait: watch.followWait, MaxAge: maxAge(watch.table)})
	readAt := shared.ReadAt(requestedAt)
	if err != nil || shared.Era < p.cache.era(watch.table) || p.clock.Now()-readAt > maxAge(watch.table) {
		return 0, false
	}
	if shared.Unchanged {
		p.cache.confirm(watch.table, readAt)
		watch.onUnchanged(readAt)
		return shared.Generation, true
	}
	snapshot := reading{Rows: Rows{Rows: shared.Rows, Revision: shared.Revision}, readAt: readAt, source: reader}
	if shared.TooLarge {
		call, cancel := p.callContext(ctx)
		defer cancel()
		if snapshot, err = p.scanStore(call, watch.table, watch.name); err != nil {
			return 0, false
		}
	} else {
		p.cache.set(watch.table, snapshot.Rows, readAt)
	}
	watch.onSnapshot(snapshot)
	return shared.Generation, true
}

// watchCatalog follows TableCatalog.
func (p *Proxy) watchCatalog(ctx context.Context) {
	p.watchTable(ctx, tableWatch{
		table: TableCatalog, name: "store: catalog", feedWait: catalogWait, followWait: catalogFollowWait,
		onSnapshot:  p.setCatalog,
		onChange:    p.setCatalog,
		onUnchanged: p.confirmCatalog,
	})
}

// watchCoordination follows TableCoordination.
func (p *Proxy) watchCoordination(ctx context.Context) {
	p.watchTable(ctx, tableWatch{
		table: TableCoordination, name: "store: rows", feedWait: p.settings.Intervals.FeedWait, followWait: p.settings.Intervals.FeedWait,
		onSnapshot: p.applyRows,
		onChange: func(r reading) {
			p.withElector(func(now timekeeper.Millis) []elector.Command {
				return p.elector.ApplyChanges(now, r.Rows.Rows, r.Revision)
			})
		},
		onUnchanged: func(readAt timekeeper.Millis) {
			p.withElector(func(now timekeeper.Millis) []elector.Command { return p.elector.ConfirmUnchanged(now, readAt) })
		},
	})
}

// applyRows passes all rows of TableCoordination to the elector and adds the daemons
// that they name to the peers.
func (p *Proxy) applyRows(r reading) {
	defer func() { p.peerClient.AddPeers(p.peers()) }()
	p.withElector(func(now timekeeper.Millis) []elector.Command {
		return p.elector.SetRows(now, r.readAt, r.Rows.Rows, r.Revision)
	})
}

// rescanCoordination periodically reads all rows of TableCoordination, and at once when
// a reload is requested. Full reads extend the primary leases.
func (p *Proxy) rescanCoordination(ctx context.Context) {
	for {
		pause := p.settings.Intervals.CoordinationRescan
		snapshot, err := p.scan(ctx, TableCoordination, "store: rows")
		if err == nil {
			p.storeBackoff.reset()
			p.applyRows(snapshot)
		} else {
			pause = p.settings.Intervals.MinRetry
		}
		select {
		case <-ctx.Done():
			return
		case <-p.reloadRequested:
		case <-time.After(pause.Duration()):
		}
	}
}
