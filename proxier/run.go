package proxier

import (
	"context"
	"net"
	"time"

	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// busyTick and idleTick are the times between two ticks of the multiplexer and
	// the elector: busyTick while statements are in flight, idleTick otherwise.
	busyTick = 10 * time.Millisecond
	idleTick = 50 * time.Millisecond
	// probeTimeout is the timeout of a store probe and probePause the time between
	// two probes. The store answers within some milliseconds.
	probeTimeout = 300 * time.Millisecond
	probePause   = 500 * time.Millisecond
	// feedTimeoutMargin is added to FeedWait for the timeout of a long poll for
	// changes.
	feedTimeoutMargin timekeeper.Millis = 700
	// maxSharedAge is the maximum age of a snapshot that is sent to other daemons. The
	// age counts against primary leases.
	maxSharedAge timekeeper.Millis = 7000
	// maxCatalogAge and maxServersAge are the maximum ages of the catalog and of the
	// registrations of another daemon's cache; above them a daemon reads the store
	// itself. New catalogs must be in force after 3 s and servers may leave 7 s after
	// their announcement. The domain reader's own readings are up to catalogWait and
	// Intervals.FeedWait old.
	maxCatalogAge timekeeper.Millis = 2400
	maxServersAge timekeeper.Millis = 4500
	// catalogWait is the maximum time of a long poll for a new catalog at the store,
	// and catalogFollowWait that at the domain reader, which may be frozen.
	catalogWait       timekeeper.Millis = 2000
	catalogFollowWait timekeeper.Millis = 1000
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

// Run runs the daemon until ctx ends and returns once all its goroutines have ended.
// It serves other daemons' requests on the peers listener.
func (p *Proxy) Run(ctx context.Context, peers net.Listener) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	peersDone := make(chan struct{})
	go detourer.Serve(ctx, peers, p.peerHandler(), peersDone)
	p.log.LogDecision(observer.Decision{Part: "daemon", Outcome: "start", Inputs: []observer.Field{
		observer.F("host", p.settings.Host.Name), observer.F("domain", p.settings.Host.Domain), observer.F("incarnation", p.settings.Host.Incarnation),
	}})
	p.spawn(p.watchCatalog)
	p.spawn(p.watchServers)
	p.spawn(p.rescanServers)
	p.spawn(p.expireServers)
	p.spawn(p.rescanCoordination)
	p.spawn(p.watchCoordination)
	p.spawn(p.heartbeat)
	p.spawn(p.probeStore)
	p.spawn(p.runTicks)
	<-ctx.Done()
	p.links.Close()
	p.wait.Wait()
	<-peersDone
	p.log.LogDecision(observer.Decision{Part: "daemon", Outcome: "stop"})
}

// runTicks calls tick periodically and requests a probe of the store while most
// primaries are unreachable.
func (p *Proxy) runTicks(ctx context.Context) {
	for {
		p.mu.Lock()
		p.executeAll(p.core.tick(p.clock.Now(), p.storeFailedAt > 0))
		pause := idleTick
		if p.mux.InFlight() > 0 {
			pause = busyTick
		}
		if p.mux.MostPrimariesUnreachable() {
			notify(p.probeRequested)
		}
		p.mu.Unlock()
		if !sleep(ctx, pause) {
			return
		}
	}
}

// notify sends a signal on a channel of capacity 1 unless one is pending.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// recordDependency records whether a call to a dependency succeeded, and logs when the
// dependency becomes unavailable or available.
func (p *Proxy) recordDependency(name string, err error) {
	p.mu.Lock()
	wasUp, known := p.dependencyUp[name]
	p.dependencyUp[name] = err == nil
	p.mu.Unlock()
	switch {
	case err != nil && (wasUp || !known):
		p.log.LogDecision(observer.Decision{Part: "dependency", Outcome: "lost", Inputs: []observer.Field{
			observer.F("name", name), observer.F("error", err.Error()),
		}})
	case err == nil && !wasUp:
		p.log.LogDecision(observer.Decision{Part: "dependency", Outcome: "in touch", Inputs: []observer.Field{observer.F("name", name)}})
	}
}

