// Package runner runs a daemon around a decider.Node, which does no I/O itself.
// It executes the node's commands over the network and passes the results back
// to the node.
package runner

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/heatherhall/heatherhall/configurer"
	"github.com/heatherhall/heatherhall/connector"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/guarder"
	"github.com/heatherhall/heatherhall/listener"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/rationer"
	"github.com/heatherhall/heatherhall/relayer"
	"github.com/heatherhall/heatherhall/storer"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// idleTickDivisor makes the node tick only at every third interval while it is
// not busy.
const idleTickDivisor = 3

// tickInterval is the time between two ticks of a busy node.
const tickInterval = 20 * time.Millisecond

// Runner is a daemon: a decider node with its listener for clients, its
// connections to servers, peers and the platform, and its status server.
type Runner struct {
	settings configurer.Settings
	clock    timekeeper.Clock
	log      *observer.Logger
	metrics  *observer.Metrics
	platform *storer.Client
	relayer  *relayer.Relayer
	listener *listener.Listener
	guard    *guarder.Guard
	limits   rationer.Limits
	// targets holds the backend servers by database and name.
	targets map[string]map[string]connector.Target

	// ctx is the context of Run, in which commands are executed.
	ctx context.Context
	// goroutines counts the goroutines that background starts; Run waits for them.
	goroutines sync.WaitGroup

	mu    sync.Mutex
	node  *decider.Node
	conns map[pooler.Conn]*connector.Conn
	// polls and watches hold the queues of report requests by "database/server".
	polls   map[string]chan reportRequest
	watches map[string]chan reportRequest
	// requests holds the clients' requests in progress by client ID.
	requests map[uint64]requestStart
	// lists and ready are copies of the node's values after its last input.
	lists planner.Lists
	ready bool
}

// requestStart records the start time of a client's request, its rank and whether
// it is a read, for the metrics.
type requestStart struct {
	at   time.Time
	rank string
	read bool
}

// Override changes the node's settings before a daemon starts. Experiments use
// it to run baseline policies. It may be nil.
type Override func(*decider.Settings)

// New returns a daemon that listens for clients and peers but serves them only
// in Run. It logs to out. It returns an error if a secret or certificate can't be
// read or an address can't be listened on.
func New(settings configurer.Settings, out io.Writer, override Override) (*Runner, error) {
	secret, err := settings.Secret.Resolve()
	if err != nil {
		return nil, err
	}
	signer, err := newSigner(settings)
	if err != nil {
		return nil, err
	}
	r := &Runner{
		settings: settings,
		clock:    timekeeper.Real(),
		log:      observer.NewLogger(out, settings.Log.Level, settings.Host.Name),
		metrics:  observer.NewMetrics(),
		platform: storer.New(settings.Platform, hostOf(settings.Host.Peer)),
		conns:    map[pooler.Conn]*connector.Conn{},
		polls:    map[string]chan reportRequest{},
		watches:  map[string]chan reportRequest{},
		requests: map[uint64]requestStart{},
		lists:    planner.Empty(),
		ctx:      context.Background(),
	}
	r.limits = clientLimits(settings)
	r.guard = guarder.New(r.limits.Settings(), r.clock, guarder.LoggedDeps(r.log, r.metrics.Registry()))
	r.guard.RegisterGauges(r.metrics.Registry())
	if r.targets, err = newTargets(settings, int(r.limits.Result<<20)); err != nil {
		return nil, err
	}
	deciderSettings := r.deciderSettings()
	if override != nil {
		override(&deciderSettings)
	}
	r.node = decider.New(deciderSettings, decider.Deps{Log: r.deciderLog(), InvariantViolated: r.invariantViolated})
	r.relayer, err = relayer.New(settings.Host.Name, settings.Host.Peer, []byte(secret), relayer.Handlers{
		MessageReceived: r.messageReceived,
		PacketReceived:  r.packetReceived,
		PeerLost:        r.peerLost,
	})
	if err != nil {
		return nil, err
	}
	tlsConfig, err := r.tlsConfig()
	if err != nil {
		return nil, err
	}
	r.listener, err = listener.New(settings.Host.Address, r.listenerDeps(signer, tlsConfig))
	return r, err
}

