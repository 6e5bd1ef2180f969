// Package proxier is a daemon: it carries out the decisions of the multiplexer
// and the elector over the seams that it is given, and feeds the answers back.
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
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Settings steer a daemon.
type Settings struct {
	Host elector.Host
	// Seeds are addresses of other daemons to begin with.
	Seeds []string
	// RegistrationGrace is how long an entry of a server may be missing after the store was
	// away before the server counts as gone.
	RegistrationGrace timekeeper.Millis
	// ShutdownGrace is how long a shutdown may take.
	ShutdownGrace timekeeper.Millis
	// Elector steers changes of primary.
	Elector elector.Settings
	// Intervals are the pauses of the daemon's loops.
	Intervals Intervals
}

// Intervals are times between two readings of the store.
type Intervals struct {
	// ServerRescan is the time between two whole readings of the registrations, whose
	// changes come by feed.
	ServerRescan timekeeper.Millis
	RowRescan    timekeeper.Millis
	// FeedWait is how long the store may hold a question for changes.
	FeedWait timekeeper.Millis
	// CallTimeout limits any other call.
	CallTimeout timekeeper.Millis
	// MinRetry is the pause after a call that failed. All loops but one pause for
	// RetryMost, unless the store answers another of them before.
	MinRetry timekeeper.Millis
	MaxRetry timekeeper.Millis
}

// DefaultIntervals returns the times that settings start from.
func DefaultIntervals() Intervals {
	return Intervals{ServerRescan: 10_000, RowRescan: 1500, FeedWait: 2500, CallTimeout: 700, MinRetry: 150, MaxRetry: 1200}
}

// DefaultSettings returns the settings of a daemon on a host.
func DefaultSettings(host elector.Host) Settings {
	return Settings{Host: host, RegistrationGrace: 2500, ShutdownGrace: 6000, Elector: elector.DefaultSettings(host), Intervals: DefaultIntervals()}
}

// Proxy is one daemon.
type Proxy struct {
	seams   Deps
	clock   timekeeper.Clock
	log     *observer.Logger
	metrics *Metrics
	ctx     context.Context
	wait    sync.WaitGroup
	reread  chan struct{}
	// check asks for the store to be tried at once.
	check chan struct{}

	mu sync.Mutex
	*node
	links    map[pooler.Conn]*worker
	sessions map[uint64]*Session
	number   uint64
	// depends holds whether each outside dependency answered last.
	depends map[string]bool
	// failedAt is when the own path to the store failed last; 0 if it works.
	failedAt timekeeper.Millis
	detourer *detourer.PeerClient
	cache    *cache
	proofs   proofs
	roster   roster
	gate     *gate
}

// worker is the goroutine of one connection to a backend server.
type worker struct {
	batches chan []multiplexer.Statement
	cancel  context.CancelFunc
}

// New returns a daemon that does nothing yet.
func New(settings Settings, seams Deps, clock timekeeper.Clock, log *observer.Logger, metrics *Metrics) *Proxy {
	p := &Proxy{
		seams: seams, clock: clock, log: log, metrics: metrics,
		links: map[pooler.Conn]*worker{}, sessions: map[uint64]*Session{}, depends: map[string]bool{},
		reread: make(chan struct{}, 1), check: make(chan struct{}, 1), ctx: context.Background(),
	}
	p.cache = newCache(clock, shareAge)
	p.gate = newGate()
	p.detourer = detourer.New(settings.Host.Address, net.Dialer{})
	p.detourer.AddPeers(settings.Seeds)
	p.gauges()
	p.node = newNode(settings, multiplexer.Deps{Log: log.LogDecision, Count: metrics.ObserveStatement}, elector.Deps{Log: log.LogDecision})
	return p
}

// Ready reports whether the daemon should get callers.
func (p *Proxy) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mux.Ready()
}

// decide runs one decision of the multiplexer and carries it out.
func (p *Proxy) decide(f func(now timekeeper.Millis) []multiplexer.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carry(f(p.clock.Now()))
}

