// Package proxier runs the multiplexer and the elector of a daemon, which do no
// I/O themselves. It executes their commands through the functions in Deps and
// passes the results back to them.
package proxier

import (
	"context"
	"net"
	"sync"

	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/shedder"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Settings configures a daemon.
type Settings struct {
	Host elector.Host
	// Seeds are the addresses of other daemons that are known at the start.
	Seeds []string
	// RegistrationGrace is how long a backend server is kept after its registration
	// disappears. Registrations expire while the store is unavailable.
	RegistrationGrace timekeeper.Millis
	// ShutdownGrace is the maximum duration of a graceful shutdown.
	ShutdownGrace timekeeper.Millis
	// MemoryLimit is the host's memory in bytes; 0 if unknown.
	MemoryLimit int64
	// Balance switches the balancing of reads between failure domains.
	Balance multiplexer.Balance
	// SessionState is the max size in bytes of a session's values and prepared
	// statements; 0 sets no limit.
	SessionState int64
	// Elector configures primary changes.
	Elector elector.Settings
	// Intervals configures the loops that call the store.
	Intervals Intervals
}

// Intervals holds the intervals, timeouts and retry bounds of calls to the store and
// to backend servers, in milliseconds.
type Intervals struct {
	// ServerRescan is the time between two full reads of TableServers. Changes
	// arrive earlier through the change feed.
	ServerRescan timekeeper.Millis
	// CoordinationRescan is the time between two full reads of TableCoordination.
	CoordinationRescan timekeeper.Millis
	// FeedWait is the maximum time of a long poll for changes.
	FeedWait timekeeper.Millis
	// CallTimeout is the timeout of any other call.
	CallTimeout timekeeper.Millis
	// MinRetry is the shortest pause after a failed call. The loop that rescans
	// TableCoordination always pauses for MinRetry. Every other loop pauses for up
	// to MaxRetry and retries earlier once any loop gets an answer from the store.
	MinRetry timekeeper.Millis
	// MaxRetry is the longest pause after a failed call.
	MaxRetry timekeeper.Millis
}

// DefaultIntervals returns the intervals that DefaultSettings uses.
func DefaultIntervals() Intervals {
	return Intervals{ServerRescan: 10_000, CoordinationRescan: 1500, FeedWait: 2500, CallTimeout: 700, MinRetry: 150, MaxRetry: 1200}
}

// DefaultSettings returns the default settings of a daemon that runs on host.
func DefaultSettings(host elector.Host) Settings {
	return Settings{Host: host, RegistrationGrace: 2500, ShutdownGrace: 6000, Elector: elector.DefaultSettings(host), Intervals: DefaultIntervals()}
}

// Proxy runs one daemon: its clients' sessions, its connections to backend servers
// and its calls to the store. It is safe for concurrent use.
type Proxy struct {
	deps    Deps
	clock   timekeeper.Clock
	log     *observer.Logger
	metrics *Metrics
	ctx     context.Context
	wait    sync.WaitGroup
	// reloadRequested triggers an immediate full read of TableCoordination.
	reloadRequested chan struct{}
	// probeRequested triggers an immediate probe of the store.
	probeRequested chan struct{}

	mu sync.Mutex
	*core
	workers  map[pooler.Conn]*worker
	sessions map[uint64]*Session
	// lastSession is the ID of the newest session.
	lastSession uint64
	// dependencyUp records by name whether the last call to a dependency succeeded.
	dependencyUp map[string]bool
	// storeFailedAt is when a call to the store on the direct path, without a peer,
	// last failed; 0 if the last call succeeded.
	storeFailedAt timekeeper.Millis
	// storeRevision is the newest revision of the store that this daemon has seen.
	storeRevision elector.Revision
	peerClient    *detourer.PeerClient
	links         *detourer.Links
	// forwardWaits receive the answers to other daemons' statements.
	forwardWaits map[forwardWait]chan multiplexer.ForwardAnswer
	cache        *cache
	heartbeats   heartbeatRelay
	// shedder decides whether this daemon sheds its roles, and measuredAt is when it
	// last did so.
	shedder       *shedder.Shedder
	measuredAt    timekeeper.Millis
	linkDelays    linkDelays
	watermarks    watermarks
	registrations registrationTable
	storeBackoff  *storeBackoff
}

// worker controls the goroutine that serves one connection to a backend server.
type worker struct {
	// batches carries the statements to run on the connection.
	batches chan []multiplexer.Statement
	cancel  context.CancelFunc
}

// New returns a daemon that makes no calls until Run is called.
func New(settings Settings, deps Deps, clock timekeeper.Clock, log *observer.Logger, metrics *Metrics) *Proxy {
	p := &Proxy{
		deps: deps, clock: clock, log: log, metrics: metrics,
		workers: map[pooler.Conn]*worker{}, sessions: map[uint64]*Session{}, dependencyUp: map[string]bool{},
		reloadRequested: make(chan struct{}, 1), probeRequested: make(chan struct{}, 1), ctx: context.Background(),
	}
	p.cache = newCache(clock, maxSharedAge)
	p.storeBackoff = newStoreBackoff()
	p.peerClient = detourer.New(settings.Host.Address, net.Dialer{})
	p.peerClient.AddPeers(settings.Seeds)
	p.links = detourer.NewLinks(net.Dialer{})
	p.shedder = shedder.New(shedder.DefaultSettings())
	p.forwardWaits = map[forwardWait]chan multiplexer.ForwardAnswer{}
	p.registerGauges()
	p.core = newCore(settings, multiplexer.Deps{Log: log.LogDecision, Count: metrics.ObserveStatement}, elector.Deps{Log: log.LogDecision})
	return p
}

// Ready reports whether new clients should connect to this daemon.
func (p *Proxy) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mux.Ready()
}