// invariantViolated counts and logs an internal invariant that does not hold.
func (r *Runner) invariantViolated(format string, args ...any) {
	r.metrics.InvariantFailures.Inc()
	r.log.Errorf("invariant: "+format, args...)
}

// Address returns the address on which the daemon accepts clients.
func (r *Runner) Address() string {
	return r.listener.Address()
}

// Ready reports whether the daemon accepts clients.
func (r *Runner) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

func (r *Runner) currentLists() planner.Lists {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lists
}

// Metrics returns the metrics that the daemon updates while it runs.
func (r *Runner) Metrics() *observer.Metrics {
	return r.metrics
}

// Run serves until stop is closed and then shuts down gracefully: it finishes the
// work in progress for up to the configured drain time. It returns an error if
// work is still in progress after that time.
func (r *Runner) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.ctx = ctx
	relayed := r.relayer.Run(ctx)
	listened := r.listener.Run(ctx)
	status := r.serveStatus(ctx)
	r.log.Infof("runner: %s in %s takes callers at %s", r.settings.Host.Name, r.settings.Host.Domain, r.Address())
	r.loop(stop)
	err := r.drain()
	cancel()
	<-listened
	<-relayed
	<-status
	r.goroutines.Wait()
	r.platform.Close()
	r.log.Infof("runner: %s has stopped", r.settings.Host.Name)
	return err
}

// loop ticks the node until stop is closed.
func (r *Runner) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ticks := 0; ; ticks++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			if ticks%idleTickDivisor == 0 || r.busy() {
				r.tick()
			}
		}
	}
}

func (r *Runner) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Busy()
}

func (r *Runner) tick() {
	r.update(func(now timekeeper.Millis) []decider.Command { return r.node.Tick(now) })
}

// drainNotice is how long the daemon still accepts clients after it has announced
// to its peers that it is leaving, so that peers and the load balancer can
// switch to other daemons.
const drainNotice = 200 * time.Millisecond

// drain stops accepting clients and finishes the work in progress. It returns an
// error if this takes longer than the configured drain time.
func (r *Runner) drain() error {
	r.log.Infof("drainer: stopping, %d callers are connected", r.listener.Connections())
	r.update(func(now timekeeper.Millis) []decider.Command { return r.node.Drain(now) })
	deadline := time.Now().Add(r.settings.Times.DrainTimeout.Duration())
	noticeEnd := time.Now().Add(drainNotice)
	listenerDrained := false
	for time.Now().Before(deadline) {
		r.tick()
		if !listenerDrained && time.Now().After(noticeEnd) {
			listenerDrained = true
			r.listener.Drain()
		}
		if listenerDrained && r.listener.Connections() == 0 && r.drained() {
			return nil
		}
		time.Sleep(tickInterval)
	}
	return &Error{Op: "drain", Kind: KindStart, Err: errors.Errorf("work was still in progress after %d ms", r.settings.Times.DrainTimeout)}
}

func (r *Runner) drained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Drained()
}

// update passes an input to the node with the current time and executes the
// commands that it returns.
func (r *Runner) update(input func(now timekeeper.Millis) []decider.Command) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range input(r.clock.Now()) {
		r.execute(c)
	}
	r.lists = r.node.Lists()
	r.ready = r.node.Ready()
}

// submit passes a client's request to the node and records its start.
func (r *Runner) submit(request decider.Request) {
	r.update(func(now timekeeper.Millis) []decider.Command {
		r.requests[request.ClientID] = requestStart{
			at:   time.Now(),
			rank: request.Rank.String(),
			read: !request.Write && !request.Begin,
		}
		return r.node.Submit(now, request)
	})
}

func (r *Runner) messageReceived(from string, m decider.Message) {
	r.update(func(now timekeeper.Millis) []decider.Command { return r.node.MessageReceived(now, from, m) })
}

func (r *Runner) packetReceived(m watcher.Message) {
	r.update(func(now timekeeper.Millis) []decider.Command { return r.node.PacketReceived(now, m) })
}

func (r *Runner) peerLost(name string) {
	r.update(func(now timekeeper.Millis) []decider.Command { return r.node.PeerLost(now, name) })
}

func (r *Runner) cancelRequest(key decider.CancelKeyMessage) {
	r.update(func(timekeeper.Millis) []decider.Command { return r.node.CancelRequest(key) })
}
