package proxier

import (
	"context"
	"net"
	"time"

	"github.com/heatherhall/heatherhall/detourer"
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

// Run runs the daemon until ctx ends and returns once all its goroutines have ended.
// It serves other daemons' requests on the peers listener.
func (p *Proxy) Run(ctx context.Context, peers net.Listener) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	peersDone := make(chan struct{})
	go detourer.Serve(ctx, measuredListener{peers, &p.linkDelays}, p.peerHandler(), peersDone)
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
// primaries are unreachable. It also passes on how late its timer is.
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
		setAt := p.clock.Now()
		if !sleep(ctx, pause) {
			return
		}
		intended := timekeeper.Millis(pause / time.Millisecond)
		p.shedRoles(intended, p.clock.Now()-setAt-intended)
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

// Shutdown drains the daemon and blocks until it is done, at most for ShutdownGrace.
// The daemon reports that it is not ready, finishes statements in flight, and ends idle
// sessions once the load balancer has noticed. It accepts statements until it returns.
func (p *Proxy) Shutdown() {
	startedAt := p.clock.Now()
	p.mu.Lock()
	p.mux.Drain()
	p.limits.Leave()
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
	deregistered := p.deregister(max(startedAt+p.settings.ShutdownGrace-shutdownReserve, p.clock.Now()+shutdownReserve-exitReserve))
	p.log.LogDecision(observer.Decision{Part: "daemon", Outcome: "has shut down", Inputs: []observer.Field{
		observer.F("took", int64(p.clock.Now()-startedAt)), observer.F("deregistered", deregistered),
	}})
}

// deregister deletes the daemon's registration and waits until the store has accepted that
// or the deadline has passed. A primary change waits for each registered daemon.
func (p *Proxy) deregister(deadline timekeeper.Millis) bool {
	p.withElector(p.elector.Deregister)
	for {
		p.mu.Lock()
		deregistered := p.elector.Deregistered()
		p.mu.Unlock()
		if deregistered || p.clock.Now() >= deadline {
			return deregistered
		}
		time.Sleep(deregisterPoll)
	}
}

const (
	// probeDetectionTime is how long the load balancer takes to stop sending new
	// sessions: it probes each second and needs two failed probes.
	probeDetectionTime timekeeper.Millis = 2200
	// minShutdownTime is the minimum duration of a shutdown; new sessions may still
	// arrive until then.
	minShutdownTime timekeeper.Millis = 2600
	// shutdownReserve is the part of ShutdownGrace that is left to delete the
	// registration and for the process to exit.
	shutdownReserve timekeeper.Millis = 300
	// exitReserve is the part of shutdownReserve that is left once the registration is
	// deleted.
	exitReserve timekeeper.Millis = 100
	// deregisterPoll is the time between two checks whether the registration is deleted.
	deregisterPoll = 5 * time.Millisecond
)

// peers returns the addresses of the registered daemons.
func (p *Proxy) peers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.elector.PeerAddresses()
}