// withMultiplexer calls f under the lock and executes the commands it returns.
func (p *Proxy) withMultiplexer(f func(now timekeeper.Millis) []multiplexer.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.execute(f(p.clock.Now()))
}

// execute executes commands of the multiplexer without blocking. The lock must be
// held.
func (p *Proxy) execute(commands []multiplexer.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case multiplexer.Reply:
			if s := p.sessions[c.Session]; s != nil {
				s.stateSize = c.StateSize
				s.answers <- c.Answer
			}
		case multiplexer.CloseSession:
			if s := p.sessions[c.Session]; s != nil {
				s.disconnect()
			}
		case multiplexer.OpenConn:
			p.openConn(c)
		case multiplexer.Send:
			if w := p.workers[c.Conn]; w != nil {
				w.batches <- c.Statements
			}
		case multiplexer.CloseConn:
			if w := p.workers[c.Conn]; w != nil {
				delete(p.workers, c.Conn)
				w.cancel()
			}
		case multiplexer.Forward, multiplexer.EndForward, multiplexer.PingCarrier, multiplexer.AskLoad, multiplexer.RenewLink, multiplexer.ForwardReply:
			p.executeForward(command)
		}
	}
	p.executeLimits()
}

// withElector calls f under the lock, passes the elector's new state on to the
// multiplexer and executes the commands of both.
func (p *Proxy) withElector(f func(now timekeeper.Millis) []elector.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.executeAll(p.applyElector(now, f(now)))
}

// executeAll executes commands of the multiplexer and of the elector. The lock must
// be held.
func (p *Proxy) executeAll(commands []multiplexer.Command, electorCommands []elector.Command) {
	p.execute(commands)
	p.executeElector(electorCommands)
}

// executeElector starts the calls that the elector's commands ask for and passes
// their results back to the elector. It does not block.
func (p *Proxy) executeElector(commands []elector.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case elector.Write:
			p.spawn(func(ctx context.Context) {
				call, cancel := p.callContext(ctx)
				result, revision := p.transact(call, TableCoordination, c.Tx)
				cancel()
				p.withElector(func(now timekeeper.Millis) []elector.Command {
					return p.elector.WriteFinished(now, c.ID, result, revision)
				})
			})
		case elector.Inspect:
			p.spawn(func(ctx context.Context) {
				call, cancel := p.callContext(ctx)
				status, err := p.deps.Inspect(call, c.Server, c.Request)
				cancel()
				p.withElector(func(now timekeeper.Millis) []elector.Command {
					return p.elector.InspectFinished(now, c.ID, status, err)
				})
			})
		case elector.Promote:
			p.spawn(func(ctx context.Context) {
				call, cancel := p.callContext(ctx)
				err := p.deps.Promote(call, c.Promotion)
				cancel()
				p.withElector(func(now timekeeper.Millis) []elector.Command { return p.elector.PromotionFinished(now, c.ID, err) })
			})
		case elector.ReloadRows:
			notify(p.reloadRequested)
		}
	}
}

// callContext returns a copy of ctx with the timeout of a call.
func (p *Proxy) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, p.settings.Intervals.CallTimeout.Duration())
}

// spawn runs f in a goroutine with the daemon's context. Run waits for it to end.
func (p *Proxy) spawn(f func(ctx context.Context)) {
	p.wait.Add(1)
	go func() {
		defer p.wait.Done()
		f(p.ctx)
	}()
}

// openConn starts the worker of a new connection to a backend server.
func (p *Proxy) openConn(c multiplexer.OpenConn) {
	ctx, cancel := context.WithCancel(p.ctx)
	w := &worker{batches: make(chan []multiplexer.Statement, 2), cancel: cancel}
	p.workers[c.Conn] = w
	p.spawn(func(context.Context) {
		defer cancel()
		p.runConn(ctx, c, w)
	})
}

// runConn opens a connection, directly or via a peer, and runs the worker's batches on
// it until ctx ends or the connection fails.
func (p *Proxy) runConn(ctx context.Context, c multiplexer.OpenConn, w *worker) {
	connect, id := p.deps.Connect, c.Conn
	if c.Relayed {
		connect = p.peerClient.Relay
	}
	dial, cancel := p.callContext(ctx)
	conn, answer, err := connect(dial, c.Server, c.Account)
	cancel()
	if err != nil {
		p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.ConnLost(now, id) })
		return
	}
	if answer.Code != multiplexer.CodeOK {
		p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.ConnRefused(now, id, answer) })
		return
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer func() {
		if stop() {
			conn.Close()
		}
	}()
	p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.ConnOpened(now, id, answer) })
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-w.batches:
			answers, err := conn.Run(batch)
			if err != nil {
				p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.ConnLost(now, id) })
				return
			}
			p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.AnswersReceived(now, id, answers) })
		}
	}
}
