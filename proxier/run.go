package proxier

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// busyTick and idleTick are the times between two ticks of the decisions,
	// while statements are in progress and while none is.
	busyTick = 10 * time.Millisecond
	idleTick = 50 * time.Millisecond
	// checkTime limits a check of the store, and checkPause is the time between
	// two checks; an answer takes some milliseconds.
	checkTime  = 300 * time.Millisecond
	checkPause = 500 * time.Millisecond
	// feedSlack is how much longer than asked for an answer to a question for
	// changes may take.
	feedSlack timekeeper.Millis = 700
	// shareAge is the greatest age of a reading that other daemons are given.
	shareAge timekeeper.Millis = 7000
)

// Run runs the daemon until ctx ends and its goroutines have ended. Other daemons
// are answered on the listener.
func (p *Proxy) Run(ctx context.Context, peers net.Listener) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	served := make(chan struct{})
	go detourer.Serve(ctx, peers, p.direct(), served)
	p.log.LogDecision(observer.Decision{Part: "daemon", Outcome: "start", Inputs: []observer.Field{
		observer.F("host", p.settings.Host.Name), observer.F("domain", p.settings.Host.Domain), observer.F("incarnation", p.settings.Host.Incarnation),
	}})
	p.spawn(p.feedCatalog)
	p.spawn(p.feedServers)
	p.spawn(p.scanServers)
	p.spawn(p.ageServers)
	p.spawn(p.scanRows)
	p.spawn(p.feedRows)
	p.spawn(p.beat)
	p.spawn(p.watchStore)
	p.spawn(p.run)
	<-ctx.Done()
	p.wait.Wait()
	<-served
	p.log.LogDecision(observer.Decision{Part: "daemon", Outcome: "stop"})
}

func (p *Proxy) run(ctx context.Context) {
	for {
		p.mu.Lock()
		p.carryBoth(p.node.tick(p.clock.Now(), p.failedAt > 0))
		pause := idleTick
		if p.mux.InFlight() > 0 {
			pause = busyTick
		}
		if p.mux.MostPrimariesUnreachable() {
			notify(p.check)
		}
		p.mu.Unlock()
		if !sleep(ctx, pause) {
			return
		}
	}
}

// notify wakes the reader of a channel, unless it is to wake up already.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// dependency logs when a dependency is lost or regained.
func (p *Proxy) dependency(name string, err error) {
	p.mu.Lock()
	before, known := p.depends[name]
	p.depends[name] = err == nil
	p.mu.Unlock()
	switch {
	case err != nil && (before || !known):
		p.log.LogDecision(observer.Decision{Part: "dependency", Outcome: "lost", Inputs: []observer.Field{
			observer.F("name", name), observer.F("error", err.Error()),
		}})
	case err == nil && !before:
		p.log.LogDecision(observer.Decision{Part: "dependency", Outcome: "in touch", Inputs: []observer.Field{observer.F("name", name)}})
	}
}

// reader returns the address of the daemon of this failure domain that reads the
// store for the others; empty where that is this daemon.
func (p *Proxy) reader() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.elector.DomainReaderAddress(p.clock.Now())
}

// scan reads a table whole within the time limit of a call: from the memory of
// the domain's reader, or from the store. It returns when the store was asked.
func (p *Proxy) scan(ctx context.Context, table Table, name string) (Rows, timekeeper.Millis, error) {
	call, cancel := p.call(ctx)
	defer cancel()
	asked := p.clock.Now()
	if reader := p.reader(); reader != "" {
		rows, digest := p.cache.held(table)
		shared, err := p.detourer.FetchCached(call, reader, detourer.RowsRequest{Table: int(table), KnownDigest: digest})
		switch {
		case err == nil && shared.Unchanged:
			return rows, shared.ReadAt(asked), nil
		case err == nil && !shared.TooLarge:
			rows = Rows{Rows: shared.Rows, Version: shared.Version}
			p.cache.set(table, rows, shared.ReadAt(asked))
			return rows, shared.ReadAt(asked), nil
		}
	}
	return p.scanStore(call, table, name)
}

// scanStore reads a table whole from the store. It returns when the store was
// asked.
func (p *Proxy) scanStore(ctx context.Context, table Table, name string) (Rows, timekeeper.Millis, error) {
	asked := p.clock.Now()
	rows, err := p.read(ctx, table)
	p.dependency(name, err)
	if err != nil {
		return rows, asked, err
	}
	if table == TableCoordination {
		asked = p.proofs.readAt(asked, rows.Version)
	}
	p.cache.set(table, rows, asked)
	return rows, asked, nil
}