// domainReader returns the address of the domain reader: the daemon that reads the
// store for its failure domain. It is empty if that is this daemon or none is known.
func (p *Proxy) domainReader() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.elector.DomainReaderAddress(p.clock.Now())
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

// poll calls f, which calls the store, at an interval until ctx ends. After a failure
// it waits for at least MinRetry and then until the store answers any loop, at most
// for MaxRetry in all.
func (p *Proxy) poll(ctx context.Context, interval timekeeper.Millis, f func() error) {
	minRetry, maxRetry := p.settings.Intervals.MinRetry, p.settings.Intervals.MaxRetry
	for running := true; running; {
		if f() != nil {
			running = p.storeBackoff.wait(ctx, minRetry.Duration(), maxRetry.Duration())
			continue
		}
		p.storeBackoff.reset()
		running = sleep(ctx, interval.Duration())
	}
}

// probeStore probes the store at once, with a short timeout, while most primaries are
// unreachable. The result shows whether this daemon is isolated or the primaries have
// failed.
func (p *Proxy) probeStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.probeRequested:
		}
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := p.deps.Scan(call, TableHeartbeats)
		cancel()
		p.setStoreFailed(err != nil)
		if !sleep(ctx, probePause) {
			return
		}
	}
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
		onUnchanged: func(timekeeper.Millis) {},
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

// Shutdown drains the daemon and blocks until it is done, at most for ShutdownGrace.
// The daemon reports that it is not ready, finishes statements in flight, and ends idle
// sessions once the load balancer has noticed. It accepts statements until it returns.
func (p *Proxy) Shutdown() {
	startedAt := p.clock.Now()
	p.mu.Lock()
	p.mux.Drain()
	sessions := p.mux.SessionCount()
	p.mu.Unlock()
	p.log.LogDecision(observer.Decision{Part: "daemon", Outcome: "shuts down", Inputs: []observer.Field{observer.F("sessions", sessions)}})
	for {
		time.Sleep(idleTick)
		elapsed := p.clock.Now() - startedAt
		p.mu.Lock()
		if elapsed > probeDetectionTime {
			p.execute(p.mux.CloseIdleSessions(1 + p.mux.SessionCount()/4))
		}
		// Stop once no session is left, when ShutdownGrace is nearly over, or
		// minShutdownTime into its second half if no session is busy.
		remaining, busy := p.mux.SessionCount(), p.mux.BusySessions()
		p.mu.Unlock()
		if remaining == 0 && elapsed > minShutdownTime || elapsed > p.settings.ShutdownGrace-shutdownReserve || busy == 0 && elapsed > p.settings.ShutdownGrace/2+minShutdownTime {
			break
		}
	}
	p.mu.Lock()
	p.executeAll(p.applyElector(p.clock.Now(), p.elector.Deregister()))
	p.mu.Unlock()
	p.log.LogDecision(observer.Decision{Part: "daemon", Outcome: "has shut down", Inputs: []observer.Field{observer.F("took", int64(p.clock.Now()-startedAt))}})
}

const (
	// probeDetectionTime is how long the load balancer takes to stop sending new
	// sessions: it probes each second and needs two failed probes.
	probeDetectionTime timekeeper.Millis = 2200
	// minShutdownTime is the minimum duration of a shutdown; new sessions may still
	// arrive until then.
	minShutdownTime timekeeper.Millis = 2600
	// shutdownReserve is the part of ShutdownGrace that is left for the process to
	// exit.
	shutdownReserve timekeeper.Millis = 300
)

// peers returns the addresses of the registered daemons.
func (p *Proxy) peers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.elector.PeerAddresses()
}