// carry carries commands of the multiplexer out. None of them blocks.
func (p *Proxy) carry(commands []multiplexer.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case multiplexer.Reply:
			if s := p.sessions[c.Session]; s != nil {
				s.answers <- c.Answer
			}
		case multiplexer.CloseSession:
			if s := p.sessions[c.Session]; s != nil {
				s.hangUp()
			}
		case multiplexer.OpenConn:
			p.open(c)
		case multiplexer.Send:
			if w := p.links[c.Conn]; w != nil {
				w.batches <- c.Statements
			}
		case multiplexer.CloseConn:
			if w := p.links[c.Conn]; w != nil {
				delete(p.links, c.Conn)
				w.cancel()
			}
		}
	}
}

// elect runs one decision of the elector and carries it out, with what follows
// from it for the multiplexer.
func (p *Proxy) elect(f func(now timekeeper.Millis) []elector.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.carryBoth(p.settle(now, f(now)))
}

func (p *Proxy) carryBoth(commands []multiplexer.Command, elections []elector.Command) {
	p.carry(commands)
	p.carryElection(elections)
}

func (p *Proxy) carryElection(commands []elector.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case elector.Write:
			p.spawn(func(ctx context.Context) {
				call, cancel := p.call(ctx)
				result, version := p.transact(call, TableCoordination, c.Tx)
				cancel()
				p.elect(func(now timekeeper.Millis) []elector.Command {
					return p.elector.Written(now, c.ID, result, version)
				})
			})
		case elector.Inspect:
			p.spawn(func(ctx context.Context) {
				call, cancel := p.call(ctx)
				account, err := p.seams.Inspect(call, c.Server, c.Request)
				cancel()
				p.elect(func(now timekeeper.Millis) []elector.Command { return p.elector.Inspected(now, c.ID, account, err) })
			})
		case elector.Promote:
			p.spawn(func(ctx context.Context) {
				call, cancel := p.call(ctx)
				err := p.seams.Promote(call, c.Promotion)
				cancel()
				p.elect(func(now timekeeper.Millis) []elector.Command { return p.elector.Promoted(now, c.ID, err) })
			})
		case elector.ReloadRows:
			notify(p.reread)
		}
	}
}

func (p *Proxy) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, p.settings.Intervals.CallTimeout.Duration())
}

// spawn runs a goroutine that ends with the daemon's context; Run waits for it.
func (p *Proxy) spawn(f func(ctx context.Context)) {
	p.wait.Add(1)
	go func() {
		defer p.wait.Done()
		f(p.ctx)
	}()
}

// open starts the goroutine of a new connection.
func (p *Proxy) open(c multiplexer.OpenConn) {
	ctx, cancel := context.WithCancel(p.ctx)
	w := &worker{batches: make(chan []multiplexer.Statement, 2), cancel: cancel}
	p.links[c.Conn] = w
	p.spawn(func(context.Context) {
		defer cancel()
		p.work(ctx, c, w)
	})
}

// work opens a connection and runs what is sent on it until it ends.
func (p *Proxy) work(ctx context.Context, c multiplexer.OpenConn, w *worker) {
	connect, id := p.seams.Connect, c.Conn
	if c.Relayed {
		connect = p.detourer.Relay
	}
	dial, cancel := p.call(ctx)
	link, answer, err := connect(dial, c.Server)
	cancel()
	if err != nil {
		p.decide(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.ConnLost(now, id) })
		return
	}
	if answer.Code != multiplexer.CodeOK {
		p.decide(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.ConnRefused(now, id, answer) })
		return
	}
	stop := context.AfterFunc(ctx, link.Close)
	defer func() {
		if stop() {
			link.Close()
		}
	}()
	p.decide(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.ConnOpened(now, id, answer) })
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-w.batches:
			answers, err := link.Run(batch)
			if err != nil {
				p.decide(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.ConnLost(now, id) })
				return
			}
			p.decide(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.AnswersReceived(now, id, answers) })
		}
	}
}