// every calls f at an interval, which asks the store, until ctx ends. After a
// failure it waits for the store to answer any loop.
func (p *Proxy) every(ctx context.Context, interval timekeeper.Millis, f func() error) {
	retry, most := p.settings.Intervals.MinRetry, p.settings.Intervals.MaxRetry
	for goesOn := true; goesOn; {
		if f() != nil {
			goesOn = p.gate.wait(ctx, retry.Duration(), most.Duration())
			continue
		}
		p.gate.pass()
		goesOn = sleep(ctx, interval.Duration())
	}
}

// watchStore tries the store at once, with a short time limit, while most
// primaries are silent, to tell a cut-off daemon from lost primaries.
func (p *Proxy) watchStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.check:
		}
		call, cancel := context.WithTimeout(ctx, checkTime)
		_, err := p.seams.Scan(call, TableHeartbeats)
		cancel()
		p.setLost(err != nil)
		if !sleep(ctx, checkPause) {
			return
		}
	}
}

func (p *Proxy) setCatalog(rows []elector.Row) {
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		catalog, err := p.seams.DecodeCatalog(row)
		if err != nil {
			p.log.LogDecision(observer.Decision{Part: "catalog", Outcome: "row passed over", Inputs: []observer.Field{
				observer.F("key", row.Key), observer.F("error", err.Error()),
			}})
			continue
		}
		if catalog.Version > 0 {
			p.decide(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.SetCatalog(now, catalog) })
		}
	}
}

// follower is what a daemon does with the readings of one table.
type follower struct {
	table Table
	name  string
	// pause is the time between an answer and the next question; changes that come
	// meanwhile are told of together.
	pause timekeeper.Millis
	// whole takes all rows, and when the store was asked for them.
	whole func(rows Rows, asked timekeeper.Millis)
	// changed takes rows that changed.
	changed func(rows Rows)
	// confirmed takes that no row had changed when the store was asked.
	confirmed func(asked timekeeper.Millis)
}

// feed follows a table's changes after a first reading, through the domain's
// reader where that answers. Where changes are no longer known it reads the
// table again.
func (p *Proxy) feed(ctx context.Context, f follower) {
	version, number := int64(0), int64(0)
	p.every(ctx, f.pause, func() error {
		if next, ok := p.feedShared(ctx, f, number); ok {
			version, number = 0, next
			return nil
		}
		number = 0
		if version == 0 {
			rows, asked, err := p.scan(ctx, f.table, f.name)
			if err != nil {
				return err
			}
			f.whole(rows, asked)
			version = rows.Version
			return nil
		}
		call, cancel := context.WithTimeout(ctx, (p.settings.Intervals.FeedWait + feedSlack).Duration())
		defer cancel()
		asked := p.clock.Now()
		rows, err := p.seams.Feed(call, f.table, version, p.settings.Intervals.FeedWait)
		p.dependency(f.name+" feed", err)
		if err != nil {
			version = 0
			return err
		}
		p.cache.apply(f.table, rows, asked)
		if len(rows.Rows) > 0 {
			f.changed(rows)
		}
		version = max(version, rows.Version)
		return nil
	})
}

// feedShared waits for the domain's reader to have another reading than the one
// of the given number. It reports false where there is none or it fails.
func (p *Proxy) feedShared(ctx context.Context, f follower, number int64) (int64, bool) {
	reader := p.reader()
	if reader == "" {
		return 0, false
	}
	asked := p.clock.Now()
	_, digest := p.cache.held(f.table)
	shared, err := p.detourer.FetchCached(ctx, reader, detourer.RowsRequest{Table: int(f.table), KnownGeneration: number, KnownDigest: digest, MaxWait: p.settings.Intervals.FeedWait})
	if err != nil {
		return 0, false
	}
	if shared.Unchanged {
		f.confirmed(shared.ReadAt(asked))
		return shared.Generation, true
	}
	rows, readAt := Rows{Rows: shared.Rows, Version: shared.Version}, shared.ReadAt(asked)
	if shared.TooLarge {
		call, cancel := p.call(ctx)
		defer cancel()
		if rows, readAt, err = p.scanStore(call, f.table, f.name); err != nil {
			return 0, false
		}
	} else {
		p.cache.set(f.table, rows, readAt)
	}
	f.whole(rows, readAt)
	return shared.Generation, true
}

func (p *Proxy) feedCatalog(ctx context.Context) {
	p.feed(ctx, follower{
		table: TableCatalog, name: "store: catalog",
		whole:     func(rows Rows, _ timekeeper.Millis) { p.setCatalog(rows.Rows) },
		changed:   func(rows Rows) { p.setCatalog(rows.Rows) },
		confirmed: func(timekeeper.Millis) {},
	})
}

func (p *Proxy) feedRows(ctx context.Context) {
	p.feed(ctx, follower{
		table: TableCoordination, name: "store: rows", whole: p.setRows,
		changed: func(rows Rows) {
			p.elect(func(now timekeeper.Millis) []elector.Command {
				return p.elector.ApplyChanges(now, rows.Rows, rows.Version)
			})
		},
		confirmed: func(asked timekeeper.Millis) {
			p.elect(func(now timekeeper.Millis) []elector.Command { return p.elector.ConfirmUnchanged(now, asked) })
		},
	})
}

func (p *Proxy) setRows(rows Rows, asked timekeeper.Millis) {
	defer func() { p.detourer.AddPeers(p.peers()) }()
	p.elect(func(now timekeeper.Millis) []elector.Command {
		return p.elector.SetRows(now, asked, rows.Rows, rows.Version)
	})
}

// scanRows reads the rows on who leads, and at once when asked to.
func (p *Proxy) scanRows(ctx context.Context) {
	for {
		pause := p.settings.Intervals.RowRescan
		rows, asked, err := p.scan(ctx, TableCoordination, "store: rows")
		if err == nil {
			p.gate.pass()
			p.setRows(rows, asked)
		} else {
			pause = p.settings.Intervals.MinRetry
		}
		select {
		case <-ctx.Done():
			return
		case <-p.reread:
		case <-time.After(pause.Duration()):
		}
	}
}

// beat writes this daemon's signs of life and reads those of the others.
func (p *Proxy) beat(ctx context.Context) {
	count := int64(0)
	p.every(ctx, p.settings.Elector.HeartbeatInterval, func() error {
		count++
		value, err := json.Marshal(elector.Heartbeat{Incarnation: p.settings.Host.Incarnation, Count: count})
		if err != nil {
			return err
		}
		call, cancel := p.call(ctx)
		result, _ := p.transact(call, TableHeartbeats, elector.Transaction{Set: []elector.Row{{Key: p.settings.Host.Name, Value: value}}})
		cancel()
		rows, _, err := p.scan(ctx, TableHeartbeats, "store: beats")
		if err != nil {
			return err
		}
		beats := map[string]elector.Heartbeat{}
		for _, row := range rows.Rows {
			var b elector.Heartbeat
			if json.Unmarshal(row.Value, &b) == nil { // a row of another writer names no daemon
				beats[row.Key] = b
			}
		}
		p.elect(func(now timekeeper.Millis) []elector.Command {
			p.elector.SetHeartbeats(now, beats)
			return nil
		})
		if result != elector.Applied {
			return &Error{Op: "beat", Kind: KindUnconfirmed, Text: result.String()}
		}
		return nil
	})
}

// Shutdown stops the daemon gracefully: it counts as not ready, finishes what is
// in progress, ends idle sessions once the balancer has noticed, and returns.
// Statements are accepted until then.
func (p *Proxy) Shutdown() {
	begun := p.clock.Now()
	p.mu.Lock()
	p.mux.Drain()
	sessions := p.mux.SessionCount()
	p.mu.Unlock()
	p.log.LogDecision(observer.Decision{Part: "daemon", Outcome: "shuts down", Inputs: []observer.Field{observer.F("sessions", sessions)}})
	for {
		time.Sleep(idleTick)
		passed := p.clock.Now() - begun
		p.mu.Lock()
		if passed > noticeTime {
			p.carry(p.mux.CloseIdleSessions(1 + p.mux.SessionCount()/4))
		}
		left, busy := p.mux.SessionCount(), p.mux.BusySessions()
		p.mu.Unlock()
		if left == 0 && passed > leastShutdown || passed > p.settings.ShutdownGrace-shutdownReserve || busy == 0 && passed > p.settings.ShutdownGrace/2+leastShutdown {
			break
		}
	}
	p.mu.Lock()
	p.carryBoth(p.settle(p.clock.Now(), p.elector.Deregister()))
	p.mu.Unlock()
	p.log.LogDecision(observer.Decision{Part: "daemon", Outcome: "has shut down", Inputs: []observer.Field{observer.F("took", int64(p.clock.Now()-begun))}})
}

const (
	// noticeTime is when the balancer has stopped sending new sessions: after
	// two misses of a probe each second.
	noticeTime timekeeper.Millis = 2200
	// leastShutdown is how long new sessions may still arrive.
	leastShutdown timekeeper.Millis = 2600
	// shutdownReserve is kept of the grace period for the end of the process.
	shutdownReserve timekeeper.Millis = 300
)

// peers returns the addresses of the registered daemons.
func (p *Proxy) peers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.elector.PeerAddresses()
}
